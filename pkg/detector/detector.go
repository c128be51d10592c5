package detector

import (
	"math"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

//go:generate go tool enumer -type=State -trimprefix=State -transform=title-lower -text

// State determines which requests an instance gets.
type State int

// The states of an instance.
const (
	// StateLive means that the instance gets requests.
	StateLive State = iota
	// StateEjected means that the instance gets no requests until its hold-off is over.
	StateEjected
	// StateTrial means that the instance gets idempotent requests, one at a time, which decide whether it is
	// readmitted or ejected again.
	StateTrial
	// StateLeaving means that the instance gets no new requests because it is being removed.
	StateLeaving
)

const (
	// Threshold is the evidence at which an instance is ejected. The probability that a healthy
	// instance reaches it is at most e^-Threshold for each time its evidence leaves zero.
	Threshold = 20.0
	// maxProbeEvidence is the sum of failure evidence above which failed health probes don't raise it further.
	maxProbeEvidence = Threshold / 2
	// trialReadmitThreshold and trialEjectThreshold are the evidence at which a trial ends: at or below the former the
	// instance is readmitted, at or above the latter it is ejected again.
	trialReadmitThreshold = -6.0
	trialEjectThreshold   = 4.0
	// minHoldOff and maxHoldOff bound the time from an ejection until the next trial, which doubles with each further
	// ejection.
	minHoldOff = 2 * time.Second
	maxHoldOff = 5 * time.Minute
	// halvingInterval is the time for each of which an ejection halves the hold-off, so that it shrinks while an
	// instance stays live. It is counted from when the instance last became live.
	halvingInterval = time.Minute
	// coldStartDuration is how long after the start of an instance its high latencies don't count as evidence.
	coldStartDuration = 10 * time.Second
	// swapMargin is how much more evidence a live instance must have than an ejected one to be ejected in its place
	// when the floor allows no further ejection.
	swapMargin = 5.0
)

// Instance is the state of one instance and the evidence against it.
type Instance struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Evidence is the larger of the two Sums. The instance is ejected when it reaches Threshold.
	Evidence float64 `json:"evidence"`
	// Sums are the sums of log-likelihood ratios, unhealthy against healthy, for failing and for being slow. The two
	// may occur independently.
	Sums Ratios `json:"sums"`
	// FailureRate is the share of failed requests, as an exponential moving average.
	FailureRate float64 `json:"failures"`
	// EjectedAt is the time of the last ejection.
	EjectedAt time.Time `json:"ejectedAt,omitzero"`
	// HoldOff is the time from the last ejection until a trial.
	HoldOff time.Duration `json:"holdOffNs"`
	// Ejections is the number of ejections since the instance was added.
	Ejections int `json:"ejections"`
	leaving   bool
	coldUntil time.Time
	liveSince time.Time
	// trialSums has the sums of log-likelihood ratios of the current trial.
	trialSums Ratios
}

// resetEvidence resets the evidence to zero.
func (e *Instance) resetEvidence() { e.Evidence, e.Sums = 0, Ratios{} }

// Event is a change of an instance's state.
type Event struct {
	Instance string    `json:"instance"`
	From     State     `json:"from"`
	To       State     `json:"to"`
	Evidence float64   `json:"evidence"`
	At       time.Time `json:"at"`
}

// Detector detects unhealthy instances of one group. It is not safe for concurrent use.
type Detector struct {
	instances []*Instance
	routes    map[string]*latencies
	outcomes  outcomes
	floor     float64
	asserter  *asserter.Asserter
	notify    func(Event)
}

// New returns a detector that ejects no instance if less than the share floor of all instances would stay live.
// It calls notify, unless nil, synchronously with each change of state.
func New(floor float64, a *asserter.Asserter, notify func(Event)) *Detector {
	return &Detector{routes: map[string]*latencies{}, floor: floor, asserter: a, notify: notify}
}

// SetFloor changes the share of the instances that must stay live, and readmits instances if too few are live.
func (d *Detector) SetFloor(now time.Time, floor float64) {
	d.floor = floor
	d.restoreFloor(now)
}

// Add adds a live instance and returns its index. If the instance is known already, it only returns the index.
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

// Instances returns copies of all instances, ordered by index.
func (d *Detector) Instances() []Instance {
	is := make([]Instance, len(d.instances))
	for i, e := range d.instances {
		is[i] = *e
	}
	return is
}

// State returns the state of the instance with index i.
func (d *Detector) State(i int) State { return d.instances[i].State }

// SetLeaving marks an instance as leaving, or makes it live again without evidence. If the floor is no longer met, it
// readmits ejected instances, those with the least evidence first.
func (d *Detector) SetLeaving(now time.Time, i int, leaving bool) {
	e := d.instances[i]
	if e.leaving == leaving {
		return
	}
	e.leaving = leaving
	if leaving {
		d.setState(now, e, StateLeaving)
		d.restoreFloor(now)
		return
	}
	e.resetEvidence()
	d.setState(now, e, StateLive)
}

// SetCold marks an instance as just started: high latencies don't count as evidence for coldStartDuration.
func (d *Detector) SetCold(now time.Time, i int) {
	d.instances[i].coldUntil = now.Add(coldStartDuration)
}

// Observe records the outcome of a request of a route at the instance with index i. The latency is used only with
// OutcomeAnswered and OutcomeOverdue.
func (d *Detector) Observe(now time.Time, i int, route string, o Outcome, latency time.Duration) {
	e := d.instances[i]
	r := d.ratios(i, route, o, latency)
	if now.Before(e.coldUntil) {
		r.Latency = min(0, r.Latency)
	}
	if e.State == StateTrial {
		d.observeTrial(now, e, r)
		return
	}
	if o == OutcomeProbeFailed {
		r.Failure = max(0, min(r.Failure, maxProbeEvidence-e.Sums.Failure))
	}
	e.Sums = Ratios{max(0, e.Sums.Failure+r.Failure), max(0, e.Sums.Latency+r.Latency)}
	e.Evidence = e.Sums.largest()
	d.maybeEject(now, i)
}

// ratios returns the log-likelihood ratios of an outcome. It records answers and failures of requests, so that later
// outcomes are compared with them.
func (d *Detector) ratios(i int, route string, o Outcome, latency time.Duration) Ratios {
	e := d.instances[i]
	othersRate := d.outcomes.failureRateOfOthers(i)
	switch o {
	case OutcomeShed, OutcomeProbeAnswered:
		return Ratios{}
	case OutcomeProbeFailed, OutcomeUnreachable:
		return Ratios{Failure: failureRatio(true, othersRate)}
	case OutcomeFailed:
		e.FailureRate += failureRateWeight * (1 - e.FailureRate)
		d.outcomes.add(i, true)
		return Ratios{Failure: failureRatio(true, othersRate)}
	case OutcomeOverdue:
		return Ratios{Latency: max(0, d.latencyRatio(i, route, latency, false))}
	}
	e.FailureRate -= failureRateWeight * e.FailureRate
	d.outcomes.add(i, false)
	return Ratios{Failure: failureRatio(false, othersRate), Latency: d.latencyRatio(i, route, latency, true)}
}

// latencyRatio returns the log-likelihood ratio of a latency, or zero if there are too few latencies of the route to
// compare it with. If record is true, later latencies are compared with it.
func (d *Detector) latencyRatio(i int, route string, latency time.Duration, record bool) float64 {
	l := d.routes[route]
	if l == nil {
		if len(d.routes) >= maxRoutes {
			return 0
		}
		l = &latencies{}
		d.routes[route] = l
	}
	q, material, ok := l.compare(i, latency)
	if record {
		l.add(i, latency)
	}
	if !ok {
		return 0
	}
	return latencyRatio(q, material)
}

// SlowLatency returns the latency of a route that the share slowQuantile of the requests at instances other than i
// stays below, or zero if too few of their latencies are known.
func (d *Detector) SlowLatency(i int, route string) time.Duration {
	l := d.routes[route]
	if l == nil {
		return 0
	}
	return l.slowLatency(i)
}

// maybeEject ejects a live instance whose evidence has reached Threshold. If the floor allows no further
// ejection, it first readmits the ejected instance with the least evidence, provided that its evidence is lower by at
// least swapMargin; otherwise it ejects none.
func (d *Detector) maybeEject(now time.Time, i int) {
	e := d.instances[i]
	if e.State != StateLive || e.Evidence < Threshold {
		return
	}
	if d.liveCount()-1 < d.minLive() {
		best := d.bestEjected()
		if best == nil || best.Evidence+swapMargin > e.Evidence {
			return
		}
		best.resetEvidence()
		d.setState(now, best, StateLive)
	}
	d.eject(now, e)
	d.checkFloor()
}

// eject ejects an instance and sets its hold-off.
func (d *Detector) eject(now time.Time, e *Instance) {
	for t := e.liveSince.Add(halvingInterval); e.HoldOff > minHoldOff && t.Before(now); t = t.Add(halvingInterval) {
		e.HoldOff = max(minHoldOff, e.HoldOff/2)
	}
	if e.Ejections > 0 {
		e.HoldOff = min(maxHoldOff, 2*e.HoldOff)
	}
	e.Ejections++
	e.EjectedAt = now
	d.setState(now, e, StateEjected)
}

// setState changes the state of an instance and notifies of the change.
func (d *Detector) setState(now time.Time, e *Instance, to State) {
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
			e.trialSums = Ratios{}
			d.setState(now, e, StateTrial)
		}
	}
}

// observeTrial adds the log-likelihood ratios of a request to the trial of an instance, and ends the trial if they
// suffice.
func (d *Detector) observeTrial(now time.Time, e *Instance, r Ratios) {
	if r.Latency == 0 {
		// There are too few latencies of other instances to compare with, so the failures count for both.
		r.Latency = r.Failure
	}
	e.trialSums.Failure += r.Failure
	e.trialSums.Latency += r.Latency
	switch {
	case e.trialSums.largest() <= trialReadmitThreshold:
		e.resetEvidence()
		d.setState(now, e, StateLive)
	case e.trialSums.largest() >= trialEjectThreshold:
		d.eject(now, e)
	}
}

// liveCount returns the number of instances that get any request.
func (d *Detector) liveCount() int {
	n := 0
	for _, e := range d.instances {
		if e.State == StateLive {
			n++
		}
	}
	return n
}

// minLive returns how many instances must stay live according to the floor.
func (d *Detector) minLive() int {
	return int(math.Ceil(d.floor*float64(len(d.instances)) - 1e-9))
}

// bestEjected returns the instance with the least evidence among those that are ejected or in a trial, or nil.
func (d *Detector) bestEjected() *Instance {
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

// restoreFloor readmits instances that are ejected or in a trial until the floor is met.
func (d *Detector) restoreFloor(now time.Time) {
	for d.liveCount() < d.minLive() {
		best := d.bestEjected()
		if best == nil {
			break
		}
		best.resetEvidence()
		d.setState(now, best, StateLive)
	}
	d.checkFloor()
}

// checkFloor asserts that no instance is ejected or in a trial while fewer instances are live than the floor requires.
func (d *Detector) checkFloor() {
	d.asserter.Check(d.liveCount() >= d.minLive() || d.bestEjected() == nil, asserter.RuleFloor,
		"%d of %d instances are live, but the floor is %.2f", d.liveCount(), len(d.instances), d.floor)
}
