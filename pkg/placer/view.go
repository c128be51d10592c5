package placer

import (
	"maps"
	"slices"
)

// View is one VM's opinion of which VMs are live; it places soft roles only.
type View struct {
	live []VM
}

// NewView returns a view of the given live VMs.
func NewView(live []VM) View {
	vs := slices.Clone(live)
	slices.SortFunc(vs, Compare)
	return View{live: vs}
}

// Live returns the live VMs in order of address.
func (v View) Live() []VM { return v.live }

// Dispatchers returns the VMs that may dispatch for a group, best first: those in
// the preferred failure domains in rendezvous order, then the others.
func (v View) Dispatchers(group string, preferred []string) []VM {
	ranked := Rank(group, v.live)
	slices.SortStableFunc(ranked, func(a, b VM) int {
		return preferenceRank(preferred, a.Domain) - preferenceRank(preferred, b.Domain)
	})
	return ranked
}

func preferenceRank(preferred []string, domain string) int {
	if slices.Contains(preferred, domain) {
		return 0
	}
	return 1
}

// Spread returns up to n VMs taken in turn from the failure domains, ordered within each by key.
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
