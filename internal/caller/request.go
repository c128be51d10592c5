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

// exchange is one request of a caller on its way through.
type exchange struct {
	*Caller
	echo    echo.Context
	id      string
	key     string
	body    []byte
	match   merger.Match
	account merger.Account
	began   time.Time
	// deadline is when the caller, or the route, gives up.
	deadline time.Time
}

// refusal is an error that ends a request before it is sent to a dispatcher.
type refusal struct {
	reason dispatcher.Reason
	status int
	detail string
}

func (r *refusal) Error() string { return r.detail }

func refuse(reason dispatcher.Reason, status int, detail string) error {
	return &refusal{reason, status, detail}
}

var errNoContact = refuse(dispatcher.ReasonNoContact, http.StatusServiceUnavailable,
	"this VM is cut off from its fleet; use another address")

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}

func (c *Caller) serve(e echo.Context) error {
	x := &exchange{Caller: c, echo: e, id: newID(), began: c.Clock.Now()}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return x.end(x.turnAway(refuse(dispatcher.ReasonOverload, http.StatusServiceUnavailable, "too many requests in flight")))
	}
	ctx, cancel := context.WithCancel(e.Request().Context())
	defer cancel()
	return x.end(x.run(ctx))
}

// run takes the request through all steps and returns its answer, of which a part may
// still have to be read while the context lasts.
func (x *exchange) run(ctx context.Context) dispatcher.Answer {
	steps := []func() error{x.readKey, x.findRoute, x.authorize, x.readBody, x.checkLeak, x.authorize, x.admit}
	for _, step := range steps {
		if err := step(); err != nil {
			return x.turnAway(err)
		}
	}
	// What the admission waited may have made the contact or the key stale.
	if err := x.authorize(); err != nil {
		return x.turnAway(err)
	}
	if name := x.echo.Request().Header.Get(HeaderIdempotencyKey); name != "" && !x.match.Route.Idempotent {
		return x.onceOnly(ctx, name)
	}
	return x.send(ctx)
}

// readKey takes the key out of the request's headers.
func (x *exchange) readKey() error {
	h := x.echo.Request().Header
	x.key = h.Get(HeaderKey)
	h.Del(HeaderKey)
	if a := h.Get("Authorization"); len(a) > len("Bearer ") && strings.EqualFold(a[:len("Bearer ")], "Bearer ") {
		if x.key == "" {
			x.key = strings.TrimSpace(a[len("Bearer "):])
		}
		h.Del("Authorization")
	}
	return nil
}

func (x *exchange) findRoute() error {
	r := x.echo.Request()
	if strings.Contains(r.URL.Path, "/../") || strings.HasSuffix(r.URL.Path, "/..") {
		return refuse(dispatcher.ReasonBadRequest, http.StatusBadRequest, "the path leaves its route")
	}
	m, ok := x.Index().Match(r.Method, r.URL.Path)
	if !ok && !x.Fleet.InContact() {
		// The route may be one that this VM has not read yet.
		return errNoContact
	}
	if !ok {
		return refuse(dispatcher.ReasonNoRoute, http.StatusNotFound, "no route matches the path and method")
	}
	x.match = m
	x.deadline = x.began.Add(x.timeout())
	return nil
}

// authorize checks that the configuration at hand may be acted on and that the key is in
// force. It runs again after each wait.
func (x *exchange) authorize() error {
	if x.match.Route.Open {
		return nil
	}
	if !x.Fleet.InContact() {
		return errNoContact
	}
	if x.key == "" {
		return refuse(dispatcher.ReasonKey, http.StatusUnauthorized, "the route needs a key")
	}
	a, ok := x.Index().Account(x.match.Team, x.key)
	if !ok {
		return refuse(dispatcher.ReasonKey, http.StatusForbidden, "the key is not known or was withdrawn")
	}
	x.Asserter.Check(x.account.Name == "" || x.account.Name == a.Name, asserter.RuleKey,
		"request %s changes from account %s to %s", x.id, x.account.Name, a.Name)
	x.account = a
	return nil
}

func (x *exchange) readBody() error {
	r := x.echo.Request()
	if r.ContentLength > x.Limits.MaxBody {
		return refuse(dispatcher.ReasonBadRequest, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	rc := http.NewResponseController(x.echo.Response().Writer)
	_ = rc.SetReadDeadline(time.Now().Add(x.Limits.BodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, x.Limits.MaxBody+1))
	switch {
	case err != nil:
		return refuse(dispatcher.ReasonBadRequest, http.StatusBadRequest, "the body could not be read whole")
	case int64(len(body)) > x.Limits.MaxBody:
		return refuse(dispatcher.ReasonBadRequest, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	_ = rc.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

// checkLeak refuses a request that carries its key outside of the headers for it, since
// the key must not reach a backend server.
func (x *exchange) checkLeak() error {
	if x.key == "" {
		return nil
	}
	r := x.echo.Request()
	leaks := strings.Contains(r.RequestURI, x.key) || bytes.Contains(x.body, []byte(x.key))
	for _, vs := range r.Header {
		for _, v := range vs {
			leaks = leaks || strings.Contains(v, x.key)
		}
	}
	if leaks {
		return refuse(dispatcher.ReasonBadRequest, http.StatusBadRequest, "the key stands outside of its header")
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
		return refuse(dispatcher.ReasonOverRate, http.StatusTooManyRequests, "the client account is over its rate")
	case errors.Is(err, limiter.ErrNoOwner):
		return refuse(dispatcher.ReasonNoOwner, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		return refuse(dispatcher.ReasonTimeout, http.StatusGatewayTimeout, "no token came in time")
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

// onceOnly runs a request with an idempotency key unless another attempt did.
func (x *exchange) onceOnly(ctx context.Context, name string) dispatcher.Answer {
	if len(name) > maxIdempotencyKey {
		return x.turnAway(refuse(dispatcher.ReasonBadRequest, http.StatusBadRequest, "the idempotency key is too long"))
	}
	r := x.echo.Request()
	n, _ := strconv.Atoi(r.Header.Get(HeaderAttempt))
	at := recorder.Attempt{Account: x.account.Name, Key: name, ID: x.id, Fingerprint: x.fingerprint(), Retry: n > 1}
	v, res := x.Keeper.Begin(ctx, at)
	if v != recorder.VerdictNew {
		return earlier(v, res)
	}
	a := x.send(ctx)
	x.Keeper.Finish(at, a.Outcome == dispatcher.OutcomeNotRun, resultOf(a))
	return a
}

// weight returns the account's part of the service; callers of open routes share one.
func (x *exchange) weight() float64 {
	if x.account.Name == "" {
		return openWeight
	}
	return x.account.Limit.Rate
}

func (x *exchange) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(x.echo.Request().Method + "\n" + x.echo.Request().RequestURI + "\n")
	_, _ = h.Write(x.body)
	return h.Sum64()
}

func resultOf(a dispatcher.Answer) recorder.Result {
	if a.Outcome != dispatcher.OutcomeAnswered || a.Rest != nil {
		return recorder.Result{}
	}
	return recorder.Result{Known: true, Status: a.Status, Header: a.Header, Body: a.Body}
}

// earlier returns the answer to an attempt that is not the first, or that could not be recorded.
func earlier(v recorder.Verdict, res recorder.Result) dispatcher.Answer {
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

// hopHeaders are meant for one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set by the system alone.
var ownHeaders = []string{
	dispatcher.HeaderRequestID, dispatcher.HeaderDeadline, dispatcher.HeaderState, dispatcher.HeaderAccount,
	HeaderOutcome, HeaderReason,
}

func clean(h http.Header) {
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
	for _, n := range ownHeaders {
		h.Del(n)
	}
}

func (x *exchange) send(ctx context.Context) dispatcher.Answer {
	r := x.echo.Request()
	h := r.Header
	clean(h)
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
