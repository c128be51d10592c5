package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
)

// cold restarts the warm-up of an instance in the detector and the scheduler.
func (g *group) cold(now time.Time, i int) {
	g.detector.SetCold(now, i)
	g.scheduler.SetCold(now, i)
}

// judgeLeaving sets whether an instance is leaving: because the configuration no longer has it, because it announced
// that it is draining, or because the VM list says so. An instance that the VM list no longer reports as leaving is
// assumed not to be draining either. An instance that is back in service warms up again.
func (g *group) judgeLeaving(now time.Time, i int, m *member, listLeaving bool) {
	if m.leaving && !listLeaving {
		m.drains = false
	}
	m.leaving = listLeaving
	was := g.detector.State(i) == detector.StateLeaving
	g.detector.SetLeaving(now, i, !m.listed || m.drains || m.leaving)
	if was && g.detector.State(i) == detector.StateLive {
		g.cold(now, i)
	}
}

// judge reports the outcome of a try to the detector, and load shedding also to the scheduler. An instance that is
// starting is paused like one that sheds load and warms up again. A try that was canceled, that got no response on a
// connection that had been idle, or that timed out early is no evidence against the instance.
func (g *group) judge(now time.Time, r *running, d time.Duration, err error, canceled bool) {
	switch {
	case err == nil:
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeAnswered, d)
	case errors.Is(err, errShed):
		g.scheduler.Shed(now, r.instance)
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeShed, d)
	case errors.Is(err, errStarting):
		g.cold(now, r.instance)
		g.scheduler.Shed(now, r.instance)
	case errors.Is(err, errDraining):
		g.drains(now, r.instance)
	case errors.Is(err, errSilent), canceled, g.hurried(r, d, err):
	default:
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeFailed, d)
	}
}

// hurried reports whether a try timed out before it had run for as long as a slow one.
func (g *group) hurried(r *running, d time.Duration, err error) bool {
	slow := g.detector.Slow(r.instance, r.route)
	return errors.Is(err, context.DeadlineExceeded) && slow > 0 && d < slow
}

// drain records that an instance announced that it is draining.
func (g *group) drain(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drains(g.clock.Now(), i)
}

func (g *group) drains(now time.Time, i int) {
	m := g.members[i]
	m.drains = true
	g.judgeLeaving(now, i, m, m.leaving)
}

// look does the work that depends on time alone: it refuses queued requests whose deadline can no longer be met,
// reports overdue tries, starts trials and probes idle instances.
func (g *group) look(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, it := range g.scheduler.Expired(now) {
		it.Value.state = jobRefused
		close(it.Value.started)
	}
	g.overdue(now)
	g.detector.Tick(now)
	g.pump(now)
	g.probeIdle(ctx, now)
}

// overdue reports each try that has become overdue to the detector, once.
func (g *group) overdue(now time.Time) {
	for r := range g.running {
		slow := g.detector.Slow(r.instance, r.route)
		age := now.Sub(r.began)
		if r.reported || slow == 0 || age < max(minOverdue, time.Duration(overdueFactor*float64(slow))) {
			continue
		}
		r.reported = true
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeOverdue, age)
	}
}

// probeIdle starts a probe of each instance that has had no request or probe for probePeriod and is live or draining.
func (g *group) probeIdle(ctx context.Context, now time.Time) {
	if g.service.HealthPath == "" {
		return
	}
	for i, m := range g.members {
		// A draining backend server is probed too: only it can tell that it no longer drains.
		idle := m.listed && !m.probing && (m.drains || g.detector.State(i) == detector.StateLive)
		if !idle || now.Sub(m.usedAt) < probePeriod {
			continue
		}
		m.probing, m.usedAt = true, now
		go g.probe(ctx, i, m, g.service.HealthPath)
	}
}

func probeOutcome(err error) detector.Outcome {
	if errors.Is(err, errUnwell) {
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
	if m.drains != draining {
		m.drains = draining
		g.judgeLeaving(now, i, m, m.leaving)
	}
	g.detector.Observe(now, i, "", detector.OutcomeProbeAnswered, 0)
}
