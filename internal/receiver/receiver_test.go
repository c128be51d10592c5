package receiver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// world is what a receiver works with, played by a test.
type world struct {
	clock    *clockwork.FakeClock
	table    *router.Table
	readAt   time.Time
	admitted relayer.Admission
	retries  int
	picks    int
	sends    []forwarder.Request
	rests    []time.Duration
	answer   func(n int) (forwarder.Answer, error)
	moved    []string
	outcomes []balancer.Outcome
	leaving  bool
	// awaited is how long a request was ready to wait for the configuration, and learns what it then was.
	awaited  time.Duration
	learns   *router.Table
	receiver *receiver.Receiver
	logs     *observer.ObservedLogs
}

func newWorld() *world {
	w := &world{clock: clockwork.NewFakeClock(), admitted: relayer.Admission{Admitted: true, Owner: "10.0.0.9:1"}, retries: 5}
	w.readAt = w.clock.Now()
	route := func(name string, idempotent bool) router.Route {
		return router.Route{
			Name: name, Host: "a", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: 5 * time.Second, Objective: time.Second,
			Attempts: 2, Parts: []router.Part{{Service: "s", Weight: 1}},
		}
	}
	w.table = router.New(router.Configuration{
		Version: 7, Routes: []router.Route{route("safe", true), route("once", false)}, Limits: router.DefaultLimits(),
		Accounts: []router.Account{{Name: "t", Keys: []string{"secret"}, Rate: 1}},
	})
	core, logs := observer.New(zap.InfoLevel)
	w.logs = logs
	w.answer = func(int) (forwarder.Answer, error) { return good(), nil }
	w.receiver = receiver.New(receiver.Options{
		Dialect: receiver.Dialect{
			Headers: forwarder.Headers{RequestID: "Id", Signature: "Sig", NotRun: "Nr"},
			Key:     "Key", Account: "Account", Deadline: "Deadline", ExpectedInstance: "Expected",
		},
		Believer: w, Admitter: w, Picker: w, Sender: w, Observer: w, KeyAge: 5 * time.Second,
		Leaving: func() bool { return w.leaving }, Clock: w.clock, Logger: zap.New(core),
	})
	return w
}

func good() forwarder.Answer {
	return forwarder.Answer{Status: http.StatusOK, Header: http.Header{"Sig": {"x"}}, Body: []byte("ok"), Length: 2, Signed: true}
}

func (w *world) Table() (*router.Table, time.Time) { return w.table, w.readAt }
func (w *world) Await(_ context.Context, most time.Duration) {
	w.awaited = most
	if w.learns != nil {
		w.table = w.learns
	}
}
func (w *world) Move(id string) { w.moved = append(w.moved, id) }
func (w *world) Admit(context.Context, *router.Account) relayer.Admission {
	return w.admitted
}
func (w *world) Begin(string)                                        {}
func (w *world) Overdue(balancer.Choice)                             {}
func (w *world) Observe(string, receiver.Reason, int, time.Duration) {}

func (w *world) Pick(_ string, want balancer.Request) (balancer.Choice, bool) {
	w.picks++
	id := []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}[len(want.Tried)]
	return balancer.Choice{Instance: balancer.Instance{ID: id}}, true
}

func (w *world) Retry(string) bool {
	w.retries--
	return w.retries >= 0
}

func (w *world) Done(_ *router.Route, _ balancer.Choice, o balancer.Outcome, _ time.Duration) {
	w.outcomes = append(w.outcomes, o)
}

func (w *world) Send(_ context.Context, _ netip.AddrPort, r forwarder.Request, rest time.Duration) (forwarder.Answer, error) {
	w.sends = append(w.sends, r)
	w.rests = append(w.rests, rest)
	return w.answer(len(w.sends))
}

func (w *world) serve(path, key string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	req.Host = "a"
	req.Header.Set("Id", "r-1")
	req.Header.Set("Deadline", "2000")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "1")
	req.Header.Set("X-End", "2")
	if key != "" {
		req.Header.Set("Key", key)
	}
	rec := httptest.NewRecorder()
	w.receiver.ServeHTTP(rec, req)
	return rec
}

// line returns the fields of the only line about the request, found by its id.
func (w *world) line(t *testing.T) map[string]any {
	ls := w.logs.FilterMessage("request").FilterField(zap.String("id", "r-1")).All()
	require.Len(t, ls, 1)
	return ls[0].ContextMap()
}

func shed() (forwarder.Answer, error) {
	return forwarder.Answer{Status: http.StatusServiceUnavailable, NotRun: true}, nil
}

func broken() (forwarder.Answer, error) { return forwarder.Answer{}, errors.New("connection reset") }

func unreachable() (forwarder.Answer, error) {
	return forwarder.Answer{}, errors.Mark(errors.New("connection refused"), forwarder.ErrNotSent)
}

func TestPassesOnWhatConcernsTheInstance(t *testing.T) {
	w := newWorld()
	rec := w.serve("/once/x?y=1", "secret")
	require.Equal(t, http.StatusOK, rec.Code)
	require.Equal(t, "x", rec.Header().Get("Sig"))
	s := w.sends[0]
	require.Equal(t, "/once/x?y=1", s.Target)
	require.Equal(t, "body", string(s.Body))
	require.Equal(t, http.Header{"Id": {"r-1"}, "Deadline": {"2000"}, "Expected": {"i-1"}, "Account": {"t"}, "X-End": {"2"}}, s.Header)
	require.Empty(t, w.logs.All(), "what ended well at the first instance is summed, not logged")
}

func TestRequestsThatRunOnceTakeFreshConnections(t *testing.T) {
	w := newWorld()
	w.serve("/once/", "secret")
	w.serve("/safe/", "secret")
	require.Less(t, w.rests[0], w.rests[1])
}

func TestDrainingEndsKeptConnections(t *testing.T) {
	w := newWorld()
	w.leaving = true
	require.Equal(t, "close", w.serve("/safe/", "secret").Header().Get("Connection"))
}

// TestCausesAreInTheLog finds, from a request's id alone, why it ended as it did.
func TestCausesAreInTheLog(t *testing.T) {
	cases := map[string]struct {
		arrange func(w *world)
		path    string
		key     string
		status  int
		notRun  bool
		reason  string
		detail  string
	}{
		"beyond its rate":   {func(w *world) { w.admitted = relayer.Admission{RetryAfter: time.Second, Owner: "10.0.0.9:1"} }, "/safe/", "secret", 429, true, "over-rate", "beyond its rate"},
		"old beliefs":       {func(w *world) { w.clock.Advance(4500 * time.Millisecond) }, "/safe/", "secret", 503, true, "stale", "too old to accept a key"},
		"old beliefs deny":  {func(w *world) { w.clock.Advance(3 * time.Second) }, "/safe/", "other", 503, true, "stale", "too old to deny"},
		"no configuration":  {func(w *world) { w.table = nil }, "/safe/", "secret", 503, true, "no-configuration", "no configuration"},
		"unknown key":       {func(*world) {}, "/safe/", "other", 401, true, "unknown-key", "no client account"},
		"no route":          {func(*world) {}, "/none/", "secret", 404, true, "no-route", "no route"},
		"instances refuse":  {func(w *world) { w.answer = func(int) (forwarder.Answer, error) { return shed() } }, "/once/", "secret", 503, true, "shed", "i-2 refused"},
		"no budget":         {func(w *world) { w.retries = 0; w.answer = func(int) (forwarder.Answer, error) { return shed() } }, "/once/", "secret", 503, true, "shed", "budget"},
		"none reached":      {func(w *world) { w.answer = func(int) (forwarder.Answer, error) { return unreachable() } }, "/once/", "secret", 503, true, "no-instance", "connection refused"},
		"broken, runs once": {func(w *world) { w.answer = func(int) (forwarder.Answer, error) { return broken() } }, "/once/", "secret", 502, false, "broken", "i-1 gave no whole answer: connection reset"},
		"broken at both":    {func(w *world) { w.answer = func(int) (forwarder.Answer, error) { return broken() } }, "/safe/", "secret", 502, false, "broken", "i-2 gave no whole answer"},
		"false promise": {func(w *world) {
			w.answer = func(int) (forwarder.Answer, error) { return forwarder.Answer{Status: 503, Signed: true}, nil }
		}, "/once/", "secret", 502, false, "broken", "no whole answer"},
		"unsigned success": {func(w *world) {
			w.answer = func(int) (forwarder.Answer, error) { return forwarder.Answer{Status: 200}, nil }
		}, "/once/", "secret", 502, false, "broken", "no whole answer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			c.arrange(w)
			rec := w.serve(c.path, c.key)
			require.Equal(t, c.status, rec.Code)
			require.Equal(t, c.status == 429 || c.status == 503, rec.Header().Get("Retry-After") != "")
			l := w.line(t)
			require.Equal(t, c.reason, l["reason"])
			require.Equal(t, c.notRun, l["notRun"])
			require.Contains(t, l["detail"], c.detail)
			for _, e := range w.logs.All() {
				for _, v := range e.ContextMap() {
					require.NotEqual(t, "secret", v, "keys never appear")
				}
			}
		})
	}
}

func TestSentAgain(t *testing.T) {
	first := func(a forwarder.Answer, err error) func(int) (forwarder.Answer, error) {
		return func(n int) (forwarder.Answer, error) {
			if n == 1 {
				return a, err
			}
			return good(), nil
		}
	}
	own := forwarder.Answer{Status: http.StatusInternalServerError, Signed: true, Header: http.Header{"Sig": {"e"}}}
	shedAnswer, _ := shed()
	_, brokenErr := broken()
	_, unreachedErr := unreachable()
	for name, c := range map[string]struct {
		path   string
		answer func(int) (forwarder.Answer, error)
		sends  int
		status int
	}{
		"own error, idempotent": {"/safe/", first(own, nil), 2, 200},
		"own error, runs once":  {"/once/", first(own, nil), 1, 500},
		"broken, idempotent":    {"/safe/", first(forwarder.Answer{}, brokenErr), 2, 200},
		"broken, runs once":     {"/once/", first(forwarder.Answer{}, brokenErr), 1, 502},
		"not run":               {"/once/", first(shedAnswer, nil), 2, 200},
		"not sent":              {"/once/", first(forwarder.Answer{}, unreachedErr), 2, 200},
		"moved":                 {"/once/", first(forwarder.Answer{Status: 421, NotRun: true}, nil), 2, 200},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.answer = c.answer
			require.Equal(t, c.status, w.serve(c.path, "secret").Code)
			require.Len(t, w.sends, c.sends)
		})
	}
}

func TestOwnErrorKeepsItsSignature(t *testing.T) {
	w := newWorld()
	w.answer = func(int) (forwarder.Answer, error) {
		return forwarder.Answer{Status: http.StatusInternalServerError, Signed: true, Header: http.Header{"Sig": {"e"}}}, nil
	}
	rec := w.serve("/safe/", "secret")
	require.Equal(t, http.StatusInternalServerError, rec.Code)
	require.Equal(t, "e", rec.Header().Get("Sig"))
	require.Len(t, w.sends, 2)
}

// TestRequestsWaitForAVMThatStarts serves a request that came just before the configuration, and refuses at
// once when the configuration is late.
func TestRequestsWaitForAVMThatStarts(t *testing.T) {
	w := newWorld()
	w.receiver.Started = w.clock.Now()
	w.learns, w.table = w.table, nil
	require.Equal(t, http.StatusOK, w.serve("/safe/", "secret").Code)
	require.Positive(t, w.awaited)
	w = newWorld()
	w.receiver.Started = w.clock.Now().Add(-time.Minute)
	w.learns, w.table = w.table, nil
	require.Equal(t, http.StatusServiceUnavailable, w.serve("/safe/", "secret").Code)
	require.Zero(t, w.awaited)
}

// TestInstancesOwnErrorIsLogged finds a request that its only instance failed.
func TestInstancesOwnErrorIsLogged(t *testing.T) {
	w := newWorld()
	w.answer = func(int) (forwarder.Answer, error) {
		a := good()
		a.Status = http.StatusInternalServerError
		return a, nil
	}
	require.Equal(t, http.StatusInternalServerError, w.serve("/once/", "secret").Code)
	require.Equal(t, 1, w.logs.FilterMessage("request").FilterField(zap.String("id", "r-1")).Len())
	w.answer = func(int) (forwarder.Answer, error) { return good(), nil }
	require.Equal(t, http.StatusOK, w.serve("/once/", "secret").Code)
	require.Equal(t, 1, w.logs.FilterMessage("request").Len(), "what ended well is summed")
}
