package runner

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

// A caller that does not read must not hold the memory of a response without end.
func TestResponseThatIsNotReadEnds(t *testing.T) {
	ended := make(chan error, 1)
	f := newTestFrontendWith(t, listen(t), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20)) // More than the sockets take.
		ended <- err
	}), func(f *frontend) { f.stallTimeout = 50 * time.Millisecond })
	c := f.dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	select {
	case err := <-ended:
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(testTimeout):
		require.Fail(t, "the response is still written")
	}
}

// deadlineConn records the deadlines that its writes ran under.
type deadlineConn struct {
	net.Conn
	deadline  time.Time
	deadlines []time.Time
}

func (c *deadlineConn) SetWriteDeadline(d time.Time) error {
	c.deadline = d
	return nil
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	c.deadlines = append(c.deadlines, c.deadline)
	return len(p), nil
}

func TestCallerThatReadsSlowlyGetsTimeForEachPartOfAResponse(t *testing.T) {
	d := &deadlineConn{}
	c := newCallerConn(d, router.DefaultLimits, time.Minute)
	n, err := c.Write(make([]byte, 3*writeChunk-1))
	require.NoError(t, err)
	require.Equal(t, 3*writeChunk-1, n)
	require.Len(t, d.deadlines, 3)
	for i, at := range d.deadlines {
		require.WithinRange(t, at, time.Now().Add(time.Minute-testTimeout), time.Now().Add(time.Minute))
		require.False(t, i > 0 && at.Before(d.deadlines[i-1]))
	}
}

// A response that is streamed holds the instance's connection, and must end with the request.
func TestDeadlineOfTheHandlerIsNotExtended(t *testing.T) {
	d := &deadlineConn{}
	c := newCallerConn(d, router.DefaultLimits, time.Minute)
	until := time.Now().Add(time.Second)
	require.NoError(t, c.SetWriteDeadline(until))
	_, err := c.Write(make([]byte, 2*writeChunk))
	require.NoError(t, err)
	require.Equal(t, []time.Time{until, until}, d.deadlines)
	require.NoError(t, c.SetWriteDeadline(time.Time{}))
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.True(t, d.deadlines[2].After(until), "what is flushed after the handler is bounded, too")
}
