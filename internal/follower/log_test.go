package follower_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// What has no valid status is no response of the log service, and what follows it on its connection is none either.
func TestResponseOfTheLogServiceWithoutStatusIsNotUsed(t *testing.T) {
	testNoResponseIsUsed(t, "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", forwarder.ErrNoStatus)
}

// What has a name that no field can have is no response of the log service either.
func TestResponseOfTheLogServiceWithAnInvalidFieldNameIsNotUsed(t *testing.T) {
	testNoResponseIsUsed(t, "HTTP/1.1 204 X\r\nContent-Length : 12\r\n\r\n", forwarder.ErrFieldName)
	testNoResponseIsUsed(t, "HTTP/1.1 103 X\r\nX A: v\r\n\r\n", forwarder.ErrFieldName)
}

// testNoResponseIsUsed checks that neither a head with a given error nor the response behind it is used.
func testNoResponseIsUsed(t *testing.T, head string, want error) {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			_, _ = w.Write([]byte(`{"offset":1}`))
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = fmt.Fprint(c, head+"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":7}")
		}
	}))
	t.Cleanup(s.Close)
	var a struct {
		Offset uint64 `json:"offset"`
	}
	client := &http.Client{Transport: &http.Transport{}}
	get := func() error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
		require.NoError(t, err)
		return follower.Fetch(client, req, &a)
	}
	require.ErrorIs(t, get(), want)
	require.NoError(t, get())
	require.EqualValues(t, 1, a.Offset)
}
