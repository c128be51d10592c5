package main

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/runner"
)

// buffer is a log output that a test can read while it is being written.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *buffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestHangupDoesNotTerminate sends SIGHUP to the test process: it must not terminate, and the signal must be logged.
func TestHangupDoesNotTerminate(t *testing.T) {
	var out buffer
	log, flush, err := logger.New("info", &out)
	require.NoError(t, err)
	defer flush()
	signals := hangupSignals()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	go reportSettingsChanges(signals, filepath.Join(t.TempDir(), "none.json"), runner.Settings{}, log)
	require.Eventually(t, func() bool { return strings.Contains(out.text(), "event=reload") }, 30*time.Second, 10*time.Millisecond)
}

func TestHedgeShareOutOfRangeIsRefused(t *testing.T) {
	require.NoError(t, gatewayCommand{}.Validate())
	for share, ok := range map[float64]bool{0: true, 0.05: true, 1: true, -0.01: false, 1.01: false, math.NaN(): false} {
		err := gatewayCommand{HedgeShare: &share}.Validate()
		require.Equal(t, ok, err == nil, "%v: %v", share, err)
	}
}
