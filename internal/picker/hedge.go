package picker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/hedger"
)

// slotUseTTL is how long the usage of a service's slots is taken for the same. It bounds the work while all requests are slow.
const slotUseTTL = 20 * time.Millisecond

// Hedges chooses the instances of hedges. It shares the state of its picker, and is safe for concurrent use.
type Hedges struct {
	p      *Picker
	hedger *hedger.Hedger
	usages map[string]slotUse
}

type slotUse struct {
	hedger.Usage
	at time.Time
}

// EnableHedges limits hedges to a share of a service's requests. It must be called before the first Pick.
func (p *Picker) EnableHedges(share float64) *Hedges {
	p.hedges = &Hedges{p: p, hedger: hedger.New(share), usages: map[string]slotUse{}}
	return p.hedges
}

// Delay returns how long a request of a route runs at one instance before it is hedged.
func (h *Hedges) Delay(r *router.Route) time.Duration {
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	return h.hedger.Delay(h.route(r))
}

// Observe records whether a request ran longer than the delay of its route.
func (h *Hedges) Observe(r *router.Route, slow bool) {
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	h.hedger.Observe(h.route(r), slow)
}

// Pick decides on a hedge of a request that has the given time left, and chooses its instance, where it counts as in flight
// until Done. It takes the hedge from its limit and from the retry budget. The choice is valid if ok; a decision to send without
// one is that no instance has a free slot.
func (h *Hedges) Pick(service string, r *router.Route, want balancer.Request, left time.Duration) (c balancer.Choice, d hedger.Decision, ok bool) {
	p := h.p
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.service(service), p.Clock.Now()
	d = h.hedger.Decide(now, hedger.Hedge{
		Service: service, Route: h.route(r), Left: left, Usage: h.slotUse(now, service, s), RetriesLeft: s.budget.Left(now),
	})
	if d != hedger.DecisionSend {
		return c, d, false
	}
	if c, ok = s.balancer.PickSpare(now, want); ok {
		h.hedger.Spend(service)
		s.budget.Take(now)
	}
	return c, d, ok
}

// Credit returns how many hedges this VM may send now, by service.
func (h *Hedges) Credit() map[string]float64 {
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	return h.hedger.Credit()
}

func (h *Hedges) slotUse(now time.Time, name string, s *service) hedger.Usage {
	u, ok := h.usages[name]
	if !ok || now.Sub(u.at) >= slotUseTTL {
		u.at = now
		u.InUse, u.Slots = s.balancer.SlotsInUse(now)
		h.usages[name] = u
	}
	return u.Usage
}

func (h *Hedges) route(r *router.Route) hedger.Route {
	return hedger.Route{Name: r.Name, Objective: r.Objective, Typical: h.p.typicalLatency(r)}
}
