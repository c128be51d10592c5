package receiver_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

func TestRequestWithoutRoomIsRefusedAtOnceAndNotSent(t *testing.T) {
	f := newFixture()
	f.noRoom = true
	f.deadline = "1500"
	rec := f.serve("/once/", "secret")
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	require.Empty(t, f.sends)
	after, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 0.5, after, 1e-9, "callers return within a third of the time that they have left")
	require.Equal(t, "no-room", f.logLine(t)["reason"])
	require.Equal(t, true, f.logLine(t)["notRun"])
}

func TestRequestThatWasRefusedWaitsForARetry(t *testing.T) {
	f := newFixture()
	f.retryWaits = 3
	f.respond = func(n int) (forwarder.Response, error) {
		if n == 1 {
			return shed()
		}
		return okResponse(), nil
	}
	answered := make(chan int, 1)
	go func() { answered <- f.serve("/once/", "secret").Code }()
	for range 3 {
		require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
		f.clock.Advance(20 * time.Millisecond)
	}
	require.Equal(t, http.StatusOK, <-answered)
	require.Len(t, f.sends, 2)
}

// A request that waits for a retry in vain has not run, and must be told so.
func TestStopEndsTheWaitForARetry(t *testing.T) {
	f := newFixture()
	f.retryWaits = 1000
	f.respond = func(int) (forwarder.Response, error) { return shed() }
	answered := make(chan int, 1)
	go func() { answered <- f.serve("/once/", "secret").Code }()
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.receiver.Stop(f.clock.Now().Add(time.Second))
	require.Equal(t, http.StatusServiceUnavailable, <-answered)
	require.Len(t, f.sends, 1)
}
