package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseLimit(t *testing.T) {
	for h, want := range map[string]Limit{
		"": {}, "1.5": {Rate: 1.5}, "20": {Rate: 20}, "0": {Rate: minLimit}, "0.001": {Rate: minLimit},
		"-1": {Invalid: true}, "many": {Invalid: true}, "NaN": {Invalid: true}, "Inf": {Invalid: true}, "1.5 ": {Invalid: true},
	} {
		require.Equal(t, want, parseLimit(h), h)
	}
}

func TestParseRetryAfter(t *testing.T) {
	for h, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, " 0.25": 250 * time.Millisecond, "0": 0, "-1": 0, "NaN": 0, "soon": 0, "1e300": maxPause,
		"Sat, 05 Dec 2026 12:00:00 GMT": 0,
	} {
		require.Equal(t, want, parseRetryAfter(h), h)
	}
}
