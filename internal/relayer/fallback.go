package relayer

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// borrower returns the state by which this VM admits requests of an account while its owner does not answer. s.mu must be held.
func (s *rates) borrower(now time.Time, account string) *limiter.Borrower {
	b := s.borrowers[account]
	if b == nil {
		b = limiter.NewBorrower(now, s.relayer.RateWindow)
		s.borrowers[account] = b
	}
	return b
}

// ask returns the message that asks an account's owner for a token, and for a loan.
func (s *rates) ask(account string) *wire.Take {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	q := s.borrower(now, account).Ask(now)
	return &wire.Take{Account: account, Want: 1, Number: q.Number, Used: q.Used, Alone: q.Alone, RecentAlone: uint32(q.Recent), WantAlone: uint32(q.Want)}
}

// recordAnswer records what an account's owner answered to a message that was sent at askedAt.
func (s *rates) recordAnswer(q *wire.Take, t *wire.Taken, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	s.borrower(now, q.GetAccount()).Answered(now, askedAt, q.GetNumber(), limiter.Tokens(t.GetTokens()), t.GetMaxAlone())
}

// admitWithoutOwner admits a request without the account's owner.
func (s *rates) admitWithoutOwner(a *router.Account) Admission {
	rate, patience := s.relayer.loneRate(a.Rate)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	ok, retryAfter := s.borrower(now, a.Name).Admit(now, rate, patience)
	return Admission{Admitted: ok, RetryAfter: retryAfter}
}

// loneRate returns what this VM may admit of a rate in a second without its owner and beyond loans, and for how long it accrues
// between two requests.
func (r *Relayer) loneRate(rate float64) (float64, time.Duration) {
	n := float64(len(r.Tracker.Members()))
	switch {
	case n > max(maxLoneVMs, rate):
		return 0, downAfter
	case r.liveShare() > connectedShare:
		return connectedRateShare * rate / max(1, n), downAfter
	}
	return isolatedRateShare * rate / max(1, n), r.RateWindow
}
