package forwarder

import (
	"bytes"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// verifyAfterIdle is the idle time from which a kept connection is verified for a request that may run only once: the
	// instance may have dropped it silently, which shows only when something is sent.
	verifyAfterIdle = 250 * time.Millisecond
	// maxUnverifiedIdle is the longest idle time of a kept connection that cannot be verified for such a request.
	maxUnverifiedIdle = time.Second
	// A connection is verified for as long as opening it took, within these bounds.
	minVerifyTime = 2 * time.Millisecond
	maxVerifyTime = 10 * time.Millisecond
)

// errDropped is the error of a request whose head was not complete when its kept connection turned out to be closed.
var errDropped = errors.New("the instance had dropped the connection")

// verifiable reports whether a part of the request can be held back while its connection is verified.
func (r Request) verifiable() bool {
	return !r.Chunked && r.sequential()
}

// maxIdle returns how long a kept connection may have been idle to carry the request, of up to m.
func (r Request) maxIdle(m time.Duration) time.Duration {
	if r.RunsOnce && !r.verifiable() {
		return min(m, maxUnverifiedIdle)
	}
	return m
}

// verifies reports whether the connection has to be verified for a request.
func (c *conn) verifies(r Request) bool {
	return r.RunsOnce && c.idleTime >= verifyAfterIdle && r.verifiable()
}

// writeVerified writes a request up to the empty line that ends its head, and the rest if the connection is not closed
// meanwhile. An instance that closes it before cannot have run the request: it may run one without its whole body, but not
// without its whole head.
func writeVerified(c *conn, r Request) error {
	var b bytes.Buffer
	if err := writeRequest(&b, r); err != nil {
		return err
	}
	n := bytes.Index(b.Bytes(), []byte("\r\n\r\n")) + len("\r\n")
	if _, err := c.Write(b.Bytes()[:n]); err != nil {
		return errors.Mark(err, errDropped)
	}
	if c.ends() {
		return errDropped
	}
	_, err := c.Write(b.Bytes()[n:])
	return errors.Wrap(err, "write request")
}

// ends reports whether the connection ends within a moment. It returns as soon as something is received.
func (c *conn) ends() bool {
	d := min(maxVerifyTime, max(minVerifyTime, c.openTime))
	if c.SetReadDeadline(time.Now().Add(d)) != nil {
		return true
	}
	c.in.limit(maxHeadBytes)
	_, err := c.r.Peek(1)
	if c.SetReadDeadline(time.Time{}) != nil {
		return true
	}
	var e net.Error
	return err != nil && (!errors.As(err, &e) || !e.Timeout())
}
