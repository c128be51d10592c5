package balancer

import (
	"math"
	"time"
)

// PickSpare chooses an instance for a request that needs no answer of it: one with a free slot that is neither suspected, nor
// limited, nor refused a request lately. It returns false if there is none that the request has not tried.
func (b *Balancer) PickSpare(now time.Time, r Request) (Choice, bool) {
	b.refreshSuspects(now)
	r.AvoidLimited = true
	var spare [2][]*state
	for n, candidates := range [][]*state{b.local, b.remote} {
		for _, s := range candidates {
			if b.hasSpareSlot(now, s) {
				spare[n] = append(spare[n], s)
			}
		}
	}
	best, lowest := b.sample(now, spare[0], r, nil, math.Inf(1))
	if lowest > goodCost {
		best, _ = b.sample(now, spare[1], r, best, lowest)
	}
	if best == nil {
		return Choice{}, false
	}
	return b.assign(now, best, false), true
}

// SlotsInUse returns how many slots the instances have that are not suspected and may get requests, and how many of these are
// in use, as far as this process knows. All slots of an instance that refused a request lately are.
func (b *Balancer) SlotsInUse(now time.Time) (inUse, slots int) {
	b.refreshSuspects(now)
	for _, candidates := range [][]*state{b.local, b.remote} {
		for _, s := range candidates {
			if !b.hasRoom(now, s, Request{AvoidLimited: true}) {
				continue
			}
			n := max(1, s.Slots)
			slots += n
			if now.Before(s.fullUntil) {
				inUse += n
			} else {
				inUse += min(n, s.load(now))
			}
		}
	}
	return inUse, slots
}

// hasSpareSlot reports whether an instance has a free slot for a request that needs no answer of it.
func (b *Balancer) hasSpareSlot(now time.Time, s *state) bool {
	return s.evidence < suspectThreshold && !now.Before(s.fullUntil) && s.load(now) < max(1, s.Slots) &&
		b.hasRoom(now, s, Request{AvoidLimited: true})
}
