package mapper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Evidence is what one VM knows about the others when it considers a change of the map.
type Evidence struct {
	// Listed are the peer addresses in the VM list at the last read.
	Listed map[netip.AddrPort]bool
	// ListedAt is when that read began; zero if the list was never read.
	ListedAt time.Time
	// Alive are the incarnations, also leaving ones, that are alive as far as the VM knows, by address.
	Alive map[netip.AddrPort]AliveVM
}

// AliveVM is the latest incarnation that is known at an address.
type AliveVM struct {
	VM      placer.VM
	Leaving bool
}

// Proposer derives map changes from evidence. It removes a member only on proof that it is
// dead: a newer incarnation at its address, or its absence from the VM list for the grace
// period. That a member does not respond is no proof. A Proposer is not safe for concurrent use.
type Proposer struct {
	gracePeriod time.Duration
	// unlistedSince is when the VM list was first read without the member at an address.
	unlistedSince map[netip.AddrPort]time.Time
}

// NewProposer returns a Proposer that treats a member as dead when the VM list has lacked
// it in all reads over gracePeriod and it is not known to be alive.
func NewProposer(gracePeriod time.Duration) *Proposer {
	return &Proposer{gracePeriod: gracePeriod, unlistedSince: map[netip.AddrPort]time.Time{}}
}

// Propose returns the change of m that the evidence e requires, or an empty one.
func (p *Proposer) Propose(now time.Time, m *Map, e Evidence) Change {
	c := Change{Format: Format, Replaces: m.Version}
	for _, member := range m.members {
		s, alive := e.Alive[member.Address]
		switch {
		case alive && s.VM.Incarnation > member.Incarnation:
			c.Removed = append(c.Removed, member.VM)
		case p.dead(now, member, e, alive):
			c.Removed = append(c.Removed, member.VM)
		case alive && s.Leaving && !member.Leaving && s.VM.Same(member.VM):
			c.Leaving = append(c.Leaving, member.VM)
		}
	}
	for _, s := range e.Alive {
		if e.Listed[s.VM.Address] && p.shouldAdd(m, s, c.Removed) {
			c.Added = append(c.Added, s.VM)
		}
	}
	slices.SortFunc(c.Added, placer.Compare)
	return c
}

// shouldAdd reports whether the VM of s is not leaving and its address is not taken by a member that stays.
func (p *Proposer) shouldAdd(m *Map, s AliveVM, removed []placer.VM) bool {
	if s.Leaving {
		return false
	}
	e, ok := m.Member(s.VM.Address)
	return !ok || slices.ContainsFunc(removed, e.Same)
}

// dead reports whether a member that is not alive has been absent from the VM list for the grace period. The
// period restarts if the member is listed or alive, or if the last read of the list is too old.
func (p *Proposer) dead(now time.Time, member Member, e Evidence, alive bool) bool {
	listFresh := !e.ListedAt.IsZero() && now.Sub(e.ListedAt) < p.gracePeriod
	if !listFresh || e.Listed[member.Address] || alive {
		delete(p.unlistedSince, member.Address)
		return false
	}
	since, ok := p.unlistedSince[member.Address]
	if !ok {
		p.unlistedSince[member.Address] = e.ListedAt
		return false
	}
	return e.ListedAt.Sub(since) >= p.gracePeriod
}
