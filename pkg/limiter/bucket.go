package limiter

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

// Tokens is an amount of tokens; one token admits one request.
type Tokens float64

// epsilon is the tolerance for rounding errors in sums of tokens.
const epsilon Tokens = 1e-6

// Limit is a token rate and the burst allowed on top of it.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64 `json:"rate"`
	// Burst is the most tokens that can accumulate unused.
	Burst Tokens `json:"burst"`
}

// Share returns the limit of one of n equal shards of l.
func (l Limit) Share(n int) Limit {
	return Limit{Rate: l.Rate / float64(n), Burst: l.Burst / Tokens(n)}
}

// Refill returns the tokens that accrue over d, not capped at the burst.
func (l Limit) Refill(d time.Duration) Tokens { return Tokens(l.Rate * d.Seconds()) }

// Bucket is a token bucket. It asserts that the tokens granted never exceed its limit.
// It is not safe for concurrent use.
type Bucket struct {
	limit     Limit
	level     Tokens
	updatedAt time.Time
	initial   Tokens
	initialAt time.Time
	granted   Tokens
	// limitUnknown reports that the bucket was handed over and gets its limit from the first call of SetLimit.
	limitUnknown bool
}

// NewBucket returns a bucket that contains level tokens at now, at most the burst.
func NewBucket(now time.Time, l Limit, level Tokens) *Bucket {
	level = min(level, l.Burst)
	return &Bucket{limit: l, level: level, updatedAt: now, initial: level, initialAt: now}
}

// newFromHandoff returns a bucket whose limit is not known yet; once it is set, the bucket refills as from now.
func newFromHandoff(now time.Time, level Tokens) *Bucket {
	b := NewBucket(now, Limit{Burst: level}, level)
	b.limitUnknown = true
	return b
}

// SetLimit changes the limit from now on and caps the level at the new burst.
func (b *Bucket) SetLimit(now time.Time, l Limit) {
	if b.limitUnknown {
		*b = *NewBucket(b.updatedAt, l, b.level)
	}
	if l == b.limit {
		return
	}
	b.refill(now)
	*b = *NewBucket(now, l, b.level)
}

// Level returns the tokens in the bucket at now.
func (b *Bucket) Level(now time.Time) Tokens {
	b.refill(now)
	return b.level
}

// Take removes up to want tokens and returns how many it removed.
func (b *Bucket) Take(now time.Time, want Tokens, a *asserter.Asserter) Tokens {
	b.refill(now)
	got := max(0, min(want, b.level))
	b.level -= got
	b.granted += got
	b.check(now, a)
	return got
}

// Return puts back up to n tokens that were taken and not used, but no more than the burst allows.
func (b *Bucket) Return(now time.Time, n Tokens) {
	b.refill(now)
	n = max(0, min(n, b.granted, b.limit.Burst-b.level))
	b.level += n
	b.granted -= n
}

func (b *Bucket) refill(now time.Time) {
	d := now.Sub(b.updatedAt)
	if d <= 0 {
		return
	}
	b.level = min(b.limit.Burst, b.level+b.limit.Refill(d))
	b.updatedAt = now
}

func (b *Bucket) check(now time.Time, a *asserter.Asserter) {
	bound := b.initial + b.limit.Refill(now.Sub(b.initialAt)) + epsilon*(1+b.granted)
	a.Check(b.granted <= bound, asserter.RuleRate,
		"bucket granted %v tokens, but at most %v are allowed by limit %+v", b.granted, bound, b.limit)
}
