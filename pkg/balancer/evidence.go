package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// suspectThreshold is the evidence at which an instance is suspected.
	suspectThreshold = 2.5
	// maxEvidence caps the evidence, so that about five answers clear a recovered instance of suspicion.
	maxEvidence = 11.0
	// minEvidence limits how far past answers lower the evidence, so that a new fault is detected immediately.
	minEvidence = -4.0
	// relaxTime is the time constant with which what was observed at an instance loses its value, and the probability
	// that it is unhealthy moves back to the prior. Faults on this platform last some seconds. After evidenceTTL without an
	// outcome, nothing is left of it.
	relaxTime   = 6 * time.Second
	evidenceTTL = 10 * time.Second
	// halfLife is the half-life of deviations of relative latency.
	halfLife = 3 * time.Second
	// initialPrior is the prior probability that an instance is unhealthy before anything was observed. What is observed at
	// an instance whose last outcome is older than relaxTime moves it, with the weight priorWeight.
	initialPrior       = 0.1
	priorWeight        = 0.02
	minPrior, maxPrior = 0.02, 0.35
	// maxSuspectShare is the largest share of a service's instances that may be out of use because of suspicion.
	maxSuspectShare = 0.3
	// refreshInterval is the interval at which suspicion is recomputed when no outcome changes it. It is short
	// compared with relaxTime, so evidence hardly decays in between.
	refreshInterval = 20 * time.Millisecond
)

// maxReportedOutcomes is how many outcomes of each kind are counted from one report.
const maxReportedOutcomes = 8

// Report has the outcomes that a peer observed at an instance.
type Report struct {
	Instance string
	// Counts is the number of requests by outcome.
	Counts map[Outcome]int
	// RelativeLatency is the mean latency of its answers as a multiple of the usual latency of their routes, or zero.
	RelativeLatency float64
}

// ApplyReport applies the report of a peer. It ignores instances that are not in the list.
func (b *Balancer) ApplyReport(now time.Time, r Report) {
	s := b.instances[r.Instance]
	if s == nil {
		return
	}
	if r.Counts[OutcomeShed] > 0 {
		s.fullUntil = now.Add(fullTTL)
	}
	// Answers come first: failures in the same report are taken to be more recent.
	for o := range OutcomeMoved + 1 {
		b.traffic.count(now, o, r.Counts[o])
		for range min(r.Counts[o], maxReportedOutcomes) {
			b.addEvidence(now, s, llr(o, false))
		}
	}
	if r.Counts[OutcomeAnswered] > 0 && r.RelativeLatency > 0 {
		s.addLatency(r.RelativeLatency)
	}
}

// refreshSuspects recomputes which instances are out of use because of suspicion. If more than the share
// maxSuspectShare reach suspectThreshold, only those with the most evidence are.
func (b *Balancer) refreshSuspects(now time.Time) {
	if !b.refreshedAt.IsZero() && now.Sub(b.refreshedAt) < refreshInterval {
		return
	}
	b.refreshedAt = now
	var suspects []*state
	for _, s := range b.order {
		s.suspect = false
		if b.decay(now, s); s.evidence >= suspectThreshold {
			suspects = append(suspects, s)
		}
	}
	maxSuspects := int(maxSuspectShare * float64(len(b.order)))
	if len(suspects) > maxSuspects {
		slices.SortFunc(suspects, func(x, y *state) int { return cmp.Compare(y.evidence, x.evidence) })
		suspects = suspects[:maxSuspects]
	}
	for _, s := range suspects {
		s.suspect = true
	}
	b.local, b.remote = b.local[:0], b.remote[:0]
	for _, s := range b.order {
		switch {
		case s.suspect:
		case s.Domain == b.domain:
			b.local = append(b.local, s)
		default:
			b.remote = append(b.remote, s)
		}
	}
	b.updateCrossingCost(now)
}

// decay moves the probability that the instance is unhealthy toward the prior, and the relative latency toward 1.
func (b *Balancer) decay(now time.Time, s *state) {
	d := now.Sub(s.decayedAt)
	if d <= 0 {
		return
	}
	s.decayedAt = now
	s.relativeLatency = 1 + (s.relativeLatency-1)*math.Exp2(-d.Seconds()/halfLife.Seconds())
	if s.evidence == 0 {
		return
	}
	if now.Sub(s.evidenceAt) > evidenceTTL {
		s.evidence = 0
		return
	}
	p := b.prior + (b.unhealthy(s)-b.prior)*math.Exp(-d.Seconds()/relaxTime.Seconds())
	s.evidence = logOdds(p) - logOdds(b.prior)
}

// unhealthy returns the probability that an instance is unhealthy.
func (b *Balancer) unhealthy(s *state) float64 {
	if s.evidence == 0 {
		return b.prior
	}
	return 1 / (1 + math.Exp(-s.evidence-logOdds(b.prior)))
}

// Prior returns the probability that an instance of which nothing recent is known is unhealthy.
func (b *Balancer) Prior() float64 { return b.prior }

func logOdds(p float64) float64 { return math.Log(p / (1 - p)) }

// updatePrior moves the prior toward what was just observed at an instance of which nothing recent was known.
func (b *Balancer) updatePrior(s *state) {
	b.prior = max(minPrior, min(maxPrior, b.prior+priorWeight*(b.unhealthy(s)-b.prior)))
}

// addEvidence adds the log-likelihood ratio r to the evidence against an instance.
func (b *Balancer) addEvidence(now time.Time, s *state, r float64) {
	b.decay(now, s)
	s.lastActivityAt = now
	s.evidence = max(minEvidence, min(maxEvidence, s.evidence+r))
	if r != 0 {
		if now.Sub(s.evidenceAt) > relaxTime {
			b.updatePrior(s)
		}
		s.evidenceAt = now
	}
	if s.suspect != (s.evidence >= suspectThreshold) {
		b.refreshedAt = time.Time{}
	}
}
