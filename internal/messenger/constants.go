package messenger

import "time"

const (
	// Protocol is the version of the messages; daemons of different versions refuse each other.
	Protocol = 1
	// maxFrame is the largest message, in bytes.
	maxFrame = 8 << 20
	// dialTimeout bounds the opening of a session, the Hello included.
	dialTimeout = time.Second
	// redialPause is how long a peer that could not be reached is not dialed again.
	redialPause = 300 * time.Millisecond
	// refusedPause is how long a peer that refused the Hello is not dialed again.
	refusedPause = 5 * time.Second
	// writeTimeout bounds a write to a session whose other end does not read, and a ping.
	writeTimeout = time.Second
	// silence is how long a reply may take until the session is probed.
	silence = 300 * time.Millisecond
	// keepAlive is how often an idle session is probed.
	keepAlive = 20 * time.Second
	// maxIdle bounds the streams that a session keeps for later calls.
	maxIdle = 64
	// maxStreams bounds the streams that a peer may have open in one session.
	maxStreams = 4096
)
