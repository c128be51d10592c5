package limiter

import "time"

// slotsPerWindow is the number of time slots into which a Span divides its window.
const slotsPerWindow = 50

// WindowCounter is a sliding-window counter with time slots of equal length. It is not safe for concurrent use.
type WindowCounter struct {
	length time.Duration
	// counts is a ring of one count per slot; slot number n is at index n modulo the size of the ring.
	counts   [slotsPerWindow + 1]Tokens
	sum      Tokens
	lastSlot int64
}

// NewWindowCounter returns an empty counter over a window of the given length.
func NewWindowCounter(now time.Time, length time.Duration) *WindowCounter {
	s := &WindowCounter{length: length}
	s.lastSlot = s.slotNumber(now)
	return s
}

// Add adds n to the count at now.
func (s *WindowCounter) Add(now time.Time, n Tokens) {
	s.advance(now)
	*s.count(s.lastSlot) += n
	s.sum += n
}

// Sum returns the count of the window that ends at now, and of up to one slot before it.
func (s *WindowCounter) Sum(now time.Time) Tokens {
	s.advance(now)
	return s.sum
}

// Scale multiplies all counts by factor.
func (s *WindowCounter) Scale(factor Tokens) {
	s.sum = 0
	for i := range s.counts {
		s.counts[i] *= factor
		s.sum += s.counts[i]
	}
}

func (s *WindowCounter) slotNumber(now time.Time) int64 {
	return now.UnixNano() / (int64(s.length) / slotsPerWindow)
}

func (s *WindowCounter) count(slot int64) *Tokens { return &s.counts[slot%int64(len(s.counts))] }

// advance drops the counts of slots that have left the window by now.
func (s *WindowCounter) advance(now time.Time) {
	n := s.slotNumber(now)
	if n-s.lastSlot > int64(len(s.counts)) {
		*s = WindowCounter{length: s.length, lastSlot: n}
		return
	}
	for ; s.lastSlot < n; s.lastSlot++ {
		c := s.count(s.lastSlot + 1)
		s.sum -= *c
		*c = 0
	}
}
