package server

import "time"

const (
	// maxContactAge is how long a VM may act on its configuration after it last proved contact with the fleet.
	maxContactAge = 5 * time.Second
	// maxLogReadAge is the maximum age of the latest read up to the log's end for a VM to report that it can read
	// the log. It is below maxContactAge, so that all VMs learn of an outage before any is out of contact.
	maxLogReadAge = maxContactAge / 2
	// guardPeriod is the time after a change of the fleet map by which no VM acts on the previous map any more.
	guardPeriod = 2*maxContactAge + 2*time.Second
	// heartbeatInterval is the interval between heartbeats to one neighbour, and heartbeatTimeout bounds one exchange.
	heartbeatInterval = 2 * time.Second
	heartbeatTimeout  = time.Second
	// minBroadcastInterval is the minimum time between two rounds of heartbeats that changes of the known VMs trigger.
	minBroadcastInterval = time.Second
	// tokenTimeout bounds a request to a shard's owner that takes or returns tokens.
	tokenTimeout = 250 * time.Millisecond
	// recordTimeout bounds a request about idempotency records, and one for the handoff of a rate partition.
	recordTimeout = 500 * time.Millisecond
	// finishRetryDelay is the delay before a result is sent again to a holder, which doubles up to maxFinishRetryDelay.
	finishRetryDelay    = 100 * time.Millisecond
	maxFinishRetryDelay = 15 * time.Second
	// fleetInterval is the interval of the fleet loop, which proposes fleet maps and takes over partitions.
	fleetInterval = 500 * time.Millisecond
	// firstProposalDelay is how long the first VM in order waits before it proposes a fleet map; each later VM waits
	// proposalStagger longer than the one before it.
	proposalStagger    = 700 * time.Millisecond
	firstProposalDelay = 300 * time.Millisecond
	// minProposalInterval is the minimum time between two fleet maps that one VM proposes.
	minProposalInterval = time.Second
	// appendTimeout bounds an append to the log.
	appendTimeout = 3 * time.Second
	// replyGracePeriod is how long after a request's deadline its sender still waits for the dispatcher's reply.
	replyGracePeriod = 50 * time.Millisecond
	// demotionTTL is how long a dispatcher that did not answer is tried only after the others.
	demotionTTL = 2 * time.Second
	// maxDispatchers is the maximum number of dispatchers tried for a request. maxLostReplies is the maximum number of
	// dispatchers that got an idempotent request without a reply, each of which may have run it.
	maxDispatchers = 4
	maxLostReplies = 2
	// stopGracePeriod is how long a stopping VM still serves new connections and all requests on existing ones.
	stopGracePeriod = 2 * time.Second
	// answerMargin is the time for the answer to a request that ends at its deadline while the VM stops.
	answerMargin = 100 * time.Millisecond
	// handOverTimeout bounds how long a stopping VM waits for other VMs to take over its partitions and for its
	// dispatchers to become idle.
	handOverTimeout = 8 * time.Second
	// sessionIdleTimeout is how long a session to another daemon is kept without a call on it.
	sessionIdleTimeout = time.Minute
	// sweepInterval is the interval at which unused state is removed, and collectorTTL is how long an unused
	// token collector is kept.
	sweepInterval = 30 * time.Second
	collectorTTL  = 5 * time.Minute
	// snapshotDivisor divides the log's retention into the age at which a snapshot is written again.
	snapshotDivisor = 4
	// maxEvents is the number of latest events kept for dumps.
	maxEvents = 256
	// certificateCheckInterval is the minimum time between two checks whether a certificate file changed.
	certificateCheckInterval = 5 * time.Second
)
