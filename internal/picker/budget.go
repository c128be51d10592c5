package picker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// Budget is one VM's share of a service's retry budget, which allows a ratio of the requests in a span plus a slack, over all
// VMs. Retries are earned by requests and with time, and those that are not used are kept up to a bound. In any span, a VM
// thus sends at most what it earns in it and what it kept from before. That also holds for all processes of a VM together,
// which begin with nothing, and for a fleet whose callers move to other VMs. A VM that kept little for a whole span earns
// more, so that a long spell of failures gets more of the budget. A Budget is not safe for concurrent use.
type Budget struct {
	span         time.Duration
	ratio, slack float64
	requests     *limiter.WindowCounter
	retries      float64
	updatedAt    time.Time
	// kept records what this VM kept, and fleetKept what all VMs did, which was noted last at fleetNotedAt.
	kept, fleetKept *keptRecord
	fleetNotedAt    time.Time
}

// The parts of the ratio and of the slack that are earned, and up to which retries are kept. The part that is earned and the
// most that was kept within the span add up to less than one; the rest is for requests that are counted in another window than
// their retries. A VM that knows what all VMs kept goes by that. One that does not goes by what it kept itself, and earns less,
// since callers of VMs that kept theirs may move to it.
const (
	minEarnedShare = 0.45
	maxEarnedShare = 0.7
	maxKeptShare   = 0.5
	usedShare      = 0.95
	// What the fleet kept is known a second late; only in that second of a span of 10 s does a VM earn too much.
	usedFleetShare      = 0.92
	maxFleetEarnedShare = 0.85
	maxFleetKeptAge     = 2 * time.Second
)

// NewBudget returns the budget of one of n VMs whose process started at the given time: a ratio of the requests in a span,
// and the VM's part of the slack.
func NewBudget(started time.Time, span time.Duration, ratio, slack float64, n int) *Budget {
	b := &Budget{span: span, ratio: ratio, requests: limiter.NewWindowCounter(started, span), updatedAt: started}
	// An earlier process may have kept as much as is allowed.
	b.kept, b.fleetKept = newKeptRecord(started, span, maxKeptShare), newKeptRecord(started, span, maxKeptShare)
	b.Resize(slack, n)
	return b
}

// Resize divides the slack among n VMs.
func (b *Budget) Resize(slack float64, n int) { b.slack = slack / float64(max(1, n)) }

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) {
	b.update(now)
	b.requests.Add(now, 1)
	b.retries += b.ratio * b.earnedShare(now)
	b.noteKept(now)
}

// Take takes one retry, and reports whether one was left.
func (b *Budget) Take(now time.Time) bool {
	b.update(now)
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// Left returns the number of retries left.
func (b *Budget) Left(now time.Time) float64 {
	b.update(now)
	return b.retries
}

// EarnedPerSecond returns the number of retries that are earned per second at the current rate of requests.
func (b *Budget) EarnedPerSecond(now time.Time) float64 {
	b.update(now)
	return b.whole(now) * b.earnedShare(now) / b.span.Seconds()
}

// whole returns the budget of the span that ends at now.
func (b *Budget) whole(now time.Time) float64 {
	return b.ratio*float64(b.requests.Sum(now)) + b.slack
}

// clone returns a copy that shares nothing with the budget.
func (b *Budget) clone() *Budget {
	c, kept, fleetKept := *b, *b.kept, *b.fleetKept
	c.requests, c.kept, c.fleetKept = b.requests.Clone(), &kept, &fleetKept
	return &c
}

// update adds what was earned with time, and drops what is not kept.
func (b *Budget) update(now time.Time) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.retries += b.slack * b.earnedShare(now) * d.Seconds() / b.span.Seconds()
		b.updatedAt = now
	}
	b.retries = min(b.retries, maxKeptShare*b.whole(now))
	b.noteKept(now)
}

// earnedShare returns the part of the ratio and of the slack that is earned now.
func (b *Budget) earnedShare(now time.Time) float64 {
	if now.Sub(b.fleetNotedAt) < maxFleetKeptAge {
		return min(maxFleetEarnedShare, max(minEarnedShare, usedFleetShare-b.fleetKept.max()))
	}
	return min(maxEarnedShare, max(minEarnedShare, usedShare-b.kept.max()))
}

// NoteFleetKept records the share of the budget that all VMs together have kept.
func (b *Budget) NoteFleetKept(now time.Time, share float64) {
	b.update(now)
	b.fleetKept.note(now, min(maxKeptShare, share), maxKeptShare)
	b.fleetNotedAt = now
}

// noteKept records what is kept now. Nothing was added to it since it was noted last.
func (b *Budget) noteKept(now time.Time) {
	k := maxKeptShare
	if w := b.whole(now); w > 0 {
		k = min(k, b.retries/w)
	}
	b.kept.note(now, k, 0)
}
