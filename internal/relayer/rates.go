package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// rates holds the buckets of the accounts that this VM owns, and admits requests.
type rates struct {
	relayer *Relayer
	mu      sync.Mutex
	owned   map[string]*limiter.Bucket
	// alone are the buckets used while an account's owner does not answer.
	alone map[string]*limiter.Bucket
}

func newRates(r *Relayer) *rates {
	return &rates{relayer: r, owned: map[string]*limiter.Bucket{}, alone: map[string]*limiter.Bucket{}}
}

// Admission is the verdict on one request of an account.
type Admission struct {
	Admitted bool
	// After is how long until there may be a token.
	After time.Duration
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
		d := r.admit(ctx, a)
		left := until.Sub(r.Clock.Now())
		if d.Admitted || d.After > left || ctx.Err() != nil {
			return d
		}
		r.sleep(ctx, max(d.After, time.Millisecond))
	}
}

func (r *Relayer) admit(ctx context.Context, a *router.Account) Admission {
	const owners = 2
	for i, o := range r.Ranked("rate/"+a.Name, "") {
		if i == owners {
			break
		}
		if o.Address == r.Self.Address {
			t, err := r.rates.give(a.Name, 1)
			if err == nil {
				return admission(t, o.ID())
			}
			continue
		}
		c, cancel := context.WithTimeout(ctx, takeTimeout)
		rep, err := r.call(c, o.Address, &wire.Request{Body: &wire.Request_Take{Take: &wire.Take{Account: a.Name, Want: 1}}})
		cancel()
		if err == nil {
			return admission(rep.GetTaken(), o.ID())
		}
		if ctx.Err() != nil {
			break
		}
		r.suspect(o.Address, errors.Wrap(err, "owner of a rate"))
	}
	return r.rates.alone1(a)
}

func admission(t *wire.Taken, owner string) Admission {
	return Admission{Admitted: t.GetTokens() > 0, After: time.Duration(t.GetNextMs()) * time.Millisecond, Owner: owner}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.Clock.Now()
	b := s.owned[account]
	if b == nil {
		b = limiter.NewBucket(now, l, limiter.Tokens(initialShare*l.Rate))
		s.owned[account] = b
		r.Logger.Info("owning rate", zap.String("account", account), zap.Float64("rate", l.Rate))
	}
	b.SetLimit(now, l)
	return take(b, now, l, want), nil
}

func limitOf(t *router.Table, account string) (limiter.Limit, bool) {
	for i := range t.Accounts {
		if a := &t.Accounts[i]; a.Name == account {
			return limiter.Limit{Rate: a.Rate, Burst: limiter.Tokens(max(1, a.Burst))}, true
		}
	}
	return limiter.Limit{}, false
}

func take(b *limiter.Bucket, now time.Time, l limiter.Limit, want int) *wire.Taken {
	n := min(want, int(b.Level(now)))
	if n > 0 {
		b.Take(now, limiter.Tokens(n), nil)
		return &wire.Taken{Tokens: uint32(n)}
	}
	missing := 1 - float64(b.Level(now))
	return &wire.Taken{NextMs: uint32(min(missing/l.Rate*1000+1, 60_000))}
}

// alone1 admits a request without the account's owner, within a part that all VMs share.
func (s *rates) alone1(a *router.Account) Admission {
	r := s.relayer
	n := float64(max(1, len(r.Tracker.Members())))
	l := limiter.Limit{Rate: aloneShare * a.Rate / n, Burst: aloneBurst}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.Clock.Now()
	b := s.alone[a.Name]
	if b == nil {
		b = limiter.NewBucket(now, l, aloneBurst)
		s.alone[a.Name] = b
	}
	b.SetLimit(now, l)
	return admission(take(b, now, l, 1), "")
}
