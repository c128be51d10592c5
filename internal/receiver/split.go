package receiver

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

// splits divides the requests of each route among its services. It is safe for concurrent use.
type splits struct {
	mu sync.Mutex
	// at holds the latest point in [0, 1) by which a route's service was chosen, by the route's name.
	at map[string]float64
}

// goldenRatio is the step of a sequence whose points are spread evenly in each span of it. Independent random points
// would leave shares of few requests far from the weights.
var goldenRatio = (math.Sqrt(5) - 1) / 2

// pick chooses the service for a request by weight.
func (s *splits) pick(r *router.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.at[r.Name]
	if !ok {
		u = rand.Float64() // The VMs' sequences must not begin at the same point.
	}
	u = math.Mod(u+goldenRatio, 1)
	s.at[r.Name] = u
	return r.PickService(u)
}
