package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// policy is a way to bring requests to instances and to hold accounts to their rates.
type policy struct {
	name     string
	router   func(*sim) router
	admitter func(*sim) admitter
}

func centralPolicy(name string, groups int, o order, hedges bool, j func(*sim, int, func(int)) judge) policy {
	return policy{name, func(s *sim) router { return newCentral(s, groups, o, hedges, j) }, newSharded}
}

func directPolicy(name string, j func(*sim, int, func(int)) judge) policy {
	return policy{name, func(s *sim) router { return newDirect(s, j) }, newSharded}
}

// policies begins with ours.
var policies = []policy{
	centralPolicy("ours", 1, byRate, true, newCUSUM),
	centralPolicy("ours, 2 groups", 2, byRate, true, newCUSUM),
	centralPolicy("ours, 4 groups", 4, byRate, true, newCUSUM),
	centralPolicy("ours, no hedging", 1, byRate, false, newCUSUM),
	centralPolicy("ours, equal weights", 1, equal, true, newCUSUM),
	centralPolicy("ours, one queue", 1, oneQueue, true, newCUSUM),
	centralPolicy("dispatcher, consecutive", 1, byRate, true, newBaseline(consecutive)),
	centralPolicy("dispatcher, window", 1, byRate, true, newBaseline(window)),
	centralPolicy("dispatcher, latency", 1, byRate, true, newBaseline(slowMean)),
	directPolicy("direct, ours", newCUSUM),
	directPolicy("direct, consecutive", newBaseline(consecutive)),
	directPolicy("direct, window", newBaseline(window)),
	directPolicy("direct, latency", newBaseline(slowMean)),
	{"fixed share of the rate", func(s *sim) router { return newCentral(s, 1, byRate, true, newCUSUM) }, newFixed},
}

// result is what was measured in one run, or several.
type result struct {
	requests       int
	falseEjections int
	asks           int
	// detectTimes and detectSent are, for each VM that judges, the time from the fault until it
	// ejected the sick instance and the requests that all had sent there by then.
	detectTimes []float64
	detectSent  []float64
	judges      int
	missed      int
	sentToSick  int
	ejectedBy   map[int]bool
	accounts    [accounts]served
}

type served struct {
	offered, inTime, refusedInside, shed int
	hist                                 *hdrhistogram.Histogram
}

const maxLatency = 20 * time.Second

func (r *result) init() {
	r.ejectedBy = map[int]bool{}
	for a := range r.accounts {
		r.accounts[a].hist = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
}

func (r *result) send(s *sim, i int) {
	if i == sick && s.now >= faultAt && !s.scenario.well {
		r.sentToSick++
	}
}

func (r *result) eject(s *sim, i, vm int) {
	if s.scenario.well || i != sick || s.now < faultAt {
		if s.scenario.cutVM != vm || i != sick {
			r.falseEjections++
		}
		return
	}
	if r.ejectedBy[vm] {
		return
	}
	r.ejectedBy[vm] = true
	r.detectTimes = append(r.detectTimes, (s.now - faultAt).Seconds())
	r.detectSent = append(r.detectSent, float64(r.sentToSick))
}

func (r *result) finish(s *sim) {
	if s.scenario.well || s.scenario.behave == nil {
		return
	}
	r.judges = 1
	if _, ok := s.router.(*direct); ok {
		r.judges = s.vms
	}
	if c, ok := s.router.(*central); ok && len(c.groups) > 1 {
		r.judges = 1
	}
	r.missed = r.judges - len(r.detectTimes)
}

func (r *result) answer(q *request, failed bool, took time.Duration) {
	a := &r.accounts[q.account]
	a.offered++
	if !failed && took <= timeout {
		a.inTime++
	}
	_ = a.hist.RecordValue(min(took, maxLatency).Microseconds())
}

// refuse counts a request that the rates turned away; it was inside the rate unless the
// account floods.
func (r *result) refuse(s *sim, q *request) {
	if s.scenario.flood && q.account == flooder {
		return
	}
	a := &r.accounts[q.account]
	a.offered++
	a.refusedInside++
}

func (r *result) shed(q *request) {
	if q.done {
		return
	}
	q.done = true
	r.accounts[q.account].offered++
	r.accounts[q.account].shed++
}

func (r *result) add(o result) {
	r.requests += o.requests
	r.falseEjections += o.falseEjections
	r.asks += o.asks
	r.detectTimes = append(r.detectTimes, o.detectTimes...)
	r.detectSent = append(r.detectSent, o.detectSent...)
	r.judges += o.judges
	r.missed += o.missed
	for a := range r.accounts {
		t, u := &r.accounts[a], &o.accounts[a]
		t.offered += u.offered
		t.inTime += u.inTime
		t.refusedInside += u.refusedInside
		t.shed += u.shed
		if t.hist == nil {
			t.hist = u.hist
		} else {
			t.hist.Merge(u.hist)
		}
	}
}

const header = "scenario                policy                   | detect s: median 99th | sent: median | false/M | worst: in time   99th ms | refused inside | asks/request"

func (r *result) line(sc scenario, policy string) string {
	worst, p99 := 1.0, 0.0
	offered, refused := 0, 0
	for a := range r.accounts {
		t := &r.accounts[a]
		offered += t.offered
		refused += t.refusedInside
		if admitted := t.offered - t.refusedInside; admitted > 0 && a+1 != sc.exempt {
			worst = min(worst, float64(t.inTime)/float64(admitted))
			p99 = max(p99, float64(t.hist.ValueAtQuantile(99))/1000)
		}
	}
	detect := fmt.Sprintf("%16s %5s | %12s", "-", "-", "-")
	if r.judges > 0 {
		detect = fmt.Sprintf("%16s %5s | %12s", quantile(r.detectTimes, r.judges, 0.5, 2), quantile(r.detectTimes, r.judges, 0.99, 1),
			quantile(r.detectSent, r.judges, 0.5, 0))
	}
	return fmt.Sprintf("%-23s %-24s | %s | %7.1f | %13.3f%% %9.1f | %13.3f%% | %12.2f", sc.name, policy, detect,
		float64(r.falseEjections)/float64(r.requests)*1e6, 100*worst, p99, 100*float64(refused)/float64(max(1, offered)),
		float64(r.asks)/float64(r.requests))
}

// quantile returns a quantile over n judges, of which some never detected.
func quantile(vs []float64, n int, q float64, digits int) string {
	slices.Sort(vs)
	k := int(math.Ceil(q*float64(n))) - 1
	if k >= len(vs) {
		return "never"
	}
	return fmt.Sprintf("%.*f", digits, vs[max(0, k)])
}
