package messenger

import "time"

const (
	// Protocol is the version of the message protocol. Daemons with different versions refuse each other's sessions.
	Protocol = 1
	// maxFrameBytes is the maximum size of a received message, in bytes.
	maxFrameBytes = 8 << 20
	// dialTimeout bounds dialing a peer and, separately, the TLS handshake and exchange of Hello that follow. It
	// also bounds that handshake on accepted connections.
	dialTimeout = time.Second
	// redialBackoff is the delay before an unreachable peer is dialed again.
	redialBackoff = 300 * time.Millisecond
	// refusedBackoff is the delay before a peer that refused the Hello is dialed again.
	refusedBackoff = 5 * time.Second
	// writeTimeout bounds a ping, and a write to a session whose peer does not read.
	writeTimeout = time.Second
	// pingInterval is the interval at which a session is pinged while a call waits for a reply. The first ping is sent
	// one interval after the wait begins.
	pingInterval = 300 * time.Millisecond
	// keepAliveInterval is the interval at which yamux pings every session, idle or not.
	keepAliveInterval = 20 * time.Second
	// maxIdleStreams is the maximum number of idle streams that a session keeps for reuse.
	maxIdleStreams = 64
	// maxStreamBacklog is the maximum number of streams in one session that a peer may have opened and that are not
	// accepted yet.
	maxStreamBacklog = 4096
)
