package relayer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func vm(domain, i int) placer.VM {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), 0, byte(i)}), 1)
	return placer.VM{Address: a, Domain: fmt.Sprint("d", domain), Incarnation: 1}
}

// unequal returns the relayers of a fleet with four failure domains, each of two strong VMs and 25 weak ones.
func unequal(clock clockwork.Clock) []*Relayer {
	var ms []tracker.Member
	for d := range 4 {
		for i := range 27 {
			c := 0.04
			if i < 2 {
				c = 0.8
			}
			ms = append(ms, tracker.Member{VM: vm(d, i), Role: tracker.RoleReady, Capacity: c, At: clock.Now()})
		}
	}
	var rs []*Relayer
	for _, m := range ms {
		t := tracker.New(clock, zap.NewNop())
		for _, o := range ms {
			t.Meet(o)
		}
		rs = append(rs, New(Options{Self: m.VM, Capacity: m.Capacity, Tracker: t, Clock: clock, Logger: zap.NewNop()}))
	}
	return rs
}

// TestLeadersAreStrong looks who leads a fleet of unequal VMs: all others of a domain exchange with it.
func TestLeadersAreStrong(t *testing.T) {
	leaders, readers := 0, 0
	for _, r := range unequal(clockwork.NewFakeClock()) {
		if r.Leads() {
			leaders++
			require.InDelta(t, 0.8, r.Capacity, 0)
		}
		if r.readsForFleet() {
			readers++
		}
	}
	require.Equal(t, 4, leaders)
	require.Equal(t, 1, readers)
}

// TestWeakVMLeadsWhenNoStrongOneAnswers passes over the strong VMs of the domain.
func TestWeakVMLeadsWhenNoStrongOneAnswers(t *testing.T) {
	r := unequal(clockwork.NewFakeClock())[5]
	for i := range 2 {
		r.suspect(vm(0, i).Address, errStale)
	}
	l, ok := r.leader("d0")
	require.True(t, ok)
	require.NotContains(t, []placer.VM{vm(0, 0), vm(0, 1)}, l)
}

// TestReportsFitTheLink bounds what a leader sends to its domain by a part of its link.
func TestReportsFitTheLink(t *testing.T) {
	for _, link := range []float64{0, 10e6, 200e6, 1000e6} {
		r := unequal(clockwork.NewFakeClock())[0]
		r.LinkSpeed, r.reported = link, 340
		for i := range 27 {
			r.boxes[vm(0, i).Address] = &mailbox{box: box{}}
		}
		pace := r.pace(false)
		require.GreaterOrEqual(t, pace, loadPace)
		if link > 0 {
			perSecond := float64(8*reportBytes*r.reported*len(r.boxes)) / pace.Seconds()
			require.LessOrEqual(t, perSecond, linkShare*link*1.001)
		}
		require.Equal(t, leaderPace, r.pace(true))
	}
}

// TestUrgentOutcomesGoFirst leaves what can wait for the next full report.
func TestUrgentOutcomesGoFirst(t *testing.T) {
	b := box{}
	b.add("well", balancer.OutcomeAnswered, 1)
	b.add("sick", balancer.OutcomeBroken, 0)
	ms := b.takeUrgent()
	require.Len(t, ms, 1)
	require.Equal(t, "sick", ms[0].GetInstance())
	require.Len(t, b.message(), 1)
}

// TestLoadsSurviveTheWire tells the loads to a peer.
func TestLoadsSurviveTheWire(t *testing.T) {
	require.Equal(t, map[string]int{"a": 2}, running(loads(map[string]int{"a": 2, "idle": 0})))
	require.Empty(t, running([]*wire.Load{}))
}
