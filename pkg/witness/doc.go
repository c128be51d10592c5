// Package witness decides whether a VM is in contact with its fleet.
//
// A VM that was paused or partitioned from the network must not act on its old
// state: a key may have been revoked, or a partition may have a new owner.
// Callers ask for the decision immediately before each such act, so that a
// process that resumes after a pause of any length finds its last contact
// expired.
package witness
