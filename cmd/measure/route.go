package main

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

// router routes requests to instances.
type router interface {
	route(r *request)
	// kill stops the first dispatcher, if the router has dispatchers.
	kill()
	// cold marks an instance as just started.
	cold(i int)
}

const (
	// hedgeFactor times the latency that few requests exceed is the delay after which a request is hedged.
	hedgeFactor = 1.5
	// hedgeShare is the number of hedges and retries that each request adds to the budget, and hedgeBurst the budget's
	// maximum.
	hedgeShare = 0.1
	hedgeBurst = 10
	// lookEvery is the minimum time between two checks for waiting requests that can't meet their deadline.
	lookEvery = 20 * time.Millisecond
	// lostAfter is the time that a VM takes to detect that a dispatcher does not answer.
	lostAfter = 1300 * time.Millisecond
)

// order is the order in which waiting requests are dispatched.
type order int

const (
	// byRate weights the accounts by their rates.
	byRate order = iota
	// equal gives all accounts the same weight.
	equal
	// oneQueue puts the requests of all accounts into one queue.
	oneQueue
)

// central divides the instances into groups. Each group has a dispatcher with a queue, the slots of the instances and a
// detector.
type central struct {
	s      *sim
	groups []*dispatch
	order  order
	hedges bool
	// reserve is the dispatcher for the VM that gets no answers from the regular one.
	reserve *dispatch
	newOne  func(first, instances int) *dispatch
	cutAt   time.Duration
}

// dispatch is the dispatcher of a group, whose instances start at index first.
type dispatch struct {
	c         *central
	first     int
	vm        int
	judge     judge
	scheduler *scheduler.Scheduler[*job]
	budget    float64
	running   map[*job]struct{}
	dead      bool
	lookedAt  time.Duration
}

// job is a request at a dispatcher. Its cancel functions end the attempts; open counts the attempts in flight.
type job struct {
	r      *request
	avoid  int
	cancel []func()
	open   int
	tries  int
}

func newCentral(s *sim, groups int, o order, hedges bool, j func(*sim, int, func(int)) judge) router {
	c := &central{s: s, order: o, hedges: hedges}
	c.newOne = func(first, n int) *dispatch { return newDispatch(c, first, n, j) }
	size := s.instances / groups
	for g := range groups {
		n := size
		if g == groups-1 {
			n = s.instances - g*size
		}
		c.groups = append(c.groups, c.newOne(g*size, n))
	}
	return c
}

func newDispatch(c *central, first, n int, j func(*sim, int, func(int)) judge) *dispatch {
	d := &dispatch{c: c, first: first, vm: first, budget: hedgeBurst, running: map[*job]struct{}{}}
	d.judge = j(c.s, n, func(i int) { c.s.result.eject(c.s, first+i, 0) })
	request := func(j *job) scheduler.Request { return scheduler.Request{Idempotent: true, Avoid: j.avoid} }
	random := rand.New(rand.NewPCG(uint64(first), 3))
	d.scheduler = scheduler.New(1024, request, d.judge.eligible, random, nil)
	for range n {
		d.scheduler.Add(c.s.time(), c.s.slots, false)
	}
	return d
}

func (c *central) route(r *request) {
	n := c.s.random.IntN(c.s.instances)
	d := c.groups[0]
	for _, g := range c.groups {
		if n >= g.first {
			d = g
		}
	}
	if r.vm == c.s.scenario.cutVM && c.s.now >= faultAt {
		c.around(r)
		return
	}
	c.s.after(c.s.delay(r.vm, d.vm), func() { d.submit(r, -1, 0) })
}

// around sends a request of the VM that gets no answers from the dispatcher to another dispatcher, once the VM has
// detected the loss.
func (c *central) around(r *request) {
	if c.reserve == nil {
		c.reserve = c.newOne(0, c.s.instances)
		c.reserve.vm = 1
		c.cutAt = c.s.now
	}
	wait := max(0, c.cutAt+lostAfter-c.s.now)
	c.s.after(wait+c.s.delay(r.vm, c.reserve.vm), func() { c.reserve.submit(r, -1, 0) })
}

// kill replaces the first dispatcher by one without any state, to which the requests in flight are submitted again.
func (c *central) kill() {
	old := c.groups[0]
	old.dead = true
	c.groups[0] = c.newOne(old.first, c.s.instances/len(c.groups))
	for j := range old.running {
		for _, cancel := range j.cancel {
			cancel()
		}
		c.s.after(2*linkDelay, func() { c.groups[0].submit(j.r, -1, 0) })
	}
}

func (c *central) cold(i int) {
	for _, d := range c.groups {
		if i >= d.first && i < d.first+c.s.instances/len(c.groups) {
			d.judge.cold(i - d.first)
			d.scheduler.SetCold(c.s.time(), i-d.first)
		}
	}
}

func (d *dispatch) submit(r *request, avoid, tries int) {
	s := d.c.s
	account, weight := "", 1.0
	if d.c.order != oneQueue {
		account = string(rune('a' + r.account))
	}
	if d.c.order == byRate {
		weight = s.limit(r.account)
	}
	j := &job{r: r, avoid: avoid, tries: tries}
	if tries == 0 {
		d.budget = min(hedgeBurst, d.budget+hedgeShare)
	}
	it := scheduler.Item[*job]{Account: account, Weight: weight, Value: j, Deadline: s.time().Add(timeout - (s.now - r.began))}
	if d.scheduler.Submit(s.time(), it) != nil {
		s.result.shed(r)
		return
	}
	d.pump()
}

// pump drops the waiting requests that can't meet their deadline, at most once per lookEvery, and starts as many others
// as there are free slots.
func (d *dispatch) pump() {
	if d.c.s.now-d.lookedAt >= lookEvery {
		d.lookedAt = d.c.s.now
		for _, it := range d.scheduler.DropLate(d.c.s.time()) {
			d.c.s.result.shed(it.Value.r)
		}
	}
	for {
		it, i, ok := d.scheduler.Next(d.c.s.time())
		if !ok {
			return
		}
		d.running[it.Value] = struct{}{}
		d.start(it.Value, i)
	}
}

func routeName(r *request) string {
	if r.heavy {
		return "heavy"
	}
	return "light"
}

// start starts an attempt of a request at instance i.
func (d *dispatch) start(j *job, i int) {
	s := d.c.s
	began := s.now
	finished := false
	route := routeName(j.r)
	j.open++
	s.result.send(s, d.first+i)
	end := func() bool {
		if finished || d.dead {
			return false
		}
		finished = true
		d.scheduler.Finish(i, s.now-began)
		return true
	}
	cancel := s.serve(d.first+i, j.r, s.delay(d.vm, d.first+i), func(failed bool, took time.Duration) {
		if !end() {
			return
		}
		d.judge.observe(i, route, failed, took)
		d.ended(j, i, failed)
		d.pump()
	})
	j.cancel = append(j.cancel, func() { cancel(); end() })
	s.after(max(0, timeout-(s.now-j.r.began)), func() {
		if end() {
			cancel()
			// A timeout of an attempt that ran for less than the slow latency is no evidence against the instance.
			if slow := d.judge.slow(i, route); slow == 0 || s.now-began >= slow {
				d.judge.observe(i, route, true, s.now-began)
			}
			d.ended(j, i, true)
			d.pump()
		}
	})
	slow := d.judge.slow(i, route)
	if slow == 0 {
		return
	}
	s.after(time.Duration(hedgeFactor*float64(slow)), func() {
		if finished || d.dead || j.r.done {
			return
		}
		d.judge.overdue(i, route, s.now-began)
		d.hedge(j, i)
		d.pump()
	})
}

// hedge starts a second attempt at another instance than i, if the budget allows it.
func (d *dispatch) hedge(j *job, i int) {
	if !d.c.hedges || j.open > 1 || d.budget < 1 {
		return
	}
	k := d.scheduler.Choose(d.c.s.time(), scheduler.Request{Idempotent: true, Avoid: i})
	if k < 0 {
		return
	}
	d.budget--
	d.scheduler.Start(d.c.s.time(), k)
	d.start(j, k)
}

// ended handles the end of an attempt: it answers the request, or retries it at another instance if all its attempts
// failed and the budget allows it.
func (d *dispatch) ended(j *job, i int, failed bool) {
	s := d.c.s
	j.open--
	if failed && j.open > 0 {
		return
	}
	delete(d.running, j)
	if failed && j.tries < 2 && d.budget >= 1 && s.now-j.r.began < timeout {
		d.budget--
		d.submit(j.r, i, j.tries+1)
		return
	}
	for _, cancel := range j.cancel {
		cancel()
	}
	s.after(s.delay(d.vm, j.r.vm), func() { s.answer(j.r, failed) })
}

// direct lets each VM choose instances by its own observations alone: of two random live instances, the one with fewer
// of the VM's own requests in flight.
type direct struct {
	s     *sim
	views []*view
}

// view is the state of one VM.
type view struct {
	judge    judge
	inFlight []int
	budget   float64
}

func newDirect(s *sim, j func(*sim, int, func(int)) judge) router {
	d := &direct{s: s}
	for vm := range s.vms {
		v := &view{inFlight: make([]int, s.instances), budget: hedgeBurst}
		v.judge = j(s, s.instances, func(i int) { s.result.eject(s, i, vm) })
		d.views = append(d.views, v)
	}
	return d
}

func (d *direct) kill() {}

func (d *direct) cold(i int) {
	for _, v := range d.views {
		v.judge.cold(i)
	}
}

func (d *direct) route(r *request) {
	v := d.views[r.vm]
	v.budget = min(hedgeBurst, v.budget+hedgeShare)
	d.try(v, r, none, 0)
}

func (d *direct) try(v *view, r *request, avoid, tries int) {
	s := d.s
	i := d.choose(v, avoid)
	v.inFlight[i]++
	s.result.send(s, i)
	ended := false
	end := func(failed bool, took time.Duration) {
		if ended {
			return
		}
		ended = true
		v.inFlight[i]--
		v.judge.observe(i, routeName(r), failed, took)
		if failed && tries < 2 && v.budget >= 1 && s.now-r.began < timeout {
			v.budget--
			d.try(v, r, i, tries+1)
			return
		}
		s.answer(r, failed)
	}
	cancel := s.serve(i, r, s.delay(r.vm, i), func(failed bool, took time.Duration) {
		if r.vm == s.scenario.cutVM && i == sick && s.now >= faultAt {
			return
		}
		end(failed, took)
	})
	s.after(max(0, timeout-(s.now-r.began)), func() { cancel(); end(true, timeout) })
}

func (d *direct) choose(v *view, avoid int) int {
	var live []int
	for i := range v.inFlight {
		if i != avoid && v.judge.eligible(i) == scheduler.EligibilityAll {
			live = append(live, i)
		}
		if i != avoid && v.judge.eligible(i) == scheduler.EligibilityTrial && v.inFlight[i] == 0 {
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
