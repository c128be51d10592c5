package picker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// room decides which requests get the room of the services. Picker.mu guards it.
type room struct {
	admitter *admitter.Admitter
	// updatedAt is when the admitter was last told of a service.
	updatedAt map[string]time.Time
	// turns counts the decisions on requests that asked for a retry.
	turns map[admitter.Turn]int64
	// refused counts the requests that were refused for want of room or of a retry.
	refused map[serviceLevel]int64
	// unserved has the counts since the last summary, by service.
	unserved map[string]*unserved
}

type serviceLevel struct {
	service string
	level   int
}

func newRoom(a *admitter.Admitter) *room {
	return &room{
		admitter: a, updatedAt: map[string]time.Time{}, turns: map[admitter.Turn]int64{},
		refused: map[serviceLevel]int64{}, unserved: map[string]*unserved{},
	}
}

// AdmitRequest decides whether a request for a service may be sent, given what all VMs saw of the service. Account may be nil.
func (p *Picker) AdmitRequest(service string, level int, account *router.Account) admitter.Decision {
	r := roomRequest(service, level, account)
	counts := p.FleetUsage(service).Sum
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if p.room.isDue(now, service) {
		p.room.updatedAt[service] = now
		updateRoom(p.room.admitter, now, service, counts, p.service(service).balancer)
	}
	d := p.room.admitter.Admit(now, r)
	if !d.Admitted {
		u := p.room.unservedAt(service)
		u.count(&u.noRoom, level, r.Account)
		p.room.refused[serviceLevel{service, level}]++
	}
	return d
}

func roomRequest(service string, level int, account *router.Account) admitter.Request {
	r := admitter.Request{Service: service, Level: level}
	if account != nil {
		r.Account, r.Rate = account.Name, account.Rate
	}
	return r
}

// isDue reports whether the admitter is to be told of a service.
func (r *room) isDue(now time.Time, service string) bool {
	return now.Sub(r.updatedAt[service]) >= admitter.UpdateInterval
}

// updateRoom tells an admitter what is known of a service.
func updateRoom(a *admitter.Admitter, now time.Time, service string, counts aggregator.Counts, b *balancer.Balancer) {
	if use, ok := b.Use(now); ok {
		a.Update(now, service, admitter.Load{Counts: counts, Use: use})
	}
}

// JoinRetries lets a request whose attempt failed wait for a retry. limit is when an answer is due; the time that an answer
// usually takes is taken off. The request must leave again.
func (p *Picker) JoinRetries(service string, r *router.Route, t admitter.Try, limit time.Time) *admitter.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.StartBy = limit.Add(-p.typicalLatency(r))
	return p.service(service).retries.Join(p.Clock.Now(), t)
}

// RetryTurn returns what a request that waits for a retry does now; one that waits asks again after wait. With
// admitter.TurnTake, a retry has been taken.
func (p *Picker) RetryTurn(service string, k *admitter.Ticket) (turn admitter.Turn, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.service(service), p.Clock.Now()
	turn, wait = s.retries.Turn(now, k, s.budget.Left(now), s.budget.EarnedPerSecond(now))
	if turn == admitter.TurnTake {
		s.budget.Take(now)
	}
	switch turn {
	case admitter.TurnWait:
		return turn, wait
	case admitter.TurnRefuse:
		u := p.room.unservedAt(service)
		u.count(&u.noRetry, k.Level, k.Account)
		p.room.refused[serviceLevel{service, k.Level}]++
	case admitter.TurnTake:
	}
	p.room.turns[turn]++
	return turn, wait
}

// LeaveRetries ends the wait of a request for a retry.
func (p *Picker) LeaveRetries(service string, k *admitter.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).retries.Leave(k)
}
