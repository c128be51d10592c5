package server

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

// admitter admits the requests that arrive at this VM. It has a collector for each client account, which obtains
// rate limit tokens from the owners of the account's shards.
type admitter struct {
	server   *Server
	shards   []mapper.Shard
	numLocal int
	mu       sync.Mutex
	entries  map[string]*accountEntry
}

// accountEntry is the collector of one client account, and counters of the requests it decided on.
type accountEntry struct {
	collector *limiter.Collector
	usedAt    time.Time
	admitted  int64
	refused   int64
}

// newAdmitter returns an admitter whose collectors ask the shards of the VM's own failure domain first.
func newAdmitter(s *Server) *admitter {
	shards := slices.Clone(s.shards)
	slices.SortStableFunc(shards, func(a, b mapper.Shard) int {
		return cmp.Compare(s.distance(a), s.distance(b))
	})
	numLocal := 0
	for numLocal < len(shards) && s.distance(shards[numLocal]) == 0 {
		numLocal++
	}
	return &admitter{server: s, shards: shards, numLocal: numLocal, entries: map[string]*accountEntry{}}
}

// distance returns 0 for shards of this VM's failure domain and 1 for others.
func (s *Server) distance(sh mapper.Shard) int {
	if sh.Domain == s.settings.FailureDomain {
		return 0
	}
	return 1
}

// entry returns the collector of an account, created with the limit l if there is none, and marks it as used.
func (r *admitter) entry(account string, l limiter.Limit) *accountEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[account]
	if e == nil {
		e = &accountEntry{collector: limiter.NewCollector(account, l, r.shards, r.numLocal, r, r.server.clock)}
		r.entries[account] = e
	}
	e.usedAt = r.server.clock.Now()
	return e
}

// Admit takes one token for a request of a client account. If no token is available, it returns the
// collector's error, such as limiter.ErrOverRate.
func (r *admitter) Admit(ctx context.Context, a merger.Account) error {
	e := r.entry(a.Name, a.Limit)
	e.collector.SetLimit(a.Limit)
	err := e.collector.Admit(ctx)
	r.mu.Lock()
	if err == nil {
		e.admitted++
	} else {
		e.refused++
	}
	first := e.refused == 1
	r.mu.Unlock()
	if errors.Is(err, limiter.ErrOverRate) && first {
		r.server.addEvent("accountHeldToRate", "account", a.Name, "rate", a.Limit.Rate, "burst", float64(a.Limit.Burst))
	}
	return err
}

// RetryAfter returns the time until the account may get a token, or 0 if this VM has no collector for it.
func (r *admitter) RetryAfter(account string) time.Duration {
	r.mu.Lock()
	e := r.entries[account]
	r.mu.Unlock()
	if e == nil {
		return 0
	}
	return e.collector.RetryAfter()
}

// Acquire takes up to want tokens of an account from the owner of a shard, which may be this VM.
func (r *admitter) Acquire(ctx context.Context, account string, sh mapper.Shard, want limiter.Tokens) (limiter.Grant, error) {
	s := r.server
	owner, ok := s.follower.Map().Owner(mapper.PartitionOf(account, sh))
	if !ok {
		return limiter.Grant{}, errors.New("no fleet map is known")
	}
	if owner.Same(s.self) {
		return s.grant(account, sh, want)
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	rep, err := s.messenger.Call(ctx, owner.Address, &wire.Request{Body: &wire.Request_Ask{
		Ask: &wire.Ask{Account: account, Shard: toShard(sh), Want: float64(want)},
	}})
	if err != nil {
		return limiter.Grant{}, err
	}
	g := rep.GetGrant()
	return limiter.Grant{Tokens: limiter.Tokens(g.GetTokens()), Left: limiter.Tokens(g.GetLeft())}, nil
}

// Return returns n tokens to the owner of a shard. It does not wait for other VMs, and tokens that do not reach
// the owner are lost.
func (r *admitter) Return(account string, sh mapper.Shard, n limiter.Tokens) {
	s := r.server
	owner, ok := s.follower.Map().Owner(mapper.PartitionOf(account, sh))
	switch {
	case !ok:
	case owner.Same(s.self):
		s.returnTokens(account, sh, n)
	default:
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
			defer cancel()
			_, _ = s.messenger.Call(ctx, owner.Address, &wire.Request{Body: &wire.Request_GiveBack{
				GiveBack: &wire.Return{Account: account, Shard: toShard(sh), Tokens: float64(n)},
			}})
		}()
	}
}

// grant takes tokens of a shard that this VM owns. It fails if this VM is out of contact or if the account is not
// configured here.
func (s *Server) grant(account string, sh mapper.Shard, want limiter.Tokens) (limiter.Grant, error) {
	now := s.clock.Now()
	if !s.witness.InContact(now) {
		return limiter.Grant{}, errNoContact
	}
	l, ok := s.follower.Index().Limit(account)
	if !ok {
		return limiter.Grant{}, errors.Newf("client account %s is not configured here", account)
	}
	share := l.Share(len(s.shards))
	return s.owner.Acquire(now, mapper.PartitionOf(account, sh), account, share, want)
}

// returnTokens returns tokens to a shard that this VM owns.
func (s *Server) returnTokens(account string, sh mapper.Shard, n limiter.Tokens) {
	l, ok := s.follower.Index().Limit(account)
	if !ok {
		return
	}
	share := l.Share(len(s.shards))
	s.owner.Return(s.clock.Now(), mapper.PartitionOf(account, sh), account, share, n)
}

// sweep removes the collectors that were last used longer than collectorTTL ago.
func (r *admitter) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, e := range r.entries {
		if now.Sub(e.usedAt) > collectorTTL {
			delete(r.entries, a)
		}
	}
}

// accountStatus counts the admitted and refused requests of an account at this VM, for dumps.
type accountStatus struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
}

func (r *admitter) status() map[string]accountStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	ss := make(map[string]accountStatus, len(r.entries))
	for a, e := range r.entries {
		ss[a] = accountStatus{e.admitted, e.refused}
	}
	return ss
}

func toShard(s mapper.Shard) *wire.Shard {
	return &wire.Shard{Domain: s.Domain, Number: uint32(s.Number)}
}

func fromShard(m *wire.Shard) mapper.Shard {
	return mapper.Shard{Domain: m.GetDomain(), Number: int(m.GetNumber())}
}
