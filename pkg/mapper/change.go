package mapper

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Format is the version of the rules by which readers accept a change.
const Format = 1

// ErrSuperseded is returned for a change whose base is not the current map.
var ErrSuperseded = errors.New("change replaces a map that is not the current one")

// ErrGap is returned for a change that a reader without its base cannot judge.
var ErrGap = errors.New("the map that the change replaces is not known")

// Change is a record of the fleet stream: the next map as a difference to the one it replaces.
type Change struct {
	Format int `json:"format"`
	// Replaces is the version of the map that this one follows.
	Replaces uint64 `json:"replaces"`
	// Added are new members, or new incarnations of removed ones.
	Added []placer.VM `json:"added,omitempty"`
	// Leaving are members that stop and release what they hold.
	Leaving []placer.VM `json:"leaving,omitempty"`
	// Removed are members that are certain to be dead.
	Removed []placer.VM `json:"removed,omitempty"`
	// Members are all members after the change; set on a snapshot, from which a new reader starts.
	Members []Member `json:"members,omitempty"`
}

// Encode returns the change as a log record.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads a change from a log record and refuses one of another format.
func Decode(record []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(record, &c); err != nil {
		return c, errors.Wrap(err, "fleet map change")
	}
	if c.Format != Format {
		return c, errors.Newf("fleet map change has format %d, this daemon reads %d", c.Format, Format)
	}
	return c, nil
}

// Empty reports whether the change leaves the members as they are.
func (c Change) Empty() bool { return len(c.Added)+len(c.Leaving)+len(c.Removed) == 0 }

// Apply returns the map that follows m when the change stands at offset.
// It returns ErrSuperseded if the change lost a race, which every reader sees alike,
// and ErrGap if m is older than the log reaches back and the change is no snapshot.
func (m *Map) Apply(offset uint64, c Change) (*Map, error) {
	if c.Replaces != m.Version {
		return m, m.baseMismatch(c)
	}
	if len(c.Members) > 0 {
		return NewMap(offset+1, c.Members), nil
	}
	next := slices.DeleteFunc(slices.Clone(m.members), func(e Member) bool {
		return slices.ContainsFunc(c.Removed, e.Same)
	})
	for i, e := range next {
		if slices.ContainsFunc(c.Leaving, e.Same) {
			next[i].Leaving = true
		}
	}
	for _, v := range c.Added {
		if slices.ContainsFunc(next, func(e Member) bool { return e.Address == v.Address }) {
			return m, errors.Newf("change adds %s, which is a member", v.Address)
		}
		next = append(next, Member{VM: v})
	}
	return NewMap(offset+1, next), nil
}

func (m *Map) baseMismatch(c Change) error {
	if c.Replaces > m.Version {
		return ErrGap
	}
	return ErrSuperseded
}

// Snapshot returns a change that keeps the members and lets new readers start from it.
func (m *Map) Snapshot() Change {
	return Change{Format: Format, Replaces: m.Version, Members: m.members}
}
