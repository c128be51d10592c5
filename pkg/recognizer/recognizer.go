package recognizer

import (
	"net/netip"
	"time"
)

const (
	// minReporters is how many processes must have failed to reach an instance, without any answer, before it counts as lost: one
	// alone may be cut off itself.
	minReporters = 2
	// minSilence is the time from the first failure for which an instance must have answered nobody to count as lost. It is
	// longer than reports of answers by other processes take, and shorter than a start of an instance.
	minSilence = 500 * time.Millisecond
	// forgetAfter is how long an instance without outcomes is kept.
	forgetAfter = time.Minute
)

// Recognizer keeps the failures of instances since their last answers. It is not safe for concurrent use.
type Recognizer struct {
	// Alone is set while there is no other process.
	Alone    bool
	silences map[string]*silence
	// sweptAt is when instances without outcomes were last dropped.
	sweptAt time.Time
}

// silence is the time since an instance answered.
type silence struct {
	reporters   map[netip.AddrPort]bool
	since, last time.Time
}

// lost reports whether the silence had lasted for long enough at a time.
func (s *silence) lost(at time.Time, alone bool) bool {
	return (alone || len(s.reporters) >= minReporters) && at.Sub(s.since) >= minSilence
}

// New returns a Recognizer that knows no instance.
func New() *Recognizer { return &Recognizer{silences: map[string]*silence{}} }

// Fail records that requests of a process to an instance failed in a way that a lost instance makes them fail, and reports whether
// the instance counts as lost: it may be starting again.
func (r *Recognizer) Fail(now time.Time, instance string, reporter netip.AddrPort) bool {
	r.sweep(now)
	s := r.silences[instance]
	if s == nil {
		s = &silence{reporters: map[netip.AddrPort]bool{}, since: now}
		r.silences[instance] = s
	}
	s.reporters[reporter] = true
	s.last = now
	return s.lost(now, r.Alone)
}

// Answer records that an instance answered, and reports whether it counted as lost: it has probably just started.
func (r *Recognizer) Answer(now time.Time, instance string) bool {
	s := r.silences[instance]
	if s == nil {
		return false
	}
	delete(r.silences, instance)
	return s.lost(s.last, r.Alone)
}

// sweep drops the instances whose last failure is long ago.
func (r *Recognizer) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < forgetAfter {
		return
	}
	r.sweptAt = now
	for i, s := range r.silences {
		if now.Sub(s.last) > forgetAfter {
			delete(r.silences, i)
		}
	}
}
