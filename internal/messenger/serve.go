package messenger

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Serve accepts sessions until the listener is closed.
func (m *Messenger) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "peer listener")
		}
		go m.accept(ctx, c)
	}
}

// Close ends all sessions.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.closed = true
	for c := range m.accepted {
		_ = c.Close()
	}
	m.mu.Unlock()
	for _, a := range m.Sessions() {
		m.Reset(a)
	}
}

func (m *Messenger) track(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.accepted[c] = struct{}{}
	return true
}

func (m *Messenger) untrack(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, c)
}

func (m *Messenger) accept(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	if !m.track(c) {
		return
	}
	defer m.untrack(c)
	remote := c.RemoteAddr().String()
	c = m.traffic.Wrap(c)
	if m.ServerTLS != nil {
		c = tls.Server(c, m.ServerTLS)
	}
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	from, err := m.welcome(c)
	if err != nil {
		m.Logger.Warn("session refused", zap.String("remote", remote), zap.Error(err))
		return
	}
	_ = c.SetDeadline(time.Time{})
	mux, err := yamux.Server(c, muxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	for {
		s, err := mux.Accept()
		if err != nil {
			return
		}
		go m.serveStream(ctx, from, s)
	}
}

// welcome reads the Hello of a connection and answers it.
func (m *Messenger) welcome(c net.Conn) (placer.VM, error) {
	var h wire.Hello
	if err := read(bufio.NewReaderSize(byteReader{c}, 16), &h); err != nil {
		return placer.VM{}, errors.Wrap(err, "no hello of a daemon")
	}
	from, err := FromVM(h.GetFrom())
	if err == nil {
		err = m.judge(&h)
	}
	rep := &wire.HelloReply{Accepted: err == nil, Self: ToVM(m.Self)}
	if err != nil {
		rep.Reason = err.Error()
	}
	if e := write(c, rep); e != nil && err == nil {
		err = e
	}
	return from, err
}

func (m *Messenger) judge(h *wire.Hello) error {
	switch {
	case h.GetProtocol() != Protocol:
		return errors.Newf("protocol version %d, this daemon speaks %d", h.GetProtocol(), Protocol)
	case h.GetFleet() != m.Fleet:
		return errors.Newf("fleet %q, this daemon is of fleet %q", h.GetFleet(), m.Fleet)
	case h.GetLayout() != m.Layout:
		return errors.New("the settings fleet.failureDomains differ from this daemon's")
	}
	return nil
}

// serveStream answers the calls of one stream, one after another. The reader goroutine
// notices when the peer gives up a call.
func (m *Messenger) serveStream(ctx context.Context, from placer.VM, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.Close() }()
	calls := make(chan *wire.Request)
	go func() {
		defer cancel()
		r := bufio.NewReader(c)
		for {
			req := &wire.Request{}
			if read(r, req) != nil {
				return
			}
			select {
			case calls <- req:
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-calls:
			if m.answer(ctx, from, c, req) != nil {
				return
			}
		}
	}
}

func (m *Messenger) answer(ctx context.Context, from placer.VM, c net.Conn, req *wire.Request) error {
	rep, follow, err := m.Handler.Handle(ctx, from, req)
	if err != nil {
		rep, follow = &wire.Reply{Error: err.Error()}, nil
	}
	if err := write(c, rep); err != nil {
		return err
	}
	if follow == nil {
		return nil
	}
	return follow(func(msg proto.Message) error { return write(c, msg) })
}
