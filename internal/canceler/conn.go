package canceler

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// checkInterval is the time between two checks of a connection that nobody reads.
const checkInterval = 100 * time.Millisecond

// Conn is a caller's connection. While a request is served and nobody reads the connection, it is checked for its end. What
// the caller sends meanwhile stays in the receive buffer of the kernel.
type Conn struct {
	net.Conn
	clock clockwork.Clock
	raw   syscall.RawConn

	mu sync.Mutex
	// reading is set during a read, which returns when the caller leaves.
	reading bool
	// cancel cancels the request that is served; it is nil if there is none.
	cancel context.CancelFunc
	// timer runs until the next check; it is nil before the first one.
	timer clockwork.Timer
	// dueAt is when the next check is due; zero if none was scheduled since the last one. A read stops the timer, but does not
	// put the check off: one that ends soon says nothing of what is behind the bytes that it returned.
	dueAt time.Time
	// left is set once a check found that the caller has left.
	left bool
}

// NewConn returns a connection that is checked if it is one of the kernel's; others are only read.
func NewConn(c net.Conn, clock clockwork.Clock) *Conn {
	w := &Conn{Conn: c, clock: clock}
	if sc, ok := c.(syscall.Conn); ok {
		w.raw, _ = sc.SyscallConn() // It fails only on a connection that is not open.
	}
	return w
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	return c.Conn.Read(p)
}

// CloseWrite closes the writing side of the connection if it can be closed alone.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *Conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.scheduleCheck()
}

// begin lets cancel be called when the caller leaves, until end is called. It returns false if the caller has left.
func (c *Conn) begin(cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return false
	}
	c.cancel, c.dueAt = cancel, time.Time{}
	c.scheduleCheck()
	return true
}

func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
	c.scheduleCheck()
}

// scheduleCheck starts the timer if the connection has to be checked, or stops it. c.mu must be held.
func (c *Conn) scheduleCheck() {
	if c.cancel == nil || c.reading || c.left || c.raw == nil {
		if c.timer != nil {
			c.timer.Stop()
		}
		return
	}
	now := c.clock.Now()
	if c.dueAt.IsZero() {
		c.dueAt = now.Add(checkInterval)
	}
	if c.timer == nil {
		c.timer = c.clock.AfterFunc(c.dueAt.Sub(now), c.check)
		return
	}
	c.timer.Reset(c.dueAt.Sub(now))
}

// check cancels the request that is served if the caller has left.
func (c *Conn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel == nil || c.reading {
		return // The timer was stopped too late.
	}
	if c.left = c.ended(); c.left {
		c.cancel()
		return
	}
	c.dueAt = time.Time{}
	c.scheduleCheck()
}

// ended reports whether the caller has closed or reset the connection, also if bytes before its end are unread.
func (c *Conn) ended() bool {
	ended := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		ended = n > 0 && err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && ended
}
