package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/platform"
)

// known responds with a body of a known length, of which it sends some bytes.
func known(length, sent int) emulator.Behavior {
	return func(c net.Conn, r *http.Request, _ *emulator.Instance) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Request-Id"), length)
		_, _ = io.WriteString(c, strings.Repeat("x", sent))
		if sent < length {
			_ = c.Close()
		}
	}
}

// A caller that reads slowly must not hold the connection to the instance, which cuts off what stays unread.
func TestLongResponseOfKnownLengthIsReadAtOnce(t *testing.T) {
	const length = 540 << 10
	i, f := newInstance(t, known(length, length)), newForwarder()
	for _, id := range []string{"1", "2"} {
		r, err := sendTo(t, f, i.Address(), id)
		require.NoError(t, err)
		require.Nil(t, r.BodyRest)
		require.Len(t, r.Body, length)
		require.NoError(t, r.Close(), "the memory is given back")
	}
	opened, idle := f.Stats()
	require.EqualValues(t, 1, opened, "the connection is reused")
	require.Equal(t, 1, idle)
}

// A response that is cut must be known before anything is sent to the caller, so that the request can be sent again.
func TestLongResponseOfKnownLengthThatIsCutIsAnError(t *testing.T) {
	i := newInstance(t, known(540<<10, 400<<10))
	_, err := sendTo(t, newForwarder(), i.Address(), "1")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestLongResponseIsStreamedWithoutMemory(t *testing.T) {
	const length = 540 << 10
	i := newInstance(t, known(length, length))
	f := forwarder.New(platform.HeaderNames().HeaderNames, 10, length-1, clockwork.NewRealClock())
	r, err := sendTo(t, f, i.Address(), "1")
	require.NoError(t, err)
	require.NotNil(t, r.BodyRest)
	rest, err := io.ReadAll(r.BodyRest)
	require.NoError(t, err)
	require.Len(t, rest, length-len(r.Body))
	require.NoError(t, r.Close())
}
