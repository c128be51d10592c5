package receiver_test

import (
	"context"
	"fmt"
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
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// fixture implements all dependencies of a receiver.
type fixture struct {
	clock       *clockwork.FakeClock
	table       *router.Table
	confirmedAt time.Time
	admitted    relayer.Admission
	retries     int
	picks       int
	sends       []forwarder.Request
	respond     func(n int) (forwarder.Response, error)
	moved       []string
	// leavings are the incarnations that were marked as leaving.
	leavings []string
	outcomes []balancer.Outcome
	// pauses are those that instances asked for.
	pauses []string
	// served says of each request that ended whether it counts as served.
	served []bool
	// limits are the limits that were observed, by instance.
	limits []string
	// admitSend decides on requests to instances; nil admits all.
	admitSend func(id string) relayer.Admission
	released  []string
	// nextAvailable is the time until a released instance may be picked again; zero if none was released.
	nextAvailable time.Duration
	leaving       bool
	// deadline is the caller's, in milliseconds. It runs by the real clock.
	deadline string
	// alone is set while the VM does not know its peers.
	alone bool
	// left is set if the instances left while requests were in flight there.
	left bool
	// stale is set if the view of the instances is too old; viewWaits are the times that requests would wait for another.
	stale      bool
	viewWaits  []time.Duration
	maxViewAge time.Duration
	// waited is the longest wait that a request asked for, and tableAfterWait the configuration that WaitUntilKnown sets.
	waited         time.Duration
	tableAfterWait *router.Table
	// noRoom says that the service is short of room, and retryWaits how often a request that asks for a retry must wait.
	noRoom     bool
	retryWaits int
	receiver   *receiver.Receiver
	logs       *observer.ObservedLogs
	// waits is called with the name of each wait of a request for something other than its instance; nil for none.
	waits func(what string)
}

func (f *fixture) wait(what string) {
	if f.waits != nil {
		f.waits(what)
	}
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), deadline: "2000", admitted: relayer.Admission{Admitted: true, Owner: "10.0.0.9:1"}, retries: 5}
	f.confirmedAt = f.clock.Now()
	route := func(name string, idempotent bool) router.Route {
		return router.Route{
			Name: name, Host: "a", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: time.Minute, Objective: time.Second,
			Attempts: 2, Services: []router.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	f.table = router.New(router.Configuration{
		Version: 7, Routes: []router.Route{route("safe", true), route("once", false)}, Limits: router.DefaultLimits(),
		Accounts: []router.Account{{Name: "t", Keys: []string{"secret"}, Rate: 1}},
	})
	core, logs := observer.New(zap.InfoLevel)
	f.logs = logs
	f.respond = func(int) (forwarder.Response, error) { return okResponse(), nil }
	f.receiver = receiver.New(receiver.Options{
		HeaderNames: receiver.HeaderNames{
			HeaderNames: forwarder.HeaderNames{RequestID: "Id", Signature: "Sig", NotRun: "Nr"},
			Key:         "Key", Account: "Account", Deadline: "Deadline", ExpectedInstance: "Expected",
		},
		Tracker: f, Admitter: f, Limiter: f, Picker: f, Sender: f, Observer: f, MaxKeyAge: 5 * time.Second, DrainTimeout: 2 * time.Second, MaxBodyMemory: 1 << 20,
		Draining: func() bool { return f.leaving }, Clock: f.clock, Logger: zap.New(core),
	})
	return f
}

func okResponse() forwarder.Response {
	return forwarder.Response{Status: http.StatusOK, Header: http.Header{"Sig": {"x"}}, Body: []byte("ok"), Length: 2, Signed: true}
}

func (f *fixture) Table() (*router.Table, time.Time) { return f.table, f.confirmedAt }
func (f *fixture) WaitUntilKnown(_ context.Context, timeout time.Duration) {
	f.wait("configuration")
	f.waited = timeout
	if f.tableAfterWait != nil {
		f.table = f.tableAfterWait
	}
}
func (f *fixture) MembersKnown() bool { return !f.alone }
func (f *fixture) AwaitView(_ context.Context, maxAge, timeout time.Duration) bool {
	f.wait("view")
	f.viewWaits = append(f.viewWaits, timeout)
	f.maxViewAge = maxAge
	return !f.stale
}
func (f *fixture) Usable(string) (bool, time.Duration) { return !f.left, 40 * time.Millisecond }
func (f *fixture) AdmitSend(_ context.Context, id string) relayer.Admission {
	f.wait("owner of the limit")
	if f.admitSend == nil {
		return relayer.Admission{Admitted: true}
	}
	return f.admitSend(id)
}
func (f *fixture) Release(c balancer.Choice, pause time.Duration) {
	f.released = append(f.released, fmt.Sprint(c.ID, " ", pause))
}
func (f *fixture) Pause(c balancer.Choice, d time.Duration) {
	f.pauses = append(f.pauses, fmt.Sprint(c.ID, " ", d))
}
func (f *fixture) NextAvailable(string, balancer.Request) (time.Duration, bool) {
	return f.nextAvailable, f.nextAvailable > 0
}
func (f *fixture) ObserveLimit(id string, _ int64, rate float64, _ time.Time) {
	f.limits = append(f.limits, fmt.Sprint(id, " ", rate))
}
func (f *fixture) MarkMoved(i balancer.Instance) { f.moved = append(f.moved, i.ID) }
func (f *fixture) MarkLeaving(id string, incarnation int64) {
	f.leavings = append(f.leavings, fmt.Sprint(id, " ", incarnation))
}
func (f *fixture) Admit(context.Context, *router.Account) relayer.Admission {
	f.wait("owner of the rate")
	return f.admitted
}
func (f *fixture) CountRequest(string)             {}
func (f *fixture) CountOffered(string, int)        {}
func (f *fixture) CountAdmitted(string, int, bool) {}
func (f *fixture) AdmitRequest(string, int, *router.Account) admitter.Decision {
	return admitter.Decision{Admitted: !f.noRoom, RetryAfter: time.Second}
}
func (f *fixture) JoinRetries(string, *router.Route, admitter.Try, time.Time) *admitter.Ticket {
	return nil
}
func (f *fixture) LeaveRetries(string, *admitter.Ticket) {}
func (f *fixture) RetryTurn(string, *admitter.Ticket) (admitter.Turn, time.Duration) {
	f.wait("retry")
	if f.retryWaits > 0 {
		f.retryWaits--
		return admitter.TurnWait, 20 * time.Millisecond
	}
	if f.TakeRetry("") {
		return admitter.TurnTake, 0
	}
	return admitter.TurnRefuse, 0
}
func (f *fixture) MarkOverdue(balancer.Choice)                         {}
func (f *fixture) Observe(string, receiver.Reason, int, time.Duration) {}

func (f *fixture) CountEnded(_ string, served bool) { f.served = append(f.served, served) }

func (f *fixture) Pick(_ string, want balancer.Request) (balancer.Choice, bool) {
	f.picks++
	id := fmt.Sprint("i-", len(want.Tried)+1)
	return balancer.Choice{Instance: balancer.Instance{ID: id, Incarnation: 7, Address: netip.MustParseAddrPort("10.0.0.1:80")}}, true
}

func (f *fixture) TakeRetry(string) bool {
	f.retries--
	return f.retries >= 0
}

func (f *fixture) Done(_ *router.Route, _ balancer.Choice, o balancer.Outcome, _ time.Duration) {
	f.outcomes = append(f.outcomes, o)
}

func (f *fixture) Send(_ context.Context, _ netip.AddrPort, r forwarder.Request, _ time.Duration) (forwarder.Response, error) {
	f.sends = append(f.sends, r)
	return f.respond(len(f.sends))
}

func (f *fixture) serve(path, key string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	f.serveTo(rec, path, key)
	return rec
}

func (f *fixture) serveTo(w http.ResponseWriter, path, key string) {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	req.Host = "a"
	req.Header.Set("Id", "r-1")
	req.Header.Set("Deadline", f.deadline)
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "1")
	req.Header.Set("X-End", "2")
	if key != "" {
		req.Header.Set("Key", key)
	}
	f.receiver.ServeHTTP(w, req)
}

// logLine returns the fields of the only log line about the request, found by its id.
func (f *fixture) logLine(t *testing.T) map[string]any {
	ls := f.logs.FilterMessage("request").FilterField(zap.String("id", "r-1")).All()
	require.Len(t, ls, 1)
	return ls[0].ContextMap()
}

func shed() (forwarder.Response, error) {
	return forwarder.Response{Status: http.StatusServiceUnavailable, NotRun: true}, nil
}

func broken() (forwarder.Response, error) {
	return forwarder.Response{}, errors.New("connection reset")
}

func unreachable() (forwarder.Response, error) {
	return forwarder.Response{}, errors.Mark(errors.New("connection refused"), forwarder.ErrNotSent)
}
