package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// rates holds the buckets of the accounts that this VM owns, and admits requests.
type rates struct {
	relayer *Relayer
	mu      sync.Mutex
	owned   map[string]*limiter.WindowLimiter
	// alone are the buckets used while an account's owner does not answer.
	alone map[string]*local
}

func newRates(r *Relayer) *rates {
	return &rates{relayer: r, owned: map[string]*limiter.WindowLimiter{}, alone: map[string]*local{}}
}

// Admission is the verdict on one request of an account.
type Admission struct {
	Admitted bool
	// RetryAfter is how long until there may be a token.
	RetryAfter time.Duration
	// Owner says where it was decided; empty if by this VM without the owner.
	Owner string
}

// Admit takes a token of an account, waiting a moment for it if there is none.
func (r *Relayer) Admit(ctx context.Context, a *router.Account) Admission {
	if a == nil || a.Rate <= 0 {
		return Admission{Admitted: true}
	}
	until := r.Clock.Now().Add(tokenWait)
	for {
		d := r.AdmitNow(ctx, a)
		left := until.Sub(r.Clock.Now())
		if d.Admitted || d.RetryAfter > left || ctx.Err() != nil {
			r.countDecision(d)
			return d
		}
		r.sleep(ctx, max(d.RetryAfter, time.Millisecond))
	}
}

// owner returns the VM that holds an account's bucket. It is the same for all VMs that know the same
// members: one that does not answer me just now may well answer others, so it stays the owner until its
// leader finds it down.
func (r *Relayer) owner(account string) (placer.VM, bool) {
	return placer.First("rate/"+account, r.candidates(func(tracker.Member) bool { return true }))
}

// AdmitNow takes a token of an account if there is one.
func (r *Relayer) AdmitNow(ctx context.Context, a *router.Account) Admission {
	o, ok := r.owner(a.Name)
	if !ok {
		return r.rates.admitAlone(a)
	}
	var t *wire.Taken
	var err error
	if o.Address == r.Self.Address {
		t, err = r.rates.give(a.Name, 1)
	} else {
		t, err = r.askOwner(ctx, o, a.Name)
	}
	if err != nil {
		return r.rates.admitAlone(a)
	}
	r.rates.granted(a.Name, t.GetTokens())
	return admission(t, o.ID())
}

// askOwner asks another VM for a token.
func (r *Relayer) askOwner(ctx context.Context, o placer.VM, account string) (*wire.Taken, error) {
	if r.Suspected(o.Address) {
		return nil, errors.New("the owner did not answer just now")
	}
	c, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	rep, err := r.call(c, o.Address, &wire.Request{Body: &wire.Request_Take{Take: &wire.Take{Account: account, Want: 1}}})
	if err != nil && ctx.Err() == nil && !errors.Is(err, messenger.ErrRefused) {
		r.suspect(o.Address, errors.Wrap(err, "owner of a rate"))
	}
	return rep.GetTaken(), err
}

func admission(t *wire.Taken, owner string) Admission {
	return Admission{Admitted: t.GetTokens() > 0, RetryAfter: time.Duration(t.GetNextMs()) * time.Millisecond, Owner: owner}
}

// give takes tokens from a bucket that this VM owns.
func (s *rates) give(account string, want int) (*wire.Taken, error) {
	r := s.relayer
	if r.Role() == tracker.RoleLeaving {
		return nil, errors.New("this daemon is leaving")
	}
	t, _ := r.Tracker.Table()
	if t == nil {
		return nil, errors.New("this daemon knows no configuration")
	}
	l, ok := limitOf(t, account)
	if !ok {
		return nil, errors.Newf("client account %s is not configured here", account)
	}
	// An owner that lost touch with a part of the fleet leaves that part its share.
	share := r.together()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.Clock.Now()
	b := s.owned[account]
	if b == nil {
		initial := initialShare
		if r.fleetFresh() {
			initial = freshTokens
		}
		b = limiter.NewWindowLimiter(now, r.RateWindow, l, limiter.Tokens(initialTokens+initial*l.Rate))
		s.owned[account] = b
		r.Logger.Info("owning rate", zap.String("account", account), zap.Float64("rate", l.Rate))
	}
	b.SetLimit(now, l)
	if n := b.Take(now, want, share); n > 0 {
		return &wire.Taken{Tokens: uint32(n)}, nil
	}
	return &wire.Taken{NextMs: uint32(b.RetryAfter(now, share).Milliseconds() + 1)}, nil
}

// fleetFresh reports whether nearly all VMs started just now.
func (r *Relayer) fleetFresh() bool {
	ms := r.Tracker.Members()
	young := 0
	after := r.Clock.Now().Add(-freshAge)
	for _, m := range ms {
		if m.Incarnation > placer.NewIncarnation(after) {
			young++
		}
	}
	return float64(young) >= freshShare*float64(len(ms))
}

func limitOf(t *router.Table, account string) (limiter.Limit, bool) {
	for i := range t.Accounts {
		if a := &t.Accounts[i]; a.Name == account {
			return limiter.Limit{Rate: a.Rate, Burst: limiter.Tokens(max(1, a.Burst))}, true
		}
	}
	return limiter.Limit{}, false
}

// local is what a VM needs to go on without the owner of an account.
type local struct {
	bucket *limiter.Bucket
	// recent counts the tokens that the owner granted since since, and before those of the time before.
	recent, before uint32
	since          time.Time
	grantedAt      time.Time
}

func (s *rates) local(now time.Time, account string) *local {
	l := s.alone[account]
	if l == nil {
		l = &local{since: now}
		s.alone[account] = l
	}
	if now.Sub(l.since) > aloneTime {
		l.before, l.recent, l.since = l.recent, 0, now
	}
	return l
}

// granted notes what the owner of an account granted.
func (s *rates) granted(account string, n uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	l := s.local(now, account)
	l.recent += n
	l.grantedAt = now
}

// admitAlone admits a request without the account's owner: for a moment at the rate that was granted
// here lately, then within a small part of the rate that all VMs share.
func (s *rates) admitAlone(a *router.Account) Admission {
	r := s.relayer
	n := float64(max(1, len(r.Tracker.Members())))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.Clock.Now()
	l := s.local(now, a.Name)
	limit := limiter.Limit{Rate: aloneShare * a.Rate / n, Burst: aloneBurst}
	if now.Sub(l.grantedAt) < aloneTime {
		limit.Rate += float64(max(l.recent, l.before)) / aloneTime.Seconds()
	}
	if l.bucket == nil {
		l.bucket = limiter.NewBucket(now, limit, aloneBurst)
	}
	l.bucket.SetLimit(now, limit)
	if l.bucket.Level(now) >= 1 {
		l.bucket.Take(now, 1, nil)
		return Admission{Admitted: true}
	}
	return Admission{RetryAfter: time.Duration(float64(1-l.bucket.Level(now)) / limit.Rate * float64(time.Second))}
}
