package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRateOfAWarmupKeepsItsBound(t *testing.T) {
	require.InDelta(t, 7, WarmupBound{}.Rate(7), 0)
	require.InDelta(t, 5.5, WarmupBound{Overshoot: 1.5, Slack: 8}.Rate(5.5), 0, "the whole rate where the bound allows it")
	rapid.Check(t, func(t *rapid.T) {
		b := WarmupBound{Overshoot: rapid.Float64Range(1, 3).Draw(t, "overshoot"), Slack: rapid.Float64Range(2, 20).Draw(t, "slack")}
		rate := rapid.Float64Range(0.1, 1000).Draw(t, "rate")
		got := b.Rate(rate)
		require.LessOrEqual(t, got, rate)
		require.Positive(t, got)
		require.LessOrEqual(t, warmupFactor*got+warmupTokens, b.Overshoot*rate+b.Slack+1e-9)
	})
}
