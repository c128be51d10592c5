package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// updateDown marks the silent VMs of this domain down, and asks those that are down whether they are back. A leader that was marked
// down takes the others for down as well: without that, no side would exchange with the other again.
func (r *Relayer) updateDown(ctx context.Context, now time.Time) {
	r.markDown(now)
	asked := map[netip.AddrPort]time.Time{}
	for _, m := range r.Tracker.DownMembers() {
		if m.Domain != r.Self.Domain || m.Address == r.Self.Address {
			continue
		}
		at, ok := r.askedDown[m.Address]
		if !ok {
			at = now // It was just marked down.
		}
		if now.Sub(at) >= suspectTTL {
			at = now
			go r.askDown(ctx, m)
		}
		asked[m.Address] = at
	}
	r.askedDown = asked
}

// askDown asks a VM that this one takes for down for its state, and passes on that it is back if it answers.
func (r *Relayer) askDown(ctx context.Context, m tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeMargin)
	defer cancel()
	began := r.Clock.Now()
	r.mu.Lock()
	k := r.cursors[m.Address]
	e := &wire.Exchange{
		Incarnation: k.incarnation, Sequence: k.sequence, Role: uint32(r.role), Capacity: r.Capacity, FetchesConfiguration: true,
		Down: toMembers(began, []tracker.Member{m}),
	}
	r.mu.Unlock()
	b, err := r.sendExchange(ctx, m.Address, e)
	if err != nil || b.GetIncarnation() != m.Incarnation {
		return // A daemon that started again announces itself.
	}
	r.clearSuspicion(m.Address)
	m.Role, m.AsOf = tracker.RoleReady, began
	told := b.GetInstancesKnown() // An older daemon does not tell its state; one that starts knows nothing yet.
	for _, o := range b.GetMembers() {
		if vm, err := messenger.FromVM(o.GetVm()); err == nil && vm.Address == m.Address {
			m = tracker.Member{VM: vm, Role: tracker.Role(o.GetRole()), Capacity: o.GetCapacity(), AsOf: began}
			told = true
		}
	}
	if told {
		r.Tracker.UpdateMember(m)
	}
}

// hearDown takes in that a peer takes VMs for down. One that takes this VM for down is told its state again.
func (r *Relayer) hearDown(now time.Time, ms []*wire.Member) {
	for _, d := range ms {
		vm, err := messenger.FromVM(d.GetVm())
		if err != nil || vm.Address == r.Self.Address && !vm.Same(r.Self) {
			continue
		}
		if vm.Same(r.Self) {
			r.updateSelf()
		}
		r.Tracker.CheckDown(tracker.Member{VM: vm, Role: tracker.RoleDown, AsOf: now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)})
	}
}
