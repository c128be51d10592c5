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
	// suspicion is the evidence at which an instance is suspected. One broken connection or two errors reach it.
	suspicion = 4.5
	// maxEvidence caps the evidence, so that about five answers clear a recovered instance of suspicion.
	maxEvidence = 11.0
	// minEvidence limits how far past answers lower the evidence, so that a new fault is detected immediately.
	minEvidence = -2.0
	// fadeTime is the half-life of evidence. Faults on this platform last a few seconds.
	fadeTime = 3 * time.Second
	// trialAfter is the time without activity after which an instance, whether suspected or merely not chosen,
	// gets a trial: an idempotent request from its own failure domain. A healthy instance must not be without
	// requests for 2 s.
	trialAfter = 700 * time.Millisecond
	// farTrialAfter is the time without activity before processes of other failure domains start a trial. It is
	// longer because reports take longer to reach them.
	farTrialAfter = time.Second
	// trialShare is the probability that an idempotent request is used for a trial that is due. It prevents
	// several VMs from starting a trial of the same instance at the same time.
	trialShare = 0.4
	// maxExcluded is the largest share of a service's instances that may be out of use because of suspicion.
	maxExcluded = 0.3
	// crossing is the cost of sending a request to another failure domain, in service times.
	crossing = 0.6
	// warming is the additional expected wait at an instance that is still warming up, in service times.
	warming = 0.8
	// jitter is the upper bound of a random cost, in service times. It lets instances that cost slightly more than
	// the cheapest one get requests too.
	jitter = 0.35
	// good is the cost, in service times, at which the search for an instance may stop early. It is about that of
	// a free slot at an instance of usual speed.
	good = 1.3
	// looks is the minimum number of instances to sample. A larger sample makes the choice depend more on outdated
	// load reports.
	looks = 3
	// draws is the maximum number of instances to sample in the own failure domain, and then again in the others.
	draws = 6
	// refreshPeriod is the interval at which suspicion is recomputed when no outcome changes it. It is short
	// compared with fadeTime, so evidence hardly decays in between.
	refreshPeriod = 20 * time.Millisecond
	// unproven is the additional cost, in service times, of an instance without an answer within provenTime, for
	// requests that may run only once; the cost rises linearly with the time since the last answer. Instances may
	// fail for a while without being noticed, so such requests prefer instances where others just succeeded, and
	// idempotent requests check the rest.
	unproven   = 0.6
	provenTime = time.Second
	// explored is the additional cost, in service times, of an instance with activity just now, for idempotent
	// requests; it falls linearly to zero within exploreTime. At a low request rate, a uniformly random choice
	// would leave a fifth of the instances without any request for 2 s.
	explored    = 0.4
	exploreTime = time.Second
	// fullTime is how long an instance counts as full after it refused a request. It is about the time until a
	// running request ends and frees a slot.
	fullTime = 300 * time.Millisecond
	// full is the additional cost of an instance that counts as full, in service times.
	full = 1.0
	// reportLife is how long the number of requests that peers run at an instance is valid after its last update.
	reportLife = 1500 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average of relative latency.
	latencyWeight = 0.15
	// minRelative and maxRelative clamp each sample of relative latency.
	minRelative = 0.5
	maxRelative = 12.0
)

// Instance is one instance of a service.
type Instance struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	Slots   int            `json:"slots"`
	// WarmAt is when the instance reaches its full speed.
	WarmAt time.Time `json:"warmAt,omitzero"`
}

// state is the state of an instance as this process knows it from its own requests and from reports of peers.
type state struct {
	Instance
	// evidence is the log-likelihood ratio of being unhealthy against being healthy, as decayed until at.
	evidence float64
	at       time.Time
	// running is the number of requests that this process has in flight at the instance. others is the number that
	// its peers have, as last reported at othersAt.
	running  int
	others   int
	othersAt time.Time
	// relative is the moving average of its latencies, each as a multiple of the usual latency of its route.
	relative float64
	// trials is the number of trials that this process has in flight.
	trials int
	// seenAt is when a request was last sent to the instance, or an outcome observed or reported, or when peers
	// last reported more requests in flight there than before.
	seenAt time.Time
	// provenAt is when an answer of the instance was last observed or reported.
	provenAt time.Time
	// fullUntil is the end of the time for which the instance counts as full because it refused a request.
	fullUntil time.Time
	// suspect is true while the instance is out of use because of its evidence.
	suspect bool
}

// Balancer chooses among the instances of one service.
type Balancer struct {
	domain    string
	random    *rand.Rand
	instances map[string]*state
	order     []*state
	// near and far are the instances that are not suspected, in the own failure domain and in the others.
	near, far []*state
	// refreshedAt is when suspicion was last recomputed; zero forces the next refresh to recompute it.
	refreshedAt time.Time
	// due is a buffer that trial reuses.
	due []*state
}

// New returns a balancer without instances, for a process in the given failure domain.
func New(domain string, r *rand.Rand) *Balancer {
	return &Balancer{domain: domain, random: r, instances: map[string]*state{}}
}

// Set replaces the instances that may be used. An instance that was in the previous list with the same address
// keeps its state.
func (b *Balancer) Set(now time.Time, is []Instance) {
	next := make(map[string]*state, len(is))
	b.order = b.order[:0]
	for _, i := range is {
		s := b.instances[i.ID]
		if s == nil || s.Address != i.Address {
			s = &state{relative: 1, at: now, seenAt: now}
		}
		s.Instance = i
		next[i.ID] = s
		b.order = append(b.order, s)
	}
	b.instances, b.refreshedAt = next, time.Time{}
	slices.SortFunc(b.order, func(x, y *state) int { return cmp.Compare(x.ID, y.ID) })
}

// Want describes the request that an instance is picked for.
type Want struct {
	Idempotent bool
	// Careful is true if too few retries are left to make up for a failure. The request is then used for a trial of
	// a suspected instance only after 1.5 times the usual time without activity. An unhealthy instance yields no
	// answers that peers could report meanwhile, and a healthy one that is wrongly suspected must not be without
	// requests.
	Careful bool
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
func (b *Balancer) Pick(now time.Time, w Want) (Choice, bool) {
	b.refresh(now)
	if w.Idempotent && len(w.Tried) == 0 {
		if s := b.trial(now, w.Careful); s != nil {
			return b.take(now, s, true), true
		}
	}
	best, lowest := b.draw(now, b.near, w, nil, math.Inf(1))
	if lowest > good {
		best, _ = b.draw(now, b.far, w, best, lowest)
	}
	if best == nil {
		best = b.last(now, w)
	}
	if best == nil {
		return Choice{}, false
	}
	return b.take(now, best, false), true
}

// draw samples consecutive instances from a random position on, at least looks and at most draws of them, until one
// is good enough. It returns the cheapest of them and of best, whose cost is lowest, with its cost.
func (b *Balancer) draw(now time.Time, from []*state, w Want, best *state, lowest float64) (*state, float64) {
	if len(from) == 0 {
		return best, lowest
	}
	first := b.random.IntN(len(from))
	for n := 0; n < min(draws, len(from)) && (n < looks || lowest > good); n++ {
		s := from[(first+n)%len(from)]
		if slices.Contains(w.Tried, s.ID) {
			continue
		}
		if c := b.cost(now, s, w); c < lowest {
			best, lowest = s, c
		}
	}
	return best, lowest
}

// last returns the cheapest of all instances that the request has not tried, and a suspected one only if there is no
// other. It is the fallback for services with few instances, or few that the request has not tried.
func (b *Balancer) last(now time.Time, w Want) *state {
	var best *state
	lowest := math.Inf(1)
	for _, s := range b.order {
		if slices.Contains(w.Tried, s.ID) {
			continue
		}
		c := b.cost(now, s, w)
		if s.suspect {
			c += 1000 + s.evidence
		}
		if c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// take counts a request as in flight at an instance.
func (b *Balancer) take(now time.Time, s *state, trial bool) Choice {
	c := Choice{Instance: s.Instance, Evidence: s.evidence, Load: s.load(now), Trial: trial}
	s.running++
	s.seenAt = now
	if trial {
		s.trials++
	}
	return c
}

// trial returns an instance for a trial by an idempotent request, or nil. Of two random instances that are due, it
// returns the one with the longer time without activity, so that VMs with the same view don't all choose the same one.
func (b *Balancer) trial(now time.Time, careful bool) *state {
	if b.random.Float64() >= trialShare {
		return nil
	}
	b.due = b.due[:0]
	for _, s := range b.order {
		after := trialAfter
		if s.Domain != b.domain {
			after = farTrialAfter
		}
		if careful && s.suspect {
			after = after * 3 / 2
		}
		if s.trials == 0 && now.Sub(s.seenAt) > after {
			b.due = append(b.due, s)
		}
	}
	if len(b.due) == 0 {
		return nil
	}
	x, y := b.due[b.random.IntN(len(b.due))], b.due[b.random.IntN(len(b.due))]
	if y.seenAt.Before(x.seenAt) {
		return y
	}
	return x
}

// refresh recomputes which instances are out of use because of suspicion. If more than the share maxExcluded reach the
// threshold, only those with the most evidence are.
func (b *Balancer) refresh(now time.Time) {
	if !b.refreshedAt.IsZero() && now.Sub(b.refreshedAt) < refreshPeriod {
		return
	}
	b.refreshedAt = now
	var ss []*state
	for _, s := range b.order {
		s.suspect = false
		if s.fade(now); s.evidence >= suspicion {
			ss = append(ss, s)
		}
	}
	most := int(maxExcluded * float64(len(b.order)))
	if len(ss) > most {
		slices.SortFunc(ss, func(x, y *state) int { return cmp.Compare(y.evidence, x.evidence) })
		ss = ss[:most]
	}
	for _, s := range ss {
		s.suspect = true
	}
	b.near, b.far = b.near[:0], b.far[:0]
	for _, s := range b.order {
		switch {
		case s.suspect:
		case s.Domain == b.domain:
			b.near = append(b.near, s)
		default:
			b.far = append(b.far, s)
		}
	}
}

// cost returns the expected wait of a request at an instance, in service times.
func (b *Balancer) cost(now time.Time, s *state, w Want) float64 {
	slots := float64(max(1, s.Slots))
	l := float64(s.load(now))
	c := s.relative * (1 + 0.3*l/slots + max(0, l+1-slots)/slots)
	if s.Domain != b.domain {
		c += crossing
	}
	if now.Before(s.WarmAt) {
		c += warming
	}
	if now.Before(s.fullUntil) {
		c += full
	}
	if w.Idempotent {
		c += explored * max(0, 1-now.Sub(s.seenAt).Seconds()/exploreTime.Seconds())
	} else {
		c += unproven * min(1, now.Sub(s.provenAt).Seconds()/provenTime.Seconds())
	}
	return c + jitter*b.random.Float64() + max(0, s.evidence)/suspicion
}

// load returns the known number of requests in flight at the instance.
func (s *state) load(now time.Time) int {
	if now.Sub(s.othersAt) > reportLife {
		return s.running
	}
	return s.running + s.others
}

// fade decays the evidence toward 0 and the relative latency toward 1, both with the half-life fadeTime.
func (s *state) fade(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		f := math.Exp2(-d.Seconds() / fadeTime.Seconds())
		s.evidence *= f
		s.relative = 1 + (s.relative-1)*f
		s.at = now
	}
}

// Done ends the request of a choice that Pick returned, and counts its outcome as evidence. Relative is its latency
// as a multiple of the usual latency of its route; it is ignored if zero, or if the outcome is not OutcomeAnswered.
func (b *Balancer) Done(now time.Time, c Choice, o Outcome, relative float64) {
	s := b.instances[c.ID]
	if s == nil {
		return
	}
	s.running = max(0, s.running-1)
	if c.Trial {
		s.trials = max(0, s.trials-1)
	}
	b.observe(now, s, ratio(o, true))
	switch o {
	case OutcomeAnswered:
		s.provenAt = now
	case OutcomeShed:
		s.fullUntil = now.Add(fullTime)
	}
	if o == OutcomeAnswered && relative > 0 {
		s.learn(relative)
	}
}

// Note counts an outcome of a request that is still in flight, such as OutcomeOverdue, as evidence.
func (b *Balancer) Note(now time.Time, id string, o Outcome) {
	if s := b.instances[id]; s != nil {
		b.observe(now, s, ratio(o, true))
	}
}

// Report has the outcomes that a peer observed at an instance.
type Report struct {
	Instance string
	// Counts is the number of requests by outcome.
	Counts map[Outcome]int
	// Relative is the mean latency of its answers as a multiple of the usual latency of their routes, or zero.
	Relative float64
}

// Hear applies the report of a peer. It ignores instances that are not in the list.
func (b *Balancer) Hear(now time.Time, r Report) {
	s := b.instances[r.Instance]
	if s == nil {
		return
	}
	if r.Counts[OutcomeShed] > 0 {
		s.fullUntil = now.Add(fullTime)
	}
	// Answers come first: failures in the same report are taken to be more recent.
	for o := range OutcomeMoved + 1 {
		for range min(r.Counts[o], maxCounted) {
			b.observe(now, s, ratio(o, false))
		}
	}
	if r.Counts[OutcomeAnswered] > 0 {
		s.provenAt = now
	}
	if r.Counts[OutcomeAnswered] > 0 && r.Relative > 0 {
		s.learn(r.Relative)
	}
}

// maxCounted is how many outcomes of each kind are counted from one report.
const maxCounted = 8

// Others sets how many requests all peers together have in flight at an instance. The number is used for reportLife.
func (b *Balancer) Others(now time.Time, id string, n int) {
	s := b.instances[id]
	if s == nil {
		return
	}
	if n > s.others {
		s.seenAt = now
	}
	s.others, s.othersAt = n, now
}

// Running calls f for each instance with the number of requests that this process has in flight there.
func (b *Balancer) Running(f func(id string, n int)) {
	for _, s := range b.order {
		f(s.ID, s.running)
	}
}

// observe adds the log-likelihood ratio r to the evidence against an instance.
func (b *Balancer) observe(now time.Time, s *state, r float64) {
	s.fade(now)
	s.seenAt = now
	s.evidence = max(minEvidence, min(maxEvidence, s.evidence+r))
	if s.suspect != (s.evidence >= suspicion) {
		b.refreshedAt = time.Time{}
	}
}

// learn adds a sample to the moving average of relative latency.
func (s *state) learn(relative float64) {
	r := min(maxRelative, max(minRelative, relative))
	s.relative += latencyWeight * (r - s.relative)
}

// Judgement is the state of an instance, for dumps.
type Judgement struct {
	Instance
	Evidence float64 `json:"evidence"`
	Suspect  bool    `json:"suspect"`
	Load     int     `json:"load"`
	Relative float64 `json:"relativeLatency"`
}

// Judgements returns the state of all instances, ordered by ID, with suspicion recomputed.
func (b *Balancer) Judgements(now time.Time) []Judgement {
	b.refreshedAt = time.Time{}
	b.refresh(now)
	js := make([]Judgement, 0, len(b.order))
	for _, s := range b.order {
		js = append(js, Judgement{s.Instance, s.evidence, s.suspect, s.load(now), s.relative})
	}
	return js
}
