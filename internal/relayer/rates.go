package relayer

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// rates holds the token buckets of the accounts that this VM owns, and admits requests.
type rates struct {
	relayer *Relayer
	mu      sync.Mutex
	buckets map[string]*rateBucket
	// placedAt is when place was called last, and placed its placement.
	placedAt time.Time
	placed   *placement
	// sharers are the VMs among which rates are placed. Since steadySince they are the same, and this VM reaches all of them.
	sharers     []placer.Candidate
	steadySince time.Time
	// borrowers admit requests of accounts while their owners do not answer.
	borrowers map[string]*limiter.Borrower
}

// rateBucket is the state of an account's rate.
type rateBucket struct {
	*limiter.WindowLimiter
	// createdAt is when the bucket was created, and begins is set if no other VM can have granted any of the rate just before.
	createdAt time.Time
	begins    bool
	// ownedAt is when this VM was last known to be the owner.
	ownedAt time.Time
	// reportedTo is the owner that knows all that this VM granted; zero if there is none.
	reportedTo placer.VM
}

func newRates(r *Relayer) *rates {
	return &rates{relayer: r, buckets: map[string]*rateBucket{}, borrowers: map[string]*limiter.Borrower{}}
}

// Admission is the decision on one request of an account.
type Admission struct {
	Admitted bool
	// RetryAfter is the time until a token may be available.
	RetryAfter time.Duration
	// Owner is the ID of the account's owner; empty if this VM decided without the owner.
	Owner string
}

// Admit takes a token of an account, and waits for one if it is expected within maxTokenWait. An account that is nil or
// has no rate is not limited.
func (r *Relayer) Admit(ctx context.Context, a *router.Account) Admission {
	if a == nil || a.Rate <= 0 {
		return Admission{Admitted: true}
	}
	until := r.Clock.Now().Add(maxTokenWait)
	for {
		d := r.TryAdmit(ctx, a)
		left := until.Sub(r.Clock.Now())
		if d.Admitted || d.RetryAfter > left || ctx.Err() != nil {
			r.countDecision(d)
			return d
		}
		r.sleep(ctx, max(d.RetryAfter, time.Millisecond))
	}
}

// owner returns the VM that holds an account's bucket. All VMs that know the same members agree on it: an owner that
// this VM suspects may still answer others, so it remains the owner until its domain's leader marks it down.
func (r *Relayer) owner(account string) (placer.VM, bool) {
	return r.placement().owner(rateKey(account), "")
}

// TryAdmit takes a token of an account if one is available at once.
func (r *Relayer) TryAdmit(ctx context.Context, a *router.Account) Admission {
	o, ok := r.owner(a.Name)
	if !ok {
		return r.rates.admitWithoutOwner(a)
	}
	var t *wire.Taken
	var err error
	askedAt := r.Clock.Now()
	q := &wire.Take{Account: a.Name, Want: 1}
	if o.Address == r.Self.Address {
		t, err = r.rates.grant(r.Self, q)
	} else {
		q = r.rates.ask(a.Name)
		t, err = r.takeFromOwner(ctx, o, &wire.Request{Body: &wire.Request_Take{Take: q}})
	}
	if err != nil {
		return r.rates.admitWithoutOwner(a)
	}
	r.rates.recordAnswer(q, t, askedAt)
	return admission(t, o.ID())
}

// takeFromOwner takes a token from a bucket of another VM.
func (r *Relayer) takeFromOwner(ctx context.Context, o placer.VM, req *wire.Request) (*wire.Taken, error) {
	if r.Suspected(o.Address) {
		return nil, errors.New("the owner is suspected to be down")
	}
	c, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	rep, err := r.call(c, o.Address, req)
	if err != nil && ctx.Err() == nil && !errors.Is(err, messenger.ErrRefused) {
		r.suspect(o.Address, errors.Wrap(err, "take a token from the owner of a rate or a limit"))
	}
	return rep.GetTaken(), err
}

func admission(t *wire.Taken, owner string) Admission {
	return Admission{Admitted: t.GetTokens() > 0, RetryAfter: time.Duration(t.GetNextMs()) * time.Millisecond, Owner: owner}
}

// grant takes tokens from the bucket of an account that this VM owns, and creates the bucket if there is none. It lends the VM
// that asks some more for the time in which this one does not answer.
func (s *rates) grant(from placer.VM, t *wire.Take) (*wire.Taken, error) {
	l, err := s.ownedLimit(t.GetAccount())
	if err != nil {
		return nil, err
	}
	// An owner that lost contact with a part of the fleet leaves that part its share of the rate.
	share := s.relayer.reachableShare()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	b := s.bucket(now, t.GetAccount(), l)
	rep := takeShare(b.WindowLimiter, now, share, int(t.GetWant()))
	if rep.GetTokens() > 0 {
		b.reportedTo = placer.VM{}
	}
	if t.GetNumber() > 0 {
		q := limiter.Question{Number: t.GetNumber(), Used: t.GetUsed(), Alone: t.GetAlone(), Recent: limiter.Tokens(t.GetRecentAlone()), Want: limiter.Tokens(t.GetWantAlone())}
		rep.MaxAlone = b.Lend(now, from, q, loanShare*(l.Refill(s.relayer.RateWindow)+l.Burst)+loanTokens)
	}
	return rep, nil
}

// takeShare takes up to want tokens of the share of a limit that this VM may grant.
func takeShare(w *limiter.WindowLimiter, now time.Time, share float64, want int) *wire.Taken {
	w.SetShare(now, share)
	rep := &wire.Taken{Tokens: uint32(w.Take(now, want))}
	if rep.GetTokens() == 0 {
		rep.NextMs = uint32(w.RetryAfter(now).Milliseconds() + 1)
	}
	return rep
}

// ownedLimit returns the limit of an account, or an error if this VM must not own its rate now.
func (s *rates) ownedLimit(account string) (limiter.Limit, error) {
	if err := s.relayer.checkOwner(); err != nil {
		return limiter.Limit{}, err
	}
	t, _ := s.relayer.Tracker.Table()
	if t == nil {
		return limiter.Limit{}, errors.New("this daemon knows no configuration")
	}
	l, ok := limitOf(t, account)
	if !ok {
		return limiter.Limit{}, errors.Newf("client account %s is not configured here", account)
	}
	return l, nil
}

// bucket returns the bucket of an account that has the limit l, and creates it if there is none. s.mu must be held.
func (s *rates) bucket(now time.Time, account string, l limiter.Limit) *rateBucket {
	r := s.relayer
	b := s.buckets[account]
	if b == nil {
		b = s.newBucket(now, account, l)
		s.buckets[account] = b
		r.Logger.Info("owning rate", zap.String("account", account), zap.Float64("rate", l.Rate))
	}
	s.adjust(now, account, b, l)
	return b
}

// newBucket returns a bucket for an account. s.mu must be held.
func (s *rates) newBucket(now time.Time, account string, l limiter.Limit) *rateBucket {
	initial, begins := s.initialTokens(now, account, l)
	b := &rateBucket{
		WindowLimiter: limiter.NewWindowLimiter(now, s.relayer.RateWindow, l, initial), createdAt: now, begins: begins, ownedAt: now,
	}
	if begins {
		b.StartLending()
	}
	return b
}

// adjust applies the limit that is in force, and what was learnt of the fleet since the bucket was created. s.mu must be held.
func (s *rates) adjust(now time.Time, account string, b *rateBucket, l limiter.Limit) {
	b.SetLimit(now, l)
	if !b.begins && now.Sub(b.createdAt) < coldStartAge && s.owns(account) && s.relayer.coldStart() {
		// When the bucket was created, this VM had not heard yet that nearly all others had just started, too.
		b.RaiseInitial(now, b.createdAt, limiter.Tokens((coldStartSeconds-initialSeconds)*l.Rate))
		b.StartLending()
		b.begins = true
	}
}

// initialTokens returns the tokens that this VM may grant at once of a rate of which it granted none so far, and whether no other
// VM can have granted or lent any of it just before. s.mu must be held.
func (s *rates) initialTokens(now time.Time, account string, l limiter.Limit) (initial limiter.Tokens, begins bool) {
	r := s.relayer
	switch {
	case s.owns(account) && now.Sub(s.steadySince) >= r.RateWindow+downAfter:
		// Another owner would have been among the same VMs, and would have been this one.
		return l.Refill(r.RateWindow) + l.Burst, true
	case r.coldStart():
		return limiter.Tokens(initialTokens + coldStartSeconds*l.Rate), true
	}
	return limiter.Tokens(initialTokens + initialSeconds*l.Rate), false
}

// owns reports whether this VM takes itself for the owner of an account's rate. It may be asked before it learns that the owner was
// lost. s.mu must be held.
func (s *rates) owns(account string) bool {
	if s.placed == nil {
		return false
	}
	o, ok := s.placed.owner(rateKey(account), "")
	return ok && o.Address == s.relayer.Self.Address
}

// noteSharers records since when rates are placed among the same VMs, all of which this one reaches. s.mu must be held.
func (s *rates) noteSharers(now time.Time, p *placement, steady bool) {
	if p != s.placed {
		s.placed = p
		cs := p.candidates("")
		steady = steady && slices.Equal(cs, s.sharers)
		s.sharers = cs
	}
	if !steady || s.steadySince.IsZero() {
		s.steadySince = now
	}
}

// place sets this VM's share of each rate: the part of the fleet that it reaches while it owns the rate, else none. When it
// becomes the owner again, it must not go on with what it knew, as another owner granted tokens meanwhile. Nor may it start anew:
// the role can change several times in a second.
func (s *rates) place(p *placement) {
	share := s.relayer.reachableShare()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	suspended := !s.placedAt.IsZero() && now.Sub(s.placedAt) > downAfter
	s.noteSharers(now, p, share >= 1 && !suspended)
	for a, b := range s.buckets {
		if suspended {
			b.SetShare(s.placedAt, 0) // The others may have marked this VM down.
		}
		if o, ok := p.owner(rateKey(a), ""); ok && o.Address == p.self.Address {
			b.SetShare(now, share)
			b.ownedAt, b.reportedTo = now, placer.VM{}
			continue
		}
		b.SetShare(now, 0)
		if now.Sub(b.ownedAt) > lostBucketTTL {
			delete(s.buckets, a)
		}
	}
	s.placedAt = now
}

// grantReport is a report of what this VM granted of an account's rate, for the VM that owns it now.
type grantReport struct {
	bucket  *rateBucket
	owner   placer.VM
	granted *wire.Granted
}

// ReportGrants tells the owners of rates what this VM granted of them within the last window, while it took itself for the owner.
func (r *Relayer) ReportGrants(ctx context.Context) {
	for _, g := range r.rates.reports(r.placement()) {
		_, err := r.takeFromOwner(ctx, g.owner, &wire.Request{Body: &wire.Request_Granted{Granted: g.granted}})
		if err != nil {
			r.Logger.Debug("cannot report what was granted of a rate; will retry", zap.String("account", g.granted.GetAccount()),
				zap.Stringer("owner", g.owner.Address), logger.Err(err))
			r.rates.repeatReport(g)
		}
	}
}

// reports returns the reports that the owners of rates lack, and counts them as sent.
func (s *rates) reports(p *placement) []grantReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	var gs []grantReport
	for a, b := range s.buckets {
		o, ok := p.owner(rateKey(a), "")
		if !ok || o.Address == p.self.Address || o.Same(b.reportedTo) || !b.HasGranted(now) {
			continue
		}
		b.reportedTo = o
		counts, slot := b.Granted(now)
		m := &wire.Granted{Account: a, SlotMs: uint32(slot.Milliseconds())}
		for _, n := range counts {
			m.Counts = append(m.Counts, uint32(math.Round(float64(n))))
		}
		gs = append(gs, grantReport{b, o, m})
	}
	return gs
}

// repeatReport makes a report that did not arrive due again.
func (s *rates) repeatReport(g grantReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.owner.Same(g.bucket.reportedTo) {
		g.bucket.reportedTo = placer.VM{}
	}
}

// handleGranted records what a peer granted of the rate of an account that this VM owns.
func (s *rates) handleGranted(from placer.VM, m *wire.Granted) error {
	l, err := s.ownedLimit(m.GetAccount())
	if err != nil {
		return err
	}
	counts := make([]limiter.Tokens, len(m.GetCounts()))
	for i, n := range m.GetCounts() {
		counts[i] = limiter.Tokens(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.relayer.Clock.Now()
	s.bucket(now, m.GetAccount(), l).Report(now, from, counts, time.Duration(m.GetSlotMs())*time.Millisecond)
	return nil
}

// reportGrants reports what this VM granted of rates that others own.
func (r *Relayer) reportGrants(ctx context.Context) {
	for ; ctx.Err() == nil; r.sleep(ctx, tickInterval) {
		r.ReportGrants(ctx)
	}
}

// rateKey returns the key by which the owner of an account's rate is placed.
func rateKey(account string) string { return "rate/" + account }

// checkOwner returns an error if this VM must not own a rate or a limit now.
func (r *Relayer) checkOwner() error {
	if r.Role() == tracker.RoleLeaving {
		return errors.New("this daemon is leaving")
	}
	if !r.Tracker.MembersKnown() {
		return errors.New("this daemon does not know its peers yet")
	}
	return nil
}

// coldStart reports whether nearly all VMs of the fleet started just now. Those that left before the last window do not count.
func (r *Relayer) coldStart() bool {
	all, recent := 0, 0
	now := r.Clock.Now()
	since := placer.NewIncarnation(now.Add(-coldStartAge))
	for _, m := range r.Tracker.Members() {
		if m.Role == tracker.RoleLeaving && now.Sub(m.AsOf) >= r.RateWindow+downAfter {
			continue
		}
		all++
		if m.Incarnation > since {
			recent++
		}
	}
	return float64(recent) >= coldStartShare*float64(all)
}

func limitOf(t *router.Table, account string) (limiter.Limit, bool) {
	a := t.AccountByName(account)
	if a == nil {
		return limiter.Limit{}, false
	}
	return limiter.Limit{Rate: a.Rate, Burst: limiter.Tokens(max(1, a.Burst))}, true
}
