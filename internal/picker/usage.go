package picker

import (
	"math"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// usage counts what this VM sees of the services, and keeps what all VMs together see. It is safe for concurrent use.
type usage struct {
	mu        sync.Mutex
	clock     clockwork.Clock
	collector *aggregator.Collector
	fleets    map[string]aggregator.Fleet
}

func newUsage(c clockwork.Clock) *usage {
	return &usage{clock: c, collector: aggregator.NewCollector()}
}

// count adds an event at a service.
func (u *usage) count(service string, event func(*aggregator.Counts)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	event(u.collector.At(u.clock.Now(), service))
}

// CountOffered counts a caller's request of a level at its arrival.
func (p *Picker) CountOffered(service string, level int) {
	p.usage.count(service, func(c *aggregator.Counts) { c.Offered[level]++ })
}

// CountAdmitted counts a request of a level by whether it may be sent to an instance.
func (p *Picker) CountAdmitted(service string, level int, admitted bool) {
	p.usage.count(service, func(c *aggregator.Counts) {
		if admitted {
			c.Admitted[level]++
		} else {
			c.Rejected[level]++
		}
	})
}

// CountEnded counts a request that ended by whether it was served.
func (p *Picker) CountEnded(service string, served bool) {
	p.usage.count(service, func(c *aggregator.Counts) {
		c.Ended++
		if !served {
			c.Unserved++
		}
	})
}

// countSend counts the outcome of an attempt. Those that were canceled say nothing of the service.
func (p *Picker) countSend(service string, o balancer.Outcome) {
	if o == balancer.OutcomeCanceled {
		return
	}
	p.usage.count(service, func(c *aggregator.Counts) {
		c.Sends++
		if o == balancer.OutcomeShed {
			c.Refused++
		}
	})
}

// Usage implements relayer.InstanceStats.
func (p *Picker) Usage() map[string]aggregator.Counts {
	p.usage.mu.Lock()
	all := p.usage.collector.Counts(p.usage.clock.Now())
	p.usage.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for name, s := range p.services {
		c, busy := all[name]
		kept := s.budget.Left(now)
		if !busy && kept < 1 {
			continue
		}
		c.Kept, c.Budget = int64(math.Ceil(kept)), int64(math.Ceil(s.budget.whole(now)))
		all[name] = c
	}
	return all
}

// SetUsage implements relayer.InstanceStats.
func (p *Picker) SetUsage(fleets map[string]aggregator.Fleet) {
	p.usage.mu.Lock()
	p.usage.fleets = fleets
	p.usage.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, f := range fleets {
		if f.Sum.Budget > 0 {
			p.service(name).budget.NoteFleetKept(p.Clock.Now(), f.Sum.KeptShare())
		}
	}
}

// FleetUsage returns what all VMs together saw of a service within about the last second.
func (p *Picker) FleetUsage(service string) aggregator.Fleet {
	p.usage.mu.Lock()
	defer p.usage.mu.Unlock()
	return p.usage.fleets[service]
}
