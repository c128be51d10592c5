package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// reuseWindow is the time after an answer of an instance to this process in which the instance is preferred: the
	// connection is likely to be open, and the instance to be well.
	reuseWindow = 900 * time.Millisecond
	// reuseSaving is what a kept connection is worth, in service times: the handshake, for the process and the instance.
	reuseSaving = 0.3
	// maxReusable is the number of instances that answered last that are remembered, and reuseSamples the number of them that
	// are compared for a request.
	maxReusable  = 16
	reuseSamples = 2
)

// noteReusable remembers an instance that answered this process just now.
func (b *Balancer) noteReusable(now time.Time, s *state) {
	s.answeredAt = now
	if i := slices.Index(b.reusable, s); i >= 0 {
		b.reusable = slices.Delete(b.reusable, i, i+1)
	}
	if len(b.reusable) == maxReusable {
		b.reusable = slices.Delete(b.reusable, 0, 1)
	}
	b.reusable = append(b.reusable, s)
}

// sampleReusable compares the instances to which this process is likely to have an idle connection, and returns the cheapest
// with its cost.
func (b *Balancer) sampleReusable(now time.Time, r Request) (best *state, lowest float64) {
	lowest = math.Inf(1)
	samples := 0
	for _, s := range slices.Backward(b.reusable) {
		if now.Sub(s.answeredAt) > reuseWindow || samples == reuseSamples {
			break
		}
		if !b.isReusable(now, s, r) {
			continue
		}
		samples++
		if c := b.cost(now, s) - reuseSaving; c < lowest {
			best, lowest = s, c
		}
	}
	return best, lowest
}

// isReusable reports whether an instance that answered this process within reuseWindow may be preferred for a request.
func (b *Balancer) isReusable(now time.Time, s *state, r Request) bool {
	return s.inFlight == 0 && !s.suspect && b.instances[s.ID] == s && b.available(now, s, r) && !slices.Contains(r.Tried, s.ID)
}
