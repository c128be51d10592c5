package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// offeredLoad is the share of the slots that the offered requests occupy without a fault.
	offeredLoad = 0.5
	// medianServiceTime is the median of the log-normal service time, and serviceTimeSigma the standard deviation of its
	// logarithm.
	medianServiceTime = 20 * time.Millisecond
	serviceTimeSigma  = 0.3
	// linkDelay is the one-way network delay between failure domains.
	linkDelay = time.Millisecond
	// requestTimeout is the time that callers wait for an answer. An answer within it is in time.
	requestTimeout = 500 * time.Millisecond
	// faultAt is when the fault of a scenario begins.
	faultAt = 5 * time.Second
	// healthyFailureShare is the share of requests that fail at a healthy instance.
	healthyFailureShare = 0.0005
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

// requestRate returns the requests per second that all accounts together offer.
func (d deployment) requestRate() float64 {
	mean := medianServiceTime.Seconds() * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return offeredLoad * float64(d.instances*d.slots) / mean
}

// event is a function to call at a virtual time. Events at the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
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
	lastSeq  int
	random   *rand.Rand
	servers  []*server
	router   router
	admitter admitter
	result   result
	until    time.Duration
}

// after schedules a function to run after d of virtual time.
func (s *sim) after(d time.Duration, do func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{s.now + d, s.lastSeq, do})
}

// time returns the virtual time as a time.Time.
func (s *sim) time() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

// request is a request that a client account sends through a VM.
type request struct {
	id        int
	account   int
	vm        int
	heavy     bool
	startedAt time.Duration
	done      bool
}

// server is the state of one instance. Requests beyond its slots wait in it.
type server struct {
	busySlots int
	waiting   []func()
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
	for a := range accountCount {
		s.scheduleArrivals(a)
	}
	if sc.onFault != nil {
		s.after(faultAt, func() { sc.onFault(s) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.result.finish(s)
	return s.result
}

// accountCount is the number of client accounts.
const accountCount = 8

// trafficShare returns the account's share of the offered requests, which is proportional to 1/(account+1).
func trafficShare(account int) float64 {
	sum := 0.0
	for i := range accountCount {
		sum += 1 / float64(i+1)
	}
	return 1 / float64(account+1) / sum
}

// offeredRate returns the requests per second that an account currently sends. An account that sends bursts sends half
// as many requests besides.
func (s *sim) offeredRate(account int) float64 {
	r := s.requestRate() * trafficShare(account)
	if s.scenario.exempt == account+1 && !s.scenario.flood {
		r /= 2
	}
	if s.scenario.flood && account == floodingAccount && s.now >= faultAt {
		return 5 * s.rateLimit(account)
	}
	return r
}

// floodingAccount is the account that exceeds its rate.
const floodingAccount = 2

// rateLimit returns an account's rate limit in requests per second. The account offers 70% of it.
func (s *sim) rateLimit(account int) float64 { return s.requestRate() * trafficShare(account) / 0.7 }

// scheduleArrivals schedules the requests of an account with exponentially distributed gaps.
func (s *sim) scheduleArrivals(account int) {
	gap := time.Duration(s.random.ExpFloat64() / s.offeredRate(account) * float64(time.Second))
	s.after(gap, func() {
		if s.now >= s.until {
			return
		}
		s.sendRequest(account)
		s.scheduleArrivals(account)
	})
}

// sendRequest sends a request of an account through a random VM.
func (s *sim) sendRequest(account int) {
	s.result.requests++
	r := &request{id: s.result.requests, account: account, vm: s.random.IntN(s.vms), startedAt: s.now}
	r.heavy = s.scenario.heavyRoute && s.random.IntN(20) == 0
	if s.scenario.oneVM && account == 1 {
		r.vm = 0
	}
	if s.admitter.admit(r) {
		s.router.route(r)
	} else {
		s.result.recordRefusal(s, r)
	}
}

// serve runs a request on an instance. The request and its answer each take the given network delay. It calls done with
// the outcome and the time since the request was sent, unless the request hangs or is canceled by the returned
// function.
func (s *sim) serve(i int, r *request, delay time.Duration, done func(failed bool, took time.Duration)) (cancel func()) {
	v := s.servers[i]
	canceled, hung := false, false
	sentAt := s.now
	run := func() {
		if canceled {
			return
		}
		v.busySlots++
		b := s.behaviourOf(i)
		if s.random.Float64() < b.hangShare {
			hung = true
			return
		}
		s.after(b.serviceTime(s, r), func() {
			s.release(v)
			if !canceled {
				s.after(delay, func() {
					if !canceled {
						done(s.random.Float64() < b.failureShare, s.now-sentAt)
					}
				})
			}
		})
	}
	s.after(delay, func() {
		if v.busySlots < s.slots {
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
	v.busySlots--
	if len(v.waiting) > 0 {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		next()
	}
}

// behaviour describes how an instance currently serves requests.
type behaviour struct {
	// slowFactor is the factor on the service time.
	slowFactor float64
	// failureShare is the share of requests that fail.
	failureShare float64
	// hangShare is the share of requests that occupy a slot and are never answered.
	hangShare float64
}

func (b behaviour) serviceTime(s *sim, r *request) time.Duration {
	t := float64(medianServiceTime) * math.Exp(serviceTimeSigma*s.random.NormFloat64()) * b.slowFactor
	if r.heavy {
		t *= 8
	}
	return time.Duration(t)
}

func (s *sim) behaviourOf(i int) behaviour {
	b := behaviour{slowFactor: 1, failureShare: healthyFailureShare}
	if s.scenario.setBehaviour != nil && s.now >= faultAt {
		s.scenario.setBehaviour(s, i, &b)
	}
	return b
}

// answer records the answer to a request, unless the request has already ended.
func (s *sim) answer(r *request, failed bool) {
	if r.done {
		return
	}
	r.done = true
	s.result.recordAnswer(r, failed, s.now-r.startedAt)
}

// delay returns the one-way network delay between a VM and an instance, or between two VMs.
func (s *sim) delay(a, b int) time.Duration {
	if a%s.domains == b%s.domains {
		return 0
	}
	return linkDelay
}
