package limiter

import "time"

// slotsPerWindow is how finely a Span divides its length.
const slotsPerWindow = 50

// Span counts what happened in the length of time before now.
type Span struct {
	length time.Duration
	// counts are those of each slot of the span; the slot of number n is at n modulo the length.
	counts   [slotsPerWindow + 1]Tokens
	sum      Tokens
	lastSlot int64
}

// NewSpan returns a span in which nothing happened yet.
func NewSpan(now time.Time, length time.Duration) *Span {
	s := &Span{length: length}
	s.lastSlot = s.slotNumber(now)
	return s
}

// Add counts n.
func (s *Span) Add(now time.Time, n Tokens) {
	s.advance(now)
	*s.count(s.lastSlot) += n
	s.sum += n
}

// Sum returns what was counted in the span that ends now, and in up to a slot before it.
func (s *Span) Sum(now time.Time) Tokens {
	s.advance(now)
	return s.sum
}

// Scale changes what was counted by a factor.
func (s *Span) Scale(factor Tokens) {
	s.sum = 0
	for i := range s.counts {
		s.counts[i] *= factor
		s.sum += s.counts[i]
	}
}

func (s *Span) slotNumber(now time.Time) int64 {
	return now.UnixNano() / (int64(s.length) / slotsPerWindow)
}

func (s *Span) count(slot int64) *Tokens { return &s.counts[slot%int64(len(s.counts))] }

// advance forgets what left the span.
func (s *Span) advance(now time.Time) {
	n := s.slotNumber(now)
	if n-s.lastSlot > int64(len(s.counts)) {
		*s = Span{length: s.length, lastSlot: n}
		return
	}
	for ; s.lastSlot < n; s.lastSlot++ {
		c := s.count(s.lastSlot + 1)
		s.sum -= *c
		*c = 0
	}
}
