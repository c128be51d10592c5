package placer

import (
	"net/netip"
	"time"
)

// VM identifies one run of a daemon by its addresses, failure domain and incarnation.
type VM struct {
	// Address is the address for peers.
	Address netip.AddrPort `json:"address"`
	// CallerAddress is the address for callers.
	CallerAddress netip.AddrPort `json:"callers"`
	Domain        string         `json:"domain"`
	// Incarnation is the start time in nanoseconds since the Unix epoch; it grows with every restart at an address.
	Incarnation uint64 `json:"incarnation"`
}

// NewIncarnation returns the incarnation of a daemon that starts at t.
func NewIncarnation(t time.Time) uint64 { return uint64(t.UnixNano()) }

// ID returns the address as text, by which VMs are hashed.
func (v VM) ID() string { return v.Address.String() }

// Compare orders VMs by address.
func Compare(a, b VM) int { return a.Address.Compare(b.Address) }

// Same reports whether v and o are the same run of a daemon: same address and incarnation.
func (v VM) Same(o VM) bool { return v.Incarnation == o.Incarnation && v.Address == o.Address }
