package tracker

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

//go:generate go tool enumer -type=Condition,Role -trimprefix=Condition,Role -transform=title-lower -text

// Condition says whether an instance may get new requests.
type Condition int

// The conditions of an instance.
const (
	// ConditionReady means that the instance takes new requests.
	ConditionReady Condition = iota
	// ConditionLeaving means that the instance finishes its requests and takes no new ones.
	ConditionLeaving
	// ConditionGone means that the instance's registration ended.
	ConditionGone
)

// Entry is the last registration of an instance, or says that the registration ended.
type Entry struct {
	balancer.Instance
	Condition Condition `json:"condition"`
	// SequenceNumber orders the registrations of an incarnation of the instance.
	SequenceNumber int64 `json:"beat"`
	// Offset is the position of the record in the registry, as the function Offset returns it.
	Offset uint64 `json:"offset"`
}

// newer reports whether the same instance wrote e after o.
func (e Entry) newer(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	return e.SequenceNumber > o.SequenceNumber
}

// Role is the role of a VM in the fleet.
type Role int

// The roles of a VM.
const (
	// RoleStarting means that the VM lacks data to serve callers yet.
	RoleStarting Role = iota
	// RoleReady means that the VM serves callers.
	RoleReady
	// RoleLeaving means that the VM finishes its requests and stops.
	RoleLeaving
	// RoleDown means that the VM was silent for too long.
	RoleDown
)

// Member is what is known of a VM.
type Member struct {
	placer.VM
	Role Role `json:"role"`
	// Capacity is the VM's share of a CPU core; it is the VM's weight when roles are placed.
	Capacity float64 `json:"capacity"`
	// AsOf is the time for which the member's state holds.
	AsOf time.Time `json:"at"`
}

// supersedes reports whether m is a later state than o of the VM at an address.
func (m Member) supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	// A VM starts, becomes ready and leaves, in this order. Relayed times are a little early, so that a VM that became ready
	// just after it was heard of would seem to be starting for ever.
	if m.Role != o.Role && m.Role != RoleDown && o.Role != RoleDown {
		return m.Role > o.Role
	}
	return m.AsOf.After(o.AsOf)
}
