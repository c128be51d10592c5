package limiter

const (
	// What all VMs together send in a second to an instance that warms up is at most warmupFactor times the rate that the owner
	// of its limit grants, and warmupTokens requests: docs/PLATFORM.md has the sum.
	warmupFactor = 1.98
	warmupTokens = 2
	// minWarmupShare is the least share of a warm-up rate that is granted, however tight the bound.
	minWarmupShare = 0.1
)

// WarmupBound bounds the requests that all VMs together send in any second to an instance that warms up: Overshoot times its
// warm-up rate, plus Slack requests. The zero value sets no bound.
type WarmupBound struct {
	Overshoot, Slack float64
}

// Rate returns the rate to grant for a warm-up rate, in requests per second: no more than that, and no more than keeps the bound.
func (b WarmupBound) Rate(rate float64) float64 {
	if b == (WarmupBound{}) {
		return rate
	}
	return min(rate, max(minWarmupShare*rate, (b.Overshoot*rate+b.Slack-warmupTokens)/warmupFactor))
}
