package forwarder

import (
	"net"
	"net/netip"
)

// Connection describes the connection that carried a request.
type Connection struct {
	// Local is the address of its local end; invalid if no connection was opened.
	Local netip.AddrPort
	// Carried is the number of requests that it had carried before.
	Carried int
	// Repeated is set if the request was among these, by its ID; Send prevents that.
	Repeated bool
}

// describe returns what is known of the connection before it carries the request with the given key.
func (c *conn) describe(key uint64) Connection {
	d := Connection{Carried: len(c.carried), Repeated: c.carried.has(key)}
	if a, ok := c.LocalAddr().(*net.TCPAddr); ok {
		p := a.AddrPort()
		d.Local = netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
	}
	return d
}
