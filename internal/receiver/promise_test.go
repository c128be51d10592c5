package receiver_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

// Whatever else ends a request, it must not be refused as not run, or sent again, after a send that may have run.
func TestRequestThatMayHaveRunIsNeitherRefusedNorSentAgain(t *testing.T) {
	sends := []struct {
		name    string
		respond func() (forwarder.Response, error)
		// runs is set if the instance may have run the request.
		runs bool
	}{
		{"refused", shed, false},
		{"moved", func() (forwarder.Response, error) {
			return forwarder.Response{Status: http.StatusMisdirectedRequest, NotRun: true}, nil
		}, false},
		{"unreachable", unreachable, false},
		{"broken", broken, true},
		{"error", func() (forwarder.Response, error) {
			return forwarder.Response{Status: http.StatusInternalServerError, Signed: true}, nil
		}, true},
		{"status of a refusal alone", func() (forwarder.Response, error) {
			return forwarder.Response{Status: http.StatusServiceUnavailable, Signed: true}, nil
		}, true},
		{"unsigned", func() (forwarder.Response, error) { return forwarder.Response{Status: http.StatusOK}, nil }, true},
	}
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.table = router.New(router.Configuration{
			Version: 7, Limits: router.DefaultLimits(), Accounts: []router.Account{{Name: "t", Keys: []string{"secret"}, Rate: 1}},
			Routes: []router.Route{{
				Name: "once", Host: "a", Prefix: "/once/", Timeout: time.Minute, Objective: time.Second, Attempts: 4,
				Services: []router.WeightedService{{Service: "s", Weight: 1}},
			}},
		})
		meanwhile := []func(){
			func() { f.stale = true },
			func() { f.clock.Advance(4500 * time.Millisecond) }, // The configuration is too old to accept a key.
			func() { f.retries = 0 },
			func() { f.receiver.Stop(f.clock.Now()) },
		}
		// The sends run in other goroutines, so what they do is drawn before.
		series := rapid.SliceOfN(rapid.IntRange(0, len(sends)-1), 10, 10).Draw(t, "series")
		events := rapid.SliceOfN(rapid.IntRange(0, 2*len(meanwhile)), 10, 10).Draw(t, "events")
		mayHaveRun, again := false, false
		f.respond = func(n int) (forwarder.Response, error) {
			again = again || mayHaveRun
			if e := events[n-1]; e < len(meanwhile) {
				meanwhile[e]()
				meanwhile[e] = func() {} // A stop begins once.
			}
			x := sends[series[n-1]]
			mayHaveRun = mayHaveRun || x.runs
			return x.respond()
		}
		status := f.serve("/once/", "secret").Code
		require.False(t, again, "it was sent again")
		if mayHaveRun {
			require.NotContains(t, []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
			return
		}
		require.Equal(t, http.StatusServiceUnavailable, status, "it has not run, and the caller is told so")
	})
}
