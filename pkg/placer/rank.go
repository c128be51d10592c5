package placer

import (
	"cmp"
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

// RankWeighted returns the candidates ordered so that each is first for a share of all keys that is
// in proportion to its weight; weights that are not positive count as very small.
func RankWeighted(key string, candidates []VM, weight func(VM) float64) []VM {
	k := Hash(key)
	score := make(map[netip.AddrPort]float64, len(candidates))
	for _, c := range candidates {
		u := (float64(Weight(k, Hash(c.ID()))>>11) + 0.5) / (1 << 53)
		score[c.Address] = -math.Log(u) / max(weight(c), 1e-9)
	}
	vms := slices.Clone(candidates)
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(score[a.Address], score[b.Address]), Compare(a, b))
	})
	return vms
}
