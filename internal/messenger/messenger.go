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
	// Handle answers one request; the context ends when the peer gives up. An error
	// tells the peer that nothing was done. For a Dispatch it may send chunks after the
	// reply it returns by means of the function.
	Handle(ctx context.Context, from placer.VM, req *wire.Request) (*wire.Reply, func(send func(proto.Message) error) error, error)
}

// Options are what a Messenger needs.
type Options struct {
	Self placer.VM
	// Fleet names the fleet; daemons of other fleets are refused.
	Fleet string
	// Layout is a hash of the settings that all daemons must share.
	Layout uint64
	// Dial opens a connection to a peer.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// ClientTLS and ServerTLS protect the sessions; nil means plain TCP.
	ClientTLS, ServerTLS *tls.Config
	Handler              Handler
	Logger               *zap.Logger
	Clock                clockwork.Clock
}

// Messenger calls peers and serves their calls.
type Messenger struct {
	Options
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// accepted are the connections that peers opened.
	accepted map[net.Conn]struct{}
	closed   bool
	traffic  Traffic
}

// peer is the state of the sessions to one address.
type peer struct {
	mu      sync.Mutex
	session *session
	// until is when an address that failed may be dialed again.
	until time.Time
	err   error
}

// New returns a messenger; Serve makes it accept sessions.
func New(o Options) *Messenger {
	return &Messenger{Options: o, peers: map[netip.AddrPort]*peer{}, accepted: map[net.Conn]struct{}{}}
}

// Call sends a request to a peer and returns its reply. The error is marked
// ErrUnreachable, ErrLost or ErrRefused.
func (m *Messenger) Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error) {
	rep, s, err := m.Open(ctx, to, req)
	if err != nil {
		return nil, err
	}
	s.Done()
	return rep, nil
}

// Open sends a request and returns the reply with its stream, from which the caller
// reads what follows; the caller ends it with Done or Close.
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

// stream takes a stream of the session to a peer, of a new one if the old was just retired.
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
		m.drop(to, ses)
		if !errors.Is(err, errRetired) {
			return nil, err
		}
	}
}

// Retire closes the sessions that no call has used for a time; the next call opens a new one.
func (m *Messenger) Retire(idle time.Duration) {
	m.mu.Lock()
	ps := slices.Collect(maps.Values(m.peers))
	m.mu.Unlock()
	for _, p := range ps {
		p.mu.Lock()
		if p.session != nil {
			p.session.retire(idle)
		}
		p.mu.Unlock()
	}
}

// Reset closes the session to a peer whose connection went silent, so that the next call opens a new one.
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

func (m *Messenger) drop(to netip.AddrPort, ses *session) {
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

// Sessions returns the addresses with an open session.
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

// Forget closes the sessions to addresses that are not kept.
func (m *Messenger) Forget(keep func(netip.AddrPort) bool) {
	m.mu.Lock()
	var gone []*peer
	for a, p := range m.peers {
		if !keep(a) {
			gone = append(gone, p)
			delete(m.peers, a)
		}
	}
	m.mu.Unlock()
	for _, p := range gone {
		p.mu.Lock()
		if p.session != nil {
			_ = p.session.mux.Close()
		}
		p.mu.Unlock()
	}
}

func (m *Messenger) session(ctx context.Context, to netip.AddrPort) (*session, error) {
	p := m.peer(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.mux.IsClosed() {
		return p.session, nil
	}
	if m.Clock.Now().Before(p.until) {
		return nil, p.err
	}
	ses, err := m.dial(ctx, to)
	if err != nil {
		pause := redialPause
		if errors.Is(err, ErrRefused) {
			pause = refusedPause
			m.Logger.Warn("peer refused session", zap.Stringer("peer", to), zap.Error(err))
		}
		p.until, p.err = m.Clock.Now().Add(pause), err
		return nil, err
	}
	p.session = ses
	return ses, nil
}

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
	if err := m.greet(c); err != nil {
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

// greet exchanges the Hello before the connection becomes a session.
func (m *Messenger) greet(c net.Conn) error {
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

// DialFrom returns a function that opens TCP connections from an IP address.
func DialFrom(local netip.Addr) func(context.Context, netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", to.String())
	}
}

// byteReader reads one byte at a time, so that a buffer takes nothing that follows the Hello.
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
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.AcceptBacklog = maxStreams
	c.StreamCloseTimeout = 10 * time.Second
	return c
}
