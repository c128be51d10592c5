package caller_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/caller"
	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
)

// fixture is a server for callers. It implements all dependencies, with results that a test can set.
type fixture struct {
	*httptest.Server
	index     atomic.Pointer[merger.Index]
	inContact atomic.Bool
	stopsAt   atomic.Pointer[time.Time]
	admit     func() error
	answer    func(dispatcher.Request) dispatcher.Answer
	sent      atomic.Int64
	last      atomic.Pointer[dispatcher.Request]
	verdict   recorder.Verdict
	result    recorder.Result
}

const key = "the-key-of-the-account"

func document(keyText string) string {
	return `{"clientAccounts": {"a": {"rate": 1, "burst": 1, "keys": {"k": "` + merger.HashKey(keyText) + `"}}},
"services": {"s": {"slots": 1, "instances": [{"address": "1.2.3.4:5", "failureDomain": "a"}]}},
"routes": [{"path": "/", "service": "s", "timeout": "10s"}, {"path": "/open/", "service": "s", "timeout": "10s", "open": true}]}`
}

func (f *fixture) publish(t *testing.T, keyText string) {
	t.Helper()
	tr := merger.New(0, nil)
	b, err := merger.Record{Format: merger.Format, Team: "t", Document: document(keyText)}.Encode()
	require.NoError(t, err)
	require.Equal(t, merger.OutcomeAccepted, tr.Apply(0, b).Outcome)
	f.index.Store(tr.Index(nil))
}

func (f *fixture) Addresses(netip.Addr, int) []netip.AddrPort {
	return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")}
}
func (f *fixture) InContact() bool { return f.inContact.Load() }
func (f *fixture) Stopping() bool  { return false }
func (f *fixture) StopsAt() time.Time {
	if at := f.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
func (f *fixture) Admit(context.Context, merger.Account) error              { return f.admit() }
func (f *fixture) RetryAfter(string) time.Duration                          { return 1500 * time.Millisecond }
func (f *fixture) Finish(recorder.Attempt, bool, recorder.Result)           {}
func (f *fixture) Observe(string, string, dispatcher.Answer, time.Duration) {}
func (f *fixture) Begin(context.Context, recorder.Attempt) (recorder.Verdict, recorder.Result) {
	return f.verdict, f.result
}

func (f *fixture) Send(_ context.Context, _ merger.Match, r dispatcher.Request) dispatcher.Answer {
	f.sent.Add(1)
	f.last.Store(&r)
	return f.answer(r)
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{admit: func() error { return nil }}
	f.inContact.Store(true)
	f.publish(t, key)
	f.answer = func(dispatcher.Request) dispatcher.Answer {
		return dispatcher.Answer{Status: http.StatusOK, Header: http.Header{"X-Own": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}, Body: []byte("whole")}
	}
	c := caller.New(caller.Options{
		Fleet: f, Admitter: f, Sender: f, Recorder: f, Observer: f, Index: f.index.Load,
		Limits: caller.Limits{MaxBody: 1000, BodyTimeout: 300 * time.Millisecond, MaxRequests: 8},
		Clock:  clockwork.NewRealClock(), Logger: zap.NewNop(), Asserter: asserter.New(func(v asserter.Violation) { t.Error(v) }),
	})
	f.Server = httptest.NewServer(c.Handler())
	t.Cleanup(f.Close)
	return f
}

// Whatever a dispatcher or a record holds, the caller gets a status that a response can have, and is told that nothing is certain.
func TestStatusThatNoResponseHasIsNotWritten(t *testing.T) {
	for _, status := range []int{0, 1, 99, 101, 600, 999} {
		f := newFixture(t)
		f.answer = func(dispatcher.Request) dispatcher.Answer {
			return dispatcher.Answer{Outcome: dispatcher.OutcomeAnswered, Status: status, Body: []byte("text")}
		}
		r, body := f.do(t, http.MethodPost, "/t/x", "hello")
		require.Equal(t, http.StatusBadGateway, r.StatusCode, status)
		require.Equal(t, dispatcher.OutcomeUnknown.String(), r.Header.Get(caller.HeaderOutcome))
		require.NotContains(t, body, "text")
	}
}

// An answer with a name that no field can have may be a record of an older daemon; its body need not be the backend server's.
func TestAnswerWithAnInvalidFieldNameIsNotWritten(t *testing.T) {
	for _, name := range []string{"X-A ", "X A", "Content-Length ", "X-A\t", "X-A\x00"} {
		f := newFixture(t)
		f.answer = func(dispatcher.Request) dispatcher.Answer {
			return dispatcher.Answer{Outcome: dispatcher.OutcomeAnswered, Status: http.StatusOK, Header: http.Header{name: {"1"}}, Body: []byte("text")}
		}
		r, body := f.do(t, http.MethodPost, "/t/x", "hello")
		require.Equal(t, http.StatusBadGateway, r.StatusCode, "%q", name)
		require.Equal(t, dispatcher.OutcomeUnknown.String(), r.Header.Get(caller.HeaderOutcome))
		require.NotContains(t, body, "text")
	}
}

func (f *fixture) do(t *testing.T, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	rep, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	b, err := io.ReadAll(rep.Body)
	require.NoError(t, err)
	require.NoError(t, rep.Body.Close())
	return rep, string(b)
}

func TestForwardsRequestAndResponse(t *testing.T) {
	f := newFixture(t)
	rep, body := f.do(t, http.MethodPost, "/t/x?q=1", "hello", dispatcher.HeaderAccount, "someone/else",
		"X-Api-Key", "", "Connection", "X-Secret", "X-Secret", "1", caller.HeaderTimeout, "2000")
	require.Equal(t, "whole", body)
	require.Equal(t, "answered", rep.Header.Get(caller.HeaderOutcome))
	require.Equal(t, "1", rep.Header.Get("X-Own"))
	require.Empty(t, rep.Header.Get("X-Hop"))
	r := f.last.Load()
	require.Equal(t, "/t/x?q=1", r.Target)
	require.Equal(t, "hello", string(r.Body))
	require.Equal(t, "t/a", r.Account)
	require.InDelta(t, 2, time.Until(r.Deadline).Seconds(), 1.9, "the caller's timeout")
	for _, n := range []string{"Authorization", "X-Api-Key", "X-Secret", dispatcher.HeaderAccount, caller.HeaderTimeout + "-"} {
		require.NotContains(t, r.Header, http.CanonicalHeaderKey(n))
	}
	require.NotEmpty(t, r.Header.Get("X-Forwarded-For"))
}

func TestRefusals(t *testing.T) {
	f := newFixture(t)
	over := func() error { return limiter.ErrOverRate }
	cases := map[string]struct {
		prepare func()
		path    string
		body    string
		headers []string
		status  int
		reason  string
	}{
		"no route":                 {path: "/u/x", status: 404, reason: "no-route"},
		"path with .. segment":     {path: "/t/open/..%2f../x", status: 400, reason: "bad-request"},
		"no key":                   {path: "/t/x", headers: []string{"Authorization", ""}, status: 401, reason: "key"},
		"unknown key":              {path: "/t/x", headers: []string{"Authorization", "Bearer other"}, status: 403, reason: "key"},
		"large body":               {path: "/t/x", body: strings.Repeat("x", 1001), status: 413, reason: "bad-request"},
		"key in the body":          {path: "/t/x", body: "my key is " + key, status: 400, reason: "bad-request"},
		"over the rate":            {path: "/t/x", prepare: func() { f.admit = over }, status: 429, reason: "over-rate"},
		"no owner":                 {path: "/t/x", prepare: func() { f.admit = func() error { return limiter.ErrNoOwner } }, status: 503, reason: "no-owner"},
		"no contact":               {path: "/t/x", prepare: func() { f.inContact.Store(false) }, status: 503, reason: "no-contact"},
		"no route without contact": {path: "/u/x", prepare: func() { f.inContact.Store(false) }, status: 503, reason: "no-contact"},
		"contact lost while waiting": {path: "/t/x", prepare: func() {
			f.admit = func() error { f.inContact.Store(false); return nil }
		}, status: 503, reason: "no-contact"},
		"key revoked while waiting": {path: "/t/x", prepare: func() {
			f.admit = func() error { f.publish(t, "another key"); return nil }
		}, status: 403, reason: "key"},
		"cannot be recorded": {path: "/t/x", prepare: func() { f.verdict = recorder.VerdictBusy }, headers: []string{caller.HeaderIdempotencyKey, "k"}, status: 503, reason: "records"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f.admit, f.verdict = func() error { return nil }, recorder.VerdictNew
			f.inContact.Store(true)
			f.publish(t, key)
			if c.prepare != nil {
				c.prepare()
			}
			before := f.sent.Load()
			rep, body := f.do(t, http.MethodPost, c.path, c.body, c.headers...)
			require.Equal(t, c.status, rep.StatusCode, body)
			require.Equal(t, "not-run", rep.Header.Get(caller.HeaderOutcome))
			require.Equal(t, c.reason, rep.Header.Get(caller.HeaderReason))
			require.Contains(t, body, `"outcome":"not-run"`)
			require.Equal(t, before, f.sent.Load(), "a request reported as not run was not sent")
			require.Equal(t, c.status == 429, rep.Header.Get("Retry-After") == "2")
		})
	}
}

func TestVerdictsOfEarlierAttempts(t *testing.T) {
	f := newFixture(t)
	for v, status := range map[recorder.Verdict]int{
		recorder.VerdictRunning: 409, recorder.VerdictUnsure: 409, recorder.VerdictMismatch: 422, recorder.VerdictDone: 201,
	} {
		f.verdict, f.result = v, recorder.Result{Known: true, Status: 201, Body: []byte("first")}
		rep, body := f.do(t, http.MethodPost, "/t/x", "", caller.HeaderIdempotencyKey, "k")
		require.Equal(t, status, rep.StatusCode)
		require.Equal(t, v == recorder.VerdictDone, body == "first")
	}
	require.Zero(t, f.sent.Load())
}

// TestRecordedAnswerIsNotChanged checks that writing a recorded response leaves its header map, which the recorder
// shares, unmodified.
func TestRecordedAnswerIsNotChanged(t *testing.T) {
	f := newFixture(t)
	kept := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}}
	f.verdict, f.result = recorder.VerdictDone, recorder.Result{Known: true, Status: 200, Header: kept}
	f.do(t, http.MethodPost, "/t/x", "", caller.HeaderIdempotencyKey, "k")
	require.Equal(t, http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}}, kept)
}

func TestSlowBodyIsRefused(t *testing.T) {
	f := newFixture(t)
	c, err := net.Dial("tcp", f.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /t/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 100\r\n\r\nslow")
	require.NoError(t, err)
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(b), "400 Bad Request")
	require.Zero(t, f.sent.Load())
}

// truncatedReader returns io.ErrUnexpectedEOF at the end of its reader.
type truncatedReader struct{ io.Reader }

func (c truncatedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
func (truncatedReader) Close() error { return nil }

func TestTruncatedResponseAbortsConnection(t *testing.T) {
	f := newFixture(t)
	f.answer = func(dispatcher.Request) dispatcher.Answer {
		return dispatcher.Answer{Status: 200, Header: http.Header{}, Body: []byte("begin"), Rest: truncatedReader{strings.NewReader("middle")}}
	}
	req, err := http.NewRequest(http.MethodGet, f.URL+"/t/open/x", nil)
	require.NoError(t, err)
	rep, err := http.DefaultClient.Do(req)
	if err == nil {
		_, err = io.ReadAll(rep.Body)
		_ = rep.Body.Close()
	}
	require.Error(t, err, "the caller detects the truncation")
}

func TestAddresses(t *testing.T) {
	f := newFixture(t)
	_, body := f.do(t, http.MethodGet, caller.PathAddresses, "")
	require.JSONEq(t, `{"addresses":["10.0.0.1:80"],"ttlSeconds":30}`, body)
}

func TestNoContentResponse(t *testing.T) {
	f := newFixture(t)
	f.answer = func(dispatcher.Request) dispatcher.Answer {
		return dispatcher.Answer{Status: 204, Header: http.Header{}}
	}
	rep, body := f.do(t, http.MethodPost, "/t/x", "")
	require.Equal(t, 204, rep.StatusCode)
	require.Empty(t, body)
}

// A request that a stopping VM cannot finish would be cut after it ran, also one that waits when the stop begins.
func TestStoppingVMRefusesRequestsThatItCannotFinish(t *testing.T) {
	f := newFixture(t)
	stop := time.Now().Add(time.Minute)
	f.stopsAt.Store(&stop)
	rep, _ := f.do(t, http.MethodPost, "/t/x", "")
	require.Equal(t, http.StatusOK, rep.StatusCode, "its route's timeout is 10 s")
	f.stopsAt.Store(nil)
	f.admit = func() error {
		at := time.Now().Add(5 * time.Second)
		f.stopsAt.Store(&at)
		return nil
	}
	for range 2 {
		rep, _ = f.do(t, http.MethodPost, "/t/x", "")
		require.Equal(t, http.StatusServiceUnavailable, rep.StatusCode)
		require.Equal(t, "not-run", rep.Header.Get(caller.HeaderOutcome))
	}
	require.EqualValues(t, 1, f.sent.Load())
}
