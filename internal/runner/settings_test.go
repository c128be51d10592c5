package runner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/runner"
)

func TestCapacityIsTheLowerOfCPUAndLink(t *testing.T) {
	for _, c := range []struct{ cores, link, want float64 }{
		{0.8, 200e6, 0.8}, {0.16, 10e6, 0.04}, {0.32, 1000e6, 0.32}, {0.5, 0, 0.5}, {0, 0, 0.01},
	} {
		require.InDelta(t, c.want, runner.Settings{Cores: c.cores, Link: c.link}.Capacity(), 1e-9)
	}
}
