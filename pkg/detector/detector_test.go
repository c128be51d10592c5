package detector_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
)

func TestMain(m *testing.M) { chooser.Main(m) }

const instances = 16

// strict fails the test at the first violation.
func strict(t require.TestingT) *asserter.Asserter {
	return asserter.New(func(v asserter.Violation) { require.NoError(t, v) })
}

func newDetector(t require.TestingT, floor float64, notify func(detector.Event)) *detector.Detector {
	d := detector.New(floor, strict(t), notify)
	for i := range instances {
		d.Add(time.Unix(0, 0), fmt.Sprint("i", i))
	}
	return d
}

// latency draws a log-normal latency around a median.
func latency(r *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.3*r.NormFloat64()))
}

const median = 20 * time.Millisecond

// requests sends well requests to all instances in turn, and what sick does to instance 0,
// until that is ejected; it returns how many requests the instance had got.
func requests(t require.TestingT, seed uint64, sick func(*rand.Rand) (detector.Outcome, time.Duration)) int {
	r := rand.New(rand.NewPCG(seed, 1))
	d := newDetector(t, 0.5, nil)
	now := time.Unix(100, 0)
	for range 100 * instances {
		i := r.IntN(instances)
		d.Observe(now, i, "/", detector.OutcomeAnswered, latency(r, median))
	}
	for n := 1; n < 1000; n++ {
		for i := range instances {
			now = now.Add(time.Millisecond)
			if i > 0 {
				d.Observe(now, i, "/", detector.OutcomeAnswered, latency(r, median))
				continue
			}
			o, l := sick(r)
			d.Observe(now, 0, "/", o, l)
			if d.State(0) == detector.StateEjected {
				return n
			}
		}
	}
	return math.MaxInt
}

func failing(share float64) func(*rand.Rand) (detector.Outcome, time.Duration) {
	return func(r *rand.Rand) (detector.Outcome, time.Duration) {
		if r.Float64() < share {
			return detector.OutcomeFailed, latency(r, median)
		}
		return detector.OutcomeAnswered, latency(r, median)
	}
}

func TestDetectsWithinTarget(t *testing.T) {
	cases := map[string]struct {
		sick   func(*rand.Rand) (detector.Outcome, time.Duration)
		within int
	}{
		"10 times slower": {func(r *rand.Rand) (detector.Outcome, time.Duration) {
			return detector.OutcomeAnswered, latency(r, 10*median)
		}, 20},
		"half failing":    {failing(0.5), 20},
		"a fifth failing": {failing(0.2), 60},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			late := 0
			for seed := range uint64(201) {
				if requests(t, seed, c.sick) > c.within {
					late++
				}
			}
			require.LessOrEqual(t, late, 100, "the median of 201 runs")
		})
	}
}

// TestCommonTroubleEjectsNone sends a million requests through a service that is well, slow as
// a whole, failing as a whole, and has a heavy route.
func TestCommonTroubleEjectsNone(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	ejected := 0
	d := newDetector(t, 0.5, func(e detector.Event) {
		if e.To == detector.StateEjected {
			ejected++
		}
	})
	now := time.Unix(100, 0)
	for n := range 1_000_000 {
		now = now.Add(time.Millisecond)
		m, route, failures := median, "/", 0.001
		switch phase := n / 100_000 % 4; {
		case phase == 1:
			m = 10 * median
		case phase == 2:
			failures = 0.3
		case phase == 3 && r.IntN(10) == 0:
			m, route = 20*median, "/heavy"
		}
		o := detector.OutcomeAnswered
		if r.Float64() < failures {
			o = detector.OutcomeFailed
		}
		d.Observe(now, r.IntN(instances), route, o, latency(r, m))
	}
	require.Zero(t, ejected)
}

// TestFloorIsKept makes most of a service sick, flapping and leaving in any order; the
// asserter fails the test if the floor gives way.
func TestFloorIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		d := newDetector(t, floor, nil)
		now := time.Unix(100, 0)
		ejections := 0
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				d.SetLeaving(now, i, rapid.Bool().Draw(t, "leaving"))
			case 1:
				d.Tick(now)
			default:
				o := detector.OutcomeFailed
				if rapid.IntRange(0, 3).Draw(t, "outcome") == 0 {
					o = detector.OutcomeAnswered
				}
				for range 4 {
					d.Observe(now, i, "/", o, median)
				}
			}
			out, leaving := 0, 0
			for _, e := range d.Instances() {
				switch e.State {
				case detector.StateEjected, detector.StateTrial:
					out++
				case detector.StateLeaving:
					leaving++
				case detector.StateLive:
				}
			}
			live := instances - out - leaving
			require.True(t, out == 0 || float64(live) >= floor*instances-1e-6, "%d live of floor %v", live, floor)
			ejections += out
		}
	})
}

func TestShedAndProbesClearOrBlameNothing(t *testing.T) {
	d := newDetector(t, 0.5, nil)
	now := time.Unix(100, 0)
	for range 1000 {
		d.Observe(now, 0, "/", detector.OutcomeShed, 0)
		d.Observe(now, 1, "", detector.OutcomeProbeAnswered, 0)
	}
	require.Equal(t, detector.StateLive, d.State(0))
	for range 3 {
		d.Observe(now, 1, "/", detector.OutcomeFailed, 0)
	}
	before := d.Instances()[1].Evidence
	d.Observe(now, 1, "", detector.OutcomeProbeAnswered, 0)
	require.InDelta(t, before, d.Instances()[1].Evidence, 0, "a good probe clears nothing")
}

// TestMisleadingHealthEjectsNone checks that health checks alone raise suspicion and no more,
// and that a server that cannot even be reached is ejected.
func TestMisleadingHealthEjectsNone(t *testing.T) {
	d := newDetector(t, 0.5, nil)
	now := time.Unix(100, 0)
	for range 1000 {
		d.Observe(now, 0, "", detector.OutcomeProbeFailed, 0)
	}
	require.Equal(t, detector.StateLive, d.State(0))
	for range 3 {
		d.Observe(now, 0, "/", detector.OutcomeFailed, 0)
		d.Observe(now, 1, "/", detector.OutcomeFailed, 0)
	}
	require.Equal(t, detector.StateEjected, d.State(0), "sooner than without the suspicion")
	require.Equal(t, detector.StateLive, d.State(1))
	d = newDetector(t, 0.5, nil)
	for range 6 {
		d.Observe(now, 2, "", detector.OutcomeUnreachable, 0)
	}
	require.Equal(t, detector.StateEjected, d.State(2))
}

// TestReadmission checks that an instance comes back when it is well, and that the hold-off
// of one that flaps doubles.
func TestReadmission(t *testing.T) {
	d := newDetector(t, 0.5, nil)
	now := time.Unix(100, 0)
	holdOff := time.Duration(0)
	for range 4 {
		for d.State(0) == detector.StateLive {
			d.Observe(now, 0, "/", detector.OutcomeFailed, median)
		}
		require.Greater(t, d.Instances()[0].HoldOff, holdOff)
		holdOff = d.Instances()[0].HoldOff
		d.Tick(now.Add(holdOff - time.Millisecond))
		require.Equal(t, detector.StateEjected, d.State(0))
		now = now.Add(holdOff)
		d.Tick(now)
		require.Equal(t, detector.StateTrial, d.State(0))
		for n := 0; d.State(0) == detector.StateTrial; n++ {
			require.Less(t, n, 100)
			d.Observe(now, 0, "/", detector.OutcomeAnswered, median)
		}
	}
}

func ExampleDetector() {
	d := detector.New(0.5, nil, func(e detector.Event) { fmt.Println(e.Instance, e.From, e.To) })
	now := time.Unix(0, 0)
	for _, id := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		d.Add(now, id)
	}
	for range 10 {
		d.Observe(now, 0, "/orders", detector.OutcomeFailed, 0)
	}
	// Output: 10.0.0.1:80 live ejected
}

func BenchmarkObserve(b *testing.B) {
	d := newDetector(b, 0.5, nil)
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(100, 0)
	for b.Loop() {
		d.Observe(now, r.IntN(instances), "/", detector.OutcomeAnswered, latency(r, median))
	}
}
