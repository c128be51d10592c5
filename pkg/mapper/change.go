package mapper

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Format is the version of the rules by which readers accept or reject a change.
const Format = 1

// ErrSuperseded is returned for a change that replaces an older version than the current map.
var ErrSuperseded = errors.New("fleet map change replaces a version older than the current map")

// ErrGap is returned for a change that replaces a newer version than the reader's map, so that the reader
// cannot tell whether it is accepted.
var ErrGap = errors.New("fleet map change replaces a version newer than the current map")

// Change is a record of the fleet stream: the next map as a difference from the one it replaces.
type Change struct {
	Format int `json:"format"`
	// Replaces is the version of the map to which the change applies.
	Replaces uint64 `json:"replaces"`
	// Added are new members, or new incarnations of removed ones.
	Added []placer.VM `json:"added,omitempty"`
	// Leaving are members that are shutting down and release their partitions.
	Leaving []placer.VM `json:"leaving,omitempty"`
	// Removed are members that are known for certain to be dead.
	Removed []placer.VM `json:"removed,omitempty"`
	// Members are all members after the change; set only in a snapshot, from which a new reader can start.
	Members []Member `json:"members,omitempty"`
}

// Encode returns the change as a log record.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode decodes a log record. It returns an error for a change of another format.
func Decode(record []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(record, &c); err != nil {
		return c, errors.Wrap(err, "decode fleet map change")
	}
	if c.Format != Format {
		return c, errors.Newf("fleet map change has format %d, this daemon supports only format %d", c.Format, Format)
	}
	return c, nil
}

// Empty reports whether the change leaves the members as they are.
func (c Change) Empty() bool { return len(c.Added)+len(c.Leaving)+len(c.Removed) == 0 }

// Apply returns the map that results from the change c at the given log offset.
// It returns ErrSuperseded if another change replaced the same version first, on which all
// readers agree, and ErrGap if c replaces a newer version than m. With an error it returns m.
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
			return m, errors.Newf("fleet map change adds %s, which is already a member", v.Address)
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

// Snapshot returns a change that keeps the members of m and lists them all, so that new readers can start from it.
func (m *Map) Snapshot() Change {
	return Change{Format: Format, Replaces: m.Version, Members: m.members}
}
