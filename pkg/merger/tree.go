package merger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

// ErrStale is the reason of a change that lost to another.
var ErrStale = errors.New("the subtree has changed since the version the change is based on")

// Subtree is one team's configuration. It is immutable.
type Subtree struct {
	Team string `json:"team"`
	// Version is the log offset, plus one, of the change that made it.
	Version uint64 `json:"version"`
	// Text is the document as published.
	Text     string    `json:"document"`
	Document *Document `json:"-"`
}

// Tree is the configuration as merged so far. It is not safe for concurrent use.
type Tree struct {
	teams   map[string]Subtree
	pending map[string][]entry
	first   uint64
	next    uint64
	// unsure are the subtrees that may have changed in records that were missed, and since is
	// the offset from which on all records were read.
	unsure   map[string]bool
	since    uint64
	asserter *asserter.Asserter
}

type entry struct {
	offset uint64
	record Record
}

// New returns an empty tree that reads from offset first, the oldest that the log keeps.
func New(first uint64, a *asserter.Asserter) *Tree {
	return &Tree{teams: map[string]Subtree{}, pending: map[string][]entry{}, unsure: map[string]bool{}, first: first, next: first, asserter: a}
}

// Next returns the offset that the tree reads next.
func (t *Tree) Next() uint64 { return t.next }

// Team returns a team's subtree.
func (t *Tree) Team(name string) (Subtree, bool) {
	s, ok := t.teams[name]
	return s, ok
}

// Teams returns all subtrees in order of name.
func (t *Tree) Teams() []Subtree {
	return slices.SortedFunc(maps.Values(t.teams), func(a, b Subtree) int { return cmp.Compare(a.Team, b.Team) })
}

// Append reads the record at an offset; offsets that were read before are ignored.
func (t *Tree) Append(offset uint64, b []byte) Result {
	if offset < t.next {
		return Result{Outcome: OutcomeRepeated}
	}
	t.next = offset + 1
	r, err := Decode(b)
	if err != nil {
		return Result{Outcome: OutcomeUnreadable, Err: err}
	}
	if r.Kind == KindSnapshot {
		return t.snapshot(offset, r)
	}
	return t.change(offset, r)
}

func (t *Tree) change(offset uint64, r Record) Result {
	cur, known := t.teams[r.Team]
	if !known && t.first > 0 || t.unsure[r.Team] {
		return t.judgeUnknown(offset, r)
	}
	return t.judge(offset, r, cur)
}

// judgeUnknown keeps a change whose base may have been dropped from the log until a snapshot comes.
func (t *Tree) judgeUnknown(offset uint64, r Record) Result {
	t.pending[r.Team] = append(t.pending[r.Team], entry{offset, r})
	return Result{Outcome: OutcomePending, Record: r}
}

func (t *Tree) judge(offset uint64, r Record, cur Subtree) Result {
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
		"team %s goes from version %d to %d", s.Team, cur.Version, s.Version)
	t.teams[s.Team] = s
}

// snapshot adopts a subtree that is not known. It is a safe base only if every record
// after the point to which its writer had read is readable here.
func (t *Tree) snapshot(offset uint64, r Record) Result {
	cur, known := t.teams[r.Team]
	unsure := t.unsure[r.Team]
	if known && !unsure || r.AsOf < max(t.first, t.since) || r.AsOf > offset || r.Version < cur.Version {
		return Result{Outcome: OutcomeRepeated, Record: r, Version: cur.Version}
	}
	delete(t.unsure, r.Team)
	if r.Version == cur.Version {
		t.replay(r.Team, r.AsOf)
		return Result{Outcome: OutcomeRepeated, Record: r, Version: t.teams[r.Team].Version}
	}
	doc, err := ParseDocument(r.Team, []byte(r.Document))
	if err != nil {
		return Result{Outcome: OutcomeInvalid, Record: r, Err: err}
	}
	t.put(Subtree{Team: r.Team, Version: r.Version, Text: r.Document, Document: doc})
	t.replay(r.Team, r.AsOf)
	return Result{Outcome: OutcomeAccepted, Record: r, Version: t.teams[r.Team].Version}
}

// replay judges the changes that were read before the snapshot and that its writer had not read.
func (t *Tree) replay(team string, asOf uint64) {
	waiting := t.pending[team]
	delete(t.pending, team)
	for _, e := range waiting {
		if e.offset >= asOf {
			t.judge(e.offset, e.record, t.teams[team])
		}
	}
}

// Snapshot returns the record that repeats a team's subtree.
func (t *Tree) Snapshot(team string) (Record, bool) {
	s, ok := t.teams[team]
	return Record{
		Format: Format, Kind: KindSnapshot, Team: team, Version: s.Version, AsOf: t.next, Document: s.Text,
	}, ok
}

// ResolvePending is called when the tree has read to the end of the log. Every team that
// existed before the log begins has a snapshot in it, so a team without one is new.
func (t *Tree) ResolvePending() {
	for team, waiting := range t.pending {
		if t.unsure[team] {
			continue
		}
		delete(t.pending, team)
		for _, e := range waiting {
			t.judge(e.offset, e.record, t.teams[team])
		}
	}
	t.first = 0
}

// NewAfterGap returns a tree that goes on from an old one after records were missed, and reads
// from offset first. The old subtrees stay in force; Sure tells when all are known to be the
// latest.
func NewAfterGap(old *Tree, first uint64, a *asserter.Asserter) *Tree {
	t := New(first, a)
	t.since = first
	for _, s := range old.Teams() {
		t.teams[s.Team] = s
		t.unsure[s.Team] = true
	}
	return t
}

// Confirmed reports whether no subtree may have changed in records that were missed.
func (t *Tree) Confirmed() bool { return len(t.unsure) == 0 }

// State is a whole tree as one VM passes it to another.
type State struct {
	Next     uint64    `json:"next"`
	Subtrees []Subtree `json:"subtrees"`
}

// State returns the tree's content.
func (t *Tree) State() State { return State{Next: t.next, Subtrees: t.Teams()} }

// Restore takes the content of a peer that has read further, or as far while this tree is not
// sure. It returns false and changes nothing otherwise.
func (t *Tree) Restore(s State) (bool, error) {
	if s.Next < t.next || s.Next == t.next && t.Confirmed() {
		return false, nil
	}
	parsed := make([]Subtree, 0, len(s.Subtrees))
	for _, e := range s.Subtrees {
		doc, err := ParseDocument(e.Team, []byte(e.Text))
		if err != nil {
			return false, errors.Wrapf(err, "team %s of a peer's state", e.Team)
		}
		e.Document = doc
		parsed = append(parsed, e)
	}
	for _, e := range parsed {
		if e.Version > t.teams[e.Team].Version {
			t.put(e)
		}
	}
	t.next, t.pending, t.first = s.Next, map[string][]entry{}, 0
	t.unsure = map[string]bool{}
	return true, nil
}

// String describes the tree in one line.
func (t *Tree) String() string {
	return fmt.Sprintf("%d teams read to offset %d", len(t.teams), t.next)
}
