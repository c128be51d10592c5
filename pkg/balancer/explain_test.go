package balancer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// observation changes the state of a balancer without the use of its random source.
type observation struct {
	instance int
	outcome  balancer.Outcome
	// own says that this process observed the outcome, else a peer did.
	own      bool
	inFlight int
	latency  float64
	pause    time.Duration
	after    time.Duration
}

func drawEvents(t *rapid.T, n int) []observation {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) observation {
		return observation{
			instance: rapid.IntRange(0, n-1).Draw(t, "instance"), outcome: balancer.Outcome(rapid.IntRange(0, 7).Draw(t, "outcome")),
			own: rapid.Bool().Draw(t, "own"), inFlight: rapid.IntRange(0, 8).Draw(t, "inFlight"), latency: rapid.Float64Range(0.5, 4).Draw(t, "latency"),
			pause: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 2000}).Draw(t, "pause")) * time.Millisecond,
			after: time.Duration(rapid.IntRange(0, 80).Draw(t, "after")) * time.Millisecond,
		}
	}), 0, 40).Draw(t, "events")
}

// apply applies events and returns the time of the last one.
func apply(b *balancer.Balancer, is []balancer.Instance, es []observation) time.Time {
	now := start
	for _, e := range es {
		now = now.Add(e.after)
		i := is[e.instance]
		b.SetPeerInFlight(now, i.ID, e.inFlight)
		if e.own {
			b.Done(now, balancer.Choice{Instance: i}, e.outcome, e.latency)
		} else {
			b.ApplyReport(now, balancer.Report{Instance: i.ID, Counts: map[balancer.Outcome]int{e.outcome: 1}, RelativeLatency: e.latency})
		}
		if e.pause > 0 {
			b.Pause(now, balancer.Choice{Instance: i}, now.Add(e.pause))
		}
	}
	return now
}

func drawInstances(t *rapid.T, n int) []balancer.Instance {
	is := instances(n)
	for i := range is {
		is[i].Slots = rapid.IntRange(1, 6).Draw(t, "slots")
		is[i].Limit = rapid.SampledFrom([]float64{0, 0, 0, 5}).Draw(t, "limit")
		if rapid.Bool().Draw(t, "cold") {
			is[i].WarmAt = start.Add(time.Minute)
		}
	}
	return is
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }

func balancerOf(is []balancer.Instance, seed uint64) *balancer.Balancer {
	b := balancer.New("d0", newRandom(seed))
	b.SetInstances(start, is)
	return b
}

func drawRequest(t *rapid.T) balancer.Request {
	return balancer.Request{
		Idempotent: rapid.Bool().Draw(t, "idempotent"), LowRetryBudget: rapid.Bool().Draw(t, "lowRetryBudget"),
		UnservedShare: rapid.Float64Range(0, 0.2).Draw(t, "unserved"),
	}
}

func TestExplainDoesNotChangeLaterChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := drawInstances(t, rapid.IntRange(1, 12).Draw(t, "instances"))
		es, r := drawEvents(t, len(is)), drawRequest(t)
		b, explained := balancerOf(is, 1), balancerOf(is, 1)
		now := apply(b, is, es)
		apply(explained, is, es)
		for range 20 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond)
			explained.Explain(now, r, newRandom(7), 20)()
			want, ok := b.Pick(now, r)
			got, gotOK := explained.Pick(now, r)
			require.Equal(t, ok, gotOK)
			require.Equal(t, want, got)
			if ok && rapid.Bool().Draw(t, "ends") {
				b.Done(now, want, balancer.OutcomeAnswered, 1)
				explained.Done(now, got, balancer.OutcomeAnswered, 1)
			}
		}
		require.Equal(t, b.Judgements(now), explained.Judgements(now))
		require.Equal(t, b.Trials(), explained.Trials())
	})
}

func TestExplainNamesTheInstancesThatPickChooses(t *testing.T) {
	const picks, tolerance = 150, 0.25
	rapid.Check(t, func(t *rapid.T) {
		is := drawInstances(t, rapid.IntRange(1, 12).Draw(t, "instances"))
		es, r := drawEvents(t, len(is)), drawRequest(t)
		wait := time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond
		b := balancerOf(is, 1)
		now := apply(b, is, es).Add(wait)
		x := b.Explain(now, r, newRandom(3), 400)()
		got, trials, none := map[string]float64{}, map[string]float64{}, 0.0
		for seed := range picks {
			b := balancerOf(is, uint64(seed))
			apply(b, is, es)
			c, ok := b.Pick(now, r)
			switch {
			case !ok:
				none += 1.0 / picks
				continue
			case c.Trial:
				trials[c.ID] += 1.0 / picks
			}
			got[c.ID] += 1.0 / picks
		}
		require.InDelta(t, none, x.None, tolerance)
		require.Len(t, x.Candidates, len(is))
		for _, c := range x.Candidates {
			require.InDelta(t, got[c.ID], c.Picked, tolerance, c.ID)
			require.InDelta(t, trials[c.ID], c.Trial, tolerance, c.ID)
			if c.Standing == balancer.StandingPaused || c.Standing == balancer.StandingNoRoom {
				require.Zero(t, c.Picked+got[c.ID], "%s is %v", c.ID, c.Standing)
			}
		}
	})
}

// All of up to three instances of one failure domain are compared.
func TestPickChoosesWhatExplainCallsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := drawInstances(t, 3)
		domain := rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "domain")
		for i := range is {
			is[i].Domain, is[i].Limit = domain, 0
		}
		es := drawEvents(t, len(is))
		for i := range es { // Instances that answered this process would be preferred.
			es[i].own = false
		}
		b := balancerOf(is, 5)
		now := apply(b, is, es)
		x := b.Explain(now, balancer.Request{}, newRandom(3), 100)()
		candidates := map[string]float64{}
		lowest := math.Inf(1)
		for _, c := range x.Candidates {
			require.InDelta(t, c.Cost.Wait+c.Cost.Crossing+c.Cost.Warmup+c.Cost.Full+c.Cost.Failure, c.Total, 1e-9)
			if c.Standing == balancer.StandingCandidate {
				candidates[c.ID] = c.Total
				lowest = min(lowest, c.Total)
			}
		}
		for seed := range 20 {
			b := balancerOf(is, uint64(seed))
			apply(b, is, es)
			got, ok := b.Pick(now, balancer.Request{})
			require.Equal(t, len(candidates) > 0, ok)
			if !ok || got.Trial {
				continue
			}
			require.Contains(t, candidates, got.ID)
			require.LessOrEqual(t, candidates[got.ID], lowest+balancer.CostJitter)
		}
	})
}

func TestPartsOfTheCostAreExplained(t *testing.T) {
	is := instances(3)
	for i := range is {
		is[i].Domain = "d1"
	}
	is[0].WarmAt = start.Add(time.Minute)
	b := balancerOf(is, 1)
	b.SetPeerInFlight(start, "i1", 8)
	b.ApplyReport(start, balancer.Report{Instance: "i2", Counts: map[balancer.Outcome]int{balancer.OutcomeShed: 1}})
	parts := map[string]balancer.Cost{}
	x := b.Explain(start, balancer.Request{}, newRandom(3), 10)()
	for _, c := range x.Candidates {
		parts[c.ID] = c.Cost
		require.Positive(t, c.Cost.Failure)
	}
	require.Positive(t, parts["i0"].Warmup)
	require.Greater(t, parts["i1"].Wait, 2.0)
	require.Positive(t, parts["i2"].Full)
	require.Zero(t, parts["i1"].Full+parts["i1"].Warmup)
}
