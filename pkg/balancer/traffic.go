package balancer

import (
	"math"
	"time"
)

const (
	// trafficWindow is the time constant with which counted requests are forgotten.
	trafficWindow = time.Second
	// ownWindow is that of the requests of this process, which are fewer.
	ownWindow = 2 * time.Second
)

// traffic counts the service's requests.
type traffic struct {
	// answered and failed are attempts of all processes that ended lately, as far as this one knows them.
	answered, failed float64
	// picked and rejected are requests of this process: those for which an instance was picked, and those that it rejected
	// without one.
	picked, rejected float64
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

// failedShare returns the share of the attempts that failed.
func (t *traffic) failedShare(now time.Time) float64 {
	t.decay(now)
	return t.failed / max(1, t.answered+t.failed)
}

// rejectedShare returns the share of the requests of this process that it rejected.
func (t *traffic) rejectedShare(now time.Time) float64 {
	t.decay(now)
	return t.rejected / max(1, t.picked+t.rejected)
}

func (t *traffic) decay(now time.Time) {
	if d := now.Sub(t.decayedAt); d > 0 {
		f := math.Exp(-d.Seconds() / trafficWindow.Seconds())
		t.answered *= f
		t.failed *= f
		f = math.Exp(-d.Seconds() / ownWindow.Seconds())
		t.picked *= f
		t.rejected *= f
		t.decayedAt = now
	}
}
