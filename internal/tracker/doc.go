// Package tracker holds what a process believes of the configuration, the
// instances and the other VMs, with the age of the reads behind it, and the
// changes in the order in which a peer is to be told of them.
package tracker
