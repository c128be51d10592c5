// Package messenger exchanges requests and replies with the other daemons of the fleet.
//
// A session between two daemons is a yamux connection. Each call uses one of
// its streams, and idle streams are reused by later calls. Messages are
// length-delimited protobuf. A session begins with a Hello, so that a daemon
// of another fleet, layout or protocol version is refused with a reason before
// any of its requests is handled.
package messenger
