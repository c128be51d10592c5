package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// An endless head must not fill memory.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, b := range map[string]emulator.Behavior{
		"no line":      emulator.Endless("", "x"),
		"header lines": emulator.Endless("HTTP/1.1 200 OK\r\n", "X-Header: x\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			i, err := emulator.NewInstance("i-1")
			require.NoError(t, err)
			t.Cleanup(i.Close)
			i.SetBehavior(b)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = newBackend(i.Address()).send(ctx, Request{ID: "1", Method: http.MethodGet, Target: "/"})
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.NoError(t, ctx.Err())
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4<<20))
		})
	}
}

// A refusal that names another request, or none, must not say that the current one has not run.
func TestRefusalOfAnotherRequestDoesNotSayThatTheCurrentOneHasNotRun(t *testing.T) {
	for name, id := range map[string]string{"another": "0", "none": ""} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(HeaderRequestID) == "1" {
					w.Header().Set(HeaderRequestID, "1")
					return
				}
				if id != "" {
					w.Header().Set(HeaderRequestID, id)
				}
				w.Header().Set(HeaderState, stateShedding)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(s.Close)
			b := newBackend(netip.MustParseAddrPort(s.Listener.Addr().String()))
			t.Cleanup(b.close)
			_, err := b.send(t.Context(), Request{ID: "1", Method: http.MethodGet, Target: "/"})
			require.NoError(t, err)
			_, err = b.send(t.Context(), Request{ID: "2", Method: http.MethodGet, Target: "/"})
			require.ErrorIs(t, err, errRequestIDMismatch)
			require.False(t, errors.Is(err, errNotStarted), err)
		})
	}
}

// The copy of a refusal names the request, and says nothing of the same request when that is sent again.
func TestCopyOfARefusalDoesNotSayThatTheRequestSentAgainHasNotRun(t *testing.T) {
	for _, state := range []string{stateShedding, stateDraining, stateStarting} {
		t.Run(state, func(t *testing.T) {
			refusedOn := map[string]bool{}
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(HeaderRequestID)
				w.Header().Set(HeaderRequestID, id)
				if refusedOn[r.RemoteAddr] || len(refusedOn) == 0 && id == "1" {
					refusedOn[r.RemoteAddr] = id == "1"
					w.Header().Set(HeaderState, state)
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			t.Cleanup(s.Close)
			b := newBackend(netip.MustParseAddrPort(s.Listener.Addr().String()))
			t.Cleanup(b.close)
			post := Request{ID: "1", Method: http.MethodPost, Target: "/"}
			_, err := b.send(t.Context(), post)
			require.True(t, errors.Is(err, errNotStarted), err)
			a, err := b.send(t.Context(), post)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, a.Status)
		})
	}
}

// A late response to another request no longer says how the backend server is.
func TestLateResponseIsNotTakenForThatOfAHealthCheck(t *testing.T) {
	for name, late := range map[string]bool{"late": true, "own": false} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
				if late {
					w.Header().Set(HeaderRequestID, "1")
				}
				w.Header().Set(HeaderState, stateDraining)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(s.Close)
			b := newBackend(netip.MustParseAddrPort(s.Listener.Addr().String()))
			t.Cleanup(b.close)
			draining, err := b.probe(t.Context(), "/health")
			require.Equal(t, late, errors.Is(err, errRequestIDMismatch), err)
			require.Equal(t, !late, draining)
		})
	}
}

// Bytes of an earlier refusal that end within a header must not make the response behind them a refusal.
func TestPartOfAnEarlierRefusalDoesNotMakeTheNextResponseOne(t *testing.T) {
	const part = "HTTP/1.1 503 Service Unavailable\r\n" + HeaderState + ": " + stateShedding + "\r\nDate: Sun,"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, part+"HTTP/1.1 200 OK\r\n"+HeaderRequestID+": "+r.Header.Get(HeaderRequestID)+"\r\nContent-Length: 0\r\n\r\n")
	}))
	t.Cleanup(s.Close)
	b := newBackend(netip.MustParseAddrPort(s.Listener.Addr().String()))
	t.Cleanup(b.close)
	_, err := b.send(t.Context(), Request{ID: "1", Method: http.MethodPost, Target: "/"})
	require.Error(t, err)
	require.False(t, errors.Is(err, errNotStarted), err)
}
