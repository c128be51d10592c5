package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// forgetful is an instance that answers one request on each connection, and resets the connection when anything more arrives
// while it is forgetful.
type forgetful struct {
	net.Listener
	forgets atomic.Bool
	// ran counts the requests that arrived whole, by ID.
	ran map[string]*atomic.Int32
}

func newForgetful(t *testing.T, ids ...string) *forgetful {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	f := &forgetful{Listener: l, ran: map[string]*atomic.Int32{}}
	for _, id := range ids {
		f.ran[id] = new(atomic.Int32)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c.(*net.TCPConn))
		}
	}()
	return f
}

func (f *forgetful) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for served := 0; ; served++ {
		if _, err := r.Peek(1); err != nil {
			return
		}
		if served > 0 && f.forgets.Load() {
			_ = c.SetLinger(0) // Closing resets the connection.
			return
		}
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		f.ran[id].Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: "+id+"\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (f *forgetful) address() netip.AddrPort { return f.Addr().(*net.TCPAddr).AddrPort() }

func once(id, body string) forwarder.Request {
	r := request(id)
	r.RunsOnce, r.Body, r.Length = true, []byte(body), int64(len(body))
	return r
}

func TestKeptConnectionThatWasDroppedDoesNotFailARequestThatRunsOnce(t *testing.T) {
	for name, body := range map[string]string{"body": "a body", "no body": ""} {
		t.Run(name, func(t *testing.T) {
			i := newForgetful(t, "1", "2")
			clock := clockwork.NewFakeClock()
			f := newForwarderAt(clock)
			_, err := f.Send(t.Context(), i.address(), once("1", body), maxIdle)
			require.NoError(t, err)
			clock.Advance(3 * time.Second)
			i.forgets.Store(true)
			resp, err := f.Send(t.Context(), i.address(), once("2", body), maxIdle)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.Status)
			require.EqualValues(t, 1, i.ran["2"].Load())
			opened, _ := f.Stats()
			require.EqualValues(t, 2, opened)
		})
	}
}

func TestRequestsThatRunOnceReuseConnectionsThatWereIdle(t *testing.T) {
	i := newForgetful(t, "1", "2", "3")
	clock := clockwork.NewFakeClock()
	f := newForwarderAt(clock)
	for _, id := range []string{"1", "2", "3"} {
		_, err := f.Send(t.Context(), i.address(), once(id, "a body"), maxIdle)
		require.NoError(t, err)
		require.EqualValues(t, 1, i.ran[id].Load())
		clock.Advance(2 * time.Second)
	}
	opened, _ := f.Stats()
	require.EqualValues(t, 1, opened)
}

// A body that is streamed cannot be held back.
func TestStreamedRequestThatRunsOnceUsesNoConnectionThatWasIdleForLong(t *testing.T) {
	i := newForgetful(t, "1", "2")
	clock := clockwork.NewFakeClock()
	f := newForwarderAt(clock)
	_, err := f.Send(t.Context(), i.address(), once("1", ""), maxIdle)
	require.NoError(t, err)
	clock.Advance(2 * time.Second)
	r := once("2", "b")
	r.BodyRest, r.Chunked = new(noBody), true
	_, err = f.Send(t.Context(), i.address(), r, maxIdle)
	require.NoError(t, err)
	opened, _ := f.Stats()
	require.EqualValues(t, 2, opened)
}

type noBody struct{}

func (*noBody) Read([]byte) (int, error) { return 0, io.EOF }
