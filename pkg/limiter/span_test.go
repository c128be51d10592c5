package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// TestSpanCountsWhatIsInIt compares a span with a list of all that happened: it holds all of the span, and
// nothing that is more than a slot older.
func TestSpanCountsWhatIsInIt(t *testing.T) {
	const length, slot = 10 * time.Second, 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, rapid.Int64Range(0, 1e9).Draw(t, "offset"))
		s := limiter.NewWindowCounter(now, length)
		type event struct {
			at time.Time
			n  limiter.Tokens
		}
		var all []event
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "pause")))
			n := limiter.Tokens(rapid.IntRange(0, 5).Draw(t, "n"))
			s.Add(now, n)
			all = append(all, event{now, n})
			var least, most limiter.Tokens
			for _, e := range all {
				if now.Sub(e.at) < length {
					least += e.n
				}
				if now.Sub(e.at) <= length+slot {
					most += e.n
				}
			}
			require.GreaterOrEqual(t, s.Sum(now), least)
			require.LessOrEqual(t, s.Sum(now), most)
		}
		s.Scale(0.5)
		require.Zero(t, s.Sum(now.Add(time.Hour)))
	})
}
