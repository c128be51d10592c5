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

// Shard identifies one of the equal parts into which every account's rate is split, by the
// failure domain of its owners and a number within the domain.
type Shard struct {
	Domain string `json:"domain"`
	Number int    `json:"number"`
}

// minShards is the minimum number of shards. It leaves an account most of its rate after the
// loss of one owner, also in a fleet with few failure domains.
const minShards = 6

// Shards returns the shards of a fleet with the given failure domains, ordered by number. All domains have
// the same number of shards.
func Shards(domains []string) []Shard {
	var ss []Shard
	for n := 0; len(domains) > 0 && len(ss) < minShards; n++ {
		for _, d := range domains {
			ss = append(ss, Shard{d, n})
		}
	}
	return ss
}

// String returns the name of the shard, its domain and number joined by a dot.
func (s Shard) String() string { return s.Domain + "." + strconv.Itoa(s.Number) }

// Partition is the unit of ownership: one shard of all accounts that hash to its index.
type Partition struct {
	Shard Shard `json:"shard"`
	Index int   `json:"index"`
}

// PartitionOf returns the partition that contains the shard s of an account.
func PartitionOf(account string, s Shard) Partition {
	return Partition{Shard: s, Index: int(placer.Hash(account) % PartitionsPerShard)}
}

func (p Partition) key() string { return p.Shard.String() + "/" + strconv.Itoa(p.Index) }

// Member is a VM in the map. A leaving member owns no partitions, but may still hold some that it has not
// released.
type Member struct {
	placer.VM
	Leaving bool `json:"leaving,omitempty"`
}

// Map is one version of the fleet map. It is immutable and safe for concurrent use.
type Map struct {
	// Version is the log offset of the change that created this map, plus one; zero for the empty map.
	Version  uint64
	members  []Member
	byDomain map[string][]candidate
	// domainNames are the failure domains with candidates, sorted.
	domainNames   []string
	candidates    []candidate
	mu            sync.Mutex
	ownersByShard map[Shard][]placer.VM
}

type candidate struct {
	vm   placer.VM
	hash uint64
}

// NewMap returns a map of the given version and members.
func NewMap(version uint64, members []Member) *Map {
	m := &Map{Version: version, members: slices.Clone(members), byDomain: map[string][]candidate{}, ownersByShard: map[Shard][]placer.VM{}}
	slices.SortFunc(m.members, func(a, b Member) int { return placer.Compare(a.VM, b.VM) })
	for _, e := range m.members {
		if e.Leaving {
			continue
		}
		c := candidate{e.VM, placer.Hash(e.ID())}
		m.byDomain[e.Domain] = append(m.byDomain[e.Domain], c)
		m.candidates = append(m.candidates, c)
	}
	m.domainNames = slices.Sorted(maps.Keys(m.byDomain))
	return m
}

// Members returns the members in order of address. The caller must not modify the slice.
func (m *Map) Members() []Member { return m.members }

// ActiveVMs returns the members that are not leaving, in order of address.
func (m *Map) ActiveVMs() []placer.VM {
	vs := make([]placer.VM, len(m.candidates))
	for i, c := range m.candidates {
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

// Has reports whether v is a member with the same incarnation.
func (m *Map) Has(v placer.VM) bool {
	e, ok := m.Member(v.Address)
	return ok && e.Same(v)
}

// Owner returns the VM that owns a partition, or false if all members are leaving or there are none.
// The partitions of a failure domain without candidates go to the candidates of all others.
func (m *Map) Owner(p Partition) (placer.VM, bool) {
	if len(m.candidates) == 0 {
		return placer.VM{}, false
	}
	return m.owners(p.Shard)[p.Index], true
}

// owners returns the owners of a shard's partitions by index. They are computed at the first call and cached.
func (m *Map) owners(s Shard) []placer.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.ownersByShard[s]; ok {
		return t
	}
	cs := m.byDomain[s.Domain]
	if len(cs) == 0 {
		cs = m.candidates
	}
	t := make([]placer.VM, PartitionsPerShard)
	for i := range t {
		t[i] = highest(placer.Hash(Partition{s, i}.key()), cs).vm
	}
	m.ownersByShard[s] = t
	return t
}

// Spread returns n VMs for a key: the one with the highest weight of each failure domain, highest
// first, and, if there are fewer than n domains, those with the highest weight of the other VMs.
// It returns all VMs if there are fewer than n.
func (m *Map) Spread(key string, n int) []placer.VM {
	k := placer.Hash(key)
	winners := make([]weightedVM, 0, len(m.domainNames))
	for _, d := range m.domainNames {
		winners = append(winners, highest(k, m.byDomain[d]))
	}
	slices.SortFunc(winners, func(a, b weightedVM) int { return cmp.Compare(b.weight, a.weight) })
	picked := make([]placer.VM, 0, n)
	for _, t := range winners[:min(n, len(winners))] {
		picked = append(picked, t.vm)
	}
	for len(picked) < min(n, len(m.candidates)) {
		rest := filter(m.candidates, func(c candidate) bool { return !slices.ContainsFunc(picked, c.vm.Same) })
		picked = append(picked, highest(k, rest).vm)
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

// weightedVM is a VM and its rendezvous weight for a key.
type weightedVM struct {
	vm     placer.VM
	weight uint64
}

// highest returns the candidate with the highest weight for a key; cs must not be empty.
func highest(key uint64, cs []candidate) weightedVM {
	best, weight := 0, placer.Weight(key, cs[0].hash)
	for i := 1; i < len(cs); i++ {
		if w := placer.Weight(key, cs[i].hash); w > weight {
			best, weight = i, w
		}
	}
	return weightedVM{cs[best].vm, weight}
}

// String returns the version and the number of members.
func (m *Map) String() string { return fmt.Sprintf("map %d of %d VMs", m.Version, len(m.members)) }
