package forwarder

import (
	"math"
	"strconv"
	"strings"
	"time"
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

// maxPause is the longest pause that a response can ask for.
const maxPause = 24 * time.Hour

// parseRetryAfter parses the seconds in a Retry-After header, which may have a fraction. It returns zero if the header is
// empty, is a date or cannot be parsed.
func parseRetryAfter(h string) time.Duration {
	v, err := strconv.ParseFloat(strings.TrimSpace(h), 64)
	if err != nil || math.IsNaN(v) || v <= 0 {
		return 0
	}
	return time.Duration(min(v, maxPause.Seconds()) * float64(time.Second))
}

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
