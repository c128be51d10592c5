package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

const window = 5 * time.Second

// TestWindowLimiterNeverExceedsLimit takes tokens at random times and checks each window that begins with a grant.
func TestWindowLimiterNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limiter.Limit{Rate: rapid.Float64Range(1, 200).Draw(t, "rate"), Burst: limiter.Tokens(rapid.Float64Range(1, 200).Draw(t, "burst"))}
		now := time.Unix(1_700_000_000, 0)
		w := limiter.NewWindowLimiter(now, window, l, 3)
		type grant struct {
			at time.Time
			n  int
		}
		var gs []grant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			gs = append(gs, grant{now, w.Take(now, rapid.IntRange(1, 400).Draw(t, "want"))})
		}
		most := l.Refill(window) + l.Burst
		for i, g := range gs {
			sum := 0
			for _, h := range gs[i:] {
				if h.at.Sub(g.at) > window {
					break
				}
				sum += h.n
			}
			require.LessOrEqual(t, float64(sum), float64(most)+1e-6)
		}
	})
}

// TestWindowLimiterGrantsBurstInEachWindow checks that an account with constant demand gets the burst again in
// each window: 20 per second and a burst of 20 make 120 tokens in 5 s.
func TestWindowLimiterGrantsBurstInEachWindow(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := limiter.Limit{Rate: 20, Burst: 20}
	w := limiter.NewWindowLimiter(now, window, l, 3)
	granted := 0
	for i := range 6000 {
		now = now.Add(5 * time.Millisecond)
		n := w.Take(now, 1)
		if i >= 2000 {
			granted += n
		}
	}
	require.InDelta(t, 4*120, granted, 25, "over 20 s")
}

// TestOwnerChangeStaysNearLimit moves an account with constant demand to a new owner, which does not know what the
// old one granted. The two together may exceed the limit of a window by 10 % and 20 tokens.
func TestOwnerChangeStaysNearLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := limiter.Limit{Rate: 60, Burst: 60}
	old := limiter.NewWindowLimiter(now, window, l, 3)
	var grants []time.Time
	take := func(w *limiter.WindowLimiter, d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(2 * time.Millisecond) {
			for range w.Take(now, 5) {
				grants = append(grants, now)
			}
		}
	}
	take(old, 8*time.Second)
	take(limiter.NewWindowLimiter(now, window, l, 3+0.1*60), 8*time.Second)
	allowed := 1.1*(60*5+60) + 20
	for i, g := range grants {
		n := 0
		for _, h := range grants[i:] {
			if h.Sub(g) > window {
				break
			}
			n++
		}
		require.LessOrEqual(t, float64(n), allowed)
	}
}

func TestRetryAfterMatchesNextToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		l := limiter.Limit{Rate: rapid.Float64Range(1, 50).Draw(t, "rate"), Burst: limiter.Tokens(rapid.Float64Range(1, 50).Draw(t, "burst"))}
		w := limiter.NewWindowLimiter(now, window, l, 1)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			if w.Take(now, 1) == 0 {
				now = now.Add(w.RetryAfter(now) + time.Millisecond)
				require.Equal(t, 1, w.Take(now, 1))
			}
		}
	})
}

// TestLoweredLimitGrantsImmediately lowers the limit of an account that used up the old one. The account must get
// tokens of the new limit at once, and no more than that limit later.
func TestLoweredLimitGrantsImmediately(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := limiter.NewWindowLimiter(now, window, limiter.Limit{Rate: 100, Burst: 100}, 100)
	serve := func(d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
			n += w.Take(now, 1)
		}
		return n
	}
	serve(10 * time.Second)
	w.SetLimit(now, limiter.Limit{Rate: 10, Burst: 10})
	require.GreaterOrEqual(t, serve(time.Second), 8)
	serve(10 * time.Second)
	require.LessOrEqual(t, serve(window), 60)
}

// TestChangingShareStaysWithinLimit lowers the share whenever the owner is in contact with only a part of the fleet.
// Tokens granted at any share count against the limit.
func TestChangingShareStaysWithinLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := limiter.Limit{Rate: 50, Burst: 50}
	w := limiter.NewWindowLimiter(now, window, l, 3)
	var grants []time.Time
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		share := []float64{1, 0.3}[i/200%2]
		w.SetShare(now, share)
		for range w.Take(now, 3) {
			grants = append(grants, now)
		}
	}
	for i, g := range grants {
		n := 0
		for _, h := range grants[i:] {
			if h.Sub(g) > window {
				break
			}
			n++
		}
		require.LessOrEqual(t, n, 300)
	}
}

// TestReportsRefuseNoAccountWithinItsLimit lets the owner that returns know what another granted within the rate; an account
// that goes on within it is served as without the report.
func TestReportsRefuseNoAccountWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		l := limiter.Limit{Rate: rapid.Float64Range(5, 200).Draw(t, "rate"), Burst: limiter.Tokens(rapid.Float64Range(1, 200).Draw(t, "burst"))}
		told, untold := limiter.NewWindowLimiter(now, window, l, 3), limiter.NewWindowLimiter(now, window, l, 3)
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		told.SetShare(now, share)
		untold.SetShare(now, share)
		now = now.Add(8 * time.Second)
		counts := make([]limiter.Tokens, 50)
		used := rapid.Float64Range(0, 0.95).Draw(t, "used")
		for i := range counts {
			counts[i] = limiter.Tokens(used*l.Rate) * limiter.Tokens(window.Seconds()) / 50
		}
		told.Report(now, placer.VM{Incarnation: 1}, counts, window/50)
		told.Report(now, placer.VM{Incarnation: 1}, counts, window/50) // Repeated reports count once.
		told.SetShare(now, 1)
		untold.SetShare(now, 1)
		due := 0.0
		for range 500 {
			now = now.Add(20 * time.Millisecond)
			for due += used * l.Rate * 0.02; due >= 1; due-- {
				require.Equal(t, untold.Take(now, 1), told.Take(now, 1))
			}
		}
	})
}

// TestReportedTokensCountUntilTheyLeaveTheWindow reports a whole window of tokens, granted half a window ago.
func TestReportedTokensCountUntilTheyLeaveTheWindow(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := limiter.Limit{Rate: 20, Burst: 20}
	w := limiter.NewWindowLimiter(now, window, l, 120)
	counts := make([]limiter.Tokens, 51)
	counts[25] = 120
	now = now.Add(8 * time.Second)
	w.Report(now, placer.VM{Incarnation: 1}, counts, window/50)
	require.Zero(t, w.Take(now, 1))
	require.InDelta(t, 2.5, w.RetryAfter(now).Seconds(), 0.2)
	require.Zero(t, w.Take(now.Add(2400*time.Millisecond), 1))
	require.Equal(t, 1, w.Take(now.Add(2700*time.Millisecond), 1))
}
