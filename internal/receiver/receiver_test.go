package receiver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
)

func TestForwardsEndToEndHeadersAndBody(t *testing.T) {
	f := newFixture()
	rec := f.serve("/once/x?y=1", "secret")
	require.Equal(t, http.StatusOK, rec.Code)
	require.Equal(t, "x", rec.Header().Get("Sig"))
	s := f.sends[0]
	require.Equal(t, "/once/x?y=1", s.Target)
	require.Equal(t, "body", string(s.Body))
	require.Equal(t, http.Header{"Id": {"r-1"}, "Deadline": {"2000"}, "Expected": {"i-1"}, "Account": {"t"}, "X-End": {"2"}}, s.Header)
	lines := f.logs.All()
	require.Len(t, lines, 1)
	require.Equal(t, "answered", lines[0].Message)
	require.Equal(t, "once", lines[0].ContextMap()["route"])
	require.EqualValues(t, 7, lines[0].ContextMap()["version"])
	for range 1000 {
		f.serve("/once/", "secret")
	}
	require.Less(t, f.logs.Len(), 200, "under load, most requests that succeed are counted only")
}

// What placing and operators know of a service must not leave out the callers that are beyond their rates.
func TestRequestsBeyondARateCountAsNotServed(t *testing.T) {
	f := newFixture()
	f.serve("/safe/", "secret")
	f.admitted = relayer.Admission{RetryAfter: time.Second, Owner: "10.0.0.9:1"}
	f.serve("/safe/", "secret")
	f.serve("/none/", "secret")
	require.Equal(t, []bool{true, false}, f.served)
}

// Only the forwarder knows whether a kept connection can be verified for a request that must not be sent twice.
func TestRequestsThatRunOnceAreMarkedForTheirConnections(t *testing.T) {
	f := newFixture()
	f.serve("/once/", "secret")
	f.serve("/safe/", "secret")
	require.True(t, f.sends[0].RunsOnce)
	require.False(t, f.sends[1].RunsOnce)
}

func TestDrainingClosesKeptConnections(t *testing.T) {
	f := newFixture()
	f.leaving = true
	require.Equal(t, "close", f.serve("/safe/", "secret").Header().Get("Connection"))
}

// TestRefusalReasonsAreLogged checks that the cause of a refusal can be found in the log by the request's id alone.
func TestRefusalReasonsAreLogged(t *testing.T) {
	cases := map[string]struct {
		arrange func(f *fixture)
		path    string
		key     string
		status  int
		notRun  bool
		reason  string
		detail  string
	}{
		"over its rate":          {func(f *fixture) { f.admitted = relayer.Admission{RetryAfter: time.Second, Owner: "10.0.0.9:1"} }, "/safe/", "secret", 429, true, "over-rate", "beyond its rate"},
		"stale configuration":    {func(f *fixture) { f.clock.Advance(4500 * time.Millisecond) }, "/safe/", "secret", 503, true, "stale", "too old to accept a key"},
		"stale, unknown key":     {func(f *fixture) { f.clock.Advance(3 * time.Second) }, "/safe/", "other", 503, true, "stale", "too old to deny"},
		"no configuration":       {func(f *fixture) { f.table = nil }, "/safe/", "secret", 503, true, "no-configuration", "no configuration"},
		"unknown key":            {func(*fixture) {}, "/safe/", "other", 401, true, "unknown-key", "no client account"},
		"no route":               {func(*fixture) {}, "/none/", "secret", 404, true, "no-route", "no route"},
		"instances shed":         {func(f *fixture) { f.respond = func(int) (forwarder.Response, error) { return shed() } }, "/once/", "secret", 503, true, "shed", "i-2 refused"},
		"no retry budget":        {func(f *fixture) { f.retries = 0; f.respond = func(int) (forwarder.Response, error) { return shed() } }, "/once/", "secret", 503, true, "shed", "budget"},
		"none reachable":         {func(f *fixture) { f.respond = func(int) (forwarder.Response, error) { return unreachable() } }, "/once/", "secret", 503, true, "no-instance", "connection refused"},
		"broken, not idempotent": {func(f *fixture) { f.respond = func(int) (forwarder.Response, error) { return broken() } }, "/once/", "secret", 502, false, "broken", "i-1 gave no whole answer: connection reset"},
		"broken twice":           {func(f *fixture) { f.respond = func(int) (forwarder.Response, error) { return broken() } }, "/safe/", "secret", 502, false, "broken", "i-2 gave no whole answer"},
		"status claims not run": {func(f *fixture) {
			f.respond = func(int) (forwarder.Response, error) { return forwarder.Response{Status: 503, Signed: true}, nil }
		}, "/once/", "secret", 502, false, "broken", "no whole answer"},
		"unsigned denial": {func(f *fixture) {
			f.respond = func(int) (forwarder.Response, error) { return forwarder.Response{Status: 404}, nil }
		}, "/once/", "secret", 502, false, "broken", "no whole answer"},
		"unsigned success": {func(f *fixture) {
			f.respond = func(int) (forwarder.Response, error) { return forwarder.Response{Status: 200}, nil }
		}, "/once/", "secret", 502, false, "broken", "no whole answer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			c.arrange(f)
			rec := f.serve(c.path, c.key)
			require.Equal(t, c.status, rec.Code)
			require.Equal(t, c.status == 429 || c.status == 503, rec.Header().Get("Retry-After") != "")
			l := f.logLine(t)
			require.Equal(t, c.reason, l["reason"])
			require.Equal(t, c.notRun, l["notRun"])
			require.Contains(t, l["detail"], c.detail)
			for _, e := range f.logs.All() {
				for _, v := range e.ContextMap() {
					require.NotEqual(t, "secret", v, "keys are never logged")
				}
			}
		})
	}
}

func TestRetries(t *testing.T) {
	first := func(a forwarder.Response, err error) func(int) (forwarder.Response, error) {
		return func(n int) (forwarder.Response, error) {
			if n == 1 {
				return a, err
			}
			return okResponse(), nil
		}
	}
	errorResponse := forwarder.Response{Status: http.StatusInternalServerError, Signed: true, Header: http.Header{"Sig": {"e"}}}
	shedResponse, _ := shed()
	_, brokenErr := broken()
	_, unreachableErr := unreachable()
	for name, c := range map[string]struct {
		path    string
		respond func(int) (forwarder.Response, error)
		sends   int
		status  int
	}{
		"error response, idempotent":     {"/safe/", first(errorResponse, nil), 2, 200},
		"error response, not idempotent": {"/once/", first(errorResponse, nil), 1, 500},
		"broken, idempotent":             {"/safe/", first(forwarder.Response{}, brokenErr), 2, 200},
		"broken, not idempotent":         {"/once/", first(forwarder.Response{}, brokenErr), 1, 502},
		"not run":                        {"/once/", first(shedResponse, nil), 2, 200},
		"not sent":                       {"/once/", first(forwarder.Response{}, unreachableErr), 2, 200},
		"moved":                          {"/once/", first(forwarder.Response{Status: 421, NotRun: true}, nil), 2, 200},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.respond = c.respond
			require.Equal(t, c.status, f.serve(c.path, "secret").Code)
			require.Len(t, f.sends, c.sends)
		})
	}
}

// Whatever a sender returns, the caller gets a status that a response can have.
func TestStatusThatNoResponseHasIsNotWritten(t *testing.T) {
	for _, status := range []int{0, 1, 99, 101, 600, 999} {
		f := newFixture()
		f.respond = func(int) (forwarder.Response, error) {
			return forwarder.Response{Status: status, Signed: true, Header: http.Header{"Sig": {"e"}}, Body: []byte("text")}, nil
		}
		rec := f.serve("/once/", "secret")
		require.Equal(t, http.StatusBadGateway, rec.Code, status)
		require.NotContains(t, rec.Body.String(), "text")
		require.Empty(t, rec.Header().Get("Sig"))
	}
}

// A caller waits from when it sent its request, not from when the one before on the connection was answered.
func TestTimeOfARequestSentAheadCountsFromItsArrival(t *testing.T) {
	for before, left := range map[time.Duration]string{0: "2000", 1500 * time.Millisecond: "500", 2 * time.Second: "", time.Minute: ""} {
		f := newFixture()
		req := httptest.NewRequest(http.MethodGet, "/once/", nil)
		req.Host = "a"
		req.Header = http.Header{"Id": {"r-1"}, "Deadline": {"2000"}, "Key": {"secret"}}
		rec := httptest.NewRecorder()
		f.receiver.ServeHTTP(rec, req.WithContext(receiver.WithArrival(req.Context(), f.clock.Now().Add(-before))))
		if left == "" {
			require.Equal(t, http.StatusServiceUnavailable, rec.Code)
			require.Empty(t, f.sends)
			continue
		}
		require.Equal(t, http.StatusOK, rec.Code)
		require.Equal(t, left, f.sends[0].Header.Get("Deadline"))
	}
}

func TestErrorResponseKeepsItsSignature(t *testing.T) {
	f := newFixture()
	f.respond = func(int) (forwarder.Response, error) {
		return forwarder.Response{Status: http.StatusInternalServerError, Signed: true, Header: http.Header{"Sig": {"e"}}}, nil
	}
	rec := f.serve("/safe/", "secret")
	require.Equal(t, http.StatusInternalServerError, rec.Code)
	require.Equal(t, "e", rec.Header().Get("Sig"))
	require.Len(t, f.sends, 2)
}

// TestRequestsWaitForConfigurationAtStart checks that a request that arrives just before the configuration is
// served, and that one on a VM that has run without a configuration for a minute is refused at once.
func TestRequestsWaitForConfigurationAtStart(t *testing.T) {
	f := newFixture()
	f.receiver.Started = f.clock.Now()
	f.tableAfterWait, f.table = f.table, nil
	require.Equal(t, http.StatusOK, f.serve("/safe/", "secret").Code)
	require.Positive(t, f.waited)
	f = newFixture()
	f.receiver.Started = f.clock.Now().Add(-time.Minute)
	f.tableAfterWait, f.table = f.table, nil
	require.Equal(t, http.StatusServiceUnavailable, f.serve("/safe/", "secret").Code)
	require.Zero(t, f.waited)
}

// TestErrorResponseIsLogged checks that a request is logged if its only instance returned a server error.
func TestErrorResponseIsLogged(t *testing.T) {
	f := newFixture()
	f.respond = func(int) (forwarder.Response, error) {
		a := okResponse()
		a.Status = http.StatusInternalServerError
		return a, nil
	}
	require.Equal(t, http.StatusInternalServerError, f.serve("/once/", "secret").Code)
	require.Equal(t, 1, f.logs.FilterMessage("request").FilterField(zap.String("id", "r-1")).Len())
	f.respond = func(int) (forwarder.Response, error) { return okResponse(), nil }
	require.Equal(t, http.StatusOK, f.serve("/once/", "secret").Code)
	require.Equal(t, 1, f.logs.FilterMessage("request").Len(), "a request that succeeds has no line of a failure")
}

// TestRequestsAtLeavingInstancesAreLogged checks that the log tells which view sent a request to an instance that left.
func TestRequestsAtLeavingInstancesAreLogged(t *testing.T) {
	f := newFixture()
	f.serve("/safe/", "secret")
	require.Zero(t, f.logs.FilterMessage("instance left during request").Len())
	f.left = true
	f.serve("/safe/", "secret")
	lines := f.logs.FilterMessage("instance left during request").All()
	require.Len(t, lines, 1)
	require.Equal(t, "i-1", lines[0].ContextMap()["instance"])
	require.Equal(t, 40*time.Millisecond, lines[0].ContextMap()["viewAge"])
}

// A busy VM must not send by a view older than the drain timeout.
func TestRequestsWaitForRecentView(t *testing.T) {
	f := newFixture()
	require.Equal(t, http.StatusOK, f.serve("/safe/", "secret").Code)
	require.Len(t, f.viewWaits, 1)
	require.Positive(t, f.viewWaits[0])
	require.Less(t, f.maxViewAge+forwarder.ConnectTimeout, 2*time.Second)
	require.Zero(t, f.logs.FilterMessage("view of the instances is stale").Len())
}

// An instance may have left long before a view that is too old: a request must not go by it after the wait either.
func TestRequestsAreNotSentByAStaleView(t *testing.T) {
	f := newFixture()
	f.stale = true
	rec := f.serve("/once/", "secret")
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	require.NotEmpty(t, rec.Header().Get("Retry-After"))
	require.Empty(t, f.sends)
	require.Equal(t, 1, f.logs.FilterMessage("view of the instances is stale").Len())
}

// deadlineRecorder records the write deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(d time.Time) error {
	r.deadlines = append(r.deadlines, d)
	return nil
}

// A caller that does not read must not hold a streamed response beyond the request's time.
func TestCallerThatStopsReadingIsDropped(t *testing.T) {
	f := newFixture()
	f.respond = func(int) (forwarder.Response, error) {
		r := okResponse()
		r.BodyRest, r.Length = io.NopCloser(strings.NewReader("more")), -1
		return r, nil
	}
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	f.serveTo(w, "/safe/", "secret")
	require.Equal(t, "okmore", w.Body.String())
	require.Len(t, w.deadlines, 2)
	require.WithinRange(t, w.deadlines[0], time.Now(), time.Now().Add(2*time.Second))
	require.Zero(t, w.deadlines[1], "the connection may carry further requests")
}

func TestLimitsAreReadFromAllResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response forwarder.Response
		want     []string
	}{
		"answer":              {forwarder.Response{Status: 200, Signed: true, Limit: forwarder.Limit{Rate: 2.5}}, []string{"i-1 2.5"}},
		"answer without":      {forwarder.Response{Status: 200, Signed: true}, []string{"i-1 0"}},
		"error":               {forwarder.Response{Status: 500, Signed: true, Limit: forwarder.Limit{Rate: 2.5}}, []string{"i-1 2.5"}},
		"shed":                {forwarder.Response{Status: 503, NotRun: true, Limit: forwarder.Limit{Rate: 2.5}}, []string{"i-1 2.5", "i-2 2.5"}},
		"shed without":        {forwarder.Response{Status: 503, NotRun: true}, nil},
		"unsigned without":    {forwarder.Response{Status: 404}, nil},
		"invalid":             {forwarder.Response{Status: 200, Signed: true, Limit: forwarder.Limit{Invalid: true}}, nil},
		"of another instance": {forwarder.Response{Status: 421, NotRun: true, Limit: forwarder.Limit{Rate: 2.5}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			c.response.Header = http.Header{}
			f.respond = func(int) (forwarder.Response, error) { return c.response, nil }
			f.serve("/once/x", "secret")
			require.Equal(t, c.want, f.limits)
		})
	}
}

// admitAfter refuses the first n requests to instances.
func (f *fixture) admitAfter(n int, retryAfter time.Duration) {
	f.admitSend = func(string) relayer.Admission {
		n--
		return relayer.Admission{Admitted: n < 0, RetryAfter: retryAfter, Owner: "10.0.0.9:1"}
	}
}

func TestRequestRefusedByALimitGoesToAnotherInstance(t *testing.T) {
	f := newFixture()
	f.admitAfter(2, 40*time.Millisecond)
	require.Equal(t, http.StatusOK, f.serve("/once/x", "secret").Code)
	require.Equal(t, []string{"i-1 40ms", "i-1 40ms"}, f.released)
	require.Len(t, f.sends, 1)
	require.Equal(t, 5, f.retries, "a request that was not sent needs no retry")
}

func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	f := newFixture()
	f.admitAfter(1000, time.Second)
	f.nextAvailable = time.Second
	rec := f.serve("/once/x", "secret")
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	after, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, 1.0)
	require.Empty(t, f.sends)
	require.Equal(t, "limited", f.logLine(t)["reason"])
	require.Equal(t, true, f.logLine(t)["notRun"])
}

func TestRequestWaitsForATokenOfALimitedInstance(t *testing.T) {
	f := newFixture()
	f.deadline = "60000"
	f.admitAfter(5, 100*time.Millisecond)
	f.nextAvailable = 100 * time.Millisecond
	done := make(chan int)
	go func() { done <- f.serve("/once/x", "secret").Code }()
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.clock.Advance(100 * time.Millisecond)
	require.Equal(t, http.StatusOK, <-done)
}

func TestRequestIsNotSentToInstanceThatLeftWhileItsLimitWasAsked(t *testing.T) {
	f := newFixture()
	f.admitSend = func(string) relayer.Admission {
		f.left = !f.left
		return relayer.Admission{Admitted: true, Owner: "10.0.0.9:1"}
	}
	require.Equal(t, http.StatusOK, f.serve("/once/x", "secret").Code)
	require.Equal(t, []string{"i-1 0s"}, f.released)
	require.Len(t, f.sends, 1)
}

func TestRequestsDoNotAllWaitForATokenThatNoneGets(t *testing.T) {
	f := newFixture()
	f.deadline = "60000"
	f.admitAfter(1000, 100*time.Millisecond)
	f.nextAvailable = 100 * time.Millisecond
	serve := func() chan string {
		done := make(chan string)
		go func() { done <- f.serve("/once/x", "secret").Body.String() }()
		return done
	}
	first := serve()
	for range 4 {
		require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
		f.clock.Advance(100 * time.Millisecond)
	}
	require.Contains(t, <-first, "limited")
	require.Contains(t, <-serve(), "limited", "it is refused before its deadline, though the clock stands still")
	f.clock.Advance(2 * time.Second)
	third := serve()
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
	for range 4 {
		require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
		f.clock.Advance(100 * time.Millisecond)
	}
	require.Contains(t, <-third, "limited")
}

// Buffered bodies took as much memory as there were uploads at once.
func TestUploadsTakeBoundedMemory(t *testing.T) {
	f := newFixture()
	f.receiver.MaxBodyMemory = 300 << 10
	var finish []func()
	for range 3 {
		r, w := io.Pipe()
		req := httptest.NewRequest(http.MethodPost, "/once/", r)
		req.Host = "a"
		req.Header.Set("Key", "secret")
		done := make(chan struct{})
		go func() {
			f.receiver.ServeHTTP(httptest.NewRecorder(), req)
			close(done)
		}()
		_, err := w.Write([]byte("x")) // Returns once the request has reserved its memory.
		require.NoError(t, err)
		finish = append(finish, func() {
			go func() {
				_, _ = w.Write(make([]byte, 100<<10))
				_ = w.Close()
			}()
			<-done
			_ = r.Close() // Nothing reads the rest of a streamed body: the stub of the sender does not.
		})
	}
	require.Empty(t, f.sends)
	streamed := 0
	for _, finish := range finish {
		finish()
	}
	for _, s := range f.sends {
		if s.BodyRest != nil {
			streamed++
		}
	}
	require.Len(t, f.sends, 3)
	require.Equal(t, 1, streamed, "there is memory for two")
	f.serve("/once/", "secret")
	require.Nil(t, f.sends[3].BodyRest, "memory is given back")
}

// What an instance states holds also if the caller does not get the response.
func TestStatementsOfInstancesAreObserved(t *testing.T) {
	for name, respond := range map[string]func() (forwarder.Response, error){
		"answer": func() (forwarder.Response, error) { return okResponse(), nil }, "refusal": shed, "broken": broken,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.respond = func(n int) (forwarder.Response, error) {
				if n > 1 {
					return okResponse(), nil
				}
				resp, err := respond()
				resp.Leaving, resp.Pause = true, 3*time.Second
				return resp, err
			}
			require.Equal(t, http.StatusOK, f.serve("/safe/", "secret").Code)
			require.Equal(t, []string{"i-1 7"}, f.leavings)
			require.Equal(t, []string{"i-1 3s"}, f.pauses)
		})
	}
}
