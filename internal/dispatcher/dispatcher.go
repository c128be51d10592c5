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

// Options are what a Dispatcher needs.
type Options struct {
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Asserter *asserter.Asserter
	// Index returns the configuration in force.
	Index func() *merger.Index
	// Leaving reports whether the VM list says that a backend server is going away.
	Leaving func(netip.AddrPort) bool
	// OnStateChange is called for each change of an instance's state, under the group's lock.
	OnStateChange func(detector.Event)
	// Seed seeds the choice between equal instances.
	Seed uint64
}

// Dispatcher holds the groups that this VM dispatches for.
type Dispatcher struct {
	Options
	// held is the size of the bodies of all requests here, in bytes.
	held   atomic.Int64
	mu     sync.Mutex
	groups map[groupKey]*group
	ctx    context.Context
	cancel context.CancelFunc
}

type groupKey struct {
	service string
	index   int
}

func (k groupKey) String() string { return GroupName(k.service, k.index) }

// GroupName returns the name by which a group is placed.
func GroupName(service string, index int) string { return service + "#" + strconv.Itoa(index) }

// New returns a dispatcher without groups; they are made as requests come.
func New(o Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{Options: o, groups: map[groupKey]*group{}, ctx: ctx, cancel: cancel}
}

// Close ends all groups.
func (d *Dispatcher) Close() {
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.groups {
		g.close()
	}
}

// Groups splits the instances of a service into groups of at most MaxGroup.
func Groups(s merger.Service) [][]merger.Instance {
	n := (len(s.Instances) + MaxGroup - 1) / MaxGroup
	gs := make([][]merger.Instance, n)
	for i, in := range s.Instances {
		gs[i%n] = append(gs[i%n], in)
	}
	return gs
}

// Domains returns the failure domains of instances, the most frequent ones only.
func Domains(is []merger.Instance) []string {
	counts := map[string]int{}
	most := 0
	for _, in := range is {
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
		return nil, errors.Newf("service %s is not configured", service)
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
	go d.watch(ctx, k, g)
	return g, nil
}

// watch looks after a group until it is closed.
func (d *Dispatcher) watch(ctx context.Context, k groupKey, g *group) {
	for {
		period := tick
		if g.quiet() {
			period = 10 * tick
		}
		select {
		case <-ctx.Done():
			return
		case <-d.Clock.After(period):
		}
		g.look(ctx)
		if d.retire(k, g) {
			return
		}
	}
}

// retire closes a group that has not been used for long.
func (d *Dispatcher) retire(k groupKey, g *group) bool {
	if !g.quiet() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	g.mu.Lock()
	unused := d.Clock.Now().Sub(g.usedAt) > groupIdle
	g.mu.Unlock()
	if !unused {
		return false
	}
	delete(d.groups, k)
	g.close()
	return true
}

// Update takes over a changed configuration or VM list in all groups.
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

// Busy reports whether a request waits or runs here.
func (d *Dispatcher) Busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.groups {
		if !g.quiet() {
			return true
		}
	}
	return false
}

// GroupStatus is what a dump shows of a group.
type GroupStatus struct {
	Name string `json:"name"`
	// Threshold is the evidence at which an instance is ejected.
	Threshold       float64          `json:"threshold"`
	MeanServiceTime string           `json:"meanServiceTime"`
	Waiting         map[string]int   `json:"waiting"`
	Instances       []InstanceStatus `json:"instances"`
	Events          []detector.Event `json:"events"`
}

// InstanceStatus is what a dump shows of an instance.
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

// reasonOf returns the reason that an error of submit stands for.
func reasonOf(err error) Reason {
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
