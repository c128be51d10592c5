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

// State is the state of a partition at one VM.
type State int

// The states of a partition.
const (
	// StateNone means that the VM has no part in the partition.
	StateNone State = iota
	// StateWaiting means that the VM owns the partition and waits for its predecessor to release it.
	StateWaiting
	// StateGuarded means that the VM owns the partition, but no predecessor can release it, usually because it
	// is dead; the VM waits for the guard period, after which no VM acts on an older map.
	StateGuarded
	// StateHeld means that the VM owns the partition and grants tokens from it.
	StateHeld
	// StateFrozen means that another VM owns the partition and may request this VM's handoff; this VM grants
	// no more tokens.
	StateFrozen
	// StateReleased means that this VM gave its handoff to the new owner.
	StateReleased
	// StateRenounced means that a map assigned the partition to the VM and a later one took it away before the
	// VM held it; the VM will not hold it under the earlier map.
	StateRenounced
)

// ErrNotOwner is returned for a request to a VM that does not hold the partition.
var ErrNotOwner = errors.New("partition is not held here")

// ErrNotReleasableYet is returned for a release that the VM cannot grant before it has read a newer map.
var ErrNotReleasableYet = errors.New("partition cannot be released yet")

// Handoff is the state that the owner of a partition hands to the next one: the levels of the buckets that
// were used.
type Handoff struct {
	Levels map[string]Tokens
	// Full reports that an account without a level starts with its whole burst; otherwise it starts with what
	// accrued over Age.
	Full bool
	Age  time.Duration
	// Redirect is the VM to ask instead; set if this one never held the partition.
	Redirect *placer.VM
	// Empty reports that no VM has held the partition since its last owner died.
	Empty bool
}

// PendingRelease is a partition that waits to be released by the VM From.
type PendingRelease struct {
	Partition mapper.Partition
	From      placer.VM
}

type partition struct {
	state       State
	predecessor placer.VM
	// renouncers are the VMs that redirected this one because they never held the partition.
	renouncers   []placer.VM
	guardedUntil time.Time
	// accrualStart is the time since which accounts without a bucket have accrued tokens.
	accrualStart time.Time
	// full reports that accounts without a bucket start with their whole burst instead.
	full    bool
	buckets map[string]*Bucket
	handoff Handoff
}

// Owner keeps the partitions of the accounts' rate limits that one VM owns. It is safe for concurrent use.
type Owner struct {
	mu          sync.Mutex
	self        placer.VM
	guardPeriod time.Duration
	asserter    *asserter.Asserter
	current     *mapper.Map
	partitions  map[mapper.Partition]*partition
}

// NewOwner returns the Owner of the VM self. A partition whose owner died grants no
// tokens before guardPeriod has passed, after which no VM acts on an older map.
func NewOwner(self placer.VM, guardPeriod time.Duration, a *asserter.Asserter) *Owner {
	return &Owner{self: self, guardPeriod: guardPeriod, asserter: a, current: mapper.NewMap(0, nil),
		partitions: map[mapper.Partition]*partition{}}
}

// Apply replaces the map old by its successor next. The shards are those of each account.
func (o *Owner) Apply(now time.Time, old, next *mapper.Map, shards []mapper.Shard) {
	o.forEachPartition(next, shards, func(p mapper.Partition) { o.movePartition(now, p, old, next) })
}

// ApplyAfterGap replaces the map old by the later map next when maps between them were missed. What
// other VMs held in between is unknown, so a partition that is new to this VM or still waits
// for a release starts empty after the guard period.
func (o *Owner) ApplyAfterGap(now time.Time, old, next *mapper.Map, shards []mapper.Shard) {
	o.forEachPartition(next, shards, func(p mapper.Partition) { o.movePartitionAfterGap(now, p, old, next) })
}

func (o *Owner) forEachPartition(next *mapper.Map, shards []mapper.Shard, f func(mapper.Partition)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = next
	for _, sh := range shards {
		for i := range mapper.PartitionsPerShard {
			f(mapper.Partition{Shard: sh, Index: i})
		}
	}
}

func (o *Owner) movePartitionAfterGap(now time.Time, p mapper.Partition, old, next *mapper.Map) {
	oldOwner, hadOwner := old.Owner(p)
	newOwner, hasOwner := next.Owner(p)
	ownsNow := hasOwner && newOwner.Same(o.self)
	ownedBefore := hadOwner && oldOwner.Same(o.self)
	s := o.partitions[p]
	switch {
	case ownsNow && (!ownedBefore || s == nil || s.state == StateWaiting):
		o.partitions[p] = o.newGuarded(now)
	case !ownsNow && ownedBefore:
		o.relinquish(now, p)
	}
}

func (o *Owner) movePartition(now time.Time, p mapper.Partition, old, next *mapper.Map) {
	oldOwner, hadOwner := old.Owner(p)
	newOwner, hasOwner := next.Owner(p)
	ownsNow := hasOwner && newOwner.Same(o.self)
	ownedBefore := hadOwner && oldOwner.Same(o.self)
	switch {
	case ownsNow && ownedBefore:
		o.guardIfPredecessorDead(now, p, next)
	case ownsNow && !hadOwner:
		o.partitions[p] = o.newInitial(now, old)
	case ownsNow && !next.Has(oldOwner):
		o.partitions[p] = o.newGuarded(now)
	case ownsNow:
		o.partitions[p] = &partition{state: StateWaiting, predecessor: oldOwner}
	case ownedBefore:
		o.relinquish(now, p)
	}
}

// newInitial returns a partition that had no owner under the map old. Under the first map it is held with
// full buckets; under a later one it is guarded.
func (o *Owner) newInitial(now time.Time, old *mapper.Map) *partition {
	if old.Version != 0 {
		return o.newGuarded(now)
	}
	return &partition{state: StateHeld, accrualStart: now, full: true, buckets: map[string]*Bucket{}}
}

func (o *Owner) newGuarded(now time.Time) *partition {
	return &partition{state: StateGuarded, guardedUntil: now.Add(o.guardPeriod)}
}

// guardIfPredecessorDead stops waiting for a predecessor that is no longer a member of the map next.
func (o *Owner) guardIfPredecessorDead(now time.Time, p mapper.Partition, next *mapper.Map) {
	s := o.partitions[p]
	if s != nil && s.state == StateWaiting && !next.Has(s.predecessor) {
		o.partitions[p] = o.newGuarded(now)
	}
}

// relinquish ends the ownership of a partition and prepares its handoff.
func (o *Owner) relinquish(now time.Time, p mapper.Partition) {
	s := o.partitions[p]
	if s == nil {
		return
	}
	switch o.expireGuard(now, s).state {
	case StateHeld:
		s.handoff, s.state = s.makeHandoff(now), StateFrozen
		s.buckets = nil
	case StateWaiting:
		predecessor := s.predecessor
		s.handoff, s.state = Handoff{Redirect: &predecessor}, StateRenounced
	case StateGuarded:
		s.handoff, s.state = Handoff{Empty: true}, StateRenounced
	}
}

// expireGuard moves s from guarded to held once the guard period is over, and returns s.
func (o *Owner) expireGuard(now time.Time, s *partition) *partition {
	if s.state == StateGuarded && !now.Before(s.guardedUntil) {
		s.state, s.accrualStart, s.buckets = StateHeld, now, map[string]*Bucket{}
	}
	return s
}

func (s *partition) makeHandoff(now time.Time) Handoff {
	h := Handoff{Levels: make(map[string]Tokens, len(s.buckets)), Full: s.full, Age: now.Sub(s.accrualStart)}
	for a, b := range s.buckets {
		h.Levels[a] = b.Level(now)
	}
	return h
}

// Release hands the partition p over to the VM to, which must own it under m, the map that
// this VM has read. A repeated call returns the same handoff. The error is ErrNotOwner if this
// VM has no state of the partition, and ErrNotReleasableYet if it has to read a newer map first.
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

// PendingReleases returns the partitions that wait for a release, each with the VM to request it from.
func (o *Owner) PendingReleases() []PendingRelease {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ns []PendingRelease
	for p, s := range o.partitions {
		if s.state == StateWaiting {
			ns = append(ns, PendingRelease{Partition: p, From: s.predecessor})
		}
	}
	return ns
}

// ApplyHandoff applies the handoff from the VM that a partition waits for. It ignores one that the partition
// no longer waits for.
func (o *Owner) ApplyHandoff(now time.Time, n PendingRelease, h Handoff) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.partitions[n.Partition]
	if s == nil || s.state != StateWaiting || !s.predecessor.Same(n.From) {
		return
	}
	switch {
	case h.Redirect != nil:
		o.followRedirect(now, n.Partition, s, *h.Redirect)
	case h.Empty:
		o.partitions[n.Partition] = o.newGuarded(now)
	default:
		s.state, s.full, s.accrualStart = StateHeld, h.Full, now.Add(-h.Age)
		s.buckets = make(map[string]*Bucket, len(h.Levels))
		for a, l := range h.Levels {
			s.buckets[a] = newFromHandoff(now, l)
		}
	}
}

// followRedirect makes the partition wait for the VM to instead. If that is this VM or no member, or was
// asked before, so that every VM that could hold the partition has renounced it, the partition starts
// empty after the guard period.
func (o *Owner) followRedirect(now time.Time, p mapper.Partition, s *partition, to placer.VM) {
	s.renouncers = append(s.renouncers, s.predecessor)
	if to.Same(o.self) || !o.current.Has(to) || slices.ContainsFunc(s.renouncers, to.Same) {
		o.partitions[p] = o.newGuarded(now)
		return
	}
	s.predecessor = to
}

// Grant is the result of Owner.Acquire.
type Grant struct {
	Tokens Tokens
	// Left is what remains in the bucket of the account's shard.
	Left Tokens
}

// Acquire takes up to want tokens of an account's shard, which has the limit l. It returns
// ErrNotOwner if this VM does not hold the partition.
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

// Return puts back n unused tokens of an account's shard. It does nothing if this VM does not hold the partition.
func (o *Owner) Return(now time.Time, p mapper.Partition, account string, l Limit, n Tokens) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, err := o.bucket(now, p, account, l); err == nil {
		b.Return(now, n)
	}
}

func (o *Owner) bucket(now time.Time, p mapper.Partition, account string, l Limit) (*Bucket, error) {
	s := o.partitions[p]
	if s == nil || o.expireGuard(now, s).state != StateHeld {
		return nil, ErrNotOwner
	}
	b, ok := s.buckets[account]
	if !ok {
		level := l.Burst
		if !s.full {
			level = min(level, l.Refill(now.Sub(s.accrualStart)))
		}
		b = NewBucket(now, l, level)
		s.buckets[account] = b
	}
	b.SetLimit(now, l)
	return b, nil
}

// Status counts the partitions in each state and the buckets of the accounts.
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
