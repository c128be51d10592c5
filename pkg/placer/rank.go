package placer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of a candidate for a key, both given as hashes. The candidate with the
// highest weight wins the key.
func Weight(key, candidate uint64) uint64 {
	x := key ^ (candidate * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Hash returns the hash of a key or a candidate for Weight.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Rank returns the candidates in descending order of their weight for key, and by address if weights are equal.
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

// Candidate is a VM with its relative capacity weight in First.
type Candidate struct {
	VM
	Weight float64
}

// First returns the candidate that wins a key by weighted rendezvous hashing; ok is false if there are no
// candidates. Each wins a share of all keys in proportion to its weight. Weights below 1e-9 count as 1e-9.
func First(key string, candidates []Candidate) (vm VM, ok bool) {
	k := Hash(key)
	lowestScore := math.Inf(1)
	for _, c := range candidates {
		score := c.score(k)
		if score < lowestScore || score == lowestScore && Compare(c.VM, vm) < 0 {
			vm, ok, lowestScore = c.VM, true, score
		}
	}
	return vm, ok
}

// Order returns the candidates in the order in which they win a key: First returns its first element, and the next one for as
// long as those before it are no candidates.
func Order(key string, candidates []Candidate) []Candidate {
	type scored struct {
		Candidate
		score float64
	}
	k := Hash(key)
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{c, c.score(k)}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Or(cmp.Compare(a.score, b.score), Compare(a.VM, b.VM)) })
	out := make([]Candidate, len(list))
	for i, s := range list {
		out[i] = s.Candidate
	}
	return out
}

// score returns the candidate's score for a key with a hash; the lowest score wins.
func (c Candidate) score(key uint64) float64 {
	u := (float64(Weight(key, hashAddress(c.Address))>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / max(c.Weight, 1e-9)
}

// hashAddress returns the same as Hash(a.String()) without allocating the string.
func hashAddress(a netip.AddrPort) uint64 {
	var b [64]byte
	return xxhash.Sum64(a.AppendTo(b[:0]))
}
