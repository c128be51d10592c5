package dispatcher

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Asserter *asserter.Asserter
	// Index returns the current configuration.
	Index func() *merger.Index
	// Leaving reports whether a backend server is about to stop according to the VM list.
	Leaving func(netip.AddrPort) bool
	// OnStateChange is called for each change of an instance's state, with the group's lock held.
	OnStateChange func(detector.Event)
	// Seed seeds the random choice among equally loaded instances.
	Seed uint64
}

// Dispatcher sends requests to the instances of the groups that this VM dispatches for. It is safe for concurrent use.
type Dispatcher struct {
	Options
	// totalBodyBytes is the total size of the bodies of all requests in Run.
	totalBodyBytes atomic.Int64
	mu             sync.Mutex
	groups         map[groupKey]*group
	ctx            context.Context
	cancel         context.CancelFunc
}

type groupKey struct {
	service string
	index   int
}

func (k groupKey) String() string { return GroupName(k.service, k.index) }

// GroupName returns a group's name, from which the VM that dispatches for it is chosen.
func GroupName(service string, index int) string { return service + "#" + strconv.Itoa(index) }

// New returns a dispatcher without groups; each is created by its first request. The caller must Close it.
func New(o Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{Options: o, groups: map[groupKey]*group{}, ctx: ctx, cancel: cancel}
}

// Close stops the periodic work of all groups and closes their idle connections. No group is created afterwards.
func (d *Dispatcher) Close() {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.groups {
		g.close()
	}
}

// Groups splits the instances of a service into groups of at most MaxGroupSize, whose sizes differ by at most one.
func Groups(s merger.Service) [][]merger.Instance {
	n := (len(s.Instances) + MaxGroupSize - 1) / MaxGroupSize
	gs := make([][]merger.Instance, n)
	for i, in := range s.Instances {
		gs[i%n] = append(gs[i%n], in)
	}
	return gs
}

// MostFrequentDomains returns the failure domain that has the most instances, or all that tie for the most, in no
// particular order.
func MostFrequentDomains(instances []merger.Instance) []string {
	counts := map[string]int{}
	most := 0
	for _, in := range instances {
		counts[in.Domain]++
		most = max(most, counts[in.Domain])
	}
	var ds []string
	for d, n := range counts {
		if n == most {
			ds = append(ds, d)
		}
	}
	return ds
}

func (d *Dispatcher) group(service string, index int) (*group, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := groupKey{service, index}
	if g := d.groups[k]; g != nil {
		return g, nil
	}
	s, ok := d.Index().Service(service)
	if !ok {
		return nil, errors.Newf("service %s is not in the configuration", service)
	}
	gs := Groups(s)
	if index < 0 || index >= len(gs) {
		return nil, errors.Newf("service %s has no group %d", service, index)
	}
	if d.ctx.Err() != nil {
		return nil, errors.New("the dispatcher is closed")
	}
	g := newGroup(k.String(), s, gs[index], d)
	ctx, cancel := context.WithCancel(d.ctx)
	g.stop = cancel
	d.groups[k] = g
	go d.maintainGroup(ctx, k, g)
	return g, nil
}

// maintainGroup calls a group's tick every tickInterval, or every ten of them while the group is idle, until the
// context ends or the group has been unused for idleGroupTTL.
func (d *Dispatcher) maintainGroup(ctx context.Context, k groupKey, g *group) {
	for {
		interval := tickInterval
		if g.idle() {
			interval = 10 * tickInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-d.Clock.After(interval):
		}
		g.tick(ctx)
		if d.closeIfUnused(k, g) {
			return
		}
	}
}

// closeIfUnused closes and removes a group that is idle and got its last request more than idleGroupTTL ago, and
// reports whether it did.
func (d *Dispatcher) closeIfUnused(k groupKey, g *group) bool {
	if !g.idle() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	g.mu.Lock()
	unused := d.Clock.Now().Sub(g.usedAt) > idleGroupTTL
	g.mu.Unlock()
	if !unused {
		return false
	}
	delete(d.groups, k)
	g.close()
	return true
}

// Update applies the current configuration and VM list to all groups.
func (d *Dispatcher) Update() {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.Index()
	for k, g := range d.groups {
		s, ok := x.Service(k.service)
		if gs := Groups(s); ok && k.index < len(gs) {
			g.update(s, gs[k.index], d.Leaving)
			continue
		}
		g.update(s, nil, d.Leaving)
	}
}

// Busy reports whether any request is queued or in flight.
func (d *Dispatcher) Busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.groups {
		if !g.idle() {
			return true
		}
	}
	return false
}

// GroupStatus is the state of a group in a dump.
type GroupStatus struct {
	Name string `json:"name"`
	// Threshold is the evidence at which an instance is ejected.
	Threshold float64 `json:"threshold"`
	// MeanServiceTime is the mean service time, as time.Duration formats it.
	MeanServiceTime string `json:"meanServiceTime"`
	// Waiting is the number of queued requests by client account.
	Waiting   map[string]int   `json:"waiting"`
	Instances []InstanceStatus `json:"instances"`
	// Events are the latest changes of the instances' states, oldest first.
	Events []detector.Event `json:"events"`
}

// InstanceStatus is the state of an instance in a dump.
type InstanceStatus struct {
	detector.Instance
	InFlight int `json:"inFlight"`
}

// Status returns the state of all groups.
func (d *Dispatcher) Status() []GroupStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ss []GroupStatus
	for _, g := range d.groups {
		ss = append(ss, g.status())
	}
	return ss
}

func (g *group) status() GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := GroupStatus{
		Name: g.name, Threshold: detector.Threshold, MeanServiceTime: g.scheduler.MeanServiceTime().String(),
		Waiting: g.scheduler.Accounts(), Events: append([]detector.Event(nil), g.events...),
	}
	for i, in := range g.detector.Instances() {
		s.Instances = append(s.Instances, InstanceStatus{in, g.scheduler.InFlight(i)})
	}
	return s
}

// submitErrorReason returns the Reason for an error that submit returned.
func submitErrorReason(err error) Reason {
	switch {
	case errors.Is(err, scheduler.ErrNoCapacity):
		return ReasonNoBackend
	case errors.Is(err, context.DeadlineExceeded):
		return ReasonTimeout
	case errors.Is(err, context.Canceled):
		return ReasonCanceled
	}
	return ReasonOverload
}
