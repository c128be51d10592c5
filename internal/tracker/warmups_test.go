package tracker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// warming returns a tracker of instance i, whose service takes 5 requests a second of instances that warm up.
func warming() (*tracker.Tracker, *clockwork.FakeClock) {
	tr, c := newTracker()
	tr.ApplyConfiguration(router.Configuration{Version: 1, Services: []router.Service{{Name: "s", WarmupRate: 5, Warmup: 3 * time.Second}}})
	report(tr, c, 1, 1, 0)
	return tr, c
}

// report applies a report of instance i that warms up for the given time.
func report(tr *tracker.Tracker, c *clockwork.FakeClock, incarnation, sequenceNumber int64, warmup time.Duration) {
	e := entry("i", sequenceNumber, tracker.ConditionReady)
	e.Service, e.Incarnation, e.Offset = "s", incarnation, uint64(10*incarnation+sequenceNumber)
	if warmup > 0 {
		e.WarmAt = c.Now().Add(warmup)
	}
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{e}, false, e.Offset+1)
}

// rateOf returns the limit of instance i.
func rateOf(t *testing.T, tr *tracker.Tracker) float64 {
	l, ok := tr.SendLimit("i")
	require.Equal(t, l.Rate > 0, ok)
	is := tr.UsableInstances()
	require.Len(t, is, 1)
	require.InDelta(t, l.Rate, is[0].Limit, 0, "the balancer knows the same limit")
	return l.Rate
}

func TestColdInstanceHasTheLimitOfItsServiceUntilItIsWarm(t *testing.T) {
	tr, c := warming()
	require.Zero(t, rateOf(t, tr))
	told := 0
	tr.OnInstancesChange(func() { told++ })
	report(tr, c, 1, 2, 2*time.Second)
	require.InDelta(t, 5, rateOf(t, tr), 0, "it turned cold again, as only its report says")
	require.Equal(t, 1, told)
	tr.ObserveLimit("i", 1, 2, c.Now())
	require.InDelta(t, 2, rateOf(t, tr), 0, "the lower limit holds")
	c.Advance(time.Second)
	tr.ObserveLimit("i", 1, 0, c.Now())
	require.InDelta(t, 5, rateOf(t, tr), 0, "a response without a limit does not end the warm-up")
	c.Advance(time.Second)
	told = 0
	tr.Expire()
	require.Equal(t, 1, told, "the balancer learns of the end")
	require.Zero(t, rateOf(t, tr))
}

func TestWarmupIsOfNoConsequenceWithoutARate(t *testing.T) {
	tr, c := newTracker()
	report(tr, c, 1, 1, 2*time.Second)
	require.Zero(t, rateOf(t, tr))
	before, _ := tr.ChangesSince(0)
	report(tr, c, 1, 2, 0)
	after, _ := tr.ChangesSince(before.Sequence)
	require.Empty(t, after.Entries)
	tr.ApplyConfiguration(router.Configuration{Version: 1, Services: []router.Service{{Name: "s", WarmupRate: 5}}})
	report(tr, c, 1, 3, 2*time.Second)
	require.InDelta(t, 5, rateOf(t, tr), 0)
}

func TestPeersLearnThatAnInstanceTurnedColdAgain(t *testing.T) {
	a, c := warming()
	b, _ := warming()
	before, _ := a.ChangesSince(0)
	report(a, c, 1, 2, 2*time.Second)
	after, _ := a.ChangesSince(before.Sequence)
	require.Len(t, after.Entries, 1)
	b.ApplyRegistrations(c.Now(), after.Entries, false, after.End)
	require.InDelta(t, 5, rateOf(t, b), 0)
}

func TestPresumedWarmupIsRelayedAndHoldsForItsIncarnation(t *testing.T) {
	a, c := warming()
	b, d := warming()
	require.True(t, a.PresumeWarmup("i"))
	require.False(t, a.PresumeWarmup("i"), "known")
	require.InDelta(t, 5, rateOf(t, a), 0)
	changes, _ := a.ChangesSince(0)
	b.MergeWarmups("peer", changes.Warmups)
	require.InDelta(t, 5, rateOf(t, b), 0)
	report(b, d, 2, 1, 0)
	require.Zero(t, rateOf(t, b), "it started again")
	c.Advance(5 * time.Second)
	a.Expire()
	require.Zero(t, rateOf(t, a))
}

func TestWarmupIsPresumedOnlyWithARate(t *testing.T) {
	tr, c := warming()
	require.False(t, tr.PresumeWarmup("j"), "unknown")
	require.True(t, tr.PresumeWarmup("i"))
	require.InDelta(t, 5, rateOf(t, tr), 0)
	c.Advance(500 * time.Millisecond)
	require.False(t, tr.PresumeWarmup("i"), "peers are not told of each failure")
	c.Advance(time.Second)
	require.True(t, tr.PresumeWarmup("i"))
	none, c := newTracker()
	report(none, c, 1, 1, 0)
	require.False(t, none.PresumeWarmup("i"))
}

func TestChangedWarmupRateComesIntoForce(t *testing.T) {
	tr, c := warming()
	report(tr, c, 1, 2, 2*time.Second)
	told := 0
	tr.OnInstancesChange(func() { told++ })
	for i, rate := range []float64{3, 0, 4} {
		told = 0
		tr.ApplyConfiguration(router.Configuration{Version: int64(2 + i), Services: []router.Service{{Name: "s", WarmupRate: rate}}})
		tr.Expire()
		require.Equal(t, 1, told)
		require.InDelta(t, rate, rateOf(t, tr), 0)
	}
}
