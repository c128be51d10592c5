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

func centralPolicy(
	name string, groups int, mode queueMode, hedges bool, newDetector func(*sim, int, func(int)) outlierDetector,
) policy {
	return policy{name, func(s *sim) router { return newCentralRouter(s, groups, mode, hedges, newDetector) }, newSharded}
}

func directPolicy(name string, newDetector func(*sim, int, func(int)) outlierDetector) policy {
	return policy{name, func(s *sim) router { return newDirectRouter(s, newDetector) }, newSharded}
}

// policies are the compared policies. The first one is the library's own.
var policies = []policy{
	centralPolicy("ours", 1, weightByRate, true, newCUSUM),
	centralPolicy("ours, 2 groups", 2, weightByRate, true, newCUSUM),
	centralPolicy("ours, 4 groups", 4, weightByRate, true, newCUSUM),
	centralPolicy("ours, no hedging", 1, weightByRate, false, newCUSUM),
	centralPolicy("ours, equal weights", 1, equalWeights, true, newCUSUM),
	centralPolicy("ours, one queue", 1, singleQueue, true, newCUSUM),
	centralPolicy("dispatcher, consecutive", 1, weightByRate, true, newBaseline(tooManyConsecutive)),
	centralPolicy("dispatcher, window", 1, weightByRate, true, newBaseline(tooManyInWindow)),
	centralPolicy("dispatcher, latency", 1, weightByRate, true, newBaseline(meanTooHigh)),
	directPolicy("direct, ours", newCUSUM),
	directPolicy("direct, consecutive", newBaseline(tooManyConsecutive)),
	directPolicy("direct, window", newBaseline(tooManyInWindow)),
	directPolicy("direct, latency", newBaseline(meanTooHigh)),
	{"fixed share of the rate", func(s *sim) router { return newCentralRouter(s, 1, weightByRate, true, newCUSUM) }, newFixedShare},
}

// result holds the measurements of one run, or the sum of several runs.
type result struct {
	requests       int
	falseEjections int
	acquires       int
	// detectionTimes and sentAtDetection have one entry for each detector that ejected the faulty instance: the seconds
	// from the fault until the ejection, and the number of requests that all VMs had sent to the instance by then.
	detectionTimes  []float64
	sentAtDetection []float64
	detectors       int
	// missedDetections counts the detectors that never ejected the faulty instance.
	missedDetections int
	sentToFaulty     int
	detectedBy       map[int]bool
	accounts         [accountCount]accountResult
}

// accountResult counts how the requests of one account ended, and holds their latencies in microseconds.
type accountResult struct {
	offered, inTime, refusedWithinRate, shed int
	hist                                     *hdrhistogram.Histogram
}

// maxLatency is the highest latency that the histograms record; higher ones count as this.
const maxLatency = 20 * time.Second

func (r *result) init() {
	r.detectedBy = map[int]bool{}
	for a := range r.accounts {
		r.accounts[a].hist = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
}

func (r *result) recordSend(s *sim, i int) {
	if i == faultyInstance && s.now >= faultAt && !s.scenario.healthy {
		r.sentToFaulty++
	}
}

// recordEjection counts an ejection by a VM's detector as a detection or as false. An ejection of the faulty instance
// by the VM that gets no answers from it counts as neither while the instance is healthy.
func (r *result) recordEjection(s *sim, i, vm int) {
	if s.scenario.healthy || i != faultyInstance || s.now < faultAt {
		if s.scenario.cutVM != vm || i != faultyInstance {
			r.falseEjections++
		}
		return
	}
	if r.detectedBy[vm] {
		return
	}
	r.detectedBy[vm] = true
	r.detectionTimes = append(r.detectionTimes, (s.now - faultAt).Seconds())
	r.sentAtDetection = append(r.sentAtDetection, float64(r.sentToFaulty))
}

func (r *result) finish(s *sim) {
	if s.scenario.healthy || s.scenario.setBehaviour == nil {
		return
	}
	r.detectors = 1
	if _, ok := s.router.(*directRouter); ok {
		r.detectors = s.vms
	}
	if c, ok := s.router.(*centralRouter); ok && len(c.groups) > 1 {
		r.detectors = 1
	}
	r.missedDetections = r.detectors - len(r.detectionTimes)
}

func (r *result) recordAnswer(q *request, failed bool, took time.Duration) {
	a := &r.accounts[q.account]
	a.offered++
	if !failed && took <= requestTimeout {
		a.inTime++
	}
	_ = a.hist.RecordValue(min(took, maxLatency).Microseconds())
}

// recordRefusal counts a request that the limiter refused. Every refusal counts as wrong, since the accounts keep
// within their rates, except those of the flooding account.
func (r *result) recordRefusal(s *sim, q *request) {
	if s.scenario.flood && q.account == floodingAccount {
		return
	}
	a := &r.accounts[q.account]
	a.offered++
	a.refusedWithinRate++
}

func (r *result) recordShed(q *request) {
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
	r.acquires += o.acquires
	r.detectionTimes = append(r.detectionTimes, o.detectionTimes...)
	r.sentAtDetection = append(r.sentAtDetection, o.sentAtDetection...)
	r.detectors += o.detectors
	r.missedDetections += o.missedDetections
	for a := range r.accounts {
		t, u := &r.accounts[a], &o.accounts[a]
		t.offered += u.offered
		t.inTime += u.inTime
		t.refusedWithinRate += u.refusedWithinRate
		t.shed += u.shed
		if t.hist == nil {
			t.hist = u.hist
		} else {
			t.hist.Merge(u.hist)
		}
	}
}

const header = "scenario                policy                   | detect s: median 99th | sent: median | false/M | worst: in time   99th ms | refused inside | asks/request"

func (r *result) row(sc scenario, policy string) string {
	worst, p99 := 1.0, 0.0
	offered, refused := 0, 0
	for a := range r.accounts {
		t := &r.accounts[a]
		offered += t.offered
		refused += t.refusedWithinRate
		if admitted := t.offered - t.refusedWithinRate; admitted > 0 && a+1 != sc.exempt {
			worst = min(worst, float64(t.inTime)/float64(admitted))
			p99 = max(p99, float64(t.hist.ValueAtQuantile(99))/1000)
		}
	}
	detect := fmt.Sprintf("%16s %5s | %12s", "-", "-", "-")
	if r.detectors > 0 {
		detect = fmt.Sprintf("%16s %5s | %12s", quantile(r.detectionTimes, r.detectors, 0.5, 2), quantile(r.detectionTimes, r.detectors, 0.99, 1),
			quantile(r.sentAtDetection, r.detectors, 0.5, 0))
	}
	return fmt.Sprintf("%-23s %-24s | %s | %7.1f | %13.3f%% %9.1f | %13.3f%% | %12.2f", sc.name, policy, detect,
		float64(r.falseEjections)/float64(r.requests)*1e6, 100*worst, p99, 100*float64(refused)/float64(max(1, offered)),
		float64(r.acquires)/float64(r.requests))
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
