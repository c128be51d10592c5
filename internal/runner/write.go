package runner

import "time"

const (
	// writeChunk is how much a caller has to take within the stall timeout, in bytes.
	writeChunk = 16 << 10
	// stallTimeout is how long a caller may take none of a response, while the handler has set no deadline. Callers that lose
	// packets for some seconds get what is ready; one that does not read gives its memory back.
	stallTimeout = 5 * time.Second
)

// SetWriteDeadline implements net.Conn. The zero time puts the stall timeout in force.
func (c *callerConn) SetWriteDeadline(d time.Time) error {
	c.mu.Lock()
	c.writeDeadline = d
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(d)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(d time.Time) error {
	if err := c.SetReadDeadline(d); err != nil {
		return err
	}
	return c.SetWriteDeadline(d)
}

// Write implements net.Conn. It fails if the caller does not read: at the handler's deadline or, if there is none, once less
// than writeChunk bytes could be written for the stall timeout.
func (c *callerConn) Write(p []byte) (n int, err error) {
	for {
		chunk := p[n:min(n+writeChunk, len(p))]
		if err := c.extendWriteDeadline(); err != nil {
			return n, err
		}
		written, err := c.Conn.Write(chunk)
		n += written
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// extendWriteDeadline sets the deadline of the next write by the stall timeout, unless the handler has set one.
func (c *callerConn) extendWriteDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeDeadline.IsZero() {
		return nil
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(c.stallTimeout))
}
