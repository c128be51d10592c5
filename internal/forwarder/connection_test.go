package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// Without these, a log does not tell a copied refusal from one of the current request.
func TestResponsesNameTheirConnectionAndWhatCameBefore(t *testing.T) {
	i, f := newInstance(t, emulator.Shed), newForwarderAt(clockwork.NewFakeClock())
	i.SetCopies(func() bool { return true })
	first, err := sendTo(t, f, i.Address(), "1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, first.Status)
	require.True(t, first.Connection.Local.IsValid())
	require.Zero(t, first.Connection.Carried)
	i.SetBehavior(emulator.Reset)
	second, err := sendTo(t, f, i.Address(), "2")
	require.Error(t, err)
	require.Equal(t, first.Connection.Local, second.Connection.Local)
	require.Equal(t, 1, second.Connection.Carried)
	require.False(t, second.Connection.Repeated)
	require.Equal(t, []string{"1"}, second.Skipped)
}

// A request that is sent again must not cost a new connection while another one is idle.
func TestRequestSentAgainUsesAnotherIdleConnection(t *testing.T) {
	i, f := newInstance(t, nil), newForwarderAt(clockwork.NewFakeClock())
	var both sync.WaitGroup
	both.Add(2)
	i.SetBehavior(func(c net.Conn, r *http.Request, i *emulator.Instance) {
		both.Done()
		both.Wait()
		emulator.Answer(c, r, i)
	})
	var sent sync.WaitGroup
	for _, id := range []string{"1", "2"} {
		sent.Go(func() {
			_, err := sendTo(t, f, i.Address(), id)
			assert.NoError(t, err)
		})
	}
	sent.Wait()
	i.SetBehavior(emulator.Answer)
	for _, id := range []string{"1", "2"} {
		resp, err := sendTo(t, f, i.Address(), id)
		require.NoError(t, err)
		require.False(t, resp.Connection.Repeated)
	}
	opened, idle := f.Stats()
	require.EqualValues(t, 2, opened)
	require.Equal(t, 2, idle)
}

// What a connection remembers of its requests must not grow without end.
func TestConnectionEndsWhenItHasCarriedManyRequests(t *testing.T) {
	i, f := newInstance(t, emulator.Answer), newForwarderAt(clockwork.NewFakeClock())
	most := 0
	for n := range 2000 {
		resp, err := sendTo(t, f, i.Address(), fmt.Sprint(n))
		require.NoError(t, err)
		most = max(most, resp.Connection.Carried)
	}
	require.Less(t, most, 512)
	opened, _ := f.Stats()
	require.EqualValues(t, 4, opened)
}
