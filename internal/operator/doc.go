// Package operator serves the HTTP endpoints for operators of one VM: a dump of
// its state, a stream of its events, its metrics and its profiles.
package operator
