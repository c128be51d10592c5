package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

// VMs without failures save their retries while others spend all that they earn. If the former then spend theirs and lose their
// callers to the latter, all together must stay in the budget: those that saved have up to half of the callers.
func TestRetriesStayInTheirBudgetWhenCallersMoveToVMsThatSavedNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio         = 0.2
			steps, window = 500, 100
			step          = 100 * time.Millisecond
		)
		vms := rapid.IntRange(2, 40).Draw(t, "vms")
		savers := rapid.IntRange(0, vms/2).Draw(t, "savers")
		slack := rapid.Float64Range(1, 4).Draw(t, "slackOfAVM") * float64(vms)
		perVM := rapid.IntRange(1, 4).Draw(t, "requests")
		spendAt := rapid.IntRange(2*window, 4*window).Draw(t, "spendAt")
		now := time.Unix(1e9, rapid.Int64Range(0, 1e9).Draw(t, "offset"))
		budgets := make([]*picker.Budget, vms)
		for i := range budgets {
			budgets[i] = picker.NewBudget(now, window*step, ratio, slack, vms)
		}
		retries := make([]int, steps)
		for s := range steps {
			now = now.Add(step)
			first := 0
			if s > spendAt {
				first = savers
			}
			for i := range perVM * vms {
				budgets[first+i%(vms-first)].CountRequest(now)
			}
			for i, b := range budgets {
				for (i >= savers || s >= spendAt) && b.Take(now) {
					retries[s]++
				}
			}
		}
		for s := window; s <= steps; s++ {
			sum := 0
			for _, n := range retries[s-window : s] {
				sum += n
			}
			require.LessOrEqual(t, float64(sum), ratio*float64(perVM*vms*window)+slack)
		}
	})
}

// VMs that know what all together kept earn by that, so that any of them may spend what they saved and lose their callers.
func TestRetriesStayInTheirBudgetWhenAllKnowWhatTheFleetKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio         = 0.2
			steps, window = 600, 100
			step          = 100 * time.Millisecond
			lag           = 10
		)
		vms := rapid.IntRange(2, 30).Draw(t, "vms")
		savers := rapid.IntRange(0, vms-1).Draw(t, "savers")
		slack := rapid.Float64Range(1, 4).Draw(t, "slackOfAVM") * float64(vms)
		perVM := rapid.IntRange(1, 4).Draw(t, "requests")
		// Savers spend all at a time, lose their callers at one from then on, and some start again and get them back.
		spendAt := rapid.IntRange(window, 3*window).Draw(t, "spendAt")
		moveAt := spendAt + rapid.IntRange(0, window).Draw(t, "moveAfter")
		backAt := moveAt + rapid.IntRange(1, 2*window).Draw(t, "backAfter")
		now := time.Unix(1e9, rapid.Int64Range(0, 1e9).Draw(t, "offset"))
		budgets := make([]*picker.Budget, vms)
		start := func(i int) { budgets[i] = picker.NewBudget(now, window*step, ratio, slack, vms) }
		for i := range budgets {
			start(i)
		}
		retries, shares := make([]int, steps), make([]float64, lag)
		for s := range steps {
			now = now.Add(step)
			first := 0
			if s >= moveAt && s < backAt {
				first = savers
			}
			for i := range first {
				if s == moveAt {
					start(i)
				}
			}
			for i := range perVM * vms {
				budgets[first+i%(vms-first)].CountRequest(now)
			}
			kept := 0.0
			for i, b := range budgets {
				for (i >= savers || s >= spendAt) && b.Take(now) {
					retries[s]++
				}
				kept += b.Left(now)
			}
			shares = append(shares, kept/(ratio*float64(perVM*vms*window)+slack))
			if s >= lag && s%5 == 0 {
				for _, b := range budgets {
					b.NoteFleetKept(now, shares[s])
				}
			}
		}
		for s := window; s <= steps; s++ {
			sum := 0
			for _, n := range retries[s-window : s] {
				sum += n
			}
			require.LessOrEqual(t, float64(sum), ratio*float64(perVM*vms*window)+slack)
		}
	})
}

// A long spell of failures gets most of the budget, not just the half that is earned while the other is kept.
func TestLongSpellOfFailuresGetsMoreOfTheBudget(t *testing.T) {
	for knowsFleet, least := range map[bool]float64{false: 0.65, true: 0.75} {
		now := time.Unix(1e9, 0)
		b := picker.NewBudget(now, 10*time.Second, 0.2, 190, 112)
		whole, taken, spans := 0.2*100+190.0/112, 0, 4
		for s := range spans * 1000 {
			now = now.Add(10 * time.Millisecond)
			if s%10 == 0 {
				b.CountRequest(now)
			}
			for b.Take(now) {
				if taken++; s < 1000 {
					taken = 0 // The first span is that of the start.
				}
			}
			if knowsFleet && s%25 == 0 {
				b.NoteFleetKept(now, 0.05)
			}
		}
		require.Greater(t, float64(taken), least*whole*float64(spans-1))
	}
}

// A VM that is cut off, or whose peers report no usage, must not take what it kept itself for what all VMs kept.
func TestVMThatKnowsFewVMsEarnsNoMoreThanOneThatKnowsNone(t *testing.T) {
	const vms = 10
	taken := func(known int) (n int) {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		p := picker.New(picker.Options{
			Domain: "d", Random: rand.New(rand.NewPCG(1, 2)), Clock: clock, RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second,
			VMCount: func() int { return vms },
		})
		for range 300 {
			clock.Advance(100 * time.Millisecond)
			p.CountOffered("s", 0)
			p.CountRequest("s")
			for p.TakeRetry("s") {
				n++
			}
			if known > 0 {
				p.SetUsage(aggregator.Fleets(map[string]aggregator.Domain{"d": {Services: p.Usage(), VMs: known}}))
			}
		}
		return n
	}
	none := taken(0)
	require.Equal(t, none, taken(1))
	require.Less(t, taken(vms/2), taken(vms))
	require.Greater(t, taken(vms-1), none)
	require.Equal(t, taken(vms), taken(vms+1), "one that just left the fleet may still be in the sums")
}
