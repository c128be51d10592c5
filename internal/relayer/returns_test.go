package relayer

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// directMessenger passes the messages of a VM to the relayers of others. An old one sends no members.
type directMessenger struct {
	from     placer.VM
	relayers map[netip.AddrPort]*Relayer
	old      bool
}

func (m directMessenger) Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error) {
	rep, _, err := m.relayers[to].Handle(ctx, m.from, req)
	if m.old {
		rep.GetBeliefs().Members, rep.GetBeliefs().InstancesKnown = nil, true
	}
	return rep, err
}

// A leader that was silent for a moment takes the others for down, and they take it for down: no VM would ask the other again.
func TestVMsThatTakeEachOtherForDownFindEachOtherAgain(t *testing.T) {
	for _, old := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		relayers := map[netip.AddrPort]*Relayer{}
		vms := []placer.VM{vm(1, 1), vm(1, 2)}
		for i, self := range vms {
			tr := tracker.New(clock, zap.NewNop())
			r := New(Options{Self: self, Capacity: 1, DrainTimeout: 2 * time.Second, RateWindow: 5 * time.Second, Tracker: tr, Clock: clock, Logger: zap.NewNop(),
				InstanceStats: idleInstances{}, Messenger: directMessenger{self, relayers, old}})
			r.role = tracker.RoleReady
			r.updateSelf()
			tr.UpdateMember(tracker.Member{VM: vms[1-i], Role: tracker.RoleDown, Capacity: 1, AsOf: clock.Now()})
			relayers[self.Address] = r
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		for _, r := range relayers {
			g.Go(func() { r.runLeader(ctx) })
		}
		require.Eventually(t, func() bool {
			clock.Advance(tickInterval)
			for _, r := range relayers {
				if len(r.Tracker.DownMembers()) > 0 {
					return false
				}
			}
			return true
		}, time.Minute, time.Millisecond, "old %v", old)
		cancel()
		g.Wait()
	}
}

// A VM that is asked must tell its own state, and a leaving one must not be taken for ready.
func TestVMTellsItsStateToOneThatTakesItForDown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTestRelayer(clock, true)
	r.InstanceStats, r.role = idleInstances{}, tracker.RoleLeaving
	r.updateSelf()
	other := newTestRelayer(clock, true)
	other.Self = vm(1, 2)
	other.Messenger = directMessenger{from: other.Self, relayers: map[netip.AddrPort]*Relayer{r.Self.Address: r}}
	down := tracker.Member{VM: r.Self, Role: tracker.RoleDown, Capacity: 1, AsOf: clock.Now().Add(time.Millisecond)}
	other.Tracker.UpdateMember(down)
	clock.Advance(suspectTTL)
	r.starting.Store(true)
	other.askDown(t.Context(), down)
	require.Len(t, other.Tracker.DownMembers(), 1, "it is not ready yet")
	r.starting.Store(false)
	other.askDown(t.Context(), down)
	require.Empty(t, other.Tracker.DownMembers())
	for _, m := range other.Tracker.Members() {
		if m.Address == r.Self.Address {
			require.Equal(t, tracker.RoleLeaving, m.Role)
		}
	}
	down.Incarnation++
	other.Tracker.UpdateMember(down)
	other.askDown(t.Context(), down)
	require.Len(t, other.Tracker.DownMembers(), 1, "another run answered")
}
