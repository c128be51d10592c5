// Package placer places roles on VMs by rendezvous hashing.
//
// Every VM that knows the same candidates computes the same place, so a role
// is found without a message. View is for soft roles only: those whose state
// may be lost or held twice without breaking a guarantee. Roles whose state
// must have one owner are placed by package mapper.
package placer
