package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestBlockedOutputBlocksNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	l, flush, err := logger.New("info", out)
	require.NoError(t, err)
	for range 5000 {
		l.Info("event", zap.Int("n", 1))
	}
	close(out.release)
	flush()
	require.LessOrEqual(t, strings.Count(out.String(), "event=event"), 600)
	require.Contains(t, out.String(), "event=event n=1")
}

func TestErrorsHaveNoStack(t *testing.T) {
	var out bytes.Buffer
	l, flush, err := logger.New("info", &out)
	require.NoError(t, err)
	l.Info("failed", logger.Err(errors.New("why")), logger.Err(nil))
	flush()
	require.Contains(t, out.String(), "event=failed error=why\n")
}

func TestLevelIsChecked(t *testing.T) {
	_, _, err := logger.New("loud", &bytes.Buffer{})
	require.ErrorContains(t, err, "log level")
}
