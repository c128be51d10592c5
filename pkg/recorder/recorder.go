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
	// RecordTTL is how long a record is kept, from the start of its attempt.
	RecordTTL = 15 * time.Minute
	// MaxResultBytes is the largest response body stored. Of an attempt with a larger one, only the
	// end is recorded.
	MaxResultBytes = 64 << 10
	// maxBytes bounds the memory for all records of one VM, with their results, in bytes.
	maxBytes = 32 << 20
	// recordOverhead is the estimated size of a record without its key and response body, in bytes.
	recordOverhead = 256
	// partitionCount is the number of partitions into which keys are hashed; each has its own holders.
	partitionCount = 512
	// holdersPerKey is the number of VMs that store the record of a key.
	holdersPerKey = 3
)

// ErrCopyNotReady is returned by Recorder.Copy when the VM has not applied the requested fleet map,
// or does not have the partition's complete records.
var ErrCopyNotReady = errors.New("the holder has not read that fleet map yet")

type recordKey struct{ account, key string }

// Partition returns the partition of an account's key.
func Partition(account, key string) int {
	return int(placer.Hash(account+"\x00"+key) % partitionCount)
}

// Quorum returns how many of n holders must record an attempt as new before it may run.
func Quorum(n int) int { return n/2 + 1 }

// requiredCopies returns the number of n earlier holders whose records a new holder must copy to
// include every attempt that a quorum of them recorded.
func requiredCopies(n int) int { return n - Quorum(n) + 1 }

// placement lists the holders of each partition under one fleet map.
type placement [partitionCount][]placer.VM

func newPlacement(m *mapper.Map) *placement {
	var pl placement
	for p := range pl {
		pl[p] = m.Spread("record/"+strconv.Itoa(p), holdersPerKey)
	}
	return &pl
}

// replica is this VM's copy of the records of one partition.
type replica struct {
	// completeSince is the time from which on every attempt has a record; earlier ones may lack one.
	completeSince time.Time
	// readyAt is the time before which attempts are refused.
	readyAt time.Time
	// sources lists the earlier holders that have not been copied from, and copiesLeft is the
	// number of copies still required.
	sources    []placer.VM
	copiesLeft int
	records    map[recordKey]*Record
}

// Recorder stores the records for which one VM is a holder. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	self placer.VM
	// guard is the time after a map change by which no VM acts on an older map any more.
	guard time.Duration
	// version is the version of the fleet map that placement belongs to.
	version   uint64
	placement *placement
	replicas  map[int]*replica
	// bytes is the estimated memory of all records.
	bytes int
}

// New returns a Recorder for the VM self. A new holder that cannot copy the records of enough
// earlier holders refuses attempts for the time guard, after which no VM acts on an older map.
func New(self placer.VM, guard time.Duration) *Recorder {
	return &Recorder{self: self, guard: guard, placement: &placement{}, replicas: map[int]*replica{}}
}

// Holders returns the holders of an account's key and the version of the fleet map that names
// them. The caller must not modify the slice.
func (r *Recorder) Holders(account, key string) ([]placer.VM, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placement[Partition(account, key)], r.version
}

// Apply replaces the fleet map old by next, the map after it. It keeps the records of
// partitions that moved to other VMs, and starts copying those of partitions that moved here.
func (r *Recorder) Apply(now time.Time, old, next *mapper.Map) {
	placed := newPlacement(next)
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.placement
	if old.Version != r.version {
		before = newPlacement(old)
	}
	r.placement, r.version = placed, next.Version
	for p := range partitionCount {
		rep := r.replicas[p]
		switch {
		case !contains(placed[p], r.self):
			r.retire(now, p, rep)
		case rep == nil || !contains(before[p], r.self):
			r.releaseBytes(rep)
			r.replicas[p] = r.newReplica(now, old, next, before[p])
		case rep.copiesLeft > 0:
			r.pruneSources(now, rep, next)
		}
	}
}

func contains(vs []placer.VM, v placer.VM) bool { return slices.ContainsFunc(vs, v.Same) }

// pruneSources removes the earlier holders that are not members of the next map. If fewer are left
// than the copies still required, it stops copying.
func (r *Recorder) pruneSources(now time.Time, rep *replica, next *mapper.Map) {
	rep.sources = slices.DeleteFunc(slices.Clone(rep.sources), func(v placer.VM) bool { return !next.Has(v) })
	if len(rep.sources) < rep.copiesLeft {
		r.startWithoutCopies(now, rep)
	}
}

// retire keeps the replica of a partition that has moved to other holders, which may still copy it.
// It deletes the replica if that has no records left and has been ready for longer than RecordTTL.
func (r *Recorder) retire(now time.Time, p int, rep *replica) {
	if rep == nil {
		return
	}
	r.removeExpired(now, rep)
	if len(rep.records) == 0 && now.Sub(rep.readyAt) > RecordTTL {
		delete(r.replicas, p)
	}
}

func (r *Recorder) newReplica(now time.Time, old, next *mapper.Map, before []placer.VM) *replica {
	rep := &replica{completeSince: now, readyAt: now, records: map[recordKey]*Record{},
		sources: before, copiesLeft: requiredCopies(len(before))}
	if old.Version == 0 {
		// No attempt could run before the first map, so there is nothing to copy.
		rep.completeSince, rep.sources, rep.copiesLeft = now.Add(-RecordTTL), nil, 0
		return rep
	}
	r.pruneSources(now, rep, next)
	return rep
}

// startWithoutCopies makes a replica accept attempts without further copies, from the time when no
// VM acts on an older map any more.
func (r *Recorder) startWithoutCopies(now time.Time, rep *replica) {
	rep.sources, rep.copiesLeft = nil, 0
	rep.readyAt, rep.completeSince = now.Add(r.guard), now.Add(r.guard)
}

// releaseBytes subtracts the records of a replica that is being discarded from the memory in use.
func (r *Recorder) releaseBytes(rep *replica) {
	if rep == nil {
		return
	}
	for _, e := range rep.records {
		r.bytes -= e.size()
	}
}

// ApplyAfterGap replaces the current fleet map by a later one when the maps between were missed. All
// records are discarded, since other holders may have recorded attempts under the missed maps.
func (r *Recorder) ApplyAfterGap(now time.Time, next *mapper.Map) {
	placed := newPlacement(next)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placement, r.version = placed, next.Version
	for p := range partitionCount {
		r.releaseBytes(r.replicas[p])
		delete(r.replicas, p)
		if contains(placed[p], r.self) {
			rep := &replica{records: map[recordKey]*Record{}}
			r.startWithoutCopies(now, rep)
			r.replicas[p] = rep
		}
	}
}

// Begin records an attempt under the fleet map of the given version. The attempt may run only if a
// quorum of the holders returns VerdictNew. The result is set only with VerdictDone.
func (r *Recorder) Begin(now time.Time, a Attempt, version uint64) (Verdict, Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Partition(a.Account, a.Key)
	rep := r.replicas[p]
	if rep == nil || version != r.version || !contains(r.placement[p], r.self) {
		return VerdictBusy, Result{}
	}
	if rep.copiesLeft > 0 || now.Before(rep.readyAt) {
		return VerdictBusy, Result{}
	}
	k := recordKey{a.Account, a.Key}
	if e, ok := rep.records[k]; ok && now.Sub(e.Began) <= RecordTTL {
		return existingVerdict(e, a)
	} else if ok {
		r.remove(rep, k)
	}
	if a.Retry && now.Sub(rep.completeSince) < RecordTTL {
		return VerdictUnsure, Result{}
	}
	if r.bytes+recordOverhead+MaxResultBytes > maxBytes {
		return VerdictBusy, Result{}
	}
	e := &Record{Attempt: a, Began: now}
	rep.records[k] = e
	r.bytes += e.size()
	return VerdictNew, Result{}
}

func existingVerdict(e *Record, a Attempt) (Verdict, Result) {
	switch {
	case e.Fingerprint != a.Fingerprint:
		return VerdictMismatch, Result{}
	case e.Ended:
		return VerdictDone, e.Result
	}
	return VerdictRunning, Result{}
}

// Finish records the result of an attempt. If its body is larger than MaxResultBytes, only the fact
// that the attempt ended is recorded.
func (r *Recorder) Finish(a Attempt, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.find(a)
	if e == nil {
		return
	}
	if len(res.Body) > MaxResultBytes {
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
		r.remove(r.replicas[Partition(a.Account, a.Key)], recordKey{a.Account, a.Key})
	}
}

func (r *Recorder) remove(rep *replica, k recordKey) {
	r.bytes -= rep.records[k].size()
	delete(rep.records, k)
}

// Expire deletes the records whose attempts began more than RecordTTL ago.
func (r *Recorder) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.replicas {
		r.removeExpired(now, rep)
	}
}

func (r *Recorder) find(a Attempt) *Record {
	rep := r.replicas[Partition(a.Account, a.Key)]
	if rep == nil {
		return nil
	}
	e := rep.records[recordKey{a.Account, a.Key}]
	if e == nil || e.ID != a.ID {
		return nil
	}
	return e
}

func (r *Recorder) removeExpired(now time.Time, rep *replica) {
	for k, e := range rep.records {
		if now.Sub(e.Began) > RecordTTL {
			r.remove(rep, k)
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
	st := Status{Partitions: len(r.replicas), Bytes: r.bytes}
	for _, rep := range r.replicas {
		st.Records += len(rep.records)
		if rep.copiesLeft > 0 {
			st.Waiting++
		}
	}
	return st
}
