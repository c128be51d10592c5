package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// policy combines a way to route requests to instances with a way to enforce the rates of accounts.
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

// policies are the compared policies. The first one is the library's own.
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

// result holds the measurements of one run, or the sum of several runs.
type result struct {
	requests       int
	falseEjections int
	asks           int
	// detectTimes and detectSent have one entry for each detector that ejected the faulty instance: the seconds from
	// the fault until the ejection, and the number of requests that all VMs had sent to the instance by then.
	detectTimes []float64
	detectSent  []float64
	judges      int
	// missed counts the detectors that never ejected the faulty instance.
	missed     int
	sentToSick int
	ejectedBy  map[int]bool
	accounts   [accounts]served
}

// served counts how the requests of one account ended, and holds their latencies in microseconds.
type served struct {
	offered, inTime, refusedInside, shed int
	hist                                 *hdrhistogram.Histogram
}

// maxLatency is the highest latency that the histograms record; higher ones count as this.
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

// eject counts an ejection by a VM's detector as a detection or as false. An ejection of the faulty instance by the VM
// that gets no answers from it counts as neither while the instance is healthy.
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

// refuse counts a request that the limiter refused. Every refusal counts as wrong, since the accounts keep within their
// rates, except those of the flooding account.
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

// quantile returns a quantile over n detectors. Those without a value in vs never detected the fault and count as
// infinite.
func quantile(vs []float64, n int, q float64, digits int) string {
	slices.Sort(vs)
	k := int(math.Ceil(q*float64(n))) - 1
	if k >= len(vs) {
		return "never"
	}
	return fmt.Sprintf("%.*f", digits, vs[max(0, k)])
}
