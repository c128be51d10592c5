// Package mapper keeps the fleet map: which VMs own the state that must have one owner.
//
// The map is a chain of changes on an append-only log. Each change names the
// map it replaces, and the first valid successor in offset order wins, so all
// readers of the log agree without further messages. Partitions of the
// accounts' rates and of the idempotency records are placed over the map's members
// by rendezvous hashing.
package mapper
