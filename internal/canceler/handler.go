package canceler

import (
	"context"
	"net"
	"net/http"

	"github.com/jonboulle/clockwork"
)

// listener accepts connections that are checked.
type listener struct {
	net.Listener
	clock clockwork.Clock
}

// NewListener returns a listener that accepts connections of the type *Conn.
func NewListener(l net.Listener, clock clockwork.Clock) net.Listener { return listener{l, clock} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c, l.clock), nil
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose handler is one of NewHandler. The connection is a *Conn, or one of TLS
// or of another type with a method NetConn that returns the connection below it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	if c, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// NewHandler returns a handler that ends the context of a request when its caller leaves, and drops requests that were sent ahead
// by a caller that has left. HTTP/2 connections are always read, and are left to net/http.
func NewHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok || r.ProtoMajor > 1 {
			h.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if !c.begin(cancel) {
			panic(http.ErrAbortHandler)
		}
		defer c.end()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}
