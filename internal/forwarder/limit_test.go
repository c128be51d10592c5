package forwarder

import (
	"testing"

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
