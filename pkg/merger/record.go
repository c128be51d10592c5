package merger

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool enumer -type=Kind,Outcome -trimprefix=Kind,Outcome -transform=title-lower -text

// Format is the version of the rules by which readers accept a record.
const Format = 1

// Kind says what a record is.
type Kind int

// The kinds of records.
const (
	// KindChange is an operator's new subtree.
	KindChange Kind = iota
	// KindSnapshot repeats a subtree that was accepted before.
	KindSnapshot
)

// Record is an entry of the configuration stream.
type Record struct {
	Format int    `json:"format"`
	Kind   Kind   `json:"kind"`
	Team   string `json:"team"`
	// ID is unique to a change, so that a publisher finds it after a lost answer.
	ID     string    `json:"id,omitempty"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at,omitzero"`
	// Base is the version that a change replaces; zero for a new team.
	Base uint64 `json:"base,omitempty"`
	// Version is the version of a snapshot's subtree.
	Version uint64 `json:"version,omitempty"`
	// AsOf is the offset up to which the snapshot's writer had read.
	AsOf uint64 `json:"asOf,omitempty"`
	// Document is the subtree, as JSON with comments.
	Document string `json:"document"`
}

// Encode returns the record as bytes for the log.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a record from the log and refuses one of another format.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, errors.Wrap(err, "configuration record")
	}
	if r.Format != Format {
		return r, errors.Newf("configuration record has format %d, this daemon reads %d", r.Format, Format)
	}
	if !ValidName(r.Team) {
		return r, errors.Newf("configuration record names no valid team: %q", r.Team)
	}
	return r, nil
}

// Outcome is what became of a record.
type Outcome int

// The outcomes of a record.
const (
	// OutcomeAccepted means that the record is in force.
	OutcomeAccepted Outcome = iota
	// OutcomeStale means that another change came first.
	OutcomeStale
	// OutcomeInvalid means that the document does not validate.
	OutcomeInvalid
	// OutcomeUnreadable means that the record is damaged or of another format.
	OutcomeUnreadable
	// OutcomePending means that the team's subtree is not known yet.
	OutcomePending
	// OutcomeRepeated means that a snapshot or a change brought nothing new.
	OutcomeRepeated
)

// Result is the outcome of a record with its reasons.
type Result struct {
	Outcome Outcome
	Record  Record
	// Version is the subtree's version after the record.
	Version uint64
	// Err says why a record was not accepted.
	Err error
}
