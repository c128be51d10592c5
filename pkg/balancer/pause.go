package balancer

import "time"

// pause is a time for which an incarnation of an instance wants no requests from this process.
type pause struct {
	incarnation int64
	until       time.Time
}

// Pause keeps all requests away from the instance of a choice until a given time, unless it starts again. An earlier pause
// that is longer, or of a later incarnation, holds on.
func (b *Balancer) Pause(c Choice, until time.Time) {
	if p := b.pauses[c.ID]; p.incarnation > c.Incarnation || p.incarnation == c.Incarnation && p.until.After(until) {
		return
	}
	b.pauses[c.ID] = pause{c.Incarnation, until}
	if s := b.instances[c.ID]; s != nil {
		s.pausedUntil = b.pauseOf(s.Instance)
	}
}

// pauseOf returns until when an instance wants no requests; zero if it asked for no pause.
func (b *Balancer) pauseOf(i Instance) time.Time {
	if p := b.pauses[i.ID]; p.incarnation >= i.Incarnation {
		return p.until
	}
	return time.Time{}
}

// dropPauses drops the pauses that are over.
func (b *Balancer) dropPauses(now time.Time) {
	for id, p := range b.pauses {
		if !now.Before(p.until) {
			delete(b.pauses, id)
		}
	}
}
