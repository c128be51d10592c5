package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
)

// exchange is the state of one request of a caller.
type exchange struct {
	*Server
	echo echo.Context
	id   string
	// apiKey is the API key, or empty if the request has none.
	apiKey    string
	body      []byte
	match     merger.Match
	account   merger.Account
	startedAt time.Time
	// deadline is when the route's timeout, or the caller's if that is shorter, expires.
	deadline time.Time
}

// refusal is the error for a request that is refused before it is sent to a dispatcher.
type refusal struct {
	reason dispatcher.Reason
	status int
	detail string
}

func (r *refusal) Error() string { return r.detail }

func newRefusal(reason dispatcher.Reason, status int, detail string) error {
	return &refusal{reason, status, detail}
}

var errNoContact = newRefusal(dispatcher.ReasonNoContact, http.StatusServiceUnavailable,
	"this VM is cut off from its fleet; use another address")

func newRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // Read never returns an error.
	return hex.EncodeToString(b[:])
}

func (s *Server) serve(e echo.Context) error {
	x := &exchange{Server: s, echo: e, id: newRequestID(), startedAt: s.Clock.Now()}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return x.respond(x.refusalAnswer(
			newRefusal(dispatcher.ReasonOverload, http.StatusServiceUnavailable, "too many requests in flight")))
	}
	ctx, cancel := context.WithCancel(e.Request().Context())
	defer cancel()
	return x.respond(x.run(ctx))
}

// run checks the request, sends it and returns the answer. The context must stay valid until the answer's Rest, if any,
// has been read.
func (x *exchange) run(ctx context.Context) dispatcher.Answer {
	steps := []func() error{x.extractAPIKey, x.findRoute, x.authorize, x.checkStop, x.readBody, x.checkStop, x.checkKeyLeak, x.authorize, x.admit, x.checkStop}
	for _, step := range steps {
		if err := step(); err != nil {
			return x.refusalAnswer(err)
		}
	}
	// The VM may have lost contact, or the key may have been revoked, while admit waited.
	if err := x.authorize(); err != nil {
		return x.refusalAnswer(err)
	}
	if key := x.echo.Request().Header.Get(HeaderIdempotencyKey); key != "" && !x.match.Route.Idempotent {
		return x.sendWithIdempotencyKey(ctx, key)
	}
	return x.send(ctx)
}

// extractAPIKey removes the API key from the request's headers and stores it in x.apiKey.
func (x *exchange) extractAPIKey() error {
	h := x.echo.Request().Header
	x.apiKey = h.Get(HeaderKey)
	h.Del(HeaderKey)
	if a := h.Get("Authorization"); len(a) > len("Bearer ") && strings.EqualFold(a[:len("Bearer ")], "Bearer ") {
		if x.apiKey == "" {
			x.apiKey = strings.TrimSpace(a[len("Bearer "):])
		}
		h.Del("Authorization")
	}
	return nil
}

func (x *exchange) findRoute() error {
	r := x.echo.Request()
	if strings.Contains(r.URL.Path, "/../") || strings.HasSuffix(r.URL.Path, "/..") {
		return newRefusal(dispatcher.ReasonBadRequest, http.StatusBadRequest, "the path leaves its route")
	}
	m, ok := x.Index().Match(r.Method, r.URL.Path)
	if !ok && !x.Fleet.InContact() {
		// The route may be in a newer configuration that this VM has not read.
		return errNoContact
	}
	if !ok {
		return newRefusal(dispatcher.ReasonNoRoute, http.StatusNotFound, "no route matches the path and method")
	}
	x.match = m
	x.deadline = x.startedAt.Add(x.timeout())
	return nil
}

// checkStop checks that the request can end before this VM stops. It runs again after each step that may wait.
func (x *exchange) checkStop() error {
	if at := x.Fleet.StopsAt(); !at.IsZero() && x.deadline.After(at) {
		return newRefusal(dispatcher.ReasonStopping, http.StatusServiceUnavailable, "this VM stops before the request's deadline; use another address")
	}
	return nil
}

// authorize checks that this VM may act on its configuration and that the API key is valid, and sets the account. It
// runs again after each step that may wait, because both may have changed meanwhile.
func (x *exchange) authorize() error {
	if x.match.Route.Open {
		return nil
	}
	if !x.Fleet.InContact() {
		return errNoContact
	}
	if x.apiKey == "" {
		return newRefusal(dispatcher.ReasonKey, http.StatusUnauthorized, "the route needs a key")
	}
	a, ok := x.Index().Account(x.match.Team, x.apiKey)
	if !ok {
		return newRefusal(dispatcher.ReasonKey, http.StatusForbidden, "the key is not known or was withdrawn")
	}
	x.Asserter.Check(x.account.Name == "" || x.account.Name == a.Name, asserter.RuleKey,
		"request %s changed from account %s to %s", x.id, x.account.Name, a.Name)
	x.account = a
	return nil
}

func (x *exchange) readBody() error {
	r := x.echo.Request()
	if r.ContentLength > x.Limits.MaxBody {
		return newRefusal(dispatcher.ReasonBadRequest, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	rc := http.NewResponseController(x.echo.Response().Writer)
	_ = rc.SetReadDeadline(time.Now().Add(x.Limits.BodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, x.Limits.MaxBody+1))
	switch {
	case err != nil:
		return newRefusal(dispatcher.ReasonBadRequest, http.StatusBadRequest, "the body could not be read whole")
	case int64(len(body)) > x.Limits.MaxBody:
		return newRefusal(dispatcher.ReasonBadRequest, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	_ = rc.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

// checkKeyLeak refuses a request that contains its API key anywhere but in the headers for it, because the key must
// not reach a backend server.
func (x *exchange) checkKeyLeak() error {
	if x.apiKey == "" {
		return nil
	}
	r := x.echo.Request()
	leaks := strings.Contains(r.RequestURI, x.apiKey) || bytes.Contains(x.body, []byte(x.apiKey))
	for _, vs := range r.Header {
		for _, v := range vs {
			leaks = leaks || strings.Contains(v, x.apiKey)
		}
	}
	if leaks {
		return newRefusal(dispatcher.ReasonBadRequest, http.StatusBadRequest,
			"the key stands outside of its header")
	}
	return nil
}

func (x *exchange) admit() error {
	if x.match.Route.Open {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.echo.Request().Context(), x.deadline)
	defer cancel()
	switch err := x.Admitter.Admit(ctx, x.account); {
	case errors.Is(err, limiter.ErrOverRate):
		return newRefusal(dispatcher.ReasonOverRate, http.StatusTooManyRequests, "the client account is over its rate")
	case errors.Is(err, limiter.ErrNoOwner):
		return newRefusal(dispatcher.ReasonNoOwner, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		return newRefusal(dispatcher.ReasonTimeout, http.StatusGatewayTimeout,
			"no token came in time")
	}
	return nil
}

// timeout returns the route's timeout, or the caller's if that is shorter.
func (x *exchange) timeout() time.Duration {
	t := x.match.Route.Timeout
	ms, err := strconv.ParseInt(x.echo.Request().Header.Get(HeaderTimeout), 10, 32)
	if err == nil && ms > 0 {
		t = min(t, time.Duration(ms)*time.Millisecond)
	}
	return t
}

// sendWithIdempotencyKey sends a request with an idempotency key if no other attempt with the key has been recorded,
// and records the result. Otherwise it returns what is known about the other attempt.
func (x *exchange) sendWithIdempotencyKey(ctx context.Context, key string) dispatcher.Answer {
	if len(key) > maxIdempotencyKeyBytes {
		return x.refusalAnswer(
			newRefusal(dispatcher.ReasonBadRequest, http.StatusBadRequest, "the idempotency key is too long"))
	}
	r := x.echo.Request()
	n, _ := strconv.Atoi(r.Header.Get(HeaderAttempt))
	at := recorder.Attempt{Account: x.account.Name, Key: key, ID: x.id, Fingerprint: x.fingerprint(), Retry: n > 1}
	v, res := x.Recorder.Begin(ctx, at)
	if v != recorder.VerdictNew {
		return verdictAnswer(v, res)
	}
	a := x.send(ctx)
	x.Recorder.Finish(at, a.Outcome == dispatcher.OutcomeNotRun, resultOf(a))
	return a
}

// weight returns the weight of the client account under overload. All callers of open routes count as one account.
func (x *exchange) weight() float64 {
	if x.account.Name == "" {
		return openRouteWeight
	}
	return x.account.Limit.Rate
}

// fingerprint returns a hash of the method, the URI and the body. It detects an idempotency key that is reused for
// another request.
func (x *exchange) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(x.echo.Request().Method + "\n" + x.echo.Request().RequestURI + "\n")
	_, _ = h.Write(x.body)
	return h.Sum64()
}

// resultOf returns the result to record for an answer. It is Known only if the answer has a complete response in
// memory.
func resultOf(a dispatcher.Answer) recorder.Result {
	if a.Outcome != dispatcher.OutcomeAnswered || a.Rest != nil {
		return recorder.Result{}
	}
	return recorder.Result{Known: true, Status: a.Status, Header: a.Header, Body: a.Body}
}

// verdictAnswer returns the answer to an attempt that must not run, because of an earlier attempt or because it could
// not be recorded.
func verdictAnswer(v recorder.Verdict, res recorder.Result) dispatcher.Answer {
	switch {
	case v == recorder.VerdictDone && res.Known:
		return dispatcher.Answer{Outcome: dispatcher.OutcomeAnswered, Status: res.Status, Header: res.Header, Body: res.Body}
	case v == recorder.VerdictBusy:
		return dispatcher.Answer{
			Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonRecords, Status: http.StatusServiceUnavailable,
			Detail: "the idempotency key cannot be recorded now",
		}
	case v == recorder.VerdictMismatch:
		return dispatcher.Answer{
			Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonBadRequest, Status: http.StatusUnprocessableEntity,
			Detail: "the idempotency key was used for another request",
		}
	}
	return dispatcher.Answer{
		Outcome: dispatcher.OutcomeUnknown, Reason: dispatcher.ReasonRepeated, Status: http.StatusConflict,
		Detail: "an earlier attempt ran or may have run: " + v.String(),
	}
}

// hopHeaders are the hop-by-hop headers, which apply to a single connection.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedHeaders are the headers that only this system sets. They are removed from callers' requests and backend
// servers' responses.
var reservedHeaders = []string{
	dispatcher.HeaderRequestID, dispatcher.HeaderDeadline, dispatcher.HeaderState, dispatcher.HeaderAccount,
	HeaderOutcome, HeaderReason,
}

// stripHeaders removes the hop-by-hop headers, including those that Connection lists, and the reserved headers.
func stripHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
	for _, n := range reservedHeaders {
		h.Del(n)
	}
}

// send forwards the request to a dispatcher.
func (x *exchange) send(ctx context.Context) dispatcher.Answer {
	r := x.echo.Request()
	h := r.Header
	stripHeaders(h)
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.Add("X-Forwarded-For", ip)
	}
	h.Del("Content-Length")
	return x.Sender.Send(ctx, x.match, dispatcher.Request{
		ID: x.id, Service: x.match.ServiceName(), Account: x.account.Name, Weight: x.weight(), Route: x.match.RouteName(),
		Method: r.Method, Target: r.URL.RequestURI(), Header: h, Body: x.body, Deadline: x.deadline,
		Idempotent: x.match.Route.Idempotent,
	})
}
