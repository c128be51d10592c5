package tracker

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

const (
	// awayGap is how long the registry may go unread until it counts as having been away.
	awayGap = 1200 * time.Millisecond
	// returnGrace is how long after such a time a registration that lapsed may take to come back.
	returnGrace = 2 * time.Second
	// goneLife is how long an ended registration is remembered, so that a late report does not revive it.
	goneLife = 2 * time.Minute
)

// record is an entry with when its change is told to peers.
type record struct {
	Entry
	sequence uint64
	goneAt   time.Time
	// lapsesAt is when the registration counts as ended, if it does not come back.
	lapsesAt time.Time
}

type member struct {
	Member
	sequence uint64
}

// Tracker holds the beliefs of one process. It is safe for concurrent use.
type Tracker struct {
	clock  clockwork.Clock
	logger *zap.Logger

	mu       sync.Mutex
	table    *router.Table
	tableSeq uint64
	// tableAt and entriesAt are when the newest reads began that confirmed the beliefs.
	tableAt, entriesAt time.Time
	// returnedAt is when the registry was last read again after it had been away.
	returnedAt time.Time
	records    map[string]*record
	members    map[netip.AddrPort]*member
	// listed are the members in order of address; nil after a change. The slice is never written again.
	listed   []Member
	sequence uint64
	changed  chan struct{}
	onChange func()
}

// New returns a tracker that believes nothing.
func New(clock clockwork.Clock, logger *zap.Logger) *Tracker {
	return &Tracker{
		clock: clock, logger: logger, records: map[string]*record{}, members: map[netip.AddrPort]*member{},
		changed: make(chan struct{}), onChange: func() {},
	}
}

// OnInstances sets a function that is called, without locks, after the usable instances changed.
func (t *Tracker) OnInstances(f func()) { t.onChange = f }

func (t *Tracker) bump() uint64 {
	t.sequence++
	close(t.changed)
	t.changed = make(chan struct{})
	return t.sequence
}

// Table returns the configuration in force and when the read that confirmed it began; nil if none is known.
func (t *Tracker) Table() (*router.Table, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table, t.tableAt
}

// Await waits until the configuration and the instances are known, for a time at most.
func (t *Tracker) Await(ctx context.Context, most time.Duration) {
	timer := t.clock.NewTimer(most)
	defer timer.Stop()
	for {
		t.mu.Lock()
		known, changed := t.table != nil && !t.entriesAt.IsZero(), t.changed
		t.mu.Unlock()
		if known {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
			return
		case <-changed:
		}
	}
}

// Configure puts a configuration in force if it is newer than the one that is.
func (t *Tracker) Configure(c router.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table != nil && c.Version <= t.table.Version {
		return
	}
	before := int64(0)
	if t.table != nil {
		before = t.table.Version
	}
	t.table = router.New(c)
	t.tableSeq = t.bump()
	t.logger.Info("configuration in force", zap.Int64("version", c.Version), zap.Int64("before", before),
		zap.Int("routes", len(c.Routes)), zap.Int("accounts", len(c.Accounts)))
}

// Confirm notes that reads which began at the given times found nothing newer than what is believed.
func (t *Tracker) Confirm(tableAt, entriesAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tableAt.After(t.tableAt) {
		t.tableAt = tableAt
	}
	if !entriesAt.After(t.entriesAt) {
		return
	}
	if t.entriesAt.IsZero() {
		t.bump()
	} else if entriesAt.Sub(t.entriesAt) > awayGap {
		t.returnedAt = t.clock.Now()
	}
	t.entriesAt = entriesAt
}

// Ages returns how long ago the reads began that confirmed the configuration and the instances.
func (t *Tracker) Ages() (table, entries time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	return now.Sub(t.tableAt), now.Sub(t.entriesAt)
}

// ApplyRegistrations takes entries read from the registry in a read that began at a time. If they are all that the
// registry held up to an offset, the registrations not among them ended.
func (t *Tracker) ApplyRegistrations(began time.Time, es []Entry, whole bool, end uint64) {
	t.Confirm(time.Time{}, began)
	t.mu.Lock()
	changed := false
	listed := map[string]bool{}
	for _, e := range es {
		listed[e.ID] = true
		changed = t.register(e) || changed
	}
	if whole {
		for id, r := range t.records {
			if !listed[id] && r.Condition != ConditionGone && r.Offset < end {
				changed = t.end(r, r.Offset) || changed
			}
		}
	}
	changed = t.lapse() || changed
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// register takes one entry and reports whether the usable instances changed.
func (t *Tracker) register(e Entry) bool {
	r := t.records[e.ID]
	if e.Condition == ConditionGone {
		return r != nil && r.Condition != ConditionGone && t.end(r, e.Offset)
	}
	if r == nil {
		r = &record{}
		t.records[e.ID] = r
	} else if !e.newer(r.Entry) {
		return false
	}
	before := r.Entry
	known := r.sequence != 0
	r.Entry, r.lapsesAt, r.goneAt = e, time.Time{}, time.Time{}
	if known && before.Condition == e.Condition && before.Address == e.Address && before.Service == e.Service &&
		before.Domain == e.Domain && before.Slots == e.Slots && before.Born == e.Born {
		return false
	}
	r.sequence = t.bump()
	t.logger.Info("instance", zap.String("id", e.ID), zap.String("service", e.Service), zap.Stringer("condition", e.Condition),
		zap.Stringer("address", e.Address), zap.String("failureDomain", e.Domain), zap.Uint64("offset", e.Offset))
	return true
}

// end takes a registration as ended, at once or, if the registry was away just now, if it does not come back.
func (t *Tracker) end(r *record, offset uint64) bool {
	now := t.clock.Now()
	r.Offset = max(r.Offset, offset)
	if until := t.returnedAt.Add(returnGrace); now.Before(until) && r.Condition == ConditionReady {
		if r.lapsesAt.IsZero() {
			r.lapsesAt = until
			t.logger.Info("registration lapsed", zap.String("id", r.ID), zap.Duration("grace", until.Sub(now)))
		}
		return false
	}
	t.gone(r)
	return true
}

func (t *Tracker) gone(r *record) {
	r.Condition, r.goneAt, r.lapsesAt = ConditionGone, t.clock.Now(), time.Time{}
	r.sequence = t.bump()
	t.logger.Info("instance", zap.String("id", r.ID), zap.String("service", r.Service), zap.Stringer("condition", r.Condition))
}

// lapse ends the registrations whose grace is over, and forgets those that ended long ago.
func (t *Tracker) lapse() bool {
	now := t.clock.Now()
	changed := false
	for id, r := range t.records {
		switch {
		case !r.lapsesAt.IsZero() && !now.Before(r.lapsesAt):
			t.gone(r)
			changed = true
		case r.Condition == ConditionGone && now.Sub(r.goneAt) > goneLife:
			delete(t.records, id)
		}
	}
	return changed
}

// Lapse ends the registrations that did not come back in time.
func (t *Tracker) Lapse() {
	t.mu.Lock()
	changed := t.lapse()
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// Move notes that an instance is no longer at its address.
func (t *Tracker) Move(id string) {
	t.mu.Lock()
	r := t.records[id]
	changed := r != nil && r.Condition == ConditionReady
	if changed {
		r.Condition, r.goneAt = ConditionGone, t.clock.Now()
		r.sequence = t.bump()
		t.logger.Info("instance moved", zap.String("id", id))
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// Usable returns the instances that may get new requests.
func (t *Tracker) Usable() []balancer.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var is []balancer.Instance
	for _, r := range t.records {
		if r.Condition == ConditionReady {
			is = append(is, r.Instance)
		}
	}
	return is
}

// Entries returns what is known of all instances.
func (t *Tracker) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	es := make([]Entry, 0, len(t.records))
	for _, r := range t.records {
		es = append(es, r.Entry)
	}
	return es
}

// Meet takes knowledge of a VM and reports whether it was news.
func (t *Tracker) Meet(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.members[m.Address]
	if o != nil && !m.supersedes(o.Member) {
		return false
	}
	news := o == nil || o.Role != m.Role || o.Incarnation != m.Incarnation
	if o == nil {
		o = &member{}
		t.members[m.Address] = o
	}
	t.listed = nil
	before := o.Role
	if m.Capacity == 0 {
		m.Capacity = o.Capacity
	}
	o.Member = m
	if news {
		o.sequence = t.bump()
		t.logger.Info("vm", zap.Stringer("peer", m.Address), zap.Stringer("role", m.Role), zap.Stringer("before", before),
			zap.String("failureDomain", m.Domain), zap.Uint64("incarnation", m.Incarnation))
	}
	return news
}

// Members returns what is known of the VMs in order of address; callers must not change the slice.
func (t *Tracker) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed != nil {
		return t.listed
	}
	ms := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		ms = append(ms, m.Member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return placer.Compare(a.VM, b.VM) })
	t.listed = ms
	return ms
}

// Changes are what a peer lacks.
type Changes struct {
	// Sequence is what to ask from next time.
	Sequence uint64
	// Table is nil if the peer has it.
	Table   *router.Table
	Entries []Entry
	Members []Member
	// TableAt and EntriesAt are when the reads behind all this began; zero if there were none.
	TableAt, EntriesAt time.Time
}

// ChangesSince returns the changes after a sequence number, and a channel that is closed at the next one.
func (t *Tracker) ChangesSince(sequence uint64) (Changes, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Changes{Sequence: t.sequence, TableAt: t.tableAt, EntriesAt: t.entriesAt}
	if t.table != nil && t.tableSeq > sequence {
		c.Table = t.table
	}
	for _, r := range t.records {
		if r.sequence > sequence {
			c.Entries = append(c.Entries, r.Entry)
		}
	}
	for _, m := range t.members {
		if m.sequence > sequence {
			c.Members = append(c.Members, m.Member)
		}
	}
	return c, t.changed
}

// Adopt takes entries as a peer believes them.
func (t *Tracker) Adopt(es []Entry) {
	t.mu.Lock()
	changed := false
	for _, e := range es {
		changed = t.adopt(e) || changed
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

func (t *Tracker) adopt(e Entry) bool {
	r := t.records[e.ID]
	if e.Condition != ConditionGone {
		return t.register(e)
	}
	if r == nil || r.Condition == ConditionGone || r.newer(e) {
		return false
	}
	r.Offset = max(r.Offset, e.Offset)
	t.gone(r)
	return true
}
