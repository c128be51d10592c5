package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseRetryAfter(t *testing.T) {
	for h, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, " 0.25": 250 * time.Millisecond, "0": 0, "-1": 0, "NaN": 0, "soon": 0, "1e300": maxPause,
		"Sat, 05 Dec 2026 12:00:00 GMT": 0,
	} {
		require.Equal(t, want, parseRetryAfter(h), h)
	}
}
