package messenger

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes of all sessions.
type traffic struct {
	in, out atomic.Int64
}

type countedConn struct {
	net.Conn
	t *traffic
}

func (t *traffic) count(c net.Conn) net.Conn { return countedConn{c, t} }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.out.Add(int64(n))
	return n, err
}

// Traffic returns the bytes received from and sent to peers since the start.
func (m *Messenger) Traffic() (in, out int64) { return m.traffic.in.Load(), m.traffic.out.Load() }
