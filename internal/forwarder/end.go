package forwarder

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errNoEnd is returned instead of io.EOF if the connection may have been reset.
var errNoEnd = errors.New("the connection failed while the request was written")

// tcpCloseWait is the state of a connection that the peer has ended and not reset (TCP_CLOSE_WAIT of Linux' tcp_states.h).
const tcpCloseWait = 8

// CheckEnds returns a connection whose Read returns io.EOF only if the peer ended the connection in order.
//
// The kernel reports the failure of a connection only once, to a read or to a write, and further reads return an end. An end is
// therefore no proof while a write is running or if one has failed; the state of the connection then decides.
func CheckEnds(c net.Conn) net.Conn { return &endConn{Conn: c} }

// endConn is the connection of CheckEnds. It hides ReadFrom and WriteTo of the inner connection.
type endConn struct {
	net.Conn
	writing atomic.Int32
	failed  atomic.Bool
}

// Write implements net.Conn.
func (c *endConn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Read implements net.Conn.
func (c *endConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// A write that has ended since the first condition was checked has set the second.
	if errors.Is(err, io.EOF) && (c.writing.Load() > 0 || c.failed.Load()) && !peerEnded(c.Conn) {
		err = errNoEnd
	}
	return n, err
}

// peerEnded reports whether the peer has ended a TCP connection and not reset it since. One that is reset behind its end is in the
// same state as one that is reset without any.
func peerEnded(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == tcpCloseWait
	})
	return err == nil && ended
}
