package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// impairment describes the network faults that a proxy injects.
type impairment struct {
	// delay is added before each chunk of bytes is forwarded.
	delay time.Duration
	// dropUp and dropDown discard the bytes to the server and to the client without closing the connection.
	dropUp, dropDown bool
	// refuse closes new connections at once.
	refuse bool
}

// proxy forwards connections to a server on loopback and injects network faults.
type proxy struct {
	listener net.Listener

	mu sync.Mutex
	// target is the address of the server; empty while none runs.
	target     string
	impairment impairment
	// maxConns is how many connections may be open; further ones are reset. Zero is no bound.
	maxConns int
	conns    map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	// silent discards all further bytes in both directions.
	silent bool
}

// newProxy starts a proxy that accepts connections at listen and forwards them to the address target.
func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the proxy")
	}
	p := &proxy{listener: l, target: target, conns: map[*link]bool{}}
	go p.serve()
	return p, nil
}

// setImpairment replaces the network faults, also for the open connections.
func (p *proxy) setImpairment(t impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = t
}

// setTarget replaces the server by another one at the same address. The open connections are closed with a TCP reset, and new ones
// fail while the target is empty.
func (p *proxy) setTarget(address string) {
	p.mu.Lock()
	p.target = address
	p.mu.Unlock()
	p.resetConnections()
}

// setMaxConns sets how many connections may be open; zero is no bound. The open ones stay.
func (p *proxy) setMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = n
}

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		reset(l.client)
		reset(l.server)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// silenceConnections discards all further bytes of the open connections. New connections work.
func (p *proxy) silenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.conns {
		l.silent = true
	}
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(c net.Conn) {
	p.mu.Lock()
	refuse, target := p.impairment.refuse, p.target
	full := p.maxConns > 0 && len(p.conns) >= p.maxConns
	p.mu.Unlock()
	if full {
		reset(c)
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil || refuse {
		_ = c.Close()
		return
	}
	l := &link{client: c, server: s}
	p.mu.Lock()
	if p.target != target {
		p.mu.Unlock()
		_, _ = c.Close(), s.Close()
		return
	}
	p.conns[l] = true
	p.mu.Unlock()
	client, server := forwarder.CheckEnds(c), forwarder.CheckEnds(s)
	var g sync.WaitGroup
	g.Go(func() { p.forward(l, server, client, true) })
	g.Go(func() { p.forward(l, client, server, false) })
	g.Wait()
	p.mu.Lock()
	delete(p.conns, l)
	p.mu.Unlock()
}

// forward forwards one direction of a connection until its end, and passes on a reset of the server.
func (p *proxy) forward(l *link, to, from net.Conn, up bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		t, silent := p.impairment, l.silent
		p.mu.Unlock()
		time.Sleep(t.delay)
		lost := silent || up && t.dropUp || !up && t.dropDown
		if n > 0 && !lost {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if lost {
				_, _ = io.Copy(io.Discard, from)
			}
			if !up && !errors.Is(err, io.EOF) {
				reset(l.client)
			}
			return
		}
	}
}
