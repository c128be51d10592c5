package merger

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool enumer -type=Kind,Outcome -trimprefix=Kind,Outcome -transform=title-lower -text

// Format is the version of the record format and of the rules by which readers accept a record.
const Format = 1

// Kind is the type of a record.
type Kind int

// The kinds of records.
const (
	// KindChange is a new version of a subtree, published by an operator.
	KindChange Kind = iota
	// KindSnapshot is a copy of a subtree that was accepted before.
	KindSnapshot
)

// Record is an entry of the configuration stream in the log.
type Record struct {
	Format int    `json:"format"`
	Kind   Kind   `json:"kind"`
	Team   string `json:"team"`
	// ID is unique to a change, so that a publisher can find the change in the log when the reply
	// to its append was lost.
	ID     string    `json:"id,omitempty"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at,omitzero"`
	// Base is the version that a change replaces; it is zero for a new team.
	Base uint64 `json:"base,omitempty"`
	// Version is the version of a snapshot's subtree.
	Version uint64 `json:"version,omitempty"`
	// AsOf is the offset of the next record to be read by the snapshot's writer when it took the
	// snapshot.
	AsOf uint64 `json:"asOf,omitempty"`
	// Document is the subtree, as JSON with comments.
	Document string `json:"document"`
}

// Encode returns the record in its log encoding.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode parses a record from the log. It returns an error if the format is not Format or the
// team's name is invalid.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, errors.Wrap(err, "decode configuration record")
	}
	if r.Format != Format {
		return r, errors.Newf("configuration record has format %d, but this daemon supports only %d", r.Format, Format)
	}
	if !ValidName(r.Team) {
		return r, errors.Newf("configuration record has invalid team name %q", r.Team)
	}
	return r, nil
}

// Outcome is the result of applying a record to the tree.
type Outcome int

// The outcomes of a record.
const (
	// OutcomeAccepted means that the record's document is now in force.
	OutcomeAccepted Outcome = iota
	// OutcomeStale means that the change is not based on the subtree's current version.
	OutcomeStale
	// OutcomeInvalid means that validation of the document failed.
	OutcomeInvalid
	// OutcomeUnreadable means that the record cannot be decoded or has another format.
	OutcomeUnreadable
	// OutcomePending means that the change waits until the current version of the team's subtree
	// is known.
	OutcomePending
	// OutcomeRepeated means that the record was read before, or that the snapshot is not needed or
	// cannot be used.
	OutcomeRepeated
)

// Result is the outcome of a record.
type Result struct {
	Outcome Outcome
	Record  Record
	// Version is the version of the team's subtree after the record.
	Version uint64
	// Err is the reason if the outcome is stale, invalid or unreadable, otherwise nil.
	Err error
}
