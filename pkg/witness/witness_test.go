package witness_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

const bound = 5 * time.Second

func peers(n int) []netip.AddrPort {
	as := make([]netip.AddrPort, n)
	for i := range as {
		as[i] = netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	return as
}

func TestVerdicts(t *testing.T) {
	now := time.Unix(1000, 0)
	w := witness.New(bound)
	require.False(t, w.Fresh(now), "a VM that knows nobody is not in contact")
	w.Log(now)
	require.Equal(t, witness.ReasonLog, w.Verdict(now.Add(bound)))
	require.False(t, w.Fresh(now.Add(bound+1)))
	w.Relay(now.Add(time.Second))
	require.Equal(t, witness.ReasonRelay, w.Verdict(now.Add(bound+1)))
	w.Relay(now.Add(-time.Hour))
	require.True(t, w.Fresh(now.Add(bound+1)), "an older contact does not replace a newer one")
}

func TestMajorityCountsOnlyWhileNoneReadsTheLog(t *testing.T) {
	now := time.Unix(1000, 0)
	w := witness.New(bound)
	as := peers(6)
	w.SetPeers(as)
	for i, a := range as[:3] {
		require.False(t, w.Fresh(now), "%d of 6 and this VM are no majority of 7", i)
		w.Peer(a, now, false)
	}
	require.Equal(t, witness.ReasonMajority, w.Verdict(now))
	w.Peer(netip.MustParseAddrPort("10.9.9.9:1"), now, true)
	require.True(t, w.Fresh(now), "a VM that is no peer does not count")
	w.Peer(as[4], now, true)
	require.False(t, w.Fresh(now), "a peer reads the log, so there may be news")
	require.False(t, w.Fresh(now.Add(bound+1)), "after a pause of the process all is stale")
}

func TestAloneInTheMap(t *testing.T) {
	w := witness.New(bound)
	w.SetPeers([]netip.AddrPort{})
	require.Equal(t, witness.ReasonMajority, w.Verdict(time.Unix(1000, 0)))
}

func ExampleWitness() {
	now := time.Unix(1000, 0)
	w := witness.New(bound)
	w.Log(now)
	fmt.Println(w.Verdict(now.Add(time.Second)), w.Verdict(now.Add(time.Minute)))
	// Output: log none
}

func BenchmarkFresh(b *testing.B) {
	now := time.Unix(1000, 0)
	w := witness.New(bound)
	w.Log(now)
	for b.Loop() {
		w.Fresh(now)
	}
}
