package picker

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// explainDraws is how often a choice is drawn for an explanation: shares are then within 0.04 of the probability, nearly always.
const explainDraws = 1000

// Explanation says what Picker would decide for the first send of a request.
type Explanation struct {
	Room admitter.Chance
	balancer.Explanation
	// RetriesLeft is what this VM's share of the retry budget has left.
	RetriesLeft float64
	// NextAvailable is the time until an instance that is not available now may be; Awaited is false if there is none.
	NextAvailable time.Duration
	Awaited       bool
}

// Explain returns what AdmitRequest and Pick would decide for a request of a service now, from copies of what they go by.
// Account may be nil.
func (p *Picker) Explain(name string, level int, account *router.Account, r balancer.Request) Explanation {
	e, draw := p.explain(name, level, account, r)
	e.Explanation = draw()
	return e
}

func (p *Picker) explain(name string, level int, account *router.Account, r balancer.Request) (e Explanation, draw func() balancer.Explanation) {
	counts := p.FleetUsage(name).Sum
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := p.services[name]
	if s == nil { // No instance of it was ever known.
		return Explanation{Room: admitter.Chance{Share: 1, Account: 1}}, func() balancer.Explanation { return balancer.Explanation{None: 1} }
	}
	a := p.room.admitter.Clone(random)
	if p.room.isDue(now, name) {
		updateRoom(a, now, name, counts, s.balancer)
	}
	e.Room = a.Chance(now, roomRequest(name, level, account))
	e.RetriesLeft = s.budget.clone().Left(now)
	r = p.withBudget(name, r, e.RetriesLeft)
	if at, ok := s.balancer.NextAvailable(now, r); ok {
		e.NextAvailable, e.Awaited = at.Sub(now), true
	}
	return e, s.balancer.Explain(now, r, random, explainDraws)
}
