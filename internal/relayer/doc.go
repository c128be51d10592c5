// Package relayer shares the platform's state between the VMs of a fleet, so
// that few of them read the platform's store.
//
// In each failure domain, one VM is the leader: it reads the store, and the
// other VMs long-poll it for changes, the age of the reads, and the outcomes
// and loads that other VMs reported for the instances. Leaders exchange the
// same with each other. The leader follows from the list of VMs, so there is
// no election. A VM whose leader's state is stale polls the next VM in order,
// and reads the store itself if necessary.
//
// The package also enforces the rates of client accounts: each account has one
// owner, a VM that holds its token bucket, and all VMs take tokens from it.
package relayer
