package server

import "time"

const (
	// contactBound is how long a VM may act on its configuration after it last proved contact with the fleet.
	contactBound = 5 * time.Second
	// logBound is the maximum age of the last complete read of the log for a VM to report that it can read
	// the log. It is below contactBound, so that all VMs learn of an outage before any is out of contact.
	logBound = contactBound / 2
	// guard is the time after a change of the fleet map by which no VM acts on the previous map any more.
	guard = 2*contactBound + 2*time.Second
	// beatPeriod is the interval between heartbeats to one neighbour, and beatTimeout bounds one exchange.
	beatPeriod  = 2 * time.Second
	beatTimeout = time.Second
	// newsPause is the minimum time between two rounds of heartbeats that changes of the known VMs trigger.
	newsPause = time.Second
	// askTimeout bounds a request to a shard's owner that takes or returns tokens.
	askTimeout = 250 * time.Millisecond
	// recordTimeout bounds a request about idempotency records, and one for the handoff of a rate partition.
	recordTimeout = 500 * time.Millisecond
	// fleetPeriod is the interval of the fleet loop, which proposes fleet maps and takes over partitions.
	fleetPeriod = 500 * time.Millisecond
	// firstDelay is how long the first VM in order waits before it proposes a fleet map; each later VM waits
	// proposeDelay longer than the one before it.
	proposeDelay = 700 * time.Millisecond
	firstDelay   = 300 * time.Millisecond
	// mapPause is the minimum time between two fleet maps that one VM proposes.
	mapPause = time.Second
	// appendTimeout bounds an append to the log.
	appendTimeout = 3 * time.Second
	// replySlack is how long after a request's deadline its sender still waits for the dispatcher's reply.
	replySlack = 50 * time.Millisecond
	// shunFor is how long a dispatcher that did not answer is tried only after the others.
	shunFor = 2 * time.Second
	// maxDispatchers is the maximum number of dispatchers tried for a request. maxLost is the maximum number of
	// dispatchers that got an idempotent request without a reply, each of which may have run it.
	maxDispatchers = 4
	maxLost        = 2
	// stopGrace is how long a stopping VM still serves new connections and all requests on existing ones.
	stopGrace = 2 * time.Second
	// releaseTimeout bounds how long a stopping VM waits for other VMs to take over its partitions and for its
	// dispatchers to become idle.
	releaseTimeout = 8 * time.Second
	// sessionIdle is how long a session to another daemon is kept without a call on it.
	sessionIdle = time.Minute
	// sweepPeriod is the interval at which unused state is removed, and collectorIdle is how long an unused
	// token collector is kept.
	sweepPeriod   = 30 * time.Second
	collectorIdle = 5 * time.Minute
	// snapshotShare divides the log's retention into the age at which a snapshot is written again.
	snapshotShare = 4
	// maxEvents is the number of latest events kept for dumps.
	maxEvents = 256
	// certificatePeriod is the minimum time between two checks whether a certificate file changed.
	certificatePeriod = 5 * time.Second
)
