package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// suspectThreshold is the evidence at which an instance is suspected. One broken connection or two errors reach it.
	suspectThreshold = 4.5
	// maxEvidence caps the evidence, so that about five answers clear a recovered instance of suspicion.
	maxEvidence = 11.0
	// minEvidence limits how far past answers lower the evidence, so that a new fault is detected immediately.
	minEvidence = -2.0
	// halfLife is the half-life of evidence and of deviations of relative latency. Faults on this platform last a few
	// seconds.
	halfLife = 3 * time.Second
	// maxSuspectShare is the largest share of a service's instances that may be out of use because of suspicion.
	maxSuspectShare = 0.3
	// refreshInterval is the interval at which suspicion is recomputed when no outcome changes it. It is short
	// compared with halfLife, so evidence hardly decays in between.
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
	if r.Counts[OutcomeAnswered] > 0 {
		s.lastAnswerAt = now
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
		if s.decay(now); s.evidence >= suspectThreshold {
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
}

// decay moves the evidence toward 0 and the relative latency toward 1, both with half-life halfLife.
func (s *state) decay(now time.Time) {
	if d := now.Sub(s.decayedAt); d > 0 {
		f := math.Exp2(-d.Seconds() / halfLife.Seconds())
		s.evidence *= f
		s.relativeLatency = 1 + (s.relativeLatency-1)*f
		s.decayedAt = now
	}
}

// addEvidence adds the log-likelihood ratio r to the evidence against an instance.
func (b *Balancer) addEvidence(now time.Time, s *state, r float64) {
	s.decay(now)
	s.lastActivityAt = now
	s.evidence = max(minEvidence, min(maxEvidence, s.evidence+r))
	if s.suspect != (s.evidence >= suspectThreshold) {
		b.refreshedAt = time.Time{}
	}
}
