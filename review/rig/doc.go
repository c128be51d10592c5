// Program rig starts a small deployment as separate processes on loopback and judges one rule: the project's own program as the
// daemons, and stand-ins for the platform's store, the instances, the operator and the clients. The scripts of review/11 to
// review/15 run it.
package main
