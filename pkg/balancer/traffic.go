package balancer

import (
	"math"
	"time"
)

// trafficWindow is the time constant with which counted requests are forgotten.
const trafficWindow = time.Second

// traffic counts the requests of all processes that ended lately, as far as this one knows them.
type traffic struct {
	answered, failed float64
	decayedAt        time.Time
}

// count adds n requests with the outcome o.
func (t *traffic) count(now time.Time, o Outcome, n int) {
	t.decay(now)
	switch o {
	case OutcomeAnswered:
		t.answered += float64(n)
	case OutcomeError, OutcomeBroken, OutcomeUnreachable, OutcomeShed:
		t.failed += float64(n)
	case OutcomeOverdue, OutcomeCanceled, OutcomeMoved:
	}
}

// rate returns the number of requests per second.
func (t *traffic) rate(now time.Time) float64 {
	t.decay(now)
	return (t.answered + t.failed) / trafficWindow.Seconds()
}

// failedShare returns the share of the requests that failed.
func (t *traffic) failedShare(now time.Time) float64 {
	t.decay(now)
	return t.failed / max(1, t.answered+t.failed)
}

func (t *traffic) decay(now time.Time) {
	if d := now.Sub(t.decayedAt); d > 0 {
		f := math.Exp(-d.Seconds() / trafficWindow.Seconds())
		t.answered *= f
		t.failed *= f
		t.decayedAt = now
	}
}
