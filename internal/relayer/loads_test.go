package relayer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLoadSumsEqualTheReports compares the sums, which change by differences, with those of all reports added up.
func TestLoadSumsEqualTheReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoads()
		reports := map[netip.AddrPort]loadReport{}
		start := time.Unix(1000, 0)
		for step := range 60 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 6).Draw(t, "vm"))}), 1)
			r := loadReport{inFlight: map[string]int{}, receivedAt: now, leader: a.Addr().As4()[3] > 4}
			for _, i := range []string{"a", "b", "c"} {
				if n := rapid.IntRange(0, 3).Draw(t, "inFlight"); n > 0 {
					r.inFlight[i] = n
				}
			}
			l.set(a, r)
			reports[a] = r
			l.expire(now.Add(-time.Second))
			for _, withLeaders := range []bool{false, true} {
				want := map[string]int{}
				for from, r := range reports {
					if from == a || r.leader && !withLeaders || r.receivedAt.Before(now.Add(-time.Second)) {
						continue
					}
					for i, n := range r.inFlight {
						want[i] += n
					}
				}
				require.Equal(t, want, l.except(a, withLeaders))
			}
		}
	})
}
