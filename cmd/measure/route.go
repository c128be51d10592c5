package main

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

// router routes requests to instances.
type router interface {
	route(r *request)
	// killDispatcher stops the first dispatcher, if the router has dispatchers.
	killDispatcher()
	// setCold marks an instance as just started.
	setCold(i int)
}

const (
	// hedgeFactor times the latency that few requests exceed is the delay after which a request is hedged.
	hedgeFactor = 1.5
	// hedgeBudgetPerRequest is the number of hedges and retries that each request adds to the budget, and maxHedgeBudget
	// the budget's maximum.
	hedgeBudgetPerRequest = 0.1
	maxHedgeBudget        = 10
	// dropInterval is the minimum time between two checks for waiting requests that can't meet their deadline.
	dropInterval = 20 * time.Millisecond
	// failoverDelay is the time that a VM takes to detect that a dispatcher does not answer.
	failoverDelay = 1300 * time.Millisecond
)

// queueMode is the order in which waiting requests are dispatched.
type queueMode int

const (
	// weightByRate weights the accounts by their rates.
	weightByRate queueMode = iota
	// equalWeights gives all accounts the same weight.
	equalWeights
	// singleQueue puts the requests of all accounts into one queue.
	singleQueue
)

// centralRouter divides the instances into groups. Each group has a dispatcher with a queue, the slots of the instances
// and a detector.
type centralRouter struct {
	s         *sim
	groups    []*groupDispatcher
	queueMode queueMode
	hedges    bool
	// standby is the dispatcher for the VM that gets no answers from the regular one.
	standby       *groupDispatcher
	newDispatcher func(first, instances int) *groupDispatcher
	cutAt         time.Duration
}

// groupDispatcher is the dispatcher of a group, whose instances start at index first.
type groupDispatcher struct {
	router     *centralRouter
	first      int
	vm         int
	detector   outlierDetector
	scheduler  *scheduler.Scheduler[*job]
	budget     float64
	running    map[*job]struct{}
	dead       bool
	lastDropAt time.Duration
}

// job is a request at a dispatcher. Its cancel functions end the attempts; inFlight counts the attempts in flight.
type job struct {
	r        *request
	avoid    int
	cancel   []func()
	inFlight int
	retries  int
}

func newCentralRouter(
	s *sim, groups int, mode queueMode, hedges bool, newDetector func(*sim, int, func(int)) outlierDetector,
) router {
	c := &centralRouter{s: s, queueMode: mode, hedges: hedges}
	c.newDispatcher = func(first, n int) *groupDispatcher { return newGroupDispatcher(c, first, n, newDetector) }
	size := s.instances / groups
	for g := range groups {
		n := size
		if g == groups-1 {
			n = s.instances - g*size
		}
		c.groups = append(c.groups, c.newDispatcher(g*size, n))
	}
	return c
}

func newGroupDispatcher(
	c *centralRouter, first, n int, newDetector func(*sim, int, func(int)) outlierDetector,
) *groupDispatcher {
	d := &groupDispatcher{router: c, first: first, vm: first, budget: maxHedgeBudget, running: map[*job]struct{}{}}
	d.detector = newDetector(c.s, n, func(i int) { c.s.result.recordEjection(c.s, first+i, 0) })
	request := func(j *job) scheduler.Request { return scheduler.Request{Idempotent: true, Avoid: j.avoid} }
	random := rand.New(rand.NewPCG(uint64(first), 3))
	d.scheduler = scheduler.New(1024, request, d.detector.eligibility, random, nil)
	for range n {
		d.scheduler.Add(c.s.time(), c.s.slots, false)
	}
	return d
}

func (c *centralRouter) route(r *request) {
	n := c.s.random.IntN(c.s.instances)
	d := c.groups[0]
	for _, g := range c.groups {
		if n >= g.first {
			d = g
		}
	}
	if r.vm == c.s.scenario.cutVM && c.s.now >= faultAt {
		c.routeAroundCut(r)
		return
	}
	c.s.after(c.s.delay(r.vm, d.vm), func() { d.submit(r, -1, 0) })
}

// routeAroundCut sends a request of the VM that gets no answers from the dispatcher to another dispatcher, once the VM
// has detected the loss.
func (c *centralRouter) routeAroundCut(r *request) {
	if c.standby == nil {
		c.standby = c.newDispatcher(0, c.s.instances)
		c.standby.vm = 1
		c.cutAt = c.s.now
	}
	wait := max(0, c.cutAt+failoverDelay-c.s.now)
	c.s.after(wait+c.s.delay(r.vm, c.standby.vm), func() { c.standby.submit(r, -1, 0) })
}

// killDispatcher replaces the first dispatcher by one without any state, to which the requests in flight are submitted
// again.
func (c *centralRouter) killDispatcher() {
	old := c.groups[0]
	old.dead = true
	c.groups[0] = c.newDispatcher(old.first, c.s.instances/len(c.groups))
	for j := range old.running {
		for _, cancel := range j.cancel {
			cancel()
		}
		c.s.after(2*linkDelay, func() { c.groups[0].submit(j.r, -1, 0) })
	}
}

func (c *centralRouter) setCold(i int) {
	for _, d := range c.groups {
		if i >= d.first && i < d.first+c.s.instances/len(c.groups) {
			d.detector.setCold(i - d.first)
			d.scheduler.SetCold(c.s.time(), i-d.first)
		}
	}
}

func (d *groupDispatcher) submit(r *request, avoid, retries int) {
	s := d.router.s
	account, weight := "", 1.0
	if d.router.queueMode != singleQueue {
		account = string(rune('a' + r.account))
	}
	if d.router.queueMode == weightByRate {
		weight = s.rateLimit(r.account)
	}
	j := &job{r: r, avoid: avoid, retries: retries}
	if retries == 0 {
		d.budget = min(maxHedgeBudget, d.budget+hedgeBudgetPerRequest)
	}
	it := scheduler.Item[*job]{Account: account, Weight: weight, Value: j, Deadline: s.time().Add(requestTimeout - (s.now - r.startedAt))}
	if d.scheduler.Submit(s.time(), it) != nil {
		s.result.recordShed(r)
		return
	}
	d.dispatchWaiting()
}

// dispatchWaiting drops the waiting requests that can't meet their deadline, at most once per dropInterval, and starts
// as many others as there are free slots.
func (d *groupDispatcher) dispatchWaiting() {
	if d.router.s.now-d.lastDropAt >= dropInterval {
		d.lastDropAt = d.router.s.now
		for _, it := range d.scheduler.DropLate(d.router.s.time()) {
			d.router.s.result.recordShed(it.Value.r)
		}
	}
	for {
		it, i, ok := d.scheduler.Next(d.router.s.time())
		if !ok {
			return
		}
		d.running[it.Value] = struct{}{}
		d.startAttempt(it.Value, i)
	}
}

func routeName(r *request) string {
	if r.heavy {
		return "heavy"
	}
	return "light"
}

// startAttempt starts an attempt of a request at instance i.
func (d *groupDispatcher) startAttempt(j *job, i int) {
	s := d.router.s
	startedAt := s.now
	finished := false
	route := routeName(j.r)
	j.inFlight++
	s.result.recordSend(s, d.first+i)
	finish := func() bool {
		if finished || d.dead {
			return false
		}
		finished = true
		d.scheduler.Finish(i, s.now-startedAt)
		return true
	}
	cancel := s.serve(d.first+i, j.r, s.delay(d.vm, d.first+i), func(failed bool, took time.Duration) {
		if !finish() {
			return
		}
		d.detector.observe(i, route, failed, took)
		d.finishAttempt(j, i, failed)
		d.dispatchWaiting()
	})
	j.cancel = append(j.cancel, func() { cancel(); finish() })
	s.after(max(0, requestTimeout-(s.now-j.r.startedAt)), func() {
		if finish() {
			cancel()
			// A timeout of an attempt that ran for less than the slow latency is no evidence against the instance.
			if slow := d.detector.slowLatency(i, route); slow == 0 || s.now-startedAt >= slow {
				d.detector.observe(i, route, true, s.now-startedAt)
			}
			d.finishAttempt(j, i, true)
			d.dispatchWaiting()
		}
	})
	slow := d.detector.slowLatency(i, route)
	if slow == 0 {
		return
	}
	s.after(time.Duration(hedgeFactor*float64(slow)), func() {
		if finished || d.dead || j.r.done {
			return
		}
		d.detector.observeOverdue(i, route, s.now-startedAt)
		d.hedge(j, i)
		d.dispatchWaiting()
	})
}

// hedge starts a second attempt at another instance than i, if the budget allows it.
func (d *groupDispatcher) hedge(j *job, i int) {
	if !d.router.hedges || j.inFlight > 1 || d.budget < 1 {
		return
	}
	k := d.scheduler.Choose(d.router.s.time(), scheduler.Request{Idempotent: true, Avoid: i})
	if k < 0 {
		return
	}
	d.budget--
	d.scheduler.Start(d.router.s.time(), k)
	d.startAttempt(j, k)
}

// finishAttempt handles the end of an attempt: it answers the request, or retries it at another instance if all its
// attempts failed and the budget allows it.
func (d *groupDispatcher) finishAttempt(j *job, i int, failed bool) {
	s := d.router.s
	j.inFlight--
	if failed && j.inFlight > 0 {
		return
	}
	delete(d.running, j)
	if failed && j.retries < 2 && d.budget >= 1 && s.now-j.r.startedAt < requestTimeout {
		d.budget--
		d.submit(j.r, i, j.retries+1)
		return
	}
	for _, cancel := range j.cancel {
		cancel()
	}
	s.after(s.delay(d.vm, j.r.vm), func() { s.answer(j.r, failed) })
}

// directRouter lets each VM choose instances by its own observations alone: of two random live instances, the one with
// fewer of the VM's own requests in flight.
type directRouter struct {
	s   *sim
	vms []*vmState
}

// vmState is the state of one VM.
type vmState struct {
	detector outlierDetector
	inFlight []int
	budget   float64
}

func newDirectRouter(s *sim, newDetector func(*sim, int, func(int)) outlierDetector) router {
	d := &directRouter{s: s}
	for vm := range s.vms {
		v := &vmState{inFlight: make([]int, s.instances), budget: maxHedgeBudget}
		v.detector = newDetector(s, s.instances, func(i int) { s.result.recordEjection(s, i, vm) })
		d.vms = append(d.vms, v)
	}
	return d
}

func (d *directRouter) killDispatcher() {}

func (d *directRouter) setCold(i int) {
	for _, v := range d.vms {
		v.detector.setCold(i)
	}
}

func (d *directRouter) route(r *request) {
	v := d.vms[r.vm]
	v.budget = min(maxHedgeBudget, v.budget+hedgeBudgetPerRequest)
	d.try(v, r, none, 0)
}

func (d *directRouter) try(v *vmState, r *request, avoid, retries int) {
	s := d.s
	i := d.choose(v, avoid)
	v.inFlight[i]++
	s.result.recordSend(s, i)
	finished := false
	finish := func(failed bool, took time.Duration) {
		if finished {
			return
		}
		finished = true
		v.inFlight[i]--
		v.detector.observe(i, routeName(r), failed, took)
		if failed && retries < 2 && v.budget >= 1 && s.now-r.startedAt < requestTimeout {
			v.budget--
			d.try(v, r, i, retries+1)
			return
		}
		s.answer(r, failed)
	}
	cancel := s.serve(i, r, s.delay(r.vm, i), func(failed bool, took time.Duration) {
		if r.vm == s.scenario.cutVM && i == faultyInstance && s.now >= faultAt {
			return
		}
		finish(failed, took)
	})
	s.after(max(0, requestTimeout-(s.now-r.startedAt)), func() { cancel(); finish(true, requestTimeout) })
}

func (d *directRouter) choose(v *vmState, avoid int) int {
	var live []int
	for i := range v.inFlight {
		if i != avoid && v.detector.eligibility(i) == scheduler.EligibilityAll {
			live = append(live, i)
		}
		if i != avoid && v.detector.eligibility(i) == scheduler.EligibilityTrial && v.inFlight[i] == 0 {
			return i
		}
	}
	if len(live) == 0 {
		return d.s.random.IntN(d.s.instances)
	}
	a, b := live[d.s.random.IntN(len(live))], live[d.s.random.IntN(len(live))]
	if v.inFlight[b] < v.inFlight[a] {
		return b
	}
	return a
}
