package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
)

const (
	// tokenTTL is how long a collected token may be used.
	tokenTTL = 250 * time.Millisecond
	// initialBackoff and maxPause bound how long a shard is passed over after its owner failed to
	// answer; the pause doubles with each failure in a row.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxTokensPerRequest bounds the tokens of one ask.
	maxTokensPerRequest = 64
)

// ErrOverRate is returned by Collector.Admit when all shards together lack a token.
var ErrOverRate = errors.New("over the rate")

// ErrNoOwner is returned by Collector.Admit when no owner of a shard can be reached.
var ErrNoOwner = errors.New("no owner of the account's rate can be reached")

// Asker reaches the owners of an account's shards.
type Asker interface {
	// Ask takes up to want tokens from a shard.
	Ask(ctx context.Context, account string, s mapper.Shard, want Tokens) (Grant, error)
	// Return puts tokens back; it is best effort and must not block.
	Return(account string, s mapper.Shard, n Tokens)
}

// Collector gathers tokens of one account for the requests that wait at one VM.
// It asks only for requests that wait, one ask at a time, so asks coalesce under
// load. Asks run on the goroutines of the waiting requests.
type Collector struct {
	mu      sync.Mutex
	account string
	limit   Limit
	shards  []*shard
	// preferred is how many of the first shards are preferred, and turn which of them is next.
	preferred  int
	roundRobin int
	asker      Asker
	clock      clockwork.Clock
	waiters    []*waiter
	hasLeader  bool
}

type shard struct {
	id mapper.Shard
	// remaining is what the owner had remaining at seenAt, an upper bound of what it has but for refill.
	remaining      Tokens
	observedAt     time.Time
	remainingKnown bool
	// collected are tokens collected from the shard at heldAt and not used yet.
	collected   Tokens
	collectedAt time.Time
	failedAt    time.Time
	failures    int
}

type waiter struct {
	tried    map[mapper.Shard]bool
	done     chan struct{}
	err      error
	promoted chan struct{}
}

// NewCollector returns a collector for an account with the given whole limit, split
// evenly over the shards; the first ones, as many as near says, are asked before the others.
func NewCollector(account string, l Limit, shards []mapper.Shard, preferred int, asker Asker, clock clockwork.Clock) *Collector {
	c := &Collector{account: account, limit: l, preferred: preferred, asker: asker, clock: clock}
	for _, s := range shards {
		c.shards = append(c.shards, &shard{id: s})
	}
	return c
}

// SetLimit changes the account's whole limit.
func (c *Collector) SetLimit(l Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == c.limit {
		return
	}
	c.limit = l
	for _, s := range c.shards {
		s.remainingKnown = false
	}
}

// Admit waits for a token. It returns ErrOverRate if the shards lack one, ErrNoOwner if none
// can be asked, or the context's error.
func (c *Collector) Admit(ctx context.Context) error {
	c.mu.Lock()
	if c.available(c.clock.Now()) < 1-epsilon {
		defer c.mu.Unlock()
		return c.refusalError()
	}
	w := &waiter{tried: map[mapper.Shard]bool{}, done: make(chan struct{}), promoted: make(chan struct{}, 1)}
	c.waiters = append(c.waiters, w)
	if !c.hasLeader {
		c.hasLeader = true
		w.promoted <- struct{}{}
	}
	c.mu.Unlock()
	for {
		select {
		case <-w.done:
			return w.err
		case <-ctx.Done():
			return c.abandon(w, ctx.Err())
		case <-w.promoted:
			c.lead(ctx, w)
		}
	}
}

// RetryAfter returns how long until the shards may have a whole token.
func (c *Collector) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := 1 - c.available(c.clock.Now())
	if missing <= 0 || c.limit.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(missing) / c.limit.Rate * float64(time.Second))
}

// available bounds from above what this VM could collect now.
func (c *Collector) available(now time.Time) Tokens {
	sum := Tokens(0)
	share := c.limit.Share(len(c.shards))
	for _, s := range c.shards {
		sum += s.usable(now) + s.estimate(now, share)
	}
	return sum
}

func (s *shard) usable(now time.Time) Tokens {
	if now.Sub(s.collectedAt) > tokenTTL {
		return 0
	}
	return s.collected
}

func (s *shard) estimate(now time.Time, share Limit) Tokens {
	switch {
	case s.failures > 0 && now.Sub(s.failedAt) < s.backoff():
		return 0
	case !s.remainingKnown:
		return share.Burst
	}
	return min(share.Burst, s.remaining+share.Refill(now.Sub(s.observedAt)))
}

func (s *shard) backoff() time.Duration {
	return min(maxBackoff, initialBackoff<<min(s.failures-1, 8))
}

// lead asks one shard after another until w is decided, then passes the lead on.
func (c *Collector) lead(ctx context.Context, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !w.finished() && ctx.Err() == nil {
		c.serveWaiters(c.clock.Now())
		if w.finished() {
			break
		}
		s := c.nextShard(w)
		if s == nil {
			c.reject(w)
			break
		}
		c.acquire(ctx, s)
	}
	c.passLeadership()
}

func (w *waiter) finished() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// nextShard returns a shard that w has not asked: one of the near ones in turn that may have a
// token, or else the one with the most.
func (c *Collector) nextShard(w *waiter) *shard {
	now := c.clock.Now()
	share := c.limit.Share(len(c.shards))
	c.roundRobin++
	for n := range c.preferred {
		s := c.shards[(c.roundRobin+n)%c.preferred]
		if !w.tried[s.id] && s.estimate(now, share) >= min(1, share.Burst) {
			return s
		}
	}
	var best *shard
	for _, s := range c.shards {
		if e := s.estimate(now, share); !w.tried[s.id] && e > epsilon && (best == nil || e > best.estimate(now, share)) {
			best = s
		}
	}
	return best
}

func (c *Collector) acquire(ctx context.Context, s *shard) {
	now := c.clock.Now()
	want := Tokens(len(c.waiters))
	for _, h := range c.shards {
		want -= h.usable(now)
	}
	want = min(max(want, 0), maxTokensPerRequest)
	for _, w := range c.waiters {
		w.tried[s.id] = true
	}
	c.mu.Unlock()
	g, err := c.asker.Ask(ctx, c.account, s.id, want)
	c.mu.Lock()
	if err != nil {
		if ctx.Err() == nil {
			s.failedAt = c.clock.Now()
			s.failures++
		}
		return
	}
	s.remaining, s.observedAt, s.remainingKnown, s.failures = g.Left, now, true, 0
	s.expire(now)
	s.collected += g.Tokens
	s.collectedAt = now
}

// expire forgets tokens that are too old to be used.
func (s *shard) expire(now time.Time) {
	if now.Sub(s.collectedAt) > tokenTTL {
		s.collected = 0
	}
}

// serveWaiters gives held tokens to the waiters, the oldest first.
func (c *Collector) serveWaiters(now time.Time) {
	for len(c.waiters) > 0 && c.spend(now) {
		w := c.waiters[0]
		c.waiters = c.waiters[1:]
		close(w.done)
	}
}

// spend spends one held token, collected from as many shards as it takes.
func (c *Collector) spend(now time.Time) bool {
	sum := Tokens(0)
	for _, s := range c.shards {
		s.expire(now)
		sum += s.collected
	}
	if sum < 1-epsilon {
		return false
	}
	need := Tokens(1)
	for _, s := range c.shards {
		n := min(need, s.collected)
		s.collected -= n
		need -= n
	}
	return true
}

func (c *Collector) reject(w *waiter) {
	w.err = c.refusalError()
	close(w.done)
	c.remove(w)
}

// refusalError returns why there is no token.
func (c *Collector) refusalError() error {
	for _, s := range c.shards {
		if s.failures == 0 {
			return ErrOverRate
		}
	}
	return ErrNoOwner
}

func (c *Collector) remove(w *waiter) {
	if i := slices.Index(c.waiters, w); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
	}
}

// passLeadership hands the lead to the next waiter, or gives back what nobody waits for.
func (c *Collector) passLeadership() {
	if len(c.waiters) > 0 {
		c.waiters[0].promoted <- struct{}{}
		return
	}
	c.hasLeader = false
	now := c.clock.Now()
	for _, s := range c.shards {
		s.expire(now)
		if s.collected > epsilon {
			c.asker.Return(c.account, s.id, s.collected)
			s.remaining += s.collected
		}
		s.collected = 0
	}
}

// abandon removes a waiter whose context ended; a token it was given is lost, which is safe.
func (c *Collector) abandon(w *waiter, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.finished() {
		return w.err
	}
	c.remove(w)
	select {
	case <-w.promoted:
		c.passLeadership()
	default:
	}
	return err
}
