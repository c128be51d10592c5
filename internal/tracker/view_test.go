package tracker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// TestAwaitView checks that a caller waits for a recent view, but not if the registry cannot be read, nor for ever.
func TestAwaitView(t *testing.T) {
	const maxAge, timeout = 1700 * time.Millisecond, 300 * time.Millisecond
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), nil, true, 1)
	c.Advance(maxAge)
	require.True(t, tr.AwaitView(t.Context(), maxAge, timeout))
	c.Advance(time.Millisecond)
	require.False(t, tr.AwaitView(t.Context(), maxAge, 0))
	done := make(chan bool)
	wait := func() {
		go func() { done <- tr.AwaitView(t.Context(), maxAge, timeout) }()
		require.NoError(t, c.BlockUntilContext(t.Context(), 1))
	}
	wait()
	c.Advance(timeout)
	require.False(t, <-done)
	wait()
	tr.ApplyRegistrations(c.Now(), nil, false, 1)
	require.True(t, <-done, "read by this VM")
	c.Advance(2 * maxAge)
	wait()
	tr.MergeInstances(peer, tracker.Changes{End: 1, EntriesReadAt: c.Now()})
	require.True(t, <-done, "read by a peer")
	c.Advance(2 * maxAge)
	wait()
	tr.MarkUnread(c.Now())
	c.Advance(time.Millisecond)
	tr.MarkUnread(c.Now())
	require.True(t, <-done, "not readable")
	require.True(t, tr.AwaitView(t.Context(), maxAge, timeout))
	tr.MergeInstances(peer, tracker.Changes{End: 1, EntriesReadAt: c.Now().Add(time.Millisecond)})
	c.Advance(2 * maxAge)
	wait()
	tr.MarkUnanswered(c.Now())
	require.True(t, <-done, "no response")
}

// One read that failed, as any call may, must not make a view of any age good, nor keep a removed instance in use.
func TestOneFailedReadIsNoOutage(t *testing.T) {
	const maxAge = 1700 * time.Millisecond
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{entry("i", 5, tracker.ConditionReady)}, true, 6)
	c.Advance(1600 * time.Millisecond)
	tr.MarkUnread(c.Now())
	c.Advance(time.Second)
	require.False(t, tr.AwaitView(t.Context(), maxAge, 0))
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{gone("i", 6)}, false, 7)
	require.Zero(t, usable(tr))
	c.Advance(2 * maxAge)
	tr.MarkUnread(c.Now())
	require.False(t, tr.AwaitView(t.Context(), maxAge, 0), "the read before it did not fail")
	tr.MarkUnread(c.Now().Add(time.Millisecond))
	require.True(t, tr.AwaitView(t.Context(), maxAge, 0))
}
