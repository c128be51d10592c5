package placer

import (
	"maps"
	"slices"
)

// View is the set of VMs that one VM considers live. VMs may differ in it, so it serves to assign soft
// roles only.
type View struct {
	live []VM
}

// NewView returns a view of the given live VMs. It copies the slice.
func NewView(live []VM) View {
	vs := slices.Clone(live)
	slices.SortFunc(vs, Compare)
	return View{live: vs}
}

// Live returns the live VMs in order of address. The caller must not modify the slice.
func (v View) Live() []VM { return v.live }

// Dispatchers returns all live VMs in the order in which they should dispatch for a group: those in
// the preferred failure domains in rendezvous order, then the others likewise.
func (v View) Dispatchers(group string, preferred []string) []VM {
	ranked := Rank(group, v.live)
	slices.SortStableFunc(ranked, func(a, b VM) int {
		return preferenceRank(preferred, a.Domain) - preferenceRank(preferred, b.Domain)
	})
	return ranked
}

// preferenceRank returns 0 for a preferred domain and 1 for any other.
func preferenceRank(preferred []string, domain string) int {
	if slices.Contains(preferred, domain) {
		return 0
	}
	return 1
}

// Spread returns up to n VMs, round robin over the failure domains. Domains, and VMs within a domain, are in
// rendezvous order for key.
func (v View) Spread(key string, n int) []VM {
	byDomain := map[string][]VM{}
	for _, vm := range Rank(key, v.live) {
		byDomain[vm.Domain] = append(byDomain[vm.Domain], vm)
	}
	domains := slices.SortedFunc(maps.Keys(byDomain), func(a, b string) int {
		return compareWeights(key, a, b)
	})
	var picked []VM
	for round := 0; len(picked) < n; round++ {
		before := len(picked)
		for _, d := range domains {
			if round < len(byDomain[d]) && len(picked) < n {
				picked = append(picked, byDomain[d][round])
			}
		}
		if len(picked) == before {
			break
		}
	}
	return picked
}

// compareWeights orders two names by descending weight for key.
func compareWeights(key, a, b string) int {
	k := Hash(key)
	wa, wb := Weight(k, Hash(a)), Weight(k, Hash(b))
	if wa == wb {
		return 0
	}
	if wa > wb {
		return -1
	}
	return 1
}
