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
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

type member struct {
	Member
	sequence uint64
}

// Tracker holds the state that one process knows. It is safe for concurrent use.
type Tracker struct {
	clock    clockwork.Clock
	logger   *zap.Logger
	startLog startLog

	mu       sync.Mutex
	table    *router.Table
	tableSeq uint64
	// tableEnd is the offset up to which the configuration covers the operator's records, as the function Offset returns
	// it; zero if unknown.
	tableEnd uint64
	// tableReadAt and entriesReadAt are the start times of the latest reads that confirmed the configuration and the
	// instances.
	tableReadAt, entriesReadAt time.Time
	// end is the offset up to which the records cover the registry, as the function Offset returns it; zero if unknown.
	end uint64
	// replacedSequence is the sequence number of the last time that the records were replaced as a whole, or of the
	// latest record that was dropped. A peer with changes up to a lower one gets all records, since it may know
	// instances whose end is not among the changes.
	replacedSequence uint64
	// unreadAt is the start time of the latest read of the registry that failed, and failedReads counts those that failed in a
	// row. unansweredAt is the start time of the latest read that got no response for long.
	unreadAt, unansweredAt time.Time
	failedReads            int
	// graceUntil is the end of the grace period after the last outage.
	graceUntil time.Time
	records    map[string]*record
	// mayExpire is set if a registration has ended, or an instance is in use until the end of its grace period: expire has
	// nothing to do otherwise.
	mayExpire  bool
	statements map[string]*statementRecord
	// drains are the operator's drains by failure domain, and returnedAt is when the drain of one ended.
	drains     map[string]*drainRecord
	returnedAt map[string]time.Time
	// warmups are the warm-ups that no registration told of. nextWarmAt is when the next instance with a limit while it
	// warms up will be warm; zero if there is none.
	warmups    map[string]*warmupRecord
	nextWarmAt time.Time
	members    map[netip.AddrPort]*member
	// membersKnown is set once the store's list of VMs was read.
	membersKnown bool
	// sortedMembers are the members in order of address; nil after a change. The slice is never modified once it is
	// set: a leader would sort it for each exchange, so the times in it are those of the last change of the member.
	sortedMembers []Member
	sequence      uint64
	log           changeLog
	changed       chan struct{}
	// viewed is closed when the view of the instances is confirmed again, or a read of the registry failed.
	viewed chan struct{}

	// usableChanges counts the changes of the usable instances.
	usableChanges uint64

	// notifyMu is held while onInstancesChange runs; notifiedChanges is usableChanges before its last run.
	notifyMu          sync.Mutex
	notifiedChanges   uint64
	onInstancesChange func()
}

// New returns a tracker that knows nothing.
func New(clock clockwork.Clock, logger *zap.Logger) *Tracker {
	return &Tracker{
		clock: clock, logger: logger, startLog: newStartLog(), records: map[string]*record{}, statements: map[string]*statementRecord{}, members: map[netip.AddrPort]*member{},
		drains: map[string]*drainRecord{}, returnedAt: map[string]time.Time{}, warmups: map[string]*warmupRecord{},
		changed: make(chan struct{}), viewed: make(chan struct{}), onInstancesChange: func() {},
	}
}

// OnInstancesChange sets a function that is called, one call at a time, after the usable instances changed.
func (t *Tracker) OnInstancesChange(f func()) { t.onInstancesChange = f }

// notifyInstancesChange calls the function that OnInstancesChange set, unless the last call came after the last change.
// Calls do not overlap: an earlier one that is slow would put back what it had read. t.mu must not be held.
func (t *Tracker) notifyInstancesChange() {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	t.mu.Lock()
	n := t.usableChanges
	t.mu.Unlock()
	if n == t.notifiedChanges {
		return
	}
	t.onInstancesChange()
	t.notifiedChanges = n
}

func (t *Tracker) recordChange() uint64 {
	t.sequence++
	close(t.changed)
	t.changed = make(chan struct{})
	return t.sequence
}

// Table returns the configuration in force and the start time of the read that confirmed it; nil if none is known.
func (t *Tracker) Table() (*router.Table, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table, t.tableReadAt
}

// WaitUntilKnown waits until the configuration, the instances and the VMs are known, or the timeout or the context ends.
func (t *Tracker) WaitUntilKnown(ctx context.Context, timeout time.Duration) {
	timer := t.clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.mu.Lock()
		known, changed := t.table != nil && !t.entriesReadAt.IsZero() && t.membersKnown, t.changed
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

// ApplyConfiguration puts a configuration in force if its version is higher than that of the current one.
func (t *Tracker) ApplyConfiguration(c router.Configuration) { t.ApplyTable(router.New(c)) }

// ApplyTable puts a table in force if its version is higher than that of the current one. It returns the table that was in
// force before, nil if there was none, and whether the new one is.
func (t *Tracker) ApplyTable(n *router.Table) (before *router.Table, applied bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.table
	previous := int64(0)
	if before != nil {
		previous = before.Version
	}
	if n.Version <= previous {
		if n.Version < previous {
			t.logger.Info("configuration not applied", zap.Int64("version", n.Version), zap.Int64("known", previous))
		}
		return before, false
	}
	t.table = n
	t.tableSeq = t.recordChange()
	t.logger.Info("configuration in force", zap.Int64("version", n.Version), zap.Int64("before", previous),
		zap.Int("routes", len(n.Routes)), zap.Int("accounts", len(n.Accounts)))
	t.countChange(warmupRatesDiffer(before, n))
	return before, true
}

// MarkTableFresh records that a read which began at the given time found a version of the configuration, and none that is
// newer, and that it covers the operator's records up to an offset, zero if unknown. It confirms the known configuration
// only if that has this version: a newer one may have been lost by the store, and an older one was replaced.
func (t *Tracker) MarkTableFresh(version int64, readAt time.Time, end uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil || version != t.table.Version {
		return
	}
	t.tableEnd = max(t.tableEnd, end)
	if readAt.After(t.tableReadAt) {
		t.tableReadAt = readAt
	}
}

// TableEnd returns the version of the configuration in force, and the offset up to which it covers the operator's records;
// zero if unknown.
func (t *Tracker) TableEnd() (version int64, end uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil {
		return 0, 0
	}
	return t.table.Version, t.tableEnd
}

// Epoch returns the epoch of the store up to which the records cover the registry.
func (t *Tracker) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return EpochOf(t.end)
}

// Ages returns the time since the start of the reads that confirmed the configuration and the instances.
func (t *Tracker) Ages() (table, entries time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	return now.Sub(t.tableReadAt), now.Sub(t.entriesReadAt)
}

// UpdateMember applies the state of a VM if it is newer than what is known, and reports whether the VM is new or its
// role or incarnation changed.
func (t *Tracker) UpdateMember(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.members[m.Address]
	if o != nil && !m.supersedes(o.Member) {
		return false
	}
	added := o == nil
	if added {
		o = &member{}
		t.members[m.Address] = o
	}
	previous := o.Member
	changed := added || previous.Role != m.Role || previous.Incarnation != m.Incarnation
	if m.Capacity == 0 {
		m.Capacity = o.Capacity
	}
	if changed || m.Capacity != o.Capacity {
		t.sortedMembers = nil
	}
	o.Member = m
	if changed {
		t.markMember(o)
		t.logMember(m, previous, added)
	}
	return changed
}

// DownMembers returns the VMs that this one takes for down.
func (t *Tracker) DownMembers() []Member {
	var down []Member
	for _, m := range t.Members() {
		if m.Role == RoleDown {
			down = append(down, m)
		}
	}
	return down
}

// CheckDown takes in that a peer takes a VM for down. If this VM knows better, it passes that on again: it did not change here, so that
// peers that heard otherwise from another VM would never learn of it.
func (t *Tracker) CheckDown(m Member) {
	if t.UpdateMember(m) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.members[m.Address]; o != nil && o.Role != RoleDown {
		t.markMember(o)
	}
}

// logMember logs that a VM was added, or that its role or incarnation changed. t.mu must be held.
func (t *Tracker) logMember(m, previous Member, added bool) {
	if added && !t.membersKnown {
		return // MarkMembersKnown logs their number.
	}
	event, before, omitted := "vm added", zap.Skip(), zap.Skip()
	if !added {
		event, before = "vm", zap.Stringer("before", previous.Role)
	}
	if added || m.Incarnation == previous.Incarnation && previous.Role == RoleStarting && m.Role == RoleReady {
		var ok bool
		if omitted, ok = t.startLog.members.Allow(t.clock.Now()); !ok {
			return
		}
	}
	t.logger.Info(event, zap.Stringer("peer", m.Address), zap.Stringer("role", m.Role), before,
		zap.String("failureDomain", m.Domain), zap.Uint64("incarnation", m.Incarnation), omitted)
}

// MarkMembersKnown records that the store's list of VMs was read.
func (t *Tracker) MarkMembersKnown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.membersKnown {
		t.membersKnown = true
		t.recordChange()
		t.logger.Info("vms known", zap.Int("count", len(t.members)))
	}
}

// MembersKnown reports whether the store's list of VMs was read. Before, this VM may know only a part of the fleet.
func (t *Tracker) MembersKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.membersKnown
}

// Members returns the known VMs in order of address, as of their last changes; callers must not change the slice.
func (t *Tracker) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sortedMembers != nil {
		return t.sortedMembers
	}
	ms := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		ms = append(ms, m.Member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return placer.Compare(a.VM, b.VM) })
	t.sortedMembers = ms
	return ms
}

// Changes are the changes that a peer lacks.
type Changes struct {
	// Sequence is the sequence number to continue from.
	Sequence uint64
	// Table is nil if the peer has the current configuration.
	Table   *router.Table
	Entries []Entry
	// Complete says that Entries are those of all instances, not only of those that changed.
	Complete bool
	// End is the offset up to which the sender's records cover the registry; zero if unknown.
	End        uint64
	Members    []Member
	Statements []Statement
	Drains     []Drain
	Warmups    []Warmup
	// TableReadAt and EntriesReadAt are the start times of the reads that confirmed the configuration and the
	// instances; zero if there were none.
	TableReadAt, EntriesReadAt time.Time
	// TableVersion is the version of the configuration in force, zero if there is none, and TableEnd the offset up to
	// which it covers the operator's records.
	TableVersion int64
	TableEnd     uint64
}

// ChangesSince returns the changes after a sequence number, and a channel that is closed at the next change.
func (t *Tracker) ChangesSince(sequence uint64) (Changes, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Changes{
		Sequence: t.sequence, TableReadAt: t.tableReadAt, EntriesReadAt: t.entriesReadAt, End: t.end,
		Complete: t.end > 0 && sequence < t.replacedSequence,
	}
	if t.table != nil {
		c.TableVersion, c.TableEnd = t.table.Version, t.tableEnd
	}
	if t.table != nil && t.tableSeq > sequence {
		c.Table = t.table
	}
	if c.Complete {
		for _, r := range t.records {
			c.Entries = append(c.Entries, r.current())
		}
	}
	t.appendChanges(&c, sequence)
	t.appendDrains(&c, sequence)
	t.appendWarmups(&c, sequence)
	return c, t.changed
}
