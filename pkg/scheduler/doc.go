// Package scheduler decides which waiting request runs next, and where.
//
// Requests wait in one queue for each account and are served by round
// robin with equal weights, so no account's backlog delays another's. A
// request whose deadline cannot be met at the present rate of service is
// refused before it waits. The package does no I/O and starts no goroutine.
package scheduler
