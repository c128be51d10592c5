package runner

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

// frontend accepts callers and hands each connection to a server with the limits in force.
type frontend struct {
	listener net.Listener
	handler  http.Handler
	limits   func() router.Limits

	mu      sync.Mutex
	current *server
	all     []*server
}

// server is an HTTP server with the limits that held when it was made.
type server struct {
	http.Server
	limits router.Limits
	conns  chan net.Conn
	// closed ends the wait for connections.
	closed chan struct{}
	once   sync.Once
}

func newFrontend(l net.Listener, h http.Handler, limits func() router.Limits) *frontend {
	return &frontend{listener: l, handler: h, limits: limits}
}

// Run accepts callers until the listener is closed.
func (f *frontend) Run() error {
	for {
		c, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "callers' listener")
		}
		s := f.server()
		select {
		case s.conns <- c:
		case <-s.closed:
			_ = c.Close()
		}
	}
}

// server returns the server with the limits in force.
func (f *frontend) server() *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limits()
	if f.current != nil && f.current.limits == l {
		return f.current
	}
	s := &server{
		Server: http.Server{
			Handler: f.handler, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeaderBytes: l.MaxHeaderBytes,
			// What net/http writes there are callers that break off; requests are logged by the receiver.
			ErrorLog: log.New(io.Discard, "", 0),
		},
		limits: l, conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	f.current = s
	f.all = append(f.all, s)
	go func() { _ = s.Serve(handover{s, f.listener.Addr()}) }() // It ends with Shutdown.
	return s
}

// Stop accepts no more callers and waits for the requests that run.
func (f *frontend) Stop(ctx context.Context) error {
	err := f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.all {
		err = errors.CombineErrors(err, s.Shutdown(ctx))
	}
	return err
}

// handover is the listener of a server that gets its connections from the frontend.
type handover struct {
	server *server
	addr   net.Addr
}

// Accept returns the next connection.
func (h handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.server.conns:
		return c, nil
	case <-h.server.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept; the listener itself is the frontend's.
func (h handover) Close() error {
	h.server.once.Do(func() { close(h.server.closed) })
	return nil
}

// Addr returns the callers' address.
func (h handover) Addr() net.Addr { return h.addr }
