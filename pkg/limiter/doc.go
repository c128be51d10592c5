// Package limiter holds accounts to their rates across many VMs.
//
// An account's rate and burst are split into shards, each a token bucket with
// one owner, so the sum of the shards bounds the account without coordination.
// Owner keeps the shards that a VM owns and passes them on when the fleet map
// changes; Collector gathers tokens for the requests that wait at a VM.
// Neither does I/O: messages, time and the fleet map are handed in.
package limiter
