package merger_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

func TestMain(m *testing.M) { chooser.Main(m) }

func document(rate int) string {
	return fmt.Sprintf(`{"clientAccounts": {"a": {"rate": %d, "burst": 5}}} // rate`, rate)
}

func change(team string, base uint64, rate int) []byte {
	b, _ := merger.Record{Format: merger.Format, Team: team, ID: fmt.Sprint(team, base, rate), Base: base, Document: document(rate)}.Encode()
	return b
}

func newTree(t require.TestingT, first uint64) *merger.Tree {
	return merger.New(first, asserter.New(func(v asserter.Violation) { require.NoError(t, v) }))
}

// TestReadersAgreeAndNeverRevert appends concurrent and duplicate changes and snapshots and drops
// old records, and checks that a reader that starts at any time has the same tree as one that
// read all records. A duplicate arises when the reply to an append is lost.
func TestReadersAgreeAndNeverRevert(t *testing.T) {
	compared := 0
	rapid.Check(t, func(t *rapid.T) {
		teams := []string{"pits", "market"}
		var log [][]byte
		first, written := 0, map[string]int{}
		reference := newTree(t, 0)
		append := func(b []byte) {
			log = append(log, b)
			reference.Apply(uint64(len(log)-1), b)
		}
		for n := range 60 {
			team := teams[rapid.IntRange(0, 1).Draw(t, "team")]
			cur, _ := reference.Team(team)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				base := cur.Version
				if rapid.IntRange(0, 2).Draw(t, "stale") == 0 && base > 0 {
					base--
				}
				append(change(team, base, 1+n))
			case 2:
				if len(log) > 0 {
					append(log[len(log)-1])
				}
			case 3, 4:
				if r, ok := reference.Snapshot(team); ok {
					// A change may be appended after the snapshot is taken and before it is appended.
					if rapid.Bool().Draw(t, "between") {
						append(change(team, cur.Version, 1000+n))
					}
					written[team] = len(log)
					b, _ := r.Encode()
					append(b)
				}
			case 5:
				first = dropBefore(t, reference, teams, first, written)
			default:
				late := newTree(t, uint64(first))
				for o := first; o < len(log); o++ {
					late.Apply(uint64(o), log[o])
				}
				late.ResolvePending()
				require.Equal(t, reference.State(), late.State(), "reader from %d of %d", first, len(log))
				compared++
			}
		}
	})
	require.Positive(t, compared)
}

// dropBefore returns the offset before which records are dropped. For every team, it keeps a
// snapshot whose writer had read all dropped records.
func dropBefore(t *rapid.T, reference *merger.Tree, teams []string, first int, written map[string]int) int {
	limit := int(reference.Next())
	for _, team := range teams {
		if _, ok := reference.Team(team); ok {
			// At most two records are appended between the taking and the appending of a snapshot.
			limit = min(limit, written[team]-2)
		}
	}
	if limit <= first {
		return first
	}
	return rapid.IntRange(first, limit).Draw(t, "drop")
}

func TestFirstOfConcurrentChangesWins(t *testing.T) {
	tr := newTree(t, 0)
	require.Equal(t, merger.OutcomeAccepted, tr.Apply(0, change("pits", 0, 1)).Outcome)
	require.Equal(t, merger.OutcomeAccepted, tr.Apply(1, change("pits", 1, 2)).Outcome)
	r := tr.Apply(2, change("pits", 1, 3))
	require.Equal(t, merger.OutcomeStale, r.Outcome)
	require.ErrorIs(t, r.Err, merger.ErrStale)
	require.ErrorContains(t, r.Err, "at version 2, the change is based on 1")
	require.Equal(t, merger.OutcomeRepeated, tr.Apply(1, change("pits", 2, 9)).Outcome, "old offsets are ignored")
}

func TestRejectedRecordsChangeNothing(t *testing.T) {
	tr := newTree(t, 0)
	tr.Apply(0, change("pits", 0, 1))
	for i, b := range []string{"", "{", `{"format":9,"team":"pits"}`, `{"format":1,"team":"../x"}`, `{"format":1,"kind":"odd","team":"pits"}`} {
		require.Equal(t, merger.OutcomeUnreadable, tr.Apply(uint64(i+1), []byte(b)).Outcome)
	}
	bad, _ := merger.Record{Format: merger.Format, Team: "pits", Base: 1, Document: `{"clientAccounts": {"a": {"rate": -1, "burst": 1}}}`}.Encode()
	require.Equal(t, merger.OutcomeInvalid, tr.Apply(9, bad).Outcome)
	s, _ := tr.Team("pits")
	require.Equal(t, uint64(1), s.Version)
}

func TestRestoreIgnoresOlderState(t *testing.T) {
	a, b := newTree(t, 0), newTree(t, 0)
	a.Apply(0, change("pits", 0, 1))
	old := a.State()
	a.Apply(1, change("pits", 1, 2))
	ok, err := b.Restore(a.State())
	require.True(t, ok)
	require.NoError(t, err)
	ok, err = b.Restore(old)
	require.False(t, ok)
	require.NoError(t, err)
	require.Equal(t, a.State(), b.State())
	require.Equal(t, merger.OutcomeAccepted, b.Apply(2, change("market", 0, 2)).Outcome, "a team missing from the restored state is new")
}

func TestFindingsAreCollectedWithPositions(t *testing.T) {
	_, err := merger.ParseDocument("x.json", []byte(`{
  "clientAccounts": {
    "ok": {"rate": 1, "burst": 1, "keys": {"k": "abc"}},
    "Bad": {"rate": 0, "burst": 0},
  },
  "services": {"s": {"slots": 0, "floor": 2, "instances": [{"address": "1.2.3.4:5", "failureDomain": "a"}, {"address": "1.2.3.4:5", "failureDomain": "a"}]}},
  "routes": [{"path": "x", "service": "t", "timeout": "5"}, {"path": "/x/", "service": "s", "timeout": "1s"}, {"path": "/x/", "service": "s", "timeout": "1s"}],
}`))
	for _, want := range []string{
		"x.json:3:49: clientAccounts.ok.keys.k:", "x.json:4:12: clientAccounts.Bad: a name", "clientAccounts.Bad.rate:",
		"clientAccounts.Bad.burst:", "services.s.slots:", "services.s.floor:", "instances.1.address: 1.2.3.4:5 is listed twice",
		"routes.0.path:", `service "t" is not among`, `"5" is not a duration`, "routes.2: another route",
	} {
		require.ErrorContains(t, err, want)
	}
}

func TestIndexFindsLongestRouteOfTheTeam(t *testing.T) {
	key := "secret"
	text := fmt.Sprintf(`{
  "clientAccounts": {"a": {"rate": 1, "burst": 1, "keys": {"k": %q}}},
  "services": {"s": {"slots": 1, "instances": [{"address": "1.2.3.4:5", "failureDomain": "a"}]}},
  "routes": [
    {"path": "/", "service": "s", "timeout": "1s"},
    {"path": "/orders/", "methods": ["POST"], "service": "s", "timeout": "2s"},
  ],
}`, merger.HashKey(key))
	tr := newTree(t, 0)
	b, _ := merger.Record{Format: merger.Format, Team: "pits", Document: text}.Encode()
	require.Equal(t, merger.OutcomeAccepted, tr.Apply(0, b).Outcome)
	x := tr.Index(nil)
	m, ok := x.Match("POST", "/pits/orders/7")
	require.True(t, ok)
	require.Equal(t, "/orders/", m.Route.Path)
	m, ok = x.Match("GET", "/pits/orders/7")
	require.True(t, ok)
	require.Equal(t, "/", m.Route.Path)
	_, ok = x.Match("GET", "/market/orders/7")
	require.False(t, ok)
	a, ok := x.Account("pits", key)
	require.True(t, ok)
	require.Equal(t, "pits/a", a.Name)
	_, ok = x.Account("market", key)
	require.False(t, ok, "a key is valid only in its own team")
}

func FuzzAppend(f *testing.F) {
	f.Add(change("pits", 0, 1))
	f.Add([]byte(`{"format":1,"kind":"snapshot","team":"pits","version":3,"asOf":0,"document":"{}"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		tr := newTree(t, 0)
		tr.Apply(0, b)
		tr.ResolvePending()
		tr.Index(nil).Match("GET", "/pits/x")
	})
}

func ExampleTree() {
	tr := merger.New(0, nil)
	fmt.Println(tr.Apply(0, change("pits", 0, 1)).Outcome)
	fmt.Println(tr.Apply(1, change("pits", 0, 2)).Outcome)
	// Output:
	// accepted
	// stale
}

func BenchmarkAppend(b *testing.B) {
	var text strings.Builder
	text.WriteString(`{"clientAccounts": {`)
	for i := range 100 {
		fmt.Fprintf(&text, `"a%d": {"rate": 1, "burst": 1, "keys": {"k": "%064d"}},`, i, i)
	}
	text.WriteString("}}")
	tr := merger.New(0, nil)
	for i := uint64(0); b.Loop(); i++ {
		r, _ := merger.Record{Format: merger.Format, Team: "pits", Base: i, Document: text.String()}.Encode()
		if tr.Apply(i, r).Outcome != merger.OutcomeAccepted {
			b.Fatal("change was not accepted")
		}
	}
}
