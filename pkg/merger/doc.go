// Package merger keeps the configuration tree: one subtree for each team,
// merged from changes on an append-only log.
//
// Each change names the version of the subtree that it is based on. Of two
// concurrent changes based on the same version, every reader accepts the one
// that comes first in the log and rejects the other, since the outcome depends
// on the log alone. Snapshots of the subtrees let new readers build the tree
// after the log has dropped its oldest records.
package merger
