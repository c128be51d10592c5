package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

// member is one instance of a group. Its index is the same in the detector and the scheduler.
type member struct {
	backend *backend
	// listed says that the configuration has the instance.
	listed bool
	// drains says that the instance itself said so.
	drains  bool
	leaving bool
	usedAt  time.Time
	probing bool
}

// job is a request that waits or runs.
type job struct {
	request Request
	avoid   int
	started chan int
	// state is guarded by the group's lock.
	state jobState
}

type jobState int

const (
	jobWaiting jobState = iota
	jobRunning
	jobRefused
)

// running is a try that runs, watched for being overdue.
type running struct {
	instance int
	route    string
	began    time.Time
	reported bool
}

// group dispatches for some instances of a service.
type group struct {
	mu        sync.Mutex
	name      string
	clock     clockwork.Clock
	logger    *zap.Logger
	asserter  *asserter.Asserter
	detector  *detector.Detector
	scheduler *scheduler.Scheduler[*job]
	members   []*member
	service   merger.Service
	running   map[*running]struct{}
	budget    float64
	usedAt    time.Time
	events    []detector.Event
	record    func(detector.Event)
	stop      context.CancelFunc
}

func newGroup(name string, s merger.Service, is []merger.Instance, d *Dispatcher) *group {
	g := &group{
		name: name, clock: d.Clock, logger: d.Logger.With(zap.String("group", name)), asserter: d.Asserter,
		running: map[*running]struct{}{}, budget: retryBurst, record: d.OnStateChange,
	}
	g.detector = detector.New(s.MinLive(), d.Asserter, g.note)
	random := rand.New(rand.NewPCG(d.Seed, uint64(len(name))))
	g.scheduler = scheduler.New(maxQueue, scheduled, g.eligible, random, d.Asserter)
	g.update(s, is, d.Leaving)
	return g
}

func scheduled(j *job) scheduler.Request {
	return scheduler.Request{Idempotent: j.request.Idempotent, Avoid: j.avoid}
}

// maxEvents bounds the changes of state that a dump shows.
const maxEvents = 64

func (g *group) note(e detector.Event) {
	g.events = append(g.events, e)
	g.events = g.events[max(0, len(g.events)-maxEvents):]
	g.logger.Info("backend server judged", zap.String("instance", e.Instance), zap.Stringer("from", e.From),
		zap.Stringer("to", e.To), zap.Float64("evidence", e.Evidence), zap.Float64("threshold", detector.Threshold))
	g.record(e)
}

func (g *group) eligible(i int) scheduler.Eligibility { return Eligibility(g.detector.State(i)) }

// Eligibility returns which requests an instance in a state of the detector may get.
func Eligibility(s detector.State) scheduler.Eligibility {
	switch s {
	case detector.StateLive:
		return scheduler.EligibilityAll
	case detector.StateTrial:
		return scheduler.EligibilityTrial
	case detector.StateEjected, detector.StateLeaving:
	}
	return scheduler.EligibilityNone
}

// update takes the group's instances from the configuration and the VM list.
func (g *group) update(s merger.Service, is []merger.Instance, leaving func(netip.AddrPort) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.service = s
	listed := map[netip.AddrPort]bool{}
	for _, in := range is {
		listed[in.Address] = true
		g.add(now, in.Address, s.Slots)
	}
	for i, m := range g.members {
		m.listed = listed[m.backend.address]
		g.scheduler.SetSize(i, s.Slots)
		g.judgeLeaving(now, i, m, leaving(m.backend.address))
	}
	g.detector.SetFloor(now, s.MinLive())
	g.pump(now)
}

func (g *group) add(now time.Time, a netip.AddrPort, slots int) {
	for _, m := range g.members {
		if m.backend.address == a {
			return
		}
	}
	g.members = append(g.members, &member{backend: newBackend(a), usedAt: now})
	i := g.detector.Add(now, a.String())
	g.scheduler.Add(now, slots, false)
	if !g.usedAt.IsZero() {
		// An instance that joins a group at work is new; those of a new group are not.
		g.cold(now, i)
	}
}

// submit lets a request wait and returns the instance that it may run on, or the refusal.
func (g *group) submit(ctx context.Context, r Request, avoid int) (int, error) {
	j := &job{request: r, avoid: avoid, started: make(chan int, 1)}
	g.mu.Lock()
	now := g.clock.Now()
	g.usedAt = now
	err := g.scheduler.Submit(now, scheduler.Item[*job]{Account: r.Account, Weight: r.Weight, Value: j, Deadline: r.Deadline})
	if err == nil {
		g.pump(now)
	}
	g.mu.Unlock()
	if err != nil {
		return 0, err
	}
	select {
	case i, ok := <-j.started:
		return g.admitted(i, ok)
	case <-ctx.Done():
	}
	if g.withdraw(j) {
		return 0, ctx.Err()
	}
	i, ok := <-j.started
	if ok {
		g.abort(i)
	}
	return 0, ctx.Err()
}

func (g *group) admitted(i int, ok bool) (int, error) {
	if !ok {
		return 0, scheduler.ErrDeadline
	}
	return i, nil
}

// withdraw takes a job back and reports whether it still waited.
func (g *group) withdraw(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.state != jobWaiting {
		return false
	}
	j.state = jobRefused
	g.scheduler.Withdraw(func(o *job) bool { return o == j })
	return true
}

// abort frees the slot of a request that was given one and does not run.
func (g *group) abort(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Finish(i, g.scheduler.MeanServiceTime())
	g.pump(g.clock.Now())
}

// pump starts waiting requests while there are slots.
func (g *group) pump(now time.Time) {
	for {
		it, i, ok := g.scheduler.Next(now)
		if !ok {
			return
		}
		g.members[i].usedAt = now
		j := it.Value
		g.asserter.Check(j.state == jobWaiting, asserter.RuleNotRun, "request %s starts in state %d", j.request.ID, j.state)
		j.state = jobRunning
		j.started <- i
	}
}

// begin notes a try that starts at an instance, and finish its end.
func (g *group) begin(i int, route string) *running {
	r := &running{instance: i, route: route, began: g.clock.Now()}
	g.mu.Lock()
	g.running[r] = struct{}{}
	g.mu.Unlock()
	return r
}

func (g *group) finish(r *running, err error, canceled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	d := now.Sub(r.began)
	delete(g.running, r)
	g.scheduler.Finish(r.instance, d)
	g.judge(now, r, d, err, canceled)
	g.pump(now)
}

// choose takes a slot for a second try away from an instance, if one is free.
func (g *group) choose(r Request, avoid int) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	i := g.scheduler.Choose(now, scheduler.Request{Idempotent: r.Idempotent, Avoid: avoid})
	if i < 0 {
		return 0, false
	}
	g.scheduler.Start(now, i)
	return i, true
}

// earn adds the share of a new request to the budget of second tries.
func (g *group) earn() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget = min(retryBurst, g.budget+retryShare)
}

// spend takes a second try from the budget.
func (g *group) spend() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget < 1 {
		return false
	}
	g.budget--
	return true
}

// hedgeAfter returns how long a try may run before a second one is worth its cost.
func (g *group) hedgeAfter(i int, route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.detector.Slow(i, route)
	if d == 0 {
		return 0
	}
	if g.detector.State(i) == detector.StateTrial {
		return max(minOverdue, d)
	}
	return max(minOverdue, time.Duration(overdueFactor*float64(d)))
}

// quiet reports whether nothing waits or runs.
func (g *group) quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Len() == 0 && len(g.running) == 0
}

func (g *group) close() {
	g.stop()
	for _, m := range g.members {
		m.backend.close()
	}
}
