package server

import "time"

const (
	// contactBound is how long a contact with the fleet counts.
	contactBound = 5 * time.Second
	// logBound is how old the log's end may be for a VM to say that it can read the log.
	logBound = contactBound / 2
	// guard is how long after a change of the fleet map no VM acts on the map before.
	guard = 2*contactBound + 2*time.Second
	// beatPeriod is how often each neighbour gets a heartbeat, and beatTimeout bounds one.
	beatPeriod  = 2 * time.Second
	beatTimeout = time.Second
	// newsPause is the least time between two rounds of heartbeats that news calls for.
	newsPause = time.Second
	// askTimeout bounds an ask for tokens.
	askTimeout = 250 * time.Millisecond
	// recordTimeout bounds a message about an idempotency record.
	recordTimeout = 500 * time.Millisecond
	// fleetPeriod is how often the fleet map is looked after.
	fleetPeriod = 500 * time.Millisecond
	// proposeDelay is the delay of a proposal for each VM that goes first, and firstDelay that of the first.
	proposeDelay = 700 * time.Millisecond
	firstDelay   = 300 * time.Millisecond
	// mapPause is the least time between two maps that a VM proposes.
	mapPause = time.Second
	// appendTimeout bounds an append to the log.
	appendTimeout = 3 * time.Second
	// replySlack is how long after a request's deadline a dispatcher's reply is waited for.
	replySlack = 50 * time.Millisecond
	// shunFor is how long a dispatcher that did not answer is passed over.
	shunFor = 2 * time.Second
	// maxDispatchers bounds the dispatchers tried for a request, and maxLost those that may have run it.
	maxDispatchers = 4
	maxLost        = 2
	// stopGrace is how long a stopping VM serves what comes on connections it has, and new ones.
	stopGrace = 2 * time.Second
	// releaseTimeout bounds the wait for other VMs to take over what a stopping VM owns.
	releaseTimeout = 8 * time.Second
	// sessionIdle is how long a session to another daemon is kept without a call.
	sessionIdle = time.Minute
	// sweepPeriod is how often unused state is forgotten, and collectorIdle when a collector is.
	sweepPeriod   = 30 * time.Second
	collectorIdle = 5 * time.Minute
	// snapshotShare is the share of the log's retention after which a subtree is written again.
	snapshotShare = 4
	// maxEvents bounds the events kept for a dump.
	maxEvents = 256
	// certificatePeriod is how often a certificate is looked at for a change.
	certificatePeriod = 5 * time.Second
)
