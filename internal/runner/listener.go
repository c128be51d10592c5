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

// frontend accepts callers' connections and hands each to an HTTP server with the limits in force.
type frontend struct {
	listener net.Listener
	handler  http.Handler
	limits   func() router.Limits

	mu      sync.Mutex
	current *server
	servers []*server
}

// server is an HTTP server with the limits that were in force when it was created.
type server struct {
	http.Server
	limits router.Limits
	conns  chan net.Conn
	// closed is closed when the server stops taking connections from the frontend.
	closed chan struct{}
	once   sync.Once
}

func newFrontend(l net.Listener, h http.Handler, limits func() router.Limits) *frontend {
	return &frontend{listener: l, handler: h, limits: limits}
}

// Run accepts connections until the listener is closed.
func (f *frontend) Run() error {
	for {
		c, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection from caller")
		}
		s := f.server()
		select {
		case s.conns <- c:
		case <-s.closed:
			_ = c.Close()
		}
	}
}

// server returns a server with the limits in force, and starts one if the limits changed. Connections that were
// accepted before keep their server.
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
			// net/http would log connections that callers abort; the receiver logs requests.
			ErrorLog: log.New(io.Discard, "", 0),
		},
		limits: l, conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	f.current = s
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(connListener{s, f.listener.Addr()}) }() // Serve returns after Shutdown.
	return s
}

// Stop closes the listener and waits until the requests in flight have finished or the context ends. A request on one
// server must not keep the others from closing their connections.
func (f *frontend) Stop(ctx context.Context) error {
	err := f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	stopped := make(chan error, len(f.servers))
	for _, s := range f.servers {
		go func() { stopped <- s.Shutdown(ctx) }()
	}
	for range f.servers {
		err = errors.CombineErrors(err, <-stopped)
	}
	return err
}

// connListener is the net.Listener of a server; its connections come from the frontend.
type connListener struct {
	server *server
	addr   net.Addr
}

// Accept returns the next connection.
func (l connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.server.conns:
		return c, nil
	case <-l.server.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed; the underlying listener belongs to the frontend and stays open.
func (l connListener) Close() error {
	l.server.once.Do(func() { close(l.server.closed) })
	return nil
}

// Addr returns the address that callers connect to.
func (l connListener) Addr() net.Addr { return l.addr }
