package forwarder

import (
	"math"
	"strconv"
	"strings"
	"time"
)

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
