package detector

import (
	"math"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

//go:generate go tool enumer -type=State -trimprefix=State -transform=title-lower -text

// State is how an instance is treated.
type State int

// The states of an instance.
const (
	// StateLive means that the instance gets requests.
	StateLive State = iota
	// StateEjected means that it gets none until its hold-off is over.
	StateEjected
	// StateTrial means that it gets idempotent requests, one at a time, to show that it is well.
	StateTrial
	// StateLeaving means that it gets no new requests because it is going away.
	StateLeaving
)

const (
	// Threshold is the evidence at which an instance is ejected. The chance that a well
	// instance reaches it is at most e^-Threshold for each time its evidence leaves zero.
	Threshold = 20.0
	// suspicion is the most evidence that health probes alone bring.
	suspicion = Threshold / 2
	// trialClear and trialBlame end a trial: for the evidence to be readmitted, or ejected again.
	trialClear = -6.0
	trialBlame = 4.0
	// minHoldOff and maxHoldOff bound the time until a trial; it doubles with each ejection.
	minHoldOff = 2 * time.Second
	maxHoldOff = 5 * time.Minute
	// forgetAfter is how long an instance stays live until its hold-off halves.
	forgetAfter = time.Minute
	// coldTime is how long the latencies of an instance that starts anew are no evidence.
	coldTime = 10 * time.Second
	// swapMargin is by how much a live instance must be worse than an ejected one to take its place.
	swapMargin = 5.0
)

// Instance is the judgement of one instance.
type Instance struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Evidence is the larger of the two sums of log-likelihood ratios, sick against well;
	// Threshold ejects.
	Evidence float64 `json:"evidence"`
	// Sums are the evidence that it fails and that it is slow, which it may be without the other.
	Sums Ratios `json:"sums"`
	// FailureRate is the recent share of failed requests.
	FailureRate float64 `json:"failures"`
	// EjectedAt is when it was last ejected.
	EjectedAt time.Time `json:"ejectedAt,omitzero"`
	// HoldOff is the time from the last ejection until a trial.
	HoldOff time.Duration `json:"holdOffNs"`
	// Ejections counts them since the start.
	Ejections int `json:"ejections"`
	leaving   bool
	coldUntil time.Time
	liveSince time.Time
	trial     Ratios
}

// clear forgets the evidence.
func (e *Instance) clear() { e.Evidence, e.Sums = 0, Ratios{} }

// Event is a change of an instance's state.
type Event struct {
	Instance string    `json:"instance"`
	From     State     `json:"from"`
	To       State     `json:"to"`
	Evidence float64   `json:"evidence"`
	At       time.Time `json:"at"`
}

// Detector judges the instances of one group. It is not safe for concurrent use.
type Detector struct {
	instances []*Instance
	routes    map[string]*latencies
	outcomes  outcomes
	floor     float64
	asserter  *asserter.Asserter
	notify    func(Event)
}

// New returns a detector that keeps at least the share floor of the instances live.
// Each change of state is passed to notify.
func New(floor float64, a *asserter.Asserter, notify func(Event)) *Detector {
	return &Detector{routes: map[string]*latencies{}, floor: floor, asserter: a, notify: notify}
}

// SetFloor changes the share of the instances that stays live.
func (d *Detector) SetFloor(now time.Time, floor float64) {
	d.floor = floor
	d.restoreFloor(now)
}

// Add starts to judge an instance and returns its index.
func (d *Detector) Add(now time.Time, id string) int {
	for i, e := range d.instances {
		if e.ID == id {
			return i
		}
	}
	d.outcomes.perInstance = append(d.outcomes.perInstance, tally{})
	d.instances = append(d.instances, &Instance{ID: id, HoldOff: minHoldOff, liveSince: now})
	return len(d.instances) - 1
}

// Instances returns a copy of all judgements.
func (d *Detector) Instances() []Instance {
	is := make([]Instance, len(d.instances))
	for i, e := range d.instances {
		is[i] = *e
	}
	return is
}

// State returns the state of the instance with index i.
func (d *Detector) State(i int) State { return d.instances[i].State }

// SetLeaving marks an instance as going away, or as back. Where that takes the
// capacity below the floor, the least sick ejected instances come back.
func (d *Detector) SetLeaving(now time.Time, i int, leaving bool) {
	e := d.instances[i]
	if e.leaving == leaving {
		return
	}
	e.leaving = leaving
	if leaving {
		d.set(now, e, StateLeaving)
		d.restoreFloor(now)
		return
	}
	e.clear()
	d.set(now, e, StateLive)
}

// SetCold tells that an instance starts anew: for a while its latencies are no evidence.
func (d *Detector) SetCold(now time.Time, i int) { d.instances[i].coldUntil = now.Add(coldTime) }

// Observe takes the outcome of a request of a route at the instance with index i.
// Latency is used with OutcomeAnswered and OutcomeOverdue.
func (d *Detector) Observe(now time.Time, i int, route string, o Outcome, latency time.Duration) {
	e := d.instances[i]
	r := d.ratios(i, route, o, latency)
	if now.Before(e.coldUntil) {
		r.Latency = min(0, r.Latency)
	}
	if e.State == StateTrial {
		d.tryOut(now, e, r)
		return
	}
	if o == OutcomeProbeFailed {
		r.Failure = max(0, min(r.Failure, suspicion-e.Sums.Failure))
	}
	e.Sums = Ratios{max(0, e.Sums.Failure+r.Failure), max(0, e.Sums.Latency+r.Latency)}
	e.Evidence = e.Sums.largest()
	d.eject(now, i)
}

func (d *Detector) ratios(i int, route string, o Outcome, latency time.Duration) Ratios {
	e := d.instances[i]
	common := d.outcomes.others(i)
	switch o {
	case OutcomeShed, OutcomeProbeAnswered:
		return Ratios{}
	case OutcomeProbeFailed, OutcomeUnreachable:
		return Ratios{Failure: failureRatio(true, common)}
	case OutcomeFailed:
		e.FailureRate += decay * (1 - e.FailureRate)
		d.outcomes.add(i, true)
		return Ratios{Failure: failureRatio(true, common)}
	case OutcomeOverdue:
		return Ratios{Latency: max(0, d.latencyRatio(i, route, latency, false))}
	}
	e.FailureRate -= decay * e.FailureRate
	d.outcomes.add(i, false)
	return Ratios{Failure: failureRatio(false, common), Latency: d.latencyRatio(i, route, latency, true)}
}

func (d *Detector) latencyRatio(i int, route string, latency time.Duration, remember bool) float64 {
	l := d.routes[route]
	if l == nil {
		if len(d.routes) >= maxRoutes {
			return 0
		}
		l = &latencies{}
		d.routes[route] = l
	}
	q, material, ok := l.others(i, latency)
	if remember {
		l.add(i, latency)
	}
	if !ok {
		return 0
	}
	return latencyRatio(q, material)
}

// SlowLatency returns the latency of a route that few requests at other instances exceed, or
// zero if too little is known.
func (d *Detector) SlowLatency(i int, route string) time.Duration {
	l := d.routes[route]
	if l == nil {
		return 0
	}
	return l.slow(i)
}

// eject takes an instance out whose evidence suffices, if the floor allows it or it is
// clearly worse than one that is out.
func (d *Detector) eject(now time.Time, i int) {
	e := d.instances[i]
	if e.State != StateLive || e.Evidence < Threshold {
		return
	}
	if d.live()-1 < d.minLive() {
		best := d.leastSick()
		if best == nil || best.Evidence+swapMargin > e.Evidence {
			return
		}
		best.clear()
		d.set(now, best, StateLive)
	}
	d.out(now, e)
	d.checkFloor()
}

func (d *Detector) out(now time.Time, e *Instance) {
	for t := e.liveSince.Add(forgetAfter); e.HoldOff > minHoldOff && t.Before(now); t = t.Add(forgetAfter) {
		e.HoldOff = max(minHoldOff, e.HoldOff/2)
	}
	if e.Ejections > 0 {
		e.HoldOff = min(maxHoldOff, 2*e.HoldOff)
	}
	e.Ejections++
	e.EjectedAt = now
	d.set(now, e, StateEjected)
}

func (d *Detector) set(now time.Time, e *Instance, to State) {
	from := e.State
	if from == to {
		return
	}
	e.State = to
	if to == StateLive {
		e.liveSince = now
	}
	if d.notify != nil {
		d.notify(Event{Instance: e.ID, From: from, To: to, Evidence: e.Evidence, At: now})
	}
}

// Tick starts the trials of the instances whose hold-off is over.
func (d *Detector) Tick(now time.Time) {
	for _, e := range d.instances {
		if e.State == StateEjected && now.Sub(e.EjectedAt) >= e.HoldOff {
			e.trial = Ratios{}
			d.set(now, e, StateTrial)
		}
	}
}

func (d *Detector) tryOut(now time.Time, e *Instance, r Ratios) {
	if r.Latency == 0 {
		// Too few others ran to compare with, so the failures speak for both.
		r.Latency = r.Failure
	}
	e.trial.Failure += r.Failure
	e.trial.Latency += r.Latency
	switch {
	case e.trial.largest() <= trialClear:
		e.clear()
		d.set(now, e, StateLive)
	case e.trial.largest() >= trialBlame:
		d.out(now, e)
	}
}

// live counts the instances that take any request.
func (d *Detector) live() int {
	n := 0
	for _, e := range d.instances {
		if e.State == StateLive {
			n++
		}
	}
	return n
}

// minLive returns how many instances the floor keeps live.
func (d *Detector) minLive() int {
	return int(math.Ceil(d.floor*float64(len(d.instances)) - 1e-9))
}

// leastSick returns the instance that is out with the least evidence, or nil.
func (d *Detector) leastSick() *Instance {
	var best *Instance
	for _, e := range d.instances {
		if e.State != StateEjected && e.State != StateTrial {
			continue
		}
		if best == nil || e.Evidence < best.Evidence {
			best = e
		}
	}
	return best
}

// restoreFloor brings ejected instances back while the capacity is below the floor.
func (d *Detector) restoreFloor(now time.Time) {
	for d.live() < d.minLive() {
		best := d.leastSick()
		if best == nil {
			break
		}
		best.clear()
		d.set(now, best, StateLive)
	}
	d.checkFloor()
}

// checkFloor asserts that no instance is out while the capacity is below the floor.
func (d *Detector) checkFloor() {
	d.asserter.Check(d.live() >= d.minLive() || d.leastSick() == nil, asserter.RuleFloor,
		"%d of %d instances live, floor %.2f", d.live(), len(d.instances), d.floor)
}
