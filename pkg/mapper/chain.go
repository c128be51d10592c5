package mapper

import "github.com/cockroachdb/errors"

// Chain applies the changes on the log in order and keeps the current map. It is not safe for concurrent use.
type Chain struct {
	current *Map
	// first is the oldest offset that was readable when the chain was created.
	first uint64
	// next is the offset to read next.
	next uint64
	// replaced contains the versions that a record read so far replaces; nil once a base map is known.
	replaced map[uint64]bool
}

// NewChain returns a chain without a map that reads from offset first, the oldest that the log keeps.
func NewChain(first uint64) *Chain {
	return &Chain{current: NewMap(0, nil), first: first, next: first, replaced: map[uint64]bool{}}
}

// NewChainFromMap returns a chain that continues from the known map m, such as one received from a peer.
func NewChainFromMap(m *Map) *Chain { return &Chain{current: m} }

// Current returns the current map; its version is zero if none is known yet.
func (c *Chain) Current() *Map { return c.current }

// Apply applies the record at offset. It returns the map that was current before, and
// whether the record replaced it. The error is ErrGap if records were missed.
func (c *Chain) Apply(offset uint64, record []byte) (*Map, bool, error) {
	c.next = offset + 1
	ch, err := Decode(record)
	if err != nil {
		return c.current, false, err
	}
	old := c.current
	if old.Version == 0 && (ch.Replaces != 0 || c.first > 0) {
		return old, c.adoptSnapshot(offset, ch), nil
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

// BootstrapBase returns the version that the first map replaces if the log was read to its end
// without a map in it: zero if the log still begins at offset 0, else the next offset to read,
// which is where the log was truncated if no record is left.
func (c *Chain) BootstrapBase() uint64 {
	if c.first == 0 {
		return 0
	}
	return c.next
}

// adoptSnapshot makes the snapshot ch the base map if every record that could have replaced its
// predecessor before it was readable, and none did. It reports whether it did so.
func (c *Chain) adoptSnapshot(offset uint64, ch Change) bool {
	superseded := c.replaced[ch.Replaces]
	if c.replaced != nil {
		c.replaced[ch.Replaces] = true
	}
	if superseded || len(ch.Members) == 0 || ch.Replaces < c.first {
		return false
	}
	c.current, c.replaced = NewMap(offset+1, ch.Members), nil
	return true
}
