package hedger_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/hedger"
)

const (
	tick      = 10 * time.Millisecond
	seconds   = int(time.Second / tick)
	vms       = 4
	instances = 20
	slots     = 3
	objective = time.Second
	share     = 0.05
)

var route = hedger.Route{Name: "r", Objective: objective, Typical: 200 * time.Millisecond}

// load is a load played to the hedgers of some VMs: requests for one service, whose instances work on up to slots requests
// at a time and queue the others.
type load struct {
	duration int // in ticks
	// perSecond is the rate of requests, and slowness by how much an instance takes longer, both at a tick.
	perSecond   func(tick int) float64
	slowness    func(tick, instance int) float64
	retriesLeft float64
}

type try struct {
	request  *request
	instance int
	left     float64 // Work in ticks.
}

type request struct {
	vm, at int
	tries  []*try
	due    bool
	done   bool
}

// outcome is what became of a played load.
type outcome struct {
	latencies *hdrhistogram.Histogram // In milliseconds.
	// requests and hedges are counts by tick, and fullest the highest use of the slots at which a hedge was sent.
	requests, hedges []int
	fullest          float64
}

func (o outcome) slowest(quantile float64) time.Duration {
	return time.Duration(o.latencies.ValueAtQuantile(100*quantile)) * time.Millisecond
}

func sum(ns []int) (n int) {
	for _, x := range ns {
		n += x
	}
	return n
}

// player plays a load to the hedgers of all VMs.
type player struct {
	load
	outcome
	random  *rand.Rand
	hedgers []*hedger.Hedger
	queues  [][]*try
	running []*request
}

// play plays a load with a limit on hedges.
func (l load) play(limit float64) outcome {
	p := &player{
		load: l, random: rand.New(rand.NewPCG(1, 2)), queues: make([][]*try, instances),
		outcome: outcome{latencies: hdrhistogram.New(1, 1_000_000, 3), requests: make([]int, l.duration), hedges: make([]int, l.duration)},
	}
	for range vms {
		p.hedgers = append(p.hedgers, hedger.New(limit))
	}
	due := 0.0
	for now := range l.duration + 60*seconds {
		if now < l.duration {
			for due += l.perSecond(now) / float64(seconds); due >= 1; due-- {
				p.arrive(now)
			}
		}
		inUse := p.work(now)
		for _, r := range p.running {
			if !p.finish(now, r) {
				p.hedge(now, r, inUse)
			}
		}
		p.running = slices.DeleteFunc(p.running, func(r *request) bool { return r.done })
	}
	return p.outcome
}

func at(now int) time.Time { return time.Unix(1e9, 0).Add(time.Duration(now) * tick) }

// arrive sends a new request to the less loaded of two instances.
func (p *player) arrive(now int) {
	r := &request{vm: p.random.IntN(vms), at: now}
	p.hedgers[r.vm].CountRequest(at(now), "s")
	p.requests[now]++
	x, y := p.random.IntN(instances), p.random.IntN(instances)
	if len(p.queues[y]) < len(p.queues[x]) {
		x = y
	}
	p.send(r, x)
	p.running = append(p.running, r)
}

func (p *player) send(r *request, instance int) {
	t := &try{r, instance, 0.2 * float64(seconds) * (0.5 + p.random.ExpFloat64()/2)}
	r.tries = append(r.tries, t)
	p.queues[instance] = append(p.queues[instance], t)
}

// work lets the instances work for a tick, and returns the slots in use.
func (p *player) work(now int) (inUse int) {
	for i, q := range p.queues {
		inUse += min(slots, len(q))
		for _, t := range q[:min(slots, len(q))] {
			t.left -= 1 / p.slowness(now, i)
		}
	}
	return inUse
}

// finish ends a request of which a try is done, and reports whether it did.
func (p *player) finish(now int, r *request) bool {
	r.done = slices.ContainsFunc(r.tries, func(t *try) bool { return t.left <= 0 })
	if !r.done {
		return false
	}
	_ = p.latencies.RecordValue(int64(now-r.at) * tick.Milliseconds()) // All are in range.
	if !r.due {
		p.hedgers[r.vm].Observe(route, false)
	}
	for _, t := range r.tries {
		p.queues[t.instance] = slices.DeleteFunc(p.queues[t.instance], func(x *try) bool { return x == t })
	}
	return true
}

// hedge hedges a request if that is due and allowed.
func (p *player) hedge(now int, r *request, inUse int) {
	h := p.hedgers[r.vm]
	if len(r.tries) > 1 || time.Duration(now-r.at)*tick < h.Delay(route) {
		return
	}
	if !r.due {
		r.due = true
		h.Observe(route, true)
	}
	spare := p.random.IntN(instances)
	d := h.Decide(at(now), hedger.Hedge{
		Service: "s", Route: route, Left: time.Minute, Usage: hedger.Usage{InUse: inUse, Slots: instances * slots}, RetriesLeft: p.retriesLeft,
	})
	if d != hedger.DecisionSend || spare == r.tries[0].instance || len(p.queues[spare]) >= slots {
		return
	}
	h.Spend("s")
	p.send(r, spare)
	p.fullest = max(p.fullest, float64(inUse)/(instances*slots))
	if now < p.duration {
		p.hedges[now]++
	}
}

func steady(rate float64) func(int) float64 { return func(int) float64 { return rate } }
func sound(int, int) float64                { return 1 }

func calm() load {
	return load{duration: 90 * seconds, perSecond: steady(75), slowness: sound, retriesLeft: 10}
}

// requireLimit checks that in any span there are at most the share of its requests, and what VMs kept from before.
func requireLimit(t *testing.T, o outcome) {
	t.Helper()
	const span = 10
	for from := 0; from < len(o.hedges); from += seconds {
		kept := max(vms, share*float64(sum(o.requests[max(0, from-(span+1)*seconds):from])))
		for to := from + seconds; to <= len(o.hedges); to += seconds {
			require.LessOrEqual(t, float64(sum(o.hedges[from:to])), share*float64(sum(o.requests[from:to]))+kept+1e-6)
		}
	}
	for to := seconds; to <= len(o.hedges); to += seconds {
		require.LessOrEqual(t, float64(sum(o.hedges[:to])), share*float64(sum(o.requests[:to]))+1e-6, "from the start on nothing is kept")
	}
}

func TestCalmLoadHasHedgesWithinTheLimit(t *testing.T) {
	with, without := calm().play(share), calm().play(0)
	require.Zero(t, sum(without.hedges), "zero switches hedges off")
	require.LessOrEqual(t, with.slowest(0.99), without.slowest(0.99))
	require.Less(t, with.slowest(0.999), without.slowest(0.999))
	requireLimit(t, with)
}

// One instance of 20 takes 15 times as long: it holds up more than a hundredth of the requests.
func TestOneSlowInstanceDoesNotMakeTheSlowestAnswers(t *testing.T) {
	l := calm()
	l.slowness = func(_, i int) float64 {
		if i == 0 {
			return 15
		}
		return 1
	}
	with, without := l.play(share), l.play(0)
	require.Greater(t, without.slowest(0.99), objective, "callers must be hurt without hedges")
	require.Less(t, with.slowest(0.99), objective)
	require.Less(t, with.slowest(0.999), without.slowest(0.999)/2)
	requireLimit(t, with)
}

func TestHedgesDoNotMakeASlowServiceSlower(t *testing.T) {
	l := calm()
	l.slowness = func(now, _ int) float64 {
		if now > 30*seconds && now < 60*seconds {
			return 2.5
		}
		return 1
	}
	with, without := l.play(share), l.play(0)
	require.LessOrEqual(t, with.slowest(0.99), without.slowest(0.99)*21/20)
	requireLimit(t, with)
}

func TestNoHedgeIsSentWhileSlotsAreShort(t *testing.T) {
	l := calm()
	l.perSecond = func(now int) float64 {
		if now > 30*seconds && now < 50*seconds {
			return 400
		}
		return 75
	}
	with, without := l.play(share), l.play(0)
	require.Zero(t, sum(with.hedges[32*seconds:50*seconds]), "a burst above the service's capacity")
	require.Positive(t, sum(with.hedges[:30*seconds]))
	require.Less(t, with.fullest, 0.7)
	require.LessOrEqual(t, with.slowest(0.99), without.slowest(0.99)*21/20)
	requireLimit(t, with)
}

func TestHedgesLeaveRetriesForRequestsThatFail(t *testing.T) {
	l := calm()
	l.retriesLeft = 2.9
	require.Zero(t, sum(l.play(share).hedges))
}

func TestLateHedgeIsNotSent(t *testing.T) {
	h, now := hedger.New(1), time.Unix(1e9, 0)
	for range 10 {
		h.CountRequest(now, "s")
	}
	g := hedger.Hedge{
		Service: "s", Route: hedger.Route{Name: "r", Objective: objective, Typical: 300 * time.Millisecond}, Left: time.Second,
		Usage: hedger.Usage{InUse: 1, Slots: 9}, RetriesLeft: 10,
	}
	require.Equal(t, hedger.DecisionSend, h.Decide(now, g))
	g.Left = 200 * time.Millisecond
	require.Equal(t, hedger.DecisionLate, h.Decide(now, g))
	g.Service = "other"
	g.Left = time.Second
	require.Equal(t, hedger.DecisionLimit, h.Decide(now, g))
}

// Before the first answers the delay is a share of the objective. It is never shorter than answers usually take, and never
// longer than the objective.
func TestDelayStaysWithinItsBounds(t *testing.T) {
	h := hedger.New(share)
	r := hedger.Route{Name: "r", Objective: objective, Typical: 100 * time.Millisecond}
	require.Equal(t, 600*time.Millisecond, h.Delay(r))
	for range 2000 {
		h.Observe(r, false)
	}
	require.Equal(t, 150*time.Millisecond, h.Delay(r))
	for range 100 {
		h.Observe(r, true)
	}
	require.Equal(t, objective, h.Delay(r))
}

// The sum over VMs must hold while VMs start and are lost, and while callers move between them.
func TestLimitHoldsThroughStartsAndLossesOfVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 0.3).Draw(t, "limit")
		now := time.Unix(1e9, 0)
		hedgers := make([]*hedger.Hedger, rapid.IntRange(1, 30).Draw(t, "vms"))
		for i := range hedgers {
			hedgers[i] = hedger.New(limit)
		}
		requests, hedges := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			busy := rapid.IntRange(0, len(hedgers)-1).Draw(t, "vm")
			if rapid.IntRange(0, 20).Draw(t, "lost") == 0 {
				hedgers[busy] = hedger.New(limit)
			}
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				hedgers[busy].CountRequest(now, "s")
				requests++
			}
			g := hedger.Hedge{Service: "s", Route: route, Left: time.Minute, Usage: hedger.Usage{Slots: 100}, RetriesLeft: 10}
			for range 100 {
				if hedgers[busy].Decide(now, g) == hedger.DecisionSend {
					hedgers[busy].Spend("s")
					hedges++
				}
			}
			require.LessOrEqual(t, float64(hedges), limit*float64(requests)+1e-6)
		}
	})
}
