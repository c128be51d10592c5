// Package gossiper keeps one VM's view of which VMs are live.
//
// Each VM exchanges heartbeats with a few others, at distances that double
// along a ring of the live VMs in the order of their hashes, so the traffic of
// a VM does not grow with the fleet and news reaches all in a logarithmic
// number of steps. News is passed on with every heartbeat for a while. The
// view is soft: it may be wrong for seconds, and serves soft roles only.
package gossiper
