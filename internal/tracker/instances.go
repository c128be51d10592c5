package tracker

import (
	"context"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

const (
	// outageThreshold is the age of the view from which failed reads of the registry count as an outage. No
	// registration lapses in a shorter one.
	outageThreshold = 2 * time.Second
	// outageReads is how many reads in a row must fail to count as an outage: any one call may be rejected or lost.
	outageReads = 2
	// outageGracePeriod is how long after the last failed read began an instance whose registration lapsed may take to
	// register again. The outage may have ended right then, and 3 s after its end all ended registrations must be out
	// of use.
	outageGracePeriod = 2500 * time.Millisecond
	// restoreGracePeriod is how long after a restore of the store an instance whose registration was lost may take to
	// register again.
	restoreGracePeriod = 2 * time.Second
	// maxLapsedUse is how long an ended registration is used at most. It is shorter than the time that a leaving
	// instance still serves.
	maxLapsedUse = 1800 * time.Millisecond
	// goneTTL is how long an ended registration is kept, so that peers learn of its end.
	goneTTL = 2 * time.Minute
)

// ApplyRegistrations applies entries from a read of the registry that began at a given time and covers it up to an
// offset. If they are a snapshot, the registrations that are not among them have ended.
func (t *Tracker) ApplyRegistrations(began time.Time, es []Entry, snapshot bool, end uint64) {
	t.mu.Lock()
	from := t.change(sourceStore)
	t.noteOutage(began)
	t.noteRestore(end)
	// A later snapshot than what is known is the truth even about instances that are unknown here.
	latest := snapshot && end >= t.end
	changed := t.applyAll(from, es, latest, !snapshot)
	if snapshot {
		changed = t.endUnlisted(from, es, end) || changed
	}
	if latest {
		t.replacedSequence = t.recordChange()
	}
	t.end = max(t.end, end)
	t.countChange(t.expire() || changed)
	t.mu.Unlock()
	t.confirm(began)
}

// applyAll applies entries and reports whether the usable instances changed. Unless latest is set, it leaves out
// instances that are unknown here although the records cover the registry beyond their entry: they have left. t.mu must
// be held.
func (t *Tracker) applyAll(from change, es []Entry, latest, read bool) bool {
	changed := false
	for _, e := range es {
		if t.records[e.ID] == nil && e.Offset < t.end && !latest {
			continue
		}
		changed = t.apply(from, e, read) || changed
	}
	return changed
}

// endUnlisted ends the registrations from before an offset that are not among the given entries, and reports whether the
// usable instances changed. t.mu must be held.
func (t *Tracker) endUnlisted(from change, es []Entry, end uint64) bool {
	if end == 0 {
		return false
	}
	listed := make(map[string]bool, len(es))
	for _, e := range es {
		listed[e.ID] = true
	}
	changed := false
	for id, r := range t.records {
		if !listed[id] {
			changed = t.endRegistration(from, r, endedAt(id, end-1)) || changed
		}
	}
	return changed
}

// endedAt returns the entry of an instance whose registration ended at an offset.
func endedAt(id string, offset uint64) Entry {
	return Entry{Instance: balancer.Instance{ID: id}, Condition: ConditionGone, Offset: offset}
}

// apply applies one entry and reports whether the usable instances changed. Read says that this VM read it from the
// changes of the registry, not from a snapshot or a peer. t.mu must be held.
func (t *Tracker) apply(from change, e Entry, read bool) bool {
	if e.Condition != ConditionGone {
		return t.applyReport(from, e, read)
	}
	r := t.records[e.ID]
	if r == nil {
		// Peers that know the instance must learn that it left.
		r = &record{Entry: e, endedBefore: e.Offset + 1, goneAt: t.clock.Now()}
		r.Offset = 0
		t.markRecord(r)
		t.records[e.ID] = r
		t.mayExpire = true
		return false
	}
	return t.endRegistration(from, r, e)
}

// logNotApplied logs an entry that contradicts a record and is not applied although it is later in the registry.
func (t *Tracker) logNotApplied(from change, r *record, e Entry) {
	known := r.current()
	if e.Offset <= known.Offset || (known.Condition == ConditionReady) == (e.Condition == ConditionReady) {
		return
	}
	t.logger.Info("registration not applied", append(from.fields(e.ID), zap.Stringer("condition", e.Condition),
		zap.Int64("sequenceNumber", e.SequenceNumber), zap.String("offset", formatOffset(e.Offset)), zap.Stringer("known", known.Condition),
		zap.Int64("knownSequenceNumber", known.SequenceNumber), zap.String("knownOffset", formatOffset(known.Offset)))...)
}

// applyReport applies an instance's report on itself, and reports whether the usable instances changed. t.mu must be
// held.
func (t *Tracker) applyReport(from change, e Entry, read bool) bool {
	r := t.records[e.ID]
	known := r != nil
	if !known {
		r = &record{}
		t.records[e.ID] = r
	} else if !e.newer(r.Entry) && !r.writtenAgain(e) {
		t.logNotApplied(from, r, e)
		return false
	}
	previous := r.current()
	r.Entry = e
	if e.Offset < r.endedBefore {
		t.mayExpire = true
		return false
	}
	r.expiresAt, r.goneAt = time.Time{}, time.Time{}
	unchanged := known && previous.Condition == e.Condition && previous.Address == e.Address && previous.Service == e.Service &&
		previous.Domain == e.Domain && previous.Slots == e.Slots && previous.Incarnation == e.Incarnation
	// The registry's changes have each report, but a relayed one may follow others that peers of this VM know. So may the first
	// one in an epoch: the copy from which the store was restored may be older than what peers know, and they refuse it.
	warmupChanged := unchanged && t.warmupChanged(previous, e)
	if !unchanged || warmupChanged || !read || EpochOf(e.Offset) != r.relayedEpoch {
		t.markRecord(r)
	}
	if read {
		r.relayedEpoch = EpochOf(e.Offset)
	}
	if unchanged {
		return warmupChanged
	}
	t.logReport(from, e, !known)
	return true
}

// logReport logs a report of an instance that changed something. Those that are new at the start are not logged one by one. t.mu
// must be held.
func (t *Tracker) logReport(from change, e Entry, added bool) {
	omitted := zap.Skip()
	if added {
		if t.entriesReadAt.IsZero() {
			return // confirm logs their number.
		}
		var ok bool
		if omitted, ok = t.startLog.instances.Allow(t.clock.Now()); !ok {
			return
		}
	}
	t.logger.Info("instance", append(from.fields(e.ID), zap.String("service", e.Service), zap.Stringer("condition", e.Condition),
		zap.Stringer("address", e.Address), zap.String("failureDomain", e.Domain), zap.Int64("sequenceNumber", e.SequenceNumber),
		zap.String("offset", formatOffset(e.Offset)), omitted)...)
}

// endRegistration ends a registration. The instance is not used any more, or only until the end of the grace period if
// there was an outage of the registry; peers learn of the end at once and decide for themselves. It reports whether the
// usable instances changed. t.mu must be held.
func (t *Tracker) endRegistration(from change, r *record, e Entry) bool {
	previous := r.condition()
	if previous == ConditionGone {
		if e.Offset >= r.endedBefore {
			t.markRecord(r)
		}
		r.end(e)
		return false
	}
	if !r.end(e) {
		t.logNotApplied(from, r, e)
		return false
	}
	now := t.clock.Now()
	r.goneAt, t.mayExpire = now, true
	t.markRecord(r)
	if previous == ConditionReady && now.Before(t.graceUntil) {
		r.expiresAt = earlier(t.graceUntil, now.Add(maxLapsedUse))
		t.logger.Info("registration lapsed", append(from.fields(r.ID), zap.String("offset", formatOffset(e.Offset)), zap.Duration("grace", r.expiresAt.Sub(now)))...)
		return false
	}
	t.logGone(from, r)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Tracker) logGone(from change, r *record) {
	t.logger.Info("instance", append(from.fields(r.ID), zap.String("service", r.Service), zap.Stringer("condition", r.condition()),
		zap.Int64("sequenceNumber", r.SequenceNumber), zap.String("offset", formatOffset(r.endedBefore-1)))...)
}

// expire takes the instances whose grace period is over out of use, and drops the records of registrations that ended
// more than goneTTL ago. It reports whether the usable instances changed. t.mu must be held.
func (t *Tracker) expire() bool {
	now := t.clock.Now()
	changed := false
	t.expireStatements(now)
	if !t.mayExpire {
		return false
	}
	t.mayExpire = false
	for id, r := range t.records {
		t.mayExpire = t.mayExpire || r.condition() == ConditionGone || !r.expiresAt.IsZero()
		switch {
		case !r.expiresAt.IsZero() && !now.Before(r.expiresAt):
			r.expiresAt = time.Time{}
			t.logGone(change{source: sourceGracePeriod}, r)
			changed = true
		case r.condition() == ConditionGone && now.Sub(r.goneAt) > goneTTL:
			t.replacedSequence = max(t.replacedSequence, r.sequence)
			delete(t.records, id)
		}
	}
	return changed
}

// Expire takes the instances whose grace period is over out of use.
func (t *Tracker) Expire() {
	t.mu.Lock()
	t.countChange(t.expire())
	t.countChange(t.expireWarmups())
	t.mu.Unlock()
	t.notifyInstancesChange()
}

// MarkMoved records that an incarnation of an instance is not at the address where it was expected. It says nothing of another
// incarnation, or of another address of the instance.
func (t *Tracker) MarkMoved(i balancer.Instance) {
	t.mu.Lock()
	r := t.records[i.ID]
	changed := r != nil && r.usable() && r.Incarnation == i.Incarnation && r.Address == i.Address
	if changed {
		r.end(endedAt(i.ID, r.Offset))
		r.goneAt, r.expiresAt, t.mayExpire = t.clock.Now(), time.Time{}, true
		t.markRecord(r)
		t.logger.Info("instance moved", zap.String("id", i.ID), zap.Int64("incarnation", i.Incarnation), zap.Stringer("address", i.Address))
	}
	t.countChange(changed)
	t.mu.Unlock()
	t.notifyInstancesChange()
}

// UsableInstances returns the instances that may get new requests.
func (t *Tracker) UsableInstances() []balancer.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var is []balancer.Instance
	for _, r := range t.records {
		if t.mayGetRequests(r) {
			is = append(is, t.balanced(r))
		}
	}
	return is
}

// Usable reports whether an instance may get new requests, and the age of the view that says so.
func (t *Tracker) Usable(id string) (usable bool, viewAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	return r != nil && t.mayGetRequests(r), t.clock.Since(t.entriesReadAt)
}

// Entries returns the entries of all known instances, in no particular order.
func (t *Tracker) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	es := make([]Entry, 0, len(t.records))
	for _, r := range t.records {
		es = append(es, r.current())
	}
	return es
}

// MergeInstances merges the instances that a peer knows, and the age of its view.
func (t *Tracker) MergeInstances(peer netip.AddrPort, c Changes) {
	t.mu.Lock()
	from := t.change(peer.String())
	t.noteOutage(c.EntriesReadAt)
	t.noteRestore(c.End)
	later := c.End > t.end
	changed := t.applyAll(from, c.Entries, later, false)
	if c.Complete {
		changed = t.endUnlisted(from, c.Entries, c.End) || changed
		if later {
			t.replacedSequence = t.recordChange()
		}
	}
	t.end = max(t.end, c.End)
	t.countChange(changed)
	t.mu.Unlock()
	t.confirm(c.EntriesReadAt)
}

// MarkUnread records that a read of the registry which began at the given time failed.
func (t *Tracker) MarkUnread(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if began.After(t.unreadAt) {
		t.unreadAt = began
		t.failedReads++
		t.notifyViewWaiters()
	}
}

// MarkUnanswered records that a read of the registry which began at the given time still has no response, although this
// process had the time to read one.
func (t *Tracker) MarkUnanswered(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if began.After(t.unansweredAt) {
		t.unansweredAt = began
		t.notifyViewWaiters()
	}
}

// unreadable reports whether reads that began after the last view show that the registry cannot be read. t.mu must be held.
func (t *Tracker) unreadable() bool {
	return t.outage() || t.unansweredAt.After(t.entriesReadAt)
}

// outage reports whether enough reads in a row failed since the last view. t.mu must be held.
func (t *Tracker) outage() bool {
	return t.failedReads >= outageReads && t.unreadAt.After(t.entriesReadAt)
}

// notifyViewWaiters wakes the callers of AwaitView. t.mu must be held.
func (t *Tracker) notifyViewWaiters() {
	close(t.viewed)
	t.viewed = make(chan struct{})
}

// AwaitView waits while the view of the instances is older than maxAge, for up to timeout, and reports whether it is not.
// A view is also good, whatever its age, if the registry cannot be read: there is no later one then.
func (t *Tracker) AwaitView(ctx context.Context, maxAge, timeout time.Duration) bool {
	var timer clockwork.Timer
	for {
		t.mu.Lock()
		good := t.clock.Since(t.entriesReadAt) <= maxAge || t.unreadable()
		viewed := t.viewed
		t.mu.Unlock()
		if good || timeout <= 0 {
			return good
		}
		if timer == nil {
			timer = t.clock.NewTimer(timeout)
			defer timer.Stop()
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.Chan():
			return false
		case <-viewed:
		}
	}
}

// noteOutage starts the grace period if a view of the instances that was read at the given time is the first after an
// outage: this VM could not read the registry and knew no newer view from its peers. A gap between two views alone is
// none, since the VM that reads for this one may have been lost. t.mu must be held.
func (t *Tracker) noteOutage(readAt time.Time) {
	if readAt.Sub(t.entriesReadAt) > outageThreshold && t.outage() {
		t.graceUntil = t.unreadAt.Add(outageGracePeriod)
	}
}

// noteRestore starts the grace period if a view up to the given offset is the first one after the store was restored:
// instances whose registrations were lost register again. If this VM's view is too old to tell when that was, only the outage
// that this VM saw counts. t.mu must be held.
func (t *Tracker) noteRestore(end uint64) {
	now := t.clock.Now()
	if t.end > 0 && EpochOf(end) > EpochOf(t.end) && now.Sub(t.entriesReadAt) <= outageThreshold {
		t.graceUntil = later(t.graceUntil, now.Add(restoreGracePeriod))
	}
}

// countChange counts a change of the usable instances, if there was one. t.mu must be held.
func (t *Tracker) countChange(changed bool) {
	if changed {
		t.usableChanges++
	}
}

// logInstancesKnown logs how many instances the first view has. t.mu must be held.
func (t *Tracker) logInstancesKnown() {
	count, usable := 0, 0
	for _, r := range t.records {
		if r.condition() != ConditionGone {
			count++
		}
		if t.mayGetRequests(r) {
			usable++
		}
	}
	t.logger.Info("instances known", zap.Int("count", count), zap.Int("usable", usable), zap.String("offset", formatOffset(t.end)))
}

// confirm records that a read of the registry which began at the given time confirmed the records. It sends pending
// notifications first: a request may take the view for recent only when its instances are in use. t.mu must not be held.
func (t *Tracker) confirm(readAt time.Time) {
	t.notifyInstancesChange()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !readAt.After(t.entriesReadAt) {
		return
	}
	if t.entriesReadAt.IsZero() {
		t.recordChange()
		t.logInstancesKnown()
	}
	t.entriesReadAt = readAt
	if !t.unreadAt.After(readAt) {
		t.failedReads = 0
	}
	t.notifyViewWaiters()
}
