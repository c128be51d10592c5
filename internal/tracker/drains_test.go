package tracker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// drain returns a record of failure domain d at an offset of the first epoch.
func drain(drained bool, offset uint64) tracker.Drain {
	return tracker.Drain{Domain: "d", Drained: drained, Offset: tracker.Offset(1, offset)}
}

// drainable returns a tracker of the usable instance i in the failure domain d.
func drainable() (*tracker.Tracker, *clockwork.FakeClock) {
	tr, c := newTracker()
	e := entry("i", 1, tracker.ConditionReady)
	e.Domain = "d"
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, true, 1)
	return tr, c
}

func TestInstancesOfADrainedDomainAreNotUsed(t *testing.T) {
	tr, c := drainable()
	told := 0
	tr.OnInstancesChange(func() { told++ })
	tr.ApplyDrains([]tracker.Drain{drain(true, 5)})
	require.Empty(t, tr.UsableInstances())
	usable, _ := tr.Usable("i")
	require.False(t, usable, "nor by a request that chose it before")
	require.Equal(t, 1, told)
	e := entry("j", 1, tracker.ConditionReady)
	e.Domain = "d"
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, false, 2)
	require.Empty(t, tr.UsableInstances(), "nor one that registers meanwhile")
	tr.ApplyDrains([]tracker.Drain{drain(false, 4)})
	require.Equal(t, []string{"d"}, tr.DrainedDomains(), "an earlier record")
	tr.ApplyDrains([]tracker.Drain{drain(false, 6)})
	require.Len(t, tr.UsableInstances(), 2)
	require.Empty(t, tr.DrainedDomains())
}

func TestDrainOfForgottenHistoryEndsWithASnapshotThatLacksIt(t *testing.T) {
	tr, _ := drainable()
	tr.ApplyDrains([]tracker.Drain{drain(true, 5)})
	tr.ApplyDrainSnapshot(nil, tracker.Offset(1, 5), true)
	require.Equal(t, []string{"d"}, tr.DrainedDomains(), "the record is later than the snapshot")
	tr.ApplyDrainSnapshot([]string{"d"}, tracker.Offset(1, 9), true)
	require.Equal(t, []string{"d"}, tr.DrainedDomains())
	tr.ApplyDrainSnapshot(nil, tracker.Offset(1, 9), true)
	require.Empty(t, tr.DrainedDomains())
	tr.ApplyDrains([]tracker.Drain{drain(true, 5)})
	require.Empty(t, tr.DrainedDomains(), "a peer that is behind")
}

func TestPeersGetDrainsAndTheirEnds(t *testing.T) {
	a, _ := drainable()
	b, _ := drainable()
	a.ApplyDrains([]tracker.Drain{drain(true, 5)})
	c, _ := a.ChangesSince(0)
	b.MergeDrains("peer", c.Drains)
	require.Equal(t, []string{"d"}, b.DrainedDomains())
	a.ApplyDrains([]tracker.Drain{drain(false, 6)})
	c, _ = a.ChangesSince(c.Sequence)
	b.MergeDrains("peer", c.Drains)
	require.Empty(t, b.DrainedDomains())
	c, _ = a.ChangesSince(c.Sequence)
	require.Empty(t, c.Drains)
}

// All VMs would take the instances for idle at once.
func TestInstancesOfADomainThatReturnsWarmUp(t *testing.T) {
	tr, c := drainable()
	tr.ApplyDrains([]tracker.Drain{drain(true, 5)})
	c.Advance(time.Minute)
	tr.ApplyDrains([]tracker.Drain{drain(false, 6)})
	is := tr.UsableInstances()
	require.Len(t, is, 1)
	require.True(t, is[0].WarmAt.After(c.Now()))
	require.Zero(t, is[0].Limit, "they are not cold")
}

// Both bounds hold together: a failure domain may be drained just after its instances turned cold, and return before they are warm.
func TestColdInstancesOfADomainThatReturnsHaveTheirLimit(t *testing.T) {
	tr, c := drainable()
	tr.ApplyConfiguration(router.Configuration{Version: 1, Services: []router.Service{{Name: "s", WarmupRate: 5}}})
	e := entry("i", 2, tracker.ConditionReady)
	e.Domain, e.WarmAt = "d", c.Now().Add(3*time.Second)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, false, 3)
	tr.ApplyDrains([]tracker.Drain{drain(true, 5)})
	require.Empty(t, tr.UsableInstances())
	c.Advance(time.Second)
	tr.ApplyDrains([]tracker.Drain{drain(false, 6)})
	is := tr.UsableInstances()
	require.Len(t, is, 1)
	require.InDelta(t, 5, is[0].Limit, 0)
	c.Advance(2 * time.Second)
	tr.Expire()
	require.Zero(t, tr.UsableInstances()[0].Limit)
}

// The copy from which the store was restored may lack a drain that the operator is about to write again.
func TestDrainThatARestoreLostHoldsUntilTheStoreHasSettled(t *testing.T) {
	tr, _ := drainable()
	tr.ApplyDrains([]tracker.Drain{drain(true, 5)})
	tr.ApplyDrainSnapshot(nil, tracker.Offset(2, 4), false)
	require.Equal(t, []string{"d"}, tr.DrainedDomains())
	tr.ApplyDrains([]tracker.Drain{{Domain: "d", Drained: true, Offset: tracker.Offset(2, 4)}})
	tr.ApplyDrainSnapshot([]string{"d"}, tracker.Offset(2, 5), true)
	require.Equal(t, []string{"d"}, tr.DrainedDomains())
	tr.ApplyDrainSnapshot(nil, tracker.Offset(2, 6), false)
	require.Empty(t, tr.DrainedDomains(), "it ended in this epoch")
	tr.ApplyDrains([]tracker.Drain{{Domain: "d", Drained: true, Offset: tracker.Offset(2, 6)}})
	tr.ApplyDrainSnapshot(nil, tracker.Offset(3, 2), true)
	require.Empty(t, tr.DrainedDomains(), "the operator did not write it again")
}
