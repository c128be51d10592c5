package recorder

import (
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// PendingCopy is a partition whose records are to be copied from some VMs.
type PendingCopy struct {
	Partition int
	From      []placer.VM
}

// PendingCopies returns the partitions whose records have to be copied.
func (r *Recorder) PendingCopies() []PendingCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ns []PendingCopy
	for p, s := range r.shelves {
		if s.missing > 0 {
			ns = append(ns, PendingCopy{Partition: p, From: slices.Clone(s.waiting)})
		}
	}
	return ns
}

// Copy is the content of a partition at an earlier holder.
type Copy struct {
	// CompleteFor is how far back the records are complete.
	CompleteFor time.Duration
	Records     []Record
	// Ages are the times since the records' attempts began.
	Ages []time.Duration
}

// Copy returns the records of a partition to a new holder under the map of the given
// version. From then on this VM refuses attempts under older maps.
func (r *Recorder) Copy(now time.Time, partition int, version uint64) (Copy, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version < version {
		return Copy{}, ErrCopyNotReady
	}
	s := r.shelves[partition]
	if s == nil || s.missing > 0 || now.Before(s.ready) {
		return Copy{}, ErrCopyNotReady
	}
	r.expire(now, s)
	c := Copy{CompleteFor: now.Sub(s.since)}
	for _, e := range s.records {
		c.Records = append(c.Records, *e)
		c.Ages = append(c.Ages, now.Sub(e.Began))
	}
	return c, nil
}

// Receive takes the copy of a partition from one of the earlier holders.
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
	if since := now.Add(-c.CompleteFor); s.since.Equal(s.ready) || since.After(s.since) {
		s.since = since
	}
	for i, e := range c.Records {
		e.Began = now.Add(-c.Ages[i])
		r.merge(s, &e)
	}
}

// merge takes a copied record; one that says how its attempt ended counts more.
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
