package picker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// An operator's question must not change what requests get.
func TestExplainChangesNoDecision(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	plain, asked := newPicker(clock), newPicker(clock)
	plain.RetrySlack, asked.RetrySlack = 50, 50
	account, route := &router.Account{Name: "a", Rate: 100}, &router.Route{Name: "r", Objective: time.Second}
	counts := aggregator.Counts{Offered: [aggregator.Levels]int64{100, 900}, Sends: 1000, Refused: 500, Ended: 1000, Unserved: 400}
	refused := 0
	for n := range 300 {
		clock.Advance(7 * time.Millisecond)
		asked.Explain("s", 1, account, balancer.Request{Idempotent: true})
		clock.Advance(13 * time.Millisecond)
		asked.Explain("unknown", 1, nil, balancer.Request{})
		var got [2][]any
		for i, p := range []*picker.Picker{plain, asked} {
			p.SetUsage(map[string]aggregator.Fleet{"s": {Sum: counts, VMs: 1}})
			p.SetPeerInFlight(map[string]int{"i": 12})
			p.CountRequest("s")
			d := p.AdmitRequest("s", 1, account)
			c, ok := p.Pick("s", balancer.Request{Idempotent: true})
			require.True(t, ok)
			p.Done(route, c, balancer.Outcome(n%3), 100*time.Millisecond)
			got[i] = []any{d.Admitted, d.RetryAfter, c, p.RetriesLeft(), p.TakeRetry("s"), p.Judgements(), p.LevelShares(), p.RefusedRequests()}
		}
		require.Equal(t, got[0], got[1])
		if got[0][0] == false {
			refused++
		}
	}
	require.Positive(t, refused, "the service is short of room")
}

func TestExplainAppliesWhatAdmitRequestWouldApply(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	p := newPicker(clock)
	p.SetPeerInFlight(map[string]int{"i": 12})
	p.SetUsage(map[string]aggregator.Fleet{"s": {Sum: aggregator.Counts{Offered: [aggregator.Levels]int64{0, 1000}, Sends: 1000, Refused: 900}}})
	p.AdmitRequest("s", 1, nil)
	clock.Advance(time.Second)
	p.SetPeerInFlight(map[string]int{"i": 12})
	e := p.Explain("s", 1, nil, balancer.Request{})
	p.AdmitRequest("s", 1, nil)
	require.InDelta(t, p.LevelShares()["s/1"], e.Room.Share, 1e-9)
	require.Less(t, e.Room.Share, 0.9)
	require.Equal(t, "i", e.Candidates[0].ID)
	require.InDelta(t, 1, e.Candidates[0].Picked, 0)
	none := p.Explain("unknown", 0, nil, balancer.Request{})
	require.InDelta(t, 1, none.None, 0)
	require.False(t, none.Awaited)
	require.NotContains(t, p.RetriesLeft(), "unknown")
}
