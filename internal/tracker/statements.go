package tracker

import (
	"time"

	"go.uber.org/zap"
)

// Statement is what an instance stated of itself in its responses.
type Statement struct {
	Instance string
	// Incarnation is that of the instance when it stated this.
	Incarnation int64
	// Rate is the limit of requests from all VMs together, in requests per second; zero if the instance stated none.
	Rate float64
	// AsOf is when the response that stated the rate was received.
	AsOf time.Time
	// Leaving is set if the instance stated that it leaves. That holds for the incarnation, whatever it states later.
	Leaving bool
}

// supersedes reports whether s states a later rate than o of the same instance. Of two that cannot be ordered, the lower
// limit holds.
func (s Statement) supersedes(o Statement) bool {
	switch {
	case s.Incarnation != o.Incarnation:
		return s.Incarnation > o.Incarnation
	case !s.AsOf.Equal(o.AsOf):
		return s.AsOf.After(o.AsOf)
	}
	return s.Rate > 0 && (o.Rate == 0 || s.Rate < o.Rate)
}

// sameContent reports whether s has the same consequences as o. What another incarnation stated has none for this one.
func (s Statement) sameContent(o Statement) bool {
	states := s.Rate > 0 || s.Leaving
	return s.Rate == o.Rate && s.Leaving == o.Leaving && (s.Incarnation == o.Incarnation || !states)
}

// statementRecord is what is known of an instance's statements.
type statementRecord struct {
	Statement
	// sequence is the tracker's sequence number of the last change, and observedSequence that of the last change that came in
	// a response to this VM.
	sequence, observedSequence uint64
}

// ObserveLimit records what a response of an incarnation of an instance stated about its limit; a rate of zero means that it
// stated none. The request was sent at the given time, and the response was received just now. It reports whether the limit
// changed.
func (t *Tracker) ObserveLimit(instance string, incarnation int64, rate float64, sentAt time.Time) bool {
	t.mu.Lock()
	s := Statement{Instance: instance, Incarnation: incarnation, Rate: rate, AsOf: t.clock.Now()}
	known := t.statements[instance]
	// A response without a limit may be older than one with a limit that was received first.
	if rate == 0 && (known == nil || !sentAt.After(known.AsOf)) {
		t.mu.Unlock()
		return false
	}
	changed := t.observe(s)
	t.mu.Unlock()
	t.notifyInstancesChange()
	return changed
}

// MarkLeaving records that an incarnation of an instance stated in a response to this VM that it leaves.
func (t *Tracker) MarkLeaving(instance string, incarnation int64) {
	t.mu.Lock()
	s := Statement{Instance: instance, Incarnation: incarnation, AsOf: t.clock.Now()}
	if known := t.statements[instance]; known != nil && known.Incarnation == incarnation {
		s = known.Statement
	}
	s.Leaving = true
	t.observe(s)
	t.mu.Unlock()
	t.notifyInstancesChange()
}

// observe applies a statement in a response to this VM, and reports whether anything changed. t.mu must be held.
func (t *Tracker) observe(s Statement) bool {
	changed := t.applyStatement(sourceResponse, s)
	if changed {
		t.statements[s.Instance].observedSequence = t.sequence
	}
	return changed
}

// MergeStatements merges what a peer knows of instances' statements.
func (t *Tracker) MergeStatements(peer string, ss []Statement) {
	t.mu.Lock()
	for _, s := range ss {
		t.applyStatement(peer, s)
	}
	t.mu.Unlock()
	t.notifyInstancesChange()
}

// applyStatement applies what is later in a statement than what is known, and reports whether anything changed. t.mu must
// be held.
func (t *Tracker) applyStatement(source string, s Statement) bool {
	known := t.statements[s.Instance]
	first := known == nil
	if first {
		known = &statementRecord{Statement: Statement{Instance: s.Instance, Incarnation: s.Incarnation}}
		t.statements[s.Instance] = known
	}
	before := known.Statement
	if s.Incarnation == before.Incarnation {
		s.Leaving = s.Leaving || before.Leaving
		known.Leaving = s.Leaving
	}
	if s.supersedes(before) {
		known.Statement = s
	} else if s.Rate != before.Rate {
		// The peer must learn the later statement.
		t.markStatement(known)
		if known.observedSequence > 0 {
			known.observedSequence = known.sequence
		}
	}
	if known.sameContent(before) {
		return false
	}
	t.markStatement(known)
	t.countChange(true)
	omitted := zap.Skip()
	if first && !known.Leaving {
		var ok bool
		if omitted, ok = t.startLog.statements.Allow(t.clock.Now()); !ok {
			return true
		}
	}
	t.logger.Info("instance stated", zap.String("id", s.Instance), zap.String("source", source), zap.Float64("rate", known.Rate),
		zap.Float64("rateBefore", before.Rate), zap.Bool("leaving", known.Leaving), zap.Int64("incarnation", known.Incarnation), omitted)
	return true
}

// limitRate returns the limit that an instance stated in requests per second, zero if it stated none. An instance that started again
// has stated nothing yet. t.mu must be held.
func (t *Tracker) limitRate(instance string) float64 {
	s, r := t.statements[instance], t.records[instance]
	if s == nil || r != nil && r.Incarnation > s.Incarnation {
		return 0
	}
	return s.Rate
}

// leaves reports whether an instance stated that it leaves. One that started again has not. t.mu must be held.
func (t *Tracker) leaves(r *record) bool {
	s := t.statements[r.ID]
	return s != nil && s.Leaving && s.Incarnation >= r.Incarnation
}

// ObservedStatements returns the statements that came in responses to this VM and changed after a sequence number, and the
// sequence number to continue from.
func (t *Tracker) ObservedStatements(sequence uint64) ([]Statement, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ss []Statement
	for _, s := range t.statements {
		if s.observedSequence > sequence {
			ss = append(ss, s.Statement)
		}
	}
	return ss, t.sequence
}

// expireStatements drops the statements of instances that are unknown. t.mu must be held.
func (t *Tracker) expireStatements(now time.Time) {
	for id, s := range t.statements {
		if t.records[id] == nil && now.Sub(s.AsOf) > goneTTL {
			delete(t.statements, id)
		}
	}
}
