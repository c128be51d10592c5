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
	// connectTimeout bounds the opening of a connection: links are 1 ms long, and a lost packet is sent
	// again after a second only, by when another instance has answered.
	connectTimeout = 250 * time.Millisecond
	// maxWhole is the longest answer that is held until it is complete, in bytes.
	maxWhole = 256 << 10
	// maxStrays bounds the answers to earlier requests that are skipped on one connection.
	maxStrays = 3
	// userTimeout is how long sent bytes may stay unacknowledged until a connection counts as dead.
	userTimeout = 5 * time.Second
)

// ErrNotSent marks errors of requests of which no byte left.
var ErrNotSent = errors.New("the request was not sent")

// HeaderNames are the names of the headers that the backend servers' protocol gives a meaning.
type HeaderNames struct {
	// RequestID is echoed in answers.
	RequestID string
	// Signature is borne by the genuine answers of an instance.
	Signature string
	// NotRun says that the instance did not run the request.
	NotRun string
}

// Request is a request for a backend server.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body, or what was read of it if More has the rest.
	Body []byte
	More io.Reader
	// Chunked says that the body has no announced length.
	Chunked bool
	// Length is the length of the whole body.
	Length int64
}

// Answer is an answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest follows the body of a long answer; it is nil if the answer is whole.
	Rest io.ReadCloser
	// Length is the announced length, -1 if there is none.
	Length int64
	// NotRun says that the instance did not run the request.
	NotRun bool
	// Signed says that the answer bears the instance's signature.
	Signed bool
	// Reused says that the connection had carried other requests.
	Reused bool
}

// Forwarder sends requests.
type Forwarder struct {
	headers HeaderNames
	clock   clockwork.Clock
	pool    *pool
	dialer  net.Dialer
}

// New returns a forwarder; maxIdle bounds the connections that it keeps open.
func New(h HeaderNames, maxIdle int, clock clockwork.Clock) *Forwarder {
	return &Forwarder{
		headers: h, clock: clock, pool: newPool(maxIdle, clock),
		dialer: net.Dialer{Timeout: connectTimeout, Control: setUserTimeout},
	}
}

// Keep closes the kept connections to addresses that are not used any more, and those that rested too long.
func (f *Forwarder) Keep(used func(netip.AddrPort) bool) { f.pool.sweep(used) }

// Stats returns how many connections were opened, and how many are kept.
func (f *Forwarder) Stats() (opened int64, kept int) { return f.pool.stats() }

// Send sends a request and returns the answer. MaxRest is how long the connection may have rested; zero
// takes a new one. The request is canceled at the instance when the context ends.
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
		return nil, errors.Wrap(err, "connect")
	}
	f.pool.opened.Add(1)
	return &conn{Conn: nc, to: to, r: bufio.NewReaderSize(nc, readBuffer), used: 1}, nil
}

// readBuffer is the size of a connection's read buffer, in bytes.
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
		// An instance may answer before it has read the whole body; the connection then ends.
		c.reusable = c.reusable && err == nil
	default:
		c.reusable = false
	}
	return a, nil
}

// directBody is the longest body that is written before the answer is read, in bytes. Longer ones
// might fill the link's window while the instance already answers.
const directBody = 8 << 10

func write(c *conn, r Request) error {
	w := bufio.NewWriterSize(c, 4<<10)
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return errors.Wrap(err, "request")
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
	return errors.Wrap(err, "request")
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
		return errors.Wrap(err, "request")
	}
	if err := cw.Close(); err != nil {
		return errors.Wrap(err, "request")
	}
	_, _ = w.WriteString("\r\n")
	return errors.Wrap(w.Flush(), "request")
}

// read receives the answer of a request, and skips late answers to earlier ones.
func (f *Forwarder) read(c *conn, r Request) (Answer, error) {
	for range maxStrays {
		rep, err := http.ReadResponse(c.r, &http.Request{Method: r.Method}) //nolint:bodyclose // Reading to its end or closing the connection ends it.
		if err != nil {
			return Answer{}, errors.Wrap(err, "answer")
		}
		if rep.StatusCode < http.StatusOK && rep.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := rep.Header.Get(f.headers.RequestID)
		if id != "" && id != r.ID {
			if _, err := io.Copy(io.Discard, rep.Body); err != nil || rep.Close {
				return Answer{}, errors.Newf("the answer belongs to request %q", id)
			}
			continue
		}
		return f.take(c, r, rep, id)
	}
	return Answer{}, errors.New("too many answers belong to other requests")
}

// take reads the body of an answer.
func (f *Forwarder) take(c *conn, r Request, rep *http.Response, id string) (Answer, error) {
	a := Answer{
		Status: rep.StatusCode, Header: rep.Header, Length: rep.ContentLength,
		NotRun: rep.Header.Get(f.headers.NotRun) != "" || rep.StatusCode == http.StatusMisdirectedRequest,
		Signed: rep.Header.Get(f.headers.Signature) != "",
	}
	body, err := io.ReadAll(io.LimitReader(rep.Body, maxWhole+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "answer cut")
	}
	a.Body = body
	if len(body) > maxWhole {
		a.Rest = rep.Body
		return a, nil
	}
	// An answer without an id might be the copy of an earlier one: nothing may follow it.
	c.reusable = !rep.Close && id == r.ID && c.r.Buffered() == 0
	c.allowed = keepAlive(rep.Header.Get("Keep-Alive"))
	return a, nil
}

// keepAlive returns how long an instance keeps an idle connection, zero if it does not say.
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

// rest is the rest of a long answer; closing it ends the connection.
type rest struct {
	io.Reader
	close func()
}

// Close ends the connection.
func (r *rest) Close() error {
	r.close()
	return nil
}
