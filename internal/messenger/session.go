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

// ErrUnreachable is returned when a message certainly did not reach the peer.
var ErrUnreachable = errors.New("the peer cannot be reached")

// ErrNoReply is returned when a message may have reached the peer and no reply came.
var ErrNoReply = errors.New("the peer did not reply")

// ErrRefused is returned when the peer refused a message without acting on it.
var ErrRefused = errors.New("the peer refused")

// session is an open connection to a peer, with the streams that wait for a call.
type session struct {
	mux  *yamux.Session
	mu   sync.Mutex
	idle []*Stream
	// calls counts the streams in use, and usedAt is when one was last taken or given back.
	calls  int
	usedAt time.Time
	closed bool
	clock  clockwork.Clock
	// checking says that a ping is on its way.
	checking atomic.Bool
}

// check closes the session if its peer does not answer a ping, so that the calls that
// wait for a reply end.
func (s *session) check() {
	if s.checking.Swap(true) {
		return
	}
	defer s.checking.Store(false)
	if _, err := s.mux.Ping(); err != nil {
		_ = s.mux.Close()
	}
}

// watch checks the session again and again until the function that it returns is called.
func (s *session) watch() (stop func()) {
	var done atomic.Bool
	var check func()
	check = func() {
		if !done.Load() {
			s.check()
			time.AfterFunc(silence, check)
		}
	}
	t := time.AfterFunc(silence, check)
	return func() {
		done.Store(true)
		t.Stop()
	}
}

// Stream carries one call at a time.
type Stream struct {
	conn    net.Conn
	r       *bufio.Reader
	session *session
	// ended says that the call is over.
	ended atomic.Bool
}

// errRetired is returned by open for a session that was closed because it idled.
var errRetired = errors.New("the session idled and was closed")

func (s *session) open() (*Stream, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, errors.Mark(errRetired, ErrUnreachable)
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

func (s *session) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.usedAt = s.clock.Now()
}

// retire closes the session if no call has used it for a time.
func (s *session) retire(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == 0 && s.clock.Since(s.usedAt) > idle {
		s.closed = true
		_ = s.mux.Close()
	}
}

// Done keeps the stream for a later call; all of the reply must have been read.
func (s *Stream) Done() {
	s.end()
	s.session.mu.Lock()
	keep := len(s.session.idle) < maxIdle && !s.session.mux.IsClosed()
	if keep {
		s.session.idle = append(s.session.idle, s)
	}
	s.session.mu.Unlock()
	if !keep {
		_ = s.conn.Close()
	}
}

// end counts the call as over, once.
func (s *Stream) end() {
	if !s.ended.Swap(true) {
		s.session.release()
	}
}

// Close ends the stream; a call that runs on it is canceled at the peer.
func (s *Stream) Close() {
	s.end()
	_ = s.conn.Close()
}

// Read receives the next message of a reply.
func (s *Stream) Read(m proto.Message) error {
	defer s.session.watch()()
	if err := read(s.r, m); err != nil {
		return errors.Mark(errors.Wrap(err, "reply"), ErrNoReply)
	}
	return nil
}

// call sends a request and reads the reply. An error of the write counts as lost,
// since part of the message may have left.
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
