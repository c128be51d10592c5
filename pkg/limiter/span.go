package limiter

import "time"

// slotsPerWindow is the number of time slots into which a WindowCounter divides its window.
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
	c := &WindowCounter{length: length}
	c.lastSlot = c.slotNumber(now)
	return c
}

// Slots returns the counts of the window that ends at now, one for each slot, the latest first.
func (c *WindowCounter) Slots(now time.Time) []Tokens {
	c.advance(now)
	ns := make([]Tokens, len(c.counts))
	for i := range ns {
		ns[i] = *c.count(c.lastSlot - int64(i))
	}
	return ns
}

// AddEarlier adds n to the count at the time age before now, if the window still contains it.
func (c *WindowCounter) AddEarlier(now time.Time, age time.Duration, n Tokens) {
	c.advance(now)
	slot := c.slotNumber(now.Add(-max(0, age)))
	if c.lastSlot-slot >= int64(len(c.counts)) {
		return
	}
	*c.count(slot) += n
	c.sum += n
}

// Add adds n to the count at now.
func (c *WindowCounter) Add(now time.Time, n Tokens) {
	c.advance(now)
	*c.count(c.lastSlot) += n
	c.sum += n
}

// Sum returns the count of the window that ends at now, and of up to one slot before it.
func (c *WindowCounter) Sum(now time.Time) Tokens {
	c.advance(now)
	return c.sum
}

// Fill replaces the counts by n, counted evenly over the window that ends at now.
func (c *WindowCounter) Fill(now time.Time, n Tokens) {
	c.advance(now)
	for i := range c.counts {
		c.counts[i] = n / Tokens(len(c.counts))
	}
	c.sum = n
}

// Scale multiplies all counts by factor.
func (c *WindowCounter) Scale(factor Tokens) {
	c.sum = 0
	for i := range c.counts {
		c.counts[i] *= factor
		c.sum += c.counts[i]
	}
}

// SlotLength returns the length of a slot.
func (c *WindowCounter) SlotLength() time.Duration { return c.length / slotsPerWindow }

func (c *WindowCounter) slotNumber(now time.Time) int64 {
	return now.UnixNano() / int64(c.SlotLength())
}

func (c *WindowCounter) count(slot int64) *Tokens { return &c.counts[slot%int64(len(c.counts))] }

// advance drops the counts of slots that have left the window by now.
func (c *WindowCounter) advance(now time.Time) {
	n := c.slotNumber(now)
	if n-c.lastSlot > int64(len(c.counts)) {
		*c = WindowCounter{length: c.length, lastSlot: n}
		return
	}
	for ; c.lastSlot < n; c.lastSlot++ {
		expired := c.count(c.lastSlot + 1)
		c.sum -= *expired
		*expired = 0
	}
}
