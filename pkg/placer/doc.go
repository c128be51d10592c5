// Package placer assigns roles to VMs by rendezvous hashing.
//
// All VMs that know the same candidates compute the same assignment, so the VM
// for a role is found without any messages. View is for soft roles only: those
// whose state may be lost or kept by two VMs at once without breaking a
// guarantee. Roles whose state must have a single owner are assigned by package
// mapper.
package placer
