package relayer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Messenger sends requests to peers.
type Messenger interface {
	// Call sends a request to a peer and returns its reply.
	Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error)
}

// Options are the settings and dependencies of a Relayer.
type Options struct {
	Self     placer.VM
	Capacity float64
	// LinkSpeed is the speed of this VM's network link in bit/s; zero if unknown.
	LinkSpeed float64
	// RateWindow is the span over which the rates of accounts are enforced.
	RateWindow time.Duration
	// DrainTimeout is how long an instance that left may still get requests.
	DrainTimeout time.Duration
	// WarmupBound is what instances that warm up may get; the zero value sets no bound beyond their rate.
	WarmupBound   limiter.WarmupBound
	Tracker       *tracker.Tracker
	Messenger     Messenger
	Source        Source
	InstanceStats InstanceStats
	Clock         clockwork.Clock
	Logger        *zap.Logger
}

// Relayer exchanges state with peers. It is safe for concurrent use.
type Relayer struct {
	Options
	rates     *rates
	limits    *limits
	restarts  *restarts
	transfers *transfers
	startedAt time.Time
	// listed is set once this VM has read the list of VMs, heardLeader once the leader of its domain has passed on what it
	// knows, and caughtUp once it need not wait for its peers any more.
	listed, heardLeader, caughtUp atomic.Bool
	// starting is set from the start of Run until this VM has caught up; it passes nothing on before.
	starting atomic.Bool

	// placed is the last placement, and placementMu guards it.
	placementMu sync.Mutex
	placed      *placement

	mu   sync.Mutex
	role tracker.Role
	// suspects holds the peers that did not answer, and until when they are skipped.
	suspects map[netip.AddrPort]time.Time
	// staleLeaders holds the leaders whose state was stale, and until when other VMs are polled instead.
	staleLeaders map[netip.AddrPort]time.Time
	// lastExchange is the start of the last exchange of each VM of this domain with this one.
	lastExchange map[netip.AddrPort]time.Time
	// leaderSince is when this VM became the leader of its domain; zero while it is not.
	leaderSince time.Time
	// leadsInsteadSince is when this VM led first since it last heard from another leader; zero if it has not led since.
	leadsInsteadSince time.Time
	// askedDown is when this VM, while it leads, last asked each VM of its domain that it takes for down. Only runLeader uses it.
	askedDown map[netip.AddrPort]time.Time
	// followed is the leader of its domain that this VM exchanged with last; invalid once it led itself.
	followed netip.AddrPort
	// outgoing collects this VM's observations for its leader.
	outgoing outbox
	// outboxes collect the observations of this and other VMs for the peers that exchange with this one.
	outboxes map[netip.AddrPort]*peerOutbox
	// reads and decisions are counters for the metrics.
	reads, decisions, limitDecisions map[string]float64
	// reportedInstances is the number of instances in the last full report.
	reportedInstances int
	// peerLoads are the numbers of requests that peers have in flight at the instances.
	peerLoads *loads
	usage     *usage
	reportCh  chan struct{}
	cursors   map[netip.AddrPort]cursor
	// domainsLive is the number of live VMs in each of the other failure domains, as their leaders reported it.
	domainsLive map[string]liveCount
	// fleetLive is the number of live VMs in the fleet, as this VM's leader reported it.
	fleetLive liveCount
}

// liveCount is a number of live VMs at a time.
type liveCount struct {
	n  int
	at time.Time
}

// peerOutbox holds what is to be sent to a peer.
type peerOutbox struct {
	outbox
	// leader says that the peer is the leader of another domain.
	leader bool
	usedAt time.Time
	// repliedAt is when the peer was last sent a reply, and loadsSentAt when the last one with a full report.
	repliedAt, loadsSentAt time.Time
	// usageSentAt is when the peer was last sent the usage of the services.
	usageSentAt time.Time
	wake        chan struct{}
}

// cursor is the position up to which this VM has the changes of a peer.
type cursor struct {
	incarnation uint64
	sequence    uint64
	// loadsSentAt is when this VM's loads were last sent to the peer.
	loadsSentAt time.Time
	// usageSentAt is when this VM's usage was last sent to the peer.
	usageSentAt time.Time
	// statementsSequence is the tracker's sequence number up to which the peer has the statements that this VM observed.
	statementsSequence uint64
}

// New returns a relayer; Run starts it.
func New(o Options) *Relayer {
	r := &Relayer{
		Options: o, startedAt: o.Clock.Now(), suspects: map[netip.AddrPort]time.Time{}, staleLeaders: map[netip.AddrPort]time.Time{}, lastExchange: map[netip.AddrPort]time.Time{}, outgoing: outbox{},
		outboxes: map[netip.AddrPort]*peerOutbox{}, peerLoads: newLoads(), usage: newUsage(), reportCh: make(chan struct{}, 1),
		cursors: map[netip.AddrPort]cursor{}, domainsLive: map[string]liveCount{},
		reads: map[string]float64{}, decisions: map[string]float64{}, limitDecisions: map[string]float64{},
	}
	r.rates, r.limits, r.transfers = newRates(r), newLimits(r), newTransfers(o.LinkSpeed)
	r.restarts = newRestarts(r)
	return r
}

// SetMessenger sets the messenger; it must be called before Run.
func (r *Relayer) SetMessenger(m Messenger) { r.Messenger = m }

// SetRole sets this VM's role and reports it to the peers.
func (r *Relayer) SetRole(role tracker.Role) {
	r.mu.Lock()
	changed := r.role != role
	r.role = role
	r.mu.Unlock()
	if !changed {
		return
	}
	r.updateSelf()
	r.wakeReport()
}

// Role returns this VM's role.
func (r *Relayer) Role() tracker.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.role
}

func (r *Relayer) updateSelf() {
	r.Tracker.UpdateMember(tracker.Member{VM: r.Self, Role: r.Role(), Capacity: r.Capacity, AsOf: r.Clock.Now()})
}

// Run exchanges with peers and reads the store until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	r.starting.Store(true)
	r.updateSelf()
	loops := []func(context.Context){r.announce, r.readConfiguration, r.readRegistrations, r.readPeers, r.followLeader, r.runLeader, r.sendReports, r.fetchConfigurations,
		r.reportGrants, r.updateUsage}
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

// suspect marks a peer that did not answer, which is skipped for suspectTTL.
func (r *Relayer) suspect(a netip.AddrPort, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if now.After(r.suspects[a]) {
		r.Logger.Info("peer lost", zap.Stringer("peer", a), logger.Err(cause))
	}
	r.suspects[a] = now.Add(suspectTTL)
}

// passOver skips a leader whose state is stale for suspectTTL; this VM polls another one meanwhile.
func (r *Relayer) passOver(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if now.After(r.staleLeaders[a]) {
		r.Logger.Info("leader passed over", zap.Stringer("peer", a), logger.Err(errStale))
	}
	r.staleLeaders[a] = now.Add(suspectTTL)
}

// acceptsAsLeader reports whether this VM would use another as its leader now.
func (r *Relayer) acceptsAsLeader(a netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	return !now.Before(r.suspects[a]) && !now.Before(r.staleLeaders[a])
}

func (r *Relayer) clearSuspicion(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.suspects[a]; ok {
		delete(r.suspects, a)
		r.Logger.Info("peer regained", zap.Stringer("peer", a))
	}
}

// Suspected reports whether a peer failed to answer within the last suspectTTL.
func (r *Relayer) Suspected(a netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Now().Before(r.suspects[a])
}

// leader returns the leader of a domain, which reads the store for it; ok is false if no candidate is known.
func (r *Relayer) leader(domain string) (placer.VM, bool) {
	return r.firstLeader(domain, r.acceptsAsLeader)
}

// leadsByContact reports whether this VM leads its domain not just because the state of others is stale. While the store is
// away, the state of all VMs is, and each leads for itself; the others are silent then, but not down.
func (r *Relayer) leadsByContact() bool {
	l, ok := r.firstLeader(r.Self.Domain, func(a netip.AddrPort) bool { return !r.Suspected(a) })
	return !ok || l.Address == r.Self.Address
}

// firstLeader returns the first VM of a domain in rendezvous order that is this VM or accepted as a leader. Only VMs with
// much capacity are considered, since all others of the domain exchange with the leader.
func (r *Relayer) firstLeader(domain string, accepts func(netip.AddrPort) bool) (vm placer.VM, ok bool) {
	cs := r.placement().leaderOrder(domain)
	accepted := func(c placer.Candidate) bool { return c.Address == r.Self.Address || accepts(c.Address) }
	maxWeight := 0.0
	for _, c := range cs {
		if c.Weight > maxWeight && accepted(c) {
			maxWeight = c.Weight
		}
	}
	for _, c := range cs {
		if c.Weight >= leaderCapacityShare*maxWeight && accepted(c) {
			return c.VM, true
		}
	}
	return placer.VM{}, false
}

// IsLeader reports whether this VM is the leader of its domain.
func (r *Relayer) IsLeader() bool {
	l, ok := r.leader(r.Self.Domain)
	return !ok || l.Address == r.Self.Address
}

// readsForFleet reports whether this VM reads what leaders pass on to each other, for the whole fleet: it is the first
// of the leaders of all failure domains.
func (r *Relayer) readsForFleet() bool {
	if !r.IsLeader() {
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

// Observe records the outcome of a request at an instance, to be reported to peers. Canceled requests are ignored.
func (r *Relayer) Observe(instance string, o balancer.Outcome, relative float64) {
	if o == balancer.OutcomeCanceled {
		return
	}
	r.mu.Lock()
	r.outgoing.add(instance, o, relative)
	r.mu.Unlock()
	r.restarts.observe(r.Self.Address, instance, map[balancer.Outcome]int{o: 1})
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

// sendReports reports urgent outcomes to the leader after reportDelay.
func (r *Relayer) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.reportCh:
		}
		r.sleep(ctx, reportDelay)
		r.Refresh(ctx)
	}
}

// Refresh exchanges with the leader of this VM's domain at once, without waiting for changes. A leader sends its
// observations to the outboxes of its peers instead. It also updates this VM's shares of rates.
func (r *Relayer) Refresh(ctx context.Context) {
	r.rates.place(r.placement())
	l, ok := r.leader(r.Self.Domain)
	if !ok || l.Address == r.Self.Address {
		r.flushOutgoing()
		return
	}
	if err := r.exchange(ctx, l, 0, false); err != nil {
		r.suspect(l.Address, err)
	}
}

// flushOutgoing moves this VM's observations to the outboxes of the peers that exchange with it.
func (r *Relayer) flushOutgoing() {
	r.mu.Lock()
	ms := r.outgoing.message()
	r.outgoing = outbox{}
	r.mu.Unlock()
	if len(ms) > 0 {
		r.distribute(r.Self.Address, false, ms)
	}
}

// Handle replies to a request of a peer.
func (r *Relayer) Handle(ctx context.Context, from placer.VM, req *wire.Request) (*wire.Reply, func(func(proto.Message) error) error, error) {
	switch b := req.GetBody().(type) {
	case *wire.Request_Exchange:
		return &wire.Reply{Body: &wire.Reply_Beliefs{Beliefs: r.handleExchange(ctx, from, b.Exchange)}}, nil, nil
	case *wire.Request_FetchConfiguration:
		p, err := r.handleFetch(ctx, b.FetchConfiguration)
		return &wire.Reply{Body: &wire.Reply_ConfigurationPart{ConfigurationPart: p}}, nil, err
	case *wire.Request_Take:
		t, err := r.rates.grant(from, b.Take)
		return takenReply(t), nil, err
	case *wire.Request_Granted:
		return takenReply(&wire.Taken{}), nil, r.rates.handleGranted(from, b.Granted)
	case *wire.Request_TakeSend:
		t, err := r.handleTakeSend(from, b.TakeSend)
		return takenReply(t), nil, err
	}
	return nil, nil, errors.New("the message is of a kind that this daemon does not know")
}

func takenReply(t *wire.Taken) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Taken{Taken: t}}
}
