package messenger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
)

// ErrUnreachable marks errors of requests that were certainly not sent to the peer.
var ErrUnreachable = errors.New("the peer cannot be reached")

// ErrNoReply marks errors of requests that may have reached the peer and got no reply.
var ErrNoReply = errors.New("the peer did not reply")

// ErrRefused marks errors of requests, and of Hellos, that the peer refused without acting on them.
var ErrRefused = errors.New("the peer refused")

// session is an open connection to a peer, with its idle streams.
type session struct {
	mux *yamux.Session
	// mu guards idle, calls, usedAt and closed.
	mu   sync.Mutex
	idle []*Stream
	// calls is the number of streams in use, and usedAt is when a call last began or ended.
	calls  int
	usedAt time.Time
	closed bool
	clock  clockwork.Clock
	// pinging is true while a ping is in flight.
	pinging atomic.Bool
}

// ping pings the peer and closes the session if there is no answer, so that the calls
// waiting for a reply fail. It does nothing while another ping is in flight.
func (s *session) ping() {
	if s.pinging.Swap(true) {
		return
	}
	defer s.pinging.Store(false)
	if _, err := s.mux.Ping(); err != nil {
		_ = s.mux.Close()
	}
}

// pingPeriodically pings the peer every pingInterval until the returned function is called.
func (s *session) pingPeriodically() (stop func()) {
	var done atomic.Bool
	var tick func()
	tick = func() {
		if !done.Load() {
			s.ping()
			time.AfterFunc(pingInterval, tick)
		}
	}
	t := time.AfterFunc(pingInterval, tick)
	return func() {
		done.Store(true)
		t.Stop()
	}
}

// Stream is a yamux stream, which carries one call at a time.
type Stream struct {
	conn    net.Conn
	r       *bufio.Reader
	session *session
	// ended is true once the current call has ended.
	ended atomic.Bool
}

// errClosedIdle is returned by open for a session that was closed because it was idle.
var errClosedIdle = errors.New("idle session was closed")

// open returns an idle stream or opens a new one, and counts a call as begun.
func (s *session) open() (*Stream, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, errors.Mark(errClosedIdle, ErrUnreachable)
	}
	s.calls++
	s.usedAt = s.clock.Now()
	if n := len(s.idle); n > 0 {
		st := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		st.ended.Store(false)
		return st, nil
	}
	s.mu.Unlock()
	c, err := s.mux.Open()
	if err != nil {
		s.release()
		return nil, errors.Mark(errors.Wrap(err, "stream"), ErrUnreachable)
	}
	return &Stream{conn: c, r: bufio.NewReader(c), session: s}, nil
}

// release counts a call as ended.
func (s *session) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.usedAt = s.clock.Now()
}

// closeIfIdle closes the session if no call has used it for longer than idle.
func (s *session) closeIfIdle(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == 0 && s.clock.Since(s.usedAt) > idle {
		s.closed = true
		_ = s.mux.Close()
	}
}

// Done ends the call and keeps the stream for reuse, or closes it if the session has enough idle ones. The whole
// reply must have been read, and the stream must not be used afterwards.
func (s *Stream) Done() {
	s.end()
	s.session.mu.Lock()
	keep := len(s.session.idle) < maxIdleStreams && !s.session.mux.IsClosed()
	if keep {
		s.session.idle = append(s.session.idle, s)
	}
	s.session.mu.Unlock()
	if !keep {
		_ = s.conn.Close()
	}
}

// end counts the call as ended; repeated calls have no effect.
func (s *Stream) end() {
	if !s.ended.Swap(true) {
		s.session.release()
	}
}

// Close closes the stream, which cancels a call in flight on the peer.
func (s *Stream) Close() {
	s.end()
	_ = s.conn.Close()
}

// Read receives the next message of a reply into m. While it waits, the session is pinged. Errors are marked with
// ErrNoReply.
func (s *Stream) Read(m proto.Message) error {
	defer s.session.pingPeriodically()()
	if err := read(s.r, m); err != nil {
		return errors.Mark(errors.Wrap(err, "reply"), ErrNoReply)
	}
	return nil
}

// call sends a request and reads the reply. A failed write is marked with ErrNoReply, since
// part of the request may have been sent.
func (s *Stream) call(ctx context.Context, req *wire.Request) (*wire.Reply, error) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := write(s.conn, req); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "request"), ErrNoReply)
	}
	var rep wire.Reply
	if err := s.Read(&rep); err != nil {
		return nil, err
	}
	if !stop() {
		return nil, errors.Mark(ctx.Err(), ErrNoReply)
	}
	if rep.GetError() != "" {
		s.Done()
		return nil, errors.Mark(errors.Newf("%s", rep.GetError()), ErrRefused)
	}
	return &rep, nil
}
