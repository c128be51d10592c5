// Package mapper keeps the fleet map, which assigns to VMs the state that must have a single owner.
//
// The map is a chain of changes on an append-only log. Each change names the
// map it replaces, and the first valid successor in offset order wins, so all
// readers of the log agree without further messages. Partitions of the
// accounts' rate limits and of the idempotency records are assigned to the map's
// members by rendezvous hashing.
package mapper
