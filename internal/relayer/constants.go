package relayer

import "time"

const (
	// exchangeWait is how long a leader holds an exchange when there is nothing to tell. It is also how
	// old a report of load may get, so it is well below the time that a request runs: at half load, reports
	// that are 0.3 s old let nearly three times as many requests wait for a slot as ones of 0.1 s.
	exchangeWait = 60 * time.Millisecond
	// leaderExchangeWait is the same between leaders, whose bytes cross failure domains.
	leaderExchangeWait = 250 * time.Millisecond
	// leaderFullReportInterval is the least time between two full reports of one leader to another.
	leaderFullReportInterval = 500 * time.Millisecond
	// exchangeMargin is how much longer than the wait an answer may take until the leader counts as lost.
	exchangeMargin = 300 * time.Millisecond
	// reportDelay collects urgent outcomes until they are sent.
	reportDelay = 20 * time.Millisecond
	// minReplyInterval is the least time between two answers to one peer while there is always something to
	// tell. It bounds what a leader sends.
	minReplyInterval = 40 * time.Millisecond
	// fullReportInterval is the least time between two full reports to a follower: of the loads, and of the outcomes
	// that are not urgent.
	fullReportInterval = 50 * time.Millisecond
	// reportEntryBytes is about what a full report tells of one instance, in bytes.
	reportEntryBytes = 50
	// reportLinkShare is the part of its link that a leader uses for full reports; where that is too little for
	// loadPace, they come less often.
	reportLinkShare = 0.25
	// suspectTTL is how long a VM that did not answer is passed over.
	suspectTTL = time.Second
	// downAfter is how long a leader does not hear a VM of its domain until it is down.
	downAfter = 1500 * time.Millisecond
	// configurationPollWait is how long a leader's read of the configuration waits for a change. Its beliefs grow
	// as old as two such reads.
	configurationPollWait = 600 * time.Millisecond
	// registrationPollInterval is how often the registry is read for the fleet. A leaving instance must be out of
	// use within 2 s on all VMs.
	registrationPollInterval = 500 * time.Millisecond
	// peerPollInterval is how often a leader reads the list of VMs.
	peerPollInterval = 3 * time.Second
	// staleAfter is the age of the beliefs from which a VM reads the store itself: its leader may have lost
	// the store, and a change must be in force within 2 s. A follower's beliefs grow to 1.3 s.
	staleAfter = 1500 * time.Millisecond
	// leaderStaleAfter is the same for the leaders of domains, which pass on what they read: sooner, so that
	// not every VM reads when the one that reads for all cannot. Theirs grow to 0.8 s.
	leaderStaleAfter = 1100 * time.Millisecond
	// staleJitter spreads the reads of VMs that grow stale together.
	staleJitter = 300 * time.Millisecond
	// staleReadInterval is the least time between two such reads of one VM.
	staleReadInterval = 700 * time.Millisecond
	// storeTimeout is how long an answer of the store may take beyond the wait that was asked for.
	storeTimeout = 1500 * time.Millisecond
	// initialBackoff and longestPause bound the pauses after failed reads.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// followerInitialBackoff and longestFollowerPause are the same for reads that other VMs should have made. A key is
	// accepted for about 1.5 s after the beliefs are stale: two tries fit into that.
	followerInitialBackoff = 500 * time.Millisecond
	followerMaxBackoff     = 2 * time.Second
	// tickInterval is how often the roles are looked at.
	tickInterval = 100 * time.Millisecond
	// takeTimeout bounds the wait for tokens. Twice across failure domains takes 4 ms, but an owner whose
	// processor share is used up stands still for up to a tenth of a second.
	takeTimeout = 250 * time.Millisecond
	// maxTokenWait is how long a request may wait for a token, if there will be one by then.
	maxTokenWait = 120 * time.Millisecond
	// initialSeconds is the part of a second's rate that a new owner's bucket starts with, and
	// initialTokens what it has besides. What a change of owners adds must stay within the slack of the
	// rule, half a second's rate and 20 requests.
	initialSeconds = 0.1
	initialTokens  = 3
	// coldStartAge is how long ago nearly all VMs must have started for the fleet to count as started anew, and
	// freshShare how many are nearly all. No owner granted anything just before, so a new one begins
	// with freshTokens seconds of the rate: callers waited for the fleet, and come at once.
	coldStartAge     = 4 * time.Second
	coldStartShare   = 0.9
	coldStartSeconds = 1.0
	// fallbackRateShare is the part of an account's rate that all VMs together admit without its owner; the rule
	// leaves a tenth above the rate, and its slack.
	fallbackRateShare = 0.15
	// fallbackBurst is how many requests of an account one VM admits at once without its owner.
	fallbackBurst = 1
	// grantWindow is how long without its owner an account goes on at the rate it was lately granted here.
	// What the VMs were granted together was within the rate, and a new owner is known by then.
	grantWindow = 1500 * time.Millisecond
	// downMemberTTL is how long a VM that is down without having said that it leaves counts as one that may
	// still admit requests on its own side of a cut.
	downMemberTTL = 30 * time.Second
	// reachableSlack is what an owner adds to the part of the fleet it is in touch with. Two sides of a
	// cut add it twice, which the tenth above the rate covers.
	reachableSlack = 0.03
	// leaderCapacityShare is the part of the strongest VM's capacity that a leader must have.
	leaderCapacityShare = 0.5
	// outboxTTL is how long outcomes are kept for a peer that does not come for them.
	outboxTTL = 3 * time.Second
)
