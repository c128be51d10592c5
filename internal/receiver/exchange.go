package receiver

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

// exchange is one request of a caller on its way through.
type exchange struct {
	*Receiver
	w   http.ResponseWriter
	req *http.Request

	began    time.Time
	id       string
	target   string
	route    *router.Route
	account  *router.Account
	keyed    bool
	service  string
	deadline time.Time
	body     []byte
	// more has the rest of a body that is too long to hold.
	more io.Reader

	version   int64
	readAge   time.Duration
	admission relayer.Admission
	tried     []string
}

// end is how a request ends.
type end struct {
	reason Reason
	status int
	answer *forwarder.Answer
	// after is when a refused caller shall come back.
	after  time.Duration
	detail string
}

func refuse(reason Reason, status int, detail string) end {
	return end{reason: reason, status: status, detail: detail}
}

// unavailable refuses a request that did not run and never will.
func unavailable(reason Reason, detail string) end {
	return end{reason: reason, status: http.StatusServiceUnavailable, after: retryAfter(0), detail: detail}
}

func (x *exchange) serve() {
	x.id = x.req.Header.Get(x.Dialect.RequestID)
	if x.id == "" {
		var b [8]byte
		_, _ = rand.Read(b[:]) // It never fails.
		x.id = hex.EncodeToString(b[:])
	}
	e, ok := x.prepare()
	if ok {
		ctx, cancel := context.WithDeadline(x.req.Context(), time.Now().Add(x.deadline.Sub(x.Clock.Now())))
		e = x.run(ctx)
		cancel()
	}
	x.finish(e)
}

// prepare decides all that can be decided without an instance; ok is false if that ends the request.
func (x *exchange) prepare() (e end, ok bool) {
	if left := x.Started.Add(startHold).Sub(x.began); left > 0 {
		x.Believer.Await(x.req.Context(), left)
	}
	table, at := x.Believer.Table()
	if table == nil {
		return unavailable(ReasonNoConfiguration, "this daemon knows no configuration yet"), false
	}
	x.version, x.readAge = table.Version, x.began.Sub(at)
	x.target = target(x.req)
	path, _, _ := strings.Cut(x.target, "?")
	x.route = table.Route(x.req.Host, path)
	if x.route == nil {
		return x.deny(ReasonNoRoute, http.StatusNotFound, "no route has the host and path"), false
	}
	if x.keyed = table.NeedsKey(x.route); x.keyed {
		x.account = table.Account(x.req.Header.Get(x.Dialect.Key))
		if x.account == nil {
			return x.deny(ReasonUnknownKey, http.StatusUnauthorized, "no client account has the key"), false
		}
	}
	x.deadline = x.began.Add(x.route.Timeout)
	if ms, err := strconv.ParseInt(x.req.Header.Get(x.Dialect.Deadline), 10, 64); err == nil && ms > 0 {
		x.deadline = x.began.Add(min(x.route.Timeout, time.Duration(ms)*time.Millisecond))
	}
	if e, ok = x.fresh(); !ok {
		return e, false
	}
	if e, ok = x.readBody(table.Limits); !ok {
		return e, false
	}
	x.service = x.route.Part(mathrand.Float64())
	x.admission = x.Admitter.Admit(x.req.Context(), x.account)
	if !x.admission.Admitted {
		return end{
			reason: ReasonOverRate, status: http.StatusTooManyRequests, after: max(x.admission.RetryAfter, leastRetryAfter),
			detail: "the client account is beyond its rate",
		}, false
	}
	x.Picker.Begin(x.service)
	return end{}, true
}

// target returns the path and query as the caller wrote them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// deny refuses what the configuration does not allow, or says that this daemon cannot know.
func (x *exchange) deny(reason Reason, status int, detail string) end {
	if x.readAge > deniedAge {
		return unavailable(ReasonStale, "what this daemon knows is too old to deny a request")
	}
	return refuse(reason, status, detail)
}

// fresh checks that a key is accepted by knowledge that is new enough, now.
func (x *exchange) fresh() (e end, ok bool) {
	if !x.keyed {
		return end{}, true
	}
	_, at := x.Believer.Table()
	if age := x.Clock.Since(at); age > time.Duration(keyMargin*float64(x.KeyAge)) {
		x.readAge = age
		return unavailable(ReasonStale, "what this daemon knows is too old to accept a key"), false
	}
	return end{}, true
}

func (x *exchange) readBody(l router.Limits) (e end, ok bool) {
	if x.req.ContentLength > l.MaxBodyBytes {
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is longer than allowed"), false
	}
	if x.req.Body == nil || x.req.Body == http.NoBody {
		return end{}, true
	}
	src := http.MaxBytesReader(x.w, x.req.Body, l.MaxBodyBytes)
	b, err := io.ReadAll(io.LimitReader(src, maxHeld+1))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is longer than allowed"), false
	case err != nil && x.req.Context().Err() != nil:
		return end{reason: ReasonCanceled}, false
	case err != nil:
		return refuse(ReasonBadBody, http.StatusBadRequest, err.Error()), false
	}
	x.body = b
	if len(b) > maxHeld {
		x.more = src
	}
	return end{}, true
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of headers without those of one connection.
func endToEnd(h http.Header) http.Header {
	c := h.Clone()
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			c.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopHeaders {
		c.Del(n)
	}
	return c
}

// outgoing returns the request for an instance.
func (x *exchange) outgoing(instance string, left time.Duration) forwarder.Request {
	h := endToEnd(x.req.Header)
	h.Del(x.Dialect.Key)
	h.Del(x.Dialect.Account)
	h.Del(x.Dialect.ExpectedInstance)
	h.Set(x.Dialect.RequestID, x.id)
	h.Set(x.Dialect.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set(x.Dialect.ExpectedInstance, instance)
	if x.account != nil {
		h.Set(x.Dialect.Account, x.account.Name)
	}
	r := forwarder.Request{
		ID: x.id, Method: x.req.Method, Target: x.target, Host: x.req.Host, Header: h,
		Body: x.body, More: x.more, Length: int64(len(x.body)),
	}
	if x.more != nil {
		r.Length, r.Chunked = x.req.ContentLength, x.req.ContentLength < 0
	}
	return r
}

// finish answers the caller and logs what decided.
func (x *exchange) finish(e end) {
	took := x.Clock.Since(x.began)
	name := ""
	if x.route != nil {
		name = x.route.Name
	}
	x.Observer.Observe(name, e.reason, e.status, took)
	if e.reason != ReasonAnswered || len(x.tried) > 1 || e.status >= http.StatusInternalServerError {
		x.log(e, name, took)
	}
	if e.reason == ReasonCanceled {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	if x.Leaving() {
		h.Set("Connection", "close")
	}
	if e.answer != nil {
		x.pass(e)
		return
	}
	h.Set(x.Dialect.RequestID, x.id)
	if e.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.after.Seconds(), 'f', 2, 64))
	}
	text := e.reason.String() + ": " + e.detail + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(e.status)
	if x.req.Method != http.MethodHead {
		_, _ = io.WriteString(x.w, text) // The caller may have left.
	}
}

func (x *exchange) log(e end, route string, took time.Duration) {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	x.Logger.Info("request", zap.String("id", x.id), zap.Stringer("reason", e.reason), zap.Int("status", e.status),
		zap.Bool("notRun", e.reason.notRun()), zap.String("route", route), zap.String("account", account),
		zap.String("service", x.service), zap.Strings("tried", x.tried), zap.Duration("took", took),
		zap.Int64("version", x.version), zap.Duration("readAge", x.readAge), zap.String("rateOwner", x.admission.Owner),
		zap.String("detail", e.detail))
}

// pass writes an instance's answer.
func (x *exchange) pass(e end) {
	a := e.answer
	h := x.w.Header()
	for n, vs := range endToEnd(a.Header) {
		h[n] = vs
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	bodiless := x.req.Method == http.MethodHead || e.status == http.StatusNoContent || e.status == http.StatusNotModified
	switch {
	case bodiless:
		if a.Length >= 0 && e.status != http.StatusNoContent {
			h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
		}
		x.w.WriteHeader(e.status)
		return
	case a.Rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		x.w.WriteHeader(e.status)
		_, _ = x.w.Write(a.Body) // The caller may have left.
		return
	}
	defer func() { _ = a.Rest.Close() }()
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(e.status)
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(a.Body), a.Rest)); err != nil {
		x.Logger.Info("answer cut", zap.String("id", x.id), logger.Cause(err))
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}
