// Package hedger decides when a request that may run more than once is sent to a second instance while the first one still
// runs it: a hedge.
//
// The load that it answers is a few instances that are much slower than the others, or silent, while the service has free
// slots. A hedge starts when the request runs longer than all but a share of the route's requests lately did; the same share
// of a service's requests is the limit on its hedges. When all instances are slow, the time that few requests exceed rises
// with them, and when few slots are free there are no hedges.
//
// Each VM decides for itself. A VM's credit is earned by the requests of callers that it counted, starts at zero and is lost
// with its process, so that over all VMs there are never more hedges than the share of the requests, however VMs start, stop
// or are cut off from each other. The package does no I/O and starts no goroutine.
package hedger
