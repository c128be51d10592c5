// Package relayer keeps the VMs of a fleet informed through few reads of the
// platform's store.
//
// In each failure domain one VM leads: it reads the store, and the others hold
// an exchange open to it that brings changes, the age of the reads, and what
// others saw of the instances. Leaders exchange the same with each other. Who
// leads follows from the list of VMs, so no election is needed; a VM that
// hears nothing fresh asks the next in order, and reads for itself if need be.
//
// The package also divides the rates of client accounts: each account has one
// VM that holds its token bucket, and all VMs take tokens from it.
package relayer
