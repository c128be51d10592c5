package placer

import (
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of a candidate for a key; the highest weight wins.
func Weight(key, candidate uint64) uint64 {
	x := key ^ (candidate * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Hash returns the hash that Weight takes for a key or a candidate.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Rank returns the candidates ordered by their weight for key, the winner first.
func Rank(key string, candidates []VM) []VM {
	type weightedVM struct {
		vm     VM
		weight uint64
	}
	k := Hash(key)
	weighted := make([]weightedVM, len(candidates))
	for i, c := range candidates {
		weighted[i] = weightedVM{c, Weight(k, Hash(c.ID()))}
	}
	slices.SortFunc(weighted, func(a, b weightedVM) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		return Compare(a.vm, b.vm)
	})
	vms := make([]VM, len(weighted))
	for i, w := range weighted {
		vms[i] = w.vm
	}
	return vms
}

// Candidate is a VM with the weight by which it takes part in a placement.
type Candidate struct {
	VM
	Weight float64
}

// First returns the candidate that wins a key; ok is false if there is none. Each wins a share of all keys
// in proportion to its weight; weights that are not positive count as very small.
func First(key string, candidates []Candidate) (vm VM, ok bool) {
	k := Hash(key)
	lowestScore := math.Inf(1)
	for _, c := range candidates {
		u := (float64(Weight(k, hashAddress(c.Address))>>11) + 0.5) / (1 << 53)
		score := -math.Log(u) / max(c.Weight, 1e-9)
		if score < lowestScore || score == lowestScore && Compare(c.VM, vm) < 0 {
			vm, ok, lowestScore = c.VM, true, score
		}
	}
	return vm, ok
}

// hashAddress is Hash of an address as text, without allocating the text.
func hashAddress(a netip.AddrPort) uint64 {
	var b [64]byte
	return xxhash.Sum64(a.AppendTo(b[:0]))
}
