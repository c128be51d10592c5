package dispatcher

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
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

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

var (
	errNotStarted        = errors.New("the backend server did not start the request")
	errShed              = errors.New("the backend server sheds load")
	errDraining          = errors.New("the backend server drains")
	errStarting          = errors.New("the backend server starts")
	errRequestIDMismatch = errors.New("the answer belongs to another request")
	errSpliced           = errors.New("the answer begins with a part of another one")
	errCloseDelimited    = errors.New("the answer has no length, so it cannot be known to be whole")
	errServerError       = errors.New("the backend server responded with a server error")
	errUnhealthy         = errors.New("the health check reports that the backend server is unhealthy")
	errStaleConn         = errors.New("no response on a reused connection that had been idle")
)

// backend is the connection pool of one backend server.
type backend struct {
	address   netip.AddrPort
	transport *http.Transport
	// unpooled opens a connection for each request.
	unpooled *http.Transport
	// refused are requests that the backend server refused. One that is sent again gets a connection of its own: a late copy of
	// its refusal would name it, too.
	refused *refusedIDs
	// echoesIDs is set once a response named its request: one that names none then belongs to no request.
	echoesIDs atomic.Bool
}

func newBackend(a netip.AddrPort) *backend {
	d := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	unpooled := t.Clone()
	unpooled.DisableKeepAlives = true
	return &backend{address: a, transport: t, unpooled: unpooled, refused: newRefusedIDs()}
}

func (b *backend) close() { b.transport.CloseIdleConnections() }

// singleUseBody is a request body without GetBody, which http.Transport cannot replay. Transport would otherwise resend
// some requests by itself when a reused connection fails. Even an empty body is wrapped, so that it is not http.NoBody.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

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
		req.Body, req.ContentLength = singleUseBody{bytes.NewReader(r.Body)}, int64(len(r.Body))
	}
	return req, nil
}

// meteredConn counts the bytes passed to the connection's Write.
type meteredConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes before it writes them, so that every byte that may have been sent is counted.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// trace records which connection a request used and whether any of it was written.
type trace struct {
	mu            sync.Mutex
	conn          *meteredConn
	writtenBefore int64 // bytes written to conn before the request
	reused        bool
	longIdle      bool // reused after an idle time of at least staleConnIdleTime
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: forwarder.CheckInterim, GotConn: func(i httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn, _ = i.Conn.(*meteredConn)
		t.writtenBefore = t.conn.written.Load()
		t.reused, t.longIdle = i.Reused, i.Reused && i.WasIdle && i.IdleTime >= staleConnIdleTime
	}}
}

// sent reports whether a byte of the request may have been sent, whether the connection was reused, and whether it
// had been idle for at least staleConnIdleTime before.
func (t *trace) sent() (sent, reused, longIdle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.written.Load() != t.writtenBefore, t.reused, t.longIdle
}

// discardConn closes the connection that a request used. The transport may already have kept it for others, and notices only later
// that it is closed; so the idle connections go with it.
func (b *backend) discardConn(t *trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
	b.transport.CloseIdleConnections()
}

// send sends a request and returns the response. An error marked errNotStarted means that the backend server
// certainly did not start the request.
func (b *backend) send(ctx context.Context, r Request) (Answer, error) {
	var t trace
	req, err := b.request(httptrace.WithClientTrace(ctx, t.hooks()), r)
	if err != nil {
		return Answer{}, err
	}
	transport := b.transport
	if b.refused.has(r.ID) {
		transport = b.unpooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{}, b.classify(ctx, &t, forwarder.HideQuotes(err))
	}
	a, err := b.receive(r, resp)
	if err != nil {
		_ = resp.Body.Close()
		if forwarder.IsNoResponse(err) {
			b.discardConn(&t)
		}
		if errors.Is(err, errNotStarted) {
			return a, err
		}
		return Answer{}, b.classify(ctx, &t, err)
	}
	return a, nil
}

// classify marks err with errNotStarted if nothing of the request was sent, or with errStaleConn if the deadline
// passed on a reused connection that had been idle. After a deadline on any reused connection it closes the idle
// connections.
func (b *backend) classify(ctx context.Context, t *trace, err error) error {
	sent, reused, longIdle := t.sent()
	if !sent {
		return errors.Mark(err, errNotStarted)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && reused {
		b.transport.CloseIdleConnections()
		if longIdle {
			return errors.Mark(err, errStaleConn)
		}
	}
	return err
}

// receive checks a response and reads its body into memory. If the body is longer than MaxBufferedBody, the remainder
// is left to the reader of Rest.
func (b *backend) receive(r Request, resp *http.Response) (Answer, error) {
	if err := forwarder.CheckHead(resp); err != nil {
		return Answer{}, err
	}
	if forwarder.Spliced(resp) {
		return Answer{}, errSpliced
	}
	id := resp.Header.Get(HeaderRequestID)
	if id == r.ID {
		b.echoesIDs.Store(true)
	} else if id != "" || b.echoesIDs.Load() {
		return Answer{}, errors.Wrapf(errRequestIDMismatch, "id %q came for %q", id, r.ID)
	}
	if err := refusal(resp); err != nil {
		b.refused.add(r.ID)
		return Answer{}, err
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Close {
		return Answer{}, errCloseDelimited
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBody+1))
	if err != nil {
		return Answer{}, errors.Wrap(forwarder.HideQuotes(err), "answer cut")
	}
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if len(body) > MaxBufferedBody {
		a.Rest = resp.Body
		return a, nil
	}
	return a, resp.Body.Close()
}

// refusal returns why a backend server refused a request before starting it, marked errNotStarted, or nil if it did
// not refuse the request.
func refusal(resp *http.Response) error {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	switch resp.Header.Get(HeaderState) {
	case stateShedding:
		return errors.Mark(errShed, errNotStarted)
	case stateDraining:
		return errors.Mark(errDraining, errNotStarted)
	case stateStarting:
		return errors.Mark(errStarting, errNotStarted)
	}
	return nil
}

// probe sends a health check to the backend server, with a request ID that tells its response from a late one. An error wraps
// errUnhealthy if the backend server responded with a server error; any other error means that it gave no complete response.
func (b *backend) probe(ctx context.Context, path string) (draining bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var t trace
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t.hooks()), http.MethodGet, "http://"+b.address.String()+path, nil)
	if err != nil {
		return false, err
	}
	id := "probe-" + strconv.FormatUint(rand.Uint64(), 16)
	req.Header.Set(HeaderRequestID, id)
	resp, err := b.transport.RoundTrip(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := forwarder.CheckHead(resp); err != nil {
		b.discardConn(&t)
		return false, err
	}
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != id {
		return false, errors.Wrapf(errRequestIDMismatch, "id %q came for %q", got, id)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, MaxBufferedBody))
	if resp.Header.Get(HeaderState) == stateDraining {
		return true, nil
	}
	if err == nil && resp.StatusCode >= http.StatusInternalServerError {
		err = errors.Wrap(errUnhealthy, resp.Status)
	}
	return false, err
}
