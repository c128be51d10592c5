package picker

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

const (
	// firstTypical is what a request is taken to need, as a part of its objective, until one was answered.
	firstTypical = 0.3
	// typicalWeight is the weight of a new latency in what a route usually takes.
	typicalWeight = 0.05
)

// Reporter tells peers what this process saw.
type Reporter interface {
	// Observe notes an outcome at an instance.
	Observe(instance string, o balancer.Outcome, relative float64)
}

// Options are what a Picker needs.
type Options struct {
	// Domain is the failure domain of this process.
	Domain string
	Random *rand.Rand
	Clock  clockwork.Clock
	// RetryRatio and RetrySlack bound the retries of all VMs together, in any span of RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// VMs returns how many VMs share the budget.
	VMs func() int
}

// Picker chooses instances for requests. It is safe for concurrent use.
type Picker struct {
	Options
	reporter Reporter
	mu       sync.Mutex
	services map[string]*service
	// home is the service of each instance.
	home      map[string]*service
	addresses map[netip.AddrPort]bool
	typical   map[string]time.Duration
}

type service struct {
	balancer *balancer.Balancer
	budget   *Budget
}

// New returns a picker that knows no instances.
func New(o Options) *Picker {
	return &Picker{
		Options: o, services: map[string]*service{}, home: map[string]*service{},
		addresses: map[netip.AddrPort]bool{}, typical: map[string]time.Duration{},
	}
}

// SetReporter sets who is told what this process sees; it must be called before the first Pick.
func (p *Picker) SetReporter(r Reporter) { p.reporter = r }

func (p *Picker) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			balancer: balancer.New(p.Domain, p.Random), budget: NewBudget(p.Clock.Now(), p.RetryWindow, p.RetryRatio, p.RetrySlack, p.VMs()),
		}
		p.services[name] = s
	}
	return s
}

// SetInstances replaces the instances that may be used.
func (p *Picker) SetInstances(is []balancer.Instance) {
	by := map[string][]balancer.Instance{}
	for _, i := range is {
		by[i.Service] = append(by[i.Service], i)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range by {
		p.service(n)
	}
	p.home, p.addresses = map[string]*service{}, map[netip.AddrPort]bool{}
	for n, s := range p.services {
		s.balancer.SetInstances(p.Clock.Now(), by[n])
		for _, i := range by[n] {
			p.home[i.ID] = s
			p.addresses[i.Address] = true
		}
	}
}

// Used reports whether an instance has an address.
func (p *Picker) Used(a netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[a]
}

// Begin counts a caller's request for a service.
func (p *Picker) Begin(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.budget.Resize(p.RetrySlack, p.VMs())
	s.budget.CountRequest(p.Clock.Now())
}

// trialReserve is how many retries a VM must have left to try out suspected instances freely: one for the request
// that tries, and one for another that fails meanwhile.
const trialReserve = 2

// Pick chooses an instance of a service.
func (p *Picker) Pick(name string, w balancer.Request) (balancer.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.service(name), p.Clock.Now()
	w.LowRetryBudget = w.LowRetryBudget || s.budget.Left(now) < trialReserve
	return s.balancer.Pick(now, w)
}

// Retry takes one retry of a service from the budget.
func (p *Picker) Retry(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(name).budget.Take(p.Clock.Now())
}

// Typical returns what requests of a route usually take.
func (p *Picker) Typical(r *router.Route) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usual(r)
}

func (p *Picker) usual(r *router.Route) time.Duration {
	if t := p.typical[r.Name]; t > 0 {
		return t
	}
	return max(time.Millisecond, time.Duration(firstTypical*float64(r.Objective)))
}

// Done ends a request of a route at an instance.
func (p *Picker) Done(r *router.Route, c balancer.Choice, o balancer.Outcome, took time.Duration) {
	p.mu.Lock()
	relative := 0.0
	if o == balancer.OutcomeAnswered {
		t := p.usual(r)
		relative = float64(took) / float64(t)
		p.typical[r.Name] = t + time.Duration(typicalWeight*float64(took-t))
	}
	if s := p.home[c.ID]; s != nil {
		s.balancer.Done(p.Clock.Now(), c, o, relative)
	}
	p.mu.Unlock()
	p.reporter.Observe(c.ID, o, relative)
}

// Overdue notes that a request runs for much longer than usual.
func (p *Picker) Overdue(c balancer.Choice) {
	p.mu.Lock()
	if s := p.home[c.ID]; s != nil {
		s.balancer.Observe(p.Clock.Now(), c.ID, balancer.OutcomeOverdue)
	}
	p.mu.Unlock()
	p.reporter.Observe(c.ID, balancer.OutcomeOverdue, 0)
}

// Hear implements relayer.Hearer.
func (p *Picker) Hear(ss []relayer.Sighting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, s := range ss {
		if h := p.home[s.Instance]; h != nil {
			h.balancer.ApplyReport(now, s.Report)
		}
	}
}

// Others implements relayer.Hearer.
func (p *Picker) Others(running map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for id, h := range p.home {
		h.balancer.SetPeerInFlight(now, id, running[id])
	}
}

// Running implements relayer.Hearer.
func (p *Picker) Running() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := map[string]int{}
	for _, s := range p.services {
		s.balancer.EachInFlight(func(id string, n int) {
			if n > 0 {
				sum[id] = n
			}
		})
	}
	return sum
}

// Judgements returns what is known of all instances, by service.
func (p *Picker) Judgements() map[string][]balancer.Judgement {
	p.mu.Lock()
	defer p.mu.Unlock()
	js := make(map[string][]balancer.Judgement, len(p.services))
	for n, s := range p.services {
		js[n] = s.balancer.Judgements(p.Clock.Now())
	}
	return js
}

// RetriesLeft returns how many retries this VM's share of the budget still has, by service.
func (p *Picker) RetriesLeft() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := make(map[string]float64, len(p.services))
	for n, s := range p.services {
		left[n] = s.budget.Left(p.Clock.Now())
	}
	return left
}
