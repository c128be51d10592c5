package balancer

import (
	"math"
	"time"
)

// trafficWindow is the time constant with which counted requests are forgotten.
const trafficWindow = time.Second

// traffic counts the requests of all processes that ended lately, as far as this one knows them.
type traffic struct {
	n         float64
	decayedAt time.Time
}

// count adds n requests with an outcome, if it ended them.
func (t *traffic) count(now time.Time, o Outcome, n int) {
	switch o {
	case OutcomeAnswered, OutcomeError, OutcomeBroken, OutcomeUnreachable, OutcomeShed:
		t.decay(now)
		t.n += float64(n)
	case OutcomeOverdue, OutcomeCanceled, OutcomeMoved:
	}
}

// rate returns the number of requests per second.
func (t *traffic) rate(now time.Time) float64 {
	t.decay(now)
	return t.n / trafficWindow.Seconds()
}

func (t *traffic) decay(now time.Time) {
	if d := now.Sub(t.decayedAt); d > 0 {
		t.n *= math.Exp(-d.Seconds() / trafficWindow.Seconds())
		t.decayedAt = now
	}
}
