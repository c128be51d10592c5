package recorder

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=title-lower -text

const (
	// Life is how long a record is kept, from the start of its attempt.
	Life = 15 * time.Minute
	// MaxResult is the largest response body stored, in bytes. Of an attempt with a larger one,
	// only the end is recorded.
	MaxResult = 64 << 10
	// maxBytes bounds the memory for all records of one VM, with their results, in bytes.
	maxBytes = 32 << 20
	// recordBytes is the estimated size of a record without its key and response body, in bytes.
	recordBytes = 256
	// partitions is the number of partitions into which keys are hashed; each has its own holders.
	partitions = 512
	// holders is the number of VMs that store the record of a key.
	holders = 3
)

// ErrNotYet is returned by Recorder.Copy when the VM has not applied the requested fleet map, or
// does not have the partition's complete records.
var ErrNotYet = errors.New("records of the partition cannot be copied yet")

type name struct{ account, key string }

// Partition returns the partition of an account's key.
func Partition(account, key string) int {
	return int(placer.Hash(account+"\x00"+key) % partitions)
}

// Quorum returns how many of n holders must record an attempt as new before it may run.
func Quorum(n int) int { return n/2 + 1 }

// copies returns the number of n earlier holders whose records a new holder must copy to include
// every attempt that a quorum of them recorded.
func copies(n int) int { return n - Quorum(n) + 1 }

// table lists the holders of each partition under one fleet map.
type table [partitions][]placer.VM

func newTable(m *mapper.Map) *table {
	var t table
	for p := range t {
		t[p] = m.Spread("record/"+strconv.Itoa(p), holders)
	}
	return &t
}

// shelf is this VM's replica of the records of one partition.
type shelf struct {
	// since is the time from which on every attempt has a record; earlier ones may lack one.
	since time.Time
	// ready is the time before which attempts are refused.
	ready time.Time
	// waiting lists the earlier holders that have not been copied from, and missing is the number
	// of copies still required.
	waiting []placer.VM
	missing int
	records map[name]*Record
}

// Recorder stores the records for which one VM is a holder. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	self placer.VM
	// guard is the time after a map change by which no VM acts on an older map any more.
	guard time.Duration
	// version is the version of the fleet map that table belongs to.
	version uint64
	table   *table
	shelves map[int]*shelf
	// bytes is the estimated memory of all records.
	bytes int
}

// New returns a Recorder for the VM self. A new holder that cannot copy the records of enough
// earlier holders refuses attempts for the time guard, after which no VM acts on an older map.
func New(self placer.VM, guard time.Duration) *Recorder {
	return &Recorder{self: self, guard: guard, table: &table{}, shelves: map[int]*shelf{}}
}

// Holders returns the holders of an account's key and the version of the fleet map that names
// them. The caller must not modify the slice.
func (r *Recorder) Holders(account, key string) ([]placer.VM, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table[Partition(account, key)], r.version
}

// Apply replaces the fleet map old by next, the map after it. It keeps the records of
// partitions that moved to other VMs, and starts copying those of partitions that moved here.
func (r *Recorder) Apply(now time.Time, old, next *mapper.Map) {
	t := newTable(next)
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.table
	if old.Version != r.version {
		was = newTable(old)
	}
	r.table, r.version = t, next.Version
	for p := range partitions {
		s := r.shelves[p]
		switch {
		case !contains(t[p], r.self):
			r.retire(now, p, s)
		case s == nil || !contains(was[p], r.self):
			r.drop(s)
			r.shelves[p] = r.open(now, old, next, was[p])
		case s.missing > 0:
			r.narrow(now, s, next)
		}
	}
}

func contains(vs []placer.VM, v placer.VM) bool { return slices.ContainsFunc(vs, v.Same) }

// narrow removes the earlier holders that are not members of the next map. If fewer are left than
// the copies still required, it stops copying.
func (r *Recorder) narrow(now time.Time, s *shelf, next *mapper.Map) {
	s.waiting = slices.DeleteFunc(slices.Clone(s.waiting), func(v placer.VM) bool { return !next.Has(v) })
	if len(s.waiting) < s.missing {
		r.restart(now, s)
	}
}

// retire keeps the records of a partition that has moved to other holders, which may still copy
// them. It deletes the partition once that has no records left and has been ready for longer than Life.
func (r *Recorder) retire(now time.Time, p int, s *shelf) {
	if s == nil {
		return
	}
	r.expire(now, s)
	if len(s.records) == 0 && now.Sub(s.ready) > Life {
		delete(r.shelves, p)
	}
}

func (r *Recorder) open(now time.Time, old, next *mapper.Map, was []placer.VM) *shelf {
	s := &shelf{since: now, ready: now, records: map[name]*Record{}, waiting: was, missing: copies(len(was))}
	if old.Version == 0 {
		// No attempt could run before the first map, so there is nothing to copy.
		s.since, s.waiting, s.missing = now.Add(-Life), nil, 0
		return s
	}
	r.narrow(now, s, next)
	return s
}

// restart makes a partition accept attempts without further copies, from the time when no VM acts
// on an older map any more.
func (r *Recorder) restart(now time.Time, s *shelf) {
	s.waiting, s.missing = nil, 0
	s.ready, s.since = now.Add(r.guard), now.Add(r.guard)
}

// drop subtracts the records of a replica that is being discarded from the memory in use.
func (r *Recorder) drop(s *shelf) {
	if s == nil {
		return
	}
	for _, e := range s.records {
		r.bytes -= e.size()
	}
}

// Skip replaces the current fleet map by a later one when the maps between were missed. All
// records are discarded, since other holders may have recorded attempts under the missed maps.
func (r *Recorder) Skip(now time.Time, next *mapper.Map) {
	t := newTable(next)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table, r.version = t, next.Version
	for p := range partitions {
		r.drop(r.shelves[p])
		delete(r.shelves, p)
		if contains(t[p], r.self) {
			s := &shelf{records: map[name]*Record{}}
			r.restart(now, s)
			r.shelves[p] = s
		}
	}
}

// Begin records an attempt under the fleet map of the given version. The attempt may run only if a
// quorum of the holders returns VerdictNew. The result is set only with VerdictDone.
func (r *Recorder) Begin(now time.Time, a Attempt, version uint64) (Verdict, Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Partition(a.Account, a.Key)
	s := r.shelves[p]
	if s == nil || version != r.version || !contains(r.table[p], r.self) {
		return VerdictBusy, Result{}
	}
	if s.missing > 0 || now.Before(s.ready) {
		return VerdictBusy, Result{}
	}
	n := name{a.Account, a.Key}
	if e, ok := s.records[n]; ok && now.Sub(e.Began) <= Life {
		return known(e, a)
	} else if ok {
		r.remove(s, n)
	}
	if a.Retry && now.Sub(s.since) < Life {
		return VerdictUnsure, Result{}
	}
	if r.bytes+recordBytes+MaxResult > maxBytes {
		return VerdictBusy, Result{}
	}
	e := &Record{Attempt: a, Began: now}
	s.records[n] = e
	r.bytes += e.size()
	return VerdictNew, Result{}
}

func known(e *Record, a Attempt) (Verdict, Result) {
	switch {
	case e.Fingerprint != a.Fingerprint:
		return VerdictMismatch, Result{}
	case e.Ended:
		return VerdictDone, e.Result
	}
	return VerdictRunning, Result{}
}

// Finish records the result of an attempt. If its body is larger than MaxResult, only the fact
// that the attempt ended is recorded.
func (r *Recorder) Finish(a Attempt, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(a)
	if e == nil {
		return
	}
	if len(res.Body) > MaxResult {
		res = Result{}
	}
	r.bytes -= e.size()
	e.Ended, e.Result = true, res
	r.bytes += e.size()
}

// Cancel deletes the record of an attempt that was not run. It ignores finished attempts.
func (r *Recorder) Cancel(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.find(a); e != nil && !e.Ended {
		r.remove(r.shelves[Partition(a.Account, a.Key)], name{a.Account, a.Key})
	}
}

func (r *Recorder) remove(s *shelf, n name) {
	r.bytes -= s.records[n].size()
	delete(s.records, n)
}

// Tick deletes the records whose attempts began more than Life ago.
func (r *Recorder) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.shelves {
		r.expire(now, s)
	}
}

func (r *Recorder) find(a Attempt) *Record {
	s := r.shelves[Partition(a.Account, a.Key)]
	if s == nil {
		return nil
	}
	e := s.records[name{a.Account, a.Key}]
	if e == nil || e.ID != a.ID {
		return nil
	}
	return e
}

func (r *Recorder) expire(now time.Time, s *shelf) {
	for n, e := range s.records {
		if now.Sub(e.Began) > Life {
			r.remove(s, n)
		}
	}
}

// Status is the number of partitions, those of them that wait for copies, the number of records
// and their estimated memory.
type Status struct {
	Partitions int `json:"partitions"`
	Waiting    int `json:"waiting"`
	Records    int `json:"records"`
	Bytes      int `json:"bytes"`
}

// Status returns counts for the state dump.
func (r *Recorder) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := Status{Partitions: len(r.shelves), Bytes: r.bytes}
	for _, s := range r.shelves {
		st.Records += len(s.records)
		if s.missing > 0 {
			st.Waiting++
		}
	}
	return st
}
