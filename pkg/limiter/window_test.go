package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

const span = 5 * time.Second

// TestWindowHolds takes tokens at random times, and checks every span of the window's length.
func TestWindowHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limiter.Limit{Rate: rapid.Float64Range(1, 200).Draw(t, "rate"), Burst: limiter.Tokens(rapid.Float64Range(1, 200).Draw(t, "burst"))}
		now := time.Unix(1_700_000_000, 0)
		w := limiter.NewWindow(now, span, l, 3)
		type grant struct {
			at time.Time
			n  int
		}
		var gs []grant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			gs = append(gs, grant{now, w.Take(now, rapid.IntRange(1, 400).Draw(t, "want"), 1)})
		}
		most := l.Refill(span) + l.Burst
		for i, g := range gs {
			sum := 0
			for _, h := range gs[i:] {
				if h.at.Sub(g.at) > span {
					break
				}
				sum += h.n
			}
			require.LessOrEqual(t, float64(sum), float64(most)+1e-6)
		}
	})
}

// TestWindowServesAnAccountThatAlwaysAsks has the burst's part in each span, as the limit allows.
func TestWindowServesAnAccountThatAlwaysAsks(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := limiter.Limit{Rate: 20, Burst: 20}
	w := limiter.NewWindow(now, span, l, 3)
	given := 0
	for i := range 6000 {
		now = now.Add(5 * time.Millisecond)
		n := w.Take(now, 1, 1)
		if i >= 2000 {
			given += n
		}
	}
	require.InDelta(t, 4*120, given, 25, "over 20 s")
}

// TestNewOwnerAddsLittle hands an account over while it asks without end.
func TestNewOwnerAddsLittle(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := limiter.Limit{Rate: 60, Burst: 60}
	old := limiter.NewWindow(now, span, l, 3)
	var grants []time.Time
	take := func(w *limiter.Window, d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(2 * time.Millisecond) {
			for range w.Take(now, 5, 1) {
				grants = append(grants, now)
			}
		}
	}
	take(old, 8*time.Second)
	take(limiter.NewWindow(now, span, l, 3+0.1*60), 8*time.Second)
	allowed := 1.1*(60*5+60) + 20
	for i, g := range grants {
		n := 0
		for _, h := range grants[i:] {
			if h.Sub(g) > span {
				break
			}
			n++
		}
		require.LessOrEqual(t, float64(n), allowed)
	}
}

func TestNextIsWhenTheTokenComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		l := limiter.Limit{Rate: rapid.Float64Range(1, 50).Draw(t, "rate"), Burst: limiter.Tokens(rapid.Float64Range(1, 50).Draw(t, "burst"))}
		w := limiter.NewWindow(now, span, l, 1)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			if w.Take(now, 1, 1) == 0 {
				now = now.Add(w.RetryAfter(now, 1) + time.Millisecond)
				require.Equal(t, 1, w.Take(now, 1, 1))
			}
		}
	})
}

// TestLowerLimitServesFromTheStart lowers the limit of an account that used all it had.
func TestLowerLimitServesFromTheStart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := limiter.NewWindow(now, span, limiter.Limit{Rate: 100, Burst: 100}, 100)
	serve := func(d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
			n += w.Take(now, 1, 1)
		}
		return n
	}
	serve(10 * time.Second)
	w.SetLimit(now, limiter.Limit{Rate: 10, Burst: 10})
	require.GreaterOrEqual(t, serve(time.Second), 8)
	serve(10 * time.Second)
	require.LessOrEqual(t, serve(span), 60)
}

// TestShareComesAndGoes gives less while the owner is in touch with a part of the fleet only; what was given
// before counts all the while.
func TestShareComesAndGoes(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := limiter.Limit{Rate: 50, Burst: 50}
	w := limiter.NewWindow(now, span, l, 3)
	var grants []time.Time
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		share := []float64{1, 0.3}[i/200%2]
		for range w.Take(now, 3, share) {
			grants = append(grants, now)
		}
	}
	for i, g := range grants {
		n := 0
		for _, h := range grants[i:] {
			if h.Sub(g) > span {
				break
			}
			n++
		}
		require.LessOrEqual(t, n, 300)
	}
}
