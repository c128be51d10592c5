package runner

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
)

// firstConn returns the only connection of a frontend.
func (f *testFrontend) firstConn() *callerConn {
	f.awaitConns(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		return c
	}
	return nil
}

// What waits behind a request must count from when it was received, whether it came with the request before or after it, and
// with a body or without.
func TestArrivalOfRequestsSentAheadIsPassedOn(t *testing.T) {
	for name, first := range map[string]string{"GET": getRequest, "POST": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"} {
		for _, together := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				began, release := make(chan time.Time), make(chan struct{})
				n, arrivals := 0, make(chan time.Time, 1)
				f := newTestFrontend(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					if n++; n == 1 {
						began <- time.Now()
						<-release
						return
					}
					arrivals <- receiver.Arrival(r.Context(), time.Time{})
				}))
				c := f.dial()
				write := func(s string) {
					_, err := io.WriteString(c, s)
					require.NoError(t, err)
				}
				sent := time.Now()
				if together {
					write(first + getRequest)
					latest := <-began
					close(release)
					requireWithin(t, sent, <-arrivals, latest)
				} else {
					write(first)
					sent = <-began
					write(getRequest)
					conn := f.firstConn()
					require.Eventually(t, func() bool {
						conn.mu.Lock()
						defer conn.mu.Unlock()
						return !conn.aheadAt.IsZero()
					}, testTimeout, time.Millisecond)
					latest := time.Now()
					close(release)
					requireWithin(t, sent, <-arrivals, latest)
				}
				require.Equal(t, http.StatusOK, c.readStatus())
				require.Equal(t, http.StatusOK, c.readStatus())
				f.awaitIdle()
				write(getRequest)
				require.Zero(t, <-arrivals, "a request that was not sent ahead")
			})
		}
	}
}

func requireWithin(t *testing.T, earliest, at, latest time.Time) {
	require.False(t, at.Before(earliest), "%v before %v", at, earliest)
	require.False(t, at.After(latest), "%v after %v", at, latest)
}
