package tracker_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func newTracker() (*tracker.Tracker, *clockwork.FakeClock) {
	c := clockwork.NewFakeClock()
	return tracker.New(c, zap.NewNop()), c
}

func entry(id string, beat int64, c tracker.Condition) tracker.Entry {
	return tracker.Entry{
		Instance:       balancer.Instance{ID: id, Incarnation: 1, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4},
		SequenceNumber: beat, Condition: c, Offset: uint64(beat),
	}
}

// at returns an entry as it stands at another offset of the registry.
func at(e tracker.Entry, offset uint64) tracker.Entry {
	e.Offset = offset
	return e
}

// gone returns the end of an instance's registration.
func gone(id string, offset uint64) tracker.Entry {
	return tracker.Entry{Instance: balancer.Instance{ID: id}, Condition: tracker.ConditionGone, Offset: offset}
}

// peer is the address of a VM whose entries are merged.
var peer = netip.MustParseAddrPort("10.0.0.2:1")

func usable(t *tracker.Tracker) int { return len(t.UsableInstances()) }

func TestVersionsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, _ := newTracker()
		highest := int64(0)
		for _, v := range rapid.SliceOf(rapid.Int64Range(1, 50)).Draw(t, "versions") {
			tr.ApplyConfiguration(router.Configuration{Version: v})
			highest = max(highest, v)
			table, _ := tr.Table()
			require.Equal(t, highest, table.Version)
		}
	})
}

func TestOldRegistrationsChangeNothing(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionLeaving)}, false, 6)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 4, tracker.ConditionReady)}, false, 7)
	require.Zero(t, usable(tr), "a late heartbeat from before the instance began to leave")
	again := entry("i", 1, tracker.ConditionReady)
	again.Incarnation = 2
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{again}, false, 8)
	require.Equal(t, 1, usable(tr), "the same ID after a restart")
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 9, tracker.ConditionLeaving)}, false, 9)
	require.Equal(t, 1, usable(tr), "a registration from before the restart")
}

func TestEndedRegistrationIsGoneAtOnce(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionReady)}, true, 6)
	c.Advance(500 * time.Millisecond)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{gone("i", 7)}, false, 8)
	require.Zero(t, usable(tr))
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{at(entry("i", 4, tracker.ConditionReady), 8)}, false, 9)
	require.Zero(t, usable(tr), "a late heartbeat must not revive it")
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{at(entry("i", 6, tracker.ConditionReady), 9)}, false, 10)
	require.Equal(t, 1, usable(tr))
}

// Instances whose registration lapsed in an outage stay usable for about two seconds, and no longer.
func TestRegistrationsOutliveOutage(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		tr, c := newTracker()
		apply := func(es []tracker.Entry, snapshot bool, end uint64) {
			if relayed {
				tr.MergeInstances(peer, tracker.Changes{Entries: es, Complete: snapshot, End: end, EntriesReadAt: c.Now()})
				return
			}
			tr.ApplyRegistrations(c.Now(), es, snapshot, end)
		}
		apply([]tracker.Entry{entry("i", 5, tracker.ConditionReady), entry("j", 5, tracker.ConditionReady)}, true, 6)
		c.Advance(5 * time.Second)
		tr.MarkUnread(c.Now())
		c.Advance(500 * time.Millisecond)
		tr.MarkUnread(c.Now())
		c.Advance(500 * time.Millisecond)
		apply(nil, true, 20)
		require.Equal(t, 2, usable(tr))
		c.Advance(1500 * time.Millisecond)
		apply([]tracker.Entry{at(entry("i", 9, tracker.ConditionReady), 20)}, false, 21)
		require.Equal(t, 2, usable(tr))
		c.Advance(500 * time.Millisecond)
		tr.Expire()
		require.Equal(t, 1, usable(tr), "one instance registered again")
		apply([]tracker.Entry{gone("i", 21)}, false, 22)
		require.Zero(t, usable(tr), "the grace period is over")
	}
}

// A VM that lost the VM which read for it must not go on using removed instances.
func TestGapBetweenReadsIsNoOutage(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		tr, c := newTracker()
		tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionReady)}, true, 6)
		c.Advance(2500 * time.Millisecond)
		if relayed {
			tr.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{gone("i", 6)}, End: 7, EntriesReadAt: c.Now()})
		} else {
			tr.ApplyRegistrations(c.Now(), []tracker.Entry{gone("i", 6)}, false, 7)
		}
		require.Zero(t, usable(tr))
	}
}

// Peers must not take over the grace period of a VM that was cut off from the store.
func TestLapsedInstancesAreNotRelayed(t *testing.T) {
	cutOff, c := newTracker()
	cutOff.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionReady)}, true, 6)
	ch, _ := cutOff.ChangesSince(0)
	other := tracker.New(c, zap.NewNop())
	other.MergeInstances(peer, ch)
	c.Advance(3 * time.Second)
	cutOff.MarkUnread(c.Now())
	c.Advance(time.Second)
	cutOff.MarkUnread(c.Now())
	c.Advance(100 * time.Millisecond)
	cutOff.ApplyRegistrations(c.Now(), []tracker.Entry{gone("i", 6)}, false, 7)
	require.Equal(t, 1, usable(cutOff))
	ch, _ = cutOff.ChangesSince(ch.Sequence)
	other.MergeInstances(peer, ch)
	require.Zero(t, usable(other))
}

// A removed instance is used neither 3 s after the earliest end of the outage nor 2 s after its removal is known.
func TestGracePeriodEndsBeforeRemovalsBind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, c := newTracker()
		tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionReady)}, true, 6)
		c.Advance(time.Duration(rapid.IntRange(0, 10000).Draw(t, "outage")) * time.Millisecond)
		tr.MarkUnread(c.Now())
		c.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "retry")) * time.Millisecond)
		unread := c.Now()
		tr.MarkUnread(unread)
		c.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond)
		known := c.Now()
		tr.ApplyRegistrations(known, []tracker.Entry{gone("i", 6)}, false, 7)
		for range 40 {
			tr.Expire()
			if usable(tr) > 0 {
				require.Less(t, c.Since(unread), 3*time.Second)
				require.Less(t, c.Since(known), 2*time.Second)
			}
			c.Advance(100 * time.Millisecond)
		}
		require.Zero(t, usable(tr))
	})
}

// TestPeersLearnAllChanges checks that a tracker that learns only from another's changes, some of them lost, ends with
// the same usable instances.
func TestPeersLearnAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, c := newTracker()
		b, _ := newTracker()
		seen := uint64(0)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "id"))
			condition := tracker.Condition(rapid.IntRange(0, 2).Draw(t, "condition"))
			a.ApplyRegistrations(c.Now(), []tracker.Entry{entry(id, int64(n+1), condition)}, false, uint64(n))
			if rapid.Bool().Draw(t, "told") {
				ch, _ := a.ChangesSince(seen)
				b.MergeInstances(peer, ch)
				seen = ch.Sequence
			}
		}
		ch, _ := a.ChangesSince(seen)
		b.MergeInstances(peer, ch)
		ids := func(x *tracker.Tracker) map[string]bool {
			m := map[string]bool{}
			for _, i := range x.UsableInstances() {
				m[i.ID] = true
			}
			return m
		}
		require.Equal(t, ids(a), ids(b))
	})
}

func TestAgesCountFromStartOfReads(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyConfiguration(router.Configuration{Version: 1})
	began := c.Now()
	c.Advance(time.Second)
	for _, readAt := range []time.Time{began, began.Add(-time.Second)} {
		tr.MarkTableFresh(1, readAt, 0)
		tr.ApplyRegistrations(readAt, nil, false, 1)
	}
	table, entries := tr.Ages()
	require.Equal(t, time.Second, table)
	require.Equal(t, time.Second, entries)
}

func TestMembersByIncarnationAndTime(t *testing.T) {
	tr, c := newTracker()
	vm := placer.VM{Address: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 2}
	m := tracker.Member{VM: vm, Role: tracker.RoleReady, AsOf: c.Now(), Capacity: 1}
	require.True(t, tr.UpdateMember(m))
	m.AsOf = m.AsOf.Add(time.Second)
	require.False(t, tr.UpdateMember(m), "neither the role nor the incarnation changed")
	old := m
	old.Incarnation, old.Role, old.AsOf = 1, tracker.RoleDown, m.AsOf.Add(time.Hour)
	require.False(t, tr.UpdateMember(old), "an earlier incarnation")
	late := m
	late.Role, late.AsOf = tracker.RoleDown, m.AsOf.Add(-time.Minute)
	require.False(t, tr.UpdateMember(late))
	m.Role, m.AsOf = tracker.RoleLeaving, m.AsOf.Add(time.Second)
	require.True(t, tr.UpdateMember(m))
}

// TestWaitUntilKnown checks that WaitUntilKnown returns when the configuration, the instances and the VMs are known, or at
// its timeout.
func TestWaitUntilKnown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tr := tracker.New(clock, zap.NewNop())
	done := make(chan struct{})
	wait := func() {
		go func() {
			tr.WaitUntilKnown(t.Context(), time.Second)
			done <- struct{}{}
		}()
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	}
	wait()
	clock.Advance(time.Second)
	<-done
	wait()
	tr.ApplyConfiguration(router.Configuration{Version: 1})
	tr.MarkTableFresh(1, clock.Now(), 0)
	tr.ApplyRegistrations(clock.Now(), nil, false, 1)
	tr.MarkMembersKnown()
	<-done
	tr.WaitUntilKnown(t.Context(), time.Second)
}

// The peer that relays a removal may know the instance by a lower sequence number.
func TestRelayedRemovalOutranksKnownSequenceNumber(t *testing.T) {
	reader, c := newTracker()
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 1, tracker.ConditionReady)}, true, 2)
	restarted, _ := newTracker()
	restarted.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 3, tracker.ConditionReady)}, true, 4)
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{gone("i", 9)}, false, 10)
	ch, _ := reader.ChangesSince(0)
	restarted.MergeInstances(peer, ch)
	require.Zero(t, usable(restarted))
}

// A report from before a removal may be relayed after it.
func TestRelayedReportFromBeforeRemovalDoesNotRevive(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 4, tracker.ConditionReady)}, true, 5)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{gone("i", 100)}, false, 101)
	tr.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{at(entry("i", 20, tracker.ConditionReady), 90)}})
	require.Zero(t, usable(tr))
	tr.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{at(entry("i", 21, tracker.ConditionReady), 101)}})
	require.Equal(t, 1, usable(tr), "it registered again")
}

// A read of old history must not end a registration that a peer relayed since.
func TestOldHistoryDoesNotEndLaterRegistration(t *testing.T) {
	tr, c := newTracker()
	tr.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{at(entry("i", 9, tracker.ConditionReady), 40)}})
	history := []tracker.Entry{at(entry("i", 5, tracker.ConditionReady), 20), gone("i", 30), at(entry("i", 9, tracker.ConditionReady), 40)}
	tr.ApplyRegistrations(c.Now(), history, false, 41)
	require.Equal(t, 1, usable(tr))
}

// A report may be written late, after the end of the registration.
func TestLateReportOfLeavingInstanceDoesNotRevive(t *testing.T) {
	reader, c := newTracker()
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 7, tracker.ConditionReady)}, true, 8)
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{at(entry("i", 8, tracker.ConditionLeaving), 8), gone("i", 9)}, false, 10)
	other, _ := newTracker()
	other.ApplyRegistrations(c.Now(), []tracker.Entry{at(entry("i", 7, tracker.ConditionReady), 10)}, true, 11)
	ch, _ := reader.ChangesSince(0)
	other.MergeInstances(peer, ch)
	require.Zero(t, usable(other))
}

// Peers must learn of instances that left before the VM that reads for them started.
func TestSnapshotOfNewReaderEndsInstancesUnknownToIt(t *testing.T) {
	follower, c := newTracker()
	follower.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 1, tracker.ConditionReady), entry("j", 2, tracker.ConditionReady)}, true, 3)
	reader, _ := newTracker()
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{entry("j", 2, tracker.ConditionReady)}, true, 9)
	ch, _ := reader.ChangesSince(0)
	follower.MergeInstances(peer, ch)
	require.Equal(t, 1, usable(follower))
	ch, _ = follower.ChangesSince(0)
	third, _ := newTracker()
	third.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 1, tracker.ConditionReady), entry("j", 2, tracker.ConditionReady)}, true, 3)
	third.MergeInstances(peer, ch)
	require.Equal(t, 1, usable(third), "relayed once more")
}

// A peer with an older view may know an instance that left before this VM started.
func TestRelayedEntryThatSnapshotLacksIsNotUsed(t *testing.T) {
	reader, c := newTracker()
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{entry("j", 2, tracker.ConditionReady)}, true, 9)
	reader.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{entry("i", 1, tracker.ConditionReady)}, End: 3})
	require.Equal(t, 1, usable(reader))
	reader.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{at(entry("k", 1, tracker.ConditionReady), 9)}, End: 10})
	require.Equal(t, 2, usable(reader), "a later registration")
}

// A peer that was cut off for long must learn of ends whose records were dropped.
func TestPeersLearnOfDroppedRecords(t *testing.T) {
	reader, c := newTracker()
	peerOf := tracker.New(c, zap.NewNop())
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 1, tracker.ConditionReady)}, true, 2)
	ch, _ := reader.ChangesSince(0)
	peerOf.MergeInstances(peer, ch)
	require.Equal(t, 1, usable(peerOf))
	reader.ApplyRegistrations(c.Now(), []tracker.Entry{gone("i", 2)}, false, 3)
	c.Advance(10 * time.Minute)
	reader.Expire()
	require.Empty(t, reader.Entries())
	ch, _ = reader.ChangesSince(ch.Sequence)
	peerOf.MergeInstances(peer, ch)
	require.Zero(t, usable(peerOf))
}

// A slow notification must not put back an instance that left meanwhile.
func TestSlowNotificationDoesNotRestoreInstance(t *testing.T) {
	tr, c := newTracker()
	var notified atomic.Int64
	counted, leave := make(chan struct{}), make(chan struct{})
	first := true
	var mu sync.Mutex
	tr.OnInstancesChange(func() {
		n := usable(tr)
		mu.Lock()
		wait := first
		first = false
		mu.Unlock()
		if wait {
			close(counted)
			<-leave
		}
		notified.Store(int64(n))
	})
	var g sync.WaitGroup
	g.Go(func() {
		tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 1, tracker.ConditionReady)}, true, 2)
	})
	<-counted
	ended := make(chan struct{})
	g.Go(func() {
		tr.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{gone("i", 2)}, End: 3})
		close(ended)
	})
	for usable(tr) > 0 {
		runtime.Gosched()
	}
	select {
	case <-ended:
	case <-time.After(50 * time.Millisecond):
	}
	close(leave)
	g.Wait()
	require.Zero(t, notified.Load())
}

// A view must not count as recent before its instances are in use.
func TestViewIsConfirmedAfterNotification(t *testing.T) {
	tr, c := newTracker()
	var ages []time.Duration
	tr.OnInstancesChange(func() {
		_, a := tr.Ages()
		ages = append(ages, a)
	})
	tr.ApplyRegistrations(c.Now(), nil, true, 1)
	c.Advance(time.Second)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 1, tracker.ConditionReady)}, false, 2)
	c.Advance(time.Second)
	tr.MergeInstances(peer, tracker.Changes{Entries: []tracker.Entry{gone("i", 2)}, End: 3, EntriesReadAt: c.Now()})
	require.Equal(t, []time.Duration{time.Second, time.Second}, ages)
	_, a := tr.Ages()
	require.Zero(t, a)
}

// A leader sorted all VMs of the fleet after each exchange with one of its followers.
func TestMembersAreNotSortedAnewUnlessOneChanges(t *testing.T) {
	tr, c := newTracker()
	member := func(i byte, role tracker.Role) tracker.Member {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)
		return tracker.Member{VM: placer.VM{Address: a, Domain: "d", Incarnation: 1}, Role: role, Capacity: 1, AsOf: c.Now()}
	}
	tr.UpdateMember(member(1, tracker.RoleReady))
	tr.UpdateMember(member(2, tracker.RoleReady))
	before := tr.Members()
	c.Advance(time.Second)
	tr.UpdateMember(member(1, tracker.RoleReady))
	require.Same(t, &before[0], &tr.Members()[0])
	c.Advance(time.Second)
	tr.UpdateMember(member(1, tracker.RoleDown))
	require.Equal(t, tracker.RoleDown, tr.Members()[0].Role)
	require.Equal(t, tracker.RoleReady, before[0].Role)
}

// A peer that had heard of a VM just before it became ready never learned of it: the relayed time was a little early.
func TestVMThatBecameReadyJustAfterItWasHeardOfIsReady(t *testing.T) {
	tr, c := newTracker()
	vm := placer.VM{Address: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1}
	update := func(role tracker.Role, after time.Duration) tracker.Role {
		tr.UpdateMember(tracker.Member{VM: vm, Role: role, AsOf: c.Now().Add(after)})
		return tr.Members()[0].Role
	}
	update(tracker.RoleStarting, 0)
	require.Equal(t, tracker.RoleReady, update(tracker.RoleReady, -time.Millisecond))
	require.Equal(t, tracker.RoleReady, update(tracker.RoleStarting, time.Second), "it does not start again in one incarnation")
	require.Equal(t, tracker.RoleDown, update(tracker.RoleDown, 2*time.Second))
	require.Equal(t, tracker.RoleDown, update(tracker.RoleReady, time.Second), "older than what marked it down")
	require.Equal(t, tracker.RoleReady, update(tracker.RoleReady, 3*time.Second))
	require.Equal(t, tracker.RoleLeaving, update(tracker.RoleLeaving, 0))
	require.Equal(t, tracker.RoleLeaving, update(tracker.RoleReady, 4*time.Second))
}
