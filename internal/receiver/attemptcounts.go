package receiver

import (
	"maps"
	"sync"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// The connections that refusals came on, by what they had carried before the request.
const (
	connectionNew      = "new"
	connectionKept     = "kept"
	connectionRepeated = "repeated"
)

// attemptCounts counts what instances responded to attempts. It is safe for concurrent use.
type attemptCounts struct {
	mu sync.Mutex
	// refused counts the attempts that an instance refused, by connection, and skipped the responses that were skipped.
	refused map[string]float64
	skipped int
}

func newAttemptCounts() *attemptCounts {
	return &attemptCounts{refused: map[string]float64{connectionNew: 0, connectionKept: 0, connectionRepeated: 0}}
}

// add counts a finished attempt.
func (c *attemptCounts) add(a *attempt, o balancer.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped += len(a.response.Skipped)
	if o != balancer.OutcomeShed && o != balancer.OutcomeMoved {
		return
	}
	switch d := a.response.Connection; {
	case d.Repeated:
		c.refused[connectionRepeated]++
	case d.Carried > 0:
		c.refused[connectionKept]++
	default:
		c.refused[connectionNew]++
	}
}

// RefusedAttempts returns the number of attempts that instances refused since the start, by the connection that the refusal
// came on: a new one, a kept one, or one that had carried the same request before (repeated).
func (r *Receiver) RefusedAttempts() map[string]float64 {
	r.attemptCounts.mu.Lock()
	defer r.attemptCounts.mu.Unlock()
	return maps.Clone(r.attemptCounts.refused)
}

// SkippedResponses returns the number of responses since the start that belonged to no request in flight on their connection.
func (r *Receiver) SkippedResponses() int {
	r.attemptCounts.mu.Lock()
	defer r.attemptCounts.mu.Unlock()
	return r.attemptCounts.skipped
}
