package mapper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Evidence is what one VM knows of the others when it considers a change.
type Evidence struct {
	// Listed are the peer addresses in the VM list, as last read.
	Listed map[netip.AddrPort]bool
	// ListedAt is when that read began; zero means never.
	ListedAt time.Time
	// Heard are the incarnations that answered lately, by address.
	Heard map[netip.AddrPort]Sighting
}

// Sighting is the latest incarnation heard at an address.
type Sighting struct {
	VM      placer.VM
	Leaving bool
}

// Proposer turns evidence into map changes.
// A member is removed only on proof of death; silence is none.
type Proposer struct {
	gracePeriod   time.Duration
	unlistedSince map[netip.AddrPort]time.Time
}

// NewProposer returns a Proposer that believes the VM list once it has lacked a
// member in reads over the whole of guard.
func NewProposer(gracePeriod time.Duration) *Proposer {
	return &Proposer{gracePeriod: gracePeriod, unlistedSince: map[netip.AddrPort]time.Time{}}
}

// Propose returns the change that the evidence calls for, or an empty one.
func (p *Proposer) Propose(now time.Time, m *Map, e Evidence) Change {
	c := Change{Format: Format, Replaces: m.Version}
	for _, member := range m.members {
		s, alive := e.Heard[member.Address]
		switch {
		case alive && s.VM.Incarnation > member.Incarnation:
			c.Removed = append(c.Removed, member.VM)
		case p.dead(now, member, e, alive):
			c.Removed = append(c.Removed, member.VM)
		case alive && s.Leaving && !member.Leaving && s.VM.Same(member.VM):
			c.Leaving = append(c.Leaving, member.VM)
		}
	}
	for _, s := range e.Heard {
		if e.Listed[s.VM.Address] && p.shouldAdd(m, s, c.Removed) {
			c.Added = append(c.Added, s.VM)
		}
	}
	slices.SortFunc(c.Added, placer.Compare)
	return c
}

func (p *Proposer) shouldAdd(m *Map, s Sighting, removed []placer.VM) bool {
	if s.Leaving {
		return false
	}
	e, ok := m.Member(s.VM.Address)
	return !ok || slices.ContainsFunc(removed, e.Same)
}

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
