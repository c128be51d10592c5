package tracker_test

import (
	"fmt"
	"net/netip"
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
		Instance: balancer.Instance{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 4},
		Born:     1, Beat: beat, Condition: c, Offset: uint64(beat),
	}
}

func usable(t *tracker.Tracker) int { return len(t.Usable()) }

func TestVersionsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, _ := newTracker()
		highest := int64(0)
		for _, v := range rapid.SliceOf(rapid.Int64Range(1, 50)).Draw(t, "versions") {
			tr.Configure(router.Configuration{Version: v})
			highest = max(highest, v)
			table, _ := tr.Table()
			require.Equal(t, highest, table.Version)
		}
	})
}

func TestOldBeatsChangeNothing(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionLeaving)}, false, 6)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 4, tracker.ConditionReady)}, false, 7)
	require.Zero(t, usable(tr), "a late beat from before the notice")
	again := entry("i", 1, tracker.ConditionReady)
	again.Born = 2
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{again}, false, 8)
	require.Equal(t, 1, usable(tr), "the same id, started anew")
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 9, tracker.ConditionLeaving)}, false, 9)
	require.Equal(t, 1, usable(tr), "what it said in its former life")
}

func TestEndedRegistrationIsGoneAtOnce(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionReady)}, true, 6)
	c.Advance(500 * time.Millisecond)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{{Instance: balancer.Instance{ID: "i"}, Condition: tracker.ConditionGone, Offset: 7}}, false, 8)
	require.Zero(t, usable(tr))
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 4, tracker.ConditionReady)}, false, 9)
	require.Zero(t, usable(tr), "a late beat does not revive it")
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 6, tracker.ConditionReady)}, false, 10)
	require.Equal(t, 1, usable(tr))
}

// TestLapsesDuringAnOutage keeps instances whose registration lapsed while the store was away for two seconds
// after its return, and no longer.
func TestLapsesDuringAnOutage(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionReady), entry("j", 5, tracker.ConditionReady)}, true, 6)
	c.Advance(6 * time.Second)
	tr.ApplyRegistrations(c.Now(), nil, true, 20)
	require.Equal(t, 2, usable(tr))
	c.Advance(1500 * time.Millisecond)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 9, tracker.ConditionReady)}, false, 21)
	c.Advance(time.Second)
	tr.Lapse()
	require.Equal(t, 1, usable(tr), "one came back")
}

// TestPeersTellAll lets a tracker learn from another through its changes alone, with losses, and compares them.
func TestPeersTellAll(t *testing.T) {
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
				b.Adopt(ch.Entries)
				seen = ch.Sequence
			}
		}
		ch, _ := a.ChangesSince(seen)
		b.Adopt(ch.Entries)
		ids := func(x *tracker.Tracker) map[string]bool {
			m := map[string]bool{}
			for _, i := range x.Usable() {
				m[i.ID] = true
			}
			return m
		}
		require.Equal(t, ids(a), ids(b))
	})
}

func TestAgesGoByTheStartOfReads(t *testing.T) {
	tr, c := newTracker()
	began := c.Now()
	c.Advance(time.Second)
	tr.Confirm(began, began)
	tr.Confirm(began.Add(-time.Second), began.Add(-time.Second))
	table, entries := tr.Ages()
	require.Equal(t, time.Second, table)
	require.Equal(t, time.Second, entries)
}

func TestMembersByIncarnationAndTime(t *testing.T) {
	tr, c := newTracker()
	vm := placer.VM{Address: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 2}
	m := tracker.Member{VM: vm, Role: tracker.RoleReady, At: c.Now(), Capacity: 1}
	require.True(t, tr.Meet(m))
	m.At = m.At.Add(time.Second)
	require.False(t, tr.Meet(m), "nothing new")
	old := m
	old.Incarnation, old.Role, old.At = 1, tracker.RoleDown, m.At.Add(time.Hour)
	require.False(t, tr.Meet(old), "a former run of the daemon")
	late := m
	late.Role, late.At = tracker.RoleDown, m.At.Add(-time.Minute)
	require.False(t, tr.Meet(late))
	m.Role, m.At = tracker.RoleLeaving, m.At.Add(time.Second)
	require.True(t, tr.Meet(m))
}

// TestAwait waits for the configuration and the instances, and not for ever.
func TestAwait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tr := tracker.New(clock, zap.NewNop())
	done := make(chan struct{})
	wait := func() {
		go func() {
			tr.Await(t.Context(), time.Second)
			done <- struct{}{}
		}()
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	}
	wait()
	clock.Advance(time.Second)
	<-done
	wait()
	tr.Configure(router.Configuration{Version: 1})
	tr.Confirm(clock.Now(), clock.Now())
	<-done
	tr.Await(t.Context(), time.Second)
}
