package recognizer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestInstanceThatAnsweredNobodyForAWhileIsLost(t *testing.T) {
	r, now := New(), time.Unix(0, 0)
	require.False(t, r.Fail(now, "i", 1))
	require.False(t, r.Fail(now, "i", 1), "failures at the same time may have one cause")
	now = now.Add(minSilence)
	require.True(t, r.Fail(now, "i", 1))
	require.False(t, r.Fail(now, "j", 1))
	require.True(t, r.Answer(now, "i"))
	require.False(t, r.Answer(now, "i"))
	require.False(t, r.Fail(now, "i", 1))
}

// One that fails a part of its requests, or cannot be reached from some processes only, has not started again.
func TestInstanceThatAnswersSomeIsNotLost(t *testing.T) {
	r, now := New(), time.Unix(0, 0)
	for range 100 {
		now = now.Add(minSilence / 2)
		require.False(t, r.Fail(now, "i", 3))
		require.False(t, r.Answer(now, "i"))
	}
}

func TestInstancesWithoutOutcomesAreForgotten(t *testing.T) {
	r, now := New(), time.Unix(0, 0)
	r.Fail(now, "i", 1)
	r.Fail(now.Add(2*forgetAfter), "j", 1)
	require.Len(t, r.silences, 1)
}
