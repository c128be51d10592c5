package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
)

func (g *group) cold(now time.Time, i int) {
	g.detector.SetCold(now, i)
	g.scheduler.SetCold(now, i)
}

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

// judge passes what became of a try to the detector.
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

// hurried reports whether a try timed out before it can be called slow.
func (g *group) hurried(r *running, d time.Duration, err error) bool {
	slow := g.detector.SlowLatency(r.instance, r.route)
	return errors.Is(err, context.DeadlineExceeded) && slow > 0 && d < slow
}

// drain notes that an instance says it is going away.
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

// look handles what time alone brings: deadlines, trials, overdue tries and probes.
func (g *group) look(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, it := range g.scheduler.DropLate(now) {
		it.Value.state = jobRefused
		close(it.Value.started)
	}
	g.overdue(now)
	g.detector.Tick(now)
	g.pump(now)
	g.probeIdle(ctx, now)
}

func (g *group) overdue(now time.Time) {
	for r := range g.running {
		slow := g.detector.SlowLatency(r.instance, r.route)
		age := now.Sub(r.began)
		if r.reported || slow == 0 || age < max(minOverdue, time.Duration(overdueFactor*float64(slow))) {
			continue
		}
		r.reported = true
		g.detector.Observe(now, r.instance, r.route, detector.OutcomeOverdue, age)
	}
}

func (g *group) probeIdle(ctx context.Context, now time.Time) {
	if g.service.HealthPath == "" {
		return
	}
	for i, m := range g.members {
		// A draining server is asked too, for only it can say that it is back.
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
