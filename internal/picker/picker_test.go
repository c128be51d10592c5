package picker_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/hedger"
)

func TestMain(m *testing.M) { chooser.Main(m) }

// TestRetriesOfAllVMsStayInTheirBudget lets every VM of a fleet use all of its retries, with any split of the requests
// between VMs and with any restarts of VMs. The rule allows 0.2 of the requests plus the slack in any 10 s.
func TestRetriesOfAllVMsStayInTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio         = 0.2
			steps, window = 300, 100
			step          = 100 * time.Millisecond
		)
		vms := rapid.IntRange(2, 60).Draw(t, "vms")
		slack := rapid.Float64Range(20, 200).Draw(t, "slack")
		perStep := rapid.IntRange(1, 30).Draw(t, "requests")
		skew := rapid.IntRange(1, vms).Draw(t, "busy")
		now := time.Unix(1e9, rapid.Int64Range(0, 1e9).Draw(t, "offset"))
		budgets := make([]*picker.Budget, vms)
		for i := range budgets {
			budgets[i] = picker.NewBudget(now, window*step, ratio, slack, vms)
		}
		restarts := map[int]int{} // How many VMs restart, by step.
		for _, s := range rapid.SliceOfN(rapid.IntRange(steps/2, steps-1), 0, 8).Draw(t, "restartSteps") {
			restarts[s] = rapid.IntRange(1, vms).Draw(t, "restarts")
		}
		retries := make([]int, steps)
		for s := range steps {
			now = now.Add(step)
			for i := range restarts[s] {
				budgets[i] = picker.NewBudget(now, window*step, ratio, slack, vms)
			}
			for range perStep {
				b := budgets[rapid.IntRange(0, skew-1).Draw(t, "vm")]
				b.CountRequest(now)
				for b.Take(now) {
					retries[s]++
				}
			}
		}
		for s := window; s < steps; s++ {
			sum := 0
			for _, n := range retries[s-window : s] {
				sum += n
			}
			require.LessOrEqual(t, float64(sum), ratio*float64(perStep*window)+slack)
		}
	})
}

// Retries saved up by VMs that then lose their callers must not be earned again by the VMs that get these callers. The rule
// allows the ratio of the requests in the span, the one before it or the one half a span before it, and the slack.
func TestRetriesSavedUpAreNotEarnedAgainWhenCallersMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio         = 0.2
			steps, window = 400, 100
			step          = 100 * time.Millisecond
		)
		vms := rapid.IntRange(2, 60).Draw(t, "vms")
		slack := rapid.Float64Range(1, 4).Draw(t, "slackOfAVM") * float64(vms)
		perStep := rapid.IntRange(1, 60).Draw(t, "requests")
		failing := rapid.IntRange(window, 2*window).Draw(t, "failing")
		now := time.Unix(1e9, rapid.Int64Range(0, 1e9).Draw(t, "offset"))
		budgets := make([]*picker.Budget, vms)
		restart := func(i int) { budgets[i] = picker.NewBudget(now, window*step, ratio, slack, vms) }
		for i := range budgets {
			restart(i)
		}
		// At each of these steps, a part of the VMs starts again, and only VMs from some number on have callers.
		moves := map[int]int{}
		for _, s := range rapid.SliceOfN(rapid.IntRange(failing, steps-1), 0, 6).Draw(t, "moves") {
			moves[s] = rapid.IntRange(0, vms-1).Draw(t, "first")
		}
		first, retries := 0, make([]int, steps)
		for s := range steps {
			now = now.Add(step)
			if f, ok := moves[s]; ok {
				for i := range f {
					restart(i)
				}
				first = f % vms
				if rapid.Bool().Draw(t, "back") {
					first = 0
				}
			}
			for range perStep {
				budgets[rapid.IntRange(first, vms-1).Draw(t, "vm")].CountRequest(now)
			}
			for _, b := range budgets {
				for s >= failing && b.Take(now) {
					retries[s]++
				}
			}
		}
		for s := window; s <= steps; s++ {
			sum := 0
			for _, n := range retries[s-window : s] {
				sum += n
			}
			require.LessOrEqual(t, float64(sum), ratio*float64(perStep*window)+slack)
		}
	})
}

// TestUnusedRetriesAreKeptForTheSpan checks that a VM with few requests has its part of the budget when an instance
// begins to fail, one half at once and the other in the span after it, and that what was kept expires with the span.
func TestUnusedRetriesAreKeptForTheSpan(t *testing.T) {
	const vms = 115
	now := time.Unix(1e9, 0)
	b := picker.NewBudget(now, 10*time.Second, 0.2, 194, vms)
	taken := 0
	requests := func(takes bool) {
		for range 30 {
			now = now.Add(300 * time.Millisecond)
			b.CountRequest(now)
			for takes && b.Take(now) {
				taken++
			}
		}
	}
	requests(false)
	for b.Take(now) {
		taken++
	}
	require.GreaterOrEqual(t, taken, 3, "0.5 x 0.2 of 30 requests")
	requests(true)
	require.GreaterOrEqual(t, taken, 6, "0.95 x 0.2 of 30 requests, and of the slack")
	requests(false)
	now = now.Add(time.Minute)
	require.Less(t, b.Left(now), 1.0, "requests of an earlier span must not count")
}

type outcomeCounts map[balancer.Outcome]int

func (r outcomeCounts) Observe(_ string, o balancer.Outcome, _ float64) { r[o]++ }

func TestPickerReportsAndMergesReports(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := picker.New(picker.Options{
		Domain: "d", Random: rand.New(rand.NewPCG(1, 2)), Clock: clock, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, VMCount: func() int { return 10 },
	})
	seen := outcomeCounts{}
	p.SetReporter(seen)
	a := netip.MustParseAddrPort("10.0.0.1:80")
	p.SetInstances([]balancer.Instance{{ID: "i", Service: "s", Address: a, Domain: "d", Slots: 2}})
	require.True(t, p.HasAddress(a))
	r := &router.Route{Name: "r", Objective: time.Second}
	c, ok := p.Pick("s", balancer.Request{})
	require.True(t, ok)
	require.Equal(t, map[string]int{"i": 1}, p.InFlight())
	before := p.TypicalLatency(r)
	p.Done(r, c, balancer.OutcomeAnswered, time.Second)
	require.Greater(t, p.TypicalLatency(r), before)
	p.MarkOverdue(c)
	require.Equal(t, outcomeCounts{balancer.OutcomeAnswered: 1, balancer.OutcomeOverdue: 1}, seen)
	p.ApplyReports([]relayer.InstanceReport{{Report: balancer.Report{Instance: "i", Counts: map[balancer.Outcome]int{balancer.OutcomeBroken: 1}}}})
	require.Positive(t, p.Judgements()["s"][0].Evidence)
	p.SetPeerInFlight(map[string]int{"i": 3})
	require.Equal(t, 3, p.Judgements()["s"][0].Load)
	_, ok = p.Pick("other", balancer.Request{})
	require.False(t, ok)
	p.SetInstances(nil)
	require.False(t, p.HasAddress(a))
}

// TestTrialsWaitWithoutRetries checks that a suspected instance is tried later while no retry is left for a failed
// trial, but within the 2 s that a sound instance may be without requests.
func TestTrialsWaitWithoutRetries(t *testing.T) {
	trials := func(requests int, after time.Duration) (n int) {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		p := picker.New(picker.Options{
			Domain: "d", Random: rand.New(rand.NewPCG(1, 2)), Clock: clock, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second,
			VMCount: func() int { return 10 },
		})
		p.SetReporter(outcomeCounts{})
		var is []balancer.Instance
		for i := range 8 {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
			is = append(is, balancer.Instance{ID: a.String(), Service: "s", Address: a, Domain: "d", Slots: 2})
		}
		p.SetInstances(is)
		for range requests {
			p.CountRequest("s")
		}
		p.ApplyReports([]relayer.InstanceReport{{Report: balancer.Report{Instance: is[0].ID, Counts: map[balancer.Outcome]int{balancer.OutcomeBroken: 3}}}})
		clock.Advance(after)
		for range 200 {
			c, ok := p.Pick("s", balancer.Request{Idempotent: true})
			require.True(t, ok)
			if c.ID == is[0].ID {
				n++
			}
			p.Done(&router.Route{Objective: time.Second}, c, balancer.OutcomeAnswered, 100*time.Millisecond)
		}
		return n
	}
	require.Zero(t, trials(0, time.Second), "the share of the slack is 0.6 of a retry")
	require.Positive(t, trials(30, time.Second), "2.7 retries are earned and kept")
	require.Positive(t, trials(0, 1500*time.Millisecond))
}

// Loads of instances that the next report lacks have ended.
func TestPeerLoadsEndWithTheNextReport(t *testing.T) {
	p := picker.New(picker.Options{
		Domain: "d", Random: rand.New(rand.NewPCG(1, 1)), Clock: clockwork.NewFakeClock(), RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second,
		VMCount: func() int { return 1 },
	})
	p.SetInstances([]balancer.Instance{{ID: "a", Service: "s", Domain: "d", Slots: 1}, {ID: "b", Service: "s", Domain: "d", Slots: 1}})
	load := func() map[string]int {
		n := map[string]int{}
		for _, j := range p.Judgements()["s"] {
			n[j.ID] = j.Load
		}
		return n
	}
	p.SetPeerInFlight(map[string]int{"a": 3, "unknown": 1})
	require.Equal(t, map[string]int{"a": 3, "b": 0}, load())
	p.SetPeerInFlight(map[string]int{"b": 1})
	require.Equal(t, map[string]int{"a": 0, "b": 1}, load())
}

// Hedges must leave retries for requests that fail, and end before a service is full.
func TestHedgesAreTakenFromTheirLimitAndTheRetryBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := picker.New(picker.Options{
		Domain: "d", Random: rand.New(rand.NewPCG(1, 2)), Clock: clock, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second, VMCount: func() int { return 1 },
	})
	p.SetReporter(outcomeCounts{})
	h := p.EnableHedges(0.1)
	var is []balancer.Instance
	for _, id := range []string{"a", "b", "c", "e"} {
		is = append(is, balancer.Instance{ID: id, Service: "s", Domain: "d", Slots: 10})
	}
	p.SetInstances(is)
	r := &router.Route{Name: "r", Objective: time.Second}
	hedge := func() hedger.Decision {
		_, d, ok := h.Pick("s", r, balancer.Request{Idempotent: true, Tried: []string{"a"}}, time.Second)
		require.Equal(t, d == hedger.DecisionSend, ok)
		return d
	}
	require.Equal(t, hedger.DecisionLimit, hedge())
	for range 100 {
		p.CountRequest("s")
	}
	left := p.RetriesLeft()["s"]
	require.Equal(t, hedger.DecisionSend, hedge())
	require.InDelta(t, left-1, p.RetriesLeft()["s"], 1e-9)
	for p.RetriesLeft()["s"] >= 3 {
		require.True(t, p.TakeRetry("s"))
	}
	require.Equal(t, hedger.DecisionRetries, hedge())
	clock.Advance(time.Second)
	p.SetPeerInFlight(map[string]int{"a": 10, "b": 10, "c": 10, "e": 9})
	require.Equal(t, hedger.DecisionFull, hedge())
}
