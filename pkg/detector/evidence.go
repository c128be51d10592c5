package detector

import (
	"cmp"
	"math"
	"slices"
	"time"
)

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=title-lower -text

// Outcome is the result of a request or health probe at an instance.
type Outcome int

// The outcomes of a request or health probe.
const (
	// OutcomeAnswered is a complete answer that belongs to the request.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is an error answer, a timeout, a connection reset, or an answer that is truncated or belongs to
	// another request.
	OutcomeFailed
	// OutcomeOverdue is a request in flight that has already taken longer than almost all others.
	OutcomeOverdue
	// OutcomeShed is a request that the instance refused in order to shed load; it is no evidence.
	OutcomeShed
	// OutcomeProbeFailed is a health probe with a negative answer; it is evidence, but not sufficient to eject an
	// instance.
	OutcomeProbeFailed
	// OutcomeUnreachable is a health probe without any answer.
	OutcomeUnreachable
	// OutcomeProbeAnswered is a health probe with a positive answer; it is no evidence, since health checks may be
	// misleading.
	OutcomeProbeAnswered
)

const (
	// healthyFailureRate and unhealthyFailureRate are the shares of requests that fail at a healthy and at an unhealthy
	// instance.
	healthyFailureRate   = 0.005
	unhealthyFailureRate = 0.25
	// unhealthyFactor is how many times as often an unhealthy instance is assumed to fail as the others, if their
	// failure rate is so high that this exceeds unhealthyFailureRate.
	unhealthyFactor = 3
	// maxFailureRate caps the failure rates, so that neither a failure nor a success is ever certain.
	maxFailureRate = 0.95
	// slowFactor and slowMargin are by how much the latency of a slow request must exceed the median of the others to
	// count in full: it must be at least slowFactor times the median plus slowMargin.
	slowFactor = 2
	slowMargin = 5 * time.Millisecond
	// latencyWindow is how many latencies are kept for each route.
	latencyWindow = 256
	// minPeerLatencies is the minimum number of latencies of other instances to compare one with.
	minPeerLatencies = 32
	// failureRateWeight is the weight of a new request in the failure rate of an instance.
	failureRateWeight = 0.02
	// sortEvery is the number of added latencies after which they are sorted again.
	sortEvery = 16
	// maxRoutes is the maximum number of routes for which latencies are kept.
	maxRoutes = 1024
)

// Ratios are the log-likelihood ratios, or sums of them, of the failures and of the latencies of an instance. They are
// separate because a failing instance may be fast and a slow one may never fail: in a single sum, each would cancel
// the other out.
type Ratios struct {
	Failure float64 `json:"failure"`
	Latency float64 `json:"latency"`
}

func (r Ratios) largest() float64 { return max(r.Failure, r.Latency) }

// latencyBin is a range of quantiles of the latencies at the other instances, from the previous bin up to upper, with
// the share of requests in it at a healthy and at an unhealthy instance.
type latencyBin struct {
	upper, healthy, unhealthy float64
}

var latencyBins = []latencyBin{
	{0.50, 0.50, 0.10},
	{0.90, 0.40, 0.20},
	{0.98, 0.08, 0.30},
	{1.01, 0.02, 0.40},
}

// failureRatio returns the log-likelihood ratio of a failure or a success, given the share of requests that fail at the
// other instances (othersRate).
func failureRatio(failed bool, othersRate float64) float64 {
	healthy := min(max(healthyFailureRate, othersRate), maxFailureRate/unhealthyFactor)
	unhealthy := max(unhealthyFailureRate, healthy*unhealthyFactor)
	if failed {
		return math.Log(unhealthy / healthy)
	}
	return math.Log((1 - unhealthy) / (1 - healthy))
}

// latencyRatio returns the log-likelihood ratio of a latency, given its quantile among those of the other instances.
// Unless the difference to their median is material, the latency counts as at most that of the second bin.
func latencyRatio(quantile float64, material bool) float64 {
	for i, b := range latencyBins {
		if quantile < b.upper || i == len(latencyBins)-1 {
			if !material {
				b = latencyBins[min(i, 1)]
			}
			return math.Log(b.unhealthy / b.healthy)
		}
	}
	return 0
}

// sample is the latency of one request at an instance.
type sample struct {
	instance int
	latency  time.Duration
}

// latencies has the latest latencies of a route at all instances.
type latencies struct {
	ring [latencyWindow]sample
	// n is the number of latencies ever added.
	n int
	// sorted has the samples in the ring at the time when n was sortedAt, ordered by latency.
	sorted   []sample
	sortedAt int
}

func (l *latencies) add(instance int, d time.Duration) {
	l.ring[l.n%latencyWindow] = sample{instance, d}
	l.n++
}

// compare compares a latency with those at the other instances. It returns its quantile among them and whether it
// is at least slowFactor times their median plus slowMargin (material); ok is false if there are fewer than
// minPeerLatencies.
func (l *latencies) compare(instance int, d time.Duration) (quantile float64, material, ok bool) {
	below, fasterByMargin, n := 0, 0, 0
	limit := (d - slowMargin) / slowFactor
	for _, s := range l.ring[:min(l.n, latencyWindow)] {
		if s.instance == instance {
			continue
		}
		n++
		if s.latency < d {
			below++
		}
		if s.latency <= limit {
			fasterByMargin++
		}
	}
	if n < minPeerLatencies {
		return 0, false, false
	}
	return float64(below) / float64(n+1), 2*fasterByMargin >= n, true
}

// slowQuantile is the quantile of latency above which a request is slow.
const slowQuantile = 0.95

// slowLatency returns the latency that the share slowQuantile of the requests at other instances stays below, or zero
// if there are fewer than minPeerLatencies. The samples are sorted again only after every sortEvery new ones.
func (l *latencies) slowLatency(instance int) time.Duration {
	if l.n < minPeerLatencies {
		return 0
	}
	if l.sortedAt == 0 || l.n-l.sortedAt >= sortEvery {
		l.sorted = append(l.sorted[:0], l.ring[:min(l.n, latencyWindow)]...)
		slices.SortFunc(l.sorted, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
		l.sortedAt = l.n
	}
	n := 0
	for _, s := range l.sorted {
		if s.instance != instance {
			n++
		}
	}
	if n < minPeerLatencies {
		return 0
	}
	limit := int(slowQuantile * float64(n))
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
