package picker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// Budget is one VM's share of a service's retry budget, which allows a ratio of the requests in a span plus a slack, over all
// VMs. Retries are earned by requests and with time, and those that are not used are kept up to a bound. In any span, a VM
// thus sends at most what it earns in it and what it kept from before. That also holds for all processes of a VM together,
// which begin with nothing, and for a fleet whose callers move to other VMs. A Budget is not safe for concurrent use.
type Budget struct {
	span         time.Duration
	ratio, slack float64
	requests     *limiter.WindowCounter
	retries      float64
	updatedAt    time.Time
}

// The parts of the ratio and of the slack that are earned, and up to which retries are kept. Each pair adds up to less than
// one; the rest is for requests that are counted in another window than their retries.
const (
	earnedRatioShare = 0.45
	keptRatioShare   = 0.5
	earnedSlackShare = 0.45
	keptSlackShare   = 0.5
)

// NewBudget returns the budget of one of n VMs whose process started at the given time: a ratio of the requests in a span,
// and the VM's part of the slack.
func NewBudget(started time.Time, span time.Duration, ratio, slack float64, n int) *Budget {
	b := &Budget{span: span, ratio: ratio, requests: limiter.NewWindowCounter(started, span), updatedAt: started}
	b.Resize(slack, n)
	return b
}

// Resize divides the slack among n VMs.
func (b *Budget) Resize(slack float64, n int) { b.slack = slack / float64(max(1, n)) }

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) {
	b.update(now)
	b.requests.Add(now, 1)
	b.retries += b.ratio * earnedRatioShare
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

// update adds what was earned with time, and drops what is not kept.
func (b *Budget) update(now time.Time) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.retries += b.slack * earnedSlackShare * d.Seconds() / b.span.Seconds()
		b.updatedAt = now
	}
	kept := b.ratio*keptRatioShare*float64(b.requests.Sum(now)) + b.slack*keptSlackShare
	b.retries = min(b.retries, kept)
}
