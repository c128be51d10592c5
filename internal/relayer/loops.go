package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// announce publishes this VM in the store, and again when the store was restored from a copy that may lack it.
func (r *Relayer) announce(ctx context.Context) {
	for ctx.Err() == nil {
		epoch, ok := r.announceOnce(ctx)
		for ok && ctx.Err() == nil && r.Tracker.Epoch() <= epoch {
			r.sleep(ctx, announceCheckInterval)
		}
		// All VMs see the restore at the same time.
		r.sleep(ctx, rand.N(time.Duration(1+len(r.Tracker.Members()))*announceSpread))
	}
}

// announceOnce publishes this VM in the store, with retries until the context ends.
func (r *Relayer) announceOnce(ctx context.Context) (epoch uint64, ok bool) {
	for backoff := initialBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		c, cancel := context.WithTimeout(ctx, StoreTimeout)
		epoch, err := r.Source.Announce(c, tracker.Member{VM: r.Self, Role: tracker.RoleStarting, Capacity: r.Capacity, AsOf: r.Clock.Now()})
		cancel()
		if err == nil {
			return epoch, true
		}
		r.Logger.Warn("cannot announce this VM in the store; will retry", logger.Err(err), zap.Duration("pause", backoff))
		r.sleep(ctx, jittered(backoff))
	}
	return 0, false
}

// jittered returns a random delay between half of d and d.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// followLeader long-polls the leader of this VM's domain.
func (r *Relayer) followLeader(ctx context.Context) {
	for ctx.Err() == nil {
		l, ok := r.leader(r.Self.Domain)
		if !ok || l.Address == r.Self.Address {
			r.flushOutgoing()
			pause := tickInterval
			if !r.caughtUp.Load() {
				pause = startCheckInterval
			}
			r.sleep(ctx, pause)
			continue
		}
		err := r.exchange(ctx, l, exchangeWait, false)
		switch {
		case errors.Is(err, errStale) && r.awaitsPeers():
			r.sleep(ctx, startCheckInterval) // The leader is starting, too.
		case errors.Is(err, errStale):
			r.passOver(l.Address)
			r.sleep(ctx, tickInterval/2)
		case err != nil:
			r.suspect(l.Address, err)
		}
	}
}

// runLeader exchanges with the leaders of the other domains while this VM is a leader, and marks silent VMs of its own
// domain down.
func (r *Relayer) runLeader(ctx context.Context) {
	cancels := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range cancels {
			stop()
		}
	}()
	for ; ctx.Err() == nil; r.sleep(ctx, tickInterval) {
		now := r.Clock.Now()
		leads := r.IsLeader()
		r.noteLeadership(leads)
		domains := map[string]bool{}
		for _, m := range r.Tracker.Members() {
			if leads && m.Domain != r.Self.Domain {
				domains[m.Domain] = true
			}
		}
		for d := range domains {
			if cancels[d] == nil {
				c, stop := context.WithCancel(ctx)
				cancels[d] = stop
				go r.exchangeWithDomain(c, d)
			}
		}
		for d, stop := range cancels {
			if !domains[d] {
				stop()
				delete(cancels, d)
			}
		}
		if leads && r.leadsByContact() {
			r.updateDown(ctx, now)
		}
		r.Tracker.Expire()
		r.rates.place(r.placement())
	}
}

// noteLeadership records and logs when this VM becomes the leader of its domain or stops being it.
func (r *Relayer) noteLeadership(leads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leads && r.leadsInsteadSince.IsZero() {
		r.leadsInsteadSince, r.followed = r.Clock.Now(), netip.AddrPort{}
	}
	if leads == !r.leaderSince.IsZero() {
		return
	}
	r.leaderSince = time.Time{}
	if leads {
		r.leaderSince = r.Clock.Now()
	}
	r.Logger.Info("leading", zap.Bool("leads", leads), zap.String("failureDomain", r.Self.Domain))
}

// exchangeWithDomain exchanges with the leader of another domain.
func (r *Relayer) exchangeWithDomain(ctx context.Context, domain string) {
	for ctx.Err() == nil {
		l, ok := r.leader(domain)
		if !ok {
			r.sleep(ctx, tickInterval)
			continue
		}
		if err := r.exchange(ctx, l, leaderExchangeWait, true); err != nil && ctx.Err() == nil {
			r.suspect(l.Address, err)
			r.sleep(ctx, tickInterval)
		}
	}
}

// markDown marks the VMs of this domain down that have been silent for more than downAfter. It also drops the outboxes
// of peers that stopped exchanging.
func (r *Relayer) markDown(now time.Time) {
	since := r.hearsSince(now)
	for _, m := range r.Tracker.Members() {
		if m.Domain != r.Self.Domain || m.Address == r.Self.Address || m.Role == tracker.RoleDown || m.Role == tracker.RoleLeaving {
			continue
		}
		r.mu.Lock()
		last := r.lastExchange[m.Address]
		r.mu.Unlock()
		if last.Before(since) {
			last = since
		}
		if m.AsOf.After(last) {
			last = m.AsOf
		}
		if now.Sub(last) > downAfter {
			m.Role, m.AsOf = tracker.RoleDown, now
			r.Tracker.UpdateMember(m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, b := range r.outboxes {
		if now.Sub(b.usedAt) > outboxTTL {
			delete(r.outboxes, a)
		}
	}
}

// hearsSince returns since when this VM would hear from the other VMs of its domain. A leader that does not answer is tried again
// every suspectTTL, and leads until that fails: the next one goes by the time since it led first, if most VMs of the domain
// exchange with it.
func (r *Relayer) hearsSince(now time.Time) time.Time {
	all, heard := 0, 1
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.Tracker.Members() {
		if m.Domain == r.Self.Domain && m.Role != tracker.RoleDown && m.Role != tracker.RoleLeaving {
			all++
			if m.Address != r.Self.Address && now.Sub(r.lastExchange[m.Address]) < downAfter {
				heard++
			}
		}
	}
	if 2*heard > all {
		return r.leadsInsteadSince
	}
	return r.leaderSince
}

// poller is a loop that reads one kind of data from the store.
type poller struct {
	name string
	// responsible reports whether this VM reads for others. interval is the time between such reads; zero means to read
	// again at once.
	responsible func() bool
	interval    time.Duration
	stale       staleness
	// age returns the age of the data that the reads confirm; ok is false if there is none.
	age func() (age time.Duration, ok bool)
	// read reads the store, waiting for changes for up to wait.
	read func(ctx context.Context, wait time.Duration) error
	// wait is how long a read for others waits for changes.
	wait time.Duration
	// relayed says that peers pass the data on, so that a VM that starts asks them first.
	relayed bool
}

// staleness holds the ages of data from which a VM reads the store itself although another VM should: its leader may
// have lost the store.
type staleness struct {
	// leader is the age for the domains' leaders, which relay what they read. It is lower so that not every VM reads the
	// store when the VM that reads for the fleet cannot.
	leader time.Duration
	// follower is the age for all others, and jitter spreads the reads of those whose data becomes stale together.
	follower, jitter time.Duration
}

// instancesStaleness returns the staleness of the instances.
func (r *Relayer) instancesStaleness() staleness {
	share := func(x float64) time.Duration { return time.Duration(x * float64(r.DrainTimeout)) }
	return staleness{leader: share(leaderStaleShare), follower: share(followerStaleShare), jitter: share(staleJitterShare)}
}

// registrationInterval returns the time between two reads of the registry for the fleet.
func (r *Relayer) registrationInterval() time.Duration {
	return min(registrationPollInterval, time.Duration(registrationPollShare*float64(r.DrainTimeout)))
}

// staleThreshold returns the age of data from which this VM reads the store itself although another VM should.
func (r *Relayer) staleThreshold(s staleness, jitter time.Duration) time.Duration {
	if r.IsLeader() {
		return s.leader
	}
	return s.follower + jitter
}

// awaitsPeers reports whether this VM, which knows nothing yet, should wait for what its peers know instead of reading the
// store: all VMs of a fleet may start at once. A VM that leads reads as soon as it knows that, and no VM waits for long.
func (r *Relayer) awaitsPeers() bool {
	if r.Clock.Since(r.startedAt) > peersFirstTimeout {
		return false
	}
	return !r.listed.Load() || !r.caughtUp.Load() && !r.IsLeader()
}

// nextBackoff returns the delay after another failed read. After the first one it is short, since any one call may fail. Later
// it is longer where other VMs read for this one: they will notice first that the store is back, and pass on what they read.
func nextBackoff(previous time.Duration, responsible bool) time.Duration {
	if previous == 0 {
		return initialBackoff
	}
	first, longest := initialBackoff, maxBackoff
	if !responsible {
		first, longest = followerInitialBackoff, followerMaxBackoff
	}
	return min(max(2*previous, first), longest)
}

// poll reads while this VM reads for others, and when its data is stale.
func (r *Relayer) poll(ctx context.Context, p poller) {
	jitter := rand.N(p.stale.jitter + 1)
	failingSince := time.Time{}
	var backoff time.Duration
	for ctx.Err() == nil {
		responsible := p.responsible()
		a, ok := p.age()
		if !ok && p.relayed && r.awaitsPeers() {
			r.sleep(ctx, startCheckInterval)
			continue
		}
		if t := r.staleThreshold(p.stale, jitter); !responsible && ok && a < t {
			r.sleep(ctx, min(t-a+time.Millisecond, tickInterval))
			continue
		}
		wait := p.wait
		if !responsible {
			wait = 0
		}
		c, cancel := context.WithTimeout(ctx, wait+maxReadTime)
		err := p.read(c, wait)
		cancel()
		r.countRead(p.name, err)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if failingSince.IsZero() {
				failingSince = r.Clock.Now()
			}
			backoff = nextBackoff(backoff, responsible)
			r.Logger.Warn("store not read", zap.String("what", p.name), logger.Err(err), zap.Duration("pause", backoff), zap.Bool("forOthers", responsible))
			r.sleep(ctx, jittered(backoff))
			continue
		}
		if !failingSince.IsZero() {
			r.Logger.Info("store read again", zap.String("what", p.name), zap.Duration("away", r.Clock.Since(failingSince)))
		}
		backoff, failingSince = 0, time.Time{}
		if responsible {
			r.sleep(ctx, p.interval)
		} else {
			r.sleep(ctx, staleReadInterval)
		}
	}
}

func (r *Relayer) readConfiguration(ctx context.Context) {
	var after Position
	var found configurationReads
	var drains drainReads
	r.poll(ctx, poller{
		name: "configuration", relayed: true, wait: configurationPollWait, responsible: r.readsForFleet, stale: configurationStaleness,
		age: func() (time.Duration, bool) {
			t, at := r.Tracker.Table()
			return r.Clock.Since(at), t != nil
		},
		read: func(ctx context.Context, wait time.Duration) error {
			began := r.Clock.Now()
			if version, end := r.Tracker.TableEnd(); end > tracker.Offset(after.Epoch, after.Offset) {
				after = found.learn(version, end) // A peer has read more.
				drains.learn(began, after.Epoch, r.Tracker.DrainedDomains())
			}
			got, err := r.Source.Configurations(ctx, after, found.wait(began, wait))
			if err != nil {
				return err
			}
			// A configuration in force implies that the drains are known.
			r.Tracker.ApplyDrains(got.Drains)
			for _, c := range got.Items {
				r.applyTable(router.New(c), content{})
			}
			after = got.Next
			found.add(began, got)
			drains.add(began, got)
			r.Tracker.ApplyDrainSnapshot(drains.names(), tracker.Offset(after.Epoch, after.Offset), drains.settled(began))
			if found.current(began) {
				r.Tracker.MarkTableFresh(found.newest, began, tracker.Offset(after.Epoch, after.Offset))
				found.confirmed = true
			}
			return nil
		},
	})
}

// configurationReads is what this VM's reads found of the configuration in one epoch of the store.
type configurationReads struct {
	epoch uint64
	// newest is the newest version that was read.
	newest int64
	// restoredAt is the start of the first read after the store was restored; zero if it was not.
	restoredAt time.Time
	// confirmed is set once a read in the epoch confirmed the newest version.
	confirmed bool
}

// wait returns how long a read that begins now may wait for a change, wait at most. After a restore it is shorter, so that a
// later read confirms the configuration soon.
func (f *configurationReads) wait(now time.Time, wait time.Duration) time.Duration {
	if f.confirmed || f.restoredAt.IsZero() {
		return wait
	}
	return min(wait, max(0, f.restoredAt.Add(restoreSettleTime).Sub(now)))
}

// add records a read that began at the given time.
func (f *configurationReads) add(began time.Time, got Read[router.Configuration]) {
	if f.epoch != got.Next.Epoch {
		if f.newest > 0 {
			f.restoredAt = began
		}
		f.epoch, f.newest, f.confirmed = got.Next.Epoch, 0, false
	}
	for _, c := range got.Items {
		f.newest = max(f.newest, c.Version)
	}
}

// learn records that a peer confirmed a version, and returns the position up to which it had read the operator's records.
func (f *configurationReads) learn(version int64, end uint64) Position {
	epoch, offset := tracker.Split(end)
	f.epoch, f.newest, f.restoredAt, f.confirmed = epoch, version, time.Time{}, true
	return Position{Epoch: epoch, Offset: offset, Known: true}
}

// current reports whether the newest version of a read that began at the given time is the newest one that was published.
// Just after a restore it may not be: the operator still writes again what was lost.
func (f *configurationReads) current(began time.Time) bool {
	return f.newest > 0 && (f.restoredAt.IsZero() || began.Sub(f.restoredAt) >= restoreSettleTime)
}

func (r *Relayer) readPeers(ctx context.Context) {
	var after Position
	var list announcements
	readAt := time.Time{}
	r.poll(ctx, poller{
		name: "peers", interval: peerPollInterval, stale: configurationStaleness, responsible: func() bool { return readAt.IsZero() || r.readsForFleet() },
		age: func() (time.Duration, bool) { return 0, !readAt.IsZero() },
		read: func(ctx context.Context, _ time.Duration) error {
			got, err := r.readMembers(ctx, after)
			if err != nil {
				return err
			}
			r.listed.Store(true)
			list.add(got)
			if readAt.IsZero() && !r.formed(ctx, got) {
				r.sleep(ctx, formationTime-r.Clock.Since(r.startedAt))
				if got, err = r.readMembers(ctx, got.Next); err != nil {
					return err
				}
				list.add(got)
			}
			if readAt.IsZero() {
				if !r.awaitLeader(ctx) {
					r.catchUp(ctx)
				}
				r.caughtUp.Store(true)
				r.starting.Store(false)
			}
			after, readAt = got.Next, r.Clock.Now()
			r.Tracker.MarkMembersKnown()
			if r.readsForFleet() {
				r.withdraw(ctx, list.left(readAt, r.Tracker.Members()), after)
			}
			return nil
		},
	})
}

// announcements are the incarnations of the VMs that are announced in the store and not withdrawn, by address.
type announcements map[netip.AddrPort]uint64

// add applies a read of the list of VMs.
func (l *announcements) add(got Read[tracker.Member]) {
	if got.Snapshot || *l == nil {
		*l = announcements{}
	}
	for _, m := range got.Items {
		delete(*l, m.Address)
		if m.Role == tracker.RoleStarting {
			(*l)[m.Address] = m.Incarnation
		}
	}
}

// left returns the VMs whose announcements are to be withdrawn: those that left as planned and have not started again. One that
// is down may be alive behind a partition and grant its share of the rates.
func (l announcements) left(now time.Time, ms []tracker.Member) []tracker.Member {
	var left []tracker.Member
	for _, m := range ms {
		gone := m.Role == tracker.RoleLeaving && now.Sub(m.AsOf) >= withdrawAfter
		if gone && l[m.Address] == m.Incarnation && len(left) < maxWithdrawals {
			left = append(left, m)
		}
	}
	return left
}

// withdraw withdraws the announcements of VMs that left, if the list of VMs is as it was at a position. Otherwise a VM of a fleet
// whose VMs all start again would wait for those that left, and take them for the owners of rates.
func (r *Relayer) withdraw(ctx context.Context, left []tracker.Member, at Position) {
	if len(left) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	if err := r.Source.Withdraw(c, left, at); err != nil {
		r.Logger.Info("announcements not withdrawn; will retry", zap.Int("count", len(left)), logger.Err(err))
		return
	}
	r.Logger.Info("announcements withdrawn", zap.Int("count", len(left)))
}

// awaitLeader waits until the leader of this VM's domain has passed on what it knows, and reports whether it has. It returns
// false at once if this VM leads.
func (r *Relayer) awaitLeader(ctx context.Context) bool {
	for until := r.Clock.Now().Add(leaderTimeout); ctx.Err() == nil && !r.IsLeader(); r.sleep(ctx, startCheckInterval) {
		if r.heardLeader.Load() {
			return true
		}
		if r.Clock.Now().After(until) {
			break
		}
	}
	return false
}

// catchUp gets what the leaders of all failure domains know, before this VM serves: the store may have been restored from a
// copy just now, and lack what its peers know.
func (r *Relayer) catchUp(ctx context.Context) {
	domains := map[string]bool{}
	var g sync.WaitGroup
	for _, m := range r.Tracker.Members() {
		if domains[m.Domain] {
			continue
		}
		domains[m.Domain] = true
		cs := slices.DeleteFunc(slices.Clone(r.placement().leaderOrder(m.Domain)), func(c placer.Candidate) bool { return c.Address == r.Self.Address })
		if len(cs) == 0 {
			continue
		}
		l := cs[0].VM
		g.Go(func() {
			err := r.exchange(ctx, l, 0, l.Domain != r.Self.Domain)
			if err == nil {
				c, cancel := context.WithTimeout(ctx, catchUpTimeout)
				defer cancel()
				err = r.fetchFrom(c, l.Address)
			}
			if err != nil {
				r.Logger.Info("peer not asked at the start", zap.Stringer("peer", l.Address), logger.Err(err))
			}
		})
	}
	g.Wait()
}

// readMembers reads the VMs that were announced in the store after a position.
func (r *Relayer) readMembers(ctx context.Context, after Position) (Read[tracker.Member], error) {
	got, err := r.Source.Peers(ctx, after)
	if err != nil {
		return got, err
	}
	for _, m := range got.Items {
		if m.Address != r.Self.Address {
			r.Tracker.UpdateMember(m)
		}
	}
	return got, nil
}

// formed reports whether the first list of VMs shows that the fleet existed before this VM started. If not, all VMs may
// be starting, and the list has only those that were announced first. VMs that left may be among those that start, unless the
// leader of this VM's domain was running before.
func (r *Relayer) formed(ctx context.Context, list Read[tracker.Member]) bool {
	if slices.ContainsFunc(list.Items, func(m tracker.Member) bool { return m.Role != tracker.RoleStarting }) {
		return r.awaitLeader(ctx)
	}
	if list.Next.Offset > uint64(len(list.Items)) {
		return true // A VM was announced more than once.
	}
	before := placer.NewIncarnation(r.startedAt.Add(-coldStartAge))
	return slices.ContainsFunc(list.Items, func(m tracker.Member) bool { return m.Incarnation < before })
}
