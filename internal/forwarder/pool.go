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

// defaultAllowed is how long an idle connection is kept if the instance sends no Keep-Alive timeout.
const defaultAllowed = 4 * time.Second

// restMargin is how much earlier than the instance an idle connection is closed.
const restMargin = time.Second

// conn is a connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	to       netip.AddrPort
	r        *bufio.Reader
	used     int
	reusable bool
	// allowed is how long the instance keeps the connection when idle; zero if unknown.
	allowed time.Duration
	idledAt time.Time
}

// pool keeps idle connections.
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

// get returns the most recently used idle connection to an address, or nil if there is none or it has been idle for
// longer than maxRest or its lifetime. Connections that the instance closed or that have unread bytes are skipped.
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

// life returns how long the connection may be kept idle.
func (c *conn) life() time.Duration {
	if c.allowed <= 0 {
		return defaultAllowed
	}
	return max(0, c.allowed-restMargin)
}

// put keeps an idle connection, or closes it if the pool is full.
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

// sweep closes idle connections to unused addresses and those past their lifetime.
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

// quiet reports whether an idle connection is open and has no unread bytes, which would belong to no request.
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

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails when sent bytes stay unacknowledged.
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
