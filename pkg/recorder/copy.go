package recorder

import (
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Need is a partition whose records this VM has yet to copy. From lists the earlier holders
// that have not been copied from.
type Need struct {
	Partition int
	From      []placer.VM
}

// Needs returns the partitions for which copies from earlier holders are outstanding.
func (r *Recorder) Needs() []Need {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ns []Need
	for p, s := range r.shelves {
		if s.missing > 0 {
			ns = append(ns, Need{Partition: p, From: slices.Clone(s.waiting)})
		}
	}
	return ns
}

// Copy is the records of a partition as an earlier holder has them.
type Copy struct {
	// Reach is how far back from the time of the copy the records are complete.
	Reach   time.Duration
	Records []Record
	// Ages are the times since the attempts began, in the order of Records.
	Ages []time.Duration
}

// Copy returns the records of a partition for a holder that became one under the map of the
// given version. It returns ErrNotYet until this VM has applied that map, so attempts under
// older maps are refused here from then on, and while its own records are incomplete.
func (r *Recorder) Copy(now time.Time, partition int, version uint64) (Copy, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version < version {
		return Copy{}, ErrNotYet
	}
	s := r.shelves[partition]
	if s == nil || s.missing > 0 || now.Before(s.ready) {
		return Copy{}, ErrNotYet
	}
	r.expire(now, s)
	c := Copy{Reach: now.Sub(s.since)}
	for _, e := range s.records {
		c.Records = append(c.Records, *e)
		c.Ages = append(c.Ages, now.Sub(e.Began))
	}
	return c, nil
}

// Receive merges a copy of a partition that one of the earlier holders sent. It ignores copies
// that are not outstanding.
func (r *Recorder) Receive(now time.Time, partition int, from placer.VM, c Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shelves[partition]
	if s == nil || s.missing == 0 || !contains(s.waiting, from) {
		return
	}
	s.waiting = slices.DeleteFunc(slices.Clone(s.waiting), from.Same)
	if s.missing--; s.missing == 0 {
		s.waiting = nil
	}
	if since := now.Add(-c.Reach); s.since.Equal(s.ready) || since.After(s.since) {
		s.since = since
	}
	for i, e := range c.Records {
		e.Began = now.Add(-c.Ages[i])
		r.merge(s, &e)
	}
}

// merge adds a copied record. A record of a finished attempt replaces one of an unfinished attempt.
func (r *Recorder) merge(s *shelf, e *Record) {
	n := name{e.Account, e.Key}
	if have, ok := s.records[n]; ok {
		if have.Ended || !e.Ended {
			return
		}
		r.remove(s, n)
	}
	s.records[n] = e
	r.bytes += e.size()
}
