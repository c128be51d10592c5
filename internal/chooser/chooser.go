package chooser

import (
	"math/rand/v2"

	"pgregory.net/rapid"
)

// Chooser makes the choices of one run.
type Chooser interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// Seeded returns a Chooser whose choices follow from a seed.
func Seeded(seed uint64) Chooser { return rand.New(rand.NewPCG(seed, seed)) }

// Property returns a Chooser whose choices a property test draws, so that it can shrink them.
func Property(t *rapid.T) Chooser { return property{t} }

type property struct{ t *rapid.T }

func (p property) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(p.t, "choice") }

// Hit reports true with a chance of one in n.
func Hit(c Chooser, n int) bool { return c.IntN(n) == 0 }
