package relayer

import (
	"context"
	"encoding/json"
	"maps"
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

// errStale is returned for a leader whose beliefs are old.
var errStale = errors.New("the beliefs of the peer are old")

// exchange tells a peer what this VM saw, and takes what the peer believes.
func (r *Relayer) exchange(ctx context.Context, to placer.VM, wait time.Duration, leader bool) error {
	ctx, cancel := context.WithTimeout(ctx, wait+exchangeMargin)
	defer cancel()
	r.mu.Lock()
	k := r.known[to.Address]
	m := &wire.Exchange{
		Incarnation: k.incarnation, Sequence: k.sequence, WaitMs: uint32(wait.Milliseconds()),
		Role: uint32(r.role), Capacity: r.Capacity, Leader: leader,
	}
	var sent box
	if !leader {
		sent, r.outgoing = r.outgoing, box{}
		m.Seen = sent.message()
	}
	began := r.Clock.Now()
	m.LoadsKnown = !leader && began.Sub(k.toldAt) >= loadPace
	r.mu.Unlock()
	if m.LoadsKnown {
		m.Loads = loads(r.Hearer.Running())
	}
	b, err := r.ask(ctx, to.Address, m)
	if err != nil {
		return err
	}
	r.trust(to.Address)
	if m.LoadsKnown {
		k.toldAt = began
	}
	r.take(to, leader, began, k.toldAt, b)
	if wait > 0 && !leader && !fresh(b) {
		return errStale
	}
	return nil
}

// ask calls a peer, and gives up at the context's end even if the connection does not.
func (r *Relayer) ask(ctx context.Context, to netip.AddrPort, m *wire.Exchange) (*wire.Beliefs, error) {
	rep, err := r.call(ctx, to, &wire.Request{Body: &wire.Request_Exchange{Exchange: m}})
	return rep.GetBeliefs(), err
}

// call is Call with a bound that holds also while the connection is being opened.
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

func fresh(b *wire.Beliefs) bool {
	return b.GetConfigurationKnown() && b.GetInstancesKnown() &&
		time.Duration(b.GetConfigurationAgeMs())*time.Millisecond < staleAfter &&
		time.Duration(b.GetInstancesAgeMs())*time.Millisecond < staleAfter
}

// take adopts what a peer believes. Its reads are dated by when the exchange began, for the answer
// may have lain unread.
func (r *Relayer) take(from placer.VM, leader bool, began, toldAt time.Time, b *wire.Beliefs) {
	now := r.Clock.Now()
	if c := b.GetConfiguration(); len(c) > 0 {
		var conf router.Configuration
		if err := json.Unmarshal(c, &conf); err != nil {
			r.Logger.Error("configuration of a peer cannot be read", zap.Stringer("peer", from.Address), logger.Cause(err))
			return
		}
		r.Tracker.Configure(conf)
	}
	var es []tracker.Entry
	for _, m := range b.GetRegistrations() {
		e, err := fromRegistration(now, m)
		if err != nil {
			r.Logger.Error("registration of a peer cannot be read", zap.Stringer("peer", from.Address), logger.Cause(err))
			continue
		}
		es = append(es, e)
	}
	r.Tracker.Adopt(es)
	for _, m := range b.GetMembers() {
		vm, err := messenger.FromVM(m.GetVm())
		if err != nil {
			r.Logger.Error("vm of a peer cannot be read", zap.Stringer("peer", from.Address), logger.Cause(err))
			continue
		}
		if vm.Address != r.Self.Address {
			at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
			r.Tracker.Meet(tracker.Member{VM: vm, Role: tracker.Role(m.GetRole()), Capacity: m.GetCapacity(), At: at})
		}
	}
	sent := began.Add(time.Duration(b.GetHeldMs()) * time.Millisecond)
	var tableAt, entriesAt time.Time
	if b.GetConfigurationKnown() {
		tableAt = sent.Add(-time.Duration(b.GetConfigurationAgeMs()) * time.Millisecond)
	}
	if b.GetInstancesKnown() {
		entriesAt = sent.Add(-time.Duration(b.GetInstancesAgeMs()) * time.Millisecond)
	}
	r.Tracker.Confirm(tableAt, entriesAt)
	r.mu.Lock()
	r.known[from.Address] = cursor{b.GetIncarnation(), b.GetSequence(), toldAt}
	if leader {
		r.domainsLive[from.Domain] = count{int(b.GetLive()), sent}
	} else {
		r.fleetLive = count{int(b.GetLiveFleet()), sent}
	}
	r.mu.Unlock()
	r.hear(from.Address, b)
}

// hear passes on what a peer heard of the instances.
func (r *Relayer) hear(from netip.AddrPort, b *wire.Beliefs) {
	told := b.GetLoadsKnown()
	if !r.Leads() {
		r.Hearer.Hear(sightings(b.GetSeen()))
		if told {
			r.Hearer.Others(running(b.GetLoads()))
		}
		return
	}
	r.deliver(from, true, b.GetSeen())
	if !told {
		return
	}
	r.mu.Lock()
	r.loads[from] = load{running(b.GetLoads()), r.Clock.Now()}
	r.mu.Unlock()
	r.Hearer.Others(r.running(r.Self.Address, true))
}

// deliver puts what one VM saw into the boxes of the others, and hears it. What a leader of another
// domain reports stays in this domain.
func (r *Relayer) deliver(from netip.AddrPort, fromLeader bool, ms []*wire.Seen) {
	if len(ms) == 0 {
		return
	}
	if from != r.Self.Address {
		r.Hearer.Hear(sightings(ms))
	}
	hurry := anyUrgent(ms)
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, b := range r.boxes {
		if a == from || fromLeader && b.leader {
			continue
		}
		b.merge(ms)
		if !hurry {
			continue
		}
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
}

// running sums the requests at the instances over the VMs that report here, but for one; all says
// whether those that leaders of other domains reported count.
func (r *Relayer) running(but netip.AddrPort, all bool) map[string]int {
	sum := map[string]int{}
	if but != r.Self.Address {
		maps.Copy(sum, r.Hearer.Running())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for a, l := range r.loads {
		b := r.boxes[a]
		_, own := r.heard[a]
		if a == but || now.Sub(l.at) > boxLife || !all && (b != nil && b.leader || !own) {
			continue
		}
		for i, n := range l.running {
			sum[i] += n
		}
	}
	return sum
}

// answer handles an exchange.
func (r *Relayer) answer(ctx context.Context, from placer.VM, m *wire.Exchange) *wire.Beliefs {
	began := r.Clock.Now()
	news := r.Tracker.Meet(tracker.Member{VM: from, Role: tracker.Role(m.GetRole()), Capacity: m.GetCapacity(), At: began})
	if news {
		r.trust(from.Address)
	}
	r.mu.Lock()
	b := r.boxes[from.Address]
	if b == nil {
		b = &mailbox{box: box{}, wake: make(chan struct{}, 1)}
		r.boxes[from.Address] = b
	}
	b.leader, b.usedAt = m.GetLeader(), began
	if !m.GetLeader() {
		r.heard[from.Address] = began
		if m.GetLoadsKnown() {
			r.loads[from.Address] = load{running(m.GetLoads()), began}
		}
	}
	r.mu.Unlock()
	r.deliver(from.Address, false, m.GetSeen())
	sequence := m.GetSequence()
	if m.GetIncarnation() != r.Self.Incarnation {
		sequence = 0
	}
	c := r.await(ctx, sequence, b, time.Duration(m.GetWaitMs())*time.Millisecond)
	rep := r.beliefs(c)
	r.mu.Lock()
	now := r.Clock.Now()
	b.answeredAt = now
	if rep.LoadsKnown = now.Sub(b.toldAt) >= r.pace(m.GetLeader()); rep.LoadsKnown {
		b.toldAt = now
		rep.Seen = b.message()
		b.box = box{}
	} else {
		rep.Seen = b.takeUrgent()
	}
	r.mu.Unlock()
	if rep.LoadsKnown {
		rep.Loads = loads(r.running(from.Address, !m.GetLeader()))
		r.mu.Lock()
		r.reported = len(rep.Loads)
		r.mu.Unlock()
	}
	rep.Live, rep.LiveFleet = r.live()
	rep.HeldMs = uint32(r.Clock.Since(began).Milliseconds())
	return rep
}

// pace returns the least time between two full reports to a peer. The lock must be held.
func (r *Relayer) pace(leader bool) time.Duration {
	if leader {
		return leaderPace
	}
	if r.LinkSpeed <= 0 {
		return loadPace
	}
	bits := float64(8 * reportBytes * r.reported * len(r.boxes))
	return max(loadPace, time.Duration(bits/(linkShare*r.LinkSpeed)*float64(time.Second)))
}

// loads returns the message of the requests that run at each instance.
func loads(running map[string]int) []*wire.Load {
	ms := make([]*wire.Load, 0, len(running))
	for i, n := range running {
		if n > 0 {
			ms = append(ms, &wire.Load{Instance: i, Running: uint32(n)})
		}
	}
	return ms
}

// running is the inverse of loads.
func running(ms []*wire.Load) map[string]int {
	by := make(map[string]int, len(ms))
	for _, m := range ms {
		by[m.GetInstance()] = int(m.GetRunning())
	}
	return by
}

// await returns the changes since a sequence number, as soon as there is something to tell, but not more
// often than a peer can take.
func (r *Relayer) await(ctx context.Context, sequence uint64, b *mailbox, wait time.Duration) tracker.Changes {
	r.mu.Lock()
	early := b.answeredAt.Add(answerPause).Sub(r.Clock.Now())
	r.mu.Unlock()
	if wait > 0 && early > 0 {
		r.sleep(ctx, early)
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

func (r *Relayer) beliefs(c tracker.Changes) *wire.Beliefs {
	now := r.Clock.Now()
	rep := &wire.Beliefs{
		Incarnation: r.Self.Incarnation, Sequence: c.Sequence,
		ConfigurationKnown: !c.TableAt.IsZero(), InstancesKnown: !c.EntriesAt.IsZero(),
		ConfigurationAgeMs: age(now, c.TableAt), InstancesAgeMs: age(now, c.EntriesAt),
	}
	if c.Table != nil {
		b, err := json.Marshal(c.Table.Configuration)
		if err != nil {
			r.Logger.Error("configuration cannot be written", logger.Cause(err))
			rep.ConfigurationKnown = false
		}
		rep.Configuration = b
	}
	for _, e := range c.Entries {
		rep.Registrations = append(rep.Registrations, toRegistration(now, e))
	}
	for _, m := range c.Members {
		rep.Members = append(rep.Members, &wire.Member{
			Vm: messenger.ToVM(m.VM), Role: uint32(m.Role), Capacity: m.Capacity, AgeMs: age(now, m.At),
		})
	}
	return rep
}

// age returns a time's age rounded up, in milliseconds, so that it is never younger on arrival.
func age(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(min(max(0, now.Sub(at).Milliseconds()+1), int64(time.Hour/time.Millisecond)))
}

func toRegistration(now time.Time, e tracker.Entry) *wire.Registration {
	a, _ := e.Address.MarshalBinary() // It never fails.
	return &wire.Registration{
		Id: e.ID, Service: e.Service, Address: a, Domain: e.Domain, Slots: uint32(e.Slots),
		WarmingMs: uint32(max(0, e.WarmAt.Sub(now).Milliseconds())), Condition: uint32(e.Condition),
		Born: e.Born, Beat: e.Beat, Offset: e.Offset,
	}
}

func fromRegistration(now time.Time, m *wire.Registration) (tracker.Entry, error) {
	e := tracker.Entry{
		Instance: balancer.Instance{
			ID: m.GetId(), Service: m.GetService(), Domain: m.GetDomain(), Slots: int(m.GetSlots()),
			WarmAt: now.Add(time.Duration(m.GetWarmingMs()) * time.Millisecond),
		},
		Condition: tracker.Condition(m.GetCondition()), Born: m.GetBorn(), Beat: m.GetBeat(), Offset: m.GetOffset(),
	}
	return e, errors.Wrap(e.Address.UnmarshalBinary(m.GetAddress()), "address of an instance")
}

// live returns how many VMs of its domain this VM hears, itself included, and how many of the fleet hear
// each other as far as leaders told it just now.
func (r *Relayer) live() (domain, fleet uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	domain = 1
	for a, at := range r.heard {
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

// together returns the part of the fleet that this VM is in touch with, through its leader or as one.
func (r *Relayer) together() float64 {
	if r.fleetFresh() {
		return 1
	}
	known := 0
	now := r.Clock.Now()
	for _, m := range r.Tracker.Members() {
		if m.Role != tracker.RoleLeaving && (m.Role != tracker.RoleDown || now.Sub(m.At) < countedDown) {
			known++
		}
	}
	live := uint32(1)
	if r.Leads() {
		_, live = r.live()
	} else {
		r.mu.Lock()
		if now.Sub(r.fleetLive.at) < downAfter {
			live = uint32(r.fleetLive.n)
		}
		r.mu.Unlock()
	}
	return min(1, float64(live)/float64(max(1, known))+togetherSlack)
}
