package main

import (
	"fmt"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

// judge decides which instances get requests.
type judge interface {
	observe(i int, route string, failed bool, latency time.Duration)
	overdue(i int, route string, age time.Duration)
	eligible(i int) scheduler.Eligibility
	// cold tells that an instance starts anew.
	cold(i int)
	// slow returns how long few requests take, or zero if it is not known.
	slow(i int, route string) time.Duration
}

// floor is the share of the instances that stays live under all judges.
const floor = 0.5

// cusum is the library's detector.
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

// baseline keeps what the simpler policies need of each instance.
type baseline struct {
	s         *sim
	instances []track
	bad       func(b *baseline, i int) bool
	ejected   func(i int)
}

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
	// ejectFor is how long a simpler policy ejects.
	ejectFor = 10 * time.Second
	// maxConsecutive failures in a row eject.
	maxConsecutive = 5
	// windowTime, windowMin and windowShare: this share of failures among at least so many requests.
	windowTime  = 10 * time.Second
	windowMin   = 10
	windowShare = 0.15
	// latencyFactor over the mean of all ejects, for a mean with this weight of the newest.
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
