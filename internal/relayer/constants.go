package relayer

import "time"

// configurationStaleness is the staleness of the configuration: a change must be in force within 2 s. In normal
// operation, the configuration reaches an age of 1.1 s.
var configurationStaleness = staleness{leader: 1100 * time.Millisecond, follower: 1500 * time.Millisecond, jitter: 300 * time.Millisecond}

const (
	// exchangeWait is how long a leader delays its reply to a follower while it has no changes. It also bounds the
	// age of load reports, so it is well below the run time of a request: at half load, reports that are 0.3 s old
	// let nearly three times as many requests wait for a slot as reports that are 0.1 s old.
	exchangeWait = 60 * time.Millisecond
	// leaderExchangeWait is the exchangeWait between leaders, whose traffic crosses failure domains.
	leaderExchangeWait = 250 * time.Millisecond
	// leaderFullReportInterval is the minimum time between two full reports from one leader to another.
	leaderFullReportInterval = 500 * time.Millisecond
	// exchangeMargin is how much longer than the requested wait a reply may take before the peer is suspected.
	exchangeMargin = 300 * time.Millisecond
	// reportDelay is how long urgent outcomes are collected before they are sent.
	reportDelay = 20 * time.Millisecond
	// minReplyInterval is the minimum time between two replies to one peer while there are always changes to send.
	// It bounds the traffic that a leader sends.
	minReplyInterval = 40 * time.Millisecond
	// fullReportInterval is the minimum time between two full reports to a follower, and between two load reports to
	// a leader. A full report holds the loads and the outcomes that are not urgent.
	fullReportInterval = 50 * time.Millisecond
	// reportEntryBytes is the approximate size of the entry of one instance in a full report, in bytes.
	reportEntryBytes = 50
	// reportLinkShare is the share of its link that a leader uses for full reports. If that does not suffice for
	// fullReportInterval, the interval is extended.
	reportLinkShare = 0.25
	// suspectTTL is how long a VM that did not answer, or a leader whose state was stale, is skipped.
	suspectTTL = time.Second
	// downAfter is how long a VM may be silent before the leader of its domain marks it down.
	downAfter = 1500 * time.Millisecond
	// configurationPollWait is how long a read of the configuration for the fleet waits for a change. The configuration of
	// the VM that reads reaches the age of two such reads.
	configurationPollWait = 350 * time.Millisecond
	// registrationPollInterval is the time between two reads of the registry for the fleet, unless registrationPollShare
	// of the drain timeout is less.
	registrationPollInterval = 500 * time.Millisecond
	registrationPollShare    = 0.25
	// peerPollInterval is the time between two reads of the list of VMs for the fleet.
	peerPollInterval = 3 * time.Second
	// withdrawAfter is how long after it was last heard of the announcement of a VM that leaves is withdrawn, unless it started
	// again. One call withdraws maxWithdrawals at most, some 200 B each.
	withdrawAfter  = 2 * time.Second
	maxWithdrawals = 1000
	// leaderStaleShare, followerStaleShare and staleJitterShare are the staleness of the instances as shares of the drain
	// timeout. After the read, the request has yet to reach the instance.
	leaderStaleShare   = 0.55
	followerStaleShare = 0.65
	staleJitterShare   = 0.15
	// staleReadInterval is the minimum time between two reads of one VM because of stale state.
	staleReadInterval = 700 * time.Millisecond
	// StoreTimeout is how long a call to the store may go without progress, in addition to the wait that the call requests.
	// With the backoff, it is less than the 3 s after which a VM must know all changes again that it missed while it or the
	// store was away.
	StoreTimeout = time.Second
	// A read of the registry without a response counts as unanswered after unansweredChecks checks at unansweredCheckInterval.
	unansweredChecks        = 6
	unansweredCheckInterval = 50 * time.Millisecond
	// maxReadTime bounds a read that may take several calls. A VM whose read takes long gets what others read first.
	maxReadTime = 20 * time.Second
	// initialBackoff and maxBackoff bound the delay before a failed call to the store is retried.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// followerInitialBackoff and followerMaxBackoff apply to reads that other VMs should have made. A key is accepted
	// for about 1.5 s after the configuration became stale, which leaves time for two attempts.
	followerInitialBackoff = 500 * time.Millisecond
	followerMaxBackoff     = 1800 * time.Millisecond
	// peersFirstTimeout is how long after its start a VM waits for its peers' state before it reads the store itself; requests
	// wait for 0.9 s. It checks every startCheckInterval whether it may read.
	peersFirstTimeout  = 700 * time.Millisecond
	startCheckInterval = 10 * time.Millisecond
	// leaderTimeout is how long a VM that starts waits for the state of its domain's leader before it asks all leaders.
	leaderTimeout = 300 * time.Millisecond
	// formationTime is how long after its start a VM of a new fleet reads the list of VMs again: all VMs start within
	// 0.3 s and then announce themselves.
	formationTime = 600 * time.Millisecond
	// announceCheckInterval is the time between checks of whether this VM must announce itself again, and announceSpread
	// the part of each VM in the time over which all VMs do, which bounds the writes to the store.
	announceCheckInterval = 200 * time.Millisecond
	announceSpread        = 10 * time.Millisecond
	// restoreSettleTime is how long after a restore of the store the configuration that it has is not taken for the newest
	// one: the operator writes again what was lost.
	restoreSettleTime = 300 * time.Millisecond
	// drainSettleTime is the same for failure domains whose drain the store lacks after a restore: nothing is lost for callers
	// but the room of a domain that was to be empty, so that it allows for a slow operator.
	drainSettleTime = 3 * time.Second
	// tickInterval is how often a VM checks which roles it has.
	tickInterval = 100 * time.Millisecond
	// takeTimeout bounds a call to an account's owner. Two crossings of failure domains take 4 ms, but an owner that
	// used up its CPU quota may be paused for up to 0.1 s.
	takeTimeout = 250 * time.Millisecond
	// maxTokenWait is how long a request may wait for a token that will be available by then.
	maxTokenWait = 120 * time.Millisecond
	// The bucket of a new owner starts with initialSeconds of the account's rate and initialTokens tokens. A change
	// of owner must not add more than the tolerance of the rate rule: half a second's rate and 20 requests.
	initialSeconds = 0.1
	initialTokens  = 3
	// The fleet is in a cold start while at least coldStartShare of its VMs started less than coldStartAge ago.
	// No former owner has granted tokens just before, so a new owner's bucket starts with coldStartSeconds of the
	// rate: callers waited for the fleet and send their requests at once.
	coldStartAge     = 4 * time.Second
	coldStartShare   = 0.9
	coldStartSeconds = 1.0
	// lostBucketTTL is how long the bucket of an account is kept after another VM became its owner.
	lostBucketTTL = time.Minute
	// connectedRateShare and isolatedRateShare are the shares of an account's rate that all VMs together admit without its
	// owner and beyond loans: VMs that reach more than connectedShare of the fleet, and others. An owner counts with the latter.
	connectedRateShare = 0.05
	isolatedRateShare  = 0.15
	connectedShare     = 0.5
	// Where a fleet has more VMs than maxLoneVMs and than the account's rate, they admit nothing beyond loans: a third of them,
	// each with one request, would exceed the tolerance of the rate rule.
	maxLoneVMs = 60.0
	// An owner lends loanShare of what an account may get in a window, and loanTokens, beyond the rate. It is half of the tolerance
	// of the rate rule, as the next owner may be lost as well.
	loanShare  = 0.055
	loanTokens = 10
	// The bucket of an instance's limit holds limitBurst tokens and limitBurstSeconds of the VM's share of the limit. It
	// starts with the VM's share of limitBurst: many VMs that are each cut off would add up a token each.
	limitBurst        = 1
	limitBurstSeconds = 0.25
	// warmupBurstSeconds replaces limitBurstSeconds while an instance warms up: its limit holds for each second.
	warmupBurstSeconds = 0.1
	// limitOwnerBackoff is how long an instance is skipped whose limit's owner did not answer.
	limitOwnerBackoff = 300 * time.Millisecond
	// maxLimitDelay bounds the time after which an owner is asked again: the limit may have ended.
	maxLimitDelay = 2 * time.Second
	// limitBucketTTL is how long an unused bucket of a limit is kept.
	limitBucketTTL = time.Minute
	// downMemberTTL is how long a VM that went down without announcing that it leaves is counted as a VM that may
	// still admit requests on its side of a network partition.
	downMemberTTL = 30 * time.Second
	// reachableSlack is the part of the share of the fleet that an owner reaches which is added to it. All sides of a network
	// partition together add it once, which the tenth above the rate covers.
	reachableSlack = 0.03
	// leaderCapacityShare is the minimum capacity of a leader, as a share of the capacity of the strongest candidate.
	leaderCapacityShare = 0.5
	// partBytes is the size of the parts in which configurations are passed on, in bytes: 7 ms of a link of 20 Mbit/s.
	partBytes = 16 << 10
	// partTimeout bounds the request for one part. A VM waits for room on its link for up to maxPartDelay before it sends
	// a part, and refuses to if that does not suffice.
	partTimeout  = 2 * time.Second
	maxPartDelay = 500 * time.Millisecond
	// fetchRetryDelay is the mean delay before a fetch that failed is continued.
	fetchRetryDelay = 100 * time.Millisecond
	// catchUpTimeout bounds the fetch from each leader before a VM serves.
	catchUpTimeout = time.Second
	// transferLinkShare is the share of its link that a VM uses to pass configurations on.
	transferLinkShare = 0.5
	// A VM keeps up to maxChanges changes of the configuration, of maxChangesBytes together, and maxWholes whole ones. One
	// that is more than maxSteps changes behind gets a whole configuration.
	maxChanges      = 64
	maxChangesBytes = 1 << 20
	maxWholes       = 2
	maxSteps        = 16
	// maxConfigurationBytes and maxContentBytes bound a decoded and an encoded configuration, in bytes.
	maxConfigurationBytes = 256 << 20
	maxContentBytes       = 64 << 20
	// outboxTTL is how long outcomes are kept for a peer that does not fetch them, and how long its load report is
	// used.
	outboxTTL = 3 * time.Second
)
