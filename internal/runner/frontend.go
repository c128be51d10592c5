package runner

import (
	"context"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/internal/canceler"
	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

// stopPollInterval is the time between checks whether the requests in flight have finished.
const stopPollInterval = 20 * time.Millisecond

// frontend accepts and serves callers' connections. The limits of a request are those in force when it begins.
type frontend struct {
	net.Listener
	server http.Server
	limits func() router.Limits
	clock  clockwork.Clock
	// stallTimeout is how long a caller may take none of a response.
	stallTimeout time.Duration

	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	stopping bool
	// applied are the limits that the deadlines of the connections were last computed with.
	applied router.Limits
}

func newFrontend(l net.Listener, h http.Handler, limits func() router.Limits, clock clockwork.Clock) *frontend {
	f := &frontend{Listener: l, limits: limits, clock: clock, stallTimeout: stallTimeout, conns: map[*callerConn]struct{}{}, applied: limits()}
	f.server = http.Server{ //nolint:gosec // The connections bound the time of a head.
		Handler: byConnection(canceler.NewHandler(h)), ConnState: f.setState, ConnContext: withConn,
		MaxHeaderBytes: math.MaxInt32, // The connections enforce the limits.
		// net/http would log connections that callers abort; the receiver logs requests.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return f
}

// Run accepts connections until the listener is closed.
func (f *frontend) Run() error {
	err := f.server.Serve(f)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "accept connection from caller")
}

// Accept implements net.Listener.
func (f *frontend) Accept() (net.Conn, error) {
	nc, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newCallerConn(canceler.NewConn(nc, f.clock), f.limits, f.stallTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = struct{}{}
	return c, nil
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(canceler.ConnContext(ctx, c), connKey{}, c)
}

// byConnection passes requests on with what their connections know of them. It drops those whose connection a stop closed before
// they were counted: nobody would get their answers.
func byConnection(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			arrivedAt, ended := c.current()
			if ended {
				panic(http.ErrAbortHandler)
			}
			if !arrivedAt.IsZero() {
				r = r.WithContext(receiver.WithArrival(r.Context(), arrivedAt))
			}
		}
		h.ServeHTTP(w, r)
	})
}

// setState is called by the server when the state of a connection changes.
func (f *frontend) setState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
	case http.StateActive:
		c.setPhase(phaseServing)
	case http.StateIdle:
		f.mu.Lock()
		defer f.mu.Unlock()
		c.setPhase(phaseIdle)
		if f.stopping {
			c.closeIdle()
		}
	case http.StateHijacked, http.StateClosed:
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, c)
	}
}

// ApplyLimits applies changed timeouts to connections that wait for their caller.
func (f *frontend) ApplyLimits() {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limits()
	if l == f.applied {
		return
	}
	f.applied = l
	for c := range f.conns {
		c.updateDeadline()
	}
}

// Stop closes the listener and idle connections, and waits until the requests in flight have finished or the context ends.
// The handler must close the connections of requests that it still answers.
func (f *frontend) Stop(ctx context.Context) error {
	err := f.Close()
	f.mu.Lock()
	f.stopping = true
	for c := range f.conns {
		c.closeIdle()
	}
	f.mu.Unlock()
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	busy := f.busy()
	for busy > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		busy = f.busy()
	}
	if busy > 0 {
		err = errors.CombineErrors(err, errors.Newf("%d requests in flight were cut", busy))
	}
	if e := f.server.Close(); !errors.Is(e, net.ErrClosed) { // The server may not know yet that the listener is closed.
		err = errors.CombineErrors(err, e)
	}
	return err
}

// busy returns the number of connections with a request that is read or served.
func (f *frontend) busy() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if p := c.currentPhase(); p == phaseReading || p == phaseServing {
			n++
		}
	}
	return n
}
