package mapper

import "github.com/cockroachdb/errors"

// Chain follows the changes on the log and keeps the current map.
type Chain struct {
	current *Map
	// first is the oldest offset that was readable when the chain began.
	first uint64
	// next is the offset that is read next.
	next uint64
	// replaced are the versions that some record read so far replaces; needed until a base is found.
	replaced map[uint64]bool
}

// NewChain returns a chain that reads from offset first, the oldest that the log keeps.
func NewChain(first uint64) *Chain {
	return &Chain{current: NewMap(0, nil), first: first, next: first, replaced: map[uint64]bool{}}
}

// NewChainAt returns a chain that continues from a map a peer has followed to.
func NewChainAt(m *Map) *Chain { return &Chain{current: m} }

// Current returns the current map; version zero means that none is known.
func (c *Chain) Current() *Map { return c.current }

// Apply reads the next record. It returns the map that the record replaced and
// whether the record was accepted. ErrGap means that records were missed.
func (c *Chain) Apply(offset uint64, record []byte) (*Map, bool, error) {
	c.next = offset + 1
	ch, err := Decode(record)
	if err != nil {
		return c.current, false, err
	}
	old := c.current
	if old.Version == 0 && (ch.Replaces != 0 || c.first > 0) {
		return old, c.adopt(offset, ch), nil
	}
	next, err := old.Apply(offset, ch)
	if errors.Is(err, ErrSuperseded) {
		return old, false, nil
	}
	if err != nil {
		return old, false, err
	}
	c.current, c.replaced = next, nil
	return old, true, nil
}

// BootstrapBase returns what the first map is to replace when the log, read to its end, holds
// none: nothing, or the place in the log where its last record was dropped.
func (c *Chain) BootstrapBase() uint64 {
	if c.first == 0 {
		return 0
	}
	return c.next
}

// adopt takes a snapshot as the base if every record that could have replaced
// its predecessor first was readable, and none did.
func (c *Chain) adopt(offset uint64, ch Change) bool {
	taken := c.replaced[ch.Replaces]
	if c.replaced != nil {
		c.replaced[ch.Replaces] = true
	}
	if taken || len(ch.Members) == 0 || ch.Replaces < c.first {
		return false
	}
	c.current, c.replaced = NewMap(offset+1, ch.Members), nil
	return true
}
