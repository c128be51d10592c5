package relayer

import (
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// InstanceReport is what a peer observed at an instance since its last report.
type InstanceReport struct {
	balancer.Report
}

// outbox collects outcomes by instance until they are sent.
type outbox map[string]*tally

type tally struct {
	counts   [balancer.OutcomeMoved + 1]uint32
	relative float64
}

func (b outbox) tally(instance string) *tally {
	t := b[instance]
	if t == nil {
		t = &tally{}
		b[instance] = t
	}
	return t
}

// add counts one outcome.
func (b outbox) add(instance string, o balancer.Outcome, relative float64) {
	t := b.tally(instance)
	t.counts[o]++
	if o == balancer.OutcomeAnswered && relative > 0 {
		n := float64(t.counts[o])
		t.relative += (relative - t.relative) / n
	}
}

// merge adds the outcomes of a report.
func (b outbox) merge(ms []*wire.Seen) {
	for _, m := range ms {
		t := b.tally(m.GetInstance())
		for i, n := range m.GetCounts() {
			if i < len(t.counts) {
				t.counts[i] += n
			}
		}
		if m.GetRelative() > 0 {
			t.relative = float64(m.GetRelative())
		}
	}
}

func (b outbox) message() []*wire.Seen {
	ms := make([]*wire.Seen, 0, len(b))
	for i, t := range b {
		ms = append(ms, t.message(i))
	}
	return ms
}

// takeUrgent removes and returns the entries of instances with outcomes that peers need at once.
func (b outbox) takeUrgent() []*wire.Seen {
	var ms []*wire.Seen
	for i, t := range b {
		if t.urgent() {
			ms = append(ms, t.message(i))
			delete(b, i)
		}
	}
	return ms
}

func (t *tally) message(instance string) *wire.Seen {
	return &wire.Seen{Instance: instance, Counts: t.counts[:], Relative: float32(t.relative)}
}

func (t *tally) urgent() bool {
	for o, n := range t.counts {
		if n > 0 && urgent(balancer.Outcome(o)) {
			return true
		}
	}
	return false
}

func decodeReports(ms []*wire.Seen) []InstanceReport {
	ss := make([]InstanceReport, 0, len(ms))
	for _, m := range ms {
		s := InstanceReport{balancer.Report{Instance: m.GetInstance(), RelativeLatency: float64(m.GetRelative()), Counts: map[balancer.Outcome]int{}}}
		for i, n := range m.GetCounts() {
			if n > 0 && i <= int(balancer.OutcomeMoved) {
				s.Counts[balancer.Outcome(i)] = int(n)
			}
		}
		ss = append(ss, s)
	}
	return ss
}

// urgent reports whether peers need to learn of an outcome at once.
func urgent(o balancer.Outcome) bool {
	switch o {
	case balancer.OutcomeError, balancer.OutcomeBroken, balancer.OutcomeUnreachable:
		return true
	case balancer.OutcomeAnswered, balancer.OutcomeOverdue, balancer.OutcomeShed, balancer.OutcomeCanceled, balancer.OutcomeMoved:
	}
	return false
}

func anyUrgent(ms []*wire.Seen) bool {
	for _, m := range ms {
		for i, n := range m.GetCounts() {
			if n > 0 && urgent(balancer.Outcome(i)) {
				return true
			}
		}
	}
	return false
}
