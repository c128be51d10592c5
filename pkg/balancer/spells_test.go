package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// spells is a load on instances that fail for a while without showing it: each is, independently of the others, in a bad
// spell for badTime on average and then well for goodTime. In a bad spell it breaks the connections of most requests.
type spells struct {
	processes, domains, instances int
	// rate is the number of requests per second of all processes; idempotentShare of them may be repeated once.
	rate, idempotentShare float64
	// swing is by how much of itself the rate rises and falls within a period of 13 s.
	swing             float64
	badTime, goodTime time.Duration
	// lostShare is the share of the answers that are lost on the way at any instance.
	lostShare float64
	// duration is the time after a warm-up of warmup.
	duration time.Duration
}

// bookings is a service of many processes with few requests each, that may all run only once.
var bookings = spells{
	processes: 42, domains: 3, instances: 144, rate: 370, swing: 0.55, badTime: 9 * time.Second, goodTime: 21 * time.Second,
	duration: 30 * time.Second,
}

const (
	warmup = 5 * time.Second
	// breakShare is the share of requests that an instance in a bad spell breaks.
	breakShare = 0.85
	// failureDelay and answerDelay are the times until all processes know of a failure, and of an answer or a load.
	failureDelay = 60 * time.Millisecond
	answerDelay  = 150 * time.Millisecond
)

// spellsResult is what callers got.
type spellsResult struct {
	requests, failed                 int
	idempotent, idempotentFailed     int
	trials, attempts, failedAttempts int
	// leastReached is the smallest share of instances that got a request within 2 s; leastReachedFailing counts only those
	// 2 s in which more than a tenth of the requests failed, of which there were windowsFailing.
	leastReached, leastReachedFailing float64
	windowsFailing                    int
}

func (r spellsResult) failedShare() float64 { return float64(r.failed) / float64(r.requests) }

// event is something that happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

// play plays the load in virtual time.
func (l spells) play(seed uint64) spellsResult {
	r := rand.New(rand.NewPCG(seed, 5))
	is := instances(l.instances)
	bad := make(map[string]bool, len(is))
	var events eventHeap
	at := func(t time.Time, do func(time.Time)) { heap.Push(&events, event{t, do}) }
	exp := func(mean time.Duration) time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) }
	for i := range is {
		is[i].Domain, is[i].Slots = fmt.Sprint("d", i%l.domains), 3
		id := is[i].ID
		bad[id] = r.Float64() < l.badTime.Seconds()/(l.badTime+l.goodTime).Seconds()
		var turn func(time.Time)
		turn = func(now time.Time) {
			bad[id] = !bad[id]
			at(now.Add(exp(l.spell(bad[id]))), turn)
		}
		at(start.Add(exp(l.spell(bad[id]))), turn)
	}
	bs := make([]*balancer.Balancer, l.processes)
	for p := range bs {
		bs[p] = balancer.New(fmt.Sprint("d", p%l.domains), rand.New(rand.NewPCG(seed, uint64(p))))
		bs[p].SetInstances(start, is)
	}
	end := start.Add(warmup + l.duration)
	var res spellsResult
	lastSent := map[string]time.Time{}
	var sent, failures []time.Time
	inFlight := make([]map[string]int, l.processes)
	for p := range inFlight {
		inFlight[p] = map[string]int{}
	}
	total := map[string]int{}
	counted := func(now time.Time) bool { return now.After(start.Add(warmup)) }
	var send func(now time.Time, p int, q balancer.Request)
	send = func(now time.Time, p int, q balancer.Request) {
		c, ok := bs[p].Pick(now, q)
		if !ok {
			return
		}
		lastSent[c.ID] = now
		total[c.ID]++
		inFlight[p][c.ID]++
		o, took := balancer.OutcomeAnswered, 50*time.Millisecond+exp(170*time.Millisecond)
		if bad[c.ID] && r.Float64() < breakShare || r.Float64() < l.lostShare {
			o, took = balancer.OutcomeBroken, 2*time.Millisecond
		}
		delay := answerDelay
		if o == balancer.OutcomeBroken {
			delay = failureDelay
		}
		if counted(now) {
			res.attempts++
			if c.Trial {
				res.trials++
			}
			if o == balancer.OutcomeBroken {
				res.failedAttempts++
			}
		}
		at(now.Add(took), func(now time.Time) {
			bs[p].Done(now, c, o, 1)
			total[c.ID]--
			inFlight[p][c.ID]--
			at(now.Add(delay), func(now time.Time) {
				for i, b := range bs {
					if i != p {
						b.ApplyReport(now, balancer.Report{Instance: c.ID, Counts: map[balancer.Outcome]int{o: 1}})
					}
				}
			})
			if o == balancer.OutcomeAnswered {
				return
			}
			if q.Idempotent && len(q.Tried) == 0 {
				q.Tried = []string{c.ID}
				send(now, p, q)
				return
			}
			failures = append(failures, now)
			if counted(now) {
				res.failed++
				if q.Idempotent {
					res.idempotentFailed++
				}
			}
		})
	}
	var arrive func(time.Time)
	arrive = func(now time.Time) {
		q := balancer.Request{Idempotent: r.Float64() < l.idempotentShare}
		sent = append(sent, now)
		if counted(now) {
			res.requests++
			if q.Idempotent {
				res.idempotent++
			}
		}
		send(now, r.IntN(l.processes), q)
		rate := l.rate * (1 + l.swing*math.Sin(now.Sub(start).Seconds()*2*math.Pi/13))
		at(now.Add(time.Duration(r.ExpFloat64()/rate*float64(time.Second))), arrive)
	}
	at(start, arrive)
	res.leastReached, res.leastReachedFailing = 1, 1
	var look func(time.Time)
	look = func(now time.Time) {
		reached := 0
		for _, t := range lastSent {
			if now.Sub(t) < 2*time.Second {
				reached++
			}
		}
		share := float64(reached) / float64(l.instances)
		sent, failures = since(sent, now.Add(-2*time.Second)), since(failures, now.Add(-2*time.Second))
		if counted(now) {
			res.leastReached = min(res.leastReached, share)
			if len(failures)*10 > len(sent) {
				res.leastReachedFailing = min(res.leastReachedFailing, share)
				res.windowsFailing++
			}
		}
		for p, b := range bs {
			for _, i := range is {
				b.SetPeerInFlight(now, i.ID, total[i.ID]-inFlight[p][i.ID])
			}
		}
		at(now.Add(100*time.Millisecond), look)
	}
	at(start, look)
	for events[0].at.Before(end) {
		e := heap.Pop(&events).(event)
		e.do(e.at)
	}
	return res
}

// since returns the times that are not before a given one.
func since(ts []time.Time, from time.Time) []time.Time {
	for len(ts) > 0 && ts[0].Before(from) {
		ts = ts[1:]
	}
	return ts
}

func (l spells) spell(bad bool) time.Duration {
	if bad {
		return l.badTime
	}
	return l.goodTime
}

// TestRequestsThatRunOnceReachAllInstancesWhileManyFail guards against instances without requests while callers are
// served badly: 0.7 of the sound ones must get a request in any 2 s while more than a tenth of the requests fails.
func TestRequestsThatRunOnceReachAllInstancesWhileManyFail(t *testing.T) {
	l := bookings
	l.lostShare = 0.09
	for seed := range uint64(3) {
		res := l.play(seed)
		t.Logf("%+v, failed %.3f", res, res.failedShare())
		require.Positive(t, res.windowsFailing)
		require.Greater(t, res.leastReachedFailing, 0.7)
	}
}

// TestFewTrialsWhileCallersAreServed guards against trials that cost callers more than they bring.
func TestFewTrialsWhileCallersAreServed(t *testing.T) {
	l := bookings
	for seed := range uint64(3) {
		res := l.play(seed)
		t.Logf("%+v, failed %.3f", res, res.failedShare())
		require.Less(t, float64(res.trials), 0.02*float64(res.requests))
	}
}
