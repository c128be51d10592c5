package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// limits holds the token buckets of the instances' limits that this VM owns.
type limits struct {
	relayer *Relayer
	mu      sync.Mutex
	buckets map[string]*limitBucket
}

type limitBucket struct {
	*limiter.Bucket
	usedAt time.Time
	// lost is set while this VM does not own the limit.
	lost bool
}

func newLimits(r *Relayer) *limits {
	return &limits{relayer: r, buckets: map[string]*limitBucket{}}
}

// ObserveLimit records what a response to a request that was sent at the given time stated about an incarnation's limit, in
// requests per second; zero if it stated none. The leader of this VM's domain is told of a change at once.
func (r *Relayer) ObserveLimit(instance string, incarnation int64, rate float64, sentAt time.Time) {
	if r.Tracker.ObserveLimit(instance, incarnation, rate, sentAt) {
		r.wakeReport()
	}
}

// AdmitSend decides whether a request may be sent to an instance now. If the instance has a limit, the limit's owner
// decides. Without its decision the request is not admitted: a limit that several VMs count for themselves is exceeded.
func (r *Relayer) AdmitSend(ctx context.Context, instance string) Admission {
	l, ok := r.Tracker.SendLimit(instance)
	if !ok {
		return Admission{Admitted: true}
	}
	o, ok := r.placement().limitOwner(instance, l.Domain)
	if !ok {
		return Admission{RetryAfter: limitOwnerBackoff}
	}
	var t *wire.Taken
	var err error
	if o.Address == r.Self.Address {
		t, err = r.limits.grant(instance)
	} else {
		t, err = r.takeFromOwner(ctx, o, &wire.Request{Body: &wire.Request_TakeSend{
			TakeSend: toTakeSend(r.Clock.Now(), instance, l),
		}})
	}
	if err != nil {
		r.countLimitDecision("unanswered")
		return Admission{RetryAfter: limitOwnerBackoff}
	}
	d := admission(t, o.ID())
	if d.Admitted {
		r.countLimitDecision("admitted")
	} else {
		r.countLimitDecision("refused")
	}
	return d
}

// limitOwner returns the VM that counts the requests to an instance: one of the instance's failure domain if there is any,
// since most requests come from there.
func (p *placement) limitOwner(instance, domain string) (placer.VM, bool) {
	key := "limit/" + instance
	if domain != "" {
		if o, ok := p.owner(key, domain); ok {
			return o, true
		}
	}
	return p.owner(key, "")
}

// handleTakeSend decides on a request of a peer to an instance whose limit this VM owns. The peer may know a later limit.
func (r *Relayer) handleTakeSend(from placer.VM, m *wire.TakeSend) (*wire.Taken, error) {
	now := r.Clock.Now()
	if m.GetLimit().GetRate() > 0 {
		r.Tracker.MergeStatements(from.Address.String(), []tracker.Statement{fromStatement(now, m.GetLimit())})
	}
	if w := m.GetWarmup(); w != nil {
		r.Tracker.MergeWarmups(from.Address.String(), fromWarmups(now, []*wire.Warmup{w}))
	}
	return r.limits.grant(m.GetLimit().GetInstance())
}

// grant takes a token from the bucket of an instance's limit, and creates the bucket if there is none.
func (s *limits) grant(instance string) (*wire.Taken, error) {
	r := s.relayer
	if err := r.checkOwner(); err != nil {
		return nil, err
	}
	l, ok := r.Tracker.SendLimit(instance)
	if !ok {
		return &wire.Taken{Tokens: 1}, nil
	}
	if o, ok := r.placement().limitOwner(instance, l.Domain); !ok || o.Address != r.Self.Address {
		return nil, errors.New("another daemon owns the limit of the instance")
	}
	// An owner that lost contact with a part of the fleet leaves that part its share of the limit.
	share := r.liveShare()
	rate := l.Rate * share
	if l.WarmingUp {
		rate = r.WarmupBound.Rate(l.Rate) * share
	}
	limit := limiter.Limit{Rate: rate, Burst: limiter.Tokens(limitBurst + burstSeconds(l)*rate)}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.Clock.Now()
	b := s.buckets[instance]
	if b == nil {
		s.dropUnused(now)
		b = &limitBucket{Bucket: limiter.NewBucket(now, limit, limiter.Tokens(limitBurst*share))}
		s.buckets[instance] = b
		r.Logger.Info("owning limit", zap.String("instance", instance), zap.Float64("rate", l.Rate), zap.Bool("warmingUp", l.WarmingUp))
	}
	b.usedAt = now
	b.SetLimit(now, limit)
	if b.Level(now) >= 1 {
		b.Take(now, 1, nil)
		return &wire.Taken{Tokens: 1}, nil
	}
	next := time.Duration(float64(1-b.Level(now)) / limit.Rate * float64(time.Second))
	return &wire.Taken{NextMs: uint32(min(next, maxLimitDelay).Milliseconds() + 1)}, nil
}

// burstSeconds returns for how long tokens of a limit accrue.
func burstSeconds(l tracker.SendLimit) float64 {
	if l.WarmingUp {
		return warmupBurstSeconds
	}
	return limitBurstSeconds
}

// place empties the buckets of limits that this VM does not own: another owner may grant what accrues.
func (s *limits) place(p *placement) {
	now := s.relayer.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.buckets {
		l, _ := s.relayer.Tracker.SendLimit(i)
		o, ok := p.limitOwner(i, l.Domain)
		owned := ok && o.Address == p.self.Address
		if !owned || b.lost {
			b.Take(now, b.Level(now), nil)
		}
		b.lost = !owned
	}
}

// dropUnused drops the buckets that were not used for limitBucketTTL. s.mu must be held.
func (s *limits) dropUnused(now time.Time) {
	for i, b := range s.buckets {
		if now.Sub(b.usedAt) > limitBucketTTL {
			delete(s.buckets, i)
		}
	}
}
