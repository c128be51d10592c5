package forwarder

import (
	"bufio"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// defaultAllowed is how long a connection is kept if the instance does not say.
const defaultAllowed = 4 * time.Second

// restMargin is how much sooner than the instance a kept connection is given up.
const restMargin = time.Second

// conn is a connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	to       netip.AddrPort
	r        *bufio.Reader
	used     int
	reusable bool
	// allowed is how long the instance keeps the connection when idle.
	allowed time.Duration
	idledAt time.Time
}

// pool keeps connections that wait for a request.
type pool struct {
	clock  clockwork.Clock
	most   int
	opened atomic.Int64
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	kept   int
}

func newPool(most int, clock clockwork.Clock) *pool {
	return &pool{clock: clock, most: most, idle: map[netip.AddrPort][]*conn{}}
}

// get returns the connection that idled the shortest, if it is still good.
func (p *pool) get(to netip.AddrPort, maxRest time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		cs := p.idle[to]
		if len(cs) == 0 {
			return nil
		}
		c := cs[len(cs)-1]
		if p.clock.Since(c.idledAt) > min(maxRest, c.life()) {
			return nil
		}
		p.idle[to] = cs[:len(cs)-1]
		p.kept--
		if c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (c *conn) life() time.Duration {
	if c.allowed <= 0 {
		return defaultAllowed
	}
	return max(0, c.allowed-restMargin)
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept >= p.most {
		_ = c.Close()
		return
	}
	c.idledAt = p.clock.Now()
	p.idle[c.to] = append(p.idle[c.to], c)
	p.kept++
}

func (p *pool) sweep(used func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, cs := range p.idle {
		keep := cs[:0]
		for _, c := range cs {
			if used(a) && p.clock.Since(c.idledAt) <= c.life() {
				keep = append(keep, c)
				continue
			}
			_ = c.Close()
			p.kept--
		}
		p.idle[a] = keep
		if len(keep) == 0 {
			delete(p.idle, a)
		}
	}
}

func (p *pool) stats() (opened int64, kept int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened.Load(), p.kept
}

// quiet reports whether an idle connection is open and holds no bytes, which would belong to no request.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := unix.Read(int(fd), b[:])
		quiet = n < 0 && err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// setUserTimeout makes a connection fail when its bytes stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
