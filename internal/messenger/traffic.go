package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of connections. The zero value is ready.
type Traffic struct {
	in, out atomic.Int64
}

type countedConn struct {
	net.Conn
	t *Traffic
}

// Wrap returns a connection whose bytes are counted.
func (t *Traffic) Wrap(c net.Conn) net.Conn { return countedConn{c, t} }

// Bytes returns the bytes received and sent so far.
func (t *Traffic) Bytes() (in, out int64) { return t.in.Load(), t.out.Load() }

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
func (m *Messenger) Traffic() (in, out int64) { return m.traffic.Bytes() }
