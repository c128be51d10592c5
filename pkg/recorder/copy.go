package recorder

import (
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// PendingCopy is a partition whose records this VM has yet to copy. From lists the earlier holders
// that have not been copied from.
type PendingCopy struct {
	Partition int
	From      []placer.VM
}

// PendingCopies returns the partitions for which copies from earlier holders are outstanding.
func (r *Recorder) PendingCopies() []PendingCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ns []PendingCopy
	for p, rep := range r.replicas {
		if rep.copiesLeft > 0 {
			ns = append(ns, PendingCopy{Partition: p, From: slices.Clone(rep.sources)})
		}
	}
	return ns
}

// Copy is the records of a partition as an earlier holder has them.
type Copy struct {
	// CompleteFor is how far back from the time of the copy the records are complete.
	CompleteFor time.Duration
	Records     []Record
	// Ages are the times since the attempts began, in the order of Records.
	Ages []time.Duration
}

// Copy returns the records of a partition for a holder that became one under the map of the
// given version. It returns ErrCopyNotReady until this VM has applied that map, and while its own
// records are incomplete. So this VM refuses attempts under older maps from the first copy on.
func (r *Recorder) Copy(now time.Time, partition int, version uint64) (Copy, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version < version {
		return Copy{}, ErrCopyNotReady
	}
	rep := r.replicas[partition]
	if rep == nil || rep.copiesLeft > 0 || now.Before(rep.readyAt) {
		return Copy{}, ErrCopyNotReady
	}
	r.removeExpired(now, rep)
	c := Copy{CompleteFor: now.Sub(rep.completeSince)}
	for _, e := range rep.records {
		c.Records = append(c.Records, *e)
		c.Ages = append(c.Ages, now.Sub(e.Began))
	}
	return c, nil
}

// ApplyCopy merges a copy of a partition that one of the earlier holders sent. It ignores copies
// that are not outstanding.
func (r *Recorder) ApplyCopy(now time.Time, partition int, from placer.VM, c Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.replicas[partition]
	if rep == nil || rep.copiesLeft == 0 || !contains(rep.sources, from) {
		return
	}
	rep.sources = slices.DeleteFunc(slices.Clone(rep.sources), from.Same)
	if rep.copiesLeft--; rep.copiesLeft == 0 {
		rep.sources = nil
	}
	if since := now.Add(-c.CompleteFor); rep.completeSince.Equal(rep.readyAt) || since.After(rep.completeSince) {
		rep.completeSince = since
	}
	for i, e := range c.Records {
		e.Began = now.Add(-c.Ages[i])
		r.merge(rep, &e)
	}
}

// merge adds a copied record. A record of a finished attempt replaces one of an unfinished attempt.
func (r *Recorder) merge(rep *replica, e *Record) {
	k := recordKey{e.Account, e.Key}
	if existing, ok := rep.records[k]; ok {
		if existing.Ended || !e.Ended {
			return
		}
		r.remove(rep, k)
	}
	rep.records[k] = e
	r.bytes += e.size()
}
