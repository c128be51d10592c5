package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// connectTimeout bounds the opening of a connection. Links have a latency of 1 ms, and a lost packet is
	// retransmitted only after 1 s; by then another instance has responded.
	connectTimeout = 250 * time.Millisecond
	// maxWhole is the longest response body that is buffered until it is complete, in bytes; longer ones are
	// streamed.
	maxWhole = 256 << 10
	// maxStrays bounds the responses that are read for one request. Interim responses and responses to earlier
	// requests are skipped.
	maxStrays = 3
	// userTimeout is how long sent bytes may stay unacknowledged before the connection fails (TCP_USER_TIMEOUT).
	userTimeout = 5 * time.Second
)

// ErrNotSent marks errors of requests of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// Headers are the names of the headers of the backend servers' protocol.
type Headers struct {
	// RequestID carries the id of a request, which responses echo.
	RequestID string
	// Signature is present in genuine responses of an instance.
	Signature string
	// NotRun is present in a response if the instance did not run the request.
	NotRun string
}

// Request is a request for a backend server.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body, or its beginning if More has the rest.
	Body []byte
	More io.Reader
	// Chunked is set if the length of the body is unknown; it is then sent with chunked transfer encoding.
	Chunked bool
	// Length is the length of the whole body in bytes; it is ignored if Chunked is set.
	Length int64
}

// Answer is the response of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest reads what follows Body in a long response, and must be closed; it is nil if Body is complete.
	Rest io.ReadCloser
	// Length is the Content-Length in bytes, -1 if there is none.
	Length int64
	// NotRun is set if the instance did not run the request.
	NotRun bool
	// Signed is set if the response has the instance's signature header; the signature is not verified.
	Signed bool
	// Reused is set if the connection had carried other requests before.
	Reused bool
}

// Forwarder sends requests and keeps idle connections for reuse.
type Forwarder struct {
	headers Headers
	clock   clockwork.Clock
	pool    *pool
	dialer  net.Dialer
}

// New returns a Forwarder; maxIdle bounds the idle connections that it keeps open.
func New(h Headers, maxIdle int, clock clockwork.Clock) *Forwarder {
	return &Forwarder{
		headers: h, clock: clock, pool: newPool(maxIdle, clock),
		dialer: net.Dialer{Timeout: connectTimeout, Control: setUserTimeout},
	}
}

// Keep closes idle connections to addresses for which used returns false, and those that were idle for too long.
func (f *Forwarder) Keep(used func(netip.AddrPort) bool) { f.pool.sweep(used) }

// Stats returns how many connections were opened so far, and how many idle ones are kept.
func (f *Forwarder) Stats() (opened int64, kept int) { return f.pool.stats() }

// Send sends a request and returns the response. MaxRest is how long a kept connection may have been idle to be
// reused; zero opens a new one. When the context ends, Send closes the connection, which cancels the request at
// the instance; the returned error is then also marked with the context's error.
func (f *Forwarder) Send(ctx context.Context, to netip.AddrPort, r Request, maxRest time.Duration) (Answer, error) {
	c, err := f.connect(ctx, to, maxRest)
	if err != nil {
		return Answer{}, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := f.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.Mark(err, ctx.Err())
		}
		return Answer{}, err
	}
	a.Reused = c.used > 1
	if a.Rest != nil {
		a.Rest = &rest{Reader: a.Rest, close: func() { stop(); _ = c.Close() }}
		return a, nil
	}
	if !stop() || !c.reusable {
		_ = c.Close()
		return a, nil
	}
	f.pool.put(c)
	return a, nil
}

func (f *Forwarder) connect(ctx context.Context, to netip.AddrPort, maxRest time.Duration) (*conn, error) {
	if maxRest > 0 {
		if c := f.pool.get(to, maxRest); c != nil {
			c.used++
			return c, nil
		}
	}
	nc, err := f.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to instance")
	}
	f.pool.opened.Add(1)
	return &conn{Conn: nc, to: to, r: bufio.NewReaderSize(nc, readBuffer), used: 1}, nil
}

// readBuffer is the size of the read buffer of a connection, in bytes.
const readBuffer = 2 << 10

func (f *Forwarder) exchange(c *conn, r Request) (Answer, error) {
	c.reusable = false
	written := make(chan error, 1)
	if r.More == nil && len(r.Body) <= directBody {
		err := write(c, r)
		written <- err
	} else {
		go func() { written <- write(c, r) }()
	}
	a, err := f.read(c, r)
	if err != nil {
		return a, err
	}
	select {
	case err := <-written:
		// The instance may respond before it has read the whole body; the connection is then not reused.
		c.reusable = c.reusable && err == nil
	default:
		c.reusable = false
	}
	return a, nil
}

// directBody is the longest body that is written before the response is read, in bytes. A longer one might block
// on a full send window while the instance already responds, so it is written concurrently.
const directBody = 8 << 10

func write(c *conn, r Request) error {
	w := bufio.NewWriterSize(c, 4<<10)
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return errors.Wrap(err, "write request headers")
	}
	if r.Chunked {
		return writeChunked(w, r)
	}
	if r.Length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, err := w.Write(r.Body)
	if err == nil && r.More != nil {
		_, err = io.Copy(w, r.More)
	}
	if err == nil {
		err = w.Flush()
	}
	return errors.Wrap(err, "write request")
}

func writeChunked(w *bufio.Writer, r Request) error {
	_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	cw := httputil.NewChunkedWriter(w)
	_, err := cw.Write(r.Body)
	if len(r.Body) == 0 {
		err = nil
	}
	if err == nil && r.More != nil {
		_, err = io.Copy(cw, r.More)
	}
	if err != nil {
		return errors.Wrap(err, "write chunked request")
	}
	if err := cw.Close(); err != nil {
		return errors.Wrap(err, "write chunked request")
	}
	_, _ = w.WriteString("\r\n")
	return errors.Wrap(w.Flush(), "write chunked request")
}

// read reads the response to a request and skips interim responses and responses to earlier requests.
func (f *Forwarder) read(c *conn, r Request) (Answer, error) {
	for range maxStrays {
		rep, err := http.ReadResponse(c.r, &http.Request{Method: r.Method}) //nolint:bodyclose // Reading to its end or closing the connection ends it.
		if err != nil {
			return Answer{}, errors.Wrap(err, "read response")
		}
		if rep.StatusCode < http.StatusOK && rep.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := rep.Header.Get(f.headers.RequestID)
		if id != "" && id != r.ID {
			if _, err := io.Copy(io.Discard, rep.Body); err != nil || rep.Close {
				return Answer{}, errors.Newf("response is for another request, %q", id)
			}
			continue
		}
		return f.take(c, r, rep, id)
	}
	return Answer{}, errors.New("no response to the request: too many interim responses or responses to other requests")
}

// take reads the body of a response, or its beginning if it exceeds maxWhole.
func (f *Forwarder) take(c *conn, r Request, rep *http.Response, id string) (Answer, error) {
	a := Answer{
		Status: rep.StatusCode, Header: rep.Header, Length: rep.ContentLength,
		NotRun: rep.Header.Get(f.headers.NotRun) != "" || rep.StatusCode == http.StatusMisdirectedRequest,
		Signed: rep.Header.Get(f.headers.Signature) != "",
	}
	body, err := io.ReadAll(io.LimitReader(rep.Body, maxWhole+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read response body")
	}
	a.Body = body
	if len(body) > maxWhole {
		a.Rest = rep.Body
		return a, nil
	}
	// A response without an id might be a duplicate of an earlier one, so the connection is not reused after it.
	c.reusable = !rep.Close && id == r.ID && c.r.Buffered() == 0
	c.allowed = keepAlive(rep.Header.Get("Keep-Alive"))
	return a, nil
}

// keepAlive returns the timeout in a Keep-Alive header, zero if it has none.
func keepAlive(h string) time.Duration {
	for p := range strings.SplitSeq(h, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// rest reads the rest of a long response; closing it closes the connection.
type rest struct {
	io.Reader
	close func()
}

// Close closes the connection.
func (r *rest) Close() error {
	r.close()
	return nil
}
