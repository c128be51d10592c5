package balancer

import "time"

const (
	// crossDomainCost is the cost of sending a request to another failure domain, in service times, while the own one is as
	// full as the others. It falls to zero when the share of the slots in use is higher by crossDomainRange in the own one.
	crossDomainCost  = 0.6
	crossDomainRange = 0.2
	// warmupCost is the additional expected wait at an instance that is still warming up, in service times.
	warmupCost = 0.8
	// costJitter is the upper bound of a random cost, in service times. It lets instances that cost slightly more than
	// the cheapest one get requests too.
	costJitter = 0.35
	// goodCost is the cost, in service times, up to which the search for an instance stops early and doesn't go on in
	// other failure domains. It is that of a free slot at an instance of usual speed.
	goodCost = 1.3
	// failureCost is the cost of a request that fails, in service times: most callers of a request that may run only once
	// get nothing at all then. breakShare is the share of the requests that an unhealthy instance fails.
	failureCost = 10.0
	breakShare  = 0.85
	// fullTTL is how long an instance counts as full after it refused a request. It is about the time until a
	// running request ends and frees a slot.
	fullTTL = 300 * time.Millisecond
	// fullCost is the additional cost of an instance that counts as full, in service times.
	fullCost = 1.0
	// peerInFlightTTL is how long the number of requests that peers run at an instance is valid after its last update.
	peerInFlightTTL = 1500 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average of relative latency.
	latencyWeight = 0.15
	// minRelativeLatency and maxRelativeLatency clamp each sample of relative latency.
	minRelativeLatency = 0.5
	maxRelativeLatency = 12.0
)

// Cost has the parts of the expected wait of a request at an instance, in service times.
type Cost struct {
	// Wait is that for a slot and for the answer, at the speed that the instance had lately.
	Wait float64 `json:"wait"`
	// Crossing is the cost of sending to another failure domain.
	Crossing float64 `json:"crossing"`
	Warmup   float64 `json:"warmup"`
	// Full is that of an instance that refused a request just now.
	Full float64 `json:"full"`
	// Failure is that of a request that may fail, by the probability that the instance is unhealthy.
	Failure float64 `json:"failure"`
}

// total returns the sum of the parts and a jitter.
func (c Cost) total(jitter float64) float64 {
	return c.Wait + c.Crossing + c.Warmup + c.Full + jitter + c.Failure
}

// cost returns the expected wait of a request at an instance, in service times, with a random jitter.
func (b *Balancer) cost(now time.Time, s *state) float64 {
	return b.costParts(now, s).total(costJitter * b.random.Float64())
}

func (b *Balancer) costParts(now time.Time, s *state) Cost {
	slots := float64(max(1, s.Slots))
	l := float64(s.load(now))
	c := Cost{
		Wait:    s.relativeLatency * (1 + 0.3*l/slots + max(0, l+1-slots)/slots),
		Failure: failureCost * breakShare * b.unhealthy(s),
	}
	if s.Domain != b.domain {
		c.Crossing = b.crossingCost
	}
	if now.Before(s.WarmAt) {
		c.Warmup = warmupCost
	}
	if now.Before(s.fullUntil) {
		c.Full = fullCost
	}
	return c
}

// load returns the known number of requests in flight at the instance.
func (s *state) load(now time.Time) int {
	if now.Sub(s.peerInFlightAt) > peerInFlightTTL {
		return s.inFlight
	}
	return s.inFlight + s.peerInFlight
}

// addLatency adds a sample to the moving average of relative latency.
func (s *state) addLatency(relativeLatency float64) {
	r := min(maxRelativeLatency, max(minRelativeLatency, relativeLatency))
	s.relativeLatency += latencyWeight * (r - s.relativeLatency)
}

// SetPeerInFlight sets how many requests all peers together have in flight at an instance. The number is used for
// peerInFlightTTL.
func (b *Balancer) SetPeerInFlight(now time.Time, id string, n int) {
	s := b.instances[id]
	if s == nil {
		return
	}
	if n > s.peerInFlight {
		s.lastActivityAt = now
	}
	s.peerInFlight, s.peerInFlightAt = n, now
}

// EachInFlight calls f for each instance with the number of requests that this process has in flight there.
func (b *Balancer) EachInFlight(f func(id string, n int)) {
	for _, s := range b.order {
		f(s.ID, s.inFlight)
	}
}
