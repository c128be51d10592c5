package witness_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

const (
	bound    = 5 * time.Second
	logBound = 2500 * time.Millisecond
)

func peers(n int) []netip.AddrPort {
	as := make([]netip.AddrPort, n)
	for i := range as {
		as[i] = netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	return as
}

func TestVerdicts(t *testing.T) {
	now := time.Unix(1000, 0)
	w := witness.New(bound, logBound)
	require.False(t, w.InContact(now), "a VM that knows nobody is not in contact")
	w.ObserveLog(now)
	require.Equal(t, witness.ReasonLog, w.Reason(now.Add(bound)))
	require.False(t, w.InContact(now.Add(bound+1)))
	w.ObserveRelay(now.Add(time.Second))
	require.Equal(t, witness.ReasonRelay, w.Reason(now.Add(bound+1)))
	w.ObserveRelay(now.Add(-time.Hour))
	require.True(t, w.InContact(now.Add(bound+1)), "an older contact does not replace a newer one")
}

func TestMajorityCountsOnlyWhileNoneReadsTheLog(t *testing.T) {
	now := time.Unix(1000, 0)
	w := witness.New(bound, logBound)
	as := peers(6)
	w.SetPeers(as)
	for i, a := range as[:3] {
		require.False(t, w.InContact(now), "%d of 6 and this VM are no majority of 7", i)
		w.ObservePeer(a, now, false)
	}
	require.Equal(t, witness.ReasonMajority, w.Reason(now))
	w.ObservePeer(netip.MustParseAddrPort("10.9.9.9:1"), now, true)
	require.True(t, w.InContact(now), "a VM that is no peer does not count")
	w.ObservePeer(as[4], now, true)
	require.False(t, w.InContact(now), "a peer reads the log, so there may be news")
	require.False(t, w.InContact(now.Add(bound+1)), "after a pause of the process all is stale")
}

func TestAloneInTheMap(t *testing.T) {
	w := witness.New(bound, logBound)
	w.SetPeers([]netip.AddrPort{})
	require.Equal(t, witness.ReasonMajority, w.Reason(time.Unix(1000, 0)))
}

func ExampleWitness() {
	now := time.Unix(1000, 0)
	w := witness.New(bound, logBound)
	w.ObserveLog(now)
	fmt.Println(w.Reason(now.Add(time.Second)), w.Reason(now.Add(time.Minute)))
	// Output: log none
}

func BenchmarkFresh(b *testing.B) {
	now := time.Unix(1000, 0)
	w := witness.New(bound, logBound)
	w.ObserveLog(now)
	for b.Loop() {
		w.InContact(now)
	}
}

// TestOutageLeavesNoGap lets 40 VMs read the log and exchange heartbeats with six others each, at
// random phases, until the log goes away, and looks for a moment in which one is out of contact.
func TestOutageLeavesNoGap(t *testing.T) {
	const (
		vms, step = 40, 10 * time.Millisecond
		wait      = time.Second
		beat      = 2 * time.Second
		outage    = 20 * time.Second
	)
	r := rand.New(rand.NewPCG(1, 1))
	as := peers(vms)
	type vm struct {
		w          *witness.Witness
		read, beat time.Duration
		began      time.Duration
		next       int
		neighbours []int
	}
	start := time.Unix(1000, 0)
	var all []*vm
	for i := range vms {
		v := &vm{w: witness.New(bound, logBound), read: time.Duration(r.Int64N(int64(wait))), beat: time.Duration(r.Int64N(int64(beat)))}
		var ps []netip.AddrPort
		for d := 1; d < vms; d *= 2 {
			v.neighbours = append(v.neighbours, (i+d)%vms)
			ps = append(ps, as[(i+d)%vms])
		}
		v.w.SetPeers(ps)
		all = append(all, v)
	}
	for at := time.Duration(0); at < 2*outage; at += step {
		now := start.Add(at)
		for i, v := range all {
			if at >= v.read && at < outage {
				v.w.ObserveLog(start.Add(v.began))
				v.began, v.read = at, at+wait
			}
			if at >= v.beat {
				p := v.neighbours[v.next%len(v.neighbours)]
				v.next++
				period := beat
				if !v.w.ReadsLog(now) {
					period /= 2
				}
				v.beat = at + period/time.Duration(len(v.neighbours))
				v.w.ObservePeer(as[p], now, all[p].w.ReadsLog(now))
				if age, ok := all[p].w.LogAge(now); ok {
					v.w.ObserveRelay(now.Add(-age))
				}
			}
			require.True(t, at < 5*time.Second || v.w.InContact(now), "VM %d at %s, %s after the outage began", i, at, at-outage)
		}
	}
}
