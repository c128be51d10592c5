package tracker

import "time"

// record is what is known of an instance: its newest report on itself, and up to where in the registry its
// registrations have ended.
//
// Sequence numbers order the reports of one instance, offsets order the reports and the ends of registrations. Peers
// may know a report by a lower sequence number than this VM, since a report that changes nothing else is not relayed.
// So the end of a registration is compared with a report by offset. Between epochs of the store, offsets order only what the
// store has since it was restored: a report from the copy is older than an end before, though its epoch is later. So there a
// report is the later one only if the instance had not sent it yet when its registration ended.
type record struct {
	Entry
	// endedBefore is the offset before which all registrations of the instance have ended; zero if none has.
	endedBefore uint64
	// relayedEpoch is the epoch of the last report that this VM read from the changes of the registry; it relays the first one
	// in each epoch.
	relayedEpoch uint64
	// sequence is the tracker's sequence number of the last change.
	sequence uint64
	goneAt   time.Time
	// expiresAt is when an instance whose registration has ended is taken out of use unless it registers again; zero if
	// it is out of use, or has not ended.
	expiresAt time.Time
}

// current returns the entry as peers get it.
func (r *record) current() Entry {
	e := r.Entry
	if r.Offset < r.endedBefore {
		e.Condition, e.Offset = ConditionGone, r.endedBefore-1
	}
	return e
}

// condition returns the condition of the instance.
func (r *record) condition() Condition { return r.current().Condition }

// usable reports whether the instance may get new requests.
func (r *record) usable() bool { return r.condition() == ConditionReady || !r.expiresAt.IsZero() }

// end notes the end of a registration, as e says, and reports whether it ends the newest report.
func (r *record) end(e Entry) bool {
	r.endedBefore = max(r.endedBefore, e.Offset+1)
	if EpochOf(e.Offset) < EpochOf(r.Offset) && !r.newer(e) {
		r.Offset = e.Offset // The report was read from the copy.
	}
	if !r.newer(e) {
		// The peer knew a later report when the registration ended.
		r.Incarnation, r.SequenceNumber, r.Offset = e.Incarnation, e.SequenceNumber, min(r.Offset, e.Offset)
	}
	return r.Offset < r.endedBefore
}

// writtenAgain reports whether an instance whose registration a restored store had lost wrote its last report again.
func (r *record) writtenAgain(e Entry) bool {
	return r.condition() == ConditionGone && e.Incarnation == r.Incarnation && e.SequenceNumber == r.SequenceNumber &&
		e.Offset >= r.endedBefore && EpochOf(r.Offset) < EpochOf(e.Offset) && EpochOf(e.Offset) == EpochOf(r.endedBefore-1)
}
