package dispatcher

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRefusedIDsAreBoundedAndKeepTheLast(t *testing.T) {
	r := newRefusedIDs()
	const added = 3*maxRefusedIDs + 5
	for n := range added {
		r.add(fmt.Sprint(n))
	}
	require.Len(t, r.hashes, maxRefusedIDs)
	for n := range added {
		require.Equal(t, n >= added-maxRefusedIDs, r.has(fmt.Sprint(n)), n)
	}
}
