package balancer

import "time"

// clockSkew is how far the clocks of instances may be ahead.
const clockSkew = time.Second

// pause is a time for which an incarnation of an instance wants no requests from this process.
type pause struct {
	incarnation    int64
	askedAt, until time.Time
}

// holdsFor reports whether the pause is one of an incarnation. An instance that had started again when it asked, which was not
// known yet, still wants no requests.
func (p pause) holdsFor(incarnation int64) bool {
	return p.incarnation >= incarnation || p.askedAt.After(time.UnixMilli(incarnation).Add(-clockSkew))
}

// Pause keeps all requests away from the instance of a choice, which asked for that now, until a given time, unless it starts
// again. An earlier pause that is longer holds on.
func (b *Balancer) Pause(now time.Time, c Choice, until time.Time) {
	p := b.pauses[c.ID]
	if p.holdsFor(c.Incarnation) && p.until.After(until) {
		return
	}
	b.pauses[c.ID] = pause{max(p.incarnation, c.Incarnation), now, until}
	if s := b.instances[c.ID]; s != nil {
		s.pausedUntil = b.pauseOf(s.Instance)
	}
}

// pauseOf returns until when an instance wants no requests; zero if it asked for no pause.
func (b *Balancer) pauseOf(i Instance) time.Time {
	if p := b.pauses[i.ID]; p.holdsFor(i.Incarnation) {
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
