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

// admitter enforces the rates of the client accounts.
type admitter interface {
	admit(r *request) bool
	// killShardOwner makes the owner of one shard unreachable for the rest of the run.
	killShardOwner()
}

// virtualClock is a clock that shows the virtual time of a run.
type virtualClock struct {
	clockwork.Clock
	s *sim
}

// Now returns the virtual time.
func (v virtualClock) Now() time.Time { return v.s.time() }

// sharded is the library's limiter: each rate is split into shards in all failure domains, and each VM has a collector
// for each account.
type sharded struct {
	s          *sim
	buckets    [accountCount]map[mapper.Shard]*limiter.Bucket
	collectors [][accountCount]*limiter.Collector
	deadShard  *mapper.Shard
}

func (s *sim) accountLimit(a int) limiter.Limit {
	r := s.rateLimit(a)
	return limiter.Limit{Rate: r, Burst: limiter.Tokens(max(1, r/2))}
}

func newSharded(s *sim) admitter {
	t := &sharded{s: s}
	var names []string
	for d := range s.domains {
		names = append(names, fmt.Sprint(d))
	}
	shards := mapper.Shards(names)
	for a := range accountCount {
		share := s.accountLimit(a).Share(len(shards))
		t.buckets[a] = map[mapper.Shard]*limiter.Bucket{}
		for _, sh := range shards {
			t.buckets[a][sh] = limiter.NewBucket(s.time(), share, share.Burst)
		}
	}
	for vm := range s.vms {
		var cs [accountCount]*limiter.Collector
		for a := range accountCount {
			ordered := slices.Clone(shards)
			slices.SortStableFunc(ordered, func(a, b mapper.Shard) int { return s.domainDistance(vm, a) - s.domainDistance(vm, b) })
			cs[a] = limiter.NewCollector(fmt.Sprint(a), s.accountLimit(a), ordered, len(shards)/s.domains, t, virtualClock{s: s})
		}
		t.collectors = append(t.collectors, cs)
	}
	return t
}

// domainDistance returns 0 for a shard whose owners are in the VM's own failure domain, and 1 for the others.
func (s *sim) domainDistance(vm int, sh mapper.Shard) int {
	if sh.Domain == fmt.Sprint(vm%s.domains) {
		return 0
	}
	return 1
}

func (t *sharded) admit(r *request) bool {
	return t.collectors[r.vm][r.account].Admit(context.Background()) == nil
}

func (t *sharded) killShardOwner() { t.deadShard = &mapper.Shard{Domain: "0"} }

func (t *sharded) bucket(account string, sh mapper.Shard) (*limiter.Bucket, error) {
	var a int
	_, _ = fmt.Sscan(account, &a)
	if t.deadShard != nil && sh == *t.deadShard {
		return nil, limiter.ErrNotOwner
	}
	return t.buckets[a][sh], nil
}

// Acquire takes up to want tokens from the bucket of a shard. It fails if the shard's owner is unreachable.
func (t *sharded) Acquire(_ context.Context, account string, sh mapper.Shard, want limiter.Tokens) (limiter.Grant, error) {
	t.s.result.acquires++
	b, err := t.bucket(account, sh)
	if err != nil {
		return limiter.Grant{}, err
	}
	got := b.Take(t.s.time(), want, nil)
	return limiter.Grant{Tokens: got, Left: b.Level(t.s.time())}, nil
}

// Return puts unused tokens back into the bucket of a shard.
func (t *sharded) Return(account string, sh mapper.Shard, n limiter.Tokens) {
	if b, err := t.bucket(account, sh); err == nil {
		b.Return(t.s.time(), n)
	}
}

// fixedShare is a limiter without coordination: each VM enforces an equal share of each account's rate.
type fixedShare struct {
	s       *sim
	buckets [][accountCount]*limiter.Bucket
}

func newFixedShare(s *sim) admitter {
	f := &fixedShare{s: s}
	for range s.vms {
		var bs [accountCount]*limiter.Bucket
		for a := range accountCount {
			// A bucket with a burst below one token would never admit a request.
			l := s.accountLimit(a).Share(s.vms)
			l.Burst = max(1, l.Burst)
			bs[a] = limiter.NewBucket(s.time(), l, l.Burst)
		}
		f.buckets = append(f.buckets, bs)
	}
	return f
}

func (f *fixedShare) admit(r *request) bool {
	b := f.buckets[r.vm][r.account]
	if b.Level(f.s.time()) < 1 {
		return false
	}
	b.Take(f.s.time(), 1, nil)
	return true
}

func (f *fixedShare) killShardOwner() {}
