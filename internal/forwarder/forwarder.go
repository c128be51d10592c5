package forwarder

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// ConnectTimeout bounds the opening of a connection. Links have a latency of 1 ms, and a lost packet is
	// retransmitted only after 1 s; by then another instance has responded.
	ConnectTimeout = 250 * time.Millisecond
	// maxBufferedBody is the longest response body of unknown length that is buffered until it is complete, in bytes, and
	// maxKnownBody the longest of known length; longer ones are streamed. An instance is then read at once, however slowly the
	// caller reads.
	maxBufferedBody = 256 << 10
	maxKnownBody    = 1 << 20
	// smallBody is the length up to which a response body is buffered without a reservation of memory, in bytes.
	smallBody = 8 << 10
	// maxHeadBytes bounds the status line and the headers of a response, in bytes.
	maxHeadBytes = 64 << 10
	// maxResponsesRead bounds the responses that are read for one request. Interim responses and responses to earlier
	// requests are skipped.
	maxResponsesRead = 3
	// maxLoggedID bounds the length of a request ID in a log, in bytes.
	maxLoggedID = 64
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the connection fails (TCP_USER_TIMEOUT).
	tcpUserTimeout = 5 * time.Second
)

// ErrNotSent marks errors of requests that no instance can have run: not even their heads were sent as a whole.
var ErrNotSent = errors.New("the request was not sent")

// HeaderNames are the names of the headers of the backend servers' protocol.
type HeaderNames struct {
	// RequestID carries the id of a request, which responses echo.
	RequestID string
	// Signature is present in genuine responses of an instance.
	Signature string
	// NotRun is present in a response if the instance did not run the request.
	NotRun string
	// Limit carries the requests per second that the instance accepts from all VMs together.
	Limit string
	// Leaving is 1 in the responses of an instance that leaves.
	Leaving string
}

// Request is a request for a backend server.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body, or its beginning if BodyRest has the rest.
	Body     []byte
	BodyRest io.Reader
	// Chunked is set if the length of the body is unknown; it is then sent with chunked transfer encoding.
	Chunked bool
	// Length is the length of the whole body in bytes; it is ignored if Chunked is set.
	Length int64
	// RunsOnce is set if the request may run only once.
	RunsOnce bool
	// Answering is set once the head of the response was read; it may be nil.
	Answering *atomic.Bool
}

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyRest reads what follows Body in a long response, and must be closed; it is nil if Body is complete.
	BodyRest io.ReadCloser
	// Length is the Content-Length in bytes, -1 if there is none.
	Length int64
	// NotRun is set if the instance did not run the request.
	NotRun bool
	// Signed is set if the response has the instance's signature header; the signature is not verified.
	Signed bool
	// Limit is what the response says about the instance's limit.
	Limit Limit
	// Leaving is set if the instance stated that it leaves. It also holds for a response that is returned with an error.
	Leaving bool
	// Pause is how long the instance wants no requests from this VM; zero if it stated none. It also holds for a response that
	// is returned with an error.
	Pause time.Duration
	// Connection is the connection that it came on. It also holds for a response that is returned with an error.
	Connection Connection
	// Skipped are the request IDs of the final responses that came before it and belong to another request or to none, cut to
	// maxLoggedID bytes. It also holds for a response that is returned with an error.
	Skipped []string
	// hold is the memory reserved for Body; nil if there is none.
	hold *hold
}

// Close gives back what the response holds: its connection if BodyRest is set, and memory. It may be called more than once.
func (r Response) Close() error {
	r.hold.release()
	if r.BodyRest == nil {
		return nil
	}
	return r.BodyRest.Close()
}

// Forwarder sends requests and keeps idle connections for reuse.
type Forwarder struct {
	headers HeaderNames
	clock   clockwork.Clock
	pool    *pool
	dialer  net.Dialer
	memory  memory
	// seed is that of the keys of request IDs.
	seed maphash.Seed
}

// New returns a Forwarder. MaxIdle bounds the idle connections that it keeps open, and maxBodyMemory the memory for buffered
// response bodies that are not small, in bytes; beyond it, bodies are streamed.
func New(h HeaderNames, maxIdle int, maxBodyMemory int64, clock clockwork.Clock) *Forwarder {
	return &Forwarder{
		headers: h, clock: clock, pool: newPool(maxIdle, clock), memory: memory{max: maxBodyMemory}, seed: maphash.MakeSeed(),
		dialer: net.Dialer{Timeout: ConnectTimeout, Control: setUserTimeout},
	}
}

// CloseUnused closes idle connections to addresses for which used returns false, and those that were idle for too long.
func (f *Forwarder) CloseUnused(used func(netip.AddrPort) bool) { f.pool.sweep(used) }

// Stats returns how many connections were opened so far, and how many idle ones are kept.
func (f *Forwarder) Stats() (opened int64, idle int) { return f.pool.stats() }

// Send sends a request and returns the response, which must be closed. MaxIdle is how long a kept connection may have
// been idle to be reused; zero opens a new one. If a kept connection turns out to be closed before the head of a request that may
// run only once was complete, the request is sent on a new one. No connection carries two requests with the same ID. When the context
// ends, Send closes the connection, which cancels the request at the instance; the returned error is then also marked with the
// context's error.
func (f *Forwarder) Send(ctx context.Context, addr netip.AddrPort, r Request, maxIdle time.Duration) (Response, error) {
	key := f.requestKey(r.ID)
	c, err := f.connect(ctx, addr, key, r.maxIdle(maxIdle))
	if err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	resp, err := f.sendOn(ctx, c, key, r)
	if errors.Is(err, errDropped) && ctx.Err() == nil {
		if c, err = f.connect(ctx, addr, key, 0); err != nil {
			return Response{}, errors.Mark(err, ErrNotSent)
		}
		return f.sendOn(ctx, c, key, r)
	}
	return resp, err
}

// sendOn sends a request on a connection. It keeps the connection for reuse, or closes it.
func (f *Forwarder) sendOn(ctx context.Context, c *conn, key uint64, r Request) (Response, error) {
	stop := context.AfterFunc(ctx, func() { c.abort(r) })
	connection := c.describe(key)
	c.carried = append(c.carried, key)
	resp, err := f.roundTrip(c, r)
	resp.Connection = connection
	if err != nil {
		resp.hold.release()
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.Mark(err, ctx.Err())
		}
		return Response{Leaving: resp.Leaving, Pause: resp.Pause, Skipped: resp.Skipped, Connection: connection}, err
	}
	if resp.BodyRest != nil {
		resp.BodyRest = &bodyRest{Reader: resp.BodyRest, close: func() { stop(); _ = c.Close() }}
		return resp, nil
	}
	if !stop() || !c.reusable {
		_ = c.Close()
		return resp, nil
	}
	f.pool.put(c)
	return resp, nil
}

// connect returns a connection that has not carried the request with the given key: an extra response names the request that it
// responded to, but not which sending of it.
func (f *Forwarder) connect(ctx context.Context, addr netip.AddrPort, key uint64, maxIdle time.Duration) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if maxIdle > 0 {
		if c := f.pool.get(addr, key, maxIdle); c != nil {
			return c, nil
		}
	}
	began := f.clock.Now()
	nc, err := f.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	f.pool.opened.Add(1)
	checked := CheckEnds(nc)
	in := &boundedReader{r: checked}
	return &conn{Conn: checked, socket: nc.(*net.TCPConn), to: addr, in: in, r: bufio.NewReaderSize(in, readBufferSize), openTime: f.clock.Since(began)}, nil
}

// readBufferSize is the size of the read buffer of a connection, in bytes.
const readBufferSize = 2 << 10

func (f *Forwarder) roundTrip(c *conn, r Request) (Response, error) {
	c.reusable = false
	written := make(chan error, 1)
	switch {
	case c.verifies(r):
		err := writeVerified(c, r)
		if errors.Is(err, errDropped) {
			return Response{}, err
		}
		written <- err
	case r.sequential():
		written <- writeRequest(c, r)
	default:
		go func() { written <- writeRequest(c, r) }()
	}
	resp, err := f.readResponse(c, r)
	if err != nil {
		return resp, err
	}
	select {
	case err := <-written:
		// The instance may respond before it has read the whole body; the connection is then not reused.
		c.reusable = c.reusable && err == nil
	default:
		c.reusable = false
	}
	return resp, nil
}

// abort closes the connection of a request that was canceled. While the instance does not read a long body, the end of the
// connection would wait behind it; a reset does not.
func (c *conn) abort(r Request) {
	if !r.sequential() {
		_ = c.socket.SetLinger(0) // If it fails, the end waits.
	}
	_ = c.Close()
}

// sequential reports whether the request is written before the response is read.
func (r Request) sequential() bool { return r.BodyRest == nil && len(r.Body) <= maxSequentialBody }

// maxSequentialBody is the longest body that is written before the response is read, in bytes. A longer one might block
// on a full send window while the instance already responds, so it is written concurrently.
const maxSequentialBody = 8 << 10

func writeRequest(to io.Writer, r Request) error {
	w := bufio.NewWriterSize(to, 4<<10)
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
	if err == nil && r.BodyRest != nil {
		_, err = io.Copy(w, r.BodyRest)
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
	if err == nil && r.BodyRest != nil {
		_, err = io.Copy(cw, r.BodyRest)
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

// readResponse reads the response to a request and skips interim responses and those that belong to another request or to
// none. That the instance leaves holds also if one of these states it.
func (f *Forwarder) readResponse(c *conn, r Request) (resp Response, err error) {
	leaving, pause, skipped := false, time.Duration(0), []string(nil)
	defer func() { resp.Leaving, resp.Pause, resp.Skipped = leaving, pause, skipped }()
	for range maxResponsesRead {
		c.in.limit(maxHeadBytes)
		httpResp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method}) //nolint:bodyclose // Reading to its end or closing the connection ends it.
		c.in.limit(math.MaxInt64)
		if err != nil {
			return Response{}, errors.Wrap(HideQuotes(err), "answer")
		}
		if err := CheckFieldNames(httpResp.Header); err != nil {
			return Response{}, err
		}
		if Spliced(httpResp) {
			return Response{}, errors.New("the answer begins with a part of another one")
		}
		interim := isInterim(httpResp.StatusCode)
		if err := CheckStatus(httpResp); err != nil && !interim {
			return Response{}, err
		}
		leaving = leaving || f.statesLeaving(httpResp)
		if interim {
			continue
		}
		if id := httpResp.Header.Get(f.headers.RequestID); id != r.ID {
			skipped = append(skipped, id[:min(len(id), maxLoggedID)])
			if id == "" && len(c.carried) == 1 {
				// No earlier request of the connection can have caused it, but nothing binds what it states to this one.
				return Response{}, errors.New("the answer names no request")
			}
			if !skipBody(httpResp) {
				return Response{}, errors.Newf("the answer belongs to request %q", id)
			}
			continue
		}
		if httpResp.StatusCode == http.StatusServiceUnavailable {
			pause = parseRetryAfter(httpResp.Header.Get("Retry-After"))
		}
		if r.Answering != nil {
			r.Answering.Store(true)
		}
		return f.readBody(c, httpResp)
	}
	return Response{}, errors.New("too many answers belong to other requests")
}

// statesLeaving reports whether the head of a response states that the instance leaves. Another instance at its address
// refuses the request as misdirected; what that states is not of the instance.
func (f *Forwarder) statesLeaving(httpResp *http.Response) bool {
	return httpResp.StatusCode != http.StatusMisdirectedRequest && httpResp.Header.Get(f.headers.Leaving) == "1"
}

// statesNotRun reports whether a response states that the instance did not run the request. Any other status says that it
// may have, whatever the header.
func (f *Forwarder) statesNotRun(httpResp *http.Response) bool {
	switch httpResp.StatusCode {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusBadRequest, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return httpResp.Header.Get(f.headers.NotRun) != ""
	}
	return false
}

// skipBody reads the body of a response to another request, and reports whether another response may follow.
func skipBody(httpResp *http.Response) bool {
	if httpResp.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxBufferedBody+1))
	return err == nil && n <= maxBufferedBody
}

// readBody reads the body of a response, or its beginning if it exceeds maxBufferedBody or the memory for it. It does not
// return a body of that length unless the instance signed it as an answer: it may have no end.
func (f *Forwarder) readBody(c *conn, httpResp *http.Response) (Response, error) {
	resp := Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, Length: httpResp.ContentLength,
		NotRun: f.statesNotRun(httpResp),
		Signed: httpResp.Header.Get(f.headers.Signature) != "",
		Limit:  parseLimit(httpResp.Header.Get(f.headers.Limit)),
	}
	limit := smallBody
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, smallBody+1))
	if err == nil && len(body) > smallBody {
		if resp.hold = f.memory.reserve(bufferedLength(httpResp)); resp.hold != nil {
			limit = int(resp.hold.bytes)
			body, err = readOn(httpResp, body, limit)
		}
	}
	if err != nil {
		return Response{hold: resp.hold}, errors.Wrap(HideQuotes(err), "answer cut")
	}
	resp.Body = body
	if len(body) > limit {
		switch {
		case resp.NotRun:
			return resp, nil
		case !resp.Signed || resp.Status >= http.StatusInternalServerError:
			return Response{hold: resp.hold}, errors.Newf("answer with status %d is longer than %d bytes", resp.Status, limit)
		}
		resp.BodyRest = httpResp.Body
		return resp, nil
	}
	c.reusable = !httpResp.Close && c.r.Buffered() == 0
	c.keepAlive = keepAliveTimeout(httpResp.Header.Get("Keep-Alive"))
	return resp, nil
}

// readOn reads on after the beginning of a body: up to its end, or one byte more than limit.
func readOn(httpResp *http.Response, begin []byte, limit int) ([]byte, error) {
	if httpResp.ContentLength != int64(limit) {
		more, err := io.ReadAll(io.LimitReader(httpResp.Body, int64(limit+1-len(begin))))
		return append(begin, more...), err
	}
	body := make([]byte, limit)
	n := copy(body, begin)
	_, err := io.ReadFull(httpResp.Body, body[n:])
	return body, err
}

// keepAliveTimeout returns the timeout in a Keep-Alive header, zero if it has none.
func keepAliveTimeout(h string) time.Duration {
	for p := range strings.SplitSeq(h, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// bodyRest reads the rest of a long response; closing it closes the connection.
type bodyRest struct {
	io.Reader
	close func()
}

// Close closes the connection.
func (r *bodyRest) Close() error {
	r.close()
	return nil
}
