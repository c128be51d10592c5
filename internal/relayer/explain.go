package relayer

import (
	"math"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// RateState is what this VM knows of an account's rate.
type RateState struct {
	// Limited is false if the account has no rate; nothing else is set then.
	Limited bool    `json:"limited"`
	Rate    float64 `json:"rate"`
	Burst   int     `json:"burst"`
	// Owner is the ID of the VM that holds the rate; empty if there is none.
	Owner string `json:"owner"`
	// Decides says that this VM decides: it is the owner, or decides without it.
	Decides bool `json:"decides"`
	// WithoutOwner says that the owner does not answer this VM, or that there is none.
	WithoutOwner bool `json:"withoutOwner"`
	// HasToken, Tokens and RetryAfter are known only if this VM decides. Tokens counts those that it could grant at once;
	// it is zero without an owner.
	HasToken   bool          `json:"hasToken"`
	Tokens     int           `json:"tokens"`
	RetryAfter time.Duration `json:"retryAfterNs"`
	// Refused says that a request would be refused: no token is expected within the time that a request waits for one.
	Refused bool `json:"refused"`
}

// ExplainRate returns what Admit would decide for an account, which may be nil, without taking a token or asking another VM.
func (r *Relayer) ExplainRate(a *router.Account) RateState {
	if a == nil || a.Rate <= 0 {
		return RateState{}
	}
	e := RateState{Limited: true, Rate: a.Rate, Burst: int(a.Burst)}
	o, ok := newPlacement(r.Self, r.Tracker.Members()).owner(rateKey(a.Name), "")
	switch {
	case ok && o.Address == r.Self.Address:
		e.Owner, e.Decides = o.ID(), true
		l, err := r.rates.ownedLimit(a.Name)
		if err != nil {
			r.rates.explainWithoutOwner(&e, a)
			break
		}
		r.rates.explainGrant(&e, a.Name, l)
	case ok && !r.Suspected(o.Address):
		e.Owner = o.ID()
		return e
	case ok:
		e.Owner = o.ID()
		r.rates.explainWithoutOwner(&e, a)
	default:
		r.rates.explainWithoutOwner(&e, a)
	}
	e.Refused = !e.HasToken && e.RetryAfter > maxTokenWait
	return e
}

// explainGrant does what grant does, on a copy of the account's bucket.
func (s *rates) explainGrant(e *RateState, account string, l limiter.Limit) {
	share := s.relayer.reachableShare()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	var b *rateBucket
	if known := s.buckets[account]; known != nil {
		v := *known
		v.WindowLimiter = known.Clone()
		b = &v
	} else {
		b = s.newBucket(now, account, l)
	}
	s.adjust(now, account, b, l)
	t := takeShare(b.WindowLimiter, now, share, math.MaxInt32)
	e.Tokens, e.HasToken, e.RetryAfter = int(t.GetTokens()), t.GetTokens() > 0, time.Duration(t.GetNextMs())*time.Millisecond
}

// explainWithoutOwner does what admitWithoutOwner does, on a copy of the account's state.
func (s *rates) explainWithoutOwner(e *RateState, a *router.Account) {
	e.Decides, e.WithoutOwner = true, true
	rate, patience := s.relayer.loneRate(a.Rate)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	var b *limiter.Borrower
	if known := s.borrowers[a.Name]; known != nil {
		b = known.Clone()
	} else {
		b = limiter.NewBorrower(now, s.relayer.RateWindow)
	}
	e.HasToken, e.RetryAfter = b.Admit(now, rate, patience)
}
