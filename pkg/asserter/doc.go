// Package asserter checks the guarantees of the system at run time.
//
// Checks are cheap enough to be enabled in production. The embedding program
// decides what happens on a violation: a daemon logs and counts it, and a test
// fails.
package asserter
