package recognizer

import "time"

const (
	// minFailures is how many requests must have failed at an instance, without any answer, before it counts as lost: a single
	// one may fail for other reasons.
	minFailures = 2
	// minSilence is the time from the first failure for which an instance must have answered nobody to count as lost. It is
	// longer than reports of answers by other processes take, and shorter than a start of an instance.
	minSilence = 500 * time.Millisecond
	// forgetAfter is how long an instance without outcomes is kept.
	forgetAfter = time.Minute
)

// Recognizer keeps the failures of instances since their last answers. It is not safe for concurrent use.
type Recognizer struct {
	silences map[string]*silence
	// sweptAt is when instances without outcomes were last dropped.
	sweptAt time.Time
}

// silence is the time since an instance answered.
type silence struct {
	failures    int
	since, last time.Time
}

func (s *silence) lost(now time.Time) bool {
	return s.failures >= minFailures && now.Sub(s.since) >= minSilence
}

// New returns a Recognizer that knows no instance.
func New() *Recognizer { return &Recognizer{silences: map[string]*silence{}} }

// Fail records that n requests to an instance failed in a way that a lost instance makes them fail, and reports whether the
// instance counts as lost: it may be starting again.
func (r *Recognizer) Fail(now time.Time, instance string, n int) bool {
	r.sweep(now)
	s := r.silences[instance]
	if s == nil {
		s = &silence{since: now}
		r.silences[instance] = s
	}
	s.failures += n
	s.last = now
	return s.lost(now)
}

// Answer records that an instance answered, and reports whether it counted as lost: it has probably just started.
func (r *Recognizer) Answer(now time.Time, instance string) bool {
	s := r.silences[instance]
	if s == nil {
		return false
	}
	delete(r.silences, instance)
	return s.failures >= minFailures && s.last.Sub(s.since) >= minSilence
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
