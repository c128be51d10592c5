package placer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func vms(n int) []placer.VM {
	vs := make([]placer.VM, n)
	for i := range vs {
		vs[i] = placer.VM{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Domain: fmt.Sprint("d", i%4),
		}
	}
	return vs
}

func TestRankIsBalancedAndStable(t *testing.T) {
	const n, keys = 40, 8000
	wins := map[string]int{}
	for k := range keys {
		ranked := placer.Rank(fmt.Sprint(k), vms(n))
		wins[ranked[0].ID()]++
		without := placer.Rank(fmt.Sprint(k), ranked[1:])
		require.Equal(t, ranked[1:], without, "removing the first VM keeps the order of the others")
	}
	for id, w := range wins {
		require.InDelta(t, keys/n, w, keys/n*0.4, id)
	}
}

func TestDispatchersPreferDomains(t *testing.T) {
	ds := placer.NewView(vms(40)).Dispatchers("team/service#0", []string{"d1"})
	require.Len(t, ds, 40)
	for i, v := range ds {
		require.Equal(t, i < 10, v.Domain == "d1")
	}
}

func TestSpreadAlternatesDomains(t *testing.T) {
	picked := placer.NewView(vms(40)).Spread("caller", 6)
	seen := map[string]int{}
	for _, v := range picked {
		seen[v.Domain]++
	}
	require.Len(t, picked, 6)
	require.Len(t, seen, 4)
	require.Len(t, placer.NewView(vms(2)).Spread("caller", 6), 2)
	require.Empty(t, placer.NewView(nil).Spread("caller", 6))
}

func ExampleRank() {
	fmt.Println(len(placer.Rank("key", vms(3))))
	// Output: 3
}

func BenchmarkRank(b *testing.B) {
	vs := vms(40)
	for b.Loop() {
		placer.Rank("key", vs)
	}
}

// TestFirstIsWeighted checks that each candidate wins keys in proportion to its weight, and that the removal of one
// moves only its keys.
func TestFirstIsWeighted(t *testing.T) {
	const keys = 8000
	var cs []placer.Candidate
	for i, v := range vms(20) {
		cs = append(cs, placer.Candidate{VM: v, Weight: float64(1 + i%2*4)})
	}
	wins := map[string]int{}
	for k := range keys {
		key := fmt.Sprint(k)
		v, ok := placer.First(key, cs)
		require.True(t, ok)
		wins[v.ID()]++
		if without, _ := placer.First(key, cs[1:]); v.Address != cs[0].Address {
			require.Equal(t, v, without)
		}
	}
	for _, c := range cs {
		share := c.Weight / 60 * keys
		require.InDelta(t, share, wins[c.ID()], share*0.35, c.ID())
	}
	_, ok := placer.First("key", nil)
	require.False(t, ok)
}
