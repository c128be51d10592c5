// Package dispatcher sends requests to backend servers.
//
// One VM dispatches all requests to a group of a service's instances.
// It therefore knows which slots are in use, has the only fair queue for
// them, and observes every sign that an instance is unhealthy. Package
// scheduler chooses the next request and its instance, and package detector
// decides which instances are ejected; this package does the network I/O.
package dispatcher
