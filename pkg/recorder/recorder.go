package recorder

import (
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=title-lower -text

// Verdict is a holder's answer to the begin of an attempt.
type Verdict int

// The verdicts of a holder.
const (
	// VerdictNew means that the attempt is recorded and no other is known.
	VerdictNew Verdict = iota
	// VerdictRunning means that another attempt began and has not ended, or its end was lost.
	VerdictRunning
	// VerdictDone means that another attempt ended; its result is given.
	VerdictDone
	// VerdictMismatch means that the key was used for a different request.
	VerdictMismatch
	// VerdictUnsure means that the attempt says it is a retry and the records do not reach back to the first.
	VerdictUnsure
	// VerdictBusy means that the holder cannot record now: it lacks the records or the room.
	VerdictBusy
)

const (
	// Life is how long a record is kept after its attempt began.
	Life = 15 * time.Minute
	// MaxResult is the largest result kept, in bytes; of a larger one only the end is recorded.
	MaxResult = 64 << 10
	// maxBytes bounds the memory of the results and records of one holder, in bytes.
	maxBytes = 32 << 20
	// recordBytes is what a record takes besides its result, in bytes.
	recordBytes = 256
	partitions  = 512
)

// ErrNotYet is returned for a copy that needs a newer map than the holder has read.
var ErrNotYet = errors.New("the holder has not read that fleet map yet")

// Attempt names one attempt to run a request with an idempotency key.
type Attempt struct {
	Account string
	Key     string
	// ID is unique to the attempt.
	ID string
	// Fingerprint identifies the request's content.
	Fingerprint uint64
	// Retry says that the caller sent the request before.
	Retry bool
}

// Result is how an attempt ended.
type Result struct {
	// Known says that the whole answer is kept.
	Known  bool
	Status int
	Header map[string][]string
	Body   []byte
}

// Record is what a holder keeps of an attempt.
type Record struct {
	Attempt
	Began time.Time
	Ended bool
	Result
}

func (r *Record) size() int { return recordBytes + len(r.Key) + len(r.Body) }

type name struct{ account, key string }

// Partition returns the index that places an account's key.
func Partition(account, key string) int {
	return int(placer.Hash(account+"\x00"+key) % partitions)
}

func placeKey(partition int) string { return "record/" + strconv.Itoa(partition) }

// Holders returns the VMs that hold the records of a partition under a map.
func Holders(m *mapper.Map, partition int) []placer.VM { return m.Holders(placeKey(partition)) }

type shelf struct {
	// since is when the records began to be complete; attempts before it may be missing.
	since   time.Time
	ready   time.Time
	waiting []placer.VM
	records map[name]*Record
}

// Recorder holds the records of one VM. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	self    placer.VM
	guard   time.Duration
	current *mapper.Map
	shelves map[int]*shelf
	bytes   int
}

// New returns the recorder of the VM self; a holder without predecessors answers
// after guard, by when no VM acts on an older map.
func New(self placer.VM, guard time.Duration) *Recorder {
	return &Recorder{self: self, guard: guard, current: mapper.NewMap(0, nil), shelves: map[int]*shelf{}}
}

// Apply moves from one map to the next.
func (r *Recorder) Apply(now time.Time, old, next *mapper.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = next
	for p := range partitions {
		was, is := Holders(old, p), Holders(next, p)
		s := r.shelves[p]
		switch {
		case !contains(is, r.self):
			r.retire(now, p, s)
		case s == nil || !contains(was, r.self):
			r.drop(s)
			r.shelves[p] = r.open(now, old, next, was)
		case len(s.waiting) > 0:
			if s.waiting = alive(s.waiting, next); len(s.waiting) == 0 {
				r.restart(now, s)
			}
		}
	}
}

func contains(vs []placer.VM, v placer.VM) bool {
	for _, x := range vs {
		if x.Same(v) {
			return true
		}
	}
	return false
}

func alive(vs []placer.VM, m *mapper.Map) []placer.VM {
	var kept []placer.VM
	for _, v := range vs {
		if m.Has(v) {
			kept = append(kept, v)
		}
	}
	return kept
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
	s := &shelf{since: now, ready: now, records: map[name]*Record{}, waiting: alive(was, next)}
	if old.Version == 0 {
		return s
	}
	if len(s.waiting) == 0 {
		r.restart(now, s)
	}
	return s
}

// restart begins a partition's records anew, once no VM acts on an older map.
func (r *Recorder) restart(now time.Time, s *shelf) {
	s.waiting = nil
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = next
	for p := range partitions {
		r.drop(r.shelves[p])
		delete(r.shelves, p)
		if contains(Holders(next, p), r.self) {
			s := &shelf{records: map[name]*Record{}}
			r.restart(now, s)
			r.shelves[p] = s
		}
	}
}

// Need is a partition whose records are to be copied from one of some VMs.
type Need struct {
	Partition int
	From      []placer.VM
}

// Needs returns the partitions whose records have to be copied.
func (r *Recorder) Needs() []Need {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ns []Need
	for p, s := range r.shelves {
		if len(s.waiting) > 0 {
			ns = append(ns, Need{Partition: p, From: s.waiting})
		}
	}
	return ns
}

// Copy is the content of a partition at an earlier holder.
type Copy struct {
	// Reach is how far back the records are complete.
	Reach   time.Duration
	Records []Record
	// Ages are the times since the records' attempts began.
	Ages []time.Duration
}

// Copy returns the records of a partition to a new holder under the map of the given
// version. From then on this VM refuses attempts under older maps.
func (r *Recorder) Copy(now time.Time, partition int, version uint64) (Copy, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Version < version {
		return Copy{}, ErrNotYet
	}
	s := r.shelves[partition]
	if s == nil || len(s.waiting) > 0 || now.Before(s.ready) {
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

// Receive takes the copy of a partition.
func (r *Recorder) Receive(now time.Time, partition int, c Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shelves[partition]
	if s == nil || len(s.waiting) == 0 {
		return
	}
	s.waiting = nil
	s.since = now.Add(-c.Reach)
	for i, e := range c.Records {
		e.Began = now.Add(-c.Ages[i])
		s.records[name{e.Account, e.Key}] = &e
		r.bytes += e.size()
	}
}

// Abandon gives up copying a partition because no earlier holder can be reached any more;
// its records begin anew after the guard.
func (r *Recorder) Abandon(now time.Time, partition int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.shelves[partition]; s != nil && len(s.waiting) > 0 {
		r.restart(now, s)
	}
}

// Begin records an attempt under the map of the given version. The attempt may run
// only if all holders answer VerdictNew.
func (r *Recorder) Begin(now time.Time, a Attempt, version uint64) (Verdict, Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Partition(a.Account, a.Key)
	s := r.shelves[p]
	if s == nil || version != r.current.Version || !contains(Holders(r.current, p), r.self) {
		return VerdictBusy, Result{}
	}
	if len(s.waiting) > 0 || now.Before(s.ready) {
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

// Tick forgets the records that are older than Life.
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
		if len(s.waiting) > 0 {
			st.Waiting++
		}
	}
	return st
}
