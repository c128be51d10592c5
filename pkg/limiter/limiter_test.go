package limiter_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
)

// owners answers asks from one bucket a shard, as the owners of a healthy fleet do.
type owners struct {
	mu      sync.Mutex
	clock   clockwork.Clock
	buckets map[mapper.Shard]*limiter.Bucket
	dead    map[mapper.Shard]bool
	asks    int
}

func newOwners(clock clockwork.Clock, l limiter.Limit, shards []mapper.Shard) *owners {
	o := &owners{clock: clock, buckets: map[mapper.Shard]*limiter.Bucket{}, dead: map[mapper.Shard]bool{}}
	for _, s := range shards {
		share := l.Share(len(shards))
		o.buckets[s] = limiter.NewBucket(clock.Now(), share, share.Burst)
	}
	return o
}

func (o *owners) Acquire(_ context.Context, _ string, shard mapper.Shard, want limiter.Tokens) (limiter.Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asks++
	if o.dead[shard] {
		return limiter.Grant{}, limiter.ErrNotOwner
	}
	now := o.clock.Now()
	got := o.buckets[shard].Take(now, want, nil)
	return limiter.Grant{Tokens: got, Left: o.buckets[shard].Level(now)}, nil
}

func (o *owners) Return(_ string, shard mapper.Shard, n limiter.Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buckets[shard].Return(o.clock.Now(), n)
}

var four = mapper.Shards([]string{"a", "b", "c", "d"})[:4]

func TestCollectorGivesWholeBurstInPieces(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limit := limiter.Limit{Rate: 1, Burst: 3}
	c := limiter.NewCollector("x", limit, four, 1, newOwners(clock, limit, four), clock)
	for range 3 {
		require.NoError(t, c.Admit(t.Context()), "3 tokens stand in 4 shards of 0.75")
	}
	require.ErrorIs(t, c.Admit(t.Context()), limiter.ErrOverRate)
	clock.Advance(c.RetryAfter() + time.Millisecond)
	require.NoError(t, c.Admit(t.Context()))
}

func TestCollectorAsksNothingOverTheRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limit := limiter.Limit{Rate: 1, Burst: 1}
	o := newOwners(clock, limit, four)
	c := limiter.NewCollector("x", limit, four, 1, o, clock)
	require.NoError(t, c.Admit(t.Context()))
	asks := o.asks
	for range 100 {
		require.ErrorIs(t, c.Admit(t.Context()), limiter.ErrOverRate)
	}
	require.Equal(t, asks, o.asks)
}

func TestCollectorPassesOverLostShard(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limit := limiter.Limit{Rate: 100, Burst: 100}
	o := newOwners(clock, limit, four)
	o.dead[four[0]] = true
	c := limiter.NewCollector("x", limit, four, 1, o, clock)
	for range 1000 {
		clock.Advance(time.Second / 70)
		require.NoError(t, c.Admit(t.Context()), "70 of 100 a second while one shard of four is lost")
	}
	for _, s := range four {
		o.dead[s] = true
	}
	require.ErrorIs(t, c.Admit(t.Context()), limiter.ErrNoOwner)
}

func TestCollectorServesAllThatWait(t *testing.T) {
	clock := clockwork.NewRealClock()
	limit := limiter.Limit{Rate: 0.001, Burst: 40}
	c := limiter.NewCollector("x", limit, four, 1, newOwners(clock, limit, four), clock)
	var wg sync.WaitGroup
	var mu sync.Mutex
	admitted := 0
	for i := range 60 {
		ctx, cancel := context.WithCancel(t.Context())
		if i%10 == 0 {
			cancel()
		}
		wg.Go(func() {
			defer cancel()
			if c.Admit(ctx) == nil {
				mu.Lock()
				defer mu.Unlock()
				admitted++
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, admitted, 40)
	require.GreaterOrEqual(t, admitted, 34, "those that gave up took few tokens with them")
}

func TestBucketKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := limiter.Limit{Rate: rapid.Float64Range(0.1, 1000).Draw(t, "rate"), Burst: limiter.Tokens(rapid.IntRange(1, 100).Draw(t, "burst"))}
		now := time.Unix(0, 0)
		b := limiter.NewBucket(now, limit, limit.Burst)
		level := limit.Burst
		for range 100 {
			d := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "wait"))
			now = now.Add(d)
			level = min(limit.Burst, level+limit.Refill(d))
			got := b.Take(now, limiter.Tokens(rapid.Float64Range(0, 50).Draw(t, "want")), nil)
			level -= got
			require.GreaterOrEqual(t, float64(level), -1e-6)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				limit.Rate *= rapid.Float64Range(0.1, 10).Draw(t, "factor")
				limit.Burst = limiter.Tokens(rapid.IntRange(1, 100).Draw(t, "new burst"))
				b.SetLimit(now, limit)
				level = min(level, limit.Burst)
			}
			if rapid.Bool().Draw(t, "return") {
				b.Return(now, got/2)
				level = min(limit.Burst, level+got/2)
			}
		}
	})
}

func ExampleBucket() {
	now := time.Unix(0, 0)
	b := limiter.NewBucket(now, limiter.Limit{Rate: 10, Burst: 5}, 5)
	fmt.Println(b.Take(now, 8, nil))
	fmt.Println(b.Take(now.Add(200*time.Millisecond), 8, nil))
	// Output:
	// 5
	// 2
}

func BenchmarkCollectorAdmit(b *testing.B) {
	clock := clockwork.NewRealClock()
	limit := limiter.Limit{Rate: 1e9, Burst: 1e9}
	c := limiter.NewCollector("x", limit, four, 1, newOwners(clock, limit, four), clock)
	for b.Loop() {
		_ = c.Admit(b.Context())
	}
}
