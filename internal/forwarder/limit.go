package forwarder

import (
	"math"
	"strconv"
)

// Limit is the value of a limit header.
type Limit struct {
	// Rate is the stated limit in requests per second, zero if there is none.
	Rate float64
	// Invalid is set if the header cannot be parsed, so that the limit is unknown.
	Invalid bool
}

// minLimit is the lowest limit that is applied, in requests per second. An instance that gets no requests could not state
// that its limit has ended.
const minLimit = 0.1

// parseLimit parses a limit header, which may be empty.
func parseLimit(h string) Limit {
	if h == "" {
		return Limit{}
	}
	v, err := strconv.ParseFloat(h, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return Limit{Invalid: true}
	}
	return Limit{Rate: max(minLimit, v)}
}
