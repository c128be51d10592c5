package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
)

// honoredShare is the share of the time that callers have left up to which they honor a Retry-After.
const honoredShare = 1.0 / 3

// checkRoom decides whether the request may be sent while its service is short of room. If not, ok is false and res is its
// result.
func (x *exchange) checkRoom() (res result, ok bool) {
	x.Picker.CountOffered(x.service, x.level)
	d := x.Picker.AdmitRequest(x.service, x.level, x.account)
	x.Picker.CountAdmitted(x.service, x.level, d.Admitted)
	if d.Admitted {
		return result{}, true
	}
	return x.noRoom(d.RetryAfter), false
}

// noRoom refuses a request for want of room; retryAfter is the delay that the admission wants.
func (x *exchange) noRoom(retryAfter time.Duration) result {
	left := time.Duration(honoredShare * float64(x.deadline.Sub(x.Clock.Now())))
	return result{
		reason: ReasonNoRoom, status: http.StatusServiceUnavailable, retryAfter: max(minRetryAfter, min(retryAfter, left)),
		detail: "the service is short of room and other requests go first",
	}
}

// takeRetry takes a retry from the budget. Unless another attempt is in flight, it waits for one that is expected while an answer
// within the route's objective is possible. If there is none, ok is false and res is the result of the request.
func (r *retrier) takeRetry(ctx context.Context) (res result, ok bool) {
	waited := false
	if len(r.inFlight) > 0 {
		ok = r.Picker.TakeRetry(r.service)
	} else {
		ok, waited = r.awaitRetry(ctx)
	}
	switch {
	case ok && waited:
		return r.checkBeliefs(ctx) // What was known may have become stale.
	case ok:
		return result{}, true
	case r.req.Context().Err() != nil:
		return result{reason: ReasonCanceled}, false
	}
	r.detail = "the budget of retries is used up"
	return r.giveUp(), false
}

// awaitRetry waits for a retry, and reports whether it took one and whether it waited.
func (r *retrier) awaitRetry(ctx context.Context) (ok, waited bool) {
	t := admitter.Try{Level: r.level, RoutePriority: r.route.Priority, Once: !r.route.Idempotent}
	if r.account != nil {
		t.Account = r.account.Name
	}
	limit := r.arrivedAt.Add(r.route.Objective)
	if r.deadline.Before(limit) {
		limit = r.deadline
	}
	k := r.Picker.JoinRetries(r.service, r.route, t, limit)
	defer r.Picker.LeaveRetries(r.service, k)
	for {
		turn, wait := r.Picker.RetryTurn(r.service, k)
		if turn != admitter.TurnWait {
			return turn == admitter.TurnTake, waited
		}
		waited = true
		select {
		case <-ctx.Done():
			return false, true
		case <-r.Clock.After(wait):
		case <-r.stop.wake():
		}
		if !r.stop.mayBegin(r.deadline) {
			return false, true
		}
	}
}
