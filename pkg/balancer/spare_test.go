package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

func TestSparePicksLeaveOutFullLimitedSuspectedAndPausedInstances(t *testing.T) {
	b := newBalancer(8)
	is := instances(8)
	is[0].Limit = 5
	b.SetInstances(start, is)
	b.Observe(start, "i1", balancer.OutcomeBroken)
	b.SetPeerInFlight(start, "i2", 4)
	b.ApplyReport(start, balancer.Report{Instance: "i3", Counts: map[balancer.Outcome]int{balancer.OutcomeShed: 1}})
	b.Pause(start, balancer.Choice{Instance: is[4]}, start.Add(time.Second))
	inUse, slots := b.SlotsInUse(start)
	require.Equal(t, 5*4, slots, "of i2, i3, i5, i6 and i7")
	require.Equal(t, 2*4, inUse, "of i2 and i3")
	got := map[string]bool{}
	for range 12 {
		c, ok := b.PickSpare(start, balancer.Request{Idempotent: true, Tried: []string{"i7"}})
		if ok {
			got[c.ID] = true
		}
	}
	require.Equal(t, map[string]bool{"i5": true, "i6": true}, got)
	_, ok := b.PickSpare(start, balancer.Request{Idempotent: true, Tried: []string{"i7"}})
	require.False(t, ok, "all slots are in use")
}
