package runner

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

//go:generate go tool enumer -type=phase -trimprefix=phase -transform=title-lower

// phase is what a caller's connection is used for.
type phase int

const (
	// phaseNew means that nothing was received yet.
	phaseNew phase = iota
	// phaseIdle means that the last response was sent and nothing was received since.
	phaseIdle
	// phaseReading means that the head of a request is read.
	phaseReading
	// phaseServing means that a request is handled.
	phaseServing
)

const (
	// headSlack is how much more than a head may be received with it, in bytes: net/http reads that much at once.
	headSlack = 4 << 10
	// closeDelay is how long a connection is kept after a response that the caller may receive while it still sends. Closing
	// it at once would discard the response.
	closeDelay = 500 * time.Millisecond
	// headTooLong is the response to a request whose head exceeds the limit, as net/http sends it.
	headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
		"431 Request Header Fields Too Large"
)

// errHeadTooLong is the cause of the error that Read returns when the head of a request exceeds the limit.
var errHeadTooLong = errors.New("the head of the request is too long")

// callerConn is a caller's connection. It enforces the limits of the head of a request and of idle time that are in force
// when they are needed; net/http would take them from the server for the whole life of a connection.
type callerConn struct {
	net.Conn
	limits func() router.Limits
	// stallTimeout is how long the caller may take none of a response.
	stallTimeout time.Duration

	mu    sync.Mutex
	phase phase
	since time.Time
	// headBytes is how much was received in phaseReading.
	headBytes int
	// rejected is set once a head was too long.
	rejected bool
	// receivedAt is when bytes were received last. AheadAt is when the first byte of the next request was received while one was
	// served, and arrivedAt when that of the current request was, if its caller sent it ahead; zero if not.
	receivedAt, aheadAt, arrivedAt time.Time
	// ended is set once a stop has closed the connection while it was idle.
	ended bool
	// writeDeadline is the one that the handler has set, zero if there is none.
	writeDeadline time.Time
}

func newCallerConn(c net.Conn, limits func() router.Limits, stallTimeout time.Duration) *callerConn {
	return &callerConn{Conn: c, limits: limits, stallTimeout: stallTimeout, since: time.Now()}
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. While it waits for a request or reads its head, it returns a timeout when the limit in force is
// over.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if !c.updateDeadline() {
			n, err := c.Conn.Read(p)
			c.receivedWhileServing(n, len(p))
			return n, err
		}
		if c.rejected {
			return 0, headError() // net/http reads on after a part of a line.
		}
		n, err := c.Conn.Read(p)
		if n > 0 && c.receivedHead(n) {
			return 0, c.rejectHead()
		}
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.deadline()) {
			continue // The limit was raised meanwhile.
		}
		return n, err
	}
}

// updateDeadline sets the deadline of reads by the limits in force. It returns false while a request is served: the server
// and the handler set deadlines then.
func (c *callerConn) updateDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing {
		return false
	}
	_ = c.SetReadDeadline(c.deadlineLocked()) // It fails only on a closed connection.
	return true
}

// deadline returns the time until which the caller must send the next bytes.
func (c *callerConn) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlineLocked()
}

func (c *callerConn) deadlineLocked() time.Time {
	if c.phase == phaseIdle {
		return c.since.Add(c.limits().IdleTimeout)
	}
	return c.since.Add(c.limits().HeaderTimeout)
}

// receivedWhileServing notes the arrival of bytes of the body or of the next request. Net/http reads one byte ahead, with a
// buffer of that size, once the body has ended.
func (c *callerConn) receivedWhileServing(n, room int) {
	if n <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAt = time.Now()
	if room == 1 {
		c.aheadAt = c.receivedAt
	}
}

// receivedHead counts bytes of a head, and reports whether it is too long.
func (c *callerConn) receivedHead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAt = time.Now()
	switch c.phase {
	case phaseNew:
		c.phase, c.headBytes = phaseReading, 0 // The first head is due some time after the connection was opened.
	case phaseIdle:
		c.phase, c.since, c.headBytes = phaseReading, time.Now(), 0
	case phaseReading, phaseServing:
	}
	c.headBytes += n
	c.rejected = c.headBytes > c.limits().MaxHeaderBytes+headSlack
	return c.rejected
}

// rejectHead sends the response to a request whose head is too long, and returns the error for Read.
func (c *callerConn) rejectHead() error {
	_ = c.SetWriteDeadline(time.Now().Add(closeDelay))
	if _, err := io.WriteString(c.Conn, headTooLong); err == nil {
		_ = c.CloseWrite()
		time.Sleep(closeDelay)
	}
	return headError()
}

func headError() error { return &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLong} }

// CloseWrite closes the writing side, which net/http does before it closes a connection that the caller still sends on.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// setPhase sets phaseIdle or phaseServing.
func (c *callerConn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p == phaseServing {
		c.arrivedAt = c.aheadAt
		if c.aheadAt.IsZero() && c.phase == phaseIdle {
			c.arrivedAt = c.receivedAt // The head came with earlier bytes.
		}
		c.aheadAt = time.Time{}
		_ = c.SetReadDeadline(time.Time{}) // It fails only on a closed connection.
	}
	c.phase, c.since = p, time.Now()
}

// closeIdle closes the connection for good if it is idle. A request that was received and is not counted yet must not run.
func (c *callerConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.ended = true
		_ = c.Close()
	}
}

// current returns when the current request arrived, if its caller sent it ahead, and whether a stop has closed the connection.
func (c *callerConn) current() (arrivedAt time.Time, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivedAt, c.ended
}

func (c *callerConn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}
