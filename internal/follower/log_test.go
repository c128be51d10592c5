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
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			_, _ = w.Write([]byte(`{"offset":1}`))
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = fmt.Fprint(c, "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":7}")
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
	require.ErrorIs(t, get(), forwarder.ErrNoStatus)
	require.NoError(t, get())
	require.EqualValues(t, 1, a.Offset)
}
