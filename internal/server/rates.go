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

// rates gathers tokens for the requests that come to this VM.
type rates struct {
	server  *Server
	shards  []mapper.Shard
	near    int
	mu      sync.Mutex
	entries map[string]*collected
}

type collected struct {
	collector *limiter.Collector
	usedAt    time.Time
	admitted  int64
	refused   int64
}

// newRates returns a rates whose collectors ask the VM's own failure domain first.
func newRates(s *Server) *rates {
	shards := slices.Clone(s.shards)
	slices.SortStableFunc(shards, func(a, b mapper.Shard) int {
		return cmp.Compare(s.distance(a), s.distance(b))
	})
	near := 0
	for near < len(shards) && s.distance(shards[near]) == 0 {
		near++
	}
	return &rates{server: s, shards: shards, near: near, entries: map[string]*collected{}}
}

// distance orders shards by whether their owners are in this VM's failure domain.
func (s *Server) distance(sh mapper.Shard) int {
	if sh.Domain == s.settings.FailureDomain {
		return 0
	}
	return 1
}

func (r *rates) entry(account string, l limiter.Limit) *collected {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[account]
	if e == nil {
		e = &collected{collector: limiter.NewCollector(account, l, r.shards, r.near, r, r.server.clock)}
		r.entries[account] = e
	}
	e.usedAt = r.server.clock.Now()
	return e
}

// Admit takes a token of an account.
func (r *rates) Admit(ctx context.Context, a merger.Account) error {
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
		r.server.event("accountHeldToRate", "account", a.Name, "rate", a.Limit.Rate, "burst", float64(a.Limit.Burst))
	}
	return err
}

// RetryAfter returns how long until the account may have a token.
func (r *rates) RetryAfter(account string) time.Duration {
	r.mu.Lock()
	e := r.entries[account]
	r.mu.Unlock()
	if e == nil {
		return 0
	}
	return e.collector.RetryAfter()
}

// Acquire takes tokens of a shard from its owner.
func (r *rates) Acquire(ctx context.Context, account string, sh mapper.Shard, want limiter.Tokens) (limiter.Grant, error) {
	s := r.server
	owner, ok := s.follower.Map().Owner(mapper.PartitionOf(account, sh))
	if !ok {
		return limiter.Grant{}, errors.New("no fleet map is known")
	}
	if owner.Same(s.self) {
		return s.grant(account, sh, want)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// Return gives tokens back without waiting for an answer.
func (r *rates) Return(account string, sh mapper.Shard, n limiter.Tokens) {
	s := r.server
	owner, ok := s.follower.Map().Owner(mapper.PartitionOf(account, sh))
	switch {
	case !ok:
	case owner.Same(s.self):
		s.takeBack(account, sh, n)
	default:
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			_, _ = s.messenger.Call(ctx, owner.Address, &wire.Request{Body: &wire.Request_GiveBack{
				GiveBack: &wire.Return{Account: account, Shard: toShard(sh), Tokens: float64(n)},
			}})
		}()
	}
}

// grant takes tokens of a shard that this VM owns.
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

func (s *Server) takeBack(account string, sh mapper.Shard, n limiter.Tokens) {
	l, ok := s.follower.Index().Limit(account)
	if !ok {
		return
	}
	share := l.Share(len(s.shards))
	s.owner.Return(s.clock.Now(), mapper.PartitionOf(account, sh), account, share, n)
}

// sweep forgets the collectors that were not used for long.
func (r *rates) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, e := range r.entries {
		if now.Sub(e.usedAt) > collectorIdle {
			delete(r.entries, a)
		}
	}
}

// accountStatus is what a dump shows of an account at this VM.
type accountStatus struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
}

func (r *rates) status() map[string]accountStatus {
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
