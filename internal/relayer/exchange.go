package relayer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// errStale is returned for a leader whose state is stale.
var errStale = errors.New("the state of the peer is stale")

// exchange sends a peer what this VM observed and applies the state in the reply; leader says that this VM calls as the
// leader of its failure domain. It returns errStale if a follower's long poll of its leader returned stale state.
func (r *Relayer) exchange(ctx context.Context, to placer.VM, wait time.Duration, leader bool) error {
	ctx, cancel := context.WithTimeout(ctx, wait+exchangeMargin)
	defer cancel()
	m, k, began := r.newExchange(to, wait, leader)
	sentUsage := r.addUsage(m, k.usageSentAt)
	b, err := r.sendExchange(ctx, to.Address, m)
	if err != nil {
		return err
	}
	if sentUsage {
		k.usageSentAt = began
	}
	r.clearSuspicion(to.Address)
	if m.LoadsKnown {
		k.loadsSentAt = began
	}
	if k.incarnation != 0 && k.incarnation != b.GetIncarnation() {
		k.statementsSequence = 0 // The peer started again and has only the latest changes.
	}
	r.applyBeliefs(to, leader, began, k, b)
	if !leader {
		r.mu.Lock()
		r.leadsInsteadSince, r.followed = time.Time{}, to.Address
		r.mu.Unlock()
	}
	if !leader && b.GetConfigurationKnown() && b.GetInstancesKnown() {
		r.heardLeader.Store(true)
	}
	if wait > 0 && !leader && !r.fresh(b) {
		return errStale
	}
	return nil
}

// newExchange returns an exchange with a peer, the cursor that holds once the peer has answered it, and when it began.
func (r *Relayer) newExchange(to placer.VM, wait time.Duration, leader bool) (m *wire.Exchange, k cursor, began time.Time) {
	r.mu.Lock()
	k = r.cursors[to.Address]
	m = &wire.Exchange{
		Incarnation: k.incarnation, Sequence: k.sequence, WaitMs: uint32(wait.Milliseconds()),
		Role: uint32(r.role), Capacity: r.Capacity, Leader: leader, FetchesConfiguration: true,
	}
	began = r.Clock.Now()
	if !leader {
		if r.followed != to.Address {
			m.Down = toMembers(began, r.Tracker.DownMembers())
		}
		m.Seen = r.outgoing.message()
		r.outgoing = outbox{}
		observed, n := r.Tracker.ObservedStatements(k.statementsSequence)
		k.statementsSequence, m.Statements = n, toStatements(began, observed)
		m.LoadsKnown = began.Sub(k.loadsSentAt) >= fullReportInterval
	}
	r.mu.Unlock()
	if m.LoadsKnown {
		m.Loads = encodeLoads(r.InstanceStats.InFlight())
	}
	return m, k, began
}

// sendExchange calls a peer. It returns when the context ends, even if opening the connection blocks.
func (r *Relayer) sendExchange(ctx context.Context, to netip.AddrPort, m *wire.Exchange) (*wire.Beliefs, error) {
	rep, err := r.call(ctx, to, &wire.Request{Body: &wire.Request_Exchange{Exchange: m}})
	return rep.GetBeliefs(), err
}

// call is Messenger.Call, but the context also bounds the time to open the connection.
func (r *Relayer) call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error) {
	type result struct {
		rep *wire.Reply
		err error
	}
	ch := make(chan result, 1)
	go func() {
		rep, err := r.Messenger.Call(ctx, to, req)
		ch <- result{rep, err}
	}()
	select {
	case res := <-ch:
		return res.rep, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fresh reports whether the state of a leader is recent enough to poll it.
func (r *Relayer) fresh(b *wire.Beliefs) bool {
	return b.GetConfigurationKnown() && b.GetInstancesKnown() &&
		time.Duration(b.GetConfigurationAgeMs())*time.Millisecond < configurationStaleness.follower &&
		time.Duration(b.GetInstancesAgeMs())*time.Millisecond < r.instancesStaleness().follower
}

// applyBeliefs applies the state of a peer. The ages in it are counted from the start of the exchange plus the time
// that the peer held the reply, because the reply may have waited here unread.
func (r *Relayer) applyBeliefs(from placer.VM, leader bool, began time.Time, k cursor, b *wire.Beliefs) {
	now := r.Clock.Now()
	r.Tracker.MergeDrains(from.Address.String(), fromDrains(b.GetDrains()))
	if c := b.GetConfiguration(); len(c) > 0 {
		var conf router.Configuration
		if err := json.Unmarshal(c, &conf); err != nil {
			r.Logger.Error("cannot decode the configuration from a peer", zap.Stringer("peer", from.Address), logger.Err(err))
			return
		}
		r.applyTable(router.New(conf), content{})
	}
	sent := began.Add(time.Duration(b.GetHeldMs()) * time.Millisecond)
	instances := tracker.Changes{Complete: b.GetInstancesComplete(), End: b.GetInstancesEnd()}
	if b.GetInstancesKnown() {
		instances.EntriesReadAt = sent.Add(-time.Duration(b.GetInstancesAgeMs()) * time.Millisecond)
	}
	for _, m := range b.GetRegistrations() {
		e, err := fromRegistration(now, m)
		if err != nil {
			// Without one of its changes, the peer's view must not count as known here.
			r.Logger.Error("cannot decode a registration from a peer", zap.Stringer("peer", from.Address), logger.Err(err))
			return
		}
		instances.Entries = append(instances.Entries, e)
	}
	r.Tracker.MergeInstances(from.Address, instances)
	r.Tracker.MergeStatements(from.Address.String(), fromStatements(now, sent, b.GetStatements()))
	r.Tracker.MergeWarmups(from.Address.String(), fromWarmups(now, b.GetWarmups()))
	r.applyVersion(from.Address, b, sent)
	for _, m := range b.GetMembers() {
		vm, err := messenger.FromVM(m.GetVm())
		if err != nil {
			r.Logger.Error("cannot decode a VM from a peer", zap.Stringer("peer", from.Address), logger.Err(err))
			continue
		}
		if vm.Address != r.Self.Address {
			at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
			r.Tracker.UpdateMember(tracker.Member{VM: vm, Role: tracker.Role(m.GetRole()), Capacity: m.GetCapacity(), AsOf: at})
		}
	}
	r.mu.Lock()
	k.incarnation, k.sequence = b.GetIncarnation(), b.GetSequence()
	r.cursors[from.Address] = k
	if leader {
		r.domainsLive[from.Domain] = liveCount{int(b.GetLive()), sent}
	} else {
		r.fleetLive = liveCount{int(b.GetLiveFleet()), sent}
	}
	r.mu.Unlock()
	r.applyReports(from.Address, b)
	r.receiveDomainUsage(sent, b)
}

// applyReports processes what a peer reports about the instances.
func (r *Relayer) applyReports(from netip.AddrPort, b *wire.Beliefs) {
	hasLoads := b.GetLoadsKnown()
	if !r.IsLeader() {
		r.applySeen(from, b.GetSeen())
		if hasLoads {
			r.InstanceStats.SetPeerInFlight(decodeLoads(b.GetLoads()))
		}
		return
	}
	r.distribute(from, true, b.GetSeen())
	if !hasLoads {
		return
	}
	r.peerLoads.set(from, loadReport{decodeLoads(b.GetLoads()), r.Clock.Now(), true})
	r.InstanceStats.SetPeerInFlight(r.inFlightExcept(r.Self.Address, true))
}

// applySeen processes the outcomes that a peer observed or passed on.
func (r *Relayer) applySeen(from netip.AddrPort, ms []*wire.Seen) {
	rs := decodeReports(ms)
	r.InstanceStats.ApplyReports(rs)
	r.restarts.observeAll(from, rs)
}

// distribute adds the outcomes that one VM observed to the outboxes of the other VMs, and applies them here. Reports
// from the leader of another domain are not sent on to other leaders.
func (r *Relayer) distribute(from netip.AddrPort, fromLeader bool, ms []*wire.Seen) {
	if len(ms) == 0 {
		return
	}
	if from != r.Self.Address {
		r.applySeen(from, ms)
	}
	hasUrgent := anyUrgent(ms)
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, b := range r.outboxes {
		if a == from || fromLeader && b.leader {
			continue
		}
		b.merge(ms)
		if !hasUrgent {
			continue
		}
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
}

// inFlightExcept returns the number of requests in flight at each instance, summed over this VM and the VMs that report
// to it, but without one of them. withLeaders says whether reports of other domains' leaders are included.
func (r *Relayer) inFlightExcept(except netip.AddrPort, withLeaders bool) map[string]int {
	r.peerLoads.expire(r.Clock.Now().Add(-outboxTTL))
	sum := r.peerLoads.except(except, withLeaders)
	if except != r.Self.Address {
		for i, n := range r.InstanceStats.InFlight() {
			sum[i] += n
		}
	}
	return sum
}

// handleExchange replies to an exchange.
func (r *Relayer) handleExchange(ctx context.Context, from placer.VM, m *wire.Exchange) *wire.Beliefs {
	began := r.Clock.Now()
	changed := r.Tracker.UpdateMember(tracker.Member{VM: from, Role: tracker.Role(m.GetRole()), Capacity: m.GetCapacity(), AsOf: began})
	if changed {
		r.clearSuspicion(from.Address)
	}
	r.hearDown(began, m.GetDown())
	r.mu.Lock()
	b := r.outboxes[from.Address]
	if b == nil {
		b = &peerOutbox{outbox: outbox{}, wake: make(chan struct{}, 1)}
		r.outboxes[from.Address] = b
	}
	b.leader, b.usedAt = m.GetLeader(), began
	if !m.GetLeader() {
		r.lastExchange[from.Address] = began
	}
	r.mu.Unlock()
	if !m.GetLeader() && m.GetLoadsKnown() {
		r.peerLoads.set(from.Address, loadReport{decodeLoads(m.GetLoads()), began, false})
	}
	r.receiveUsage(from.Address, m)
	r.distribute(from.Address, false, m.GetSeen())
	r.Tracker.MergeStatements(from.Address.String(), fromStatements(began, began, m.GetStatements()))
	sequence := m.GetSequence()
	if m.GetIncarnation() != r.Self.Incarnation {
		sequence = 0
	}
	c := r.awaitChanges(ctx, sequence, b, time.Duration(m.GetWaitMs())*time.Millisecond)
	if r.starting.Load() {
		c = tracker.Changes{Sequence: sequence} // What it read may be less than what its peers know.
	}
	if m.GetFetchesConfiguration() {
		c.Table = nil
	}
	now := r.Clock.Now()
	rep := r.encodeChanges(now, c)
	// The ages in the reply are those at the end of this time; what follows may take long on a busy VM.
	rep.HeldMs = uint32(now.Sub(began).Milliseconds())
	r.mu.Lock()
	b.repliedAt = now
	if rep.LoadsKnown = now.Sub(b.loadsSentAt) >= r.reportInterval(m.GetLeader()); rep.LoadsKnown {
		b.loadsSentAt = now
		rep.Seen = b.message()
		b.outbox = outbox{}
	} else {
		rep.Seen = b.takeUrgent()
	}
	r.mu.Unlock()
	if rep.LoadsKnown {
		rep.Loads = encodeLoads(r.inFlightExcept(from.Address, !m.GetLeader()))
		r.mu.Lock()
		r.reportedInstances = len(rep.Loads)
		r.mu.Unlock()
	}
	r.addDomainUsage(rep, b, m.GetLeader())
	rep.Live, rep.LiveFleet = r.liveCounts()
	return rep
}

// reportInterval returns the minimum time between two full reports to a peer. r.mu must be held.
func (r *Relayer) reportInterval(leader bool) time.Duration {
	if leader {
		return leaderFullReportInterval
	}
	if r.LinkSpeed <= 0 {
		return fullReportInterval
	}
	bits := float64(8 * reportEntryBytes * r.reportedInstances * len(r.outboxes))
	return max(fullReportInterval, time.Duration(bits/(reportLinkShare*r.LinkSpeed)*float64(time.Second)))
}

// encodeLoads returns the loads in their wire form. Instances without requests are left out.
func encodeLoads(inFlight map[string]int) []*wire.Load {
	ms := make([]*wire.Load, 0, len(inFlight))
	for i, n := range inFlight {
		if n > 0 {
			ms = append(ms, &wire.Load{Instance: i, Running: uint32(n)})
		}
	}
	return ms
}

// decodeLoads is the inverse of encodeLoads.
func decodeLoads(ms []*wire.Load) map[string]int {
	by := make(map[string]int, len(ms))
	for _, m := range ms {
		by[m.GetInstance()] = int(m.GetRunning())
	}
	return by
}

// awaitChanges waits until there is something to send to a peer, for wait at most, and returns the changes after a
// sequence number. It delays long polls that follow the last reply by less than minReplyInterval.
func (r *Relayer) awaitChanges(ctx context.Context, sequence uint64, b *peerOutbox, wait time.Duration) tracker.Changes {
	r.mu.Lock()
	delay := b.repliedAt.Add(minReplyInterval).Sub(r.Clock.Now())
	r.mu.Unlock()
	if wait > 0 && delay > 0 {
		r.sleep(ctx, delay)
	}
	c, changed := r.Tracker.ChangesSince(sequence)
	if c.Sequence != sequence || wait <= 0 {
		return c
	}
	t := r.Clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	case <-changed:
	case <-b.wake:
	}
	c, _ = r.Tracker.ChangesSince(sequence)
	return c
}

func (r *Relayer) encodeChanges(now time.Time, c tracker.Changes) *wire.Beliefs {
	rep := &wire.Beliefs{
		Incarnation: r.Self.Incarnation, Sequence: c.Sequence,
		ConfigurationKnown: !c.TableReadAt.IsZero(), InstancesKnown: !c.EntriesReadAt.IsZero(),
		ConfigurationAgeMs: ageMs(now, c.TableReadAt), InstancesAgeMs: ageMs(now, c.EntriesReadAt),
		InstancesComplete: c.Complete, InstancesEnd: c.End, ConfigurationVersion: c.TableVersion, ConfigurationEnd: c.TableEnd,
	}
	if c.Table != nil {
		b, err := json.Marshal(c.Table.Configuration)
		if err != nil {
			r.Logger.Error("cannot encode the configuration", logger.Err(err))
			rep.ConfigurationKnown = false
		}
		rep.Configuration = b
	}
	for _, e := range c.Entries {
		rep.Registrations = append(rep.Registrations, toRegistration(now, e))
	}
	rep.Members = toMembers(now, c.Members)
	rep.Statements, rep.Warmups = toStatements(now, c.Statements), toWarmups(now, c.Warmups)
	rep.Drains, rep.DrainsKnown = toDrains(c.Drains), true
	return rep
}

func toMembers(now time.Time, ms []tracker.Member) []*wire.Member {
	var out []*wire.Member
	for _, m := range ms {
		out = append(out, &wire.Member{Vm: messenger.ToVM(m.VM), Role: uint32(m.Role), Capacity: m.Capacity, AgeMs: ageMs(now, m.AsOf)})
	}
	return out
}

// ageMs returns the age of a time in milliseconds, rounded up so that the receiver never takes it for younger than it
// is.
func ageMs(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(min(max(0, now.Sub(at).Milliseconds()+1), int64(time.Hour/time.Millisecond)))
}

func toRegistration(now time.Time, e tracker.Entry) *wire.Registration {
	a, _ := e.Address.MarshalBinary() // MarshalBinary of an AddrPort never fails.
	return &wire.Registration{
		Id: e.ID, Service: e.Service, Address: a, Domain: e.Domain, Slots: uint32(e.Slots),
		WarmingMs: uint32(max(0, e.WarmAt.Sub(now).Milliseconds())), Condition: uint32(e.Condition),
		Born: e.Incarnation, Beat: e.SequenceNumber, Offset: e.Offset,
	}
}

func fromRegistration(now time.Time, m *wire.Registration) (tracker.Entry, error) {
	e := tracker.Entry{
		Instance: balancer.Instance{
			ID: m.GetId(), Incarnation: m.GetBorn(), Service: m.GetService(), Domain: m.GetDomain(), Slots: int(m.GetSlots()),
			WarmAt: now.Add(time.Duration(m.GetWarmingMs()) * time.Millisecond),
		},
		Condition: tracker.Condition(m.GetCondition()), SequenceNumber: m.GetBeat(), Offset: m.GetOffset(),
	}
	return e, errors.Wrap(e.Address.UnmarshalBinary(m.GetAddress()), "decode address of instance")
}

// liveCounts returns how many VMs of its domain exchange with this VM, including itself, and the sum over the fleet, as
// far as the leaders of other domains reported recently.
func (r *Relayer) liveCounts() (domain, fleet uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	domain = 1
	for a, at := range r.lastExchange {
		if a != r.Self.Address && now.Sub(at) < downAfter {
			domain++
		}
	}
	fleet = domain
	for _, c := range r.domainsLive {
		if now.Sub(c.at) < downAfter {
			fleet += uint32(c.n)
		}
	}
	return domain, fleet
}

// reachableShare returns the share of the fleet for which this VM grants an account's rate. It is 1 during a cold start.
func (r *Relayer) reachableShare() float64 {
	if r.coldStart() {
		return 1
	}
	return r.liveShare()
}

// liveShare returns the share of the fleet that this VM reaches, as a leader or through its leader, and reachableSlack of it
// more.
func (r *Relayer) liveShare() float64 {
	known := 0
	now := r.Clock.Now()
	for _, m := range r.Tracker.Members() {
		if m.Role != tracker.RoleLeaving && (m.Role != tracker.RoleDown || now.Sub(m.AsOf) < downMemberTTL) {
			known++
		}
	}
	live := uint32(1)
	if r.IsLeader() {
		_, live = r.liveCounts()
	} else {
		r.mu.Lock()
		if now.Sub(r.fleetLive.at) < downAfter {
			live = uint32(r.fleetLive.n)
		}
		r.mu.Unlock()
	}
	return min(1, float64(live)/float64(max(1, known))*(1+reachableSlack))
}
