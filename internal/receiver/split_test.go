package receiver

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

// Random choices left the shares of few requests far from the weights.
func TestSplitKeepsItsSharesWithFewRequests(t *testing.T) {
	r := &router.Route{Name: "r", Services: []router.WeightedService{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z"}}}
	for range 50 {
		s := splits{at: map[string]float64{}}
		n := map[string]float64{}
		for i := range 300 {
			n[s.pick(r)]++
			if i >= 20 {
				require.LessOrEqual(t, math.Abs(n["y"]/float64(i+1)-0.1), 0.1)
			}
		}
		require.Zero(t, n["z"], "a service with weight 0 gets none")
	}
}
