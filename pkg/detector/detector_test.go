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

// strict returns an asserter that fails the test at the first violation.
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

// requestsUntilEjection sends requests to all instances in turn until instance 0 is ejected, and returns how many
// requests that instance got. Its outcomes and latencies are those of unhealthy; the other instances answer with the
// usual latency.
func requestsUntilEjection(
	t require.TestingT, seed uint64, unhealthy func(*rand.Rand) (detector.Outcome, time.Duration),
) int {
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
			o, l := unhealthy(r)
			d.Observe(now, 0, "/", o, l)
			if d.State(0) == detector.StateEjected {
				return n
			}
		}
	}
	return math.MaxInt
}

// failing returns the behavior of an instance that fails a share of its requests.
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
		unhealthy func(*rand.Rand) (detector.Outcome, time.Duration)
		within    int
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
				if requestsUntilEjection(t, seed, c.unhealthy) > c.within {
					late++
				}
			}
			require.LessOrEqual(t, late, 100, "the median of 201 runs")
		})
	}
}

// TestCommonProblemsEjectNone guards against ejections for problems that all instances share. It sends a million
// requests to a service that in turn is healthy, is slow as a whole, fails as a whole, and has an expensive route.
func TestCommonProblemsEjectNone(t *testing.T) {
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

// TestFloorIsKept lets instances fail, recover and leave in random order; it fails if instances are ejected while fewer
// are live than the floor requires.
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
			ejected, leaving := 0, 0
			for _, e := range d.Instances() {
				switch e.State {
				case detector.StateEjected, detector.StateTrial:
					ejected++
				case detector.StateLeaving:
					leaving++
				case detector.StateLive:
				}
			}
			live := instances - ejected - leaving
			require.True(t, ejected == 0 || float64(live) >= floor*instances-1e-6, "%d instances live, floor %v", live, floor)
			ejections += ejected
		}
	})
}

func TestShedAndPositiveProbesAreNoEvidence(t *testing.T) {
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
	require.InDelta(t, before, d.Instances()[1].Evidence, 0, "a positive health probe reduces no evidence")
}

// TestFailedProbesAloneEjectNone checks that failed health probes are evidence but don't suffice to eject an instance,
// and that an instance whose probes get no answer at all is ejected.
func TestFailedProbesAloneEjectNone(t *testing.T) {
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
	require.Equal(t, detector.StateEjected, d.State(0), "failed health probes must speed up the ejection")
	require.Equal(t, detector.StateLive, d.State(1))
	d = newDetector(t, 0.5, nil)
	for range 6 {
		d.Observe(now, 2, "", detector.OutcomeUnreachable, 0)
	}
	require.Equal(t, detector.StateEjected, d.State(2))
}

// TestReadmission checks that a healthy instance is readmitted, and that the hold-off of one that fails again and again
// grows with each ejection.
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
