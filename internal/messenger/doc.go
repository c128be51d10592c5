// Package messenger exchanges messages with the other daemons of the fleet.
//
// A session between two daemons is a yamux connection; each call uses one of
// its streams, which later calls use again. Messages are length-delimited
// protobuf. A session begins with a Hello, so that a daemon of another fleet,
// layout or protocol version is refused with a reason before it can do harm.
package messenger
