package tracker_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// limitOf returns the limit of instance i.
func limitOf(tr *tracker.Tracker) float64 {
	l, _ := tr.SendLimit("i")
	return l.Rate
}

// relayLimits gives to what from knows of limits, as an exchange does.
func relayLimits(from, to *tracker.Tracker) {
	c, _ := from.ChangesSince(0)
	to.MergeStatements("peer", c.Statements)
}

// observe records a response of the first incarnation that came within 100 ms.
func observe(tr *tracker.Tracker, c *clockwork.FakeClock, rate float64) { observeOf(tr, c, 1, rate) }

// observeOf records a response of an incarnation that came within 100 ms.
func observeOf(tr *tracker.Tracker, c *clockwork.FakeClock, incarnation int64, rate float64) {
	c.Advance(100 * time.Millisecond)
	tr.ObserveLimit("i", incarnation, rate, c.Now().Add(-100*time.Millisecond))
}

func TestLimitHoldsUntilALaterRequestIsAnsweredWithout(t *testing.T) {
	tr, c := newTracker()
	early := c.Now()
	observe(tr, c, 5)
	tr.ObserveLimit("i", 1, 0, early)
	require.InDelta(t, 5, limitOf(tr), 0, "the request was sent before the limit was stated")
	c.Advance(time.Hour)
	require.InDelta(t, 5, limitOf(tr), 0, "silence does not end a limit")
	observe(tr, c, 2.5)
	require.InDelta(t, 2.5, limitOf(tr), 0)
	c.Advance(time.Millisecond)
	observe(tr, c, 0)
	require.Zero(t, limitOf(tr))
}

func TestRelayedLimitDoesNotReplaceLaterOne(t *testing.T) {
	a, c := newTracker()
	b, d := tracker.New(c, zap.NewNop()), tracker.New(c, zap.NewNop())
	observe(a, c, 5)
	relayLimits(a, b)
	require.InDelta(t, 5, limitOf(b), 0)
	c.Advance(time.Second)
	observe(b, c, 0)
	relayLimits(a, b)
	require.Zero(t, limitOf(b), "a knows an older statement")
	relayLimits(a, d)
	before, _ := b.ChangesSince(0)
	relayLimits(d, b)
	after, _ := b.ChangesSince(before.Sequence)
	require.Len(t, after.Statements, 1, "the peer is told of the later statement")
	d.MergeStatements("peer", after.Statements)
	require.Zero(t, limitOf(d))
}

func TestRestartedInstanceHasNoLimitOfItsPredecessor(t *testing.T) {
	tr, c := newTracker()
	e := entry("i", 1, tracker.ConditionReady)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, true, 2)
	observe(tr, c, 5)
	require.InDelta(t, 5, tr.UsableInstances()[0].Limit, 0)
	e.Incarnation++
	e.Offset = 2
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, false, 3)
	require.Zero(t, tr.UsableInstances()[0].Limit)
	observeOf(tr, c, e.Incarnation-1, 3)
	require.Zero(t, tr.UsableInstances()[0].Limit, "a late response of the incarnation before")
	observeOf(tr, c, e.Incarnation, 4)
	require.InDelta(t, 4, tr.UsableInstances()[0].Limit, 0)
	observeOf(tr, c, e.Incarnation-1, 0)
	require.InDelta(t, 4, tr.UsableInstances()[0].Limit, 0)
}

// A late refusal of a request to an earlier incarnation, or to an earlier address, must not take the instance out of use.
func TestRefusalOfAnEarlierIncarnationDoesNotTakeTheCurrentOneOut(t *testing.T) {
	tr, c := newTracker()
	before := entry("i", 1, tracker.ConditionReady)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{before}, true, 2)
	moved := at(before, 2)
	moved.Address = netip.MustParseAddrPort("10.0.0.9:80")
	moved.SequenceNumber++
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{moved}, false, 3)
	tr.MarkMoved(before.Instance)
	require.Equal(t, 1, usable(tr))
	again := at(before, 3)
	again.Incarnation++
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{again}, false, 4)
	tr.MarkMoved(before.Instance)
	tr.MarkMoved(moved.Instance)
	require.Equal(t, 1, usable(tr))
	tr.MarkMoved(again.Instance)
	require.Zero(t, usable(tr))
}

// An instance that cannot reach the registry states in its responses alone that it leaves.
func TestInstanceThatStatedThatItLeavesIsNotUsable(t *testing.T) {
	tr, c := newTracker()
	notified := 0
	tr.OnInstancesChange(func() { notified++ })
	e := entry("i", 1, tracker.ConditionReady)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, true, 2)
	before := notified
	tr.MarkLeaving("i", e.Incarnation-1)
	require.Equal(t, 1, usable(tr), "its predecessor left")
	tr.MarkLeaving("i", e.Incarnation)
	require.Zero(t, usable(tr))
	require.Greater(t, notified, before)
	e.SequenceNumber, e.Offset = 2, 2
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, false, 3)
	observe(tr, c, 5)
	c.Advance(time.Second)
	observe(tr, c, 0)
	require.Zero(t, usable(tr), "neither a heartbeat nor a response without the statement takes it back")
	e.Incarnation, e.SequenceNumber, e.Offset = 2, 1, 3
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, false, 4)
	require.Equal(t, 1, usable(tr), "it started again")
	tr.MarkLeaving("i", 1)
	require.Equal(t, 1, usable(tr), "a late response of the earlier incarnation")
}

// What an instance states after it started again is news, even if it had stated the same before.
func TestInstanceThatStartsAgainAndStatesTheSameIsFollowed(t *testing.T) {
	for name, c := range map[string]struct {
		state    func(tr *tracker.Tracker, c *clockwork.FakeClock, incarnation int64)
		followed func(tr *tracker.Tracker) bool
	}{
		"that it leaves": {
			func(tr *tracker.Tracker, _ *clockwork.FakeClock, incarnation int64) { tr.MarkLeaving("i", incarnation) },
			func(tr *tracker.Tracker) bool { return usable(tr) == 0 },
		},
		"a limit": {
			func(tr *tracker.Tracker, c *clockwork.FakeClock, incarnation int64) { observeOf(tr, c, incarnation, 5) },
			func(tr *tracker.Tracker) bool { return tr.UsableInstances()[0].Limit == 5 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr, clock := newTracker()
			other := tracker.New(clock, zap.NewNop())
			e := entry("i", 1, tracker.ConditionReady)
			var notified, observed uint64
			tr.OnInstancesChange(func() { notified++ })
			for range 2 {
				e.Incarnation++
				e.Offset++
				for _, x := range []*tracker.Tracker{tr, other} {
					x.ApplyRegistrations(clock.Now(), []tracker.Entry{e}, false, e.Offset+1)
				}
				before, sequence := notified, observed
				c.state(tr, clock, e.Incarnation)
				require.True(t, c.followed(tr))
				require.Greater(t, notified, before, "instances are picked from what was last notified")
				var ss []tracker.Statement
				ss, observed = tr.ObservedStatements(sequence)
				require.Len(t, ss, 1)
				other.MergeStatements("peer", ss)
				require.True(t, c.followed(other))
			}
		})
	}
}

// Other VMs must not learn each for itself that an instance leaves.
func TestLeavingIsRelayed(t *testing.T) {
	a, c := newTracker()
	b, d := tracker.New(c, zap.NewNop()), tracker.New(c, zap.NewNop())
	e := entry("i", 1, tracker.ConditionReady)
	for _, tr := range []*tracker.Tracker{a, b, d} {
		tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, true, 2)
	}
	observe(a, c, 5)
	relayLimits(a, b)
	a.MarkLeaving("i", e.Incarnation)
	ss, _ := a.ObservedStatements(0)
	require.Len(t, ss, 1)
	require.True(t, ss[0].Leaving)
	c.Advance(time.Second)
	observe(b, c, 3)
	relayLimits(a, b)
	require.Zero(t, usable(b))
	require.InDelta(t, 3, limitOf(b), 0, "its limit is the later one")
	relayLimits(b, d)
	require.Zero(t, usable(d))
	relayLimits(d, a)
	require.Zero(t, usable(a))
}

func TestObservedLimitsAreThoseOfOwnResponses(t *testing.T) {
	a, c := newTracker()
	b := tracker.New(c, zap.NewNop())
	observe(a, c, 5)
	ls, n := a.ObservedStatements(0)
	require.Len(t, ls, 1)
	ls, _ = a.ObservedStatements(n)
	require.Empty(t, ls)
	relayLimits(a, b)
	ls, _ = b.ObservedStatements(0)
	require.Empty(t, ls)
	c.Advance(time.Second)
	observe(b, c, 3)
	ls, _ = b.ObservedStatements(0)
	require.Len(t, ls, 1)
}
