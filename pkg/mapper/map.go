package mapper

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// PartitionsPerShard is the number of partitions of each shard.
const PartitionsPerShard = 512

// Shard names one of the equal parts of every account's rate: a failure domain in which its
// owners are and a number.
type Shard struct {
	Domain string `json:"domain"`
	Number int    `json:"number"`
}

// minShards is the least number of shards, so that the loss of one owner leaves an account
// most of its rate where there are few failure domains.
const minShards = 6

// Shards returns the shards of a fleet with the given failure domains, a domain's first ones first.
func Shards(domains []string) []Shard {
	var ss []Shard
	for n := 0; len(domains) > 0 && len(ss) < minShards; n++ {
		for _, d := range domains {
			ss = append(ss, Shard{d, n})
		}
	}
	return ss
}

// String returns the shard's name.
func (s Shard) String() string { return s.Domain + "." + strconv.Itoa(s.Number) }

// Partition is a unit of ownership: one shard of the accounts that hash to its index.
type Partition struct {
	Shard Shard `json:"shard"`
	Index int   `json:"index"`
}

// PartitionOf returns the partition that holds an account's shard.
func PartitionOf(account string, s Shard) Partition {
	return Partition{Shard: s, Index: int(placer.Hash(account) % PartitionsPerShard)}
}

func (p Partition) key() string { return p.Shard.String() + "/" + strconv.Itoa(p.Index) }

// Member is a VM in the map; a leaving one owns nothing but may still hold what it has not released.
type Member struct {
	placer.VM
	Leaving bool `json:"leaving,omitempty"`
}

// Map is one version of the fleet map. It does not change and is safe for concurrent use.
type Map struct {
	// Version is the log offset, plus one, of the change that made this map; zero is the empty map.
	Version uint64
	members []Member
	domains map[string][]candidate
	// names are the failure domains with candidates, in order.
	names  []string
	all    []candidate
	mu     sync.Mutex
	tables map[Shard][]placer.VM
}

type candidate struct {
	vm   placer.VM
	hash uint64
}

// NewMap returns a map of the given version and members.
func NewMap(version uint64, members []Member) *Map {
	m := &Map{Version: version, members: slices.Clone(members), domains: map[string][]candidate{}, tables: map[Shard][]placer.VM{}}
	slices.SortFunc(m.members, func(a, b Member) int { return placer.Compare(a.VM, b.VM) })
	for _, e := range m.members {
		if e.Leaving {
			continue
		}
		c := candidate{e.VM, placer.Hash(e.ID())}
		m.domains[e.Domain] = append(m.domains[e.Domain], c)
		m.all = append(m.all, c)
	}
	m.names = slices.Sorted(maps.Keys(m.domains))
	return m
}

// Members returns the members in order of address; the caller must not change them.
func (m *Map) Members() []Member { return m.members }

// ActiveVMs returns the members that are not leaving, in order of address.
func (m *Map) ActiveVMs() []placer.VM {
	vs := make([]placer.VM, len(m.all))
	for i, c := range m.all {
		vs[i] = c.vm
	}
	return vs
}

// Member returns the member at an address.
func (m *Map) Member(a netip.AddrPort) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m.members, a, func(e Member, a netip.AddrPort) int { return e.Address.Compare(a) })
	if !ok {
		return Member{}, false
	}
	return m.members[i], true
}

// Has reports whether this very incarnation is a member.
func (m *Map) Has(v placer.VM) bool {
	e, ok := m.Member(v.Address)
	return ok && e.Same(v)
}

// Owner returns the VM that owns a partition, or false if no VM can.
// A failure domain without members is served by the members of the others.
func (m *Map) Owner(p Partition) (placer.VM, bool) {
	if len(m.all) == 0 {
		return placer.VM{}, false
	}
	return m.owners(p.Shard)[p.Index], true
}

// owners returns the owners of a shard's partitions, computed once for each map.
func (m *Map) owners(s Shard) []placer.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.tables[s]; ok {
		return t
	}
	cs := m.domains[s.Domain]
	if len(cs) == 0 {
		cs = m.all
	}
	t := make([]placer.VM, PartitionsPerShard)
	for i := range t {
		t[i] = top(placer.Hash(Partition{s, i}.key()), cs).vm
	}
	m.tables[s] = t
	return t
}

// Spread returns the first n VMs for a key in rendezvous order, each from another failure
// domain as far as there are that many.
func (m *Map) Spread(key string, n int) []placer.VM {
	k := placer.Hash(key)
	tops := make([]weighed, 0, len(m.names))
	for _, d := range m.names {
		tops = append(tops, top(k, m.domains[d]))
	}
	slices.SortFunc(tops, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	picked := make([]placer.VM, 0, n)
	for _, t := range tops[:min(n, len(tops))] {
		picked = append(picked, t.vm)
	}
	for len(picked) < min(n, len(m.all)) {
		rest := filter(m.all, func(c candidate) bool { return !slices.ContainsFunc(picked, c.vm.Same) })
		picked = append(picked, top(k, rest).vm)
	}
	return picked
}

func filter(cs []candidate, keep func(candidate) bool) []candidate {
	kept := make([]candidate, 0, len(cs))
	for _, c := range cs {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

// weighed is a VM with its rendezvous weight for a key.
type weighed struct {
	vm     placer.VM
	weight uint64
}

// top returns the candidate with the highest weight for a key; there must be one.
func top(key uint64, cs []candidate) weighed {
	win, weight := 0, placer.Weight(key, cs[0].hash)
	for i := 1; i < len(cs); i++ {
		if w := placer.Weight(key, cs[i].hash); w > weight {
			win, weight = i, w
		}
	}
	return weighed{cs[win].vm, weight}
}

// String describes the map in one line.
func (m *Map) String() string { return fmt.Sprintf("map %d of %d VMs", m.Version, len(m.members)) }
