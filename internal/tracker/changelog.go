package tracker

import (
	"cmp"
	"slices"
)

// changeLog holds the latest changes in order of sequence number. With it, what a peer lacks is found in a time that does not
// grow with the number of instances and VMs.
type changeLog struct {
	// since is the sequence number after which the log has all changes.
	since   uint64
	entries []changeEntry
}

// changeEntry is one change. Only one of its pointers is set; what it points to may have changed again since.
type changeEntry struct {
	sequence  uint64
	record    *record
	member    *member
	statement *statementRecord
}

// minChangeLog is the number of changes that are kept at least.
const minChangeLog = 256

// add adds a change. It drops the earlier half of the log if that has become much longer than the number of things that can
// change.
func (l *changeLog) add(e changeEntry, things int) {
	l.entries = append(l.entries, e)
	if len(l.entries) > 2*things+minChangeLog {
		half := len(l.entries) / 2
		l.since = l.entries[half-1].sequence
		l.entries = slices.Clone(l.entries[half:])
	}
}

// after returns the changes after a sequence number; ok is false if the log does not reach back to it.
func (l *changeLog) after(sequence uint64) (es []changeEntry, ok bool) {
	if sequence < l.since {
		return nil, false
	}
	i, found := slices.BinarySearchFunc(l.entries, sequence, func(e changeEntry, n uint64) int { return cmp.Compare(e.sequence, n) })
	if found {
		i++
	}
	return l.entries[i:], true
}

// markChanged records a change of a registration, a VM or a limit, and returns its sequence number. t.mu must be held.
func (t *Tracker) markChanged(e changeEntry) uint64 {
	e.sequence = t.recordChange()
	t.log.add(e, len(t.records)+len(t.members)+len(t.statements))
	return e.sequence
}

func (t *Tracker) markRecord(r *record) { r.sequence = t.markChanged(changeEntry{record: r}) }
func (t *Tracker) markMember(m *member) { m.sequence = t.markChanged(changeEntry{member: m}) }
func (t *Tracker) markStatement(l *statementRecord) {
	l.sequence = t.markChanged(changeEntry{statement: l})
}

// appendChanges appends the registrations, VMs and limits that changed after a sequence number. t.mu must be held.
func (t *Tracker) appendChanges(c *Changes, sequence uint64) {
	es, ok := t.log.after(sequence)
	if !ok {
		t.appendAllChanges(c, sequence)
		return
	}
	for _, e := range es {
		switch {
		case e.record != nil && e.record.sequence == e.sequence && t.records[e.record.ID] == e.record && !c.Complete:
			c.Entries = append(c.Entries, e.record.current())
		case e.member != nil && e.member.sequence == e.sequence:
			c.Members = append(c.Members, e.member.Member)
		case e.statement != nil && e.statement.sequence == e.sequence && t.statements[e.statement.Instance] == e.statement:
			c.Statements = append(c.Statements, e.statement.Statement)
		}
	}
}

// appendAllChanges is appendChanges for a sequence number to which the log does not reach back.
func (t *Tracker) appendAllChanges(c *Changes, sequence uint64) {
	for _, r := range t.records {
		if r.sequence > sequence && !c.Complete {
			c.Entries = append(c.Entries, r.current())
		}
	}
	for _, m := range t.members {
		if m.sequence > sequence {
			c.Members = append(c.Members, m.Member)
		}
	}
	for _, l := range t.statements {
		if l.sequence > sequence {
			c.Statements = append(c.Statements, l.Statement)
		}
	}
}
