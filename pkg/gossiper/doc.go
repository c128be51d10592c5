// Package gossiper keeps one VM's view of which VMs are live.
//
// Each VM exchanges heartbeats with a few others, at growing distances along a
// ring of the live VMs in the order of their hashes, so the traffic of a VM
// does not grow with the fleet and news reaches all in a few steps. Each VM
// passes on the same news a bounded number of times. The view is soft: it may
// be wrong for seconds, and serves soft roles only.
package gossiper
