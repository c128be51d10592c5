package relayer

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// TestPlacementFollowsTheMembers compares the remembered roles with those computed anew, while VMs come, leave and are
// suspected.
func TestPlacementFollowsTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		r := newTestRelayer(clock, true)
		for range 40 {
			clock.Advance(100 * time.Millisecond)
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(2, 9).Draw(t, "vm"))}), 1)
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				r.suspect(a, errStale)
			case 1:
				r.passOver(a)
			default:
				vm := placer.VM{Address: a, Domain: []string{"d", "e"}[a.Addr().As4()[3]%2], Incarnation: 1}
				role := tracker.Role(rapid.IntRange(0, 3).Draw(t, "role"))
				r.Tracker.UpdateMember(tracker.Member{VM: vm, Role: role, Capacity: rapid.SampledFrom([]float64{0.1, 0.2, 1}).Draw(t, "capacity"), AsOf: clock.Now()})
			}
			candidates := func(keep func(tracker.Member) bool) []placer.Candidate {
				var cs []placer.Candidate
				for _, m := range r.Tracker.Members() {
					if m.Role == tracker.RoleLeaving || m.Role == tracker.RoleDown && m.Address != r.Self.Address || !keep(m) {
						continue
					}
					cs = append(cs, placer.Candidate{VM: m.VM, Weight: m.Capacity})
				}
				return cs
			}
			for _, d := range []string{"d", "e"} {
				cs := candidates(func(m tracker.Member) bool {
					return m.Domain == d && (m.Address == r.Self.Address || r.acceptsAsLeader(m.Address))
				})
				most := 0.0
				for _, c := range cs {
					most = max(most, c.Weight)
				}
				cs = slices.DeleteFunc(cs, func(c placer.Candidate) bool { return c.Weight < leaderCapacityShare*most })
				want, wantOK := placer.First("leader/"+d, cs)
				got, ok := r.leader(d)
				require.Equal(t, wantOK, ok)
				require.Equal(t, want.Address, got.Address)
			}
			for i := range 3 {
				account := fmt.Sprint("a", i)
				want, _ := placer.First("rate/"+account, candidates(func(tracker.Member) bool { return true }))
				got, _ := r.owner(account)
				require.Equal(t, want.Address, got.Address)
			}
		}
	})
}

// Each lookup of a role made a list of all VMs of the fleet, some 46 KB with 443.
func TestLookupsOfRolesMakeNoListOfAllVMs(t *testing.T) {
	r := newTestRelayer(clockwork.NewFakeClock(), true)
	for i := range 443 {
		vm := placer.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)}), 1), Domain: "d", Incarnation: 1}
		r.Tracker.UpdateMember(tracker.Member{VM: vm, Role: tracker.RoleReady, Capacity: 1, AsOf: r.Clock.Now()})
	}
	const lookups = 100
	var before, after runtime.MemStats
	r.IsLeader()
	r.owner("account")
	runtime.ReadMemStats(&before)
	for range lookups {
		r.IsLeader()
		r.owner("account")
	}
	runtime.ReadMemStats(&after)
	require.Less(t, (after.TotalAlloc-before.TotalAlloc)/lookups, uint64(4<<10))
}
