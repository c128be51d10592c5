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
	// suspicion is the evidence from which an instance is suspected: one broken connection, or two errors.
	suspicion = 4.5
	// maxEvidence bounds the evidence, so that a recovered instance is cleared by about five answers.
	maxEvidence = 11.0
	// minEvidence bounds the credit of past answers, so that a new fault shows at once.
	minEvidence = -2.0
	// fadeTime is the half-life of evidence: troubles of this platform last some seconds.
	fadeTime = 3 * time.Second
	// trialAfter is how long nothing may be heard of an instance, suspected or just not chosen, until
	// idempotent requests of its failure domain try it out. A sound instance must not be without
	// requests for 2 s.
	trialAfter = 700 * time.Millisecond
	// farTrialAfter is the same for requests of other domains, whose reports take longer.
	farTrialAfter = time.Second
	// trialShare is the chance that an idempotent request is used for a trial that is due. It keeps the
	// VMs from trying the same instance at once.
	trialShare = 0.4
	// maxExcluded is the share of a service's instances that suspicion may take out of use.
	maxExcluded = 0.3
	// crossing is the expected wait, in service times, that staying in the failure domain is worth.
	crossing = 0.6
	// warming is the expected extra wait, in service times, at an instance that has just started.
	warming = 0.8
	// jitter lets an instance that costs little more than its neighbors get requests too, in service times.
	jitter = 0.35
	// good is the cost up to which no further instance is looked at, in service times: that of a free slot at
	// an instance of usual speed.
	good = 1.3
	// looks is how many instances are compared at least. More of them follow old reports more closely.
	looks = 3
	// draws is how many instances are looked at before another failure domain is considered, and again there.
	draws = 6
	// refreshPeriod is how often suspicion is worked out anew when nothing was seen. Evidence halves in
	// fadeTime, so it hardly changes meanwhile.
	refreshPeriod = 20 * time.Millisecond
	// unproven is what an instance of which no answer was seen for provenTime or more costs a request that may
	// run only once, in service times. Instances fail for a while without notice: such requests go where others
	// just succeeded, and the idempotent ones find out about the rest.
	unproven   = 0.6
	provenTime = time.Second
	// explored is what an instance that something was just sent to or heard of costs an idempotent request, in
	// service times; it falls to zero within exploreTime. With few requests, blind chance leaves a fifth of the
	// instances without any for 2 s.
	explored    = 0.4
	exploreTime = time.Second
	// fullTime is how long an instance that refused a request counts as full: about as long as a request runs
	// until it frees a slot.
	fullTime = 300 * time.Millisecond
	// full is what an instance that refused a request costs besides, in service times.
	full = 1.0
	// reportLife is how long another VM's report of its load counts.
	reportLife = 1500 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.15
	// minRelative and maxRelative bound how fast or slow an instance is taken to be against the others.
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
	// WarmAt is when the instance has its full speed.
	WarmAt time.Time `json:"warmAt,omitzero"`
}

// state is what is known of an instance.
type state struct {
	Instance
	evidence float64
	at       time.Time
	// running counts this process's requests, and others what peers reported.
	running  int
	others   int
	othersAt time.Time
	// relative is the moving average of its latencies, each as a multiple of what its route usually takes.
	relative float64
	trials   int
	// seenAt is when something was last sent to or heard of it.
	seenAt time.Time
	// provenAt is when the last answer was seen.
	provenAt time.Time
	// fullUntil is until when it counts as full because it refused a request.
	fullUntil time.Time
	// suspect says that suspicion takes the instance out of use.
	suspect bool
}

// Balancer chooses among the instances of one service.
type Balancer struct {
	domain    string
	random    *rand.Rand
	instances map[string]*state
	order     []*state
	// near and far are the instances in use of the own failure domain and of the others.
	near, far []*state
	// refreshedAt is when suspicion was last worked out; zero if it must be.
	refreshedAt time.Time
	// due is the memory of trial.
	due []*state
}

// New returns a balancer for a process in a failure domain.
func New(domain string, r *rand.Rand) *Balancer {
	return &Balancer{domain: domain, random: r, instances: map[string]*state{}}
}

// SetInstances replaces the instances that may be used; what is known of those that stay is kept.
func (b *Balancer) SetInstances(now time.Time, is []Instance) {
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

// Request is what a request needs of an instance.
type Request struct {
	Idempotent bool
	// Careful says that a failure could not be made good. The request then tries out a suspected instance only
	// after half as long again: the others hear of nothing that a sick one answers meanwhile, and a sound one that is
	// wrongly suspected must not be without requests.
	Careful bool
	// Tried are the ids of the instances that had the request before.
	Tried []string
}

// Choice is an instance with what decided it.
type Choice struct {
	Instance
	Evidence float64
	// Load is the requests that are known to run there.
	Load  int
	Trial bool
}

// Pick chooses an instance and counts the request as running there until Done.
//
// It compares a few instances drawn at random, and not all: loads are as old as the reports of them, so all
// processes would send to the same instance that was idle a moment ago. A draw gives each instance a few times
// its even share at the most, however old the reports are.
func (b *Balancer) Pick(now time.Time, w Request) (Choice, bool) {
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

// draw looks at instances from a random one on until one is good, and returns the best with its cost.
func (b *Balancer) draw(now time.Time, from []*state, w Request, best *state, lowest float64) (*state, float64) {
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

// last returns the best of all instances, the suspected ones after the others; it is for services with few
// instances, or few that the request has not tried.
func (b *Balancer) last(now time.Time, w Request) *state {
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

func (b *Balancer) take(now time.Time, s *state, trial bool) Choice {
	c := Choice{Instance: s.Instance, Evidence: s.evidence, Load: s.load(now), Trial: trial}
	s.running++
	s.seenAt = now
	if trial {
		s.trials++
	}
	return c
}

// trial returns an instance that an idempotent request shall try out, or nil. It is the older of two that
// are due, so that VMs with the same view don't all try the same one.
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

// refresh works out which instances suspicion takes out of use: the worst ones, if they are too many.
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

// cost is the expected wait at an instance in service times.
func (b *Balancer) cost(now time.Time, s *state, w Request) float64 {
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

func (s *state) load(now time.Time) int {
	if now.Sub(s.othersAt) > reportLife {
		return s.running
	}
	return s.running + s.others
}

func (s *state) fade(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		f := math.Exp2(-d.Seconds() / fadeTime.Seconds())
		s.evidence *= f
		s.relative = 1 + (s.relative-1)*f
		s.at = now
	}
}

// Done ends a request at the instance of a choice. Relative is its latency as a multiple of what its
// route usually takes; zero if that says nothing.
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

// Note takes evidence of a request that still runs.
func (b *Balancer) Note(now time.Time, id string, o Outcome) {
	if s := b.instances[id]; s != nil {
		b.observe(now, s, ratio(o, true))
	}
}

// Report is what another process saw of an instance.
type Report struct {
	Instance string
	Counts   map[Outcome]int
	// Relative is the mean latency of its answers as a multiple of what the routes usually take.
	Relative float64
}

// Hear takes a report of another process.
func (b *Balancer) Hear(now time.Time, r Report) {
	s := b.instances[r.Instance]
	if s == nil {
		return
	}
	if r.Counts[OutcomeShed] > 0 {
		s.fullUntil = now.Add(fullTime)
	}
	// Answers first: the failures of the same report are the newer trouble.
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

// maxCounted bounds the outcomes of one kind that one report brings.
const maxCounted = 8

// Others tells how many requests the other processes run at an instance.
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

// Running calls f with the requests that this process runs at each instance.
func (b *Balancer) Running(f func(id string, n int)) {
	for _, s := range b.order {
		f(s.ID, s.running)
	}
}

func (b *Balancer) observe(now time.Time, s *state, r float64) {
	s.fade(now)
	s.seenAt = now
	s.evidence = max(minEvidence, min(maxEvidence, s.evidence+r))
	if s.suspect != (s.evidence >= suspicion) {
		b.refreshedAt = time.Time{}
	}
}

func (s *state) learn(relative float64) {
	r := min(maxRelative, max(minRelative, relative))
	s.relative += latencyWeight * (r - s.relative)
}

// Judgement is what is known of an instance, for dumps.
type Judgement struct {
	Instance
	Evidence float64 `json:"evidence"`
	Suspect  bool    `json:"suspect"`
	Load     int     `json:"load"`
	Relative float64 `json:"relativeLatency"`
}

// Judgements returns what is known of all instances.
func (b *Balancer) Judgements(now time.Time) []Judgement {
	b.refreshedAt = time.Time{}
	b.refresh(now)
	js := make([]Judgement, 0, len(b.order))
	for _, s := range b.order {
		js = append(js, Judgement{s.Instance, s.evidence, s.suspect, s.load(now), s.relative})
	}
	return js
}
