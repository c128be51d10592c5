// Package scheduler decides which waiting request runs next, and on which
// instance.
//
// Requests wait in one queue for each account. The accounts are served in
// proportion to their weights, so that under overload each account gets its
// share of the capacity, whatever the backlog of the others. A request that
// cannot meet its deadline at the current rate of service is refused
// immediately instead of being queued.
//
// The package does no I/O and starts no goroutine.
package scheduler
