package aggregator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

var start = time.Unix(1000, 0)

// counts returns counts with a number of requests offered, refused and ended.
func counts(offered, refused, unserved int64) aggregator.Counts {
	return aggregator.Counts{
		Offered: [aggregator.Levels]int64{offered}, Sends: offered, Refused: refused, Ended: offered, Unserved: unserved,
	}
}

// TestSumsStayRightThroughStartsCutsAndLosses lets VMs of three domains start, start again, report to a new leader of their
// domain and fall silent, and compares the sums at a leader with the reports that are recent, added up.
func TestSumsStayRightThroughStartsCutsAndLosses(t *testing.T) {
	const ttl = time.Second
	rapid.Check(t, func(t *rapid.T) {
		leader := aggregator.New()
		type sent struct {
			services map[string]aggregator.Counts
			at       time.Time
		}
		vms, domains := map[netip.AddrPort]sent{}, map[string]sent{}
		for step := range 80 {
			now := start.Add(time.Duration(step) * 150 * time.Millisecond)
			services := map[string]aggregator.Counts{}
			for _, s := range []string{"a", "b"} {
				if n := rapid.Int64Range(0, 3).Draw(t, "offered"); n > 0 {
					services[s] = counts(n, n/2, n/3)
				}
			}
			if from := rapid.IntRange(0, 7).Draw(t, "from"); from < 5 {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(from)}), 1)
				leader.SetVM(now, a, services)
				vms[a] = sent{services, now}
			} else {
				at := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Millisecond)
				name := fmt.Sprint("d", from)
				leader.SetDomain(name, aggregator.Domain{Services: services, AsOf: at})
				if !at.Before(domains[name].at) {
					domains[name] = sent{services, at}
				}
			}
			leader.Expire(now.Add(-ttl))
			all := leader.Others()
			all["own"] = leader.Own(now)
			offered, unserved, n := map[string]int64{}, map[string]int64{}, 0
			recent := func(r sent) {
				for s, c := range r.services {
					offered[s] += c.Offered[0]
					unserved[s] += c.Unserved
				}
			}
			for _, r := range vms {
				if !r.at.Before(now.Add(-ttl)) {
					n++
					recent(r)
				}
			}
			for _, r := range domains {
				if !r.at.Before(now.Add(-ttl)) {
					recent(r)
				}
			}
			require.Equal(t, n, all["own"].VMs)
			fleets := aggregator.Fleets(all)
			require.Len(t, fleets, len(offered))
			for s, f := range fleets {
				require.Equal(t, offered[s], f.Sum.Offered[0])
				require.Equal(t, unserved[s], f.Sum.Unserved)
			}
		}
	})
}

// A leader that was replaced and one that was cut off may both report the domain: it must not count twice.
func TestDomainWithTwoLeadersCountsOnce(t *testing.T) {
	a := aggregator.New()
	a.SetDomain("d", aggregator.Domain{Services: map[string]aggregator.Counts{"s": counts(10, 0, 0)}, AsOf: start})
	a.SetDomain("d", aggregator.Domain{Services: map[string]aggregator.Counts{"s": counts(12, 0, 0)}, AsOf: start.Add(time.Second)})
	a.SetDomain("d", aggregator.Domain{Services: map[string]aggregator.Counts{"s": counts(10, 0, 0)}, AsOf: start})
	require.EqualValues(t, 12, aggregator.Fleets(a.Others())["s"].Sum.Offered[0])
}

func TestCollectorForgetsAfterTheWindow(t *testing.T) {
	c := aggregator.NewCollector()
	c.At(start, "s").Offered[0]++
	c.At(start.Add(500*time.Millisecond), "s").Offered[0]++
	require.EqualValues(t, 2, c.Counts(start.Add(900 * time.Millisecond))["s"].Offered[0])
	require.EqualValues(t, 1, c.Counts(start.Add(1100 * time.Millisecond))["s"].Offered[0])
	require.Empty(t, c.Counts(start.Add(1600*time.Millisecond)))
	c.At(start.Add(time.Hour), "s").Offered[0]++
	require.EqualValues(t, 1, c.Counts(start.Add(time.Hour))["s"].Offered[0])
}

func TestShares(t *testing.T) {
	require.Zero(t, aggregator.Counts{}.UnservedShare())
	require.InDelta(t, 0.25, counts(8, 2, 4).RefusedShare(), 1e-9)
	require.InDelta(t, 0.5, counts(8, 2, 4).UnservedShare(), 1e-9)
}

func TestPrioritiesBeyondTheLevelsBelongToTheNearest(t *testing.T) {
	require.Equal(t, 0, aggregator.Level(-1))
	require.Equal(t, 1, aggregator.Level(1))
	require.Equal(t, aggregator.Levels-1, aggregator.Level(1000))
}
