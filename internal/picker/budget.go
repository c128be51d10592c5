package picker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// Budget is one VM's share of a service's budget of retries. In any span, the retries are at most a part of
// the requests in that span, and a share of the slack. Each VM keeps its share by itself, so the sum over all
// VMs keeps the rule.
type Budget struct {
	ratio, slack      float64
	requests, retries *limiter.WindowCounter
}

const (
	// ratioShare is the part of the allowed ratio that is used; the rest is for requests that are
	// counted in another window than their retries.
	ratioShare = 0.9
	// slackShare is the part of the allowed slack that the VMs divide; the rest is for VMs that restart
	// and begin with a full share.
	slackShare = 0.6
)

// NewBudget returns the budget of one of n VMs: a ratio of the requests of a span, and the VM's part of a slack.
func NewBudget(now time.Time, span time.Duration, ratio, slack float64, n int) *Budget {
	b := &Budget{ratio: ratio * ratioShare, requests: limiter.NewWindowCounter(now, span), retries: limiter.NewWindowCounter(now, span)}
	b.Resize(slack, n)
	return b
}

// Resize divides the slack among n VMs.
func (b *Budget) Resize(slack float64, n int) { b.slack = slack * slackShare / float64(max(1, n)) }

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) { b.requests.Add(now, 1) }

// Take takes one retry, and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

// Left returns how many retries there are.
func (b *Budget) Left(now time.Time) float64 {
	return b.slack + b.ratio*float64(b.requests.Sum(now)) - float64(b.retries.Sum(now))
}
