package receiver

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// outcomePending stands for the outcome of an attempt in flight in log lines.
const outcomePending = "pending"

// logAttempt logs a finished attempt that was not answered, or before whose answer others were skipped.
func (r *retrier) logAttempt(a *attempt, o balancer.Outcome, took time.Duration) {
	resp := a.response
	event := "attempt failed"
	if o == balancer.OutcomeAnswered {
		if len(resp.Skipped) == 0 {
			return
		}
		event = "responses of no request"
	}
	omitted, ok := r.attemptLog.Allow(r.Clock.Now())
	if !ok {
		return
	}
	local, skipped, quoted := zap.Skip(), zap.Skip(), zap.Skip()
	if resp.Connection.Local.IsValid() {
		local = zap.Stringer("localAddress", resp.Connection.Local)
	}
	if len(resp.Skipped) > 0 {
		skipped = zap.Strings("skipped", skippedIDs(resp.Skipped))
	}
	if q := forwarder.Quoted(a.err); q != "" {
		quoted = zap.String("quoted", q)
	}
	r.Logger.Info(event, zap.String("id", r.id), zap.Int("attempt", a.number), zap.String("instance", a.choice.ID),
		zap.Int64("incarnation", a.choice.Incarnation), zap.Stringer("address", a.choice.Address), local,
		zap.Int("carried", resp.Connection.Carried), zap.Bool("repeated", resp.Connection.Repeated), zap.Int("status", resp.Status),
		zap.Stringer("outcome", o), zap.Bool("notRun", resp.NotRun), skipped, zap.Duration("took", took), logger.Err(a.err), quoted, omitted)
}

// skippedIDs returns the request IDs of skipped responses, with a dash for a response that names no request.
func skippedIDs(ids []string) []string {
	s := make([]string, len(ids))
	for n, id := range ids {
		s[n] = id
		if id == "" {
			s[n] = "-"
		}
	}
	return s
}
