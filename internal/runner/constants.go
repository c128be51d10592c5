package runner

import "time"

const (
	// addressLife is how long callers may cache a list of addresses. A stopping VM gets no more requests three
	// times this long after it left the list, which is half of its grace period (6 s by default).
	addressLife = time.Second
	// leastAddresses is how many VMs of a caller's own failure domain suffice to list no VMs of others.
	leastAddresses = 3
	// maxAddresses is how many addresses of a list callers use at most.
	maxAddresses = 64
	// acceptShare is the fraction of the grace period during which a stopping VM still accepts connections.
	acceptShare = 0.45
	// finishShare is the fraction of the grace period within which requests in flight may still finish.
	finishShare = 0.93
	// idleShare is the fraction of the file descriptors that idle connections to instances may use.
	idleShare = 0.25
	// memoryShare is the fraction of the memory limit that is set as the soft limit of the Go runtime, near which
	// garbage is collected more often.
	memoryShare = 0.6
	// collectorPercent is the garbage collection target percentage. It is lower than the default of 100, because
	// memory costs more than the little CPU time that scanning a heap of this size takes.
	collectorPercent = 40
	// sweepPeriod is the time between sweeps of idle connections and peer sessions.
	sweepPeriod = time.Second
	// summaryPeriod is the time between summary lines in the log.
	summaryPeriod = 5 * time.Second
)
