package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// load is the share of the slots that the offered requests occupy without a fault.
	load = 0.5
	// median is the median of the log-normal service time, and spread the standard deviation of its logarithm.
	median = 20 * time.Millisecond
	spread = 0.3
	// linkDelay is the one-way network delay between failure domains.
	linkDelay = time.Millisecond
	// timeout is the time that callers wait for an answer. An answer within it is in time.
	timeout = 500 * time.Millisecond
	// faultAt is when the fault of a scenario begins.
	faultAt = 5 * time.Second
	// wellFailures is the share of requests that fail at a healthy instance.
	wellFailures = 0.0005
)

// deployment holds the sizes of one of the first deployments. The slots are those of each instance.
type deployment struct {
	name                           string
	vms, instances, slots, domains int
}

var deployments = []deployment{
	{"pit ledger (kerala-south)", 44, 16, 4, 4},
	{"quoting (lv-riga)", 44, 13, 3, 3},
}

// rate returns the requests per second that all accounts together offer.
func (d deployment) rate() float64 {
	mean := median.Seconds() * math.Exp(spread*spread/2)
	return load * float64(d.instances*d.slots) / mean
}

// event is a function to call at a virtual time. Events at the same time run in the order of n.
type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event. It is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event. It is part of heap.Interface.
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// sim is one simulation run in virtual time.
type sim struct {
	deployment
	scenario scenario
	policy   policy
	now      time.Duration
	queue    events
	count    int
	random   *rand.Rand
	servers  []*server
	router   router
	admitter admitter
	result   result
	until    time.Duration
}

// after schedules a function to run after d of virtual time.
func (s *sim) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{s.now + d, s.count, do})
}

// time returns the virtual time as a time.Time.
func (s *sim) time() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

// request is a request that a client account sends through a VM.
type request struct {
	id      int
	account int
	vm      int
	heavy   bool
	began   time.Duration
	done    bool
}

// server is the state of one instance. Requests beyond its slots wait in it.
type server struct {
	busy    int
	waiting []func()
}

// simulate runs a scenario under a policy. Requests arrive until the given virtual time; the run ends when all events
// have been handled.
func simulate(d deployment, sc scenario, p policy, until time.Duration, seed uint64) result {
	s := &sim{deployment: d, scenario: sc, policy: p, random: rand.New(rand.NewPCG(seed, 7)), until: until}
	for range d.instances {
		s.servers = append(s.servers, &server{})
	}
	s.result.init()
	s.router = p.router(s)
	s.admitter = p.admitter(s)
	for a := range accounts {
		s.arrive(a)
	}
	if sc.begin != nil {
		s.after(faultAt, func() { sc.begin(s) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.result.finish(s)
	return s.result
}

// accounts is the number of client accounts.
const accounts = 8

// share returns the account's share of the offered requests, which is proportional to 1/(account+1).
func share(account int) float64 {
	sum := 0.0
	for i := range accounts {
		sum += 1 / float64(i+1)
	}
	return 1 / float64(account+1) / sum
}

// offered returns the requests per second that an account currently sends. An account that sends bursts sends half as
// many requests besides.
func (s *sim) offered(account int) float64 {
	r := s.rate() * share(account)
	if s.scenario.exempt == account+1 && !s.scenario.flood {
		r /= 2
	}
	if s.scenario.flood && account == flooder && s.now >= faultAt {
		return 5 * s.limit(account)
	}
	return r
}

// flooder is the account that exceeds its rate.
const flooder = 2

// limit returns an account's rate limit in requests per second. The account offers 70% of it.
func (s *sim) limit(account int) float64 { return s.rate() * share(account) / 0.7 }

// arrive schedules the requests of an account with exponentially distributed gaps.
func (s *sim) arrive(account int) {
	gap := time.Duration(s.random.ExpFloat64() / s.offered(account) * float64(time.Second))
	s.after(gap, func() {
		if s.now >= s.until {
			return
		}
		s.one(account)
		s.arrive(account)
	})
}

// one sends a request of an account through a random VM.
func (s *sim) one(account int) {
	s.result.requests++
	r := &request{id: s.result.requests, account: account, vm: s.random.IntN(s.vms), began: s.now}
	r.heavy = s.scenario.heavy && s.random.IntN(20) == 0
	if s.scenario.oneVM && account == 1 {
		r.vm = 0
	}
	if s.admitter.admit(r) {
		s.router.route(r)
	} else {
		s.result.refuse(s, r)
	}
}

// serve runs a request on an instance. The request and its answer each take the given network delay. It calls done with
// the outcome and the time since the request was sent, unless the request hangs or is canceled by the returned
// function.
func (s *sim) serve(i int, r *request, delay time.Duration, done func(failed bool, took time.Duration)) (cancel func()) {
	v := s.servers[i]
	canceled, hung := false, false
	sent := s.now
	run := func() {
		if canceled {
			return
		}
		v.busy++
		b := s.behave(i)
		if s.random.Float64() < b.hangs {
			hung = true
			return
		}
		s.after(b.time(s, r), func() {
			s.release(v)
			if !canceled {
				s.after(delay, func() {
					if !canceled {
						done(s.random.Float64() < b.failures, s.now-sent)
					}
				})
			}
		})
	}
	s.after(delay, func() {
		if v.busy < s.slots {
			run()
		} else {
			v.waiting = append(v.waiting, run)
		}
	})
	return func() {
		if hung && !canceled {
			s.release(v)
		}
		canceled = true
	}
}

// release frees a slot and starts the next waiting request.
func (s *sim) release(v *server) {
	v.busy--
	if len(v.waiting) > 0 {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		next()
	}
}

// behaviour describes how an instance currently serves requests.
type behaviour struct {
	// slow is the factor on the service time.
	slow float64
	// failures is the share of requests that fail.
	failures float64
	// hangs is the share of requests that occupy a slot and are never answered.
	hangs float64
}

func (b behaviour) time(s *sim, r *request) time.Duration {
	t := float64(median) * math.Exp(spread*s.random.NormFloat64()) * b.slow
	if r.heavy {
		t *= 8
	}
	return time.Duration(t)
}

func (s *sim) behave(i int) behaviour {
	b := behaviour{slow: 1, failures: wellFailures}
	if s.scenario.behave != nil && s.now >= faultAt {
		s.scenario.behave(s, i, &b)
	}
	return b
}

// answer records the answer to a request, unless the request has already ended.
func (s *sim) answer(r *request, failed bool) {
	if r.done {
		return
	}
	r.done = true
	s.result.answer(r, failed, s.now-r.began)
}

// delay returns the one-way network delay between a VM and an instance, or between two VMs.
func (s *sim) delay(a, b int) time.Duration {
	if a%s.domains == b%s.domains {
		return 0
	}
	return linkDelay
}
