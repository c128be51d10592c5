package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateAge is the time constant of an account's rate of requests. It spans several requests of an account that sends one a
	// second to the VM.
	rateAge = 2 * time.Second
	// forgottenRate is the rate in requests per second below which an account is forgotten.
	forgottenRate = 0.01
	// rareBelow is the rate in requests per second below which the rate of one account tells little: it is near zero at most of
	// its requests.
	rareBelow = 1.0
	// correctionGain is the part of the difference between the share that was let in and the one that should be by which the
	// level of fair shares changes in an update. The rates lag by rateAge, so it must be small.
	correctionGain = 0.02
)

// accounts shares a level's room among client accounts: each gets up to the same multiple of its weight, so that one that
// sends more than its part of the room does not take that of others. Accounts that need less leave the rest to the others.
type accounts struct {
	by map[string]*account
	// multiple is the number of requests per second that an account gets for each unit of weight, and correction a factor of
	// it that makes up for errors of the rates.
	multiple, correction float64
	// offered and admitted are the rates of all accounts, and rareRate is the mean rate of those below rareBelow.
	offered, admitted rate
	rareRate          float64
}

type account struct {
	offered rate
	weight  float64
}

// rate is a moving average of events per second.
type rate struct {
	value     float64
	updatedAt time.Time
}

func (r *rate) at(now time.Time) float64 {
	if d := now.Sub(r.updatedAt); d > 0 {
		r.value *= math.Exp(-d.Seconds() / rateAge.Seconds())
		r.updatedAt = now
	}
	return r.value
}

func (r *rate) count(now time.Time) {
	r.at(now)
	r.value += 1 / rateAge.Seconds()
}

func newAccounts(now time.Time) *accounts {
	return &accounts{by: map[string]*account{}, multiple: math.Inf(1), correction: 1, offered: rate{0, now}, admitted: rate{0, now}}
}

// admit decides for a request of an account; share is the share of the level's requests to let in, and random is uniform in
// [0, 1).
func (c *accounts) admit(now time.Time, r Request, share, random float64) bool {
	a := c.by[r.Account]
	if a == nil {
		a = &account{offered: rate{0, now}}
		c.by[r.Account] = a
	}
	a.weight = r.Rate
	// The request itself is no evidence of a high rate.
	p := c.chance(now, *a, share)
	a.offered.count(now)
	c.offered.count(now)
	if random >= p {
		return false
	}
	c.admitted.count(now)
	return true
}

// chance returns the probability that a request of an account is let in.
func (c *accounts) chance(now time.Time, a account, share float64) float64 {
	if share >= 1 {
		return 1
	}
	p := min(1, c.correction*c.multiple*c.weightOf(&a)/max(c.rateOf(&a, now), forgottenRate))
	return max(p, minLevelShare*share)
}

// clone returns a copy that shares nothing with the accounts.
func (c *accounts) clone() *accounts {
	o := *c
	o.by = make(map[string]*account, len(c.by))
	for n, a := range c.by {
		v := *a
		o.by[n] = &v
	}
	return &o
}

// weightOf returns the weight of an account: its limit, or 1 without any.
func (*accounts) weightOf(a *account) float64 {
	if a.weight > 0 {
		return a.weight
	}
	return 1
}

// rateOf returns the rate to go by for an account. Those below rareBelow are taken together.
func (c *accounts) rateOf(a *account, now time.Time) float64 {
	if r := a.offered.at(now); r >= rareBelow {
		return r
	}
	return c.rareRate
}

// update computes the fair shares that add up to a share of the offered requests.
func (c *accounts) update(now time.Time, share float64) {
	var as []*account
	total, rare, rareTotal := 0.0, 0, 0.0
	for n, a := range c.by {
		if a.offered.at(now) < forgottenRate {
			delete(c.by, n)
			continue
		}
		as = append(as, a)
		total += a.offered.value
		if a.offered.value < rareBelow {
			rare++
			rareTotal += a.offered.value
		}
	}
	c.rareRate = rareTotal / float64(max(1, rare))
	if share >= 1 || len(as) == 0 {
		c.multiple, c.correction = math.Inf(1), 1
		return
	}
	if o := c.offered.at(now); o > 0 {
		c.correction = min(4, max(0.25, c.correction+correctionGain*(share-c.admitted.at(now)/o)))
	}
	need := func(a *account) float64 { return c.rateOf(a, now) / c.weightOf(a) }
	slices.SortFunc(as, func(a, b *account) int { return cmp.Compare(need(a), need(b)) })
	weights := 0.0
	for _, a := range as {
		weights += c.weightOf(a)
	}
	left := share * total
	for _, a := range as {
		c.multiple = left / weights
		if need(a) > c.multiple {
			return
		}
		left -= c.rateOf(a, now)
		weights -= c.weightOf(a)
	}
}
