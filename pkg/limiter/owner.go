package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

//go:generate go tool enumer -type=State -trimprefix=State -transform=title-lower -text

// State is where a partition stands at a VM.
type State int

// The states of a partition.
const (
	// StateNone means that the VM has nothing to do with the partition.
	StateNone State = iota
	// StateWaiting means that the VM owns the partition and waits for its predecessor's release.
	StateWaiting
	// StateGuarded means that the predecessor is dead and the VM waits until no VM can believe otherwise.
	StateGuarded
	// StateHeld means that the VM owns the partition and grants from it.
	StateHeld
	// StateFrozen means that another VM owns the partition and may ask for what this VM held.
	StateFrozen
	// StateReleased means that another VM was given what this VM held.
	StateReleased
	// StateRenounced means that the VM was to own the partition, never held it and never will under that map.
	StateRenounced
)

// ErrNotOwner is returned for an ask to a VM that does not hold the partition.
var ErrNotOwner = errors.New("partition is not held here")

// ErrNotReleasableYet is returned for a release that the VM cannot give before it has read a newer map.
var ErrNotReleasableYet = errors.New("partition cannot be released yet")

// Handoff is what a partition's owner passes on: the levels of the buckets that were used.
type Handoff struct {
	Levels map[string]Tokens
	// Full says that an account without a level has its whole burst; else it has what accrued over Age.
	Full bool
	Age  time.Duration
	// Redirect names the VM to ask instead, if this one never held the partition.
	Redirect *placer.VM
	// Empty says that the partition was never held since its last owner died.
	Empty bool
}

// PendingRelease is a partition that waits for a release from a VM.
type PendingRelease struct {
	Partition mapper.Partition
	From      placer.VM
}

type partition struct {
	state State
	from  placer.VM
	// asked are the VMs that said that they never held the partition.
	asked   []placer.VM
	until   time.Time
	base    time.Time
	full    bool
	buckets map[string]*Bucket
	handoff Handoff
}

// Owner keeps the partitions of the accounts' rates that one VM owns. It is safe for concurrent use.
type Owner struct {
	mu         sync.Mutex
	self       placer.VM
	guard      time.Duration
	asserter   *asserter.Asserter
	current    *mapper.Map
	partitions map[mapper.Partition]*partition
}

// NewOwner returns the owner part of the VM self. A partition whose owner died is
// granted from only after guard, by when no VM acts on an older map.
func NewOwner(self placer.VM, guard time.Duration, a *asserter.Asserter) *Owner {
	return &Owner{self: self, guard: guard, asserter: a, current: mapper.NewMap(0, nil), partitions: map[mapper.Partition]*partition{}}
}

// Apply moves from one map to the next. The shards are those that accounts have.
func (o *Owner) Apply(now time.Time, old, next *mapper.Map, shards []mapper.Shard) {
	o.each(next, shards, func(p mapper.Partition) { o.move(now, p, old, next) })
}

// ApplyAfterGap moves from one map to a later one when those between were missed. What others
// held meanwhile is not known, so a partition that is new here starts empty after the guard.
func (o *Owner) ApplyAfterGap(now time.Time, old, next *mapper.Map, shards []mapper.Shard) {
	o.each(next, shards, func(p mapper.Partition) { o.jump(now, p, old, next) })
}

func (o *Owner) each(next *mapper.Map, shards []mapper.Shard, f func(mapper.Partition)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = next
	for _, sh := range shards {
		for i := range mapper.PartitionsPerShard {
			f(mapper.Partition{Shard: sh, Index: i})
		}
	}
}

func (o *Owner) jump(now time.Time, p mapper.Partition, old, next *mapper.Map) {
	was, had := old.Owner(p)
	owner, has := next.Owner(p)
	mine := has && owner.Same(o.self)
	wasMine := had && was.Same(o.self)
	s := o.partitions[p]
	switch {
	case mine && (!wasMine || s == nil || s.state == StateWaiting):
		o.partitions[p] = o.guarded(now)
	case !mine && wasMine:
		o.leave(now, p)
	}
}

func (o *Owner) move(now time.Time, p mapper.Partition, old, next *mapper.Map) {
	was, had := old.Owner(p)
	owner, has := next.Owner(p)
	mine := has && owner.Same(o.self)
	wasMine := had && was.Same(o.self)
	switch {
	case mine && wasMine:
		o.promote(now, p, next)
	case mine && !had:
		o.partitions[p] = o.genesis(now, old)
	case mine && !next.Has(was):
		o.partitions[p] = o.guarded(now)
	case mine:
		o.partitions[p] = &partition{state: StateWaiting, from: was}
	case wasMine:
		o.leave(now, p)
	}
}

// genesis is the start of a partition that no map before gave to anybody.
func (o *Owner) genesis(now time.Time, old *mapper.Map) *partition {
	if old.Version != 0 {
		return o.guarded(now)
	}
	return &partition{state: StateHeld, base: now, full: true, buckets: map[string]*Bucket{}}
}

func (o *Owner) guarded(now time.Time) *partition {
	return &partition{state: StateGuarded, until: now.Add(o.guard)}
}

// promote stops waiting for a predecessor that the next map declares dead.
func (o *Owner) promote(now time.Time, p mapper.Partition, next *mapper.Map) {
	s := o.partitions[p]
	if s != nil && s.state == StateWaiting && !next.Has(s.from) {
		o.partitions[p] = o.guarded(now)
	}
}

func (o *Owner) leave(now time.Time, p mapper.Partition) {
	s := o.partitions[p]
	if s == nil {
		return
	}
	switch o.settled(now, s).state {
	case StateHeld:
		s.handoff, s.state = s.release(now), StateFrozen
		s.buckets = nil
	case StateWaiting:
		from := s.from
		s.handoff, s.state = Handoff{Redirect: &from}, StateRenounced
	case StateGuarded:
		s.handoff, s.state = Handoff{Empty: true}, StateRenounced
	}
}

func (o *Owner) settled(now time.Time, s *partition) *partition {
	if s.state == StateGuarded && !now.Before(s.until) {
		s.state, s.base, s.buckets = StateHeld, now, map[string]*Bucket{}
	}
	return s
}

func (s *partition) release(now time.Time) Handoff {
	h := Handoff{Levels: make(map[string]Tokens, len(s.buckets)), Full: s.full, Age: now.Sub(s.base)}
	for a, b := range s.buckets {
		h.Levels[a] = b.Level(now)
	}
	return h
}

// Release gives up a partition to the VM that asks for it, which must own it under the
// map m that this VM has read. A repeated ask gets the same answer.
func (o *Owner) Release(now time.Time, p mapper.Partition, m *mapper.Map, to placer.VM) (Handoff, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owner, ok := m.Owner(p)
	if !ok || !owner.Same(to) {
		return Handoff{}, ErrNotReleasableYet
	}
	s := o.partitions[p]
	if s == nil {
		return Handoff{}, ErrNotOwner
	}
	switch s.state {
	case StateFrozen:
		s.state = StateReleased
	case StateReleased, StateRenounced:
	default:
		return Handoff{}, ErrNotReleasableYet
	}
	return s.handoff, nil
}

// PendingReleases returns the partitions that wait for a release, and whom to ask.
func (o *Owner) PendingReleases() []PendingRelease {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ns []PendingRelease
	for p, s := range o.partitions {
		if s.state == StateWaiting {
			ns = append(ns, PendingRelease{Partition: p, From: s.from})
		}
	}
	return ns
}

// ApplyHandoff takes the answer of the VM that a partition waits for.
func (o *Owner) ApplyHandoff(now time.Time, n PendingRelease, h Handoff) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.partitions[n.Partition]
	if s == nil || s.state != StateWaiting || !s.from.Same(n.From) {
		return
	}
	switch {
	case h.Redirect != nil:
		o.redirect(now, n.Partition, s, *h.Redirect)
	case h.Empty:
		o.partitions[n.Partition] = o.guarded(now)
	default:
		s.state, s.full, s.base = StateHeld, h.Full, now.Add(-h.Age)
		s.buckets = make(map[string]*Bucket, len(h.Levels))
		for a, l := range h.Levels {
			s.buckets[a] = newHandedOver(now, l)
		}
	}
}

// redirect turns to another VM. When that is dead, or was asked before so that all who
// could hold the partition have renounced it, the partition starts empty.
func (o *Owner) redirect(now time.Time, p mapper.Partition, s *partition, to placer.VM) {
	s.asked = append(s.asked, s.from)
	if to.Same(o.self) || !o.current.Has(to) || slices.ContainsFunc(s.asked, to.Same) {
		o.partitions[p] = o.guarded(now)
		return
	}
	s.from = to
}

// Grant is the answer to an ask.
type Grant struct {
	Tokens Tokens
	// Left is what remains in the shard.
	Left Tokens
}

// Acquire takes up to want tokens of an account's shard with the given limit.
// The caller must have checked that the VM is in contact with the fleet.
func (o *Owner) Acquire(now time.Time, p mapper.Partition, account string, l Limit, want Tokens) (Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, err := o.bucket(now, p, account, l)
	if err != nil {
		return Grant{}, err
	}
	got := b.Take(now, want, o.asserter)
	return Grant{Tokens: got, Left: b.Level(now)}, nil
}

// Return puts back tokens of an account's shard that were not used.
func (o *Owner) Return(now time.Time, p mapper.Partition, account string, l Limit, n Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, err := o.bucket(now, p, account, l); err == nil {
		b.Return(now, n)
	}
}

func (o *Owner) bucket(now time.Time, p mapper.Partition, account string, l Limit) (*Bucket, error) {
	s := o.partitions[p]
	if s == nil || o.settled(now, s).state != StateHeld {
		return nil, ErrNotOwner
	}
	b, ok := s.buckets[account]
	if !ok {
		level := l.Burst
		if !s.full {
			level = min(level, l.Refill(now.Sub(s.base)))
		}
		b = NewBucket(now, l, level)
		s.buckets[account] = b
	}
	b.SetLimit(now, l)
	return b, nil
}

// Status counts the partitions in each state and the buckets held.
type Status struct {
	Partitions map[State]int `json:"partitions"`
	Buckets    int           `json:"buckets"`
}

// Status returns the counts of partitions and buckets.
func (o *Owner) Status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	st := Status{Partitions: map[State]int{}}
	for _, s := range o.partitions {
		st.Partitions[s.state]++
		st.Buckets += len(s.buckets)
	}
	return st
}
