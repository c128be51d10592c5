package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
)

// admitter holds the accounts to their rates.
type admitter interface {
	admit(r *request) bool
	// kill loses the owner of a shard for the rest of the run.
	kill()
}

// virtual is the clock of a run.
type virtual struct {
	clockwork.Clock
	s *sim
}

// Now returns the virtual time.
func (v virtual) Now() time.Time { return v.s.time() }

// sharded is the library's limiter: a shard in each failure domain, and a collector at each VM.
type sharded struct {
	s          *sim
	buckets    [accounts]map[mapper.Shard]*limiter.Bucket
	collectors [][accounts]*limiter.Collector
	dead       *mapper.Shard
}

func (s *sim) accountLimit(a int) limiter.Limit {
	r := s.limit(a)
	return limiter.Limit{Rate: r, Burst: limiter.Tokens(max(1, r/2))}
}

func newSharded(s *sim) admitter {
	t := &sharded{s: s}
	var names []string
	for d := range s.domains {
		names = append(names, fmt.Sprint(d))
	}
	shards := mapper.Shards(names)
	for a := range accounts {
		share := s.accountLimit(a).Share(len(shards))
		t.buckets[a] = map[mapper.Shard]*limiter.Bucket{}
		for _, sh := range shards {
			t.buckets[a][sh] = limiter.NewBucket(s.time(), share, share.Burst)
		}
	}
	for vm := range s.vms {
		var cs [accounts]*limiter.Collector
		for a := range accounts {
			own := slices.Clone(shards)
			slices.SortStableFunc(own, func(a, b mapper.Shard) int { return s.far(vm, a) - s.far(vm, b) })
			cs[a] = limiter.NewCollector(fmt.Sprint(a), s.accountLimit(a), own, len(shards)/s.domains, t, virtual{s: s})
		}
		t.collectors = append(t.collectors, cs)
	}
	return t
}

// far returns 1 for a shard whose owners are in another failure domain than a VM.
func (s *sim) far(vm int, sh mapper.Shard) int {
	if sh.Domain == fmt.Sprint(vm%s.domains) {
		return 0
	}
	return 1
}

func (t *sharded) admit(r *request) bool {
	return t.collectors[r.vm][r.account].Admit(context.Background()) == nil
}

func (t *sharded) kill() { t.dead = &mapper.Shard{Domain: "0"} }

func (t *sharded) bucket(account string, sh mapper.Shard) (*limiter.Bucket, error) {
	var a int
	_, _ = fmt.Sscan(account, &a)
	if t.dead != nil && sh == *t.dead {
		return nil, limiter.ErrNotOwner
	}
	return t.buckets[a][sh], nil
}

// Acquire takes tokens from a shard.
func (t *sharded) Acquire(_ context.Context, account string, sh mapper.Shard, want limiter.Tokens) (limiter.Grant, error) {
	t.s.result.asks++
	b, err := t.bucket(account, sh)
	if err != nil {
		return limiter.Grant{}, err
	}
	got := b.Take(t.s.time(), want, nil)
	return limiter.Grant{Tokens: got, Left: b.Level(t.s.time())}, nil
}

// Return gives tokens back to a shard.
func (t *sharded) Return(account string, sh mapper.Shard, n limiter.Tokens) {
	if b, err := t.bucket(account, sh); err == nil {
		b.Return(t.s.time(), n)
	}
}

// fixed gives each VM an equal part of each rate.
type fixed struct {
	s       *sim
	buckets [][accounts]*limiter.Bucket
}

func newFixed(s *sim) admitter {
	f := &fixed{s: s}
	for range s.vms {
		var bs [accounts]*limiter.Bucket
		for a := range accounts {
			// A part of the burst below one token would admit nothing at all.
			l := s.accountLimit(a).Share(s.vms)
			l.Burst = max(1, l.Burst)
			bs[a] = limiter.NewBucket(s.time(), l, l.Burst)
		}
		f.buckets = append(f.buckets, bs)
	}
	return f
}

func (f *fixed) admit(r *request) bool {
	b := f.buckets[r.vm][r.account]
	if b.Level(f.s.time()) < 1 {
		return false
	}
	b.Take(f.s.time(), 1, nil)
	return true
}

func (f *fixed) kill() {}
