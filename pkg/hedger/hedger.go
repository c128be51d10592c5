package hedger

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

//go:generate go tool enumer -type=Decision -trimprefix=Decision -transform=kebab

// Decision is the decision on a hedge.
type Decision int

// The decisions. All but DecisionSend refuse the hedge for now.
const (
	// DecisionSend allows the hedge.
	DecisionSend Decision = iota
	// DecisionLimit is that the service's hedges have reached their share of the requests.
	DecisionLimit
	// DecisionFull is that too few slots of the service's instances are free.
	DecisionFull
	// DecisionRetries is that the retry budget has no more left than requests that fail may need.
	DecisionRetries
	// DecisionLate is that a hedge would not be answered before the deadline.
	DecisionLate
)

const (
	// creditSpan is the time whose requests bound the credit that is kept. Slow answers come in spells of some seconds.
	creditSpan = 10 * time.Second
	// minKeptCredit is the credit that a VM with few requests may keep. With less, it would never send a hedge.
	minKeptCredit = 1.0
	// maxSlowShare bounds the share of a route's requests that are taken for slow: the answers beyond are the usual ones.
	maxSlowShare = 0.1
	// initialDelayShare is the delay of a route before its first answers, as a share of its objective.
	initialDelayShare = 0.6
	// delayGain is the relative change of a route's delay by one slow request. Tens of requests adapt it.
	delayGain = 0.1
	// minDelayFactor is the shortest delay as a multiple of the route's typical latency. Earlier, a hedge would hardly come first.
	minDelayFactor = 1.5
	// maxUse is the share of the service's slots in use from which on there are no hedges. Room must be left for first sends
	// that other VMs have not reported yet.
	maxUse = 0.7
	// retryReserve is how many retries a hedge leaves in the VM's budget.
	retryReserve = 2
)

// Hedger decides on the hedges of one VM. It is not safe for concurrent use.
type Hedger struct {
	share    float64
	services map[string]*credit
	delays   map[string]time.Duration
}

// credit is what a VM's hedges of a service may still cost, in requests.
type credit struct {
	left     float64
	requests *limiter.WindowCounter
}

// New returns a hedger for a limit: the share of a service's requests that may be hedged. Zero allows none.
func New(share float64) *Hedger {
	return &Hedger{share: share, services: map[string]*credit{}, delays: map[string]time.Duration{}}
}

// CountRequest counts a caller's request for a service, which earns credit.
func (h *Hedger) CountRequest(now time.Time, service string) {
	c := h.services[service]
	if c == nil {
		c = &credit{requests: limiter.NewWindowCounter(now, creditSpan)}
		h.services[service] = c
	}
	c.requests.Add(now, 1)
	c.left += h.share
	h.dropExcess(now, c)
}

// dropExcess drops the credit that is not kept.
func (h *Hedger) dropExcess(now time.Time, c *credit) {
	c.left = min(c.left, max(minKeptCredit, h.share*float64(c.requests.Sum(now))))
}

// Route is what is known of a request's route.
type Route struct {
	Name string
	// Objective is the latency that the operator wants, and Typical what requests usually take.
	Objective, Typical time.Duration
}

// Delay returns how long a request runs at one instance before it is hedged: what all but a share of the route's requests
// lately took, up to the objective.
func (h *Hedger) Delay(r Route) time.Duration {
	d, ok := h.delays[r.Name]
	if !ok {
		d = time.Duration(initialDelayShare * float64(r.Objective))
	}
	lowest := min(time.Duration(minDelayFactor*float64(r.Typical)), r.Objective)
	return max(time.Millisecond, lowest, min(d, r.Objective))
}

// Observe records whether a request ran longer than the delay of its route at its first instance. It moves the delay to
// where the share of these is that of the limit.
func (h *Hedger) Observe(r Route, slow bool) {
	share := min(h.share, maxSlowShare)
	f := 1 - delayGain*share
	if slow {
		f = 1 + delayGain*(1-share)
	}
	h.delays[r.Name] = time.Duration(f * float64(h.Delay(r)))
}

// Usage is how full a service is, as far as the VM knows: the slots of its usable instances, and how many are in use. All
// slots of an instance that just refused a request are.
type Usage struct {
	InUse, Slots int
}

// Hedge is a hedge that is due.
type Hedge struct {
	Service string
	Route   Route
	// Left is the time until the request's deadline.
	Left  time.Duration
	Usage Usage
	// RetriesLeft is what the VM's retry budget for the service has left.
	RetriesLeft float64
}

// Decide decides on a hedge. It takes no credit yet.
func (h *Hedger) Decide(now time.Time, g Hedge) Decision {
	c := h.services[g.Service]
	if c != nil {
		h.dropExcess(now, c)
	}
	switch {
	case g.Left < g.Route.Typical:
		return DecisionLate
	case float64(g.Usage.InUse+1) > maxUse*float64(g.Usage.Slots):
		return DecisionFull
	case c == nil || c.left < 1:
		return DecisionLimit
	case g.RetriesLeft < 1+retryReserve:
		return DecisionRetries
	}
	return DecisionSend
}

// Spend takes the credit of a hedge that is sent.
func (h *Hedger) Spend(service string) { h.services[service].left-- }

// Credit returns how many hedges may be sent now, by service.
func (h *Hedger) Credit() map[string]float64 {
	m := make(map[string]float64, len(h.services))
	for n, c := range h.services {
		m[n] = c.left
	}
	return m
}
