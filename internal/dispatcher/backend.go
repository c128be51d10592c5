package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errNotStarted = errors.New("the backend server did not start the request")
	errShed       = errors.New("the backend server sheds load")
	errDraining   = errors.New("the backend server drains")
	errStarting   = errors.New("the backend server starts")
	errCrossed    = errors.New("the answer belongs to another request")
	errUnframed   = errors.New("the answer has no length, so it cannot be known to be whole")
	errServer     = errors.New("the backend server answers with a server error")
	errUnwell     = errors.New("the health check answers that the backend server is not well")
	errSilent     = errors.New("a connection that had idled went silent")
)

// backend is the connections to one backend server.
type backend struct {
	address   netip.AddrPort
	transport *http.Transport
}

func newBackend(a netip.AddrPort) *backend {
	d := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &backend{address: a, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerBackend,
		IdleConnTimeout:     idleConnection,
	}}
}

func (b *backend) close() { b.transport.CloseIdleConnections() }

// once makes a body that the transport cannot send again by itself, even an empty one.
type once struct{ io.Reader }

func (once) Close() error { return nil }

func (b *backend) request(ctx context.Context, r Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, errors.Mark(err, errNotStarted)
	}
	u.Scheme, u.Host = "http", b.address.String()
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), nil)
	if err != nil {
		return nil, errors.Mark(err, errNotStarted)
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Account != "" {
		req.Header.Set(HeaderAccount, r.Account)
	}
	if t, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(t).Milliseconds()), 10))
	}
	if len(r.Body) > 0 || !r.Idempotent {
		req.Body, req.ContentLength = once{bytes.NewReader(r.Body)}, int64(len(r.Body))
	}
	return req, nil
}

// meteredConn counts the bytes handed to the operating system.
type meteredConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes, so that a byte that may have left is counted.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// trace observes how far a request got.
type trace struct {
	mu     sync.Mutex
	conn   *meteredConn
	before int64
	reused bool
	idled  bool
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn, _ = i.Conn.(*meteredConn)
		t.before = t.conn.written.Load()
		t.reused, t.idled = i.Reused, i.Reused && i.WasIdle && i.IdleTime >= silentIdle
	}}
}

// left reports whether a byte of the request may have left, and whether the connection was an old one.
func (t *trace) left() (left, reused, idled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.written.Load() != t.before, t.reused, t.idled
}

// send runs a request. An error marked errNotStarted means that the backend server
// surely did not start it.
func (b *backend) send(ctx context.Context, r Request) (Answer, error) {
	var t trace
	req, err := b.request(httptrace.WithClientTrace(ctx, t.hooks()), r)
	if err != nil {
		return Answer{}, err
	}
	rep, err := b.transport.RoundTrip(req)
	if err != nil {
		return Answer{}, b.classify(ctx, &t, err)
	}
	a, err := b.receive(r, rep)
	if err != nil {
		_ = rep.Body.Close()
		if errors.Is(err, errNotStarted) {
			return a, err
		}
		return Answer{}, b.classify(ctx, &t, err)
	}
	return a, nil
}

// classify marks an error by what it says about the request.
func (b *backend) classify(ctx context.Context, t *trace, err error) error {
	left, reused, idled := t.left()
	if !left {
		return errors.Mark(err, errNotStarted)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && reused {
		b.transport.CloseIdleConnections()
		if idled {
			return errors.Mark(err, errSilent)
		}
	}
	return err
}

// receive checks an answer and reads it whole, or its first MaxWhole bytes.
func (b *backend) receive(r Request, rep *http.Response) (Answer, error) {
	if err := refusal(rep); err != nil {
		return Answer{}, err
	}
	if id := rep.Header.Get(HeaderRequestID); id != "" && id != r.ID {
		return Answer{}, errors.Wrapf(errCrossed, "id %q came for %q", id, r.ID)
	}
	if rep.ContentLength < 0 && len(rep.TransferEncoding) == 0 && rep.Close {
		return Answer{}, errUnframed
	}
	body, err := io.ReadAll(io.LimitReader(rep.Body, MaxBufferedBody+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "answer cut")
	}
	a := Answer{Status: rep.StatusCode, Header: rep.Header, Body: body}
	if len(body) > MaxBufferedBody {
		a.Rest = rep.Body
		return a, nil
	}
	return a, rep.Body.Close()
}

// refusal returns why a backend server refused a request before starting it, or nil.
func refusal(rep *http.Response) error {
	if rep.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	switch rep.Header.Get(HeaderState) {
	case stateShedding:
		return errors.Mark(errShed, errNotStarted)
	case stateDraining:
		return errors.Mark(errDraining, errNotStarted)
	case stateStarting:
		return errors.Mark(errStarting, errNotStarted)
	}
	return nil
}

// probe asks for the health of the backend server.
func (b *backend) probe(ctx context.Context, path string) (draining bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.address.String()+path, nil)
	if err != nil {
		return false, err
	}
	rep, err := b.transport.RoundTrip(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = rep.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(rep.Body, MaxBufferedBody))
	if rep.Header.Get(HeaderState) == stateDraining {
		return true, nil
	}
	if err == nil && rep.StatusCode >= http.StatusInternalServerError {
		err = errors.Wrap(errUnwell, rep.Status)
	}
	return false, err
}
