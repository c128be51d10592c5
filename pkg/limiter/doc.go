// Package limiter enforces the rate limits of accounts across many VMs.
//
// An account's rate and burst are split into shards, each a token bucket with
// one owner, so the sum of the shards bounds the account without coordination.
// Owner keeps the shards that a VM owns and hands them over when the fleet map
// changes; Collector collects tokens for the requests that wait at a VM.
// Neither does I/O: messages, time and the fleet map are passed in.
package limiter
