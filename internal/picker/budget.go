package picker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// Budget is one VM's share of a service's retry budget. In any span, the retries are at most a ratio of the requests in
// that span plus a share of the slack. Each VM keeps within its own share, so the sum over all VMs keeps within the
// budget. A process does not know which retries the one before it on its VM sent, so its share of the slack accrues over
// its first span: however often a VM starts, its processes together use at most two shares in a span. A Budget is not safe
// for concurrent use.
type Budget struct {
	started           time.Time
	span              time.Duration
	ratio, slack      float64
	requests, retries *limiter.WindowCounter
}

const (
	// ratioShare is the part of the allowed ratio that is used; the rest is for requests that are counted in another
	// window than their retries.
	ratioShare = 0.9
	// slackShare is the part of the allowed slack that is divided among the VMs. The processes of a VM use up to two shares in
	// a span.
	slackShare = 0.5
)

// NewBudget returns the budget of one of n VMs whose process started at the given time: a ratio of the requests in a span,
// and the VM's part of the slack.
func NewBudget(started time.Time, span time.Duration, ratio, slack float64, n int) *Budget {
	b := &Budget{
		started: started, span: span, ratio: ratio * ratioShare,
		requests: limiter.NewWindowCounter(started, span), retries: limiter.NewWindowCounter(started, span),
	}
	b.Resize(slack, n)
	return b
}

// Resize divides the slack among n VMs.
func (b *Budget) Resize(slack float64, n int) { b.slack = slack * slackShare / float64(max(1, n)) }

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) { b.requests.Add(now, 1) }

// Take takes one retry, and reports whether one was left.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

// Left returns the number of retries left.
func (b *Budget) Left(now time.Time) float64 {
	accrued := min(1, now.Sub(b.started).Seconds()/b.span.Seconds())
	return b.slack*accrued + b.ratio*float64(b.requests.Sum(now)) - float64(b.retries.Sum(now))
}
