package chooser

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

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

// Main runs a package's tests with a fixed seed for its property tests, so that every run of
// them reaches the same verdict.
func Main(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Hit reports true with a chance of one in n.
func Hit(c Chooser, n int) bool { return c.IntN(n) == 0 }
