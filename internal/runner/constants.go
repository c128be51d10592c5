package runner

import "time"

const (
	// addressTTL is how long callers may cache a list of addresses. A stopping VM gets no more requests three
	// times this long after it left the list, which is half of its grace period (6 s by default).
	addressTTL = time.Second
	// minLocalAddresses is how many VMs of a caller's own failure domain suffice to list no VMs of others.
	minLocalAddresses = 3
	// maxAddresses is how many addresses of a list callers use at most.
	maxAddresses = 64
	// acceptFraction is the fraction of the grace period during which a stopping VM still accepts connections.
	acceptFraction = 0.45
	// finishFraction is the fraction of the grace period within which requests in flight may still finish.
	finishFraction = 0.93
	// answerMargin is the time for the answer to a request that ends at its deadline.
	answerMargin = 100 * time.Millisecond
	// idleConnFraction is the fraction of the file descriptors that idle connections to instances may use.
	idleConnFraction = 0.25
	// bodyMemoryFraction is the fraction of the memory limit that buffered request bodies may take, and response bodies again.
	bodyMemoryFraction = 0.125
	// memoryLimitFraction is the fraction of the memory limit that is set as the soft limit of the Go runtime, near
	// which garbage is collected more often.
	memoryLimitFraction = 0.6
	// gcPercent is the garbage collection target percentage. It is lower than the default of 100, because
	// memory costs more than the little CPU time that scanning a heap of this size takes.
	gcPercent = 40
	// sweepInterval is the time between sweeps of idle connections and peer sessions.
	sweepInterval = time.Second
	// summaryInterval is the time between summary lines in the log.
	summaryInterval = 5 * time.Second
)
