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
	// Life is how long a record is kept after its attempt began.
	Life = 15 * time.Minute
	// MaxResult is the largest result kept, in bytes; of a larger one only the end is recorded.
	MaxResult = 64 << 10
	// maxBytes bounds the memory of the results and records of one holder, in bytes.
	maxBytes = 32 << 20
	// recordBytes is what a record takes besides its result, in bytes.
	recordBytes = 256
	// partitions is the number of units in which the holders of keys are placed.
	partitions = 512
	// holders is how many VMs hold a key's record.
	holders = 3
)

// ErrCopyNotReady is returned for a copy that needs a newer map than the holder has read.
var ErrCopyNotReady = errors.New("the holder has not read that fleet map yet")

type name struct{ account, key string }

// Partition returns the index that places an account's key.
func Partition(account, key string) int {
	return int(placer.Hash(account+"\x00"+key) % partitions)
}

// Quorum returns how many of n holders must record an attempt before it runs.
func Quorum(n int) int { return n/2 + 1 }

// copies returns from how many of n holders the records must be copied, so that every
// attempt that a quorum recorded is among them.
func copies(n int) int { return n - Quorum(n) + 1 }

// table holds the holders of each partition under one map.
type table [partitions][]placer.VM

func newTable(m *mapper.Map) *table {
	var t table
	for p := range t {
		t[p] = m.Spread("record/"+strconv.Itoa(p), holders)
	}
	return &t
}

type shelf struct {
	// since is when the records began to be complete; attempts before it may be missing.
	since time.Time
	ready time.Time
	// waiting are earlier holders whose records may be copied, and missing is how many copies it takes.
	waiting []placer.VM
	missing int
	records map[name]*Record
}

// Recorder holds the records of one VM. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	self    placer.VM
	guard   time.Duration
	version uint64
	table   *table
	shelves map[int]*shelf
	bytes   int
}

// New returns the recorder of the VM self; a holder without predecessors answers
// after guard, by when no VM acts on an older map.
func New(self placer.VM, guard time.Duration) *Recorder {
	return &Recorder{self: self, guard: guard, table: &table{}, shelves: map[int]*shelf{}}
}

// Holders returns the VMs that hold the records of an account's key, and the version of
// the map that says so.
func (r *Recorder) Holders(account, key string) ([]placer.VM, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table[Partition(account, key)], r.version
}

// Apply moves from one map to the next.
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

// narrow gives up the earlier holders that the next map declares dead.
func (r *Recorder) narrow(now time.Time, s *shelf, next *mapper.Map) {
	s.waiting = slices.DeleteFunc(slices.Clone(s.waiting), func(v placer.VM) bool { return !next.Has(v) })
	if len(s.waiting) < s.missing {
		r.restart(now, s)
	}
}

// retire keeps the records of a partition for its new holders to copy until they expire.
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
		// Before the first map no attempt could run, so nothing is missing.
		s.since, s.waiting, s.missing = now.Add(-Life), nil, 0
		return s
	}
	r.narrow(now, s, next)
	return s
}

// restart begins a partition's records anew, once no VM acts on an older map.
func (r *Recorder) restart(now time.Time, s *shelf) {
	s.waiting, s.missing = nil, 0
	s.ready, s.since = now.Add(r.guard), now.Add(r.guard)
}

// drop forgets the records of a partition that is opened again.
func (r *Recorder) drop(s *shelf) {
	if s == nil {
		return
	}
	for _, e := range s.records {
		r.bytes -= e.size()
	}
}

// Skip moves to a later map when those between were missed: every partition held
// here begins anew, since other holders may have recorded attempts meanwhile.
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

// Begin records an attempt under the map of the given version. The attempt may run
// only if a quorum of the holders answers VerdictNew.
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

// Finish records how an attempt ended; a result that is too large is kept as not known.
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

// Cancel forgets an attempt that was not run.
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

// Expire forgets the records that are older than Life.
func (r *Recorder) Expire(now time.Time) {
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

// Status describes what a holder keeps.
type Status struct {
	Partitions int `json:"partitions"`
	Waiting    int `json:"waiting"`
	Records    int `json:"records"`
	Bytes      int `json:"bytes"`
}

// Status returns the counts of what is held.
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
