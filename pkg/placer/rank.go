package placer

import (
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
	type weighed struct {
		vm     VM
		weight uint64
	}
	k := Hash(key)
	ws := make([]weighed, len(candidates))
	for i, c := range candidates {
		ws[i] = weighed{c, Weight(k, Hash(c.ID()))}
	}
	slices.SortFunc(ws, func(a, b weighed) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		return Compare(a.vm, b.vm)
	})
	vms := make([]VM, len(ws))
	for i, w := range ws {
		vms[i] = w.vm
	}
	return vms
}
