package receiver_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// unreadWriter is the response of a caller that does not read.
type unreadWriter struct{ *httptest.ResponseRecorder }

func (unreadWriter) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

func TestResponseThatIsNotReadIsLogged(t *testing.T) {
	f := newFixture()
	f.serveTo(unreadWriter{httptest.NewRecorder()}, "/safe/", "secret")
	require.Equal(t, 1, f.logs.FilterMessage("response not read").FilterField(zap.String("id", "r-1")).Len())
	require.Equal(t, http.StatusOK, f.serve("/safe/", "secret").Code)
	require.Equal(t, 1, f.logs.FilterMessage("response not read").Len())
}
