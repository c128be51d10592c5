// Package witness decides whether a VM is in contact with its fleet.
//
// A VM that was paused or cut off must not act on what it knew before: a key
// may have been withdrawn or a partition may have a new owner. The decision is
// asked for right before each such act, so a resumed process finds its last
// contact stale however long it slept.
package witness
