package balancer

import (
	"slices"
	"time"
)

const (
	// While instances have limits, the others get no more than maxQueue requests for each of their slots: what the limits
	// keep away would fill their queues. fullRetryInterval is the time until one that is full may have room.
	maxQueue          = 2
	fullRetryInterval = 30 * time.Millisecond
)

// hasRoom reports whether a request may be sent to an instance now as far as limits and pauses are concerned.
func (b *Balancer) hasRoom(now time.Time, s *state, r Request) bool {
	if now.Before(s.pausedUntil) {
		return false
	}
	if s.Limit > 0 {
		return !r.AvoidLimited && !now.Before(s.withheldUntil)
	}
	return !b.limited || s.load(now) < maxQueue*max(1, s.Slots)
}

// available reports whether an instance that has room may get a request. While instances have limits, one that fails would
// attract what these keep away, since it has few requests in flight; it gets trials only.
func (b *Balancer) available(now time.Time, s *state, r Request) bool {
	return b.hasRoom(now, s, r) && (!b.limited || s.evidence < suspectThreshold)
}

// Release ends a choice of Pick for which no request was sent. The instance is not picked again before a given time.
func (b *Balancer) Release(c Choice, until time.Time) {
	if s := b.unassign(c); s != nil {
		s.withheldUntil = until
	}
}

// NextAvailable returns the earliest time at which an instance that is not available now may be picked for a request; ok is
// false if there is none that the request has not tried.
func (b *Balancer) NextAvailable(now time.Time, r Request) (at time.Time, ok bool) {
	for _, s := range b.order {
		if b.hasRoom(now, s, r) || r.AvoidLimited && s.Limit > 0 || slices.Contains(r.Tried, s.ID) {
			continue
		}
		next := now.Add(fullRetryInterval)
		if s.Limit > 0 {
			next = s.withheldUntil
		}
		if next.Before(s.pausedUntil) {
			next = s.pausedUntil
		}
		if !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	return at, ok
}
