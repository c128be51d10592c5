package relayer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Messenger calls peers.
type Messenger interface {
	// Call sends a request to a peer and returns its reply.
	Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error)
}

// Options are what a Relayer needs.
type Options struct {
	Self     placer.VM
	Capacity float64
	// LinkSpeed is the speed of this VM's link in bit/s; zero if unknown.
	LinkSpeed float64
	// RateWindow is the span over which the rates of accounts hold.
	RateWindow time.Duration
	Tracker    *tracker.Tracker
	Messenger  Messenger
	Source     Source
	Hearer     Hearer
	Clock      clockwork.Clock
	Logger     *zap.Logger
}

// Relayer exchanges beliefs with peers.
type Relayer struct {
	Options
	rates *rates

	mu   sync.Mutex
	role tracker.Role
	// suspects are peers that did not answer, until when they are passed over.
	suspects map[netip.AddrPort]time.Time
	// passed are leaders whose beliefs were old, until when others are asked.
	passed map[netip.AddrPort]time.Time
	// heard is when each VM of this domain last exchanged with this one.
	heard map[netip.AddrPort]time.Time
	// leadsSince is when this VM began to lead its domain; zero while it does not.
	leadsSince time.Time
	// outgoing collects what this VM saw for its leader.
	outgoing box
	// boxes collect what others saw for the peers that exchange with this VM.
	boxes map[netip.AddrPort]*mailbox
	// reads and decisions count for the metrics.
	reads, decisions map[string]float64
	// reported is how many instances the last full report told of.
	reported int
	// loads are the requests that peers run at the instances.
	loads    map[netip.AddrPort]load
	reportCh chan struct{}
	known    map[netip.AddrPort]cursor
	// domainsLive are the VMs that hear each other in the other failure domains, as their leaders told.
	domainsLive map[string]count
	// fleetLive is the same of the whole fleet, as this VM's leader told.
	fleetLive count
}

// count is a number of VMs at a time.
type count struct {
	n  int
	at time.Time
}

// mailbox holds what a peer is to be told.
type mailbox struct {
	box
	// leader says that the peer leads another domain.
	leader bool
	usedAt time.Time
	// answeredAt and toldAt are when the peer was last told anything, and the loads.
	answeredAt, toldAt time.Time
	wake               chan struct{}
}

type load struct {
	running map[string]int
	at      time.Time
}

// cursor is how far this VM knows the changes of a peer.
type cursor struct {
	incarnation uint64
	sequence    uint64
	// toldAt is when the peer was last told the loads here.
	toldAt time.Time
}

// New returns a relayer; Run starts it.
func New(o Options) *Relayer {
	r := &Relayer{
		Options: o, suspects: map[netip.AddrPort]time.Time{}, passed: map[netip.AddrPort]time.Time{}, heard: map[netip.AddrPort]time.Time{}, outgoing: box{},
		boxes: map[netip.AddrPort]*mailbox{}, loads: map[netip.AddrPort]load{}, reportCh: make(chan struct{}, 1),
		known: map[netip.AddrPort]cursor{}, domainsLive: map[string]count{},
		reads: map[string]float64{}, decisions: map[string]float64{},
	}
	r.rates = newRates(r)
	return r
}

// SetMessenger sets how peers are called; it must be called before Run.
func (r *Relayer) SetMessenger(m Messenger) { r.Messenger = m }

// SetRole tells peers how this VM takes part.
func (r *Relayer) SetRole(role tracker.Role) {
	r.mu.Lock()
	changed := r.role != role
	r.role = role
	r.mu.Unlock()
	if !changed {
		return
	}
	r.meetSelf()
	r.wakeReport()
}

// Role returns how this VM takes part.
func (r *Relayer) Role() tracker.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.role
}

func (r *Relayer) meetSelf() {
	r.Tracker.Meet(tracker.Member{VM: r.Self, Role: r.Role(), Capacity: r.Capacity, At: r.Clock.Now()})
}

// Run works until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	r.meetSelf()
	loops := []func(context.Context){r.announce, r.readConfiguration, r.readRegistrations, r.readPeers, r.follow, r.lead, r.report}
	var g sync.WaitGroup
	for _, l := range loops {
		g.Go(func() { l(ctx) })
	}
	g.Wait()
}

func (r *Relayer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.Clock.After(d):
	}
}

// suspect passes a peer over for a while.
func (r *Relayer) suspect(a netip.AddrPort, why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if now.After(r.suspects[a]) {
		r.Logger.Info("peer lost", zap.Stringer("peer", a), logger.Cause(why))
	}
	r.suspects[a] = now.Add(suspectTime)
}

// pass makes this VM ask another leader for a while.
func (r *Relayer) pass(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if now.After(r.passed[a]) {
		r.Logger.Info("leader passed over", zap.Stringer("peer", a), logger.Cause(errStale))
	}
	r.passed[a] = now.Add(suspectTime)
}

// mayLead reports whether this VM would take another as its leader now.
func (r *Relayer) mayLead(a netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	return !now.Before(r.suspects[a]) && !now.Before(r.passed[a])
}

func (r *Relayer) trust(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.suspects[a]; ok {
		delete(r.suspects, a)
		r.Logger.Info("peer regained", zap.Stringer("peer", a))
	}
}

// Suspected reports whether a peer did not answer just now.
func (r *Relayer) Suspected(a netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Now().Before(r.suspects[a])
}

// candidates returns the VMs that may hold a soft role and that are kept, weighted by their capacity.
func (r *Relayer) candidates(keep func(tracker.Member) bool) []placer.Candidate {
	ms := r.Tracker.Members()
	cs := make([]placer.Candidate, 0, len(ms))
	for _, m := range ms {
		self := m.Address == r.Self.Address
		if m.Role == tracker.RoleDown && !self || m.Role == tracker.RoleLeaving || !keep(m) {
			continue
		}
		cs = append(cs, placer.Candidate{VM: m.VM, Weight: m.Capacity})
	}
	return cs
}

// leader returns the VM that reads the store for a domain; ok is false if none is known. It is one of the
// strong ones, since all others of the domain exchange with it.
func (r *Relayer) leader(domain string) (placer.VM, bool) {
	cs := r.candidates(func(m tracker.Member) bool {
		return m.Domain == domain && (m.Address == r.Self.Address || r.mayLead(m.Address))
	})
	most := 0.0
	for _, c := range cs {
		most = max(most, c.Weight)
	}
	cs = slices.DeleteFunc(cs, func(c placer.Candidate) bool { return c.Weight < strongShare*most })
	return placer.First("leader/"+domain, cs)
}

// Leads reports whether this VM leads its domain.
func (r *Relayer) Leads() bool {
	l, ok := r.leader(r.Self.Domain)
	return !ok || l.Address == r.Self.Address
}

// readsForFleet reports whether this VM reads for the whole fleet what leaders pass on to each other: it is the
// first of the leaders of all failure domains.
func (r *Relayer) readsForFleet() bool {
	if !r.Leads() {
		return false
	}
	seen := map[string]bool{}
	var cs []placer.Candidate
	for _, m := range r.Tracker.Members() {
		if seen[m.Domain] {
			continue
		}
		seen[m.Domain] = true
		if l, ok := r.leader(m.Domain); ok {
			cs = append(cs, placer.Candidate{VM: l, Weight: 1})
		}
	}
	first, ok := placer.First("registry", cs)
	return !ok || first.Address == r.Self.Address
}

// Observe notes what this VM saw of an instance, for its peers.
func (r *Relayer) Observe(instance string, o balancer.Outcome, relative float64) {
	if o == balancer.OutcomeCanceled {
		return
	}
	r.mu.Lock()
	r.outgoing.add(instance, o, relative)
	r.mu.Unlock()
	if urgent(o) {
		r.wakeReport()
	}
}

func (r *Relayer) wakeReport() {
	select {
	case r.reportCh <- struct{}{}:
	default:
	}
}

// report tells the leader at once what is urgent.
func (r *Relayer) report(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.reportCh:
		}
		r.sleep(ctx, reportPause)
		r.Refresh(ctx)
	}
}

// Refresh tells the leader of this VM's domain what it saw, and takes what the leader knows, at once.
func (r *Relayer) Refresh(ctx context.Context) {
	l, ok := r.leader(r.Self.Domain)
	if !ok || l.Address == r.Self.Address {
		r.post()
		return
	}
	if err := r.exchange(ctx, l, 0, false); err != nil {
		r.suspect(l.Address, err)
	}
}

// post gives what this VM saw to those that exchange with it.
func (r *Relayer) post() {
	r.mu.Lock()
	ms := r.outgoing.message()
	r.outgoing = box{}
	r.mu.Unlock()
	if len(ms) > 0 {
		r.deliver(r.Self.Address, false, ms)
	}
}

// Handle answers a request of a peer.
func (r *Relayer) Handle(ctx context.Context, from placer.VM, req *wire.Request) (*wire.Reply, func(func(proto.Message) error) error, error) {
	switch b := req.GetBody().(type) {
	case *wire.Request_Exchange:
		return &wire.Reply{Body: &wire.Reply_Beliefs{Beliefs: r.answer(ctx, from, b.Exchange)}}, nil, nil
	case *wire.Request_Take:
		t, err := r.rates.give(b.Take.GetAccount(), int(b.Take.GetWant()))
		if err != nil {
			return nil, nil, err
		}
		return &wire.Reply{Body: &wire.Reply_Taken{Taken: t}}, nil, nil
	}
	return nil, nil, errors.New("the message is of a kind that this daemon does not know")
}
