package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one request that an instance executed.
type Request struct {
	ID, Method, Target, Account, Key, Deadline, Body string
}

// Behavior responds on the connection c to a request whose header and body have been read.
type Behavior func(c net.Conn, r *http.Request, i *Instance)

// Instance emulates one instance of a service. Its methods may be called concurrently.
type Instance struct {
	ID string
	// Body is the body of its answers. It must not change once the instance is in use.
	Body     string
	listener net.Listener

	mu       sync.Mutex
	behavior Behavior
	runs     []Request
	rejected int
	// limit is the limit that its responses state, in requests per second; zero if none.
	limit float64
	// leaving is set if its responses state that it leaves.
	leaving bool
	// copies decides for each refusal whether a copy of it is sent; nil sends none.
	copies func() bool
	// closes decides for each response whether the connection is closed after it; nil closes none.
	closes func() bool
	// early decides for each request with a body whether it is handled before its body is read; nil handles none so.
	early func() bool
	// observeBody is called with the body of each request, or the part of it that came; nil for none.
	observeBody func(r *http.Request, body []byte, whole bool)
	// observeMisdirected is called with each request that names another instance; nil for none.
	observeMisdirected func(r *http.Request)
	// idleTimeout is how long a connection may be idle; zero if for ever.
	idleTimeout time.Duration
}

// instanceConn is a connection to an instance.
type instanceConn struct {
	*net.TCPConn
	// refusals are the refusals to copy, by the ID of the refused request, and lastRefused is the ID of the last one.
	refusals    map[string][]byte
	lastRefused string
}

// NewInstance starts an instance that listens on a free port of 127.0.0.1 and answers every request with 200.
// The caller closes it.
func NewInstance(id string) (*Instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for instance")
	}
	i := &Instance{ID: id, Body: "from " + id, listener: l, behavior: Answer}
	go i.serve()
	return i, nil
}

// Address returns the address on which the instance listens.
func (i *Instance) Address() netip.AddrPort {
	return netip.MustParseAddrPort(i.listener.Addr().String())
}

// Close stops accepting connections; open connections are served until the client closes them.
func (i *Instance) Close() { _ = i.listener.Close() }

// SetBehavior sets the behavior for all requests read from now on.
func (i *Instance) SetBehavior(b Behavior) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.behavior = b
}

// SetLimit sets the limit that all responses state from now on, in requests per second; zero states none.
func (i *Instance) SetLimit(rate float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = rate
}

// SetLeaving sets whether all responses state from now on that the instance leaves.
func (i *Instance) SetLeaving(leaving bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = leaving
}

// SetCopies sets a function that decides for each refusal whether the instance writes it once more on its connection: before its
// response to the same request, if that is sent again, or else to the next one.
func (i *Instance) SetCopies(copies func() bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.copies = copies
}

// SetCloses sets a function that decides for each response whether it announces that its connection is closed, which then happens.
func (i *Instance) SetCloses(closes func() bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closes = closes
}

// SetEarly sets a function that decides for each request with a body whether the instance responds before it reads the body.
func (i *Instance) SetEarly(early func() bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.early = early
}

// SetBodyObserver sets a function that is called with the body of each request, or the part of it that came.
func (i *Instance) SetBodyObserver(observe func(r *http.Request, body []byte, whole bool)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observeBody = observe
}

// SetMisdirectedObserver sets a function that is called with each request that is refused because it names another instance.
func (i *Instance) SetMisdirectedObserver(observe func(r *http.Request)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observeMisdirected = observe
}

// respondsEarly reports whether the instance responds to a request before it reads the body.
func (i *Instance) respondsEarly(r *http.Request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return r.ContentLength != 0 && i.early != nil && i.early()
}

// readBody reads the body of a request, and reports whether it came whole.
func (i *Instance) readBody(r *http.Request) (body []byte, whole bool) {
	body, err := io.ReadAll(r.Body)
	i.mu.Lock()
	observe := i.observeBody
	i.mu.Unlock()
	if observe != nil {
		observe(r, body, err == nil)
	}
	return body, err == nil
}

// SetIdleTimeout sets how long connections may be idle before the instance closes them; zero is for ever. Responses state it in
// whole seconds, if there are any.
func (i *Instance) SetIdleTimeout(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.idleTimeout = d
}

// awaitRequest bounds the wait for the next request on a connection.
func (i *Instance) awaitRequest(c net.Conn, r *bufio.Reader) error {
	i.mu.Lock()
	d := i.idleTimeout
	i.mu.Unlock()
	if d > 0 {
		_ = c.SetReadDeadline(time.Now().Add(d)) // The read below fails if this does.
		defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	}
	_, err := r.Peek(1)
	return err
}

// closeLine is the header line that announces the end of a connection.
const closeLine = "Connection: close\r\n"

// statements returns the header lines of what the instance states of itself.
func (i *Instance) statements() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	lines := ""
	if i.limit > 0 {
		lines = fmt.Sprintf("Server-Limit: %g\r\n", i.limit)
	}
	if i.leaving {
		lines += "Server-Leaving: 1\r\n"
	}
	if i.leaving || i.closes != nil && i.closes() {
		lines += closeLine
	}
	if s := i.idleTimeout / time.Second; s > 0 {
		lines += fmt.Sprintf("Keep-Alive: timeout=%d\r\n", s)
	}
	return lines
}

// ExecutedRequests returns a copy of the list of executed requests, in the order in which they were read.
func (i *Instance) ExecutedRequests() []Request {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Request(nil), i.runs...)
}

func (i *Instance) serve() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		if t, ok := c.(*net.TCPConn); ok {
			go i.serveConn(&instanceConn{TCPConn: t, refusals: map[string][]byte{}})
		}
	}
}

func (i *Instance) serveConn(c *instanceConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if i.awaitRequest(c, r) != nil {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		req = req.WithContext(context.WithValue(req.Context(), headKey{}, time.Now()))
		var body []byte
		early, whole := i.respondsEarly(req), true
		if !early {
			body, whole = i.readBody(req)
		}
		if !whole {
			return
		}
		i.serveRequest(c, req, string(body))
		if early {
			_, whole = i.readBody(req)
		}
		if !whole {
			return
		}
	}
}

// headKey is the key of the time at which the head of a request was read in its context.
type headKey struct{}

// HeadReadAt returns when an instance had read the head of a request, from which the time limit in it counts.
func HeadReadAt(r *http.Request) time.Time {
	at, _ := r.Context().Value(headKey{}).(time.Time)
	return at
}

// serveRequest responds to a request.
func (i *Instance) serveRequest(c *instanceConn, req *http.Request, body string) {
	id := req.Header.Get("Request-Id")
	c.writeCopy(id)
	i.mu.Lock()
	b, observe := i.behavior, i.observeMisdirected
	i.mu.Unlock()
	if e := req.Header.Get("Expected-Instance"); e != "" && e != i.ID {
		if observe != nil {
			observe(req)
		}
		writeRefusal(c, i, id, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, i.ID))
		return
	}
	i.mu.Lock()
	i.runs = append(i.runs, Request{
		ID: id, Method: req.Method, Target: req.RequestURI, Account: req.Header.Get("Tenant"),
		Key: req.Header.Get("X-Api-Key"), Deadline: req.Header.Get("Deadline-Ms"), Body: body,
	})
	i.mu.Unlock()
	b(c, req, i)
}

// writeCopy writes the copy of a refusal before the response to a request: that of the same request, or else the last one.
func (c *instanceConn) writeCopy(id string) {
	copied, ok := c.refusals[id]
	if !ok {
		copied = c.refusals[c.lastRefused]
	}
	_, _ = c.Write(copied)
	c.lastRefused = ""
}

// writeRefusal writes a refusal of a request, and keeps it if a copy of it is to be sent.
func writeRefusal(c net.Conn, i *Instance, id, refusal string) {
	i.mu.Lock()
	copies := i.copies
	i.mu.Unlock()
	if ic, ok := c.(*instanceConn); ok && copies != nil && copies() {
		ic.refusals[id], ic.lastRefused = []byte(refusal), id
	}
	writeLast(c, refusal)
}

// writeLast writes a response, and closes the connection if the response announces that.
func writeLast(c net.Conn, response string) {
	_, _ = io.WriteString(c, response)
	if head, _, _ := strings.Cut(response, "\r\n\r\n"); strings.Contains(head, closeLine) {
		_ = c.Close()
	}
}

// Rejected returns how many requests the instance rejected.
func (i *Instance) Rejected() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rejected
}

// rejectLast removes the last request from the executed ones and counts it as rejected.
func (i *Instance) rejectLast() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.runs = i.runs[:len(i.runs)-1]
	i.rejected++
}

// Write sends a response with a server signature for the request with this ID.
func Write(c net.Conn, id string, status int, body string) {
	writeLast(c, responseHead(id, status, "", body)+body)
}

// responseHead returns the head of a response with further header lines.
func responseHead(id string, status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Signature: sig-%s\r\n%sContent-Length: %d\r\n\r\n", status, id, id, header, len(body))
}

// respond responds to a request; the response to HEAD has no body.
func respond(c net.Conn, r *http.Request, i *Instance, status int, body string) {
	response := responseHead(r.Header.Get("Request-Id"), status, i.statements(), body)
	if r.Method != http.MethodHead {
		response += body
	}
	writeLast(c, response)
}

// Answer responds with 200 and the instance's body, which by default names its ID.
func Answer(c net.Conn, r *http.Request, i *Instance) {
	respond(c, r, i, http.StatusOK, i.Body)
}

// Fail executes the request and responds with a signed 500, an error of the instance itself.
func Fail(c net.Conn, r *http.Request, i *Instance) {
	respond(c, r, i, http.StatusInternalServerError, "failed")
}

// Shed rejects the request with 503 and does not execute it.
func Shed(c net.Conn, r *http.Request, i *Instance) { Refuse(http.StatusServiceUnavailable)(c, r, i) }

// Refuse returns a behavior that rejects the request with a status and does not execute it.
func Refuse(status int) Behavior {
	return func(c net.Conn, r *http.Request, i *Instance) {
		i.rejectLast()
		id := r.Header.Get("Request-Id")
		writeRefusal(c, i, id, refusal(status, "Request-Id: "+id+"\r\n"+i.statements()))
	}
}

// refusal returns a refusal with further header lines.
func refusal(status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), header)
}

// StrayRefusal returns a behavior that first writes a refusal that names no request and then behaves as b.
func StrayRefusal(status int, b Behavior) Behavior {
	return func(c net.Conn, r *http.Request, i *Instance) {
		_, _ = io.WriteString(c, refusal(status, ""))
		b(c, r, i)
	}
}

// Reset executes the request and resets the TCP connection instead of responding.
func Reset(c net.Conn, _ *http.Request, _ *Instance) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Hang executes the request and never responds; it closes the connection when the client sends more or closes it.
func Hang(c net.Conn, _ *http.Request, _ *Instance) {
	_, _ = c.Read(make([]byte, 1))
	_ = c.Close()
}

// Truncate executes the request and closes the connection in the middle of the response body.
func Truncate(c net.Conn, r *http.Request, _ *Instance) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Request-Id"))
	_ = c.Close()
}

// ResetPart executes the request, sends a part of its answer without a length, and resets the connection.
func ResetPart(c net.Conn, r *http.Request, i *Instance) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\n\r\n%s", r.Header.Get("Request-Id"), i.Body[:len(i.Body)/2])
	Reset(c, r, i)
}

// CutHead returns a behavior that executes the request, and closes the connection after a part of the head of its response
// whose length the function picks.
func CutHead(pick func(n int) int) Behavior {
	return func(c net.Conn, r *http.Request, _ *Instance) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: 4\r\n\r\n", r.Header.Get("Request-Id"))
		_, _ = io.WriteString(c, head[:pick(len(head))])
		_ = c.Close()
	}
}

// WithStatus returns a behavior that executes the request and responds with a status, which may be none that a response can have,
// and a body that looks like another response to the request.
func WithStatus(status string) Behavior {
	return func(c net.Conn, r *http.Request, _ *Instance) {
		id := r.Header.Get("Request-Id")
		body := responseHead(id, http.StatusOK, "", "inner") + "inner"
		writeLast(c, strings.Replace(responseHead(id, http.StatusOK, "", body), "200 X", status+" X", 1)+body)
	}
}

// WithField returns a behavior that executes the request and responds with a further line in the head and a body that is no answer.
func WithField(line string) Behavior {
	return func(c net.Conn, r *http.Request, _ *Instance) {
		const body = "inner"
		writeLast(c, responseHead(r.Header.Get("Request-Id"), http.StatusOK, line+"\r\n", body)+body)
	}
}

// AnswerTwice sends the response and then a duplicate of it on the same connection.
func AnswerTwice(c net.Conn, r *http.Request, i *Instance) {
	Answer(c, r, i)
	Answer(c, r, i)
}

// Late returns a behavior that responds and, after a delay, writes the same response once more on the connection, which may
// carry another request by then. Answers and refusals name the request that they belong to.
func Late(b Behavior, delay time.Duration) Behavior {
	return LatePart(b, delay, func(n int) int { return n })
}

// LatePart is Late with only the beginning of the copy, whose length the function picks.
func LatePart(b Behavior, delay time.Duration, pick func(n int) int) Behavior {
	return func(c net.Conn, r *http.Request, i *Instance) {
		k := &copiedConn{Conn: c}
		b(k, r, i)
		time.AfterFunc(delay, func() { _, _ = c.Write(k.written[:pick(len(k.written))]) })
	}
}

// copiedConn keeps a copy of what is written to it.
type copiedConn struct {
	net.Conn
	written []byte
}

func (c *copiedConn) Write(b []byte) (int, error) {
	c.written = append(c.written, b...)
	return c.Conn.Write(b)
}

// Pause returns a behavior that rejects the request with 503 and asks for no requests for the given time.
func Pause(d time.Duration) Behavior {
	return func(c net.Conn, r *http.Request, i *Instance) {
		i.rejectLast()
		id := r.Header.Get("Request-Id")
		writeRefusal(c, i, id, refusal(http.StatusServiceUnavailable, fmt.Sprintf("Request-Id: %s\r\nRetry-After: %g\r\n", id, d.Seconds())))
	}
}

// Endless returns a behavior that executes the request, sends a start that may name the request's ID as %s, and then
// repeats a piece until the client closes the connection.
func Endless(start, piece string) Behavior {
	b := []byte(strings.Repeat(piece, 1+(4<<10)/len(piece)))
	return func(c net.Conn, r *http.Request, _ *Instance) {
		_, err := io.WriteString(c, strings.ReplaceAll(start, "%s", r.Header.Get("Request-Id")))
		for err == nil {
			_, err = c.Write(b)
		}
	}
}
