package asserter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

func TestCountsEachRule(t *testing.T) {
	var seen []asserter.Violation
	a := asserter.New(func(v asserter.Violation) { seen = append(seen, v) })
	a.Check(true, asserter.RuleRate, "never formatted %d", 1)
	a.Check(false, asserter.RuleRate, "gave %d of %d", 3, 2)
	require.EqualValues(t, 1, a.Count(asserter.RuleRate))
	require.Zero(t, a.Count(asserter.RuleOnce))
	require.EqualError(t, seen[0], "rate violated: gave 3 of 2")
	var none *asserter.Asserter
	none.Check(false, asserter.RuleRate, "ignored by a nil Asserter")
}

func ExampleAsserter() {
	a := asserter.New(func(v asserter.Violation) { fmt.Println(v) })
	a.Check(2 <= 1, asserter.RuleFloor, "%d of %d live", 1, 2)
	// Output: floor violated: 1 of 2 live
}
