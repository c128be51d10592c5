package balancer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

//go:generate go tool enumer -type=Standing -trimprefix=Standing -transform=kebab -text

// Standing says whether an instance may be chosen for its cost, or why not.
type Standing int

// The standings.
const (
	// StandingCandidate is an instance that may be chosen.
	StandingCandidate Standing = iota
	// StandingPaused is one that asked for no requests for a while.
	StandingPaused
	// StandingNoRoom is one whose limit is reached, or whose queue is full while instances have limits.
	StandingNoRoom
	// StandingSuspected is one that is likely to be unhealthy. It gets trials, and requests that no other may get.
	StandingSuspected
)

// Candidate is an instance as Pick would see it.
type Candidate struct {
	Instance
	Standing Standing `json:"standing"`
	// Cost has the parts of what Pick compares, and Total their sum. Pick adds up to CostJitter at random.
	Cost  Cost    `json:"cost"`
	Total float64 `json:"total"`
	// ReuseSaving is what Pick takes off if the instance is one of the few that it compares for their kept connections.
	ReuseSaving float64 `json:"reuseSaving"`
	Evidence    float64 `json:"evidence"`
	Load        int     `json:"load"`
	// Picked is the share of the draws that chose the instance, and Trial the share that did to try it.
	Picked float64 `json:"picked"`
	Trial  float64 `json:"trial"`
}

// CostJitter is the upper bound of what Pick adds to a cost at random, in service times.
const CostJitter = costJitter

// Explanation says what Pick would choose.
type Explanation struct {
	// Candidates are all instances: those that are chosen more often first, then the cheaper ones.
	Candidates []Candidate `json:"candidates"`
	// Draws is how often Pick was drawn on a copy, and None the share of the draws that chose no instance.
	Draws int     `json:"draws"`
	None  float64 `json:"none"`
}

// Explain returns what Pick would choose for a request now. Pick samples instances and adds a jitter to their costs, so it is
// drawn n times with a random source of the caller's, each time on the same copy of the state. The balancer does not change.
// The returned function does the work and needs no exclusion.
func (b *Balancer) Explain(now time.Time, r Request, random *rand.Rand, n int) func() Explanation {
	c := b.clone(random)
	return func() Explanation { return c.explain(now, r, n) }
}

func (b *Balancer) explain(now time.Time, r Request, n int) Explanation {
	b.refreshSuspects(now)
	e := Explanation{Candidates: make([]Candidate, 0, len(b.order)), Draws: n}
	picked, trials, none := b.draw(now, r, n)
	share := func(count int) float64 { return float64(count) / float64(max(1, n)) }
	e.None = share(none)
	for _, s := range b.order {
		p := b.costParts(now, s)
		c := Candidate{
			Instance: s.Instance, Standing: b.standing(now, s, r), Cost: p, Total: p.total(0), Evidence: s.evidence, Load: s.load(now),
			Picked: share(picked[s.ID]), Trial: share(trials[s.ID]),
		}
		if !s.answeredAt.IsZero() && now.Sub(s.answeredAt) <= reuseWindow && b.isReusable(now, s, r) {
			c.ReuseSaving = reuseSaving
		}
		e.Candidates = append(e.Candidates, c)
	}
	slices.SortStableFunc(e.Candidates, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(y.Picked, x.Picked), cmp.Compare(x.Standing, y.Standing), cmp.Compare(x.Total, y.Total))
	})
	return e
}

// draw calls Pick n times in the same state, and counts the choices and those for trials by instance, and those of none.
func (b *Balancer) draw(now time.Time, r Request, n int) (picked, trials map[string]int, none int) {
	picked, trials = map[string]int{}, map[string]int{}
	before, allowance := make(map[string]state, len(b.order)), b.trialAllowance
	for _, s := range b.order {
		before[s.ID] = *s
	}
	for range n {
		c, ok := b.Pick(now, r)
		b.trialAllowance = allowance
		if !ok {
			none++
			continue
		}
		picked[c.ID]++
		if c.Trial {
			trials[c.ID]++
		}
		*b.instances[c.ID] = before[c.ID]
	}
	return picked, trials, none
}

func (b *Balancer) standing(now time.Time, s *state, r Request) Standing {
	switch {
	case now.Before(s.pausedUntil):
		return StandingPaused
	case !b.hasRoom(now, s, r):
		return StandingNoRoom
	case s.suspect || !b.available(now, s, r):
		return StandingSuspected
	}
	return StandingCandidate
}

// clone returns a copy that shares nothing with the balancer, with another random source.
func (b *Balancer) clone(random *rand.Rand) *Balancer {
	c := *b
	c.random, c.dueTrials, c.pauses = random, nil, maps.Clone(b.pauses)
	copies := make(map[*state]*state, len(b.order))
	copyAll := func(states []*state) []*state {
		cs := make([]*state, len(states))
		for i, s := range states {
			if copies[s] == nil {
				v := *s
				copies[s] = &v
			}
			cs[i] = copies[s]
		}
		return cs
	}
	c.order, c.local, c.remote, c.reusable = copyAll(b.order), copyAll(b.local), copyAll(b.remote), copyAll(b.reusable)
	c.instances = make(map[string]*state, len(c.order))
	for _, s := range c.order {
		c.instances[s.ID] = s
	}
	return &c
}
