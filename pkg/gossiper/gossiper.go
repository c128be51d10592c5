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

// Kind says how a VM is.
type Kind int

// The kinds of news about a VM.
const (
	// KindUp means that the VM answered.
	KindUp Kind = iota
	// KindDown means that the VM missed several heartbeats in a row.
	KindDown
	// KindLeaving means that the VM is stopping as planned.
	KindLeaving
)

const (
	// newsLife is how long news is passed on.
	newsLife = 15 * time.Second
	// maxTold is how often a VM passes on the same news, enough for it to reach all.
	maxTold = 12
	// maxNews bounds the news in one heartbeat.
	maxNews = 12
	// misses is how many heartbeats in a row a VM misses until it is down.
	misses = 2
	// maxNeighbours bounds the VMs that a VM begins heartbeats with, whatever the fleet's size.
	maxNeighbours = 6
	// forgetAfter is how long a VM that is down is remembered.
	forgetAfter = 2 * time.Minute
)

// VMState is what is known of a VM, and as of when.
type VMState struct {
	VM   placer.VM
	Kind Kind
	At   time.Time
}

type entry struct {
	VMState
	// changed is when the kind or incarnation became known here.
	changed time.Time
	hash    uint64
	missed  int
	// told is how often the news was passed on.
	told int
}

// Gossiper is the view of one VM. It is safe for concurrent use.
type Gossiper struct {
	mu      sync.Mutex
	self    placer.VM
	hash    uint64
	entries map[netip.AddrPort]*entry
	random  *rand.Rand
	version uint64
}

// New returns the view of the VM self, which knows no other VM.
func New(self placer.VM, random *rand.Rand) *Gossiper {
	return &Gossiper{
		self: self, hash: placer.Hash(self.ID()), entries: map[netip.AddrPort]*entry{}, random: random,
	}
}

// Merge takes a fact and reports whether it was news.
func (g *Gossiper) Merge(now time.Time, f VMState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.VM.Address == g.self.Address {
		return false
	}
	e := g.entries[f.VM.Address]
	if e == nil {
		e = &entry{VMState: f, changed: now, hash: placer.Hash(f.VM.ID())}
		g.entries[f.VM.Address] = e
		g.version++
		return true
	}
	if !e.outdated(f) {
		return false
	}
	news := e.Kind != f.Kind || !e.VM.Same(f.VM)
	e.VMState = f
	if f.Kind == KindUp {
		e.missed = 0
	}
	if news {
		e.changed, e.told = now, 0
		g.version++
	}
	return news
}

// outdated reports whether f is later than what e holds. A leaving VM stays so until it is replaced.
func (e *entry) outdated(f VMState) bool {
	if c := cmp.Compare(f.VM.Incarnation, e.VM.Incarnation); c != 0 {
		return c > 0
	}
	if e.Kind == KindLeaving || f.Kind == KindLeaving {
		return e.Kind != KindLeaving
	}
	return f.At.After(e.At)
}

// ObserveMiss notes that a VM did not answer a heartbeat and reports whether it is now held to be down.
func (g *Gossiper) ObserveMiss(now time.Time, a netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[a]
	if e == nil {
		return false
	}
	e.missed++
	if e.missed < misses || e.Kind != KindUp {
		return false
	}
	e.Kind, e.At, e.changed, e.told = KindDown, now, now, 0
	g.version++
	return true
}

// Updates returns the facts to pass on with one message: those that changed lately and were not
// passed on often enough, the latest first.
func (g *Gossiper) Updates(now time.Time) []VMState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var es []*entry
	for _, e := range g.entries {
		if now.Sub(e.changed) < newsLife && e.told < maxTold {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b *entry) int { return b.changed.Compare(a.changed) })
	fs := make([]VMState, 0, maxNews)
	for _, e := range es[:min(len(es), maxNews)] {
		e.told++
		fs = append(fs, e.VMState)
	}
	return fs
}

// Version returns a number that grows whenever the live VMs may have changed.
func (g *Gossiper) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// Live returns the VMs that are up, without this one.
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

// States returns all that is known, in order of address.
func (g *Gossiper) States() []VMState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var fs []VMState
	for _, e := range g.entries {
		fs = append(fs, e.VMState)
	}
	slices.SortFunc(fs, func(a, b VMState) int { return placer.Compare(a.VM, b.VM) })
	return fs
}

// Neighbours returns the live VMs to begin heartbeats with: those at growing distances
// along the ring, and one that is down, to notice its return.
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

// distances returns how far along a ring of n other VMs the neighbours stand: 1 and then ever
// further by the same factor, at least 2, at most maxNeighbours of them.
func distances(n int) []int {
	factor := max(2, math.Pow(float64(n), 1.0/maxNeighbours))
	var ds []int
	for d := 1.0; int(d) <= n && len(ds) < maxNeighbours; d *= factor {
		ds = append(ds, int(d))
	}
	return ds
}

// RingNeighbours returns those of some VMs that stand at growing distances after self in the order of
// their hashes.
func RingNeighbours(self placer.VM, vms []placer.VM) []placer.VM {
	own := placer.Hash(self.ID())
	type placed struct {
		vm       placer.VM
		distance uint64
	}
	var ps []placed
	for _, v := range vms {
		if v.Address != self.Address {
			ps = append(ps, placed{v, placer.Hash(v.ID()) - own})
		}
	}
	slices.SortFunc(ps, func(a, b placed) int { return cmp.Compare(a.distance, b.distance) })
	var vs []placer.VM
	for _, d := range distances(len(ps)) {
		vs = append(vs, ps[d-1].vm)
	}
	return vs
}

// ring returns the live VMs after this one in order of hash, and those that are down.
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

// Expire drops the VMs that have been down or leaving for long, unless they are kept.
func (g *Gossiper) Expire(now time.Time, keep func(netip.AddrPort) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a, e := range g.entries {
		if e.Kind != KindUp && now.Sub(e.changed) > forgetAfter && !keep(a) {
			delete(g.entries, a)
		}
	}
}
