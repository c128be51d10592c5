// Package tracker holds what a process knows of the configuration, the
// instances and the other VMs, with the age of the reads behind it. It numbers
// the changes, so that a peer can fetch those that it lacks.
package tracker
