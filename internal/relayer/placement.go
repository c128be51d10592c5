package relayer

import (
	"sync"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// maxCachedOwners bounds the owners that a placement remembers.
const maxCachedOwners = 4096

// placement says which VMs hold the soft roles among a list of VMs. It remembers what it computed, because roles are looked up
// for each request and exchange while the list rarely changes. It is safe for concurrent use.
type placement struct {
	self    placer.VM
	members []tracker.Member

	mu sync.Mutex
	// leaders are the candidates for the leader of a domain, in order.
	leaders map[string][]placer.Candidate
	// owners are the owners by key and domain.
	owners map[ownerKey]owner
}

// ownerKey names something that has an owner: one VM of a domain, or of the fleet if the domain is empty.
type ownerKey struct{ key, domain string }

type owner struct {
	vm placer.VM
	ok bool
}

// placement returns the placement among the VMs that this one knows. A change of the roles of this VM is noted.
func (r *Relayer) placement() *placement {
	ms := r.Tracker.Members()
	r.placementMu.Lock()
	p := r.placed
	if p != nil && len(p.members) == len(ms) && (len(ms) == 0 || &p.members[0] == &ms[0]) {
		r.placementMu.Unlock()
		return p
	}
	p = newPlacement(r.Self, ms)
	r.placed = p
	r.placementMu.Unlock()
	r.rates.place(p)
	r.limits.place(p)
	return p
}

func newPlacement(self placer.VM, ms []tracker.Member) *placement {
	return &placement{self: self, members: ms, leaders: map[string][]placer.Candidate{}, owners: map[ownerKey]owner{}}
}

// candidates returns the VMs of a domain, or of the fleet if it is empty, that may hold a soft role, weighted by capacity.
func (p *placement) candidates(domain string) []placer.Candidate {
	var cs []placer.Candidate
	for _, m := range p.members {
		self := m.Address == p.self.Address
		if m.Role == tracker.RoleDown && !self || m.Role == tracker.RoleLeaving || domain != "" && m.Domain != domain {
			continue
		}
		cs = append(cs, placer.Candidate{VM: m.VM, Weight: m.Capacity})
	}
	return cs
}

// leaderOrder returns the candidates for the leader of a domain, in order; callers must not change the slice.
func (p *placement) leaderOrder(domain string) []placer.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs, ok := p.leaders[domain]
	if !ok {
		cs = placer.Order("leader/"+domain, p.candidates(domain))
		p.leaders[domain] = cs
	}
	return cs
}

// owner returns the owner of a key among the VMs of a domain, or of the fleet if it is empty.
func (p *placement) owner(key, domain string) (placer.VM, bool) {
	k := ownerKey{key, domain}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, known := p.owners[k]
	if !known {
		if len(p.owners) >= maxCachedOwners {
			clear(p.owners)
		}
		o.vm, o.ok = placer.First(key, p.candidates(domain))
		p.owners[k] = o
	}
	return o.vm, o.ok
}
