package dispatcher

import "time"

const (
	// MaxGroupSize is the largest number of instances in a group.
	MaxGroupSize = 32
	// MaxBufferedBody is how much of a response body is read before any of it is forwarded, in bytes. A longer body is
	// streamed.
	MaxBufferedBody = 1 << 20
	// maxHeadBytes bounds the head of a response, in bytes.
	maxHeadBytes = 64 << 10
	// maxQueuedPerAccount bounds the queued requests of one client account in a group.
	maxQueuedPerAccount = 1024
	// maxTotalBodyBytes bounds the total size of the bodies of all requests at a dispatcher, in bytes.
	maxTotalBodyBytes = 64 << 20
	// maxIdlePerBackend bounds the idle connections to a backend server.
	maxIdlePerBackend = 64
	// tickInterval is the interval at which a group that is not idle checks deadlines, trials, overdue requests and
	// probes.
	tickInterval = 20 * time.Millisecond
	// idleGroupTTL is how long a group without requests is kept.
	idleGroupTTL = 10 * time.Minute
	// probeInterval is the interval between probes of an instance that gets no requests, and probeTimeout bounds a
	// probe.
	probeInterval = time.Second
	probeTimeout  = time.Second
	// connectTimeout bounds connecting to a backend server.
	connectTimeout = time.Second
	// idleConnTimeout is how long an idle connection to a backend server is kept.
	idleConnTimeout = 30 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount set the TCP keep-alive probes that detect dead connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// staleConnIdleTime is how long a reused connection must have been idle for a missing response to be attributed
	// to the connection rather than to the backend server.
	staleConnIdleTime = time.Second
	// retryRatio is the fraction of a retry that each idempotent request adds to the retry budget, and retryBurst is
	// the initial and the maximum budget. Hedges use the same budget.
	retryRatio = 0.1
	retryBurst = 10
	// maxStartedTries bounds the retries of an idempotent request: once this many of its tries may have started, it is
	// retried only if the last one certainly did not start.
	maxStartedTries = 3
	// maxRetries bounds the retries of a request, including those after tries that did not start.
	maxRetries = 6
	// overdueFactor is how many times the detector's slow latency a request must be in flight to be overdue.
	overdueFactor = 1.5
	// minOverdueAge is the minimum age of an overdue request, and the minimum hedge delay.
	minOverdueAge = 10 * time.Millisecond
)

// Headers between this system and the backend servers.
const (
	// HeaderRequestID carries the request ID; responses may echo it, either all or none of a backend server.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "X-Request-Timeout-Ms"
	// HeaderState says why a backend server refused a request before starting it, or that it is draining.
	HeaderState = "X-Backend-State"
	// HeaderAccount names the client account of the request to the backend server.
	HeaderAccount = "X-Client-Account"

	stateShedding = "shedding"
	stateDraining = "draining"
	stateStarting = "starting"
)
