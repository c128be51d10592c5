package tracker_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func newLoggedTracker() (*tracker.Tracker, *clockwork.FakeClock, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	c := clockwork.NewFakeClock()
	return tracker.New(c, zap.New(core)), c, logs
}

// numberedMember returns the state of VM n with a role at the time of the clock.
func numberedMember(c clockwork.Clock, n int, role tracker.Role) tracker.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n%250 + 1)}), 80)
	return tracker.Member{VM: placer.VM{Address: a, Domain: "a", Incarnation: 5}, Role: role, AsOf: c.Now()}
}

// At the start of a fleet, a line for each peer in each VM's log left no room for others.
func TestLinesAtAStartDoNotGrowWithTheFleet(t *testing.T) {
	count := func(vms int) int {
		tr, c, logs := newLoggedTracker()
		update := func(from, to int, role tracker.Role) {
			c.Advance(time.Millisecond)
			for n := range to - from {
				require.True(t, tr.UpdateMember(numberedMember(c, from+n, role)))
			}
		}
		update(0, vms/2, tracker.RoleStarting)
		require.Zero(t, logs.Len(), "the list was not read yet")
		tr.MarkMembersKnown()
		require.Equal(t, 1, logs.FilterMessage("vms known").FilterField(zap.Int("count", vms/2)).Len())
		update(vms/2, vms, tracker.RoleStarting)
		update(0, vms, tracker.RoleReady)
		require.EqualValues(t, vms/2+vms+1, int64(logs.Len())+tr.OmittedLines(), "lines that are left out are counted")
		return logs.Len()
	}
	lines := count(400)
	require.Equal(t, count(100), lines)
	require.Less(t, lines, 50)
}

func TestLaterChangesOfAllVMsAreLogged(t *testing.T) {
	tr, c, logs := newLoggedTracker()
	for n := range 100 {
		tr.UpdateMember(numberedMember(c, n, tracker.RoleReady))
	}
	tr.MarkMembersKnown()
	logs.TakeAll()
	c.Advance(time.Second)
	for n := range 100 {
		tr.UpdateMember(numberedMember(c, n, tracker.RoleDown))
	}
	for n, l := range logs.TakeAll() {
		require.Equal(t, "vm", l.Message)
		require.Equal(t, map[string]any{
			"peer": numberedMember(c, n, 0).Address.String(), "role": "down", "before": "ready", "failureDomain": "a", "incarnation": uint64(5),
		}, l.ContextMap())
	}
	again := numberedMember(c, 7, tracker.RoleStarting)
	again.Incarnation = 6
	tr.UpdateMember(again)
	lines := logs.TakeAll()
	require.Len(t, lines, 1)
	require.Equal(t, "down", lines[0].ContextMap()["before"])
	require.EqualValues(t, 6, lines[0].ContextMap()["incarnation"])
	tr.UpdateMember(numberedMember(c, 100, tracker.RoleReady))
	lines = logs.TakeAll()
	require.Len(t, lines, 1)
	require.Equal(t, "vm added", lines[0].Message)
	require.Equal(t, "ready", lines[0].ContextMap()["role"])
	require.NotContains(t, lines[0].ContextMap(), "before")
}

func TestLinesAtAStartDoNotGrowWithTheInstances(t *testing.T) {
	for name, apply := range map[string]func(tr *tracker.Tracker, c clockwork.Clock, es []tracker.Entry, end uint64){
		"read": func(tr *tracker.Tracker, c clockwork.Clock, es []tracker.Entry, end uint64) {
			tr.ApplyRegistrations(c.Now(), es, false, end)
		},
		"relayed": func(tr *tracker.Tracker, c clockwork.Clock, es []tracker.Entry, end uint64) {
			tr.MergeInstances(peer, tracker.Changes{Entries: es, End: end, EntriesReadAt: c.Now()})
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr, c, logs := newLoggedTracker()
			var es []tracker.Entry
			var ss []tracker.Statement
			for n := range 300 {
				es = append(es, entry(fmt.Sprint("i", n), int64(n+1), tracker.ConditionReady))
				ss = append(ss, tracker.Statement{Instance: fmt.Sprint("i", n), Incarnation: 1, Rate: 5, AsOf: c.Now()})
			}
			es[0].Condition = tracker.ConditionLeaving
			apply(tr, c, es, 301)
			lines := logs.TakeAll()
			require.Len(t, lines, 1)
			require.Equal(t, "instances known", lines[0].Message)
			require.EqualValues(t, 300, lines[0].ContextMap()["count"])
			require.EqualValues(t, 299, lines[0].ContextMap()["usable"])
			tr.MergeStatements(peer.String(), ss)
			require.Less(t, len(logs.TakeAll()), 50)
			c.Advance(time.Second)
			apply(tr, c, []tracker.Entry{gone("i7", 301), at(entry("i", 1, tracker.ConditionReady), 302)}, 303)
			lines = logs.TakeAll()
			require.Len(t, lines, 2)
			require.Equal(t, "gone", lines[0].ContextMap()["condition"])
			require.Equal(t, "10.0.0.1:80", lines[1].ContextMap()["address"])
		})
	}
}
