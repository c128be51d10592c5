package messenger

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Handler answers the requests of peers.
type Handler interface {
	// Handle answers one request from a peer. The context is canceled when the peer abandons
	// the call or the session ends. A returned error must mean that the request had no
	// effect: its text is sent to the peer, whose call fails with ErrRefused. The returned
	// function may be nil; it is called after the reply was written and sends further
	// messages, such as the chunks of a Dispatch, with send.
	Handle(ctx context.Context, from placer.VM, req *wire.Request) (*wire.Reply, func(send func(proto.Message) error) error, error)
}

// Options configure a Messenger.
type Options struct {
	// Self is the local VM, announced to peers in each Hello.
	Self placer.VM
	// Fleet is the name of the fleet; daemons of other fleets are refused.
	Fleet string
	// Layout is a hash of the settings that must be equal on all daemons of the fleet; daemons with another hash
	// are refused.
	Layout uint64
	// Dial opens a connection to a peer.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// ClientTLS and ServerTLS encrypt dialed and accepted sessions; nil means plain TCP.
	ClientTLS, ServerTLS *tls.Config
	Handler              Handler
	Logger               *zap.Logger
	Clock                clockwork.Clock
}

// Messenger calls peers and serves their calls. It is safe for concurrent use.
type Messenger struct {
	Options
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// accepted holds the connections that peers opened.
	accepted map[net.Conn]struct{}
	closed   bool
	traffic  Traffic
}

// peer holds the session to one address, or the error of the last dial.
type peer struct {
	mu      sync.Mutex
	session *session
	// retryAt is when the address may be dialed again after a failed dial; before that, calls fail with
	// dialErr.
	retryAt time.Time
	dialErr error
}

// New returns a messenger that can call peers. It accepts sessions only once Serve is called.
func New(o Options) *Messenger {
	return &Messenger{Options: o, peers: map[netip.AddrPort]*peer{}, accepted: map[net.Conn]struct{}{}}
}

// Call sends a request to a peer and returns its reply. It opens a session to the peer
// if there is none. Errors are marked with ErrUnreachable, ErrNoReply or ErrRefused; an
// error of a peer that refused the Hello is marked with ErrUnreachable and ErrRefused.
func (m *Messenger) Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error) {
	rep, s, err := m.Open(ctx, to, req)
	if err != nil {
		return nil, err
	}
	s.Done()
	return rep, nil
}

// Open sends a request and returns the reply together with its stream, from which the
// caller reads the messages that follow the reply. The caller must end the stream with
// Done or Close. Errors are as for Call; the stream is nil then.
func (m *Messenger) Open(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, *Stream, error) {
	s, err := m.stream(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	rep, err := s.call(ctx, req)
	if err != nil {
		if !errors.Is(err, ErrRefused) {
			s.Close()
		}
		return nil, nil, err
	}
	return rep, s, nil
}

// stream returns a stream of the session to a peer. If the session was closed as idle in the meantime, it uses a
// new session.
func (m *Messenger) stream(ctx context.Context, to netip.AddrPort) (*Stream, error) {
	for {
		ses, err := m.session(ctx, to)
		if err != nil {
			return nil, errors.Mark(err, ErrUnreachable)
		}
		s, err := ses.open()
		if err == nil {
			return s, nil
		}
		m.closeSession(to, ses)
		if !errors.Is(err, errClosedIdle) {
			return nil, err
		}
	}
}

// CloseIdle closes the dialed sessions that no call has used for longer than idle. The next call to such a peer opens
// a new session.
func (m *Messenger) CloseIdle(idle time.Duration) {
	m.mu.Lock()
	ps := slices.Collect(maps.Values(m.peers))
	m.mu.Unlock()
	for _, p := range ps {
		p.mu.Lock()
		if p.session != nil {
			p.session.closeIfIdle(idle)
		}
		p.mu.Unlock()
	}
}

// Reset closes the session to a peer that no longer responds, so that the next call opens a new one.
func (m *Messenger) Reset(to netip.AddrPort) {
	p := m.peer(to)
	p.mu.Lock()
	ses := p.session
	p.session = nil
	p.mu.Unlock()
	if ses != nil {
		_ = ses.mux.Close()
	}
}

// closeSession closes a session and, if it is still the current one of the peer, removes it.
func (m *Messenger) closeSession(to netip.AddrPort, ses *session) {
	p := m.peer(to)
	p.mu.Lock()
	if p.session == ses {
		p.session = nil
	}
	p.mu.Unlock()
	_ = ses.mux.Close()
}

func (m *Messenger) peer(to netip.AddrPort) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[to]
	if p == nil {
		p = &peer{}
		m.peers[to] = p
	}
	return p
}

// Sessions returns the addresses to which this messenger has an open session.
func (m *Messenger) Sessions() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var as []netip.AddrPort
	for a, p := range m.peers {
		p.mu.Lock()
		if p.session != nil && !p.session.mux.IsClosed() {
			as = append(as, a)
		}
		p.mu.Unlock()
	}
	return as
}

// Forget closes the sessions to the addresses for which keep returns false, and drops their dial errors.
func (m *Messenger) Forget(keep func(netip.AddrPort) bool) {
	m.mu.Lock()
	var removed []*peer
	for a, p := range m.peers {
		if !keep(a) {
			removed = append(removed, p)
			delete(m.peers, a)
		}
	}
	m.mu.Unlock()
	for _, p := range removed {
		p.mu.Lock()
		if p.session != nil {
			_ = p.session.mux.Close()
		}
		p.mu.Unlock()
	}
}

// session returns the open session to a peer or dials a new one. Concurrent calls wait for the same dial.
func (m *Messenger) session(ctx context.Context, to netip.AddrPort) (*session, error) {
	p := m.peer(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.mux.IsClosed() {
		return p.session, nil
	}
	if m.Clock.Now().Before(p.retryAt) {
		return nil, p.dialErr
	}
	ses, err := m.dial(ctx, to)
	if err != nil {
		backoff := redialBackoff
		if errors.Is(err, ErrRefused) {
			backoff = refusedBackoff
			m.Logger.Warn("peer refused session", zap.Stringer("peer", to), zap.Error(err))
		}
		p.retryAt, p.dialErr = m.Clock.Now().Add(backoff), err
		return nil, err
	}
	p.session = ses
	return ses, nil
}

// dial opens a session. It ignores the cancellation of ctx, so that a call which ends early does not fail the dial
// for the calls that wait for it.
func (m *Messenger) dial(ctx context.Context, to netip.AddrPort) (*session, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	c, err := m.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	c = m.traffic.Wrap(c)
	if m.ClientTLS != nil {
		c = tls.Client(c, m.ClientTLS)
	}
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	if err := m.sendHello(c); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	mux, err := yamux.Client(c, muxConfig())
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &session{mux: mux, clock: m.Clock, usedAt: m.Clock.Now()}, nil
}

// sendHello sends the Hello and reads the reply. It returns an error marked with ErrRefused if the peer refused it.
func (m *Messenger) sendHello(c net.Conn) error {
	h := &wire.Hello{Protocol: Protocol, Fleet: m.Fleet, Layout: m.Layout, From: ToVM(m.Self)}
	if err := write(c, h); err != nil {
		return errors.Wrap(err, "hello")
	}
	var rep wire.HelloReply
	if err := read(bufio.NewReaderSize(byteReader{c}, 16), &rep); err != nil {
		return errors.Wrap(err, "hello reply")
	}
	if !rep.GetAccepted() {
		return errors.Mark(errors.Newf("%s", rep.GetReason()), ErrRefused)
	}
	return nil
}

// DialFrom returns a function that opens TCP connections from a local IP address.
func DialFrom(local netip.Addr) func(context.Context, netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	}
}

// byteReader returns at most one byte per Read, so that a bufio.Reader around it buffers no bytes that follow the
// Hello; those belong to yamux.
type byteReader struct{ r io.Reader }

func (b byteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return b.r.Read(p[:1])
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.AcceptBacklog = maxStreamBacklog
	c.StreamCloseTimeout = 10 * time.Second
	return c
}
