package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// defaultKeepAlive is how long an idle connection is kept if the instance sends no Keep-Alive timeout.
const defaultKeepAlive = 4 * time.Second

// keepAliveMargin is how much earlier than the instance an idle connection is closed.
const keepAliveMargin = time.Second

// conn is a connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	// socket is the connection without the checks of its ends.
	socket   *net.TCPConn
	to       netip.AddrPort
	in       *boundedReader
	r        *bufio.Reader
	carried  carried
	reusable bool
	// keepAlive is how long the instance keeps the connection when idle; zero if unknown.
	keepAlive time.Duration
	idleSince time.Time
	// idleTime is how long the connection was idle before its current request, and openTime how long opening it took.
	idleTime, openTime time.Duration
}

// boundedReader reads from a connection up to a limit.
type boundedReader struct {
	r    io.Reader
	left int64
}

// errLimit is returned by a boundedReader beyond its limit.
var errLimit = errors.New("the response head is too long")

// limit sets how many more bytes may be read.
func (r *boundedReader) limit(n int64) { r.left = n }

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLimit
	}
	n, err := r.r.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// pool keeps idle connections.
type pool struct {
	clock     clockwork.Clock
	maxIdle   int
	opened    atomic.Int64
	mu        sync.Mutex
	idle      map[netip.AddrPort][]*conn
	idleCount int
}

func newPool(maxIdle int, clock clockwork.Clock) *pool {
	return &pool{clock: clock, maxIdle: maxIdle, idle: map[netip.AddrPort][]*conn{}}
}

// get returns the most recently used idle connection to an address that has not carried the request with the given key, or nil
// if there is none that was used within maxIdle and its lifetime. Connections that the instance closed or that have unread
// bytes are skipped.
func (p *pool) get(addr netip.AddrPort, key uint64, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle[addr]) - 1; i >= 0; i-- {
		c := p.idle[addr][i]
		if p.clock.Since(c.idleSince) > min(maxIdle, c.maxIdle()) {
			return nil
		}
		if c.carried.has(key) {
			continue
		}
		p.idle[addr] = slices.Delete(p.idle[addr], i, i+1)
		p.idleCount--
		if c.usable() {
			c.idleTime = p.clock.Since(c.idleSince)
			return c
		}
		_ = c.Close()
	}
	return nil
}

// maxIdle returns how long the connection may be kept idle.
func (c *conn) maxIdle() time.Duration {
	if c.keepAlive <= 0 {
		return defaultKeepAlive
	}
	return max(0, c.keepAlive-keepAliveMargin)
}

// put keeps an idle connection, or closes it if the pool is full or the connection has carried maxCarried requests.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleCount >= p.maxIdle || len(c.carried) >= maxCarried {
		_ = c.Close()
		return
	}
	c.idleSince = p.clock.Now()
	p.idle[c.to] = append(p.idle[c.to], c)
	p.idleCount++
}

// sweep closes idle connections to unused addresses and those past their lifetime.
func (p *pool) sweep(used func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, cs := range p.idle {
		keep := cs[:0]
		for _, c := range cs {
			if used(a) && p.clock.Since(c.idleSince) <= c.maxIdle() {
				keep = append(keep, c)
				continue
			}
			_ = c.Close()
			p.idleCount--
		}
		p.idle[a] = keep
		if len(keep) == 0 {
			delete(p.idle, a)
		}
	}
}

func (p *pool) stats() (opened int64, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened.Load(), p.idleCount
}

// usable reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := unix.Read(int(fd), b[:])
		open = n < 0 && err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails when sent bytes stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
