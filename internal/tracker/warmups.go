package tracker

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

const (
	// warmupTolerance is by how much two reports of the time at which an instance is warm may differ without saying different
	// things: each counts from when it was read.
	warmupTolerance = time.Second
	// returnRampTime is how long the instances of a failure domain count as warming up after its drain ended. They have no
	// connections, and all VMs would take them for idle.
	returnRampTime = 2 * time.Second
)

// Warmup says that an incarnation of an instance is warming up, until WarmAt.
type Warmup struct {
	Instance    string
	Incarnation int64
	WarmAt      time.Time
}

type warmupRecord struct {
	Warmup
	// sequence is the tracker's sequence number of the last change.
	sequence uint64
}

// PresumeWarmup records that an instance may have just started again, if its service has a warm-up rate, and reports whether that
// was not known.
func (t *Tracker) PresumeWarmup(instance string) bool {
	t.mu.Lock()
	w, ok := t.presumedWarmup(instance)
	changed := ok && t.applyWarmup(sourceOutcomes, w)
	t.mu.Unlock()
	t.notifyInstancesChange()
	return changed
}

// presumedWarmup returns the warm-up of an instance that starts now, and the time by which applyWarmup may find it not notably
// later than a former one. t.mu must be held.
func (t *Tracker) presumedWarmup(instance string) (w Warmup, ok bool) {
	r := t.records[instance]
	if r == nil {
		return Warmup{}, false
	}
	s, ok := t.serviceWarmup(r.Service)
	if !ok {
		return Warmup{}, false
	}
	return Warmup{Instance: instance, Incarnation: r.Incarnation, WarmAt: t.clock.Now().Add(s.Warmup + warmupTolerance)}, true
}

// MergeWarmups merges the warm-ups that a peer knows.
func (t *Tracker) MergeWarmups(peer string, ws []Warmup) {
	if len(ws) == 0 {
		return
	}
	t.mu.Lock()
	for _, w := range ws {
		t.applyWarmup(peer, w)
	}
	t.mu.Unlock()
	t.notifyInstancesChange()
}

// applyWarmup applies a warm-up that ends notably later than what is known. t.mu must be held.
func (t *Tracker) applyWarmup(source string, w Warmup) bool {
	now := t.clock.Now()
	if !w.WarmAt.After(now) {
		return false
	}
	r, known := t.records[w.Instance], t.warmups[w.Instance]
	switch {
	case r != nil && r.Incarnation > w.Incarnation, known != nil && known.Incarnation > w.Incarnation:
		return false
	case r != nil && r.Incarnation == w.Incarnation && w.WarmAt.Before(r.WarmAt.Add(warmupTolerance)):
		return false
	case known != nil && known.Incarnation == w.Incarnation && w.WarmAt.Before(known.WarmAt.Add(warmupTolerance)) && now.Before(known.WarmAt):
		return false
	}
	known = &warmupRecord{Warmup: w, sequence: t.recordChange()}
	t.warmups[w.Instance] = known
	t.countChange(true)
	t.logger.Info("instance warms up", zap.String("id", w.Instance), zap.Int64("incarnation", w.Incarnation), zap.String("source", source),
		zap.Duration("for", w.WarmAt.Sub(now)))
	return true
}

// appendWarmups appends the warm-ups that changed after a sequence number. t.mu must be held.
func (t *Tracker) appendWarmups(c *Changes, sequence uint64) {
	for _, w := range t.warmups {
		if w.sequence > sequence {
			c.Warmups = append(c.Warmups, w.Warmup)
		}
	}
}

// warmupChanged reports whether a report of an instance whose service has a warm-up rate says something else of its warm-up
// than an earlier one. t.mu must be held.
func (t *Tracker) warmupChanged(previous, e Entry) bool {
	if _, ok := t.serviceWarmup(e.Service); !ok {
		return false
	}
	now := t.clock.Now()
	warming, warmed := now.Before(e.WarmAt), now.Before(previous.WarmAt)
	return warming != warmed || warming && e.WarmAt.Sub(previous.WarmAt).Abs() > warmupTolerance
}

// serviceWarmup returns a service that limits requests to instances that warm up. t.mu must be held.
func (t *Tracker) serviceWarmup(service string) (s *router.Service, ok bool) {
	if t.table == nil {
		return nil, false
	}
	s = t.table.Service(service)
	return s, s != nil && s.WarmupRate > 0
}

// warmAt returns when an instance will be warm. t.mu must be held.
func (t *Tracker) warmAt(r *record) time.Time {
	if w := t.warmups[r.ID]; w != nil && w.Incarnation >= r.Incarnation {
		return later(r.WarmAt, w.WarmAt)
	}
	return r.WarmAt
}

// warmupRate returns the limit of an instance because it is warming up, zero if it has none. t.mu must be held.
func (t *Tracker) warmupRate(r *record) float64 {
	if s, ok := t.serviceWarmup(r.Service); ok && t.clock.Now().Before(t.warmAt(r)) {
		return s.WarmupRate
	}
	return 0
}

// mayGetRequests reports whether an instance may get new requests. t.mu must be held.
func (t *Tracker) mayGetRequests(r *record) bool {
	return r.usable() && !t.leaves(r) && !t.drained(r.Domain)
}

// balanced returns an instance as the balancer needs it. t.mu must be held.
func (t *Tracker) balanced(r *record) balancer.Instance {
	i := r.Instance
	i.Limit = t.limitRate(r.ID)
	i.WarmAt = t.warmAt(r)
	if w := t.warmupRate(r); w > 0 {
		if i.Limit == 0 || w < i.Limit {
			i.Limit = w
		}
		if t.nextWarmAt.IsZero() || i.WarmAt.Before(t.nextWarmAt) {
			t.nextWarmAt = i.WarmAt
		}
	}
	if at, ok := t.returnedAt[r.Domain]; ok {
		i.WarmAt = later(i.WarmAt, at.Add(returnRampTime))
	}
	return i
}

// expireWarmups drops the warm-ups that ended, and reports whether an instance lost a limit because it is warm now. t.mu must
// be held.
func (t *Tracker) expireWarmups() bool {
	now := t.clock.Now()
	for id, w := range t.warmups {
		if !now.Before(w.WarmAt) {
			delete(t.warmups, id)
		}
	}
	if t.nextWarmAt.IsZero() || now.Before(t.nextWarmAt) {
		return false
	}
	t.nextWarmAt = time.Time{}
	return true
}

// SendLimit is the limit of the requests that all VMs together may send to an instance.
type SendLimit struct {
	// Rate is in requests per second.
	Rate float64
	// Stated is the limit that the instance stated, the zero value if it stated none. Warmup is set, with WarmingUp, if the
	// instance has a limit because it is warming up.
	Stated    Statement
	Warmup    Warmup
	WarmingUp bool
	// Domain is the failure domain of the instance; empty if unknown.
	Domain string
}

// SendLimit returns the limit of an instance; ok is false if it has none, and then only its failure domain is set.
func (t *Tracker) SendLimit(instance string) (l SendLimit, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[instance]
	if r != nil {
		l.Domain = r.Domain
	}
	if rate := t.limitRate(instance); rate > 0 {
		l.Rate, l.Stated = rate, t.statements[instance].Statement
	}
	if r == nil {
		return l, l.Rate > 0
	}
	if w := t.warmupRate(r); w > 0 {
		l.Warmup, l.WarmingUp = Warmup{Instance: instance, Incarnation: r.Incarnation, WarmAt: t.warmAt(r)}, true
		if l.Rate == 0 || w < l.Rate {
			l.Rate = w
		}
	}
	return l, l.Rate > 0
}

// LimitCounts returns the number of instances that may get requests by the kind of limit that they have.
func (t *Tracker) LimitCounts() (stated, warming int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if !t.mayGetRequests(r) {
			continue
		}
		if t.limitRate(r.ID) > 0 {
			stated++
		}
		if t.warmupRate(r) > 0 {
			warming++
		}
	}
	return stated, warming
}

// warmupRatesDiffer reports whether the warm-up rate of any service is not the same in two configurations; before may be nil.
func warmupRatesDiffer(before, after *router.Table) bool {
	var known []router.Service
	if before != nil {
		known = before.Services
	}
	rates := map[string]float64{}
	for _, s := range known {
		rates[s.Name] = s.WarmupRate
	}
	for _, s := range after.Services {
		if rates[s.Name] != s.WarmupRate {
			return true
		}
		delete(rates, s.Name)
	}
	for _, rate := range rates {
		if rate > 0 {
			return true
		}
	}
	return false
}
