package receiver

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// choose picks an instance that may get the request now, by a recent view of the instances and a recent configuration. If
// there is none, ok is false and res is the result of the request unless another attempt is in flight.
func (r *retrier) choose(ctx context.Context) (c balancer.Choice, res result, ok bool) {
	if res, ok = r.checkBeliefs(ctx); !ok {
		return c, res, false
	}
	if r.sent > 0 {
		if res, ok = r.takeRetry(ctx); !ok {
			return c, res, false
		}
	}
	// A hedge must not take the place of another request at an instance with a limit.
	want := balancer.Request{Idempotent: r.route.Idempotent, Tried: r.tried, AvoidLimited: len(r.inFlight) > 0}
	began := r.Clock.Now()
	until := began.Add(r.maxLimitWait())
	refused := 0
	for {
		c, ok = r.Picker.Pick(r.service, want)
		if ok && refused == maxLimitAsks {
			r.Picker.Release(c, 0)
		}
		if !ok || refused == maxLimitAsks {
			if res, ok = r.awaitToken(ctx, want, until, refused > 0); !ok {
				if res.reason == ReasonLimited && r.Clock.Since(began) > limitPause {
					r.failedWaits.note(r.service, r.Clock.Now())
				}
				return c, res, false
			}
			refused = 0
			continue
		}
		d := r.Limiter.AdmitSend(ctx, c.ID)
		switch {
		case !d.Admitted:
			r.releaseRefused(c, d)
			if ctx.Err() != nil {
				return c, r.interrupted(), false
			}
			refused++
			continue
		case d.Owner == "":
			return c, result{}, true
		}
		// What was known may have become stale, or the instance may have left, while its limit's owner was asked.
		res, ok = r.checkBeliefs(ctx)
		if usable, _ := r.Tracker.Usable(c.ID); ok && usable {
			return c, result{}, true
		}
		r.Picker.Release(c, 0)
		if !ok {
			return c, res, false
		}
	}
}

// checkStop checks that the request may still be sent to an instance before the VM stops.
func (r *retrier) checkStop() (res result, ok bool) {
	switch {
	case r.stop.mayBegin(r.deadline):
		return result{}, true
	case r.mayHaveRun:
		return r.giveUp(), false
	}
	return stopping(), false
}

// releaseRefused ends a choice that the owner of the instance's limit did not admit. If the caller left, the owner was not heard.
func (r *retrier) releaseRefused(c balancer.Choice, d relayer.Admission) {
	if _, ok := r.checkCaller(); !ok {
		d.RetryAfter = 0
	}
	r.Picker.Release(c, d.RetryAfter)
}

// checkBeliefs waits for a recent view of the instances and checks the age of the configuration, and that neither the caller has
// left nor the VM stops.
func (r *retrier) checkBeliefs(ctx context.Context) (res result, ok bool) {
	if !r.awaitView(ctx) {
		if r.sent > 0 {
			return r.giveUp(), false
		}
		return unavailable(ReasonStale, "what this daemon knows of the instances is too old to send a request"), false
	}
	if res, ok = r.checkCaller(); !ok {
		return res, false
	}
	if res, ok = r.checkStop(); !ok {
		return res, false
	}
	if res, ok = r.checkKeyAge(); !ok && r.mayHaveRun {
		return r.giveUp(), false
	}
	return res, ok
}

// takeNoRequest is the detail of a request that finds only instances that may be available too late for it.
const takeNoRequest = "the instances take no request now"

// awaitToken waits until an instance whose limit is reached may have a token again; refused says that the request was just
// refused at one. If that is later than until, or there is no such instance, ok is false and res is the result of the request.
func (r *retrier) awaitToken(ctx context.Context, want balancer.Request, until time.Time, refused bool) (res result, ok bool) {
	wait, limited := r.Picker.NextAvailable(r.service, want)
	if !limited && !refused {
		return r.giveUp(), false
	}
	wait = max(wait, limitPause)
	if len(r.inFlight) > 0 || r.Clock.Now().Add(wait).After(until) {
		r.detail = takeNoRequest
		if r.mayHaveRun || r.sent > 0 {
			return r.giveUp(), false
		}
		res = unavailable(ReasonLimited, r.detail)
		res.retryAfter = jitteredRetryAfter(wait)
		return res, false
	}
	select {
	case <-ctx.Done():
		return r.interrupted(), false
	case <-r.Clock.After(wait):
	case <-r.stop.wake():
	}
	return r.checkBeliefs(ctx)
}

// maxLimitWait returns how long the request may wait for an instance whose limit is not reached. It is zero after the wait of
// another request failed.
func (x *exchange) maxLimitWait() time.Duration {
	if x.failedWaits.recent(x.service, x.Clock.Now()) {
		return 0
	}
	f := limitWaitNonIdempotent
	if x.route.Idempotent {
		f = limitWaitIdempotent
	}
	left := x.deadline.Sub(x.Clock.Now())
	return min(time.Duration(f*float64(x.route.Objective)), left/2)
}

// failedWaits holds, by service, when a request last waited for an instance and got none. It is safe for concurrent use.
type failedWaits struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (v *failedWaits) note(service string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at[service] = now
}

// recent reports whether the wait of a request failed within failedWaitTTL.
func (v *failedWaits) recent(service string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.at[service]
	return ok && now.Sub(at) < failedWaitTTL
}
