package placer

import (
	"net/netip"
	"time"
)

// VM identifies one run of a daemon: where it is reached, its failure domain and its incarnation.
type VM struct {
	// Address is where its peers reach it.
	Address netip.AddrPort `json:"address"`
	// CallerAddress is where callers reach it.
	CallerAddress netip.AddrPort `json:"callers"`
	Domain        string         `json:"domain"`
	// Incarnation is the start time in nanoseconds since 1970; it grows with every restart at an address.
	Incarnation uint64 `json:"incarnation"`
}

// NewIncarnation returns the incarnation of a daemon that starts at t.
func NewIncarnation(t time.Time) uint64 { return uint64(t.UnixNano()) }

// ID returns the address as text, the identity that placement hashes.
func (v VM) ID() string { return v.Address.String() }

// Compare orders VMs by address.
func Compare(a, b VM) int { return a.Address.Compare(b.Address) }

// Same reports whether both name the same run of a daemon.
func (v VM) Same(o VM) bool { return v.Incarnation == o.Incarnation && v.Address == o.Address }
