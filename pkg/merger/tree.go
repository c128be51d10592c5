package merger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

// ErrStale is the error of a change that is not based on the current version of its subtree.
var ErrStale = errors.New("the subtree has changed since the version the change is based on")

// Subtree is one team's configuration. It is immutable.
type Subtree struct {
	Team string `json:"team"`
	// Version is the log offset plus one of the change that was accepted as this subtree.
	Version uint64 `json:"version"`
	// Text is the document as published.
	Text string `json:"document"`
	// Document is the parsed Text.
	Document *Document `json:"-"`
}

// Tree is the configuration merged from the records read so far. It is not safe for concurrent use.
type Tree struct {
	teams map[string]Subtree
	// pending are the changes of each team that wait for the current version of its subtree.
	pending map[string][]pendingChange
	// first is the oldest offset in the log if earlier records may have been dropped, or zero if
	// the tree includes what those contained.
	first uint64
	next  uint64
	// unconfirmed is the set of teams whose subtree may have changed in records that were missed,
	// and readSince is the offset from which all records were read.
	unconfirmed map[string]bool
	readSince   uint64
	asserter    *asserter.Asserter
}

type pendingChange struct {
	offset uint64
	record Record
}

// New returns an empty tree that reads from offset first, the oldest in the log. Violations are
// reported to a, which may be nil.
func New(first uint64, a *asserter.Asserter) *Tree {
	return &Tree{teams: map[string]Subtree{}, pending: map[string][]pendingChange{}, unconfirmed: map[string]bool{},
		first: first, next: first, asserter: a}
}

// Next returns the offset of the next record to read.
func (t *Tree) Next() uint64 { return t.next }

// Team returns a team's subtree.
func (t *Tree) Team(name string) (Subtree, bool) {
	s, ok := t.teams[name]
	return s, ok
}

// Teams returns all subtrees, sorted by team name.
func (t *Tree) Teams() []Subtree {
	return slices.SortedFunc(maps.Values(t.teams), func(a, b Subtree) int { return cmp.Compare(a.Team, b.Team) })
}

// Apply applies the record at an offset of the log. Offsets below Next are ignored.
func (t *Tree) Apply(offset uint64, b []byte) Result {
	if offset < t.next {
		return Result{Outcome: OutcomeRepeated}
	}
	t.next = offset + 1
	r, err := Decode(b)
	if err != nil {
		return Result{Outcome: OutcomeUnreadable, Err: err}
	}
	if r.Kind == KindSnapshot {
		return t.appendSnapshot(offset, r)
	}
	return t.appendChange(offset, r)
}

func (t *Tree) appendChange(offset uint64, r Record) Result {
	cur, known := t.teams[r.Team]
	if !known && t.first > 0 || t.unconfirmed[r.Team] {
		return t.deferChange(offset, r)
	}
	return t.applyChange(offset, r, cur)
}

// deferChange defers a change until a snapshot of its team is read, since the change that it is
// based on may have been dropped from the log.
func (t *Tree) deferChange(offset uint64, r Record) Result {
	t.pending[r.Team] = append(t.pending[r.Team], pendingChange{offset, r})
	return Result{Outcome: OutcomePending, Record: r}
}

// applyChange accepts a change if it is valid and based on the current subtree.
func (t *Tree) applyChange(offset uint64, r Record, cur Subtree) Result {
	if r.Base != cur.Version {
		err := errors.Wrapf(ErrStale, "team %s is at version %d, the change is based on %d", r.Team, cur.Version, r.Base)
		return Result{Outcome: OutcomeStale, Record: r, Version: cur.Version, Err: err}
	}
	doc, err := ParseDocument(r.Team, []byte(r.Document))
	if err != nil {
		return Result{Outcome: OutcomeInvalid, Record: r, Version: cur.Version, Err: err}
	}
	t.put(Subtree{Team: r.Team, Version: offset + 1, Text: r.Document, Document: doc})
	return Result{Outcome: OutcomeAccepted, Record: r, Version: offset + 1}
}

func (t *Tree) put(s Subtree) {
	cur := t.teams[s.Team]
	t.asserter.Check(s.Version > cur.Version, asserter.RuleConfiguration,
		"team %s changes from version %d to %d", s.Team, cur.Version, s.Version)
	t.teams[s.Team] = s
}

// appendSnapshot applies a snapshot if the team's subtree is not known or may be outdated. It
// ignores one whose AsOf is below the first offset read without gaps: the subtree may have changed
// in a record between them, which this tree has missed.
func (t *Tree) appendSnapshot(offset uint64, r Record) Result {
	cur, known := t.teams[r.Team]
	unconfirmed := t.unconfirmed[r.Team]
	if known && !unconfirmed || r.AsOf < max(t.first, t.readSince) || r.AsOf > offset || r.Version < cur.Version {
		return Result{Outcome: OutcomeRepeated, Record: r, Version: cur.Version}
	}
	delete(t.unconfirmed, r.Team)
	if r.Version == cur.Version {
		t.applyPending(r.Team, r.AsOf)
		return Result{Outcome: OutcomeRepeated, Record: r, Version: t.teams[r.Team].Version}
	}
	doc, err := ParseDocument(r.Team, []byte(r.Document))
	if err != nil {
		return Result{Outcome: OutcomeInvalid, Record: r, Err: err}
	}
	t.put(Subtree{Team: r.Team, Version: r.Version, Text: r.Document, Document: doc})
	t.applyPending(r.Team, r.AsOf)
	return Result{Outcome: OutcomeAccepted, Record: r, Version: t.teams[r.Team].Version}
}

// applyPending applies the pending changes that the writer of a snapshot had not read.
func (t *Tree) applyPending(team string, asOf uint64) {
	pending := t.pending[team]
	delete(t.pending, team)
	for _, e := range pending {
		if e.offset >= asOf {
			t.applyChange(e.offset, e.record, t.teams[team])
		}
	}
}

// Snapshot returns a snapshot record of a team's current subtree.
func (t *Tree) Snapshot(team string) (Record, bool) {
	s, ok := t.teams[team]
	return Record{
		Format: Format, Kind: KindSnapshot, Team: team, Version: s.Version, AsOf: t.next, Document: s.Text,
	}, ok
}

// ResolvePending applies the pending changes of teams that turned out to be new. It is called when
// the tree has read to the end of the log: every team that is older than the oldest record has a
// snapshot in the log, so a team without one is new.
func (t *Tree) ResolvePending() {
	for team, pending := range t.pending {
		if t.unconfirmed[team] {
			continue
		}
		delete(t.pending, team)
		for _, e := range pending {
			t.applyChange(e.offset, e.record, t.teams[team])
		}
	}
	t.first = 0
}

// NewAfterGap returns a tree that replaces an old one when the log dropped records before they
// were read, and reads from offset first. The old subtrees stay in force although they may be
// outdated; Confirmed reports when all are known to be current.
func NewAfterGap(old *Tree, first uint64, a *asserter.Asserter) *Tree {
	t := New(first, a)
	t.readSince = first
	for _, s := range old.Teams() {
		t.teams[s.Team] = s
		t.unconfirmed[s.Team] = true
	}
	return t
}

// Confirmed reports whether no subtree may have changed in records that were missed.
func (t *Tree) Confirmed() bool { return len(t.unconfirmed) == 0 }

// State is the content of a tree, as VMs send it to each other.
type State struct {
	Next     uint64    `json:"next"`
	Subtrees []Subtree `json:"subtrees"`
}

// State returns the tree's content.
func (t *Tree) State() State { return State{Next: t.next, Subtrees: t.Teams()} }

// Restore merges the state of a peer that has read further, or equally far if Confirmed is false
// here. Otherwise, or if a document is invalid, it returns false and changes nothing.
func (t *Tree) Restore(s State) (bool, error) {
	if s.Next < t.next || s.Next == t.next && t.Confirmed() {
		return false, nil
	}
	parsed := make([]Subtree, 0, len(s.Subtrees))
	for _, e := range s.Subtrees {
		doc, err := ParseDocument(e.Team, []byte(e.Text))
		if err != nil {
			return false, errors.Wrapf(err, "parse document of team %s in the state sent by a peer", e.Team)
		}
		e.Document = doc
		parsed = append(parsed, e)
	}
	for _, e := range parsed {
		if e.Version > t.teams[e.Team].Version {
			t.put(e)
		}
	}
	t.next, t.pending, t.first = s.Next, map[string][]pendingChange{}, 0
	t.unconfirmed = map[string]bool{}
	return true, nil
}

// String returns the number of teams and the next offset, for logs.
func (t *Tree) String() string {
	return fmt.Sprintf("%d teams, next offset %d", len(t.teams), t.next)
}
