package dispatcher

import "time"

const (
	// MaxGroup is the largest number of instances in a group.
	MaxGroup = 32
	// MaxWhole is how much of a response body is read before any of it is forwarded, in bytes. A longer body is
	// streamed.
	MaxWhole = 1 << 20
	// maxQueue bounds the queued requests of one client account in a group.
	maxQueue = 1024
	// maxHeld bounds the total size of the bodies of all requests at a dispatcher, in bytes.
	maxHeld = 64 << 20
	// maxIdlePerBackend bounds the idle connections to a backend server.
	maxIdlePerBackend = 64
	// tick is the interval at which a group that is not idle checks deadlines, trials, overdue requests and probes.
	tick = 20 * time.Millisecond
	// groupIdle is how long a group without requests is kept.
	groupIdle = 10 * time.Minute
	// probePeriod is the interval between probes of an instance that gets no requests, and probeTimeout bounds a
	// probe.
	probePeriod  = time.Second
	probeTimeout = time.Second
	// connectTimeout bounds connecting to a backend server.
	connectTimeout = time.Second
	// idleConnection is how long an idle connection to a backend server is kept.
	idleConnection = 30 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount set the TCP keep-alive probes that detect dead connections.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// silentIdle is the idle time of a reused connection from which on a missing response is attributed to the
	// connection rather than to the backend server.
	silentIdle = time.Second
	// retryShare is how much of a retry each idempotent request adds to the retry budget, and retryBurst the size of
	// the budget. Hedges use the same budget.
	retryShare = 0.1
	retryBurst = 10
	// maxTries bounds the retries of an idempotent request: once this many of its tries may have started, it is
	// retried only if the last one certainly did not start.
	maxTries = 3
	// maxShifts bounds the retries of a request, including those after tries that did not start.
	maxShifts = 6
	// overdueFactor times the detector's slow latency is the age from which on a running request is overdue.
	overdueFactor = 1.5
	// minOverdue is the least age of an overdue request, and the least hedge delay.
	minOverdue = 10 * time.Millisecond
)

// Headers between this system and the backend servers.
const (
	// HeaderRequestID carries the request ID; a response may echo it.
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
