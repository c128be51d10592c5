package gossiper

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=title-lower -text

// Kind is the liveness of a VM.
type Kind int

// The kinds of liveness.
const (
	// KindUp means that the VM responded.
	KindUp Kind = iota
	// KindDown means that the VM missed several heartbeats in a row.
	KindDown
	// KindLeaving means that the VM is shutting down as planned.
	KindLeaving
)

const (
	// updateTTL is how long a change is included in heartbeats after this VM learned of it.
	updateTTL = 15 * time.Second
	// maxSends is the number of messages in which a VM includes the same change, which is enough for
	// the change to reach all VMs.
	maxSends = 12
	// maxUpdates is the maximum number of changes in one heartbeat.
	maxUpdates = 12
	// downAfterMisses is the number of consecutive missed heartbeats after which a VM is considered down.
	downAfterMisses = 2
	// maxNeighbours is the maximum number of live VMs that a VM sends heartbeats to, for any fleet size.
	maxNeighbours = 6
	// removeAfter is how long a VM is kept after it went down or began to leave.
	removeAfter = 2 * time.Minute
)

// VMState is the liveness of a VM as of a time.
type VMState struct {
	VM   placer.VM
	Kind Kind
	// At is when the liveness was observed.
	At time.Time
}

type entry struct {
	VMState
	// changedAt is when this VM learned of the current kind and incarnation.
	changedAt time.Time
	hash      uint64
	// missed is the number of heartbeats missed since the VM was last up.
	missed int
	// sent is the number of messages in which the current state was included.
	sent int
}

// Gossiper is the view of the fleet at one VM. It is safe for concurrent use.
type Gossiper struct {
	mu      sync.Mutex
	self    placer.VM
	hash    uint64
	entries map[netip.AddrPort]*entry
	random  *rand.Rand
	version uint64
}

// New returns a Gossiper for the VM self, without other VMs.
func New(self placer.VM, random *rand.Rand) *Gossiper {
	return &Gossiper{
		self: self, hash: placer.Hash(self.ID()), entries: map[netip.AddrPort]*entry{}, random: random,
	}
}

// Merge merges an observed or reported state and reports whether the VM's kind or incarnation
// changed. It ignores states of this VM itself and states that do not supersede the known one.
func (g *Gossiper) Merge(now time.Time, s VMState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.VM.Address == g.self.Address {
		return false
	}
	e := g.entries[s.VM.Address]
	if e == nil {
		e = &entry{VMState: s, changedAt: now, hash: placer.Hash(s.VM.ID())}
		g.entries[s.VM.Address] = e
		g.version++
		return true
	}
	if !e.supersededBy(s) {
		return false
	}
	changed := e.Kind != s.Kind || !e.VM.Same(s.VM)
	e.VMState = s
	if s.Kind == KindUp {
		e.missed = 0
	}
	if changed {
		e.changedAt, e.sent = now, 0
		g.version++
	}
	return changed
}

// supersededBy reports whether s supersedes e. An incarnation of a VM that is leaving remains so.
func (e *entry) supersededBy(s VMState) bool {
	if c := cmp.Compare(s.VM.Incarnation, e.VM.Incarnation); c != 0 {
		return c > 0
	}
	if e.Kind == KindLeaving || s.Kind == KindLeaving {
		return e.Kind != KindLeaving
	}
	return s.At.After(e.At)
}

// ObserveMiss records that the VM at address a did not respond to a heartbeat, and reports whether
// that changed its state from up to down.
func (g *Gossiper) ObserveMiss(now time.Time, a netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[a]
	if e == nil {
		return false
	}
	e.missed++
	if e.missed < downAfterMisses || e.Kind != KindUp {
		return false
	}
	e.Kind, e.At, e.changedAt, e.sent = KindDown, now, now, 0
	g.version++
	return true
}

// Updates returns the states to include in one message: those that changed recently and were
// included in fewer than maxSends messages, the most recent first. It counts this message.
func (g *Gossiper) Updates(now time.Time) []VMState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var es []*entry
	for _, e := range g.entries {
		if now.Sub(e.changedAt) < updateTTL && e.sent < maxSends {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b *entry) int { return b.changedAt.Compare(a.changedAt) })
	ss := make([]VMState, 0, maxUpdates)
	for _, e := range es[:min(len(es), maxUpdates)] {
		e.sent++
		ss = append(ss, e.VMState)
	}
	return ss
}

// Version returns a number that increases whenever the set of live VMs may have changed.
func (g *Gossiper) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// Live returns the other VMs that are up, in no particular order.
func (g *Gossiper) Live() []placer.VM {
	g.mu.Lock()
	defer g.mu.Unlock()
	var vs []placer.VM
	for _, e := range g.entries {
		if e.Kind == KindUp {
			vs = append(vs, e.VM)
		}
	}
	return vs
}

// States returns the states of all known other VMs, sorted by VM.
func (g *Gossiper) States() []VMState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ss []VMState
	for _, e := range g.entries {
		ss = append(ss, e.VMState)
	}
	slices.SortFunc(ss, func(a, b VMState) int { return placer.Compare(a.VM, b.VM) })
	return ss
}

// Neighbours returns the VMs to send heartbeats to: live ones at growing distances along the ring,
// and a random one that is down, to detect when it is up again.
func (g *Gossiper) Neighbours() []placer.VM {
	g.mu.Lock()
	defer g.mu.Unlock()
	ring, down := g.ring()
	var vs []placer.VM
	for _, d := range distances(len(ring)) {
		vs = append(vs, ring[d-1].VM)
	}
	if len(down) > 0 {
		vs = append(vs, down[g.random.IntN(len(down))].VM)
	}
	return vs
}

// distances returns the distances of the neighbours along a ring of n other VMs: a geometric
// sequence that begins at 1, with a ratio of at least 2 and at most maxNeighbours elements.
func distances(n int) []int {
	ratio := max(2, math.Pow(float64(n), 1.0/maxNeighbours))
	var ds []int
	for d := 1.0; int(d) <= n && len(ds) < maxNeighbours; d *= ratio {
		ds = append(ds, int(d))
	}
	return ds
}

// RingNeighbours returns those of the given VMs that are at growing distances after self on the
// ring of these VMs sorted by hash.
func RingNeighbours(self placer.VM, vms []placer.VM) []placer.VM {
	own := placer.Hash(self.ID())
	type candidate struct {
		vm       placer.VM
		distance uint64
	}
	var cs []candidate
	for _, v := range vms {
		if v.Address != self.Address {
			cs = append(cs, candidate{v, placer.Hash(v.ID()) - own})
		}
	}
	slices.SortFunc(cs, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
	var vs []placer.VM
	for _, d := range distances(len(cs)) {
		vs = append(vs, cs[d-1].vm)
	}
	return vs
}

// ring returns the live VMs in ring order, beginning after this one, and those that are down.
func (g *Gossiper) ring() (live, down []*entry) {
	for _, e := range g.entries {
		switch e.Kind {
		case KindUp:
			live = append(live, e)
		case KindDown:
			down = append(down, e)
		case KindLeaving:
		}
	}
	slices.SortFunc(live, func(a, b *entry) int { return cmp.Compare(a.hash-g.hash, b.hash-g.hash) })
	return live, down
}

// Expire removes the VMs that have been down or leaving for longer than removeAfter, except those
// for which keep returns true.
func (g *Gossiper) Expire(now time.Time, keep func(netip.AddrPort) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a, e := range g.entries {
		if e.Kind != KindUp && now.Sub(e.changedAt) > removeAfter && !keep(a) {
			delete(g.entries, a)
		}
	}
}
