package relayer_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// isolation is a cut of several VMs, among them the owner of the account's rate, from all other VMs.
type isolation struct {
	vms, isolated int
	limit         float64
	// hotFor is how long before the end of the cut the account begins to send many times its rate.
	hotFor time.Duration
	// noticed is how long after the end of the cut the VMs see each other again.
	noticed time.Duration
	// demand is the number of requests to each VM in a second, as a multiple of the rate's part.
	demand float64
	// old says that no VM knows reports of grants.
	old bool
}

const (
	isolatedAt  = 10 * time.Second
	isolatedFor = 8 * time.Second
)

// play returns when requests were admitted, and when the cut ended.
func (s isolation) play(t require.TestingT) (admitted []time.Time, end time.Time) {
	const step = 100 * time.Millisecond
	f := newFleet(s.vms, s.limit)
	f.refuses = func(req *wire.Request) bool { return s.old && req.GetGranted() != nil }
	f.advance(0)
	first := f.relayers[0].TryAdmit(context.Background(), &f.account).Owner
	owner := slices.IndexFunc(f.members, func(m tracker.Member) bool { return m.ID() == first })
	require.GreaterOrEqual(t, owner, 0)
	isolated := map[netip.AddrPort]bool{}
	for i := range s.isolated {
		isolated[f.members[(owner+i)%s.vms].Address] = true
	}
	credit := 0.0
	vm := 0
	cutEnd := isolatedAt + isolatedFor
	end = f.clock.Now().Add(cutEnd)
	for at := time.Duration(0); at < cutEnd+8*time.Second; at += step {
		f.advance(step)
		cut := at >= isolatedAt && at < cutEnd
		f.cut = func(from, to netip.AddrPort) bool { return cut && from != to && (isolated[from] || isolated[to]) }
		f.see(isolated, at >= isolatedAt+1500*time.Millisecond && at < cutEnd+s.noticed)
		demand := 0.5
		if at >= cutEnd-s.hotFor {
			demand = s.demand
		}
		for credit += demand * s.limit * step.Seconds(); credit >= 1; credit-- {
			vm = (vm + 1) % s.vms
			if f.admit(vm) {
				admitted = append(admitted, f.clock.Now())
			}
		}
	}
	return admitted, end
}

// see lets the VMs see the others of the fleet, or lets those that are isolated see none and be seen by none.
func (f *fleet) see(isolated map[netip.AddrPort]bool, cut bool) {
	for i, tr := range f.trackers {
		for j, m := range f.members {
			if i == j {
				continue
			}
			m.AsOf, m.Role = f.clock.Now(), tracker.RoleReady
			if cut && (isolated[m.Address] || isolated[f.members[i].Address]) {
				m.Role = tracker.RoleDown
			}
			tr.UpdateMember(m)
		}
	}
}

func (s isolation) allowed() float64 { return 1.1*(s.limit*5+s.limit) + 20 }

// An owner that returns must know what others granted at the end of a cut.
func TestOwnerThatReturnsCountsWhatOthersGrantedLast(t *testing.T) {
	s := isolation{vms: 44, isolated: 15, limit: 68.9, hotFor: 2400 * time.Millisecond, noticed: 500 * time.Millisecond, demand: 7.5}
	admitted, _ := s.play(t)
	require.LessOrEqual(t, float64(mostIn(admitted, 5*time.Second)), s.allowed())
}

// A fleet of older daemons goes on admitting after a cut.
func TestVMsThatKnowNoReportsOfGrantsGoOnAdmitting(t *testing.T) {
	s := isolation{vms: 12, isolated: 4, limit: 68.9, noticed: 500 * time.Millisecond, demand: 1, old: true}
	admitted, end := s.play(t)
	n := 0
	for _, at := range admitted {
		if at.Sub(end) > 2*time.Second {
			n++
		}
	}
	require.Greater(t, n, int(0.9*6*s.limit))
}

func TestRateHoldsWhenIsolatedVMsReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := isolation{vms: rapid.IntRange(3, 10).Draw(t, "vms"), limit: rapid.Float64Range(20, 150).Draw(t, "limit")}
		s.isolated = rapid.IntRange(1, max(1, s.vms*2/5)).Draw(t, "isolated")
		s.hotFor = time.Duration(rapid.IntRange(500, 5000).Draw(t, "hotFor")) * time.Millisecond
		s.noticed = time.Duration(rapid.IntRange(0, 800).Draw(t, "noticed")) * time.Millisecond
		s.demand = rapid.Float64Range(1, 8).Draw(t, "demand")
		admitted, _ := s.play(t)
		require.LessOrEqual(t, float64(mostIn(admitted, 5*time.Second)), s.allowed(), "%+v", s)
	})
}
