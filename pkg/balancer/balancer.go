package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// suspectThreshold is the evidence at which an instance is suspected. One broken connection or two errors reach it.
	suspectThreshold = 4.5
	// maxEvidence caps the evidence, so that about five answers clear a recovered instance of suspicion.
	maxEvidence = 11.0
	// minEvidence limits how far past answers lower the evidence, so that a new fault is detected immediately.
	minEvidence = -2.0
	// halfLife is the half-life of evidence and of deviations of relative latency. Faults on this platform last a few
	// seconds.
	halfLife = 3 * time.Second
	// trialAfter is the time without activity after which an instance, whether suspected or merely not chosen,
	// gets a trial: an idempotent request from its own failure domain. A healthy instance must not be without
	// requests for 2 s.
	trialAfter = 700 * time.Millisecond
	// remoteTrialAfter is the time without activity before processes of other failure domains start a trial. It is
	// longer because reports take longer to reach them.
	remoteTrialAfter = time.Second
	// trialProbability is the probability that an idempotent request is used for a trial that is due. It makes it unlikely
	// that several VMs start a trial of the same instance at the same time.
	trialProbability = 0.4
	// maxSuspectShare is the largest share of a service's instances that may be out of use because of suspicion.
	maxSuspectShare = 0.3
	// crossDomainCost is the cost of sending a request to another failure domain, in service times.
	crossDomainCost = 0.6
	// warmupCost is the additional expected wait at an instance that is still warming up, in service times.
	warmupCost = 0.8
	// costJitter is the upper bound of a random cost, in service times. It lets instances that cost slightly more than
	// the cheapest one get requests too.
	costJitter = 0.35
	// goodCost is the cost, in service times, up to which the search for an instance stops early and doesn't go on in
	// other failure domains. It is that of a free slot at an instance of usual speed.
	goodCost = 1.3
	// minSamples is the minimum number of instances to sample. A larger sample makes the choice depend more on outdated
	// load reports.
	minSamples = 3
	// maxSamples is the maximum number of instances to sample in the own failure domain, and then again in the others.
	maxSamples = 6
	// refreshInterval is the interval at which suspicion is recomputed when no outcome changes it. It is short
	// compared with halfLife, so evidence hardly decays in between.
	refreshInterval = 20 * time.Millisecond
	// noRecentAnswerCost is the additional cost, in service times, of an instance without an answer within
	// recentAnswerWindow, for requests that may run only once. The cost rises linearly with the time since the last
	// answer. Instances may fail for a while without being noticed, so such requests prefer instances where others
	// just succeeded, and idempotent requests check the rest.
	noRecentAnswerCost = 0.6
	recentAnswerWindow = time.Second
	// recentActivityCost is the additional cost, in service times, of an instance with activity just now, for
	// idempotent requests; it falls linearly to zero within recentActivityWindow. At a low request rate, a uniformly
	// random choice would leave a fifth of the instances without any request for 2 s.
	recentActivityCost   = 0.4
	recentActivityWindow = time.Second
	// fullTTL is how long an instance counts as full after it refused a request. It is about the time until a
	// running request ends and frees a slot.
	fullTTL = 300 * time.Millisecond
	// fullCost is the additional cost of an instance that counts as full, in service times.
	fullCost = 1.0
	// peerInFlightTTL is how long the number of requests that peers run at an instance is valid after its last update.
	peerInFlightTTL = 1500 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average of relative latency.
	latencyWeight = 0.15
	// minRelativeLatency and maxRelativeLatency clamp each sample of relative latency.
	minRelativeLatency = 0.5
	maxRelativeLatency = 12.0
)

// Instance is one instance of a service.
type Instance struct {
	ID string `json:"id"`
	// Incarnation is the start time of the instance in Unix milliseconds, as it reports it; an instance may start again under
	// its ID.
	Incarnation int64          `json:"born"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Domain      string         `json:"domain"`
	Slots       int            `json:"slots"`
	// WarmAt is when the instance reaches its full speed.
	WarmAt time.Time `json:"warmAt,omitzero"`
	// Limit is the request rate that the instance accepts from all processes together, in requests per second; zero if it
	// stated none.
	Limit float64 `json:"limit,omitempty"`
}

// state is the state of an instance as this process knows it from its own requests and from reports of peers.
type state struct {
	Instance
	// evidence is the log-likelihood ratio of being unhealthy against being healthy, as decayed until decayedAt.
	evidence  float64
	decayedAt time.Time
	// inFlight is the number of requests that this process has in flight at the instance. peerInFlight is the
	// number that its peers have, as last reported at peerInFlightAt.
	inFlight       int
	peerInFlight   int
	peerInFlightAt time.Time
	// relativeLatency is the moving average of its latencies, each as a multiple of the usual latency of its route.
	relativeLatency float64
	// trialsInFlight is the number of trials that this process has in flight.
	trialsInFlight int
	// lastActivityAt is when a request was last sent to the instance, or an outcome observed or reported, or when peers
	// last reported more requests in flight there than before.
	lastActivityAt time.Time
	// lastAnswerAt is when an answer of the instance was last observed or reported.
	lastAnswerAt time.Time
	// fullUntil is the end of the time for which the instance counts as full because it refused a request.
	fullUntil time.Time
	// withheldUntil is the end of the time for which the instance is not picked because its limit is reached.
	withheldUntil time.Time
	// pausedUntil is the end of the time for which the instance wants no requests.
	pausedUntil time.Time
	// suspect is true while the instance is out of use because of its evidence.
	suspect bool
}

// Balancer chooses among the instances of one service.
type Balancer struct {
	domain    string
	random    *rand.Rand
	instances map[string]*state
	order     []*state
	// local and remote are the instances that are not suspected, in the own failure domain and in the others.
	local, remote []*state
	// refreshedAt is when suspicion was last recomputed; zero forces the next refreshSuspects to recompute it.
	refreshedAt time.Time
	// limited is set if any instance has a limit.
	limited bool
	// pauses are those that instances asked for, by ID. They outlast a time in which an instance is not in the list.
	pauses map[string]pause
	// dueTrials is a buffer that pickTrial reuses.
	dueTrials []*state
}

// New returns a balancer without instances, for a process in the given failure domain.
func New(domain string, r *rand.Rand) *Balancer {
	return &Balancer{domain: domain, random: r, instances: map[string]*state{}, pauses: map[string]pause{}}
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
	if r.Idempotent && len(r.Tried) == 0 {
		if s := b.pickTrial(now, r); s != nil {
			return b.assign(now, s, true), true
		}
	}
	best, lowest := b.sample(now, b.local, r, nil, math.Inf(1))
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
		if c := b.cost(now, s, r); c < lowest {
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
		c := b.cost(now, s, r)
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
		s.trialsInFlight++
	}
	return c
}

// pickTrial returns an instance for a trial by an idempotent request, or nil. Of two random instances that are due, it
// returns the one with the longer time without activity, so that VMs with the same view don't all choose the same one.
func (b *Balancer) pickTrial(now time.Time, r Request) *state {
	if b.random.Float64() >= trialProbability {
		return nil
	}
	b.dueTrials = b.dueTrials[:0]
	for _, s := range b.order {
		after := trialAfter
		if s.Domain != b.domain {
			after = remoteTrialAfter
		}
		if r.LowRetryBudget && s.suspect {
			after = after * 3 / 2
		}
		if s.trialsInFlight == 0 && now.Sub(s.lastActivityAt) > after && b.hasRoom(now, s, r) {
			b.dueTrials = append(b.dueTrials, s)
		}
	}
	if len(b.dueTrials) == 0 {
		return nil
	}
	x, y := b.dueTrials[b.random.IntN(len(b.dueTrials))], b.dueTrials[b.random.IntN(len(b.dueTrials))]
	if y.lastActivityAt.Before(x.lastActivityAt) {
		return y
	}
	return x
}

// refreshSuspects recomputes which instances are out of use because of suspicion. If more than the share
// maxSuspectShare reach suspectThreshold, only those with the most evidence are.
func (b *Balancer) refreshSuspects(now time.Time) {
	if !b.refreshedAt.IsZero() && now.Sub(b.refreshedAt) < refreshInterval {
		return
	}
	b.refreshedAt = now
	var suspects []*state
	for _, s := range b.order {
		s.suspect = false
		if s.decay(now); s.evidence >= suspectThreshold {
			suspects = append(suspects, s)
		}
	}
	maxSuspects := int(maxSuspectShare * float64(len(b.order)))
	if len(suspects) > maxSuspects {
		slices.SortFunc(suspects, func(x, y *state) int { return cmp.Compare(y.evidence, x.evidence) })
		suspects = suspects[:maxSuspects]
	}
	for _, s := range suspects {
		s.suspect = true
	}
	b.local, b.remote = b.local[:0], b.remote[:0]
	for _, s := range b.order {
		switch {
		case s.suspect:
		case s.Domain == b.domain:
			b.local = append(b.local, s)
		default:
			b.remote = append(b.remote, s)
		}
	}
}

// cost returns the expected wait of a request at an instance, in service times.
func (b *Balancer) cost(now time.Time, s *state, r Request) float64 {
	slots := float64(max(1, s.Slots))
	l := float64(s.load(now))
	c := s.relativeLatency * (1 + 0.3*l/slots + max(0, l+1-slots)/slots)
	if s.Domain != b.domain {
		c += crossDomainCost
	}
	if now.Before(s.WarmAt) {
		c += warmupCost
	}
	if now.Before(s.fullUntil) {
		c += fullCost
	}
	if r.Idempotent {
		c += recentActivityCost * max(0, 1-now.Sub(s.lastActivityAt).Seconds()/recentActivityWindow.Seconds())
	} else {
		c += noRecentAnswerCost * min(1, now.Sub(s.lastAnswerAt).Seconds()/recentAnswerWindow.Seconds())
	}
	return c + costJitter*b.random.Float64() + max(0, s.evidence)/suspectThreshold
}

// load returns the known number of requests in flight at the instance.
func (s *state) load(now time.Time) int {
	if now.Sub(s.peerInFlightAt) > peerInFlightTTL {
		return s.inFlight
	}
	return s.inFlight + s.peerInFlight
}

// decay moves the evidence toward 0 and the relative latency toward 1, both with half-life halfLife.
func (s *state) decay(now time.Time) {
	if d := now.Sub(s.decayedAt); d > 0 {
		f := math.Exp2(-d.Seconds() / halfLife.Seconds())
		s.evidence *= f
		s.relativeLatency = 1 + (s.relativeLatency-1)*f
		s.decayedAt = now
	}
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
	switch o {
	case OutcomeAnswered:
		s.lastAnswerAt = now
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

// Report has the outcomes that a peer observed at an instance.
type Report struct {
	Instance string
	// Counts is the number of requests by outcome.
	Counts map[Outcome]int
	// RelativeLatency is the mean latency of its answers as a multiple of the usual latency of their routes, or zero.
	RelativeLatency float64
}

// ApplyReport applies the report of a peer. It ignores instances that are not in the list.
func (b *Balancer) ApplyReport(now time.Time, r Report) {
	s := b.instances[r.Instance]
	if s == nil {
		return
	}
	if r.Counts[OutcomeShed] > 0 {
		s.fullUntil = now.Add(fullTTL)
	}
	// Answers come first: failures in the same report are taken to be more recent.
	for o := range OutcomeMoved + 1 {
		for range min(r.Counts[o], maxReportedOutcomes) {
			b.addEvidence(now, s, llr(o, false))
		}
	}
	if r.Counts[OutcomeAnswered] > 0 {
		s.lastAnswerAt = now
	}
	if r.Counts[OutcomeAnswered] > 0 && r.RelativeLatency > 0 {
		s.addLatency(r.RelativeLatency)
	}
}

// maxReportedOutcomes is how many outcomes of each kind are counted from one report.
const maxReportedOutcomes = 8

// SetPeerInFlight sets how many requests all peers together have in flight at an instance. The number is used for
// peerInFlightTTL.
func (b *Balancer) SetPeerInFlight(now time.Time, id string, n int) {
	s := b.instances[id]
	if s == nil {
		return
	}
	if n > s.peerInFlight {
		s.lastActivityAt = now
	}
	s.peerInFlight, s.peerInFlightAt = n, now
}

// EachInFlight calls f for each instance with the number of requests that this process has in flight there.
func (b *Balancer) EachInFlight(f func(id string, n int)) {
	for _, s := range b.order {
		f(s.ID, s.inFlight)
	}
}

// addEvidence adds the log-likelihood ratio r to the evidence against an instance.
func (b *Balancer) addEvidence(now time.Time, s *state, r float64) {
	s.decay(now)
	s.lastActivityAt = now
	s.evidence = max(minEvidence, min(maxEvidence, s.evidence+r))
	if s.suspect != (s.evidence >= suspectThreshold) {
		b.refreshedAt = time.Time{}
	}
}

// addLatency adds a sample to the moving average of relative latency.
func (s *state) addLatency(relativeLatency float64) {
	r := min(maxRelativeLatency, max(minRelativeLatency, relativeLatency))
	s.relativeLatency += latencyWeight * (r - s.relativeLatency)
}

// Judgement is the state of an instance, for dumps.
type Judgement struct {
	Instance
	Evidence        float64 `json:"evidence"`
	Suspect         bool    `json:"suspect"`
	Load            int     `json:"load"`
	RelativeLatency float64 `json:"relativeLatency"`
}

// Judgements returns the state of all instances, ordered by ID, with suspicion recomputed.
func (b *Balancer) Judgements(now time.Time) []Judgement {
	b.refreshedAt = time.Time{}
	b.refreshSuspects(now)
	js := make([]Judgement, 0, len(b.order))
	for _, s := range b.order {
		js = append(js, Judgement{s.Instance, s.evidence, s.suspect, s.load(now), s.relativeLatency})
	}
	return js
}
