package receiver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// attempt is one try to send a request to an instance.
type attempt struct {
	// number counts the attempts of the request, from 1.
	number    int
	choice    balancer.Choice
	startedAt time.Time
	// viewAge is the age of the view of the instances that the choice was made with.
	viewAge time.Duration
	cancel  context.CancelFunc
	// answering is set once the head of the response was read.
	answering atomic.Bool
	response  forwarder.Response
	err       error
}

// retrier sends one request to instances until one responds or no further attempt is allowed.
type retrier struct {
	*exchange
	finished chan *attempt
	inFlight map[*attempt]bool
	// sent counts the attempts that may have reached an instance, unsent those of which no byte was sent.
	sent, unsent int
	// mayHaveRun is set when an instance may have run the request.
	mayHaveRun bool
	// errorResponse is an instance's own error response, returned if no other attempt succeeds.
	errorResponse *forwarder.Response
	detail        string
	hedging       hedging
	// answered is the attempt whose response is that of the request, nil if there is none.
	answered *attempt
}

// run sends the request and returns its result.
func (x *exchange) run(ctx context.Context) result {
	r := &retrier{exchange: x, finished: make(chan *attempt, x.route.Attempts+maxUnsent+1), inFlight: map[*attempt]bool{}}
	defer func() {
		r.cancelAll(ctx.Err() != nil)
		r.endHedging()
	}()
	overdue := time.NewTimer(time.Duration(overdueFraction * float64(x.route.Objective)))
	defer overdue.Stop()
	if res, ok := r.start(ctx, false); !ok {
		return res
	}
	for {
		select {
		case <-ctx.Done():
			return r.interrupted()
		case <-overdue.C:
			for a := range r.inFlight {
				x.Picker.MarkOverdue(a.choice)
			}
			if x.Hedger == nil && x.route.Idempotent && x.bodyRest == nil {
				_, _ = r.start(ctx, true)
			}
		case <-r.hedgeDue():
			r.hedge(ctx)
		case a := <-r.finished:
			delete(r.inFlight, a)
			if res, done := r.handleFinished(ctx, a); done {
				return res
			}
		}
	}
}

// start sends the request to one more instance. If no further attempt is allowed, ok is false and res is the
// result of the request unless another attempt is in flight.
func (r *retrier) start(ctx context.Context, resend bool) (res result, ok bool) {
	if r.sent >= r.route.Attempts || r.unsent >= maxUnsent {
		return r.giveUp(), false
	}
	if res, ok = r.checkStop(); !ok {
		return res, false
	}
	c, res, ok := r.choose(ctx)
	if !ok {
		return res, false
	}
	r.send(ctx, c, resend)
	return result{}, true
}

// send sends the request to an instance.
func (r *retrier) send(ctx context.Context, c balancer.Choice, resend bool) {
	r.tried, r.outcomes = append(r.tried, c.ID), append(r.outcomes, outcomePending)
	r.sent++
	a := &attempt{number: len(r.tried), choice: c, startedAt: r.Clock.Now()}
	_, a.viewAge = r.Tracker.Usable(c.ID)
	if len(r.inFlight) > 0 {
		r.hedging.sent = a
	}
	if resend {
		r.Logger.Info("sent again", zap.String("id", r.id), zap.String("instance", c.ID), zap.Float64("evidence", c.Evidence),
			zap.Int("load", c.Load), zap.Duration("after", a.startedAt.Sub(r.arrivedAt)), zap.Duration("viewAge", a.viewAge), zap.Bool("hedge", a == r.hedging.sent),
			zap.String("because", r.detail))
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	r.inFlight[a] = true
	out := r.instanceRequest(c.ID, r.deadline.Sub(a.startedAt))
	out.Answering = &a.answering
	go func() {
		a.response, a.err = r.Sender.Send(attemptCtx, c.Address, out, maxIdle)
		r.finished <- a
	}()
	r.awaitHedge(a)
}

// awaitView waits for a recent view of the instances. It returns false if the request should not be sent now.
func (r *retrier) awaitView(ctx context.Context) bool {
	maxAge := time.Duration(maxViewFraction * float64(r.DrainTimeout))
	if len(r.inFlight) > 0 {
		return r.Tracker.AwaitView(ctx, maxAge, 0) // A hedge is not worth a wait.
	}
	if r.Tracker.AwaitView(ctx, maxAge, viewTimeout) || ctx.Err() != nil {
		return true
	}
	r.Logger.Warn("view of the instances is stale", zap.String("id", r.id), zap.Duration("maxAge", maxAge))
	return false
}

// handleFinished handles a finished attempt; done is true if res is the result of the request.
func (r *retrier) handleFinished(ctx context.Context, a *attempt) (res result, done bool) {
	r.responses = append(r.responses, a.response)
	took := r.Clock.Since(a.startedAt)
	o := r.classify(ctx, a)
	r.outcomes[a.number-1] = o.String()
	r.attemptCounts.add(a, o)
	r.logAttempt(a, o, took)
	r.observeStatements(a)
	r.Picker.Done(r.route, a.choice, o, took)
	r.observeAnswer(a, o)
	if usable, _ := r.Tracker.Usable(a.choice.ID); !usable {
		r.Logger.Info("instance left during request", zap.String("id", r.id), zap.String("instance", a.choice.ID),
			zap.Duration("viewAge", a.viewAge), zap.Duration("took", took), zap.Stringer("outcome", o))
	}
	if a.response.BodyRest == nil {
		a.cancel()
	}
	switch o {
	case balancer.OutcomeAnswered:
		r.answered = a
		return result{reason: ReasonAnswered, status: a.response.Status, response: &a.response}, true
	case balancer.OutcomeCanceled:
		return r.interrupted(), true
	case balancer.OutcomeUnreachable:
		r.sent--
		r.unsent++
		r.detail = "instance " + a.choice.ID + " cannot be reached: " + a.err.Error()
	case balancer.OutcomeMoved:
		r.Tracker.MarkMoved(a.choice.Instance)
		r.detail = "instance " + a.choice.ID + " is no longer at its address"
	case balancer.OutcomeShed:
		r.detail = "instance " + a.choice.ID + " refused the request"
	case balancer.OutcomeError:
		r.mayHaveRun = true
		r.errorResponse = &a.response
		r.detail = "instance " + a.choice.ID + " returned a server error"
	case balancer.OutcomeBroken, balancer.OutcomeOverdue:
		r.mayHaveRun = true
		r.detail = "instance " + a.choice.ID + " gave no whole answer"
		if a.err != nil {
			r.detail += ": " + a.err.Error()
		}
	}
	if len(r.inFlight) > 0 {
		return result{}, false
	}
	if (r.mayHaveRun && !r.route.Idempotent) || r.bodyRest != nil {
		return r.giveUp(), true
	}
	if res, ok := r.start(ctx, true); !ok {
		return res, true
	}
	return result{}, false
}

// classify returns the outcome of a finished attempt. It sets mayHaveRun if the attempt was canceled after it may have
// reached the instance.
func (r *retrier) classify(ctx context.Context, a *attempt) balancer.Outcome {
	switch {
	case a.err != nil && ctx.Err() != nil:
		r.mayHaveRun = r.mayHaveRun || !errors.Is(a.err, forwarder.ErrNotSent)
		return balancer.OutcomeCanceled
	case errors.Is(a.err, forwarder.ErrNotSent):
		return balancer.OutcomeUnreachable
	case a.err != nil:
		return balancer.OutcomeBroken
	case a.response.Status == http.StatusMisdirectedRequest && a.response.NotRun:
		return balancer.OutcomeMoved
	case a.response.NotRun:
		return balancer.OutcomeShed
	case !a.response.Signed && a.response.Status < http.StatusInternalServerError:
		// It is none of an instance's: something else may listen at its address.
		return balancer.OutcomeBroken
	case impliesNotRun(a.response.Status):
		// The caller would conclude from the status that the request has not run, but nothing else says so.
		return balancer.OutcomeBroken
	case a.response.Status >= http.StatusInternalServerError:
		return balancer.OutcomeError
	}
	return balancer.OutcomeAnswered
}

// observeStatements records what the response of a finished attempt states of the instance, also if the caller does not get
// the response. Only an instance that signed its response stated that it has no limit.
func (r *retrier) observeStatements(a *attempt) {
	resp := a.response
	if resp.Pause > 0 {
		r.Picker.Pause(a.choice, resp.Pause)
		r.Logger.Info("instance asked for a pause", zap.String("id", r.id), zap.String("instance", a.choice.ID), zap.Duration("pause", resp.Pause))
	}
	if resp.Leaving {
		r.Tracker.MarkLeaving(a.choice.ID, a.choice.Incarnation)
	}
	if a.err != nil || resp.Status == http.StatusMisdirectedRequest || resp.Limit.Invalid || resp.Limit.Rate == 0 && !resp.Signed {
		return
	}
	r.Limiter.ObserveLimit(a.choice.ID, a.choice.Incarnation, resp.Limit.Rate, a.startedAt)
}

// impliesNotRun reports whether callers conclude from a status that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// giveUp returns the result of a request for which no further attempt is allowed.
func (r *retrier) giveUp() result {
	switch {
	case r.errorResponse != nil:
		return result{reason: ReasonAnswered, status: r.errorResponse.Status, response: r.errorResponse, detail: r.detail}
	case r.mayHaveRun:
		return refuse(ReasonBroken, http.StatusBadGateway, r.detail)
	case r.sent > 0:
		return unavailable(ReasonShed, r.detail)
	}
	return unavailable(ReasonNoInstance, r.detail)
}

// interrupted returns the result of a request whose caller disconnected or whose deadline has passed.
func (r *retrier) interrupted() result {
	if r.req.Context().Err() != nil {
		return result{reason: ReasonCanceled}
	}
	for a := range r.inFlight {
		r.Picker.MarkOverdue(a.choice)
	}
	if r.errorResponse != nil {
		return r.giveUp()
	}
	if r.sent > 0 {
		return refuse(ReasonTimeout, http.StatusGatewayTimeout, "the time was up; tried last "+r.tried[len(r.tried)-1])
	}
	return unavailable(ReasonNoInstance, r.detail)
}

// cancelAll cancels the attempts in flight; a goroutine waits for them and reports their outcomes to the picker. Unless
// the request was interrupted, another attempt was answered, and those that are canceled have not failed.
func (r *retrier) cancelAll(interrupted bool) {
	for a := range r.inFlight {
		a.cancel()
	}
	n := len(r.inFlight)
	if n == 0 {
		return
	}
	go func() {
		for range n {
			a := <-r.finished
			o := balancer.OutcomeCanceled
			if a.err == nil {
				o = r.classify(context.Background(), a)
			}
			took := r.Clock.Since(a.startedAt)
			r.attemptCounts.add(a, o)
			if interrupted || o != balancer.OutcomeCanceled || len(a.response.Skipped) > 0 {
				r.logAttempt(a, o, took)
			}
			r.observeStatements(a)
			_ = a.response.Close()
			r.Picker.Done(r.route, a.choice, o, took)
		}
	}()
}
