package messenger

import "time"

const (
	// Protocol is the version of the message protocol. Daemons with different versions refuse each other's sessions.
	Protocol = 1
	// maxFrame is the maximum size of a received message, in bytes.
	maxFrame = 8 << 20
	// dialTimeout bounds dialing a peer and, separately, the TLS handshake and exchange of Hello that follow. It
	// also bounds that handshake on accepted connections.
	dialTimeout = time.Second
	// redialPause is the delay before an unreachable peer is dialed again.
	redialPause = 300 * time.Millisecond
	// refusedPause is the delay before a peer that refused the Hello is dialed again.
	refusedPause = 5 * time.Second
	// writeTimeout bounds a ping, and a write to a session whose peer does not read.
	writeTimeout = time.Second
	// silence is the interval at which a session is pinged while a call waits for a reply. The first ping is sent one
	// interval after the wait begins.
	silence = 300 * time.Millisecond
	// keepAlive is the interval at which yamux pings every session, idle or not.
	keepAlive = 20 * time.Second
	// maxIdle is the maximum number of idle streams that a session keeps for reuse.
	maxIdle = 64
	// maxStreams is the maximum number of streams in one session that a peer may have opened and that are not
	// accepted yet.
	maxStreams = 4096
)
