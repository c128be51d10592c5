package picker

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

const (
	// initialLatencyShare is the typical latency of a route before its first answer, as a share of the route's
	// objective.
	initialLatencyShare = 0.3
	// latencyWeight is the weight of a new latency in the moving average of a route's typical latency.
	latencyWeight = 0.05
)

// Reporter reports to peers what this process observed.
type Reporter interface {
	// Observe records an outcome at an instance. relative is the latency as a multiple of the route's typical latency;
	// zero if there is none.
	Observe(instance string, o balancer.Outcome, relative float64)
}

// Options are the settings and dependencies of a Picker.
type Options struct {
	// Domain is the failure domain of this process.
	Domain string
	Random *rand.Rand
	Clock  clockwork.Clock
	// RetryRatio and RetrySlack bound the retries of all VMs together, in any span of RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// VMCount returns the number of VMs that share the budget.
	VMCount func() int
}

// Picker chooses instances for requests. It is safe for concurrent use.
type Picker struct {
	Options
	started  time.Time
	reporter Reporter
	mu       sync.Mutex
	services map[string]*service
	// instanceService is the service of each instance, by instance ID.
	instanceService map[string]*service
	addresses       map[netip.AddrPort]bool
	latencies       map[string]time.Duration
	// peerInFlight is what SetPeerInFlight was called with last.
	peerInFlight map[string]int
	usage        *usage
	room         *room
	// hedges is nil unless hedges have a limit.
	hedges *Hedges
}

type service struct {
	balancer *balancer.Balancer
	budget   *Budget
	retries  *admitter.Retries
}

// New returns a picker without instances.
func New(o Options) *Picker {
	return &Picker{
		Options: o, started: o.Clock.Now(), services: map[string]*service{}, instanceService: map[string]*service{},
		addresses: map[netip.AddrPort]bool{}, latencies: map[string]time.Duration{}, usage: newUsage(o.Clock), room: newRoom(admitter.New(o.Random)),
	}
}

// SetReporter sets the reporter of outcomes; it must be called before the first Pick.
func (p *Picker) SetReporter(r Reporter) { p.reporter = r }

func (p *Picker) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			balancer: balancer.New(p.Domain, p.Random), budget: NewBudget(p.started, p.RetryWindow, p.RetryRatio, p.RetrySlack, p.VMCount()),
			retries: admitter.NewRetries(),
		}
		p.services[name] = s
	}
	return s
}

// SetInstances replaces the usable instances.
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
	p.instanceService, p.addresses = map[string]*service{}, map[netip.AddrPort]bool{}
	for n, s := range p.services {
		s.balancer.SetInstances(p.Clock.Now(), by[n])
		for _, i := range by[n] {
			p.instanceService[i.ID] = s
			p.addresses[i.Address] = true
		}
	}
}

// HasAddress reports whether a usable instance has an address.
func (p *Picker) HasAddress(a netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[a]
}

// CountRequest counts a caller's request for a service, which adds to its retry budget.
func (p *Picker) CountRequest(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.budget.Resize(p.RetrySlack, p.VMCount())
	s.budget.CountRequest(p.Clock.Now())
	if p.hedges != nil {
		p.hedges.hedger.CountRequest(p.Clock.Now(), name)
	}
}

// trialReserve is the number of retries that a VM must have left to try suspected instances freely: one for the request
// that tries, and one for another that fails meanwhile.
const trialReserve = 2

// Pick chooses an instance of a service. It returns false if there is none.
func (p *Picker) Pick(name string, r balancer.Request) (balancer.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.service(name), p.Clock.Now()
	return s.balancer.Pick(now, p.withBudget(name, r, s.budget.Left(now)))
}

// withBudget returns a request for a service with what this VM knows of the service's failures and retries.
func (p *Picker) withBudget(name string, r balancer.Request, left float64) balancer.Request {
	r.UnservedShare = p.FleetUsage(name).Sum.UnservedShare()
	r.LowRetryBudget = r.LowRetryBudget || left < trialReserve
	return r
}

// Release ends a choice of Pick for which no request was sent. The instance is not picked again for the given time.
func (p *Picker) Release(c balancer.Choice, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.instanceService[c.ID]; s != nil {
		s.balancer.Release(c, p.Clock.Now().Add(pause))
	}
}

// Pause keeps all requests away from the instance of a choice for the given time.
func (p *Picker) Pause(c balancer.Choice, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.service(c.Service).balancer.Pause(now, c, now.Add(d))
}

// NextAvailable returns the time until an instance of a service that is not available now may be picked for a request; ok
// is false if there is none.
func (p *Picker) NextAvailable(name string, r balancer.Request) (wait time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	at, ok := p.service(name).balancer.NextAvailable(now, r)
	if !ok {
		return 0, false
	}
	return at.Sub(now), true
}

// TakeRetry takes one retry of a service from the budget, and reports whether one was left that no failed request waits for.
func (p *Picker) TakeRetry(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	return s.retries.Waiting() == 0 && s.budget.Take(p.Clock.Now())
}

// TypicalLatency returns the typical latency of a route's requests.
func (p *Picker) TypicalLatency(r *router.Route) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.typicalLatency(r)
}

func (p *Picker) typicalLatency(r *router.Route) time.Duration {
	if t := p.latencies[r.Name]; t > 0 {
		return t
	}
	return max(time.Millisecond, time.Duration(initialLatencyShare*float64(r.Objective)))
}

// Done records the outcome of a request of a route at an instance, and how long it took.
func (p *Picker) Done(r *router.Route, c balancer.Choice, o balancer.Outcome, took time.Duration) {
	p.mu.Lock()
	relative := 0.0
	if o == balancer.OutcomeAnswered {
		t := p.typicalLatency(r)
		relative = float64(took) / float64(t)
		p.latencies[r.Name] = t + time.Duration(latencyWeight*float64(took-t))
	}
	if s := p.instanceService[c.ID]; s != nil {
		s.balancer.Done(p.Clock.Now(), c, o, relative)
	}
	p.mu.Unlock()
	p.countSend(c.Service, o)
	p.reporter.Observe(c.ID, o, relative)
}

// MarkOverdue records that a request has been running for much longer than is typical.
func (p *Picker) MarkOverdue(c balancer.Choice) {
	p.mu.Lock()
	if s := p.instanceService[c.ID]; s != nil {
		s.balancer.Observe(p.Clock.Now(), c.ID, balancer.OutcomeOverdue)
	}
	p.mu.Unlock()
	p.reporter.Observe(c.ID, balancer.OutcomeOverdue, 0)
}

// ApplyReports implements relayer.InstanceStats.
func (p *Picker) ApplyReports(ss []relayer.InstanceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, s := range ss {
		if h := p.instanceService[s.Instance]; h != nil {
			h.balancer.ApplyReport(now, s.Report)
		}
	}
}

// SetPeerInFlight implements relayer.InstanceStats.
func (p *Picker) SetPeerInFlight(inFlight map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	set := func(id string, n int) {
		if s := p.instanceService[id]; s != nil {
			s.balancer.SetPeerInFlight(now, id, n)
		}
	}
	for id := range p.peerInFlight {
		if inFlight[id] == 0 {
			set(id, 0)
		}
	}
	for id, n := range inFlight {
		set(id, n)
	}
	p.peerInFlight = inFlight
}

// InFlight implements relayer.InstanceStats.
func (p *Picker) InFlight() map[string]int {
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

// Judgements returns the balancers' state of all instances, by service.
func (p *Picker) Judgements() map[string][]balancer.Judgement {
	p.mu.Lock()
	defer p.mu.Unlock()
	js := make(map[string][]balancer.Judgement, len(p.services))
	for n, s := range p.services {
		js[n] = s.balancer.Judgements(p.Clock.Now())
	}
	return js
}

// Trials returns the requests used for trials since the start, by service.
func (p *Picker) Trials() map[string]float64 {
	return p.eachBalancer(func(b *balancer.Balancer) float64 { return float64(b.Trials()) })
}

// Priors returns the probability that an instance of which nothing recent is known is unhealthy, by service.
func (p *Picker) Priors() map[string]float64 { return p.eachBalancer((*balancer.Balancer).Prior) }

func (p *Picker) eachBalancer(f func(*balancer.Balancer) float64) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	vs := make(map[string]float64, len(p.services))
	for n, s := range p.services {
		vs[n] = f(s.balancer)
	}
	return vs
}

// Room returns the room of a service by failure domain.
func (p *Picker) Room(name string) map[string]balancer.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(name).balancer.Room(p.Clock.Now())
}

// RetriesLeft returns the retries left in this VM's share of the budget, by service.
func (p *Picker) RetriesLeft() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := make(map[string]float64, len(p.services))
	for n, s := range p.services {
		left[n] = s.budget.Left(p.Clock.Now())
	}
	return left
}
