package picker_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

func newPicker(clock clockwork.Clock) *picker.Picker {
	p := picker.New(picker.Options{
		Domain: "d", Random: rand.New(rand.NewPCG(1, 2)), Clock: clock, RetryRatio: 0.2, RetryWindow: 10 * time.Second, VMCount: func() int { return 1 },
	})
	p.SetReporter(outcomeCounts{})
	p.SetInstances([]balancer.Instance{{ID: "i", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d", Slots: 10}})
	return p
}

// An operator must see from the log alone how full a service is and who is refused.
func TestSummaryTellsWhoIsRefusedWhileAServiceIsFull(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	p := newPicker(clock)
	require.Empty(t, p.Summaries())
	p.SetPeerInFlight(map[string]int{"i": 12})
	p.SetUsage(map[string]aggregator.Fleet{"s": {Sum: aggregator.Counts{
		Offered: [aggregator.Levels]int64{100, 900}, Sends: 1000, Refused: 500, Ended: 1000, Unserved: 400,
	}}})
	refused := 0
	for range 50 {
		clock.Advance(20 * time.Millisecond)
		for n := range 5 {
			p.SetPeerInFlight(map[string]int{"i": 12})
			if !p.AdmitRequest("s", 1, &router.Account{Name: fmt.Sprint("a", n), Rate: 100}).Admitted {
				refused++
			}
		}
	}
	require.Positive(t, refused)
	ss := p.Summaries()
	require.Len(t, ss, 1)
	require.Equal(t, "s", ss[0].Service)
	require.InDelta(t, 1.2, ss[0].Use, 1e-9)
	require.InDelta(t, 0.5, ss[0].RefusedShare, 1e-9)
	require.Equal(t, "100/900/0/0", ss[0].Offered)
	require.Equal(t, fmt.Sprintf("0/%d/0/0", refused), ss[0].NoRoom)
	require.Contains(t, ss[0].Accounts, "a0:")
	require.Equal(t, float64(refused), p.RefusedRequests()["s/1"])
	require.Less(t, p.LevelShares()["s/1"], 0.9)
	require.Equal(t, "", p.Summaries()[0].NoRoom, "counts are those since the last summary")
}

func TestNothingIsRefusedWhereOnlyInstancesWithFreeSlotsRefuse(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	p := newPicker(clock)
	p.SetUsage(map[string]aggregator.Fleet{"s": {Sum: aggregator.Counts{Offered: [aggregator.Levels]int64{1000}, Sends: 1000, Refused: 500}}})
	for range 100 {
		clock.Advance(20 * time.Millisecond)
		p.SetPeerInFlight(map[string]int{"i": 4})
		require.True(t, p.AdmitRequest("s", 3, nil).Admitted)
	}
}

func TestHedgesLeaveRetriesToRequestsThatWait(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
	p := newPicker(clock)
	for range 100 {
		p.CountRequest("s")
	}
	route := &router.Route{Name: "r", Objective: time.Second}
	require.True(t, p.TakeRetry("s"))
	k := p.JoinRetries("s", route, admitter.Try{Level: 1}, clock.Now().Add(time.Second))
	require.False(t, p.TakeRetry("s"))
	turn, _ := p.RetryTurn("s", k)
	require.Equal(t, admitter.TurnTake, turn)
	p.LeaveRetries("s", k)
	require.True(t, p.TakeRetry("s"))
}
