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
	// tokenLife is how long a collected token may be used.
	tokenLife = 250 * time.Millisecond
	// minPause and maxPause bound how long a shard is passed over after its owner failed to
	// answer; the pause doubles with each failure in a row.
	minPause = 200 * time.Millisecond
	maxPause = 5 * time.Second
	// maxAsk bounds the tokens of one ask.
	maxAsk = 64
)

// ErrOverRate is returned by Collector.Admit when all shards together lack a token.
var ErrOverRate = errors.New("over the rate")

// ErrNoOwner is returned by Collector.Admit when no owner of a shard can be reached.
var ErrNoOwner = errors.New("no owner of the account's rate can be reached")

// Asker reaches the owners of an account's shards.
type Asker interface {
	// Acquire takes up to want tokens from a shard.
	Acquire(ctx context.Context, account string, s mapper.Shard, want Tokens) (Grant, error)
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
	// near is how many of the first shards are preferred, and turn which of them is next.
	near    int
	turn    int
	asker   Asker
	clock   clockwork.Clock
	waiting []*waiter
	asking  bool
}

type shard struct {
	name mapper.Shard
	// left is what the owner had left at seenAt, an upper bound of what it has but for refill.
	left   Tokens
	seenAt time.Time
	known  bool
	// held are tokens collected from the shard at heldAt and not used yet.
	held     Tokens
	heldAt   time.Time
	failedAt time.Time
	failures int
}

type waiter struct {
	asked map[mapper.Shard]bool
	done  chan struct{}
	err   error
	lead  chan struct{}
}

// NewCollector returns a collector for an account with the given whole limit, split
// evenly over the shards; the first ones, as many as near says, are asked before the others.
func NewCollector(account string, l Limit, shards []mapper.Shard, near int, asker Asker, clock clockwork.Clock) *Collector {
	c := &Collector{account: account, limit: l, near: near, asker: asker, clock: clock}
	for _, s := range shards {
		c.shards = append(c.shards, &shard{name: s})
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
		s.known = false
	}
}

// Admit waits for a token. It returns ErrOverRate if the shards lack one, ErrNoOwner if none
// can be asked, or the context's error.
func (c *Collector) Admit(ctx context.Context) error {
	c.mu.Lock()
	if c.available(c.clock.Now()) < 1-epsilon {
		defer c.mu.Unlock()
		return c.reason()
	}
	w := &waiter{asked: map[mapper.Shard]bool{}, done: make(chan struct{}), lead: make(chan struct{}, 1)}
	c.waiting = append(c.waiting, w)
	if !c.asking {
		c.asking = true
		w.lead <- struct{}{}
	}
	c.mu.Unlock()
	for {
		select {
		case <-w.done:
			return w.err
		case <-ctx.Done():
			return c.abandon(w, ctx.Err())
		case <-w.lead:
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
	if now.Sub(s.heldAt) > tokenLife {
		return 0
	}
	return s.held
}

func (s *shard) estimate(now time.Time, share Limit) Tokens {
	switch {
	case s.failures > 0 && now.Sub(s.failedAt) < s.pause():
		return 0
	case !s.known:
		return share.Burst
	}
	return min(share.Burst, s.left+share.Refill(now.Sub(s.seenAt)))
}

func (s *shard) pause() time.Duration {
	return min(maxPause, minPause<<min(s.failures-1, 8))
}

// lead asks one shard after another until w is decided, then passes the lead on.
func (c *Collector) lead(ctx context.Context, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !w.decided() && ctx.Err() == nil {
		c.serve(c.clock.Now())
		if w.decided() {
			break
		}
		s := c.next(w)
		if s == nil {
			c.refuse(w)
			break
		}
		c.ask(ctx, s)
	}
	c.pass()
}

func (w *waiter) decided() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// next returns a shard that w has not asked: one of the near ones in turn that may have a
// token, or else the one with the most.
func (c *Collector) next(w *waiter) *shard {
	now := c.clock.Now()
	share := c.limit.Share(len(c.shards))
	c.turn++
	for n := range c.near {
		s := c.shards[(c.turn+n)%c.near]
		if !w.asked[s.name] && s.estimate(now, share) >= min(1, share.Burst) {
			return s
		}
	}
	var top *shard
	for _, s := range c.shards {
		if e := s.estimate(now, share); !w.asked[s.name] && e > epsilon && (top == nil || e > top.estimate(now, share)) {
			top = s
		}
	}
	return top
}

func (c *Collector) ask(ctx context.Context, s *shard) {
	now := c.clock.Now()
	want := Tokens(len(c.waiting))
	for _, h := range c.shards {
		want -= h.usable(now)
	}
	want = min(max(want, 0), maxAsk)
	for _, w := range c.waiting {
		w.asked[s.name] = true
	}
	c.mu.Unlock()
	g, err := c.asker.Acquire(ctx, c.account, s.name, want)
	c.mu.Lock()
	if err != nil {
		if ctx.Err() == nil {
			s.failedAt = c.clock.Now()
			s.failures++
		}
		return
	}
	s.left, s.seenAt, s.known, s.failures = g.Left, now, true, 0
	s.drop(now)
	s.held += g.Tokens
	s.heldAt = now
}

// drop forgets tokens that are too old to be used.
func (s *shard) drop(now time.Time) {
	if now.Sub(s.heldAt) > tokenLife {
		s.held = 0
	}
}

// serve gives held tokens to the waiters, the oldest first.
func (c *Collector) serve(now time.Time) {
	for len(c.waiting) > 0 && c.use(now) {
		w := c.waiting[0]
		c.waiting = c.waiting[1:]
		close(w.done)
	}
}

// use spends one held token, collected from as many shards as it takes.
func (c *Collector) use(now time.Time) bool {
	sum := Tokens(0)
	for _, s := range c.shards {
		s.drop(now)
		sum += s.held
	}
	if sum < 1-epsilon {
		return false
	}
	need := Tokens(1)
	for _, s := range c.shards {
		n := min(need, s.held)
		s.held -= n
		need -= n
	}
	return true
}

func (c *Collector) refuse(w *waiter) {
	w.err = c.reason()
	close(w.done)
	c.remove(w)
}

// reason returns why there is no token.
func (c *Collector) reason() error {
	for _, s := range c.shards {
		if s.failures == 0 {
			return ErrOverRate
		}
	}
	return ErrNoOwner
}

func (c *Collector) remove(w *waiter) {
	if i := slices.Index(c.waiting, w); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

// pass hands the lead to the next waiter, or gives back what nobody waits for.
func (c *Collector) pass() {
	if len(c.waiting) > 0 {
		c.waiting[0].lead <- struct{}{}
		return
	}
	c.asking = false
	now := c.clock.Now()
	for _, s := range c.shards {
		s.drop(now)
		if s.held > epsilon {
			c.asker.Return(c.account, s.name, s.held)
			s.left += s.held
		}
		s.held = 0
	}
}

// abandon removes a waiter whose context ended; a token it was given is lost, which is safe.
func (c *Collector) abandon(w *waiter, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.decided() {
		return w.err
	}
	c.remove(w)
	select {
	case <-w.lead:
		c.pass()
	default:
	}
	return err
}
