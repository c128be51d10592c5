package mapper

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Partitions is the number of partitions of the accounts' rates in each failure domain.
const Partitions = 512

// Partition is a unit of ownership: all shards in one failure domain of the accounts that hash to its index.
type Partition struct {
	Domain string `json:"domain"`
	Index  int    `json:"index"`
}

// PartitionOf returns the partition of a failure domain that holds an account's shard.
func PartitionOf(account, domain string) Partition {
	return Partition{Domain: domain, Index: int(placer.Hash(account) % Partitions)}
}

func (p Partition) key() string { return p.Domain + "/" + strconv.Itoa(p.Index) }

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
	all     []candidate
	mu      sync.Mutex
	tables  map[string][]placer.VM
}

type candidate struct {
	vm   placer.VM
	hash uint64
}

// NewMap returns a map of the given version and members.
func NewMap(version uint64, members []Member) *Map {
	m := &Map{Version: version, members: slices.Clone(members), domains: map[string][]candidate{}, tables: map[string][]placer.VM{}}
	slices.SortFunc(m.members, func(a, b Member) int { return placer.Compare(a.VM, b.VM) })
	for _, e := range m.members {
		if e.Leaving {
			continue
		}
		c := candidate{e.VM, placer.Hash(e.ID())}
		m.domains[e.Domain] = append(m.domains[e.Domain], c)
		m.all = append(m.all, c)
	}
	return m
}

// Members returns the members in order of address; the caller must not change them.
func (m *Map) Members() []Member { return m.members }

// VMs returns the members that are not leaving, in order of address.
func (m *Map) VMs() []placer.VM {
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
	return m.owners(p.Domain)[p.Index], true
}

// owners returns the owners of a domain's partitions, computed once for each map.
func (m *Map) owners(domain string) []placer.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.tables[domain]; ok {
		return t
	}
	cs := m.domains[domain]
	if len(cs) == 0 {
		cs = m.all
	}
	t := make([]placer.VM, Partitions)
	for i := range t {
		t[i], _ = best(placer.Hash(Partition{domain, i}.key()), cs)
	}
	m.tables[domain] = t
	return t
}

// Spread returns the first n VMs for a key in rendezvous order, each from another failure
// domain as far as there are that many.
func (m *Map) Spread(key string, n int) []placer.VM {
	k := placer.Hash(key)
	var picked []placer.VM
	for len(picked) < min(n, len(m.all)) {
		v, ok := best(k, filter(m.all, func(c candidate) bool { return fresh(picked, c.vm) }))
		if !ok {
			v, _ = best(k, filter(m.all, func(c candidate) bool { return !slices.ContainsFunc(picked, c.vm.Same) }))
		}
		picked = append(picked, v)
	}
	return picked
}

// fresh reports whether a VM's failure domain is none of those picked.
func fresh(picked []placer.VM, v placer.VM) bool {
	return !slices.ContainsFunc(picked, func(p placer.VM) bool { return p.Domain == v.Domain })
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

func best(key uint64, cs []candidate) (placer.VM, bool) {
	var top placer.VM
	var weight uint64
	for i, c := range cs {
		if w := placer.Weight(key, c.hash); i == 0 || w > weight {
			top, weight = c.vm, w
		}
	}
	return top, len(cs) > 0
}

// String describes the map in one line.
func (m *Map) String() string { return fmt.Sprintf("map %d of %d VMs", m.Version, len(m.members)) }
