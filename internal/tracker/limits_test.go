package tracker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// limitOf returns the limit of instance i.
func limitOf(tr *tracker.Tracker) float64 {
	l, _, _ := tr.Limit("i")
	return l.Rate
}

// relayLimits gives to what from knows of limits, as an exchange does.
func relayLimits(from, to *tracker.Tracker) {
	c, _ := from.ChangesSince(0)
	to.MergeLimits("peer", c.Limits)
}

// observe records a response that came within 100 ms.
func observe(tr *tracker.Tracker, c *clockwork.FakeClock, rate float64) {
	c.Advance(100 * time.Millisecond)
	tr.ObserveLimit("i", rate, c.Now().Add(-100*time.Millisecond))
}

func TestLimitHoldsUntilALaterRequestIsAnsweredWithout(t *testing.T) {
	tr, c := newTracker()
	early := c.Now()
	observe(tr, c, 5)
	tr.ObserveLimit("i", 0, early)
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
	require.Len(t, after.Limits, 1, "the peer is told of the later statement")
	d.MergeLimits("peer", after.Limits)
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
	observe(tr, c, 4)
	require.InDelta(t, 4, tr.UsableInstances()[0].Limit, 0)
}

func TestObservedLimitsAreThoseOfOwnResponses(t *testing.T) {
	a, c := newTracker()
	b := tracker.New(c, zap.NewNop())
	observe(a, c, 5)
	ls, n := a.ObservedLimits(0)
	require.Len(t, ls, 1)
	ls, _ = a.ObservedLimits(n)
	require.Empty(t, ls)
	relayLimits(a, b)
	ls, _ = b.ObservedLimits(0)
	require.Empty(t, ls)
	c.Advance(time.Second)
	observe(b, c, 3)
	ls, _ = b.ObservedLimits(0)
	require.Len(t, ls, 1)
}
