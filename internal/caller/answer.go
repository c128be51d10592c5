package caller

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

// reasonStatuses maps the reasons of requests without a response to HTTP status codes, for answers that carry no
// status.
var reasonStatuses = map[dispatcher.Reason]int{
	dispatcher.ReasonOverload:   http.StatusServiceUnavailable,
	dispatcher.ReasonNoBackend:  http.StatusBadGateway,
	dispatcher.ReasonTimeout:    http.StatusGatewayTimeout,
	dispatcher.ReasonFailed:     http.StatusBadGateway,
	dispatcher.ReasonCanceled:   statusClientClosedRequest,
	dispatcher.ReasonNoService:  http.StatusServiceUnavailable,
	dispatcher.ReasonNoContact:  http.StatusServiceUnavailable,
	dispatcher.ReasonRecords:    http.StatusServiceUnavailable,
	dispatcher.ReasonStopping:   http.StatusServiceUnavailable,
	dispatcher.ReasonBadRequest: http.StatusBadRequest,
}

// refusalAnswer returns the answer to a request that is refused before it is forwarded. For an error that is not a
// refusal, the reason is ReasonBadRequest.
func (x *exchange) refusalAnswer(err error) dispatcher.Answer {
	a := dispatcher.Answer{Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonBadRequest, Detail: err.Error()}
	var r *refusal
	if errors.As(err, &r) {
		a.Reason, a.Status = r.reason, r.status
	}
	return a
}

// respond reports the answer to the Observer and writes it to the caller.
func (x *exchange) respond(a dispatcher.Answer) error {
	if a.Outcome == dispatcher.OutcomeAnswered {
		a = checkHead(a)
	}
	if a.Status == 0 {
		a.Status = reasonStatuses[a.Reason]
	}
	x.Observer.Observe(x.account.Name, x.match.RouteName(), a, x.Clock.Since(x.startedAt))
	x.closeIfStopping(x.echo)
	w := x.echo.Response()
	_ = http.NewResponseController(w.Writer).SetWriteDeadline(time.Now().Add(x.Limits.BodyTimeout))
	h := w.Header()
	h.Set(dispatcher.HeaderRequestID, x.id)
	h.Set(HeaderOutcome, a.Outcome.String())
	if a.Outcome != dispatcher.OutcomeAnswered {
		return x.writeRefusal(a)
	}
	return x.writeResponse(a)
}

// checkHead replaces an answer whose head no response can have, as an older dispatcher or a record may pass on.
func checkHead(a dispatcher.Answer) dispatcher.Answer {
	err := forwarder.CheckFieldNames(a.Header)
	if !forwarder.IsFinal(a.Status) {
		err = forwarder.ErrNoStatus
	}
	if err == nil {
		return a
	}
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
	return dispatcher.Answer{Outcome: dispatcher.OutcomeUnknown, Reason: dispatcher.ReasonFailed, Detail: err.Error()}
}

// refusalBody is the JSON body of a response to a refused request.
type refusalBody struct {
	Outcome   dispatcher.Outcome `json:"outcome"`
	Reason    dispatcher.Reason  `json:"reason"`
	Detail    string             `json:"detail"`
	RequestID string             `json:"requestId"`
}

// writeRefusal writes the response to a request that no backend server responded to.
func (x *exchange) writeRefusal(a dispatcher.Answer) error {
	h := x.echo.Response().Header()
	h.Set(HeaderReason, a.Reason.String())
	if a.Reason == dispatcher.ReasonOverRate {
		after := min(max(x.Admitter.RetryAfter(x.account.Name), time.Second), maxRetryAfter)
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	x.Logger.Debug("request refused", zap.String("id", x.id), zap.String("account", x.account.Name),
		zap.Stringer("outcome", a.Outcome), zap.Stringer("reason", a.Reason), zap.String("detail", a.Detail))
	return x.echo.JSON(a.Status, refusalBody{a.Outcome, a.Reason, a.Detail, x.id})
}

// writeResponse writes a backend server's response, without hop-by-hop and reserved headers.
func (x *exchange) writeResponse(a dispatcher.Answer) error {
	length := a.Header.Get("Content-Length")
	// The recorder may hold the same header map as the result of an idempotency key, so it must not be modified.
	headers := a.Header.Clone()
	stripHeaders(headers)
	w := x.echo.Response()
	for n, vs := range headers {
		if w.Header().Get(n) == "" {
			w.Header()[n] = vs
		}
	}
	bodiless := x.echo.Request().Method == http.MethodHead ||
		a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	switch {
	case bodiless:
		w.WriteHeader(a.Status)
		return nil
	case a.Rest != nil:
		return x.stream(a, length)
	}
	n, err := strconv.Atoi(length)
	x.Asserter.Check(err != nil || n == len(a.Body), asserter.RuleAnswer,
		"response to request %s has %d of %d bytes", x.id, len(a.Body), n)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, err = w.Write(a.Body)
	return err
}

// stream writes a response whose body is too long to be read into memory. If copying it fails, stream aborts the
// caller's connection, so that the caller can detect the truncation.
func (x *exchange) stream(a dispatcher.Answer, length string) error {
	defer func() { _ = a.Rest.Close() }()
	w := x.echo.Response()
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(a.Status)
	if _, err := io.Copy(
		deadlineWriter{w, x.Limits.BodyTimeout}, io.MultiReader(bytes.NewReader(a.Body), a.Rest),
	); err != nil {
		x.Logger.Warn("response truncated", zap.String("id", x.id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	return nil
}

// deadlineWriter sets a new write deadline before each write.
type deadlineWriter struct {
	w       http.ResponseWriter
	timeout time.Duration
}

func (d deadlineWriter) Write(p []byte) (int, error) {
	_ = http.NewResponseController(d.w).SetWriteDeadline(time.Now().Add(d.timeout))
	return d.w.Write(p)
}
