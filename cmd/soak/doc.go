// Command soak runs daemons as separate processes on loopback, injects random faults from outside the processes, and
// checks the guarantees of the product by what callers and backend servers observe.
//
// The same seed draws the same sequence of faults, durations and pauses. The command starts the daemons itself and ends
// no other processes.
package main
