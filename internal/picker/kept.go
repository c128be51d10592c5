package picker

import "time"

// keptSlots is the number of parts of a span in which the most that was kept is recorded.
const keptSlots = 20

// keptRecord records the most that was kept of a budget within the last span, as a share of it.
type keptRecord struct {
	length time.Duration
	most   [keptSlots]float64
	// last is the part that was noted last.
	last int64
}

// newKeptRecord returns a record in which a share was kept during the span before a time.
func newKeptRecord(now time.Time, span time.Duration, share float64) *keptRecord {
	// The parts span a little more than the span, since the first one is not complete.
	r := &keptRecord{length: span / (keptSlots - 1)}
	for i := range r.most {
		r.most[i] = share
	}
	r.last = r.slot(now)
	return r
}

func (r *keptRecord) slot(t time.Time) int64 { return t.UnixNano() / int64(r.length) }

// note records the share that is kept at a time. Parts in which nothing was noted get the share that stands for unknown.
func (r *keptRecord) note(now time.Time, share, unknown float64) {
	s := r.slot(now)
	r.last = max(r.last, s-keptSlots)
	for r.last < s {
		r.last++
		r.most[r.last%keptSlots] = 0
		if r.last < s {
			r.most[r.last%keptSlots] = unknown
		}
	}
	n := &r.most[r.last%keptSlots]
	*n = max(*n, share)
}

// max returns the most that was kept.
func (r *keptRecord) max() float64 {
	most := 0.0
	for _, k := range r.most {
		most = max(most, k)
	}
	return most
}
