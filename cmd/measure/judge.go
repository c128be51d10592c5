package main

import (
	"fmt"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

// outlierDetector detects unhealthy instances and decides which instances may get requests.
type outlierDetector interface {
	observe(i int, route string, failed bool, latency time.Duration)
	// observeOverdue records that a request has been in flight for longer than almost all others of its route.
	observeOverdue(i int, route string, age time.Duration)
	eligibility(i int) scheduler.Eligibility
	// setCold marks an instance as just started.
	setCold(i int)
	// slowLatency returns the latency that only few requests of a route exceed, or zero if it is unknown.
	slowLatency(i int, route string) time.Duration
}

// minLiveShare is the minimum share of the instances that the detectors keep live.
const minLiveShare = 0.5

// cusum uses the library's detector.
type cusum struct {
	s *sim
	d *detector.Detector
}

func newCUSUM(s *sim, instances int, onEject func(i int)) outlierDetector {
	d := detector.New(minLiveShare, nil, func(e detector.Event) {
		if e.To == detector.StateEjected && e.From == detector.StateLive {
			var i int
			_, _ = fmt.Sscan(e.Instance, &i)
			onEject(i)
		}
	})
	for i := range instances {
		d.Add(s.time(), fmt.Sprint(i))
	}
	return &cusum{s, d}
}

func (c *cusum) observe(i int, route string, failed bool, latency time.Duration) {
	o := detector.OutcomeAnswered
	if failed {
		o = detector.OutcomeFailed
	}
	c.d.Observe(c.s.time(), i, route, o, latency)
}

func (c *cusum) observeOverdue(i int, route string, age time.Duration) {
	c.d.Observe(c.s.time(), i, route, detector.OutcomeOverdue, age)
}

func (c *cusum) setCold(i int) { c.d.SetCold(c.s.time(), i) }

func (c *cusum) slowLatency(i int, route string) time.Duration { return c.d.SlowLatency(i, route) }

func (c *cusum) eligibility(i int) scheduler.Eligibility {
	c.d.Tick(c.s.time())
	return dispatcher.Eligibility(c.d.State(i))
}

// baseline implements the simpler policies: it ejects an instance for a fixed time when shouldEject returns true for
// it.
type baseline struct {
	s           *sim
	instances   []instanceStats
	shouldEject func(b *baseline, i int) bool
	onEject     func(i int)
}

// instanceStats is what the simpler policies record of one instance.
type instanceStats struct {
	consecutiveFailures int
	recent              []outcome
	meanLatency         float64
	requests            int
	ejectedUntil        time.Duration
}

type outcome struct {
	at     time.Duration
	failed bool
}

const (
	// ejectionTime is how long a simpler policy keeps an instance ejected.
	ejectionTime = 10 * time.Second
	// maxConsecutive is the number of consecutive failures that ejects an instance.
	maxConsecutive = 5
	// The window policy ejects an instance when at least the share failureThreshold of its requests in the last
	// failureWindow failed, among at least minRequests requests.
	failureWindow    = 10 * time.Second
	minRequests      = 10
	failureThreshold = 0.15
	// The latency policy ejects an instance whose mean latency exceeds the average of all instances by the factor
	// latencyFactor, among those with at least minRequests requests. meanWeight is the weight of the newest latency in the
	// moving average.
	latencyFactor = 3
	meanWeight    = 0.1
)

func newBaseline(shouldEject func(*baseline, int) bool) func(*sim, int, func(int)) outlierDetector {
	return func(s *sim, instances int, onEject func(int)) outlierDetector {
		return &baseline{s: s, instances: make([]instanceStats, instances), shouldEject: shouldEject, onEject: onEject}
	}
}

func tooManyConsecutive(b *baseline, i int) bool {
	return b.instances[i].consecutiveFailures >= maxConsecutive
}

func tooManyInWindow(b *baseline, i int) bool {
	t := &b.instances[i]
	n := 0
	for _, r := range t.recent {
		if r.failed {
			n++
		}
	}
	return len(t.recent) >= minRequests && float64(n) >= failureThreshold*float64(len(t.recent))
}

func meanTooHigh(b *baseline, i int) bool {
	sum, n := 0.0, 0
	for _, t := range b.instances {
		if t.requests >= minRequests {
			sum += t.meanLatency
			n++
		}
	}
	t := b.instances[i]
	return t.requests >= minRequests && n > 1 && t.meanLatency > latencyFactor*sum/float64(n)
}

func (b *baseline) observe(i int, _ string, failed bool, latency time.Duration) {
	t := &b.instances[i]
	t.consecutiveFailures++
	if !failed {
		t.consecutiveFailures = 0
	}
	t.recent = append(t.recent, outcome{b.s.now, failed})
	for len(t.recent) > 0 && t.recent[0].at < b.s.now-failureWindow {
		t.recent = t.recent[1:]
	}
	if t.requests++; t.requests == 1 {
		t.meanLatency = latency.Seconds()
	}
	t.meanLatency += meanWeight * (latency.Seconds() - t.meanLatency)
	if b.s.now >= t.ejectedUntil && b.ejectedCount() < len(b.instances)/2 && b.shouldEject(b, i) {
		*t = instanceStats{ejectedUntil: b.s.now + ejectionTime}
		b.onEject(i)
	}
}

func (b *baseline) ejectedCount() int {
	n := 0
	for _, t := range b.instances {
		if b.s.now < t.ejectedUntil {
			n++
		}
	}
	return n
}

func (b *baseline) setCold(int) {}

func (b *baseline) observeOverdue(int, string, time.Duration) {}

func (b *baseline) slowLatency(int, string) time.Duration { return 0 }

func (b *baseline) eligibility(i int) scheduler.Eligibility {
	if b.s.now < b.instances[i].ejectedUntil {
		return scheduler.EligibilityNone
	}
	return scheduler.EligibilityAll
}
