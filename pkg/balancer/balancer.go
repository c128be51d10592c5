package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minSamples is the minimum number of instances to sample. A larger sample makes the choice depend more on outdated
	// load reports.
	minSamples = 3
	// maxSamples is the maximum number of instances to sample in the own failure domain, and then again in the others.
	maxSamples = 6
)

// Balancer chooses among the instances of one service.
type Balancer struct {
	domain    string
	random    *rand.Rand
	instances map[string]*state
	order     []*state
	// local and remote are the instances that are not suspected, in the own failure domain and in the others.
	local, remote []*state
	// crossingCost is the cost of sending a request to another failure domain now, in service times.
	crossingCost float64
	// refreshedAt is when suspicion was last recomputed; zero forces the next refreshSuspects to recompute it.
	refreshedAt time.Time
	// prior is the probability that an instance of which nothing is known is unhealthy.
	prior float64
	// limited is set if any instance has a limit.
	limited bool
	// pauses are those that instances asked for, by ID. They outlast a time in which an instance is not in the list.
	pauses  map[string]pause
	traffic traffic
	// trialAllowance is the number of failures that trials by idempotent requests may cause now.
	trialAllowance float64
	// reusable are the instances that answered this process last, in the order of their answers.
	reusable []*state
	// trials is the number of trials that this process started.
	trials int
	// dueTrials is a buffer that pickTrial reuses.
	dueTrials []*state
}

// New returns a balancer without instances, for a process in the given failure domain.
func New(domain string, r *rand.Rand) *Balancer {
	return &Balancer{domain: domain, random: r, prior: initialPrior, instances: map[string]*state{}, pauses: map[string]pause{}}
}

// SetInstances replaces the instances that may be used. An instance that was in the previous list with the same address
// keeps its state.
func (b *Balancer) SetInstances(now time.Time, is []Instance) {
	next := make(map[string]*state, len(is))
	b.order, b.limited = b.order[:0], false
	for _, i := range is {
		b.limited = b.limited || i.Limit > 0
		s := b.instances[i.ID]
		if s == nil || s.Address != i.Address {
			s = &state{relativeLatency: 1, decayedAt: now, lastActivityAt: now}
		}
		s.Instance = i
		s.pausedUntil = b.pauseOf(i)
		next[i.ID] = s
		b.order = append(b.order, s)
	}
	b.instances, b.refreshedAt = next, time.Time{}
	b.dropPauses(now)
	slices.SortFunc(b.order, func(x, y *state) int { return cmp.Compare(x.ID, y.ID) })
}

// Request describes the request that an instance is picked for.
type Request struct {
	Idempotent bool
	// LowRetryBudget is true if too few retries are left to make up for a failure. The request is then used for a
	// trial of a suspected instance only after 1.5 times the usual time without activity. An unhealthy instance yields
	// no answers that peers could report meanwhile, and a healthy one that is wrongly suspected must not be without
	// requests.
	LowRetryBudget bool
	// UnservedShare is the share of the service's requests, of all processes, that were not served lately.
	UnservedShare float64
	// AvoidLimited is true if the request must not go to an instance with a limit.
	AvoidLimited bool
	// Tried are the IDs of the instances to which the request was already sent.
	Tried []string
}

// Choice is a picked instance with the state that it was picked in.
type Choice struct {
	Instance
	Evidence float64
	// Load is the number of requests in flight at the instance, as far as this process knows.
	Load int
	// Trial is true if the request was used for a trial.
	Trial bool
}

// Pick chooses an instance and counts the request as in flight there until Done. It returns false if there
// is no instance that the request has not tried.
//
// It compares a few instances from a random position on instead of all: loads of peers are known only from their
// last reports, so all processes would otherwise send to the same instance that was idle when it was reported.
// Sampling gives an instance at most a few times its even share, however old the reports are.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, bool) {
	b.refreshSuspects(now)
	if len(r.Tried) == 0 {
		if s := b.pickTrial(now, r); s != nil {
			return b.assign(now, s, true), true
		}
	}
	best, lowest := b.sampleReusable(now, r)
	if lowest > goodCost {
		best, lowest = b.sample(now, b.local, r, best, lowest)
	}
	if lowest > goodCost {
		best, _ = b.sample(now, b.remote, r, best, lowest)
	}
	if best == nil {
		best = b.pickFallback(now, r)
	}
	if best == nil {
		return Choice{}, false
	}
	return b.assign(now, best, false), true
}

// sample compares consecutive candidates from a random position on, at least minSamples and at most maxSamples of them,
// until one costs at most goodCost. It returns the cheapest of them and of best, whose cost is lowest, with its cost.
func (b *Balancer) sample(now time.Time, candidates []*state, r Request, best *state, lowest float64) (*state, float64) {
	if len(candidates) == 0 {
		return best, lowest
	}
	first, samples := b.random.IntN(len(candidates)), 0
	for n := 0; n < len(candidates) && samples < maxSamples && (samples < minSamples || lowest > goodCost); n++ {
		s := candidates[(first+n)%len(candidates)]
		if !b.available(now, s, r) {
			continue
		}
		samples++
		if slices.Contains(r.Tried, s.ID) {
			continue
		}
		if c := b.cost(now, s); c < lowest {
			best, lowest = s, c
		}
	}
	return best, lowest
}

// pickFallback returns the cheapest of all instances that the request has not tried, and a suspected one only if there
// is no other, not even one that is available later. It is needed for services with few instances, or few that the request
// has not tried.
func (b *Balancer) pickFallback(now time.Time, r Request) *state {
	var best *state
	lowest := math.Inf(1)
	later := false
	for _, s := range b.order {
		if slices.Contains(r.Tried, s.ID) || now.Before(s.pausedUntil) {
			continue
		}
		if !b.hasRoom(now, s, r) {
			later = later || s.evidence < suspectThreshold
			continue
		}
		c := b.cost(now, s)
		if s.suspect || !b.available(now, s, r) {
			c += 1000 + s.evidence
		}
		if c < lowest {
			best, lowest = s, c
		}
	}
	if later && best != nil && best.evidence >= suspectThreshold {
		return nil
	}
	return best
}

// assign counts a request as in flight at an instance.
func (b *Balancer) assign(now time.Time, s *state, trial bool) Choice {
	c := Choice{Instance: s.Instance, Evidence: s.evidence, Load: s.load(now), Trial: trial}
	s.inFlight++
	s.lastActivityAt = now
	if trial {
		b.trials++
		s.trialsInFlight++
	}
	return c
}

// Done ends the request of a choice that Pick returned, and counts its outcome as evidence. RelativeLatency is its
// latency as a multiple of the usual latency of its route; it is ignored if zero, or if the outcome is not
// OutcomeAnswered.
func (b *Balancer) Done(now time.Time, c Choice, o Outcome, relativeLatency float64) {
	s := b.unassign(c)
	if s == nil {
		return
	}
	b.addEvidence(now, s, llr(o, true))
	b.traffic.count(now, o, 1)
	switch o {
	case OutcomeAnswered:
		b.noteReusable(now, s)
	case OutcomeShed:
		s.fullUntil = now.Add(fullTTL)
	}
	if o == OutcomeAnswered && relativeLatency > 0 {
		s.addLatency(relativeLatency)
	}
}

// unassign is the inverse of assign; it returns nil if the instance is no longer in the list.
func (b *Balancer) unassign(c Choice) *state {
	s := b.instances[c.ID]
	if s == nil {
		return nil
	}
	s.inFlight = max(0, s.inFlight-1)
	if c.Trial {
		s.trialsInFlight = max(0, s.trialsInFlight-1)
	}
	return s
}

// Observe counts an outcome of a request that is still in flight, such as OutcomeOverdue, as evidence.
func (b *Balancer) Observe(now time.Time, id string, o Outcome) {
	if s := b.instances[id]; s != nil {
		b.addEvidence(now, s, llr(o, true))
	}
}
