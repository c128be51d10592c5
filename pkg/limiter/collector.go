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
	// initialBackoff and maxBackoff bound how long a shard is skipped after a request to its owner
	// failed; the backoff doubles with each consecutive failure.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxTokensPerRequest bounds the tokens requested from an owner at once.
	maxTokensPerRequest = 64
)

// ErrOverRate is returned by Collector.Admit when all shards together have less than one token.
var ErrOverRate = errors.New("account is over its rate limit")

// ErrNoOwner is returned by Collector.Admit when the last request to the owner of every shard failed.
var ErrNoOwner = errors.New("no owner of the account's rate can be reached")

// OwnerClient sends requests to the owners of an account's shards.
type OwnerClient interface {
	// Acquire takes up to want tokens from the account's shard s.
	Acquire(ctx context.Context, account string, s mapper.Shard, want Tokens) (Grant, error)
	// Return puts n tokens back into the account's shard s; it is best effort and must not block.
	Return(account string, s mapper.Shard, n Tokens)
}

// Collector collects tokens of one account for the requests that wait at one VM.
// It requests tokens only for waiting requests and from one owner at a time, so
// that under load one call serves many requests. The calls run on the goroutine
// of one waiter, the leader. A Collector is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	account string
	limit   Limit
	shards  []*shard
	// preferred is how many of the first shards are preferred; roundRobin selects the next one of them.
	preferred  int
	roundRobin int
	client     OwnerClient
	clock      clockwork.Clock
	waiters    []*waiter
	hasLeader  bool
}

type shard struct {
	id mapper.Shard
	// remaining is what was left in the shard at observedAt; apart from refill, the shard has at most that.
	remaining      Tokens
	observedAt     time.Time
	remainingKnown bool
	// collected are tokens taken from the shard at collectedAt and not used yet.
	collected   Tokens
	collectedAt time.Time
	failedAt    time.Time
	failures    int
}

type waiter struct {
	// tried are the shards from which tokens were requested since the waiter arrived.
	tried map[mapper.Shard]bool
	// done is closed when the waiter has a token or err is set.
	done chan struct{}
	err  error
	// promoted receives a value when the waiter becomes the leader.
	promoted chan struct{}
}

// NewCollector returns a collector for an account whose limit l is split evenly over
// the shards; the first preferred of them are tried before the others.
func NewCollector(account string, l Limit, shards []mapper.Shard, preferred int, client OwnerClient,
	clock clockwork.Clock) *Collector {
	c := &Collector{account: account, limit: l, preferred: preferred, client: client, clock: clock}
	for _, s := range shards {
		c.shards = append(c.shards, &shard{id: s})
	}
	return c
}

// SetLimit changes the limit of the account, which is split over all shards.
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

// Admit waits for a token. It returns ErrOverRate if all shards together have less than one,
// ErrNoOwner if no owner is reachable, or the context's error.
func (c *Collector) Admit(ctx context.Context) error {
	c.mu.Lock()
	if c.available(c.clock.Now()) < 1-epsilon {
		defer c.mu.Unlock()
		return c.rejectionError()
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

// RetryAfter returns the time until the shards together may have a whole token; zero if they may have one
// now or the rate is zero.
func (c *Collector) RetryAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := 1 - c.available(c.clock.Now())
	if missing <= 0 || c.limit.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(missing) / c.limit.Rate * float64(time.Second))
}

// available returns an upper bound of the tokens that this VM has collected or can collect now.
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

// lead requests tokens from one shard after another until w is finished or ctx ends, then passes
// leadership on.
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

// nextShard returns a shard that was not tried for w: the next preferred one, round robin, that may
// have a token, or else the one with the highest estimate. It returns nil if there is none.
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

// acquire requests tokens from s for all waiters. The caller holds c.mu, which is released during the call.
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
	g, err := c.client.Acquire(ctx, c.account, s.id, want)
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

// expire drops collected tokens that are older than tokenTTL.
func (s *shard) expire(now time.Time) {
	if now.Sub(s.collectedAt) > tokenTTL {
		s.collected = 0
	}
}

// serveWaiters hands collected tokens to the waiters, the oldest first.
func (c *Collector) serveWaiters(now time.Time) {
	for len(c.waiters) > 0 && c.spend(now) {
		w := c.waiters[0]
		c.waiters = c.waiters[1:]
		close(w.done)
	}
}

// spend uses one collected token, if need be in parts from several shards, and reports whether there was one.
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
	w.err = c.rejectionError()
	close(w.done)
	c.remove(w)
}

// rejectionError returns ErrNoOwner if the last request to every shard failed, else ErrOverRate.
func (c *Collector) rejectionError() error {
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

// passLeadership makes the oldest waiter the leader. Without waiters it returns the unused tokens to the owners.
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
			c.client.Return(c.account, s.id, s.collected)
			s.remaining += s.collected
		}
		s.collected = 0
	}
}

// abandon removes a waiter whose context ended. A token that it was granted in the meantime is not put
// back, which is safe: the account gets less than its limit, never more.
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
