package dispatcher

import "time"

const (
	// MaxGroupSize is how many instances a group has at most.
	MaxGroupSize = 32
	// MaxBufferedBody is how much of an answer is read before any of it is passed on, in bytes.
	MaxBufferedBody = 1 << 20
	// maxQueue bounds the waiting requests of one account in a group.
	maxQueue = 1024
	// maxHeld bounds the bodies of all requests at a dispatcher, in bytes.
	maxHeld = 64 << 20
	// maxIdlePerBackend bounds the unused connections kept to a backend server.
	maxIdlePerBackend = 64
	// tick is how often a group looks after deadlines, trials and overdue requests.
	tick = 20 * time.Millisecond
	// groupIdle is how long an unused group is kept.
	groupIdle = 10 * time.Minute
	// probePeriod is how often an instance that ran nothing is probed, and probeTimeout bounds a probe.
	probePeriod  = time.Second
	probeTimeout = time.Second
	// connectTimeout bounds the opening of a connection to a backend server.
	connectTimeout = time.Second
	// idleConnection is how long an unused connection to a backend server is kept.
	idleConnection = 30 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that went silent.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// silentIdle is how long a connection must have idled for its silence to be its own fault.
	silentIdle = time.Second
	// retryShare is the share of requests that may be tried a second time, and retryBurst the tries saved up.
	retryShare = 0.1
	retryBurst = 10
	// maxTries bounds the tries of an idempotent request.
	maxTries = 3
	// maxShifts bounds how often a request that did not start goes to another instance.
	maxShifts = 6
	// overdueFactor is by how much a running request exceeds the group's slow latency to be overdue.
	overdueFactor = 1.5
	// minOverdue is the least time after which a request is overdue.
	minOverdue = 10 * time.Millisecond
)

// Headers of the backend servers' protocol.
const (
	// HeaderRequestID carries the request's id; an answer may echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "X-Request-Timeout-Ms"
	// HeaderState tells why a backend server refused a request before starting it, or that it drains.
	HeaderState = "X-Backend-State"
	// HeaderAccount names the client account of the request to the backend server.
	HeaderAccount = "X-Client-Account"

	stateShedding = "shedding"
	stateDraining = "draining"
	stateStarting = "starting"
)
