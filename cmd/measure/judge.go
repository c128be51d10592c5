package main

import (
	"fmt"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

// judge detects unhealthy instances and decides which instances may get requests.
type judge interface {
	observe(i int, route string, failed bool, latency time.Duration)
	// overdue records that a request has been in flight for longer than almost all others of its route.
	overdue(i int, route string, age time.Duration)
	eligible(i int) scheduler.Eligibility
	// cold marks an instance as just started.
	cold(i int)
	// slow returns the latency that only few requests of a route exceed, or zero if it is unknown.
	slow(i int, route string) time.Duration
}

// floor is the minimum share of the instances that the detectors keep live.
const floor = 0.5

// cusum uses the library's detector.
type cusum struct {
	s *sim
	d *detector.Detector
}

func newCUSUM(s *sim, instances int, ejected func(i int)) judge {
	d := detector.New(floor, nil, func(e detector.Event) {
		if e.To == detector.StateEjected && e.From == detector.StateLive {
			var i int
			_, _ = fmt.Sscan(e.Instance, &i)
			ejected(i)
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

func (c *cusum) overdue(i int, route string, age time.Duration) {
	c.d.Observe(c.s.time(), i, route, detector.OutcomeOverdue, age)
}

func (c *cusum) cold(i int) { c.d.SetCold(c.s.time(), i) }

func (c *cusum) slow(i int, route string) time.Duration { return c.d.SlowLatency(i, route) }

func (c *cusum) eligible(i int) scheduler.Eligibility {
	c.d.Tick(c.s.time())
	return dispatcher.Eligibility(c.d.State(i))
}

// baseline implements the simpler policies: it ejects an instance for a fixed time when bad returns true for it.
type baseline struct {
	s         *sim
	instances []track
	bad       func(b *baseline, i int) bool
	ejected   func(i int)
}

// track is what the simpler policies record of one instance.
type track struct {
	consecutive int
	recent      []recent
	mean        float64
	seen        int
	until       time.Duration
}

type recent struct {
	at     time.Duration
	failed bool
}

const (
	// ejectFor is how long a simpler policy keeps an instance ejected.
	ejectFor = 10 * time.Second
	// maxConsecutive is the number of consecutive failures that ejects an instance.
	maxConsecutive = 5
	// The window policy ejects an instance when at least windowShare of its requests in the last windowTime failed,
	// among at least windowMin requests.
	windowTime  = 10 * time.Second
	windowMin   = 10
	windowShare = 0.15
	// The latency policy ejects an instance whose mean latency exceeds the average of all instances by the factor
	// latencyFactor. meanDecay is the weight of the newest latency in the moving average.
	latencyFactor = 3
	meanDecay     = 0.1
)

func newBaseline(bad func(*baseline, int) bool) func(*sim, int, func(int)) judge {
	return func(s *sim, instances int, ejected func(int)) judge {
		return &baseline{s: s, instances: make([]track, instances), bad: bad, ejected: ejected}
	}
}

func consecutive(b *baseline, i int) bool { return b.instances[i].consecutive >= maxConsecutive }

func window(b *baseline, i int) bool {
	t := &b.instances[i]
	n := 0
	for _, r := range t.recent {
		if r.failed {
			n++
		}
	}
	return len(t.recent) >= windowMin && float64(n) >= windowShare*float64(len(t.recent))
}

func slowMean(b *baseline, i int) bool {
	sum, n := 0.0, 0
	for _, t := range b.instances {
		if t.seen >= windowMin {
			sum += t.mean
			n++
		}
	}
	t := b.instances[i]
	return t.seen >= windowMin && n > 1 && t.mean > latencyFactor*sum/float64(n)
}

func (b *baseline) observe(i int, _ string, failed bool, latency time.Duration) {
	t := &b.instances[i]
	t.consecutive++
	if !failed {
		t.consecutive = 0
	}
	t.recent = append(t.recent, recent{b.s.now, failed})
	for len(t.recent) > 0 && t.recent[0].at < b.s.now-windowTime {
		t.recent = t.recent[1:]
	}
	if t.seen++; t.seen == 1 {
		t.mean = latency.Seconds()
	}
	t.mean += meanDecay * (latency.Seconds() - t.mean)
	if b.s.now >= t.until && b.out() < len(b.instances)/2 && b.bad(b, i) {
		*t = track{until: b.s.now + ejectFor}
		b.ejected(i)
	}
}

func (b *baseline) out() int {
	n := 0
	for _, t := range b.instances {
		if b.s.now < t.until {
			n++
		}
	}
	return n
}

func (b *baseline) cold(int) {}

func (b *baseline) overdue(int, string, time.Duration) {}

func (b *baseline) slow(int, string) time.Duration { return 0 }

func (b *baseline) eligible(i int) scheduler.Eligibility {
	if b.s.now < b.instances[i].until {
		return scheduler.EligibilityNone
	}
	return scheduler.EligibilityAll
}
