package receiver

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

// exchange is one request of a caller and the state of serving it.
type exchange struct {
	*Receiver
	w   http.ResponseWriter
	req *http.Request

	arrivedAt time.Time
	id        string
	target    string
	route     *router.Route
	account   *router.Account
	needsKey  bool
	service   string
	deadline  time.Time
	body      []byte
	// bodyRest reads the rest of a body that is not buffered as a whole; nil if body is complete.
	bodyRest *restReader
	// bodyUnread is set if the request was refused before the end of its body was read.
	bodyUnread bool
	// reserved is the memory reserved for body, in bytes.
	reserved int64

	configurationVersion int64
	configurationAge     time.Duration
	admission            relayer.Admission
	// level is the request's level of urgency.
	level int
	tried []string
	// outcomes are those of the attempts at the instances in tried, outcomePending for those in flight.
	outcomes []string
	// responses are those that were received, to be closed when the request is over.
	responses []forwarder.Response
	// hedgeResult is hedgeWon if a hedge's response is that of the request, hedgeLost if another one is, and empty without a hedge.
	hedgeResult string
}

// result is how a request ended, with the response or error to return to the caller.
type result struct {
	reason   Reason
	status   int
	response *forwarder.Response
	// retryAfter is the value of the Retry-After header; zero omits the header.
	retryAfter time.Duration
	detail     string
}

func refuse(reason Reason, status int, detail string) result {
	return result{reason: reason, status: status, detail: detail}
}

// unavailable refuses a request that has not run and will not run later.
func unavailable(reason Reason, detail string) result {
	return result{reason: reason, status: http.StatusServiceUnavailable, retryAfter: jitteredRetryAfter(0), detail: detail}
}

func (x *exchange) serve() {
	x.id = x.req.Header.Get(x.HeaderNames.RequestID)
	if x.id == "" {
		var b [8]byte
		_, _ = rand.Read(b[:]) // rand.Read never fails.
		x.id = hex.EncodeToString(b[:])
	}
	defer x.release()
	res, ok := x.prepare()
	if ok {
		ctx, cancel := context.WithDeadline(x.req.Context(), time.Now().Add(x.deadline.Sub(x.Clock.Now())))
		// A response that is passed on as it comes ends with the context.
		defer cancel()
		res = x.run(ctx)
	}
	x.finish(res)
}

// prepare does everything that needs no instance: routing, authentication, reading the body and rate limiting.
// If that ends the request, ok is false and res is its result.
func (x *exchange) prepare() (res result, ok bool) {
	if left := x.Started.Add(startupWait).Sub(x.arrivedAt); left > 0 {
		x.Tracker.WaitUntilKnown(x.req.Context(), left)
		if res, ok = x.checkCaller(); !ok {
			return res, false
		}
	}
	table, res, ok := x.identify()
	if !ok {
		return res, false
	}
	if res, ok = x.readBody(table.Limits); !ok {
		return res, false
	}
	x.service = x.splits.pick(x.route)
	x.admission = x.Admitter.Admit(x.req.Context(), x.account)
	if res, ok = x.checkCaller(); !ok {
		return res, false
	}
	if !x.admission.Admitted {
		return overRate(x.admission.RetryAfter), false
	}
	x.Picker.CountRequest(x.service)
	x.level = aggregator.Level(x.route.EffectivePriority(x.account))
	return x.checkRoom()
}

// checkCaller checks that the caller has not left. It is called after each wait for a peer.
func (x *exchange) checkCaller() (res result, ok bool) {
	if x.req.Context().Err() != nil {
		return result{reason: ReasonCanceled}, false
	}
	return result{}, true
}

// identify finds the route and the client account of the request and its deadline, and checks that it may be served now. It
// changes nothing but the exchange. If that ends the request, ok is false and res is its result.
func (x *exchange) identify() (table *router.Table, res result, ok bool) {
	table, confirmedAt := x.Tracker.Table()
	if table == nil {
		return table, unavailable(ReasonNoConfiguration, "this daemon knows no configuration yet"), false
	}
	if !x.Tracker.MembersKnown() {
		return table, unavailable(ReasonNoConfiguration, "this daemon does not know its peers yet"), false
	}
	x.configurationVersion, x.configurationAge = table.Version, x.arrivedAt.Sub(confirmedAt)
	x.target = requestTarget(x.req)
	path, _, _ := strings.Cut(x.target, "?")
	x.route = table.Route(x.req.Host, path)
	if x.route == nil {
		return table, x.deny(ReasonNoRoute, http.StatusNotFound, "no route has the host and path"), false
	}
	if x.needsKey = table.NeedsKey(x.route); x.needsKey {
		x.account = table.Account(x.req.Header.Get(x.HeaderNames.Key))
		if x.account == nil {
			return table, x.deny(ReasonUnknownKey, http.StatusUnauthorized, "no client account has the key"), false
		}
	}
	timeout := x.route.Timeout
	if ms, err := strconv.ParseInt(x.req.Header.Get(x.HeaderNames.Deadline), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	x.deadline = Arrival(x.req.Context(), x.arrivedAt).Add(timeout)
	if !x.deadline.After(x.arrivedAt) {
		x.bodyUnread = true
		return table, unavailable(ReasonNoInstance, "the time was up before the request could be served"), false
	}
	if res, ok = x.checkKeyAge(); !ok {
		return table, res, false
	}
	if !x.stop.mayBegin(x.deadline) {
		x.bodyUnread = true
		return table, stopping(), false
	}
	return table, result{}, true
}

// overRate refuses a request of an account that is beyond its rate; retryAfter is the time until a token may be available.
func overRate(retryAfter time.Duration) result {
	return result{
		reason: ReasonOverRate, status: http.StatusTooManyRequests, retryAfter: max(retryAfter, minRetryAfter),
		detail: "the client account is beyond its rate",
	}
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// deny refuses a request that the configuration does not allow. If the configuration is older than maxDenyAge, it
// refuses the request as unavailable instead, because a newer configuration may allow it.
func (x *exchange) deny(reason Reason, status int, detail string) result {
	if x.configurationAge > maxDenyAge {
		return unavailable(ReasonStale, "what this daemon knows is too old to deny a request")
	}
	return refuse(reason, status, detail)
}

// checkKeyAge checks that the configuration is recent enough to accept a key. It is called again before each attempt,
// because the configuration ages while a request waits.
func (x *exchange) checkKeyAge() (res result, ok bool) {
	if !x.needsKey {
		return result{}, true
	}
	_, confirmedAt := x.Tracker.Table()
	if age := x.Clock.Since(confirmedAt); age > time.Duration(keyAgeFraction*float64(x.MaxKeyAge)) {
		x.configurationAge = age
		return unavailable(ReasonStale, "what this daemon knows is too old to accept a key"), false
	}
	return result{}, true
}

func (x *exchange) readBody(l router.Limits) (res result, ok bool) {
	if x.req.ContentLength > l.MaxBodyBytes {
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is longer than allowed"), false
	}
	if x.req.Body == nil || x.req.Body == http.NoBody {
		return result{}, true
	}
	// Writers without deadlines are those of tests.
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(x.deadline.Sub(x.Clock.Now())))
	src := http.MaxBytesReader(x.w, x.req.Body, l.MaxBodyBytes)
	buffered := x.bufferedLength()
	done := x.interruptRead(rc)
	b, err := io.ReadAll(io.LimitReader(src, buffered+1))
	if !done() {
		x.bodyUnread = true
		return stopping(), false
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is longer than allowed"), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(ReasonBadBody, http.StatusRequestTimeout, "the body did not arrive in time"), false
	case err != nil && x.req.Context().Err() != nil:
		return result{reason: ReasonCanceled}, false
	case err != nil:
		return refuse(ReasonBadBody, http.StatusBadRequest, err.Error()), false
	}
	// The server watches the connection while the request is handled, and would take a deadline for the caller's leaving.
	_ = rc.SetReadDeadline(time.Time{})
	x.body = b
	if int64(len(b)) > buffered {
		x.bodyRest = &restReader{r: src}
	}
	return result{}, true
}

// restReader reads the rest of a body.
type restReader struct {
	r io.Reader
	// ended is set once the body was read to its end.
	ended atomic.Bool
}

// Read implements io.Reader.
func (r *restReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
	}
	return n, err
}

// bufferedLength returns how much of the body to buffer, in bytes. It reserves memory for bodies that are not small, which
// release gives back; while too many requests hold theirs, the body is streamed.
func (x *exchange) bufferedLength() int64 {
	n := x.req.ContentLength
	if n < 0 || n > maxBufferedBody {
		n = maxBufferedBody
	}
	if n <= smallBody {
		return smallBody
	}
	if x.bodyBytes.Add(n) > x.MaxBodyMemory {
		x.bodyBytes.Add(-n)
		return smallBody
	}
	x.reserved = n
	return n
}

// release gives back what the request holds.
func (x *exchange) release() {
	x.bodyBytes.Add(-x.reserved)
	for _, r := range x.responses {
		_ = r.Close() // Closing a connection whose response is not read to its end may fail.
	}
}

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of h without hop-by-hop headers and those that the Connection header names.
func endToEndHeaders(h http.Header) http.Header {
	c := h.Clone()
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			c.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopHeaders {
		c.Del(n)
	}
	return c
}

// instanceRequest returns the request to send to an instance; left is the time until the deadline.
func (x *exchange) instanceRequest(instance string, left time.Duration) forwarder.Request {
	h := endToEndHeaders(x.req.Header)
	h.Del(x.HeaderNames.Key)
	h.Del(x.HeaderNames.Account)
	h.Del(x.HeaderNames.ExpectedInstance)
	h.Set(x.HeaderNames.RequestID, x.id)
	h.Set(x.HeaderNames.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set(x.HeaderNames.ExpectedInstance, instance)
	if x.account != nil {
		h.Set(x.HeaderNames.Account, x.account.Name)
	}
	r := forwarder.Request{
		ID: x.id, Method: x.req.Method, Target: x.target, Host: x.req.Host, Header: h,
		Body: x.body, Length: int64(len(x.body)), RunsOnce: !x.route.Idempotent,
	}
	if x.bodyRest != nil {
		r.BodyRest, r.Length, r.Chunked = x.bodyRest, x.req.ContentLength, x.req.ContentLength < 0
	}
	return r
}

// finish responds to the caller, counts the request, and logs it unless it ended well at the first instance. It
// panics with http.ErrAbortHandler if the caller disconnected.
func (x *exchange) finish(res result) {
	if res.response != nil && !forwarder.IsFinal(res.status) {
		res = refuse(ReasonBroken, http.StatusBadGateway, forwarder.ErrNoStatus.Error())
	}
	took := x.Clock.Since(x.arrivedAt)
	name := ""
	if x.route != nil {
		name = x.route.Name
	}
	x.Observer.Observe(name, res.reason, res.status, took)
	x.countEnded(res)
	if res.reason != ReasonAnswered || len(x.tried) > 1 || res.status >= http.StatusInternalServerError {
		x.logRequest(res, name, took)
	} else if x.answerLog.AllowN(x.Clock.Now(), 1) {
		x.Logger.Info("answered", zap.String("id", x.id), zap.String("route", name), zap.Int64("version", x.configurationVersion),
			zap.String("service", x.service), zap.Strings("tried", x.tried), zap.Int("status", res.status), zap.Duration("took", took))
	}
	if res.reason == ReasonCanceled {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	unread := x.bodyUnread || x.bodyRest != nil && !x.bodyRest.ended.Load()
	if x.Draining() || unread {
		h.Set("Connection", "close")
	}
	if unread {
		// The server reads on for a while after the response; a caller that stopped sending must not hold it.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	if res.response != nil {
		x.writeResponse(res)
		return
	}
	x.writeRefusal(res)
}

// countEnded counts a request that reached its service's admission, and whether it was served.
func (x *exchange) countEnded(res result) {
	if x.service != "" && res.reason != ReasonCanceled {
		x.Picker.CountEnded(x.service, res.reason == ReasonAnswered && res.status < http.StatusInternalServerError)
	}
}

// writeRefusal writes this VM's own response to the caller.
func (x *exchange) writeRefusal(res result) {
	h := x.w.Header()
	h.Set(x.HeaderNames.RequestID, x.id)
	if res.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(res.retryAfter.Seconds(), 'f', 2, 64))
	}
	text := res.reason.String() + ": " + res.detail + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(res.status)
	if x.req.Method != http.MethodHead {
		_, _ = io.WriteString(x.w, text) // The caller may have disconnected.
	}
}

func (x *exchange) logRequest(res result, route string, took time.Duration) {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	x.Logger.Info("request", zap.String("id", x.id), zap.Stringer("reason", res.reason), zap.Int("status", res.status),
		zap.Bool("notRun", res.reason.notRun()), zap.String("route", route), zap.String("account", account),
		zap.String("service", x.service), zap.Strings("tried", x.tried), zap.Strings("outcomes", x.outcomes), zap.String("hedge", x.hedgeResult), zap.Duration("took", took),
		zap.Int64("version", x.configurationVersion), zap.Duration("readAge", x.configurationAge), zap.String("rateOwner", x.admission.Owner),
		zap.String("detail", res.detail))
}

// writeResponse writes an instance's response to the caller.
func (x *exchange) writeResponse(res result) {
	resp := res.response
	h := x.w.Header()
	for n, vs := range endToEndHeaders(resp.Header) {
		h[n] = vs
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps net/http from detecting one.
	}
	noBody := x.req.Method == http.MethodHead || res.status == http.StatusNoContent || res.status == http.StatusNotModified
	switch {
	case noBody:
		if resp.Length >= 0 && res.status != http.StatusNoContent {
			h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
		}
		x.w.WriteHeader(res.status)
		return
	case resp.BodyRest == nil:
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
		x.w.WriteHeader(res.status)
		if _, err := x.w.Write(resp.Body); errors.Is(err, os.ErrDeadlineExceeded) { // Else, the caller may have disconnected.
			x.Logger.Info("response not read", zap.String("id", x.id), zap.Int("bytes", len(resp.Body)))
		}
		return
	}
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	// A caller that does not read must not hold the response beyond its time. Writers without deadlines are those of tests.
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(x.deadline.Sub(x.Clock.Now())))
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	x.w.WriteHeader(res.status)
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(resp.Body), resp.BodyRest)); err != nil {
		x.Logger.Info("response truncated", zap.String("id", x.id), logger.Err(err))
		// Aborting the connection shows the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}
