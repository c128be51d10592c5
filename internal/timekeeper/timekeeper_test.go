package timekeeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/timekeeper"
)

func TestClockHasNoMonotonicReading(t *testing.T) {
	c, err := timekeeper.New()
	require.NoError(t, err)
	a := c.Now()
	require.Equal(t, a.Round(0), a, "a monotonic reading does not advance during a suspension and would hide it")
	require.False(t, c.Now().Before(a))
	require.WithinDuration(t, time.Now(), a, time.Hour)
	require.LessOrEqual(t, c.Until(a), time.Duration(0))
}
