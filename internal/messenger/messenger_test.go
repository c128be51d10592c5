package messenger_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler answers heartbeats, blocks on reads until the call is canceled, and refuses all other requests.
type handler struct{ canceled chan struct{} }

func (h handler) Handle(ctx context.Context, from placer.VM, req *wire.Request) (*wire.Reply, func(func(proto.Message) error) error, error) {
	switch req.GetBody().(type) {
	case *wire.Request_Heartbeat:
		return &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: &wire.Heartbeat{From: messenger.ToVM(from)}}}, nil, nil
	case *wire.Request_Read:
		<-ctx.Done()
		close(h.canceled)
		return nil, nil, ctx.Err()
	}
	return nil, nil, errors.New("not here")
}

type endpoint struct {
	*messenger.Messenger
	address  netip.AddrPort
	handler  handler
	listener net.Listener
}

func startMessenger(t *testing.T, modify func(*messenger.Options)) endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := l.Addr().(*net.TCPAddr).AddrPort()
	h := handler{make(chan struct{})}
	o := messenger.Options{
		Self:  placer.VM{Address: a, CallerAddress: a, Domain: "a", Incarnation: 1},
		Fleet: "f", Layout: 1, Dial: messenger.DialFrom(netip.MustParseAddr("127.0.0.1")),
		Handler: h, Logger: zap.NewNop(), Clock: clockwork.NewRealClock(),
	}
	if modify != nil {
		modify(&o)
	}
	m := messenger.New(o)
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		m.Close()
		<-done
	})
	return endpoint{m, a, h, l}
}

// requireIs is require.ErrorIs for errors marked with errors.Mark, which the standard library does not recognize.
func requireIs(t *testing.T, err, target error) {
	t.Helper()
	require.True(t, errors.Is(err, target), "%v is not %v", err, target)
}

func heartbeat() *wire.Request {
	return &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
}

func TestCallsShareASession(t *testing.T) {
	a, b := startMessenger(t, nil), startMessenger(t, nil)
	for range 50 {
		rep, err := a.Call(t.Context(), b.address, heartbeat())
		require.NoError(t, err)
		from, err := messenger.FromVM(rep.GetHeartbeat().GetFrom())
		require.NoError(t, err)
		require.Equal(t, a.address, from.Address)
	}
	require.Equal(t, []netip.AddrPort{b.address}, a.Sessions())
}

// TestRefusalKeepsSession checks that a refused request leaves the session usable.
func TestRefusalKeepsSession(t *testing.T) {
	a, b := startMessenger(t, nil), startMessenger(t, nil)
	_, err := a.Call(t.Context(), b.address, &wire.Request{Body: &wire.Request_Ask{Ask: &wire.Ask{}}})
	requireIs(t, err, messenger.ErrRefused)
	_, err = a.Call(t.Context(), b.address, heartbeat())
	require.NoError(t, err)
}

// TestMismatchedHelloIsRefused checks that a daemon with another fleet, layout or protocol version is refused with
// the reason.
func TestMismatchedHelloIsRefused(t *testing.T) {
	b := startMessenger(t, nil)
	for name, modify := range map[string]func(*messenger.Options){
		`fleet "other"`:  func(o *messenger.Options) { o.Fleet = "other" },
		"failureDomains": func(o *messenger.Options) { o.Layout = 2 },
	} {
		a := startMessenger(t, modify)
		_, err := a.Call(t.Context(), b.address, heartbeat())
		requireIs(t, err, messenger.ErrUnreachable)
		require.ErrorContains(t, err, name)
	}
	mismatched := &wire.Hello{Protocol: 99, Fleet: "f", Layout: 1, From: messenger.ToVM(placer.VM{Address: b.address, CallerAddress: b.address})}
	rep := exchangeHello(t, b.address, mismatched)
	require.False(t, rep.GetAccepted())
	require.Contains(t, rep.GetReason(), "protocol version 99")
}

// exchangeHello sends a Hello on a connection of its own and returns the reply.
func exchangeHello(t *testing.T, to netip.AddrPort, h *wire.Hello) *wire.HelloReply {
	t.Helper()
	c, err := net.Dial("tcp", to.String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	b, err := proto.Marshal(h)
	require.NoError(t, err)
	_, err = c.Write(append([]byte{byte(len(b))}, b...))
	require.NoError(t, err)
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	var rep wire.HelloReply
	require.NoError(t, proto.Unmarshal(data[1:], &rep))
	return &rep
}

// TestGarbageClosesOnlyItsConnection checks that bytes which are no Hello close only the connection they came on.
func TestGarbageClosesOnlyItsConnection(t *testing.T) {
	a, b := startMessenger(t, nil), startMessenger(t, nil)
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x05abcde"} {
		c, err := net.Dial("tcp", b.address.String())
		require.NoError(t, err)
		_, err = io.WriteString(c, garbage)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	_, err := a.Call(t.Context(), b.address, heartbeat())
	require.NoError(t, err)
}

// TestNoReplyAndUnreachableDiffer checks that a call whose request may have reached the peer fails with ErrNoReply, and
// that a call to a closed peer eventually fails with ErrUnreachable only.
func TestNoReplyAndUnreachableDiffer(t *testing.T) {
	a, b := startMessenger(t, nil), startMessenger(t, nil)
	_, err := a.Call(t.Context(), b.address, heartbeat())
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = a.Call(ctx, b.address, &wire.Request{Body: &wire.Request_Read{Read: &wire.Read{}}})
	requireIs(t, err, messenger.ErrNoReply)
	<-b.handler.canceled
	_ = b.listener.Close()
	b.Close()
	require.Eventually(t, func() bool {
		_, err := a.Call(t.Context(), b.address, heartbeat())
		return errors.Is(err, messenger.ErrUnreachable) && !errors.Is(err, messenger.ErrNoReply)
	}, 10*time.Second, time.Millisecond)
}

// TestIdleSessionsAreClosed closes idle sessions between calls and while calls are in flight. No call may fail
// because the session it was about to use is closed.
func TestIdleSessionsAreClosed(t *testing.T) {
	a, b := startMessenger(t, nil), startMessenger(t, nil)
	_, err := a.Call(t.Context(), b.address, heartbeat())
	require.NoError(t, err)
	a.CloseIdle(time.Hour)
	require.Len(t, a.Sessions(), 1)
	a.CloseIdle(0)
	require.Empty(t, a.Sessions())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 200 {
				if _, err := a.Call(t.Context(), b.address, heartbeat()); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for range 200 {
		a.CloseIdle(0)
	}
	wg.Wait()
}

// TestUnresponsivePeerIsDetected drops all bytes sent on a session while its TCP connection stays open. Without pings
// during a call, the call would hang until the keepalive of yamux closes the session.
func TestUnresponsivePeerIsDetected(t *testing.T) {
	b := startMessenger(t, nil)
	cut := make(chan struct{})
	a := startMessenger(t, func(o *messenger.Options) {
		dial := o.Dial
		o.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			c, err := dial(ctx, to)
			return blackholeConn{c, cut}, err
		}
	})
	_, err := a.Call(t.Context(), b.address, heartbeat())
	require.NoError(t, err)
	close(cut)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = a.Call(ctx, b.address, heartbeat())
	require.NoError(t, ctx.Err(), "the call must fail long before the keepalive of the session")
	requireIs(t, err, messenger.ErrNoReply)
}

// blackholeConn discards all writes once its channel is closed.
type blackholeConn struct {
	net.Conn
	cut chan struct{}
}

func (s blackholeConn) Write(p []byte) (int, error) {
	select {
	case <-s.cut:
		return len(p), nil
	default:
		return s.Conn.Write(p)
	}
}

// echoHandler answers a heartbeat with its sender, after it has said that it began and a short while.
type echoHandler struct{ began chan struct{} }

func (h echoHandler) Handle(_ context.Context, _ placer.VM, req *wire.Request) (*wire.Reply, func(func(proto.Message) error) error, error) {
	h.began <- struct{}{}
	<-time.After(rand.N(2 * time.Millisecond))
	return &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: req.GetHeartbeat()}}, nil, nil
}

// The reply to a call that was given up must not be taken for that of a later call on the session.
func TestLateReplyIsNotTakenForThatOfALaterCall(t *testing.T) {
	h := echoHandler{make(chan struct{}, 1)}
	a, b := startMessenger(t, nil), startMessenger(t, func(o *messenger.Options) { o.Handler = h })
	for n := uint64(1); n <= 200; n++ {
		ctx, cancel := context.WithCancel(t.Context())
		given := make(chan struct{})
		go func() {
			defer close(given)
			<-h.began
			if n%2 == 1 {
				cancel()
			}
		}()
		rep, err := a.Call(ctx, b.address, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{From: &wire.VM{Incarnation: n}}}})
		<-given
		cancel()
		if n%2 == 1 && err != nil {
			continue
		}
		require.NoError(t, err)
		require.Equal(t, n, rep.GetHeartbeat().GetFrom().GetIncarnation())
	}
}
