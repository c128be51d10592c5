package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
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

// slowConn reports the end of a connection only once release is closed.
type slowConn struct {
	net.Conn
	release chan struct{}
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.release
	}
	return n, err
}

// The transport had kept the connection of a response without status, and the next request failed on it.
func TestRequestAfterAResponseWithoutStatusGetsAnotherConnection(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": ID\r\nContent-Length: 0\r\n\r\n"
	a, opened := newScriptedServer(t, own, "HTTP/1.1 999 X\r\n"+HeaderRequestID+": ID\r\nContent-Length: 0\r\n\r\n")
	b := newBackend(a)
	dial, release := b.transport.DialContext, make(chan struct{})
	defer close(release)
	b.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		m := c.(*meteredConn)
		m.Conn = &slowConn{m.Conn, release}
		return m, nil
	}
	for n, answered := range []bool{true, false, true} {
		_, err := b.send(t.Context(), Request{ID: strconv.Itoa(n), Method: http.MethodPost, Target: "/"})
		require.Equal(t, answered, err == nil, "%d: %v", n, err)
	}
	require.EqualValues(t, 2, opened.Load())
}

// An answer that ends with its connection cannot be told from one that was reset during the upload.
func TestAnswerWithoutALengthIsNoAnswer(t *testing.T) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var resets atomic.Bool
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			if resets.Load() {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	b := newBackend(netip.MustParseAddrPort(l.Addr().String()))
	for n := range 80 {
		resets.Store(n%2 == 0)
		r := Request{ID: strconv.Itoa(n), Method: http.MethodPost, Target: "/", Body: make([]byte, (4<<10)<<(n/2%10))}
		_, err := b.send(t.Context(), r)
		require.Error(t, err, "%d bytes", len(r.Body))
	}
}

// answersWithFieldName returns responses whose heads have a field of a valid name and of one derived from it by broken.
func answersWithFieldName(broken func(name string) string) map[string]string {
	const (
		head = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": ID\r\n"
		own  = head + "Content-Length: 3\r\n\r\nown"
	)
	field, length, chunked := broken("X-Field")+": v\r\n", broken("Content-Length")+": 3\r\n", broken("Transfer-Encoding")+": chunked\r\n"
	return map[string]string{
		"length":          head + field + "Content-Length: 3\r\n\r\nown",
		"chunked":         head + field + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
		"other length":    head + "Content-Length: 1\r\n" + length + "\r\nown",
		"chunks, length":  head + "Content-Length: 5\r\n" + chunked + "\r\n3\r\nown\r\n0\r\n\r\n",
		"no body":         strings.Replace(head, "200", "204", 1) + field + "\r\n",
		"hidden ID":       "HTTP/1.1 200 OK\r\n" + broken(HeaderRequestID) + ": ID\r\nContent-Length: 3\r\n\r\nown",
		"refusal":         strings.Replace(head, "200", "503", 1) + HeaderState + ": " + stateShedding + "\r\n" + field + "Content-Length: 0\r\n\r\n",
		"draining":        head + HeaderState + ": " + stateDraining + "\r\n" + field + "Content-Length: 0\r\n\r\n",
		"unhealthy":       strings.Replace(head, "200", "500", 1) + field + "Content-Length: 0\r\n\r\n",
		"interim":         "HTTP/1.1 103 X\r\n" + field + "\r\n" + own,
		"interim, length": "HTTP/1.1 100 X\r\n" + length + "\r\n" + own,
	}
}

// A response with a name that no field can have must be no answer, nor what follows it, nor say how the backend server is.
func TestAnswerWithAnInvalidFieldNameIsNoAnswer(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": ID\r\nContent-Length: 0\r\n\r\n"
	var passed []string
	forms := 0
	for _, invalid := range []string{" ", "  ", "\t", "\x00", "\x01", "\r", "\x7f", "é"} {
		for where, broken := range map[string]func(string) string{
			"at the end": func(name string) string { return name + invalid },
			"within":     func(name string) string { return name[:3] + invalid + name[3:] },
		} {
			for name, answer := range answersWithFieldName(broken) {
				for _, kept := range []bool{false, true} {
					forms++
					what, script := fmt.Sprintf("%q %s, %s, kept %v", invalid, where, name, kept), []string{answer}
					if kept {
						script = []string{first, answer}
					}
					a, opened := newScriptedServer(t, script...)
					b := newBackend(a)
					send := func(method, id string) error {
						_, err := b.send(t.Context(), Request{ID: id, Method: method, Target: "/"})
						return err
					}
					for n, method := range []string{http.MethodPost, http.MethodHead} {
						if kept && send(http.MethodPost, fmt.Sprint("first", n)) != nil {
							passed = append(passed, what+" and the next request failed")
						}
						err := send(method, fmt.Sprint("second", n))
						if err == nil || errors.Is(err, errNotStarted) || opened.Load() != int32(n+1) {
							passed = append(passed, what+" "+method)
						}
					}
					if kept && send(http.MethodPost, "third") != nil {
						passed = append(passed, what+" and the next request failed")
					}
					draining, err := b.probe(t.Context(), "/health")
					if err == nil || draining || errors.Is(err, errUnhealthy) {
						passed = append(passed, what+" probe")
					}
					b.close()
				}
			}
		}
	}
	require.Empty(t, passed, "%d checks failed in %d forms", len(passed), forms)
}

// newScriptedServer starts a backend server that writes the same bytes for the nth request of a connection on every connection.
func newScriptedServer(t *testing.T, script ...string) (a netip.AddrPort, opened *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	opened = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for _, s := range script {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if _, err := io.WriteString(c, strings.ReplaceAll(s, "ID", req.Header.Get(HeaderRequestID))); err != nil {
						return
					}
				}
				_, _ = r.ReadByte()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), opened
}

// Bytes without a valid status must be no answer, nor what follows them, nor say how the backend server is.
func TestResponseWithoutStatusIsNoAnswer(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": ID\r\nContent-Length: 3\r\n\r\nown"
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-20", "20", "abc"} {
		for name, rest := range map[string]string{
			"no body":               "Content-Length: 0\r\n\r\n",
			"no ID":                 "Content-Length: 4\r\n\r\ntext",
			"body":                  HeaderRequestID + ": ID\r\nContent-Length: 4\r\n\r\ntext",
			"response as body":      HeaderRequestID + ": ID\r\nContent-Length: " + strconv.Itoa(len(own)) + "\r\n\r\n" + own,
			"response behind":       HeaderRequestID + ": ID\r\nContent-Length: 0\r\n\r\n" + own,
			"switched":              HeaderRequestID + ": ID\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + own,
			"to the end":            HeaderRequestID + ": ID\r\nConnection: close\r\n\r\n" + own,
			"states that it leaves": HeaderRequestID + ": ID\r\n" + HeaderState + ": " + stateDraining + "\r\nContent-Length: 0\r\n\r\n",
		} {
			for _, kept := range []bool{false, true} {
				what := fmt.Sprint(status, ", ", name, ", kept ", kept)
				script := []string{"HTTP/1.1 " + status + " X\r\n" + rest, own}
				if kept {
					script = append([]string{own}, script...)
				}
				a, opened := newScriptedServer(t, script...)
				b := newBackend(a)
				send := func(id string) (Answer, error) {
					return b.send(t.Context(), Request{ID: id, Method: http.MethodPost, Target: "/"})
				}
				if kept {
					_, err := send("1")
					require.NoError(t, err, what)
				}
				got, err := send("2")
				require.Error(t, err, "%s: %+v", what, got)
				require.False(t, errors.Is(err, errNotStarted), what)
				got, err = send("3")
				require.Equal(t, kept, err == nil, "%s: %+v", what, got)
				require.EqualValues(t, 2, opened.Load(), "%s: the connection was used again", what)
				if kept {
					draining, err := b.probe(t.Context(), "/health")
					require.Error(t, err, what)
					require.False(t, draining, what)
					require.False(t, errors.Is(err, errUnhealthy), what)
				}
				b.close()
			}
		}
	}
}
