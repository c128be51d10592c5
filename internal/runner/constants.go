package runner

import "time"

const (
	// addressLife is how long callers may keep a list of addresses. A VM that stops is no longer asked
	// three times as long after it left the list, half of its time to stop.
	addressLife = time.Second
	// leastAddresses is how many VMs of a caller's own failure domain suffice to name no others.
	leastAddresses = 3
	// maxAddresses is the most addresses that callers take from a list.
	maxAddresses = 64
	// acceptShare is the part of the time to stop in which callers may still come.
	acceptShare = 0.45
	// finishShare is the part of the time to stop in which requests may still end.
	finishShare = 0.93
	// idleShare is the part of the descriptors that idle connections to instances may take.
	idleShare = 0.25
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.6
	// collectorPercent makes the collector start early: memory costs more than the little processor time
	// that a heap of this size takes to scan.
	collectorPercent = 40
	// sweepPeriod is how often idle connections are looked through.
	sweepPeriod = time.Second
	// summaryPeriod is how often the requests that ended well are logged as one line.
	summaryPeriod = 5 * time.Second
)
