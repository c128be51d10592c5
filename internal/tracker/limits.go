package tracker

import (
	"time"

	"go.uber.org/zap"
)

// Limit is what an instance stated about the request rate that it accepts from all VMs together.
type Limit struct {
	Instance string
	// Incarnation is that of the instance when it stated the limit.
	Incarnation int64
	// Rate is in requests per second; zero if the instance stated that it has no limit.
	Rate float64
	// AsOf is when the response that stated it was received.
	AsOf time.Time
}

// supersedes reports whether l is a later statement than o of the same instance. Of two that cannot be ordered, the lower
// limit holds.
func (l Limit) supersedes(o Limit) bool {
	switch {
	case l.Incarnation != o.Incarnation:
		return l.Incarnation > o.Incarnation
	case !l.AsOf.Equal(o.AsOf):
		return l.AsOf.After(o.AsOf)
	}
	return l.Rate > 0 && (o.Rate == 0 || l.Rate < o.Rate)
}

// limitRecord is the latest statement of an instance that is known.
type limitRecord struct {
	Limit
	// sequence is the tracker's sequence number of the last change, and observedSequence that of the last change that came in
	// a response to this VM.
	sequence, observedSequence uint64
}

// ObserveLimit records what a response of an instance stated about its limit; a rate of zero means that it stated none. The
// request was sent at the given time, and the response was received just now. It reports whether the limit changed.
func (t *Tracker) ObserveLimit(instance string, rate float64, sentAt time.Time) bool {
	t.mu.Lock()
	l := Limit{Instance: instance, Rate: rate, AsOf: t.clock.Now()}
	if r := t.records[instance]; r != nil {
		l.Incarnation = r.Incarnation
	}
	known := t.limits[instance]
	// A response without a limit may be older than one with a limit that was received first.
	if rate == 0 && (known == nil || !sentAt.After(known.AsOf)) {
		t.mu.Unlock()
		return false
	}
	changed := t.applyLimit(sourceResponse, l)
	if changed {
		t.limits[instance].observedSequence = t.sequence
	}
	t.mu.Unlock()
	t.notifyInstancesChange()
	return changed
}

// MergeLimits merges what a peer knows of instances' limits.
func (t *Tracker) MergeLimits(peer string, ls []Limit) {
	t.mu.Lock()
	for _, l := range ls {
		t.applyLimit(peer, l)
	}
	t.mu.Unlock()
	t.notifyInstancesChange()
}

// applyLimit applies a statement if it is the latest, and reports whether the instance's limit changed. t.mu must be held.
func (t *Tracker) applyLimit(source string, l Limit) bool {
	known := t.limits[l.Instance]
	if known == nil {
		known = &limitRecord{}
		t.limits[l.Instance] = known
	} else if !l.supersedes(known.Limit) {
		if l.Rate != known.Rate {
			// The peer must learn the later statement.
			t.markLimit(known)
			if known.observedSequence > 0 {
				known.observedSequence = known.sequence
			}
		}
		return false
	}
	before := known.Rate
	known.Limit = l
	if before == l.Rate {
		return false
	}
	t.markLimit(known)
	t.countChange(true)
	t.logger.Info("instance limit", zap.String("id", l.Instance), zap.String("source", source), zap.Float64("rate", l.Rate),
		zap.Float64("before", before))
	return true
}

// Limit returns the limit of an instance and the instance's failure domain, which is empty if unknown; ok is false if the
// instance has no limit.
func (t *Tracker) Limit(instance string) (l Limit, domain string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[instance]
	if r != nil {
		domain = r.Domain
	}
	known := t.limits[instance]
	if known == nil || t.limitRate(instance) == 0 {
		return Limit{}, domain, false
	}
	return known.Limit, domain, true
}

// limitRate returns the limit of an instance in requests per second, zero if it has none. An instance that started again
// has stated nothing yet. t.mu must be held.
func (t *Tracker) limitRate(instance string) float64 {
	l, r := t.limits[instance], t.records[instance]
	if l == nil || r != nil && r.Incarnation > l.Incarnation {
		return 0
	}
	return l.Rate
}

// ObservedLimits returns the limits that came in responses to this VM and changed after a sequence number, and the sequence
// number to continue from.
func (t *Tracker) ObservedLimits(sequence uint64) ([]Limit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ls []Limit
	for _, l := range t.limits {
		if l.observedSequence > sequence {
			ls = append(ls, l.Limit)
		}
	}
	return ls, t.sequence
}

// expireLimits drops the limits of instances that are unknown. t.mu must be held.
func (t *Tracker) expireLimits(now time.Time) {
	for id, l := range t.limits {
		if t.records[id] == nil && now.Sub(l.AsOf) > goneTTL {
			delete(t.limits, id)
		}
	}
}
