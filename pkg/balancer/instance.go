package balancer

import (
	"net/netip"
	"time"
)

// Instance is one instance of a service.
type Instance struct {
	ID string `json:"id"`
	// Incarnation is the start time of the instance in Unix milliseconds, as it reports it; an instance may start again under
	// its ID.
	Incarnation int64          `json:"born"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Domain      string         `json:"domain"`
	Slots       int            `json:"slots"`
	// WarmAt is when the instance reaches its full speed.
	WarmAt time.Time `json:"warmAt,omitzero"`
	// Limit is the request rate that the instance accepts from all processes together, in requests per second; zero if it
	// stated none.
	Limit float64 `json:"limit,omitempty"`
}

// state is the state of an instance as this process knows it from its own requests and from reports of peers.
type state struct {
	Instance
	// evidence is the log-likelihood ratio of being unhealthy against being healthy, as decayed until decayedAt. It was last
	// added to at evidenceAt.
	evidence   float64
	decayedAt  time.Time
	evidenceAt time.Time
	// inFlight is the number of requests that this process has in flight at the instance. peerInFlight is the
	// number that its peers have, as last reported at peerInFlightAt.
	inFlight       int
	peerInFlight   int
	peerInFlightAt time.Time
	// relativeLatency is the moving average of its latencies, each as a multiple of the usual latency of its route.
	relativeLatency float64
	// trialsInFlight is the number of trials that this process has in flight.
	trialsInFlight int
	// lastActivityAt is when a request was last sent to the instance, or an outcome observed or reported, or when peers
	// last reported more requests in flight there than before.
	lastActivityAt time.Time
	// answeredAt is when it last answered this process.
	answeredAt time.Time
	// fullUntil is the end of the time for which the instance counts as full because it refused a request.
	fullUntil time.Time
	// withheldUntil is the end of the time for which the instance is not picked because its limit is reached.
	withheldUntil time.Time
	// pausedUntil is the end of the time for which the instance wants no requests.
	pausedUntil time.Time
	// suspect is true while the instance is out of use because of its evidence.
	suspect bool
}

// Judgement is the state of an instance, for dumps.
type Judgement struct {
	Instance
	Evidence        float64 `json:"evidence"`
	Suspect         bool    `json:"suspect"`
	Load            int     `json:"load"`
	RelativeLatency float64 `json:"relativeLatency"`
}

// Judgements returns the state of all instances, ordered by ID, with suspicion recomputed.
func (b *Balancer) Judgements(now time.Time) []Judgement {
	b.refreshedAt = time.Time{}
	b.refreshSuspects(now)
	js := make([]Judgement, 0, len(b.order))
	for _, s := range b.order {
		js = append(js, Judgement{s.Instance, s.evidence, s.suspect, s.load(now), s.relativeLatency})
	}
	return js
}
