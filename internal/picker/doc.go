// Package picker holds the balancers of all services for one process, its
// share of the fleet's retry budget, and the typical latency of each route.
package picker
