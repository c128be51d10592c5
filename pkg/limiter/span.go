package limiter

import "time"

// slots is how finely a Span divides its length.
const slots = 50

// WindowCounter counts what happened in the length of time before now.
type WindowCounter struct {
	length time.Duration
	// counts are those of each slot of the span; the slot of number n is at n modulo the length.
	counts [slots + 1]Tokens
	sum    Tokens
	last   int64
}

// NewWindowCounter returns a span in which nothing happened yet.
func NewWindowCounter(now time.Time, length time.Duration) *WindowCounter {
	s := &WindowCounter{length: length}
	s.last = s.slot(now)
	return s
}

// Add counts n.
func (s *WindowCounter) Add(now time.Time, n Tokens) {
	s.advance(now)
	*s.at(s.last) += n
	s.sum += n
}

// Sum returns what was counted in the span that ends now, and in up to a slot before it.
func (s *WindowCounter) Sum(now time.Time) Tokens {
	s.advance(now)
	return s.sum
}

// Scale changes what was counted by a factor.
func (s *WindowCounter) Scale(factor Tokens) {
	s.sum = 0
	for i := range s.counts {
		s.counts[i] *= factor
		s.sum += s.counts[i]
	}
}

func (s *WindowCounter) slot(now time.Time) int64 { return now.UnixNano() / (int64(s.length) / slots) }

func (s *WindowCounter) at(slot int64) *Tokens { return &s.counts[slot%int64(len(s.counts))] }

// advance forgets what left the span.
func (s *WindowCounter) advance(now time.Time) {
	n := s.slot(now)
	if n-s.last > int64(len(s.counts)) {
		*s = WindowCounter{length: s.length, last: n}
		return
	}
	for ; s.last < n; s.last++ {
		c := s.at(s.last + 1)
		s.sum -= *c
		*c = 0
	}
}
