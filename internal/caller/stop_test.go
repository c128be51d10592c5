package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
)

// heldListener holds what its connections received in one read until release is closed.
type heldListener struct {
	net.Listener
	// read is the number of the read that is held, from 1 on, and received is closed once it has ended.
	read              int
	received, release chan struct{}
	held              atomic.Bool
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, listener: l}, err
}

type heldConn struct {
	net.Conn
	listener *heldListener
	reads    int
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.reads++; c.reads == c.listener.read && !c.listener.held.Swap(true) {
			close(c.listener.received)
			<-c.listener.release
		}
	}
	return n, err
}

// stoppingServer serves the fixture's handler on a listener until a test shuts it down while a request is in flight.
type stoppingServer struct {
	http.Server
	t     *testing.T
	l     net.Listener
	other net.Conn
	began chan struct{}
	// finish lets the request in flight end, and ended has the result of the shutdown.
	finish chan struct{}
	ended  chan error
	// idle gets an element when a connection becomes idle, and shutdown is closed when the shutdown has begun.
	idle, shutdown chan struct{}
}

const getRequest = "GET /t/open/ HTTP/1.1\r\nHost: a\r\n\r\n"

func (f *fixture) newStoppingServer(t *testing.T) *stoppingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &stoppingServer{
		t: t, l: l, began: make(chan struct{}), finish: make(chan struct{}), ended: make(chan error, 1),
		idle: make(chan struct{}, 8), shutdown: make(chan struct{}),
	}
	s.Handler = f.Config.Handler
	s.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateIdle {
			s.idle <- struct{}{}
		}
	}
	s.RegisterOnShutdown(func() { close(s.shutdown) })
	f.answer = func(r dispatcher.Request) dispatcher.Answer {
		if r.Method == http.MethodPost {
			close(s.began)
			<-s.finish
		}
		return dispatcher.Answer{Status: http.StatusNoContent, Header: http.Header{}}
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// serve begins to serve on a listener, and returns a connection for the tested request after n requests on it.
func (s *stoppingServer) serve(l net.Listener, n int) (net.Conn, *bufio.Reader) {
	go func() { _ = s.Serve(l) }()
	c := s.dial()
	r := bufio.NewReader(c)
	for range n {
		_, err := io.WriteString(c, getRequest)
		require.NoError(s.t, err)
		require.Equal(s.t, http.StatusNoContent, readStatus(s.t, r))
		<-s.idle
	}
	return c, r
}

func (s *stoppingServer) dial() net.Conn {
	c, err := net.Dial("tcp", s.l.Addr().String())
	require.NoError(s.t, err)
	require.NoError(s.t, c.SetDeadline(time.Now().Add(time.Minute)))
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

// stop begins to shut the server down while another request is in flight.
func (s *stoppingServer) stop() {
	s.other = s.dial()
	_, err := io.WriteString(s.other, "POST /t/open/ HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	require.NoError(s.t, err)
	<-s.began
	go func() { s.ended <- s.Shutdown(context.Background()) }()
	<-s.shutdown
}

// finishStop lets the other request end, which must be answered.
func (s *stoppingServer) finishStop() {
	close(s.finish)
	require.Equal(s.t, http.StatusNoContent, readStatus(s.t, bufio.NewReader(s.other)))
	require.NoError(s.t, <-s.ended)
}

// readStatus reads a response and returns its status, or zero if the connection ends without one.
func readStatus(t *testing.T, r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		return 0
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// A request that is read while the server shuts down must not be sent and have no answer.
func TestStopClosesNoConnectionWhoseRequestWasSent(t *testing.T) {
	for name, read := range map[string]int{"the first request of a connection": 1, "a later one": 2} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := f.newStoppingServer(t)
			held := &heldListener{Listener: s.l, read: read, received: make(chan struct{}), release: make(chan struct{})}
			c, r := s.serve(held, read-1)
			_, err := io.WriteString(c, getRequest)
			require.NoError(t, err)
			<-held.received
			s.stop()
			close(held.release)
			status := readStatus(t, r)
			s.finishStop()
			require.True(t, status == http.StatusNoContent || int(f.sent.Load()) == read, "the request was sent and has no answer")
		})
	}
}

// A kept connection with a part of a request must not hold up the stop, and the request must not be sent.
func TestRequestsReadInPartAreNotSentInAStop(t *testing.T) {
	f := newFixture(t)
	s := f.newStoppingServer(t)
	c, r := s.serve(s.l, 1)
	_, err := io.WriteString(c, getRequest[:10])
	require.NoError(t, err)
	s.stop()
	s.finishStop()
	_, _ = io.WriteString(c, getRequest[10:]) // The connection may be closed.
	require.Zero(t, readStatus(t, r))
	require.EqualValues(t, 2, f.sent.Load())
}
