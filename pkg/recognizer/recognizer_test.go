package recognizer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	a = netip.MustParseAddrPort("10.0.0.1:1")
	b = netip.MustParseAddrPort("10.0.0.2:1")
)

func TestInstanceThatAnsweredNobodyForAWhileIsLost(t *testing.T) {
	r, now := New(), time.Unix(0, 0)
	require.False(t, r.Fail(now, "i", a))
	require.False(t, r.Fail(now, "i", b), "failures at the same time may have one cause")
	now = now.Add(minSilence)
	require.True(t, r.Fail(now, "i", a))
	require.False(t, r.Fail(now, "j", a))
	require.True(t, r.Answer(now, "i"))
	require.False(t, r.Answer(now, "i"))
	require.False(t, r.Fail(now, "i", a))
}

// A process that is cut off reaches no instance at all.
func TestInstanceThatOneProcessCannotReachIsNotLost(t *testing.T) {
	r, now := New(), time.Unix(0, 0)
	for range 10 {
		require.False(t, r.Fail(now, "i", a))
		now = now.Add(minSilence)
	}
	require.False(t, r.Answer(now, "i"))
	r.Alone = true
	r.Fail(now, "i", a)
	require.True(t, r.Fail(now.Add(minSilence), "i", a), "there is no other process that could tell")
}

// One that fails a part of its requests, or cannot be reached from some processes only, has not started again.
func TestInstanceThatAnswersSomeIsNotLost(t *testing.T) {
	r, now := New(), time.Unix(0, 0)
	for range 100 {
		now = now.Add(minSilence / 2)
		require.False(t, r.Fail(now, "i", b))
		require.False(t, r.Answer(now, "i"))
	}
}

func TestInstancesWithoutOutcomesAreForgotten(t *testing.T) {
	r, now := New(), time.Unix(0, 0)
	r.Fail(now, "i", a)
	r.Fail(now.Add(2*forgetAfter), "j", a)
	require.Len(t, r.silences, 1)
}
