// Package operator serves the operators of one VM: the dump of its state, its
// events as they happen, and its metrics.
package operator
