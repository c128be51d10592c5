package receiver

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/hedger"
)

// Hedger decides on hedges within a limit.
type Hedger interface {
	// Delay returns how long a request of a route runs at one instance before it is hedged.
	Delay(r *router.Route) time.Duration
	// Observe records whether a request ran longer than the delay of its route.
	Observe(r *router.Route, slow bool)
	// Pick decides on a hedge and chooses its instance; false if there is none to send.
	Pick(service string, r *router.Route, want balancer.Request, left time.Duration) (balancer.Choice, hedger.Decision, bool)
}

// The ends of hedges in metrics, beside the decisions that refused them. A request that was hedged counts as sent and as won
// or lost; one that was to be hedged, but was not, by the first refusal.
const (
	hedgeSent       = "sent"
	hedgeWon        = "won"
	hedgeLost       = "lost"
	hedgeNoInstance = "no-instance"
)

const (
	// hedgeRetries is how often, in one delay, a hedge that was refused is tried again.
	hedgeRetries = 4
	// minHedgeRetry is the least time between two tries. While instances hang, all their requests try.
	minHedgeRetry = 20 * time.Millisecond
)

// hedging is the state of the hedge of one request.
type hedging struct {
	// timer runs while attempt does, until a hedge is due; it is nil if the request may not be hedged.
	timer   clockwork.Timer
	attempt *attempt
	// due is set once attempt took longer than the delay of the route.
	due bool
	// sent is the hedge, nil if there is none, and refused what refused it first. Late is set once it would be too late.
	sent    *attempt
	refused string
	late    bool
}

// awaitHedge starts the timer of the hedge for an attempt. Requests whose body is gone and those that may run once only get none.
func (r *retrier) awaitHedge(a *attempt) {
	if r.Hedger == nil || len(r.inFlight) > 1 || !r.route.Idempotent || r.bodyRest != nil || r.sent >= r.route.Attempts {
		return
	}
	r.hedging.attempt, r.hedging.due = a, false
	if d := r.Hedger.Delay(r.route); r.hedging.timer == nil {
		r.hedging.timer = r.Clock.NewTimer(d)
	} else {
		r.hedging.timer.Reset(d)
	}
}

// hedgeDue returns a channel that receives when a hedge is due; nil if none will be.
func (r *retrier) hedgeDue() <-chan time.Time {
	if r.hedging.timer == nil {
		return nil
	}
	return r.hedging.timer.Chan()
}

// hedge sends the request to a second instance if the limit and the load of the service allow it. Else, it tries again later.
func (r *retrier) hedge(ctx context.Context) {
	h := &r.hedging
	if !r.inFlight[h.attempt] || len(r.inFlight) > 1 || r.sent >= r.route.Attempts {
		return
	}
	if !h.due {
		h.due = true
		r.Hedger.Observe(r.route, true)
	}
	if left := r.route.Objective - r.Clock.Since(h.attempt.startedAt); left > 0 && h.attempt.answering.Load() {
		h.timer.Reset(left) // It is the transfer that takes long; a second one would slow it down.
		return
	}
	if c, ok := r.chooseHedge(ctx); ok {
		r.send(ctx, c, true)
		return
	}
	if !h.late {
		h.timer.Reset(max(minHedgeRetry, r.Hedger.Delay(r.route)/hedgeRetries))
	}
}

// chooseHedge picks the instance of a hedge by a recent view of the instances and a recent configuration.
func (r *retrier) chooseHedge(ctx context.Context) (c balancer.Choice, ok bool) {
	if _, ok = r.checkBeliefs(ctx); !ok {
		r.refuseHedge(hedgeNoInstance)
		return c, false
	}
	want := balancer.Request{Idempotent: true, AvoidLimited: true, Tried: r.tried}
	c, d, ok := r.Hedger.Pick(r.service, r.route, want, r.deadline.Sub(r.Clock.Now()))
	if !ok {
		refusal := hedgeNoInstance
		if d != hedger.DecisionSend {
			refusal = d.String()
		}
		r.refuseHedge(refusal)
		r.hedging.late = d == hedger.DecisionLate
		return c, false
	}
	a := r.Limiter.AdmitSend(ctx, c.ID)
	if a.Admitted && (a.Owner == "" || r.mayStillSend(ctx, c)) {
		return c, true
	}
	r.releaseRefused(c, a)
	r.refuseHedge(hedgeNoInstance)
	return c, false
}

// mayStillSend checks a choice again after the owner of its instance's limit was asked: what was known may have become stale,
// or the instance may have left.
func (r *retrier) mayStillSend(ctx context.Context, c balancer.Choice) bool {
	_, ok := r.checkBeliefs(ctx)
	usable, _ := r.Tracker.Usable(c.ID)
	return ok && usable
}

// refuseHedge notes what refused the hedge first.
func (r *retrier) refuseHedge(refusal string) {
	if r.hedging.refused == "" {
		r.hedging.refused = refusal
	}
}

// observeAnswer records that an attempt was answered before a hedge was due.
func (r *retrier) observeAnswer(a *attempt, o balancer.Outcome) {
	if o == balancer.OutcomeAnswered && a == r.hedging.attempt && !r.hedging.due {
		r.Hedger.Observe(r.route, false)
	}
}

// endHedging counts the hedge of a request that is over.
func (r *retrier) endHedging() {
	if r.hedging.timer != nil {
		r.hedging.timer.Stop()
	}
	switch {
	case r.hedging.sent != nil:
		r.hedgeResult = hedgeLost
		if r.hedging.sent == r.answered {
			r.hedgeResult = hedgeWon
		}
		r.hedgeCounts.add(hedgeSent)
		r.hedgeCounts.add(r.hedgeResult)
	case r.hedging.due && r.hedging.refused != "":
		r.hedgeCounts.add(r.hedging.refused)
	}
}

// hedgeCounts counts hedges by their end. It is safe for concurrent use.
type hedgeCounts struct {
	mu sync.Mutex
	n  map[string]float64
}

func newHedgeCounts() *hedgeCounts {
	c := &hedgeCounts{n: map[string]float64{hedgeSent: 0, hedgeWon: 0, hedgeLost: 0, hedgeNoInstance: 0}}
	for _, d := range hedger.DecisionValues() {
		if d != hedger.DecisionSend {
			c.n[d.String()] = 0
		}
	}
	return c
}

func (c *hedgeCounts) add(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[end]++
}

// HedgeCounts returns the number of hedges since the start: those that were sent, of these those that won and lost, and those
// that were refused, by what refused them.
func (r *Receiver) HedgeCounts() map[string]float64 {
	r.hedgeCounts.mu.Lock()
	defer r.hedgeCounts.mu.Unlock()
	return maps.Clone(r.hedgeCounts.n)
}
