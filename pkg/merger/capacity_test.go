package merger_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

// The target size of the configuration, divided evenly among the documents of targetTeams teams.
const (
	targetTeams     = 1100
	targetRoutes    = 110_000
	targetAccounts  = 440_000
	targetServices  = 4_400
	targetInstances = 180_000
)

// teamDocument returns one team's document of the target configuration.
func teamDocument(team int) string {
	var b strings.Builder
	b.WriteString("{\n\"clientAccounts\": {\n")
	for i := range targetAccounts / targetTeams {
		fmt.Fprintf(&b, "\"account-%d\": {\"rate\": 10, \"burst\": 20, \"keys\": {\"k\": \"%s\"}},\n", i, merger.HashKey(fmt.Sprint(team, i)))
	}
	b.WriteString("},\n\"services\": {\n")
	for i := range targetServices / targetTeams {
		fmt.Fprintf(&b, "\"service-%d\": {\"slots\": 4, \"instances\": [", i)
		for j := range targetInstances / targetServices {
			fmt.Fprintf(&b, "{\"address\": \"10.%d.%d.%d:%d\", \"failureDomain\": \"d%d\"},", team%250, i, j, 1000+team, j%21)
		}
		b.WriteString("]},\n")
	}
	b.WriteString("},\n\"routes\": [\n")
	for i := range targetRoutes / targetTeams {
		fmt.Fprintf(&b, "{\"path\": \"/route-%d/\", \"service\": \"service-%d\", \"timeout\": \"2s\", \"idempotent\": true},\n", i, i%4)
	}
	b.WriteString("],\n}\n")
	return b.String()
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkTargetTree measures the memory of the target configuration, and the time to restore it
// from a peer's state, to apply one change to it and to match one request.
func BenchmarkTargetTree(b *testing.B) {
	source := merger.New(0, nil)
	for team := range targetTeams {
		r, _ := merger.Record{Format: merger.Format, Team: fmt.Sprint("team-", team), Document: teamDocument(team)}.Encode()
		source.Apply(source.Next(), r)
	}
	state := source.State()
	text := 0
	for _, s := range state.Subtrees {
		text += len(s.Text)
	}
	b.Run("load", func(b *testing.B) {
		for b.Loop() {
			before := heapBytes()
			tr := merger.New(0, nil)
			if ok, err := tr.Restore(state); !ok || err != nil {
				b.Fatal(err)
			}
			x := tr.Index(nil)
			b.ReportMetric((heapBytes()-before)/1e6, "MB-beside-text")
			b.ReportMetric(float64(text)/1e6, "MB-text")
			runtime.KeepAlive(x)
		}
	})
	b.Run("change", func(b *testing.B) {
		x := source.Index(nil)
		r := merger.Record{Format: merger.Format, Team: "team-7", Document: teamDocument(7)}
		for b.Loop() {
			s, _ := source.Team("team-7")
			r.Base = s.Version
			e, _ := r.Encode()
			if source.Apply(source.Next(), e).Outcome != merger.OutcomeAccepted {
				b.Fatal("change was not accepted")
			}
			x = source.Index(x)
		}
	})
	b.Run("match", func(b *testing.B) {
		x := source.Index(nil)
		for i := 0; b.Loop(); i++ {
			if _, ok := x.Match("GET", fmt.Sprintf("/team-%d/route-%d/x", i%targetTeams, i%100)); !ok {
				b.Fatal("no match")
			}
		}
	})
}

// BenchmarkAccounts measures the memory per account, without services and routes, at two sizes:
// their difference gives the memory of each further account.
func BenchmarkAccounts(b *testing.B) {
	for _, n := range []int{1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var text strings.Builder
			text.WriteString(`{"clientAccounts": {`)
			for i := range n {
				fmt.Fprintf(&text, `"account-%d": {"rate": 10, "burst": 20, "keys": {"k": "%s"}},`, i, merger.HashKey(fmt.Sprint(i)))
			}
			text.WriteString("}}")
			r, _ := merger.Record{Format: merger.Format, Team: "t", Document: text.String()}.Encode()
			for b.Loop() {
				before := heapBytes()
				tr := merger.New(0, nil)
				tr.Apply(0, r)
				x := tr.Index(nil)
				b.ReportMetric((heapBytes()-before)/float64(n), "B/account")
				runtime.KeepAlive(x)
			}
		})
	}
}
