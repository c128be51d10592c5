// Package balancer chooses the instance of a service that gets a request.
//
// Each instance has a log-likelihood ratio of being sick against being well,
// which its outcomes raise and lower and which fades with time. What a
// process saw itself and what its peers report count alike, except for
// trouble on the path, which may be the observer's own: it counts in full for
// the observer and little for others. Requests that may run only once go to
// instances that are not suspected; idempotent requests try out those of which
// nothing was heard for a while, so that none is judged by old news. Among those left, the one with the shortest expected wait
// wins, and crossing failure domains counts as a wait.
//
// The package does no I/O, and is not safe for concurrent use.
package balancer
