package messenger_test

import (
	"context"
	"io"
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

// handler answers heartbeats, refuses asks, and leaves a read without a reply until it is canceled.
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

type end struct {
	*messenger.Messenger
	address  netip.AddrPort
	handler  handler
	listener net.Listener
}

func start(t *testing.T, change func(*messenger.Options)) end {
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
	if change != nil {
		change(&o)
	}
	m := messenger.New(o)
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		m.Close()
		<-done
	})
	return end{m, a, h, l}
}

// requireIs knows the marks of the errors package, which the standard library does not.
func requireIs(t *testing.T, err, target error) {
	t.Helper()
	require.True(t, errors.Is(err, target), "%v is not %v", err, target)
}

func beat() *wire.Request {
	return &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
}

func TestCallsShareASession(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	for range 50 {
		rep, err := a.Call(t.Context(), b.address, beat())
		require.NoError(t, err)
		from, err := messenger.FromVM(rep.GetHeartbeat().GetFrom())
		require.NoError(t, err)
		require.Equal(t, a.address, from.Address)
	}
	require.Equal(t, []netip.AddrPort{b.address}, a.Sessions())
}

func TestRefusalIsNoLoss(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	_, err := a.Call(t.Context(), b.address, &wire.Request{Body: &wire.Request_Ask{Ask: &wire.Ask{}}})
	requireIs(t, err, messenger.ErrRefused)
	_, err = a.Call(t.Context(), b.address, beat())
	require.NoError(t, err)
}

// TestStrangersAreRefused checks that a daemon of another fleet, layout or protocol is told why.
func TestStrangersAreRefused(t *testing.T) {
	b := start(t, nil)
	for name, change := range map[string]func(*messenger.Options){
		`fleet "other"`:  func(o *messenger.Options) { o.Fleet = "other" },
		"failureDomains": func(o *messenger.Options) { o.Layout = 2 },
	} {
		a := start(t, change)
		_, err := a.Call(t.Context(), b.address, beat())
		requireIs(t, err, messenger.ErrUnreachable)
		require.ErrorContains(t, err, name)
	}
	older := &wire.Hello{Protocol: 99, Fleet: "f", Layout: 1, From: messenger.ToVM(placer.VM{Address: b.address, CallerAddress: b.address})}
	rep := hello(t, b.address, older)
	require.False(t, rep.GetAccepted())
	require.Contains(t, rep.GetReason(), "protocol version 99")
}

func hello(t *testing.T, to netip.AddrPort, h *wire.Hello) *wire.HelloReply {
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

func TestNoiseHarmsNothing(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	for _, noise := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x05abcde"} {
		c, err := net.Dial("tcp", b.address.String())
		require.NoError(t, err)
		_, err = io.WriteString(c, noise)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
	_, err := a.Call(t.Context(), b.address, beat())
	require.NoError(t, err)
}

func TestLossAndUnreachableDiffer(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	_, err := a.Call(t.Context(), b.address, beat())
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = a.Call(ctx, b.address, &wire.Request{Body: &wire.Request_Read{Read: &wire.Read{}}})
	requireIs(t, err, messenger.ErrNoReply)
	<-b.handler.canceled
	_ = b.listener.Close()
	b.Close()
	require.Eventually(t, func() bool {
		_, err := a.Call(t.Context(), b.address, beat())
		return errors.Is(err, messenger.ErrUnreachable) && !errors.Is(err, messenger.ErrNoReply)
	}, 10*time.Second, time.Millisecond)
}

// TestIdleSessionsAreRetired closes sessions between calls and under them.
func TestIdleSessionsAreRetired(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	_, err := a.Call(t.Context(), b.address, beat())
	require.NoError(t, err)
	a.CloseIdle(time.Hour)
	require.Len(t, a.Sessions(), 1)
	a.CloseIdle(0)
	require.Empty(t, a.Sessions())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 200 {
				if _, err := a.Call(t.Context(), b.address, beat()); err != nil {
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

// TestSilentPeerIsGivenUp lets a session's bytes vanish while its connection stays open.
func TestSilentPeerIsGivenUp(t *testing.T) {
	b := start(t, nil)
	cut := make(chan struct{})
	a := start(t, func(o *messenger.Options) {
		dial := o.Dial
		o.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			c, err := dial(ctx, to)
			return silencer{c, cut}, err
		}
	})
	_, err := a.Call(t.Context(), b.address, beat())
	require.NoError(t, err)
	close(cut)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = a.Call(ctx, b.address, beat())
	require.NoError(t, ctx.Err(), "long before the session's own keepalive")
	requireIs(t, err, messenger.ErrNoReply)
}

// silencer drops what is written once its channel is closed.
type silencer struct {
	net.Conn
	cut chan struct{}
}

func (s silencer) Write(p []byte) (int, error) {
	select {
	case <-s.cut:
		return len(p), nil
	default:
		return s.Conn.Write(p)
	}
}
