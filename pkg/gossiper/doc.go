// Package gossiper keeps one VM's view of which VMs are live.
//
// Each VM exchanges heartbeats with a few neighbours, at exponentially growing
// distances along a ring of the live VMs sorted by hash. So the traffic of a VM
// does not grow with the fleet, and a state change reaches all VMs in a few
// hops. Each VM forwards the same state change a bounded number of times. The
// view may be wrong for seconds and serves only roles that tolerate that.
package gossiper
