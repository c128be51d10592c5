package receiver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
)

// A request that a stopping VM cannot finish would be cut after it ran.
func TestStoppingVMRefusesRequestsThatItCannotFinish(t *testing.T) {
	f := newFixture()
	f.deadline = "2000"
	f.receiver.Stop(f.clock.Now().Add(time.Second))
	rec := f.serve("/once/", "secret")
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	require.NotEmpty(t, rec.Header().Get("Retry-After"))
	require.Empty(t, f.sends)
	require.Equal(t, "stopping", f.logLine(t)["reason"])
	require.Equal(t, true, f.logLine(t)["notRun"])
	f.deadline = "900"
	require.Equal(t, http.StatusOK, f.serve("/once/", "secret").Code, "it ends before the VM stops")
}

// A repeat that begins late in a stop would be cut, too.
func TestStoppingVMRepeatsNoRequestThatItCannotFinish(t *testing.T) {
	for path, status := range map[string]int{"/once/": http.StatusServiceUnavailable, "/safe/": http.StatusBadGateway} {
		f := newFixture()
		f.respond = func(int) (forwarder.Response, error) {
			f.receiver.Stop(f.clock.Now().Add(time.Second))
			if path == "/once/" {
				return shed()
			}
			return broken()
		}
		require.Equal(t, status, f.serve(path, "secret").Code)
		require.Len(t, f.sends, 1)
	}
}

// A request that waits for a token when the stop begins would be sent too late.
func TestStoppingVMRefusesRequestsThatWait(t *testing.T) {
	f := newFixture()
	f.nextAvailable = 300 * time.Millisecond
	asked := make(chan struct{}, 100)
	f.admitSend = func(string) relayer.Admission {
		asked <- struct{}{}
		return relayer.Admission{RetryAfter: 300 * time.Millisecond, Owner: "10.0.0.9:1"}
	}
	answered := make(chan int, 1)
	go func() { answered <- f.serve("/once/", "secret").Code }()
	for range 5 {
		<-asked
	}
	f.receiver.Stop(f.clock.Now().Add(time.Second))
	require.Equal(t, http.StatusServiceUnavailable, <-answered)
	require.Empty(t, f.sends)
}

// A body that ends late in a stop must not be passed on, and its caller must not wait for it.
func TestStoppingVMRefusesRequestsWhoseBodyIsStillRead(t *testing.T) {
	f := newFixture()
	s := httptest.NewServer(f.receiver)
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /once/ HTTP/1.1\r\nHost: a\r\nId: r-1\r\nKey: secret\r\nDeadline: 20000\r\nContent-Length: 8\r\n\r\nhalf")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // The request may also be read after the stop began; the answer is the same.
	f.receiver.Stop(f.clock.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.Empty(t, f.sends)
}
