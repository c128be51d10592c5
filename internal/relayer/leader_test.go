package relayer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

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

// unequalFleet returns the relayers of a fleet with four failure domains, each with two strong VMs and 25 weak ones.
func unequalFleet(clock clockwork.Clock) []*Relayer {
	var ms []tracker.Member
	for d := range 4 {
		for i := range 27 {
			c := 0.04
			if i < 2 {
				c = 0.8
			}
			ms = append(ms, tracker.Member{VM: vm(d, i), Role: tracker.RoleReady, Capacity: c, AsOf: clock.Now()})
		}
	}
	var rs []*Relayer
	for _, m := range ms {
		t := tracker.New(clock, zap.NewNop())
		for _, o := range ms {
			t.UpdateMember(o)
		}
		rs = append(rs, New(Options{Self: m.VM, Capacity: m.Capacity, DrainTimeout: 2 * time.Second, RateWindow: 5 * time.Second, Tracker: t, Clock: clock, Logger: zap.NewNop()}))
	}
	return rs
}

// TestLeadersAreStrong checks that each domain of a fleet of unequal VMs has a strong leader, since all other VMs of
// the domain exchange with it, and that one VM reads for the fleet.
func TestLeadersAreStrong(t *testing.T) {
	leaders, readers := 0, 0
	for _, r := range unequalFleet(clockwork.NewFakeClock()) {
		if r.IsLeader() {
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

// TestWeakVMLeadsWhenNoStrongOneAnswers checks that a weak VM becomes the leader while the strong ones are suspected.
func TestWeakVMLeadsWhenNoStrongOneAnswers(t *testing.T) {
	r := unequalFleet(clockwork.NewFakeClock())[5]
	for i := range 2 {
		r.suspect(vm(0, i).Address, errStale)
	}
	l, ok := r.leader("d0")
	require.True(t, ok)
	require.NotContains(t, []placer.VM{vm(0, 0), vm(0, 1)}, l)
}

// TestReportsFitTheLink checks that a leader's full reports to its domain use at most reportLinkShare of its link.
func TestReportsFitTheLink(t *testing.T) {
	for _, link := range []float64{0, 10e6, 200e6, 1000e6} {
		r := unequalFleet(clockwork.NewFakeClock())[0]
		r.LinkSpeed, r.reportedInstances = link, 340
		for i := range 27 {
			r.outboxes[vm(0, i).Address] = &peerOutbox{outbox: outbox{}}
		}
		pace := r.reportInterval(false)
		require.GreaterOrEqual(t, pace, fullReportInterval)
		if link > 0 {
			perSecond := float64(8*reportEntryBytes*r.reportedInstances*len(r.outboxes)) / pace.Seconds()
			require.LessOrEqual(t, perSecond, reportLinkShare*link*1.001)
		}
		require.Equal(t, leaderFullReportInterval, r.reportInterval(true))
	}
}

// TestUrgentOutcomesGoFirst checks that outcomes that are not urgent remain for the next full report.
func TestUrgentOutcomesGoFirst(t *testing.T) {
	b := outbox{}
	b.add("healthy", balancer.OutcomeAnswered, 1)
	b.add("failing", balancer.OutcomeBroken, 0)
	ms := b.takeUrgent()
	require.Len(t, ms, 1)
	require.Equal(t, "failing", ms[0].GetInstance())
	require.Len(t, b.message(), 1)
}

// TestLoadsRoundTrip encodes and decodes loads.
func TestLoadsRoundTrip(t *testing.T) {
	require.Equal(t, map[string]int{"a": 2}, decodeLoads(encodeLoads(map[string]int{"a": 2, "idle": 0})))
	require.Empty(t, decodeLoads([]*wire.Load{}))
}

// While the store is away, all state is stale, and VMs that lead for themselves hear nothing of the others.
func TestStaleLeadersDoNotGetVMsMarkedDown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, r := range unequalFleet(clock) {
		if r.IsLeader() {
			continue
		}
		for range 100 {
			if l, _ := r.leader(r.Self.Domain); l.Address != r.Self.Address {
				r.passOver(l.Address)
			}
		}
		require.True(t, r.IsLeader())
		require.False(t, r.leadsByContact())
	}
}

// playLostLeader lets the leader of a domain and some others fall silent while the next leader tries it again whenever the
// suspicion ends. It returns how long the next one took to mark them down, or zero if it did not within 10 s.
func playLostLeader(t *testing.T, silent int, othersExchange bool) time.Duration {
	const step, timeout = 100 * time.Millisecond, 400 * time.Millisecond
	clock := clockwork.NewFakeClock()
	rs := unequalFleet(clock)[:27]
	lost, _ := rs[0].leader("d0")
	next := rs[0]
	if next.Self.Address == lost.Address {
		next = rs[1]
	}
	asked := clock.Now()
	for at := time.Duration(0); at < 10*time.Second; at += step {
		clock.Advance(step)
		now := clock.Now()
		for i, r := range rs[2:] {
			if othersExchange && i >= silent {
				next.lastExchange[r.Self.Address] = now
			}
		}
		leads := next.IsLeader()
		next.noteLeadership(leads)
		switch {
		case leads:
			asked = now
			next.markDown(now)
		case now.Sub(asked) >= timeout:
			next.suspect(lost.Address, errStale)
		}
		down := 0
		for _, m := range next.Tracker.Members() {
			if m.Role == tracker.RoleDown {
				down++
			}
		}
		require.LessOrEqual(t, down, silent+1)
		if down == silent+1 {
			return at
		}
	}
	return 0
}

// A leader that is lost is tried again each second, which must not keep the next one from marking it and others down.
func TestLostLeaderIsMarkedDown(t *testing.T) {
	for _, silent := range []int{0, 9} {
		took := playLostLeader(t, silent, true)
		require.NotZero(t, took)
		require.LessOrEqual(t, took, downAfter+time.Second)
	}
}

// A VM that only lost its leader must not take the others for down, as they still exchange with that.
func TestVMThatNobodyExchangesWithMarksNoneDown(t *testing.T) {
	require.Zero(t, playLostLeader(t, 0, false))
}

// VMs that are each cut off from all others must not together grant much more than the rate.
func TestSharesOfVMsThatAreEachCutOffAddUpToTheRate(t *testing.T) {
	for _, n := range []int{2, 8, 44, 115} {
		r := newTestRelayer(clockwork.NewFakeClock(), true)
		for i := 1; i < n; i++ {
			r.Tracker.UpdateMember(tracker.Member{VM: vm(1, i), Role: tracker.RoleReady, Capacity: 1, AsOf: r.Clock.Now()})
		}
		require.LessOrEqual(t, float64(n)*r.liveShare(), 1+reachableSlack+1e-9)
	}
}
