package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

// fixture is a dispatcher with some backend servers.
type fixture struct {
	t         *testing.T
	d         *dispatcher.Dispatcher
	tree      *merger.Tree
	index     atomic.Pointer[merger.Index]
	backends  []*httptest.Server
	mu        sync.Mutex
	leaving   map[string]bool
	runCounts map[string]int
}

// deadline is the timeout of a request, far longer than any step of a test takes.
const deadline = 30 * time.Second

func newFixture(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{t: t, tree: merger.New(0, nil), leaving: map[string]bool{}, runCounts: map[string]int{}}
	for i := range handlers {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.runCounts[r.Header.Get(dispatcher.HeaderRequestID)]++
			f.mu.Unlock()
			handlers[i](w, r)
		}))
		t.Cleanup(s.Close)
		f.backends = append(f.backends, s)
	}
	f.publish(f.backends, "")
	f.d = dispatcher.New(dispatcher.Options{
		Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Index: f.index.Load,
		Asserter: asserter.New(func(v asserter.Violation) { t.Error(v) }),
		Leaving: func(a netip.AddrPort) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.leaving[a.String()]
		},
		OnStateChange: func(detector.Event) {}, Seed: 1,
	})
	t.Cleanup(f.d.Close)
	return f
}

func (f *fixture) publish(backends []*httptest.Server, healthPath string) {
	var is []string
	for _, b := range backends {
		is = append(is, fmt.Sprintf(`{"address": %q, "failureDomain": "a"}`, b.Listener.Addr()))
	}
	text := fmt.Sprintf(`{"services": {"s": {"slots": 4, "floor": 0.5, "healthPath": %q, "instances": [%s]}}}`, healthPath, strings.Join(is, ","))
	cur, _ := f.tree.Team("t")
	b, err := merger.Record{Format: merger.Format, Team: "t", Base: cur.Version, Document: text}.Encode()
	require.NoError(f.t, err)
	require.Equal(f.t, merger.OutcomeAccepted, f.tree.Apply(f.tree.Next(), b).Outcome)
	f.index.Store(f.tree.Index(nil))
	if f.d != nil {
		f.d.Update()
	}
}

var requests atomic.Int64

func request(idempotent bool) dispatcher.Request {
	r := dispatcher.Request{
		ID: fmt.Sprint("r", requests.Add(1)), Service: "t/s", Account: "t/a", Route: "t/", Method: http.MethodGet, Target: "/x",
		Header: http.Header{}, Deadline: time.Now().Add(deadline), Idempotent: idempotent,
	}
	if !idempotent {
		r.Method = http.MethodPost
	}
	return r
}

func (f *fixture) run(r dispatcher.Request) dispatcher.Answer { return f.d.Run(f.t.Context(), r) }

// runs returns how often the request with the given ID arrived at a backend server.
func (f *fixture) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runCounts[id]
}

// healthy responds to every request.
func healthy(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(dispatcher.HeaderRequestID, r.Header.Get(dispatcher.HeaderRequestID))
	_, _ = io.WriteString(w, "well")
}

// reset returns a handler that writes part of a response, if any, and closes the connection.
func reset(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, part)
			_ = c.Close()
		}
	}
}

const truncatedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part"

// TestNonIdempotentRunsOnce guards against a request that is not idempotent being sent twice, by the dispatcher or by
// http.Transport, when a reused connection is closed at any stage of the response. The handler counts the arrivals.
func TestNonIdempotentRunsOnce(t *testing.T) {
	stages := map[string]string{
		"no response": "", "half a header": "HTTP/1.1 200 OK\r\nCont", "truncated body": truncatedResponse,
	}
	for name, part := range stages {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
			t.Run(name+" "+method, func(t *testing.T) {
				var kept atomic.Bool
				f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
					if kept.Swap(true) {
						reset(part)(w, r)
						return
					}
					healthy(w, r)
				})
				require.Equal(t, dispatcher.OutcomeAnswered, f.run(request(false)).Outcome, "opens a connection to be reused")
				r := request(false)
				r.Method = method
				r.Header.Set("Idempotency-Key", "would make the transport resend")
				a := f.run(r)
				require.Equal(t, dispatcher.OutcomeUnknown, a.Outcome)
				require.Equal(t, 1, f.runs(r.ID))
			})
		}
	}
}

// TestTransportResends shows why http.Transport must not be able to replay a request: it resends a GET request by
// itself when a reused connection is closed without a response.
func TestTransportResends(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) > 1 {
			reset("")(w, r)
			return
		}
		healthy(w, r)
	}))
	defer s.Close()
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
		require.NoError(t, err)
		rep, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, rep.Body)
			_ = rep.Body.Close()
		}
	}
	require.EqualValues(t, 3, n.Load(), "two requests arrived three times")
}

func TestIdempotentIsRetriedElsewhere(t *testing.T) {
	bad := map[string]http.HandlerFunc{
		"reset": reset(""), "truncated": reset(truncatedResponse), "wrong request ID": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dispatcher.HeaderRequestID, "another")
			_, _ = io.WriteString(w, "response to another request")
		},
		"close-delimited": reset("HTTP/1.0 200 OK\r\n\r\nmay be truncated"),
	}
	for name, h := range bad {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, h, healthy)
			for range 12 {
				a := f.run(request(true))
				require.Equal(t, dispatcher.OutcomeAnswered, a.Outcome, a.Detail)
				require.Equal(t, "well", string(a.Body))
			}
		})
	}
}

func TestRetryBudget(t *testing.T) {
	f := newFixture(t, reset(""), reset(""), reset(""))
	total := 0
	for range 100 {
		r := request(true)
		require.Equal(t, dispatcher.OutcomeUnknown, f.run(r).Outcome)
		total += f.runs(r.ID)
	}
	require.LessOrEqual(t, total, 100+10+10, "retries exceed a tenth of the requests and a burst of ten")
}

func TestShedIsNotRunAndNoEvidence(t *testing.T) {
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(dispatcher.HeaderState, "shedding")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := newFixture(t, shed, healthy)
	for range 50 {
		require.Equal(t, dispatcher.OutcomeAnswered, f.run(request(false)).Outcome)
	}
	for _, in := range f.d.Status()[0].Instances {
		require.Equal(t, detector.StateLive, in.State)
	}
	f = newFixture(t, shed, shed)
	require.Equal(t, dispatcher.OutcomeNotRun, f.run(request(false)).Outcome)
}

// refusingListener has an address that refuses connections.
type refusingListener struct {
	net.Listener
	address net.Addr
}

// Addr implements net.Listener.
func (l refusingListener) Addr() net.Addr { return l.address }

// newRefusingBackend returns a backend server whose port is bound, so that no other server gets it, but not listened on.
func newRefusingBackend(t *testing.T) *httptest.Server {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	a := name.(*unix.SockaddrInet4)
	return &httptest.Server{Listener: refusingListener{address: &net.TCPAddr{IP: a.Addr[:], Port: a.Port}}}
}

func TestNoConnectionIsNotRun(t *testing.T) {
	f := newFixture(t, healthy)
	f.publish([]*httptest.Server{newRefusingBackend(t)}, "")
	require.Equal(t, dispatcher.OutcomeNotRun, f.run(request(false)).Outcome)
}

// TestLeavingGetsNoRequests checks that a leaving instance gets no new requests, separately for each way in which the
// dispatcher can learn that it leaves.
func TestLeavingGetsNoRequests(t *testing.T) {
	var drains atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if drains.Load() {
			w.Header().Set(dispatcher.HeaderState, "draining")
		}
		healthy(w, r)
	}
	ways := map[string]func(*fixture){
		"VM list": func(f *fixture) {
			f.mu.Lock()
			f.leaving[f.backends[0].Listener.Addr().String()] = true
			f.mu.Unlock()
			f.d.Update()
		},
		"configuration": func(f *fixture) { f.publish(f.backends[1:], "") },
		"draining header": func(f *fixture) {
			drains.Store(true)
			for f.d.Status()[0].Instances[0].State != detector.StateLeaving {
				f.run(request(true))
			}
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			var after atomic.Int64
			var left atomic.Bool
			drains.Store(false)
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if left.Load() {
					after.Add(1)
				}
				handler(w, r)
			}, healthy)
			for range 10 {
				f.run(request(true))
			}
			leave(f)
			left.Store(true)
			for range 40 {
				require.Equal(t, dispatcher.OutcomeAnswered, f.run(request(true)).Outcome)
			}
			require.Zero(t, after.Load())
		})
	}
}

func TestStaleConnectionIsClosed(t *testing.T) {
	var silent atomic.Bool
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		healthy(w, r)
	})
	require.Equal(t, dispatcher.OutcomeAnswered, f.run(request(true)).Outcome)
	silent.Store(true)
	r := request(true)
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	a := f.run(r)
	require.Equal(t, dispatcher.OutcomeUnknown, a.Outcome)
	require.Equal(t, dispatcher.ReasonTimeout, a.Reason)
	silent.Store(false)
	require.Equal(t, dispatcher.OutcomeAnswered, f.run(request(true)).Outcome, "on a new connection")
}

// TestNotRunMeansNotRun guards against a request that is reported as not run although a backend server ran it. Such a
// report could come of a cancellation that races with the start, so it cancels requests at random times while slots are
// scarce.
func TestNotRunMeansNotRun(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-time.After(time.Duration(rand.IntN(3)) * time.Millisecond)
		healthy(w, r)
	})
	var wg sync.WaitGroup
	var refused, unknown atomic.Int64
	for i := range 600 {
		wg.Go(func() {
			r := request(i%2 == 0)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(40))*time.Millisecond)
			defer cancel()
			switch a := f.d.Run(ctx, r); a.Outcome {
			case dispatcher.OutcomeNotRun:
				refused.Add(1)
				if n := f.runs(r.ID); n != 0 {
					t.Errorf("request %s was reported as not run but ran %d times", r.ID, n)
				}
			case dispatcher.OutcomeUnknown:
				unknown.Add(1)
			case dispatcher.OutcomeAnswered:
			}
			if n := f.runs(r.ID); !r.Idempotent && n > 1 {
				t.Errorf("request %s is not idempotent but ran %d times", r.ID, n)
			}
		})
	}
	wg.Wait()
	require.Positive(t, refused.Load())
}

func TestLongResponseIsStreamedAndTruncationDetected(t *testing.T) {
	const size = 3 << 20
	cut := false
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		n := size
		if cut {
			n = size / 2
		}
		_, _ = io.WriteString(w, strings.Repeat("x", n))
	})
	a := f.run(request(true))
	require.NotNil(t, a.Rest)
	rest, err := io.ReadAll(a.Rest)
	require.NoError(t, err)
	require.NoError(t, a.Rest.Close())
	require.Equal(t, size, len(a.Body)+len(rest))
	cut = true
	a = f.run(request(true))
	_, err = io.ReadAll(a.Rest)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NoError(t, a.Rest.Close())
}

func TestFailingInstanceIsEjected(t *testing.T) {
	f := newFixture(t, reset(""), healthy, healthy, healthy)
	for range 200 {
		f.run(request(true))
	}
	require.NotEqual(t, detector.StateLive, f.d.Status()[0].Instances[0].State)
}

// TestServerErrorsAreEvidence guards against an instance that fails quickly with server errors being taken for a
// healthy one. An idempotent request is retried at another instance; if there is none, the caller gets the server error.
func TestServerErrorsAreEvidence(t *testing.T) {
	fails := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "its own words")
	}
	f := newFixture(t, fails, healthy, healthy, healthy)
	for range 100 {
		a := f.run(request(true))
		require.Equal(t, http.StatusOK, a.Status, "an idempotent request is retried at another instance")
	}
	require.NotEqual(t, detector.StateLive, f.d.Status()[0].Instances[0].State)

	f = newFixture(t, fails)
	for _, idempotent := range []bool{true, false} {
		r := request(idempotent)
		a := f.run(r)
		require.Equal(t, dispatcher.OutcomeAnswered, a.Outcome, "the backend server's error response, as there is no better one")
		require.Equal(t, http.StatusInternalServerError, a.Status)
		require.Equal(t, "its own words", string(a.Body))
		if !idempotent {
			require.Equal(t, 1, f.runs(r.ID))
		}
	}
}

func TestDeadlineIsSentToBackend(t *testing.T) {
	got := make(chan string, 1)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get(dispatcher.HeaderDeadline)
		healthy(w, r)
	})
	f.run(request(true))
	ms, err := strconv.Atoi(<-got)
	require.NoError(t, err)
	require.Positive(t, ms)
	require.LessOrEqual(t, ms, int(deadline.Milliseconds()))
}

func TestGroups(t *testing.T) {
	var s merger.Service
	for i := range 70 {
		s.Instances = append(s.Instances, merger.Instance{Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)), Domain: "a"})
	}
	gs := dispatcher.Groups(s)
	require.Len(t, gs, 3)
	total := 0
	for _, g := range gs {
		require.LessOrEqual(t, len(g), dispatcher.MaxGroupSize)
		total += len(g)
	}
	require.Equal(t, 70, total)
}
