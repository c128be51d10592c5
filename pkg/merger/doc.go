// Package merger keeps the configuration tree: one subtree for each team,
// merged from changes on an append-only log.
//
// Each change names the version of the subtree it is based on; of two that
// race, the first on the log wins at every reader and the other is refused at
// every reader, since the log alone decides. Snapshots of the subtrees keep
// the tree readable when the log drops its oldest records.
package merger
