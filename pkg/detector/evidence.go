package detector

import (
	"cmp"
	"math"
	"slices"
	"time"
)

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=title-lower -text

// Outcome is what became of a request at an instance.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeAnswered is a whole answer of its own request.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is an error answer, a timeout, a reset, or a cut or crossed answer.
	OutcomeFailed
	// OutcomeOverdue is a request still running for longer than almost all others took.
	OutcomeOverdue
	// OutcomeShed is a refusal by an instance that protects itself; it is no evidence.
	OutcomeShed
	// OutcomeProbeFailed is a bad health probe; it raises suspicion, but ejects nobody alone.
	OutcomeProbeFailed
	// OutcomeUnreachable is a probe that got no answer at all.
	OutcomeUnreachable
	// OutcomeProbeAnswered is a good health probe; it proves nothing, since health checks mislead.
	OutcomeProbeAnswered
)

const (
	// wellFailure and sickFailure are the shares of requests that fail at an instance that is well or sick.
	wellFailure = 0.005
	sickFailure = 0.25
	// commonFactor relates a sick instance's share of failures to that of the others, if those fail more.
	commonFactor = 3
	// maxShare bounds the shares so that neither outcome is certain.
	maxShare = 0.95
	// slowFactor and slowMargin say by how much a slow request must exceed the others' median to count.
	slowFactor = 2
	slowMargin = 5 * time.Millisecond
	// window is how many latencies of the others are remembered for each route.
	window = 256
	// minPeers is how many latencies of other instances it takes to judge one.
	minPeers = 32
	// decay is the weight of a new request in an instance's share of failures.
	decay = 0.02
	// sortEvery is how many latencies are added until they are sorted again.
	sortEvery = 16
	// maxRoutes bounds the routes for which latencies are remembered.
	maxRoutes = 1024
)

// Ratios are log-likelihood ratios, or sums of them, of how often an instance fails and of
// how slow it is. They are kept apart because an instance that fails may be fast and one
// that is slow may fail never: one sum would let each clear the other.
type Ratios struct {
	Failure float64 `json:"failure"`
	Latency float64 `json:"latency"`
}

func (r Ratios) largest() float64 { return max(r.Failure, r.Latency) }

// latencyBin is a range of quantiles among the others' latencies, up to upper, with
// the share of requests in it at a well and at a sick instance.
type latencyBin struct {
	upper, well, sick float64
}

var latencyBins = []latencyBin{
	{0.50, 0.50, 0.10},
	{0.90, 0.40, 0.20},
	{0.98, 0.08, 0.30},
	{1.01, 0.02, 0.40},
}

// failureRatio returns the log-likelihood ratio of a failure or a success, given
// the share of requests that fail at the other instances.
func failureRatio(failed bool, common float64) float64 {
	well := min(max(wellFailure, common), maxShare/commonFactor)
	sick := max(sickFailure, well*commonFactor)
	if failed {
		return math.Log(sick / well)
	}
	return math.Log((1 - sick) / (1 - well))
}

// latencyRatio returns the log-likelihood ratio of a latency at a quantile among the others'.
func latencyRatio(quantile float64, material bool) float64 {
	for i, b := range latencyBins {
		if quantile < b.upper || i == len(latencyBins)-1 {
			if !material {
				b = latencyBins[min(i, 1)]
			}
			return math.Log(b.sick / b.well)
		}
	}
	return 0
}

// sample is one latency at an instance.
type sample struct {
	instance int
	latency  time.Duration
}

// latencies remembers the latest latencies of a route over all instances.
type latencies struct {
	ring [window]sample
	n    int
	// sorted is the ring in order of latency as it was when n was sortedAt.
	sorted   []sample
	sortedAt int
}

func (l *latencies) add(instance int, d time.Duration) {
	l.ring[l.n%window] = sample{instance, d}
	l.n++
}

// others compares a latency with those at the other instances: its quantile, and
// whether it exceeds their median by enough to matter. False if there are too few.
func (l *latencies) others(instance int, d time.Duration) (quantile float64, material, ok bool) {
	below, half, n := 0, 0, 0
	limit := (d - slowMargin) / slowFactor
	for _, s := range l.ring[:min(l.n, window)] {
		if s.instance == instance {
			continue
		}
		n++
		if s.latency < d {
			below++
		}
		if s.latency <= limit {
			half++
		}
	}
	if n < minPeers {
		return 0, false, false
	}
	return float64(below) / float64(n+1), 2*half >= n, true
}

// slowShare is the share of requests that are not slow.
const slowShare = 0.95

// slow returns the latency that slowShare of the requests at other instances stay below,
// or zero if too few are known. It is computed anew for every few requests.
func (l *latencies) slow(instance int) time.Duration {
	if l.n < minPeers {
		return 0
	}
	if l.sortedAt == 0 || l.n-l.sortedAt >= sortEvery {
		l.sorted = append(l.sorted[:0], l.ring[:min(l.n, window)]...)
		slices.SortFunc(l.sorted, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
		l.sortedAt = l.n
	}
	n := 0
	for _, s := range l.sorted {
		if s.instance != instance {
			n++
		}
	}
	if n < minPeers {
		return 0
	}
	limit := int(slowShare * float64(n))
	for _, s := range l.sorted {
		if s.instance == instance {
			continue
		}
		if limit--; limit < 0 {
			return s.latency
		}
	}
	return l.sorted[len(l.sorted)-1].latency
}
