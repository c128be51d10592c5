package mapper_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func TestMain(m *testing.M) { chooser.Main(m) }

func vm(i int, incarnation uint64) placer.VM {
	return placer.VM{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		Domain:  fmt.Sprint("d", i%4), Incarnation: incarnation,
	}
}

func fleet(n int) []mapper.Member {
	ms := make([]mapper.Member, n)
	for i := range ms {
		ms[i].VM = vm(i, 1)
	}
	return ms
}

// TestReadersAgree lets racing VMs append changes and snapshots, based on maps of any age, to a
// log that drops its oldest records, and compares readers that begin at different times.
func TestReadersAgree(t *testing.T) {
	bases := 0
	rapid.Check(t, func(t *rapid.T) {
		var log [][]byte
		whole := mapper.NewChain(0)
		maps := []*mapper.Map{whole.Current()}
		late := map[uint64]*mapper.Chain{}
		for n := range 60 {
			old := maps[max(0, len(maps)-1-rapid.IntRange(0, 2).Draw(t, "age"))]
			c := mapper.Change{Format: mapper.Format, Replaces: old.Version}
			i := rapid.IntRange(0, 9).Draw(t, "vm")
			e, member := old.Member(vm(i, 0).Address)
			switch {
			case old.Version == 0:
				c.Members = fleet(3)
			case rapid.IntRange(0, 2).Draw(t, "snapshot") == 0:
				c = old.Snapshot()
			case member:
				c.Removed = []placer.VM{e.VM}
			default:
				c.Added = []placer.VM{vm(i, uint64(n+2))}
			}
			b, err := c.Encode()
			require.NoError(t, err)
			offset := uint64(len(log))
			log = append(log, b)
			_, accepted, err := whole.Apply(offset, b)
			require.NoError(t, err)
			if accepted {
				maps = append(maps, whole.Current())
			}
			for first, l := range late {
				_, _, err := l.Apply(offset, b)
				require.NoError(t, err)
				if l.Current().Version != 0 {
					require.Equal(t, whole.Current().Version, l.Current().Version, "reader from %d", first)
					require.Equal(t, whole.Current().Members(), l.Current().Members())
					bases++
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "reader") == 0 {
				late[uint64(len(log))] = mapper.NewChain(uint64(len(log)))
			}
		}
	})
	require.Positive(t, bases, "some reader found a base")
}

func TestRefusesOtherFormats(t *testing.T) {
	c := mapper.NewChain(0)
	_, _, err := c.Apply(0, []byte(`{"format":2,"replaces":0}`))
	require.ErrorContains(t, err, "format 2")
	_, _, err = c.Apply(1, []byte(`nonsense`))
	require.Error(t, err)
	require.Zero(t, c.Current().Version)
}

func TestGapIsNoticed(t *testing.T) {
	c := mapper.NewChainAt(mapper.NewMap(5, fleet(3)))
	b, _ := mapper.Change{Format: mapper.Format, Replaces: 9, Added: []placer.VM{vm(7, 1)}}.Encode()
	_, _, err := c.Apply(12, b)
	require.ErrorIs(t, err, mapper.ErrGap)
}

// TestReplacingOneMovesLittle checks that replacing one of 40 VMs moves no partition between the others.
func TestReplacingOneMovesLittle(t *testing.T) {
	old := mapper.NewMap(1, fleet(40))
	next, err := old.Apply(1, mapper.Change{Replaces: 1, Removed: []placer.VM{vm(7, 1)}})
	require.NoError(t, err)
	for _, sh := range mapper.Shards([]string{"d0", "d1", "d2", "d3"}) {
		for i := range mapper.PartitionsPerShard {
			p := mapper.Partition{Shard: sh, Index: i}
			was, _ := old.Owner(p)
			is, _ := next.Owner(p)
			require.Equal(t, sh.Domain, is.Domain)
			require.True(t, was.Same(is) || was.Same(vm(7, 1)))
		}
	}
}

func TestSpreadUsesAllDomains(t *testing.T) {
	m := mapper.NewMap(1, fleet(40))
	for i := range 200 {
		seen := map[string]bool{}
		for _, v := range m.Spread(fmt.Sprint(i), 3) {
			seen[v.Domain] = true
		}
		require.Len(t, seen, 3)
	}
	require.Len(t, mapper.NewMap(1, fleet(2)).Spread("x", 3), 2)
}

// TestOnlyProofRemoves checks that silence removes nobody, and what does.
func TestOnlyProofRemoves(t *testing.T) {
	const guard = 12 * time.Second
	now := time.Unix(1000, 0)
	m := mapper.NewMap(1, fleet(3))
	listed := func(is ...int) map[netip.AddrPort]bool {
		l := map[netip.AddrPort]bool{}
		for _, i := range is {
			l[vm(i, 0).Address] = true
		}
		return l
	}
	heard := map[netip.AddrPort]mapper.AliveVM{vm(0, 1).Address: {VM: vm(0, 1)}, vm(1, 1).Address: {VM: vm(1, 1)}}
	p := mapper.NewProposer(guard)
	propose := func(e mapper.Evidence) mapper.Change {
		now = now.Add(2 * time.Second)
		e.ListedAt = now
		return p.Propose(now, m, e)
	}
	for range 20 {
		require.True(t, propose(mapper.Evidence{Listed: listed(0, 1, 2), Alive: heard}).Empty(), "silent but listed")
	}
	for range 5 {
		require.True(t, propose(mapper.Evidence{Listed: listed(0, 1), Alive: heard}).Empty(), "unlisted for too short")
	}
	require.True(t, propose(mapper.Evidence{Listed: listed(0, 1, 2), Alive: heard}).Empty(), "listed again")
	for range 6 {
		require.True(t, propose(mapper.Evidence{Listed: listed(0, 1), Alive: heard}).Empty())
	}
	require.Equal(t, []placer.VM{vm(2, 1)}, propose(mapper.Evidence{Listed: listed(0, 1), Alive: heard}).Removed)

	heard[vm(1, 0).Address] = mapper.AliveVM{VM: vm(1, 5)}
	c := propose(mapper.Evidence{Listed: listed(0, 1, 2), Alive: heard})
	require.Equal(t, []placer.VM{vm(1, 1)}, c.Removed, "a new incarnation proves the old one dead")
	require.Equal(t, []placer.VM{vm(1, 5)}, c.Added)

	heard[vm(1, 0).Address] = mapper.AliveVM{VM: vm(1, 1), Leaving: true}
	require.Equal(t, []placer.VM{vm(1, 1)}, propose(mapper.Evidence{Listed: listed(0, 1, 2), Alive: heard}).Leaving)
}

func ExampleMap_Owner() {
	m := mapper.NewMap(1, fleet(8))
	owner, _ := m.Owner(mapper.PartitionOf("team/account", mapper.Shard{Domain: "d2"}))
	fmt.Println(owner.Domain)
	// Output: d2
}

func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{40, 600, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ms := fleet(n)
			for b.Loop() {
				m := mapper.NewMap(1, ms)
				for d := range 4 {
					m.Owner(mapper.Partition{Shard: mapper.Shard{Domain: fmt.Sprint("d", d)}, Index: 1})
				}
			}
		})
	}
}
