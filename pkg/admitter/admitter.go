package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

const (
	// UpdateInterval is the time between two updates of a service's shares.
	UpdateInterval = 100 * time.Millisecond
	// A service becomes short of room when its instances refuse shortRefusedShare of the sends while shortUse of the slots are
	// in use. Below that share, a second attempt makes 99 in 100 requests succeed. Refusals by instances with free slots are
	// no want of room: others are served no better if a request is rejected.
	shortRefusedShare = 0.1
	shortUse          = 0.9
	// Room is back when less than roomUse of the slots is in use.
	roomUse = 0.75
	// overcommit is how much more than what the instances took is let in, so that they stay full, and growth how much more while
	// less than roomRefusedShare is refused: the instances may take more. As news of an increase takes a second, it must be small.
	overcommit       = 1.03
	growth           = 1.1
	roomRefusedShare = 0.02
	// releaseTime is the time in which all levels are let in again once room is back. Callers expect it within a second, in
	// which the news travels, too.
	releaseTime = 400 * time.Millisecond
	// adjustment is the part of the difference to its target by which a share changes in UpdateInterval.
	adjustment = 0.25
	// nearlyAll is the share from which on all are let in if the target is all.
	nearlyAll = 0.99
	// minLevelShare is how often a level or an account is let in at least, as a share of how often all are.
	minLevelShare = 0.35
	// The delay after which a rejected caller should return is at least minRetryAfter. It grows with the time for which the
	// service has been short of room, up to maxRetryAfter, since that is how much longer it may be, and is drawn from the time
	// between once and twice that.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Load is what is known of a service over the whole fleet.
type Load struct {
	aggregator.Counts
	// Use is the share of the slots of the usable instances that is in use. It may exceed 1: instances queue some requests.
	Use float64
}

// Request is a request that asks for room.
type Request struct {
	Service string
	// Level is the level of urgency; 0 is the highest.
	Level int
	// Account names the client account, and Rate is its limit in requests per second; zero if it has none.
	Account string
	Rate    float64
}

// Decision says whether a request may be sent.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which the caller of a rejected request should return.
	RetryAfter time.Duration
}

// service is the state of a service that is short of room or was until just now.
type service struct {
	createdAt, updatedAt time.Time
	// shortSince is when it became short of room; zero while room is coming back.
	shortSince time.Time
	// shares are the shares of the requests that are let in, by level.
	shares [aggregator.Levels]float64
	levels [aggregator.Levels]*accounts
}

// Admitter decides for the requests at one VM. It is not safe for concurrent use.
type Admitter struct {
	random   *rand.Rand
	services map[string]*service
}

// New returns an Admitter that lets all requests in.
func New(r *rand.Rand) *Admitter { return &Admitter{random: r, services: map[string]*service{}} }

// Update applies what is known of a service now. It is to be called about every UpdateInterval while a service has
// requests.
func (a *Admitter) Update(now time.Time, name string, l Load) {
	s := a.services[name]
	if s == nil {
		if l.RefusedShare() < shortRefusedShare || l.Use < shortUse {
			return
		}
		s = newService(now)
		a.services[name] = s
	}
	if l.Use < roomUse {
		s.release(now)
	} else {
		s.approach(now, targetShares(l))
	}
	s.updatedAt = now
	if s.letsAllIn() {
		delete(a.services, name)
		return
	}
	for i, c := range s.levels {
		c.update(now, s.shares[i])
	}
}

func newService(now time.Time) *service {
	s := &service{createdAt: now, updatedAt: now, shortSince: now}
	for i := range s.levels {
		s.shares[i], s.levels[i] = 1, newAccounts(now)
	}
	return s
}

// release lets more requests in since room is back.
func (s *service) release(now time.Time) {
	s.shortSince = time.Time{}
	for i := range s.shares {
		s.shares[i] = min(1, s.shares[i]+now.Sub(s.updatedAt).Seconds()/releaseTime.Seconds())
	}
}

// approach moves the shares towards their targets.
func (s *service) approach(now time.Time, targets [aggregator.Levels]float64) {
	if s.shortSince.IsZero() {
		s.shortSince = now
	}
	part := min(1, adjustment*now.Sub(s.updatedAt).Seconds()/UpdateInterval.Seconds())
	for i := range s.shares {
		s.shares[i] += part * (targets[i] - s.shares[i])
		if targets[i] == 1 && s.shares[i] > nearlyAll {
			s.shares[i] = 1
		}
	}
}

// letsAllIn reports whether all requests are let in. It is false for a service that has just become short of room.
func (s *service) letsAllIn() bool {
	for _, n := range s.shares {
		if n < 1 {
			return false
		}
	}
	return s.updatedAt.After(s.createdAt)
}

// targetShares returns the shares of the levels that fill what the instances take now, and a little more.
// Each level gets minLevelShare of what all get on average, and the rest goes to the most urgent first.
func targetShares(l Load) (shares [aggregator.Levels]float64) {
	total := 0.0
	for _, n := range l.Offered {
		total += float64(n)
	}
	room := overcommit * float64(l.Sends-l.Refused)
	if l.RefusedShare() < roomRefusedShare {
		room = growth * float64(l.Sends-l.Refused)
	}
	if total <= room {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	mean := room / total
	left := room * (1 - minLevelShare)
	for i, n := range l.Offered {
		shares[i] = minLevelShare * mean
		if n == 0 {
			if left > 0 {
				shares[i] = 1
			}
			continue
		}
		more := min(left, (1-shares[i])*float64(n))
		left -= more
		shares[i] += more / float64(n)
	}
	return shares
}

// Admit decides for a request.
func (a *Admitter) Admit(now time.Time, r Request) Decision {
	s := a.services[r.Service]
	if s == nil {
		return Decision{Admitted: true}
	}
	if s.levels[r.Level].admit(now, r, s.shares[r.Level], a.random.Float64()) {
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: s.retryAfter(now, a.random.Float64())}
}

// Chance says what Admit would decide.
type Chance struct {
	// Share is the share of the level's requests that is let in, and Account that of the account's.
	Share, Account float64
	// MinRetryAfter and MaxRetryAfter bound the delay after which the caller of a rejected request should return.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Chance returns what Admit would decide for a request, which it does not count. Update must not be called concurrently.
func (a *Admitter) Chance(now time.Time, r Request) Chance {
	s := a.services[r.Service]
	if s == nil {
		return Chance{Share: 1, Account: 1}
	}
	l := s.levels[r.Level]
	known := account{offered: rate{0, now}}
	if o := l.by[r.Account]; o != nil {
		known = *o
	}
	known.weight = r.Rate
	return Chance{
		Share: s.shares[r.Level], Account: l.chance(now, known, s.shares[r.Level]),
		MinRetryAfter: s.retryAfter(now, 0), MaxRetryAfter: s.retryAfter(now, 1),
	}
}

// Clone returns a copy with another random source, which shares nothing with the admitter.
func (a *Admitter) Clone(r *rand.Rand) *Admitter {
	c := New(r)
	for n, s := range a.services {
		v := *s
		for i, l := range s.levels {
			v.levels[i] = l.clone()
		}
		c.services[n] = &v
	}
	return c
}

// retryAfter returns a delay that spreads the returns over the time in which room is expected.
func (s *service) retryAfter(now time.Time, random float64) time.Duration {
	d := minRetryAfter
	if !s.shortSince.IsZero() {
		d = min(maxRetryAfter, max(d, now.Sub(s.shortSince)))
	}
	return d + time.Duration(random*float64(d))
}

// Shares returns the shares of the requests that are let in, by level, of each service that is short of room.
func (a *Admitter) Shares() map[string][aggregator.Levels]float64 {
	all := make(map[string][aggregator.Levels]float64, len(a.services))
	for n, s := range a.services {
		all[n] = s.shares
	}
	return all
}
