// Package asserter checks the guarantees of the system while it runs.
//
// A check is cheap enough to stay on in production. What happens on a
// violation is the embedder's choice: a daemon logs and counts it, a test
// fails.
package asserter
