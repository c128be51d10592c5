package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// workHeader asks a backend server to work on a request for some milliseconds, as long as its connection is open.
	workHeader = "X-Work-Ms"
	// leavingWork is the work on the requests of callers that leave, and maxStay bounds the time until these leave.
	leavingWork = 1800 * time.Millisecond
	maxStay     = 300 * time.Millisecond
	// goneBound is how long after a caller has left backend servers may begin, or be at work on, its requests.
	goneBound = time.Second
)

// sendAheadAndLeave sends requests on a connection, some of them or a part of one ahead, and closes or resets it soon.
func (c *caller) sendAheadAndLeave(d *daemon) {
	conn, err := net.DialTimeout("tcp", d.callerAddress(), requestTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	process, _ := d.currentProcess()
	var ids []string
	behind := c.random.IntN(11)
	for range 1 + behind {
		c.sent++
		id := fmt.Sprintf("%d-%d", c.number, c.sent)
		ids = append(ids, id)
		c.fleet.checker.recordSent(id, "large", serviceLedger, process, true, time.Now())
	}
	request := func(id string) string {
		return fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: key-large\r\nDeadline-Ms: %d\r\n%s: %d\r\n\r\n",
			host, id, requestTimeout.Milliseconds(), workHeader, leavingWork.Milliseconds())
	}
	if _, err := io.WriteString(conn, request(ids[0])); err != nil {
		return
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(maxStay))))
	var ahead strings.Builder
	for _, id := range ids[1:] {
		ahead.WriteString(request(id))
	}
	if behind > 0 && c.random.IntN(3) == 0 {
		ahead.WriteString("GET /sa")
	}
	if _, err := io.WriteString(conn, ahead.String()); err != nil {
		return
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(maxStay))))
	if t, ok := conn.(*net.TCPConn); ok && c.random.IntN(2) == 0 {
		_ = t.SetLinger(0) // Else it is closed.
	}
	_ = conn.Close()
	c.fleet.checker.recordCallerLeft(ids, time.Now())
}

// awaitClose waits until a connection closes, for at most as long as a request without a body asks for by workHeader, and reports
// whether the connection closed. It returns at once if the request asks for nothing.
func awaitClose(c net.Conn, r *http.Request) (closed bool) {
	ms, err := strconv.ParseInt(r.Header.Get(workHeader), 10, 64)
	if err != nil || r.ContentLength != 0 {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Duration(ms) * time.Millisecond)) // The read fails if this does.
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err = c.Read(make([]byte, 1)) // Nothing is sent behind a request.
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// recordCallerLeft records that the caller of some requests closed their connection.
func (c *checker) recordCallerLeft(ids []string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.requests[id].leftAt = at
	}
}

// recordWork records that a backend server is at work on a request.
func (c *checker) recordWork(id, server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || r.leftAt.IsZero() || at.Sub(c.lastDisturbance) <= settleTime {
		return
	}
	if late := at.Sub(r.leftAt); late > goneBound {
		c.addViolation(guaranteeGone, "%s was at work on %s %v after its caller had left", server, id, late)
	}
}
