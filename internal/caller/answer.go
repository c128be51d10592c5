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
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

// statuses are the HTTP statuses of refusals by their reason.
var statuses = map[dispatcher.Reason]int{
	dispatcher.ReasonOverload:   http.StatusServiceUnavailable,
	dispatcher.ReasonNoBackend:  http.StatusBadGateway,
	dispatcher.ReasonTimeout:    http.StatusGatewayTimeout,
	dispatcher.ReasonFailed:     http.StatusBadGateway,
	dispatcher.ReasonCanceled:   statusCanceled,
	dispatcher.ReasonNoService:  http.StatusServiceUnavailable,
	dispatcher.ReasonNoContact:  http.StatusServiceUnavailable,
	dispatcher.ReasonRecords:    http.StatusServiceUnavailable,
	dispatcher.ReasonBadRequest: http.StatusBadRequest,
}

// turnAway returns the answer to a request that is refused before it is sent on.
func (x *exchange) turnAway(err error) dispatcher.Answer {
	a := dispatcher.Answer{Outcome: dispatcher.OutcomeNotRun, Reason: dispatcher.ReasonBadRequest, Detail: err.Error()}
	var r *refusal
	if errors.As(err, &r) {
		a.Reason, a.Status = r.reason, r.status
	}
	return a
}

// end writes the answer to the caller.
func (x *exchange) end(a dispatcher.Answer) error {
	if a.Status == 0 {
		a.Status = statuses[a.Reason]
	}
	x.Observer.Observe(x.account.Name, x.match.RouteName(), a, x.Clock.Since(x.began))
	x.closeIfStopping(x.echo)
	w := x.echo.Response()
	_ = http.NewResponseController(w.Writer).SetWriteDeadline(time.Now().Add(x.Limits.BodyTimeout))
	h := w.Header()
	h.Set(dispatcher.HeaderRequestID, x.id)
	h.Set(HeaderOutcome, a.Outcome.String())
	if a.Outcome != dispatcher.OutcomeAnswered {
		return x.refuse(a)
	}
	return x.pass(a)
}

type refusalBody struct {
	Outcome   dispatcher.Outcome `json:"outcome"`
	Reason    dispatcher.Reason  `json:"reason"`
	Detail    string             `json:"detail"`
	RequestID string             `json:"requestId"`
}

func (x *exchange) refuse(a dispatcher.Answer) error {
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

// pass writes a backend server's answer. Headers of the connection to it stay behind.
func (x *exchange) pass(a dispatcher.Answer) error {
	length := a.Header.Get("Content-Length")
	// The answer may be one that a holder of its idempotency key keeps.
	headers := a.Header.Clone()
	clean(headers)
	w := x.echo.Response()
	for n, vs := range headers {
		if w.Header().Get(n) == "" {
			w.Header()[n] = vs
		}
	}
	bodiless := x.echo.Request().Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	switch {
	case bodiless:
		w.WriteHeader(a.Status)
		return nil
	case a.Rest != nil:
		return x.stream(a, length)
	}
	n, err := strconv.Atoi(length)
	x.Asserter.Check(err != nil || n == len(a.Body), asserter.RuleAnswer, "request %s has %d bytes of %d", x.id, len(a.Body), n)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, err = w.Write(a.Body)
	return err
}

// stream passes on an answer that is longer than what is held. If it is cut, so is the
// caller's connection, that the caller can tell.
func (x *exchange) stream(a dispatcher.Answer, length string) error {
	defer func() { _ = a.Rest.Close() }()
	w := x.echo.Response()
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(a.Status)
	if _, err := io.Copy(deadliner{w, x.Limits.BodyTimeout}, io.MultiReader(bytes.NewReader(a.Body), a.Rest)); err != nil {
		x.Logger.Warn("answer cut", zap.String("id", x.id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	return nil
}

// deadliner allows each write its time.
type deadliner struct {
	w       http.ResponseWriter
	timeout time.Duration
}

func (d deadliner) Write(p []byte) (int, error) {
	_ = http.NewResponseController(d.w).SetWriteDeadline(time.Now().Add(d.timeout))
	return d.w.Write(p)
}
