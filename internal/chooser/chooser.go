package chooser

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Chooser makes the random choices of one test run.
type Chooser interface {
	// IntN returns a random number in [0, n).
	IntN(n int) int
}

// Seeded returns a Chooser whose choices are determined by a seed.
func Seeded(seed uint64) Chooser { return rand.New(rand.NewPCG(seed, seed)) }

// Property returns a Chooser that draws its choices in a property test, which can then shrink them.
func Property(t *rapid.T) Chooser { return property{t} }

type property struct{ t *rapid.T }

func (p property) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(p.t, "choice") }

// Main runs a package's tests with a fixed seed for its property tests, so that every run has
// the same result. It is called from TestMain and exits the process.
func Main(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// OneIn returns true with probability 1/n.
func OneIn(c Chooser, n int) bool { return c.IntN(n) == 0 }
