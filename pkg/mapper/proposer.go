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
	// Alive are the incarnations that answered lately, by address.
	Alive map[netip.AddrPort]AliveVM
}

// AliveVM is the latest incarnation heard at an address.
type AliveVM struct {
	VM      placer.VM
	Leaving bool
}

// Proposer turns evidence into map changes.
// A member is removed only on proof of death; silence is none.
type Proposer struct {
	guard    time.Duration
	unlisted map[netip.AddrPort]time.Time
}

// NewProposer returns a Proposer that believes the VM list once it has lacked a
// member in reads over the whole of guard.
func NewProposer(guard time.Duration) *Proposer {
	return &Proposer{guard: guard, unlisted: map[netip.AddrPort]time.Time{}}
}

// Propose returns the change that the evidence calls for, or an empty one.
func (p *Proposer) Propose(now time.Time, m *Map, e Evidence) Change {
	c := Change{Format: Format, Replaces: m.Version}
	for _, k := range m.members {
		s, heard := e.Alive[k.Address]
		switch {
		case heard && s.VM.Incarnation > k.Incarnation:
			c.Removed = append(c.Removed, k.VM)
		case p.dead(now, k, e, heard):
			c.Removed = append(c.Removed, k.VM)
		case heard && s.Leaving && !k.Leaving && s.VM.Same(k.VM):
			c.Leaving = append(c.Leaving, k.VM)
		}
	}
	for _, s := range e.Alive {
		if e.Listed[s.VM.Address] && p.joins(m, s, c.Removed) {
			c.Added = append(c.Added, s.VM)
		}
	}
	slices.SortFunc(c.Added, placer.Compare)
	return c
}

func (p *Proposer) joins(m *Map, s AliveVM, removed []placer.VM) bool {
	if s.Leaving {
		return false
	}
	e, ok := m.Member(s.VM.Address)
	return !ok || slices.ContainsFunc(removed, e.Same)
}

func (p *Proposer) dead(now time.Time, k Member, e Evidence, heard bool) bool {
	recent := !e.ListedAt.IsZero() && now.Sub(e.ListedAt) < p.guard
	if !recent || e.Listed[k.Address] || heard {
		delete(p.unlisted, k.Address)
		return false
	}
	first, ok := p.unlisted[k.Address]
	if !ok {
		p.unlisted[k.Address] = e.ListedAt
		return false
	}
	return e.ListedAt.Sub(first) >= p.guard
}
