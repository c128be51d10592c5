package picker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
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
