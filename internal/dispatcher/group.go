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

// member is one instance of a group. Its index in the group is also its index in the detector and the scheduler. The
// group's lock guards all fields but backend, which does not change.
type member struct {
	backend *backend
	// configured reports whether the instance is in the configuration.
	configured bool
	// draining reports whether the instance announced that it is draining.
	draining bool
	// vmLeaving reports whether the instance is about to stop according to the VM list.
	vmLeaving bool
	// usedAt is when the instance last got a queued request or a probe.
	usedAt time.Time
	// probing reports whether a probe is in flight.
	probing bool
}

// job is a request that is queued or has been assigned to an instance.
type job struct {
	request Request
	// avoid is the instance of the previous try, or negative.
	avoid int
	// started receives the instance that the request may run on. It is closed when the request expires in the queue.
	started chan int
	// state is guarded by the group's lock.
	state jobState
}

type jobState int

const (
	jobQueued jobState = iota
	jobAssigned
	jobDropped
)

// inFlightTry is a try in flight.
type inFlightTry struct {
	instance  int
	route     string
	startedAt time.Time
	// overdueReported reports whether the try has been reported to the detector as overdue.
	overdueReported bool
}

// group dispatches requests to some of a service's instances. An instance that the configuration no longer has stays a
// member, so that the indexes do not change.
type group struct {
	// mu guards the detector, the scheduler, the members and all fields that change.
	mu            sync.Mutex
	name          string
	clock         clockwork.Clock
	logger        *zap.Logger
	asserter      *asserter.Asserter
	detector      *detector.Detector
	scheduler     *scheduler.Scheduler[*job]
	members       []*member
	service       merger.Service
	inFlight      map[*inFlightTry]struct{}
	retryBudget   float64
	usedAt        time.Time
	events        []detector.Event
	onStateChange func(detector.Event)
	stop          context.CancelFunc
}

func newGroup(name string, s merger.Service, instances []merger.Instance, d *Dispatcher) *group {
	g := &group{
		name: name, clock: d.Clock, logger: d.Logger.With(zap.String("group", name)), asserter: d.Asserter,
		inFlight: map[*inFlightTry]struct{}{}, retryBudget: retryBurst, onStateChange: d.OnStateChange,
	}
	g.detector = detector.New(s.MinLive(), d.Asserter, g.recordEvent)
	random := rand.New(rand.NewPCG(d.Seed, uint64(len(name))))
	g.scheduler = scheduler.New(maxQueuedPerAccount, schedulerRequest, g.eligibility, random, d.Asserter)
	g.update(s, instances, d.Leaving)
	return g
}

func schedulerRequest(j *job) scheduler.Request {
	return scheduler.Request{Idempotent: j.request.Idempotent, Avoid: j.avoid}
}

// maxEvents bounds the state changes that a group keeps for dumps.
const maxEvents = 64

// recordEvent keeps, logs and passes on a change of an instance's state. The detector calls it with g.mu held.
func (g *group) recordEvent(e detector.Event) {
	g.events = append(g.events, e)
	g.events = g.events[max(0, len(g.events)-maxEvents):]
	g.logger.Info("backend server changed state", zap.String("instance", e.Instance), zap.Stringer("from", e.From),
		zap.Stringer("to", e.To), zap.Float64("evidence", e.Evidence), zap.Float64("threshold", detector.Threshold))
	g.onStateChange(e)
}

func (g *group) eligibility(i int) scheduler.Eligibility { return Eligibility(g.detector.State(i)) }

// Eligibility returns which requests an instance may get in a detector state.
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

// update applies the configuration and the VM list to the group's instances.
func (g *group) update(s merger.Service, instances []merger.Instance, leaving func(netip.AddrPort) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.service = s
	configured := map[netip.AddrPort]bool{}
	for _, in := range instances {
		configured[in.Address] = true
		g.addInstance(now, in.Address, s.Slots)
	}
	for i, m := range g.members {
		m.configured = configured[m.backend.address]
		g.scheduler.SetSize(i, s.Slots)
		g.updateLeaving(now, i, m, leaving(m.backend.address))
	}
	g.detector.SetFloor(now, s.MinLive())
	g.startQueued(now)
}

func (g *group) addInstance(now time.Time, a netip.AddrPort, slots int) {
	for _, m := range g.members {
		if m.backend.address == a {
			return
		}
	}
	g.members = append(g.members, &member{backend: newBackend(a), usedAt: now})
	i := g.detector.Add(now, a.String())
	g.scheduler.Add(now, slots, false)
	if !g.usedAt.IsZero() {
		// An instance that joins a group that has had requests is assumed to have just started, unlike the
		// instances of a new group.
		g.setCold(now, i)
	}
}

// submit queues a request, waits until it is given a slot and returns that slot's instance. It returns an error if the
// scheduler refuses the request, the request's deadline can no longer be met, or the context ends. Without an error the
// slot must be freed by finishTry.
func (g *group) submit(ctx context.Context, r Request, avoid int) (int, error) {
	j := &job{request: r, avoid: avoid, started: make(chan int, 1)}
	g.mu.Lock()
	now := g.clock.Now()
	g.usedAt = now
	err := g.scheduler.Submit(now, scheduler.Item[*job]{Account: r.Account, Weight: r.Weight, Value: j, Deadline: r.Deadline})
	if err == nil {
		g.startQueued(now)
	}
	g.mu.Unlock()
	if err != nil {
		return 0, err
	}
	select {
	case i, ok := <-j.started:
		return g.slotResult(i, ok)
	case <-ctx.Done():
	}
	if g.withdraw(j) {
		return 0, ctx.Err()
	}
	i, ok := <-j.started
	if ok {
		g.releaseSlot(i)
	}
	return 0, ctx.Err()
}

// slotResult returns the instance received from job.started, or ErrDeadline if the channel was closed.
func (g *group) slotResult(i int, ok bool) (int, error) {
	if !ok {
		return 0, scheduler.ErrDeadline
	}
	return i, nil
}

// withdraw removes a job from the queue and reports whether it was still queued.
func (g *group) withdraw(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.state != jobQueued {
		return false
	}
	j.state = jobDropped
	g.scheduler.Withdraw(func(o *job) bool { return o == j })
	return true
}

// releaseSlot frees the slot of a request that was given one but is not sent. It passes the mean service time to the
// scheduler, so that the mean does not change.
func (g *group) releaseSlot(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Finish(i, g.scheduler.MeanServiceTime())
	g.startQueued(g.clock.Now())
}

// startQueued assigns queued requests to instances while there are free slots. The caller must hold g.mu.
func (g *group) startQueued(now time.Time) {
	for {
		it, i, ok := g.scheduler.Next(now)
		if !ok {
			return
		}
		g.members[i].usedAt = now
		j := it.Value
		g.asserter.Check(j.state == jobQueued, asserter.RuleNotRun, "request %s starts in state %d", j.request.ID, j.state)
		j.state = jobAssigned
		j.started <- i
	}
}

// beginTry records the start of a try at an instance.
func (g *group) beginTry(i int, route string) *inFlightTry {
	r := &inFlightTry{instance: i, route: route, startedAt: g.clock.Now()}
	g.mu.Lock()
	g.inFlight[r] = struct{}{}
	g.mu.Unlock()
	return r
}

// finishTry records the end of a try, frees its slot and reports its outcome to the detector.
func (g *group) finishTry(r *inFlightTry, err error, canceled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	d := now.Sub(r.startedAt)
	delete(g.inFlight, r)
	g.scheduler.Finish(r.instance, d)
	g.observe(now, r, d, err, canceled)
	g.startQueued(now)
}

// reserveSlot takes a free slot for a hedge, if there is one, and returns its instance. The scheduler picks avoid only
// if no other instance is eligible.
func (g *group) reserveSlot(r Request, avoid int) (int, bool) {
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

// addRetryCredit adds the share of a new idempotent request to the retry budget.
func (g *group) addRetryCredit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget = min(retryBurst, g.retryBudget+retryRatio)
}

// takeRetryCredit takes one retry or hedge from the retry budget and reports whether there was one.
func (g *group) takeRetryCredit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retryBudget < 1 {
		return false
	}
	g.retryBudget--
	return true
}

// hedgeDelay returns how long a try may run before it is hedged, or zero if too little is known of the route's
// latency. A try at an instance on trial is hedged earlier.
func (g *group) hedgeDelay(i int, route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.detector.Slow(i, route)
	if d == 0 {
		return 0
	}
	if g.detector.State(i) == detector.StateTrial {
		return max(minOverdueAge, d)
	}
	return max(minOverdueAge, time.Duration(overdueFactor*float64(d)))
}

// idle reports whether no request is queued or in flight.
func (g *group) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Len() == 0 && len(g.inFlight) == 0
}

// close stops the group's periodic work and closes its idle connections.
func (g *group) close() {
	g.stop()
	for _, m := range g.members {
		m.backend.close()
	}
}
