package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// attempt is one send of a request to an instance.
type attempt struct {
	choice balancer.Choice
	began  time.Time
	cancel context.CancelFunc
	answer forwarder.Answer
	err    error
}

// runner sends one request until it has an answer or none can be had.
type runner struct {
	*exchange
	results chan *attempt
	open    map[*attempt]bool
	// sent counts the attempts that reached an instance, and unsent those that did not.
	sent, unsent int
	// unknown says that an instance may have run the request.
	unknown bool
	// fallback is an instance's own error, returned if no other answer comes.
	fallback *forwarder.Answer
	detail   string
}

// run sends the request and returns how it ends.
func (x *exchange) run(ctx context.Context) end {
	r := &runner{exchange: x, results: make(chan *attempt, x.route.Attempts+maxUnsent+1), open: map[*attempt]bool{}}
	defer r.cancelAll()
	hedge := time.NewTimer(time.Duration(hedgeShare * float64(x.route.Objective)))
	defer hedge.Stop()
	if e, ok := r.start(ctx, false); !ok {
		return e
	}
	for {
		select {
		case <-ctx.Done():
			return r.expire()
		case <-hedge.C:
			for a := range r.open {
				x.Picker.Overdue(a.choice)
			}
			if x.route.Idempotent && x.more == nil {
				_, _ = r.start(ctx, true)
			}
		case a := <-r.results:
			delete(r.open, a)
			if e, done := r.settle(ctx, a); done {
				return e
			}
		}
	}
}

// start sends the request to one more instance; ok is false if none can be tried, and then e is how the
// request ends unless an attempt is still open.
func (r *runner) start(ctx context.Context, again bool) (e end, ok bool) {
	if e, ok := r.fresh(); !ok && !r.unknown {
		return e, false
	} else if !ok {
		return r.failed(), false
	}
	if r.sent >= r.route.Attempts || r.unsent >= maxUnsent {
		return r.failed(), false
	}
	if r.sent > 0 && !r.Picker.Retry(r.service) {
		r.detail = "the budget of retries is used up"
		return r.failed(), false
	}
	c, ok := r.Picker.Pick(r.service, balancer.Request{Idempotent: r.route.Idempotent, Tried: r.tried})
	if !ok {
		return r.failed(), false
	}
	r.tried = append(r.tried, c.ID)
	r.sent++
	a := &attempt{choice: c, began: r.Clock.Now()}
	if again {
		r.Logger.Info("sent again", zap.String("id", r.id), zap.String("instance", c.ID), zap.Float64("evidence", c.Evidence),
			zap.Int("load", c.Load), zap.Duration("after", a.began.Sub(r.began)), zap.String("because", r.detail))
	}
	sending, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	r.open[a] = true
	out := r.outgoing(c.ID, r.deadline.Sub(a.began))
	rest := onceRest
	if r.route.Idempotent {
		rest = safeRest
	}
	go func() {
		a.answer, a.err = r.Sender.Send(sending, c.Address, out, rest)
		r.results <- a
	}()
	return end{}, true
}

// settle takes the result of an attempt; done is true if it ends the request.
func (r *runner) settle(ctx context.Context, a *attempt) (e end, done bool) {
	took := r.Clock.Since(a.began)
	o := r.judge(ctx, a)
	r.Picker.Done(r.route, a.choice, o, took)
	if a.answer.Rest == nil {
		a.cancel()
	}
	switch o {
	case balancer.OutcomeAnswered:
		return end{reason: ReasonAnswered, status: a.answer.Status, answer: &a.answer}, true
	case balancer.OutcomeCanceled:
		return r.expire(), true
	case balancer.OutcomeUnreachable:
		r.sent--
		r.unsent++
		r.detail = "instance " + a.choice.ID + " cannot be reached: " + a.err.Error()
	case balancer.OutcomeMoved:
		r.Believer.Move(a.choice.ID)
		r.detail = "instance " + a.choice.ID + " is no longer at its address"
	case balancer.OutcomeShed:
		r.detail = "instance " + a.choice.ID + " refused the request"
	case balancer.OutcomeError:
		r.unknown = true
		r.fallback = &a.answer
		r.detail = "instance " + a.choice.ID + " answered with an error of its own"
	case balancer.OutcomeBroken, balancer.OutcomeOverdue:
		r.unknown = true
		r.detail = "instance " + a.choice.ID + " gave no whole answer"
		if a.err != nil {
			r.detail += ": " + a.err.Error()
		}
	}
	if len(r.open) > 0 {
		return end{}, false
	}
	if (r.unknown && !r.route.Idempotent) || r.more != nil {
		return r.failed(), true
	}
	if e, ok := r.start(ctx, true); !ok {
		return e, true
	}
	return end{}, false
}

// judge returns what an attempt says of its instance.
func (r *runner) judge(ctx context.Context, a *attempt) balancer.Outcome {
	switch {
	case a.err != nil && ctx.Err() != nil:
		r.unknown = r.unknown || !errors.Is(a.err, forwarder.ErrNotSent)
		return balancer.OutcomeCanceled
	case errors.Is(a.err, forwarder.ErrNotSent):
		return balancer.OutcomeUnreachable
	case a.err != nil:
		return balancer.OutcomeBroken
	case a.answer.Status == http.StatusMisdirectedRequest && a.answer.NotRun:
		return balancer.OutcomeMoved
	case a.answer.NotRun:
		return balancer.OutcomeShed
	case !a.answer.Signed && a.answer.Status < http.StatusBadRequest:
		return balancer.OutcomeBroken
	case promises(a.answer.Status):
		// The caller would take the status as a promise that the request has not run.
		return balancer.OutcomeBroken
	case a.answer.Status >= http.StatusInternalServerError:
		return balancer.OutcomeError
	}
	return balancer.OutcomeAnswered
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// failed is the end of a request for which no more can be tried.
func (r *runner) failed() end {
	switch {
	case r.fallback != nil:
		return end{reason: ReasonAnswered, status: r.fallback.Status, answer: r.fallback, detail: r.detail}
	case r.unknown:
		return refuse(ReasonBroken, http.StatusBadGateway, r.detail)
	case r.sent > 0:
		return unavailable(ReasonShed, r.detail)
	}
	return unavailable(ReasonNoInstance, r.detail)
}

// expire is the end of a request whose caller left or whose time is up.
func (r *runner) expire() end {
	if r.req.Context().Err() != nil {
		return end{reason: ReasonCanceled}
	}
	for a := range r.open {
		r.Picker.Overdue(a.choice)
	}
	if r.fallback != nil {
		return r.failed()
	}
	if r.sent > 0 {
		return refuse(ReasonTimeout, http.StatusGatewayTimeout, "the time was up; tried last "+r.tried[len(r.tried)-1])
	}
	return unavailable(ReasonNoInstance, r.detail)
}

// cancelAll ends the attempts that are still open, and takes their results.
func (r *runner) cancelAll() {
	for a := range r.open {
		a.cancel()
	}
	n := len(r.open)
	if n == 0 {
		return
	}
	go func() {
		for range n {
			a := <-r.results
			o := balancer.OutcomeCanceled
			if a.err == nil {
				o = r.judge(context.Background(), a)
			}
			if a.answer.Rest != nil {
				_ = a.answer.Rest.Close()
			}
			r.Picker.Done(r.route, a.choice, o, r.Clock.Since(a.began))
		}
	}()
}
