package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/gossiper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func vm(i int) placer.VM {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	return placer.VM{Address: a, Domain: fmt.Sprint("d", i%4), Incarnation: 1}
}

// fleet is some views that exchange heartbeats in rounds.
type fleet struct {
	views []*gossiper.Gossiper
	dead  map[netip.AddrPort]bool
	now   time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{dead: map[netip.AddrPort]bool{}, now: time.Unix(1000, 0)}
	for i := range n {
		f.views = append(f.views, gossiper.New(vm(i), rand.New(rand.NewPCG(uint64(i), 1))))
	}
	for _, v := range f.views {
		for i := range n {
			v.Merge(f.now, gossiper.VMState{VM: vm(i), Kind: gossiper.KindUp, At: f.now})
		}
	}
	f.now = f.now.Add(time.Minute)
	return f
}

// round lets every VM that lives exchange a heartbeat with its neighbours, and returns how
// many messages that took.
func (f *fleet) round() int {
	f.now = f.now.Add(2 * time.Second)
	messages := 0
	for i, v := range f.views {
		if f.dead[vm(i).Address] {
			continue
		}
		for _, to := range v.Neighbours() {
			messages++
			if f.dead[to.Address] {
				v.ObserveMiss(f.now, to.Address)
				continue
			}
			j := int(to.Address.Addr().As4()[2])<<8 | int(to.Address.Addr().As4()[3])
			f.tell(v, f.views[j], vm(i))
			f.tell(f.views[j], v, to)
		}
	}
	return messages
}

func (f *fleet) tell(from, to *gossiper.Gossiper, sender placer.VM) {
	to.Merge(f.now, gossiper.VMState{VM: sender, Kind: gossiper.KindUp, At: f.now})
	for _, fact := range from.Updates(f.now) {
		to.Merge(f.now, fact)
	}
}

// agree returns how many VMs hold exactly those VMs to be live that are.
func (f *fleet) agree() int {
	n := 0
	for i, v := range f.views {
		if f.dead[vm(i).Address] {
			continue
		}
		right := len(v.Live()) == len(f.views)-len(f.dead)-1
		for _, l := range v.Live() {
			right = right && !f.dead[l.Address]
		}
		if right {
			n++
		}
	}
	return n
}

func TestNewsOfADeathReachesAll(t *testing.T) {
	for _, n := range []int{8, 44, 300} {
		f := newFleet(n)
		f.dead[vm(3).Address] = true
		for range 5 {
			f.round()
		}
		require.Equal(t, n-1, f.agree(), "%d VMs", n)
		delete(f.dead, vm(3).Address)
		for range 5 {
			f.round()
		}
		require.Equal(t, n, f.agree(), "%d VMs, after its return", n)
	}
}

func TestADomainLostAtOnce(t *testing.T) {
	f := newFleet(44)
	for i := 0; i < 44; i += 4 {
		f.dead[vm(i).Address] = true
	}
	for range 12 {
		f.round()
	}
	require.Equal(t, 33, f.agree())
}

func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	require.LessOrEqual(t, newFleet(44).round()/44, 6)
	require.LessOrEqual(t, newFleet(704).round()/704, 6)
}

func TestWhichFactCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	g := gossiper.New(vm(0), rand.New(rand.NewPCG(1, 1)))
	up := func(incarnation uint64, at time.Time) gossiper.VMState {
		v := vm(1)
		v.Incarnation = incarnation
		return gossiper.VMState{VM: v, Kind: gossiper.KindUp, At: at}
	}
	require.True(t, g.Merge(now, up(1, now)))
	leaving := up(1, now)
	leaving.Kind = gossiper.KindLeaving
	require.True(t, g.Merge(now, leaving))
	require.False(t, g.Merge(now, up(1, now.Add(time.Hour))), "leaving is for good")
	require.Empty(t, g.Live())
	require.True(t, g.Merge(now, up(2, now)), "but for a new incarnation")
	require.False(t, g.Merge(now, up(1, now.Add(time.Hour))), "an old incarnation is no news")
	require.False(t, g.ObserveMiss(now, vm(1).Address))
	require.True(t, g.ObserveMiss(now, vm(1).Address))
	require.False(t, g.Merge(now, up(2, now.Add(-time.Second))), "from before it was missed")
	require.True(t, g.Merge(now, up(2, now.Add(time.Second))))
	require.False(t, g.Merge(now, gossiper.VMState{VM: vm(0), Kind: gossiper.KindDown, At: now}), "of itself a VM learns nothing")
	g.Expire(now.Add(time.Hour), func(netip.AddrPort) bool { return false })
	require.Len(t, g.States(), 1, "a live VM is not forgotten")
}

func ExampleRing() {
	var vms []placer.VM
	for i := range 16 {
		vms = append(vms, vm(i))
	}
	fmt.Println(len(gossiper.RingNeighbours(vm(0), vms)))
	// Output: 4
}

func BenchmarkNeighbours(b *testing.B) {
	for _, n := range []int{40, 2400} {
		f := newFleet(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f.views[0].Neighbours()
			}
		})
	}
}
