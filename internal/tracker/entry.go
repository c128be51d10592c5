package tracker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

//go:generate go tool enumer -type=Condition,Role -trimprefix=Condition,Role -transform=title-lower -text

// Condition is whether an instance may get new requests.
type Condition int

// The conditions of an instance.
const (
	// ConditionReady means that it takes requests.
	ConditionReady Condition = iota
	// ConditionLeaving means that it finishes what it has.
	ConditionLeaving
	// ConditionGone means that its registration ended.
	ConditionGone
)

// Entry is what an instance last said of itself, or that its registration ended.
type Entry struct {
	balancer.Instance
	Condition Condition `json:"condition"`
	// Born and Beat order what an instance says: its start, and a count since then.
	Born int64 `json:"born"`
	Beat int64 `json:"beat"`
	// Offset is the position of the record in the registry.
	Offset uint64 `json:"offset"`
}

// newer reports whether e was said after o by the same instance.
func (e Entry) newer(o Entry) bool {
	if e.Born != o.Born {
		return e.Born > o.Born
	}
	return e.Beat > o.Beat
}

// Role is how a VM takes part in the fleet.
type Role int

// The roles of a VM.
const (
	// RoleStarting means that it knows too little to serve callers yet.
	RoleStarting Role = iota
	// RoleReady means that it serves callers.
	RoleReady
	// RoleLeaving means that it finishes what it has and stops.
	RoleLeaving
	// RoleDown means that it was not heard for too long.
	RoleDown
)

// Member is what is known of a VM.
type Member struct {
	placer.VM
	Role Role `json:"role"`
	// Capacity is its share of a processor core; it weighs in what it is given to do.
	Capacity float64 `json:"capacity"`
	// AsOf is when this was so.
	AsOf time.Time `json:"at"`
}

// supersedes reports whether m is newer knowledge than o of the VM at an address.
func (m Member) supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.AsOf.After(o.AsOf)
}
