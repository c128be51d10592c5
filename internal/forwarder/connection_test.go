package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// Without these, a log does not tell a copied refusal from one of the current request.
func TestResponsesNameTheirConnectionAndWhatCameBefore(t *testing.T) {
	i, f := newInstance(t, emulator.Shed), newForwarder()
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
