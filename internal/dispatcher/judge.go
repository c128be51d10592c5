package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
)

// setCold restarts the warm-up of an instance in the detector and the scheduler. The caller must hold g.mu.
func (g *group) setCold(now time.Time, i int) {
	g.detector.SetCold(now, i)
	g.scheduler.SetCold(now, i)
}

// updateLeaving sets whether an instance is leaving: because the configuration no longer has it, because it announced
// that it is draining, or because the VM list says so. An instance that the VM list no longer reports as leaving is
// assumed not to be draining either. An instance that is back in service warms up again. The caller must hold g.mu.
func (g *group) updateLeaving(now time.Time, i int, m *member, vmLeaving bool) {
	if m.vmLeaving && !vmLeaving {
		m.draining = false
	}
	m.vmLeaving = vmLeaving
	wasLeaving := g.detector.State(i) == detector.StateLeaving
	g.detector.SetLeaving(now, i, !m.configured || m.draining || m.vmLeaving)
	if wasLeaving && g.detector.State(i) == detector.StateLive {
		g.setCold(now, i)
	}
}

// observe reports the outcome of a try to the detector, and load shedding also to the scheduler. An instance that is
// starting is paused like one that sheds load and warms up again. A try that was canceled, that got no response on a
// connection that had been idle, or that timed out early is no evidence against the instance.
func (g *group) observe(now time.Time, r *inFlightTry, d time.Duration, err error, canceled bool) {
	switch {
	case err == nil:
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeAnswered, d)
	case errors.Is(err, errShed):
		g.scheduler.Shed(now, r.instance)
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeShed, d)
	case errors.Is(err, errStarting):
		g.setCold(now, r.instance)
		g.scheduler.Shed(now, r.instance)
	case errors.Is(err, errDraining):
		g.markDrainingLocked(now, r.instance)
	case errors.Is(err, errStaleConn), canceled, g.timedOutEarly(r, d, err):
	default:
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeFailed, d)
	}
}

// timedOutEarly reports whether a try timed out before it had run for as long as a slow one.
func (g *group) timedOutEarly(r *inFlightTry, d time.Duration, err error) bool {
	slow := g.detector.SlowLatency(r.instance, r.route)
	return errors.Is(err, context.DeadlineExceeded) && slow > 0 && d < slow
}

// markDraining records that an instance announced that it is draining.
func (g *group) markDraining(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markDrainingLocked(g.clock.Now(), i)
}

// markDrainingLocked is markDraining for a caller that holds g.mu.
func (g *group) markDrainingLocked(now time.Time, i int) {
	m := g.members[i]
	m.draining = true
	g.updateLeaving(now, i, m, m.vmLeaving)
}

// tick does the work that depends on time alone: it refuses queued requests whose deadline can no longer be met,
// reports overdue tries, starts trials and probes idle instances.
func (g *group) tick(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, it := range g.scheduler.DropLate(now) {
		it.Value.state = jobDropped
		close(it.Value.started)
	}
	g.observeOverdue(now)
	g.detector.Tick(now)
	g.startQueued(now)
	g.probeIdle(ctx, now)
}

// observeOverdue reports each overdue try to the detector, once.
func (g *group) observeOverdue(now time.Time) {
	for r := range g.inFlight {
		slow := g.detector.SlowLatency(r.instance, r.route)
		age := now.Sub(r.startedAt)
		if r.overdueReported || slow == 0 || age < max(minOverdueAge, time.Duration(overdueFactor*float64(slow))) {
			continue
		}
		r.overdueReported = true
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeOverdue, age)
	}
}

// probeIdle starts a probe of each instance that has had no request or probe for probeInterval and is live or draining.
func (g *group) probeIdle(ctx context.Context, now time.Time) {
	if g.service.HealthPath == "" {
		return
	}
	for i, m := range g.members {
		// A draining backend server is probed too: only it can tell that it no longer drains.
		idle := m.configured && !m.probing && (m.draining || g.detector.State(i) == detector.StateLive)
		if !idle || now.Sub(m.usedAt) < probeInterval {
			continue
		}
		m.probing, m.usedAt = true, now
		go g.probe(ctx, i, m, g.service.HealthPath)
	}
}

func probeOutcome(err error) detector.Outcome {
	if errors.Is(err, errUnhealthy) {
		return detector.OutcomeProbeFailed
	}
	return detector.OutcomeUnreachable
}

func (g *group) probe(ctx context.Context, i int, m *member, path string) {
	draining, err := m.backend.probe(ctx, path)
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	m.probing = false
	if err != nil {
		g.detector.Observe(now, i, "", probeOutcome(err), 0)
		return
	}
	if m.draining != draining {
		m.draining = draining
		g.updateLeaving(now, i, m, m.vmLeaving)
	}
	g.detector.Observe(now, i, "", detector.OutcomeProbeAnswered, 0)
}
