package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// The rule on an instance's limit: from 3 s after it stated the limit first, VMs that it told half a second earlier send at
// most 1.5 times the limit and 5 requests in any 4 s.
const (
	limitSettle = 3 * time.Second
	limitTold   = 500 * time.Millisecond
	limitSpan   = 4 * time.Second
)

// limitedFleet is a fleet in front of one instance that states a limit.
type limitedFleet struct {
	*fleet
	limit     float64
	statedAt  time.Time
	toldAt    map[int]time.Time
	arrivedAt []time.Time
}

func newLimitedFleet(n int, limit float64) *limitedFleet {
	f := &limitedFleet{fleet: newFleet(n, 1), limit: limit, toldAt: map[int]time.Time{}}
	for _, tr := range f.trackers {
		e := tracker.Entry{Instance: balancer.Instance{ID: "i", Service: "s", Domain: "d", Slots: 4}}
		tr.ApplyRegistrations(f.clock.Now(), []tracker.Entry{e}, true, 1)
	}
	f.statedAt = f.clock.Now()
	return f
}

// send sends a request from VM i if it is admitted, and answers it at once. Only requests that count are recorded.
func (f *limitedFleet) send(i int) {
	if !f.relayers[i].AdmitSend(context.Background(), "i").Admitted {
		return
	}
	now := f.clock.Now()
	if told, ok := f.toldAt[i]; ok && now.Sub(told) >= limitTold && now.Sub(f.statedAt) >= limitSettle {
		f.arrivedAt = append(f.arrivedAt, now)
	}
	if _, ok := f.toldAt[i]; !ok {
		f.toldAt[i] = now
	}
	f.relayers[i].ObserveLimit("i", 1, f.limit, now)
}

// most returns the most requests that arrived in a span.
func (f *limitedFleet) most() int {
	most, first := 0, 0
	for i, at := range f.arrivedAt {
		for at.Sub(f.arrivedAt[first]) >= limitSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestInstanceLimitHoldsAcrossVMs(t *testing.T) {
	for _, vms := range []int{1, 4, 44, 300} {
		for _, limit := range []float64{0.5, 6, 100} {
			t.Run(fmt.Sprint(vms, " VMs, ", limit, "/s"), func(t *testing.T) {
				f := newLimitedFleet(vms, limit)
				for step := range 100 {
					f.clock.Advance(100 * time.Millisecond)
					if step%3 == 0 {
						f.advance(0)
					}
					for i := range vms {
						if (i+step)%max(1, vms/20) == 0 {
							f.send(i)
						}
					}
				}
				require.LessOrEqual(t, float64(f.most()), 1.5*limit*limitSpan.Seconds()+5)
				if demand := 10 * float64(min(vms, 20)); demand > limit {
					require.GreaterOrEqual(t, float64(f.most()), 0.8*limit*limitSpan.Seconds(), "the instance gets what it takes")
				}
			})
		}
	}
}

// VMs are cut off, marked down at different times and restarted, while all send more than the limit.
func TestInstanceLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(3, 9).Draw(t, "vms")
		limit := rapid.Float64Range(0.5, 100).Draw(t, "limit")
		f := newLimitedFleet(vms, limit)
		down := map[netip.AddrPort]bool{}
		cutShare := rapid.IntRange(0, vms/3).Draw(t, "cut")
		f.cut = func(from, to netip.AddrPort) bool { return down[to] || down[from] }
		lossAt := rapid.IntRange(5, 60).Draw(t, "lossAt")
		noticedAt := make([]int, vms)
		for i := range vms {
			noticedAt[i] = lossAt + rapid.IntRange(12, 20).Draw(t, "noticedAfter")
		}
		returnAt := lossAt + rapid.IntRange(25, 50).Draw(t, "returnAfter")
		for step := range 140 {
			f.clock.Advance(100 * time.Millisecond)
			if step%3 == 0 {
				f.advance(0)
			}
			if step == lossAt {
				for i := range cutShare {
					down[f.members[i].Address] = true
				}
			}
			if step == returnAt {
				clear(down)
				f.markAll(cutShare, tracker.RoleReady)
			}
			for i := cutShare; i < vms && step < returnAt; i++ {
				if step == noticedAt[i] {
					f.mark(i, cutShare, tracker.RoleDown)
				}
			}
			for i := range vms {
				for range 1 + int(limit/30) {
					f.send(i)
				}
			}
		}
		require.LessOrEqual(t, float64(f.most()), 1.5*limit*limitSpan.Seconds()+5, "%d of %d VMs cut off", cutShare, vms)
	})
}

// mark sets the role of the first n VMs at VM i.
func (f *limitedFleet) mark(i, n int, role tracker.Role) {
	for j := range n {
		m := f.members[j]
		m.Role, m.AsOf = role, f.clock.Now()
		f.trackers[i].UpdateMember(m)
	}
}

func (f *limitedFleet) markAll(n int, role tracker.Role) {
	for i := range f.trackers {
		f.mark(i, n, role)
	}
}

// VMs that are each cut off from all others must not add up a saved token each.
func TestInstanceLimitHoldsWhileManyVMsAreAlone(t *testing.T) {
	const cutAt, cutEnd = 6 * time.Second, 14 * time.Second
	for _, limit := range []float64{0.5, 1, 3, 20} {
		for _, busyFor := range []time.Duration{time.Second, cutEnd} {
			t.Run(fmt.Sprint(limit, "/s, busy for ", busyFor), func(t *testing.T) {
				f := newLimitedFleet(44, limit)
				alone := map[netip.AddrPort]bool{}
				for i, m := range f.members {
					alone[m.Address] = i < 15
					f.toldAt[i] = f.clock.Now().Add(-limitTold)
					f.relayers[i].ObserveLimit("i", 1, limit, f.clock.Now())
				}
				for at := time.Duration(0); at < cutEnd+6*time.Second; at += 100 * time.Millisecond {
					cut := at >= cutAt && at < cutEnd
					f.cut = func(from, to netip.AddrPort) bool { return cut && from != to && (alone[from] || alone[to]) }
					f.see(alone, at >= cutAt+1500*time.Millisecond && at < cutEnd+500*time.Millisecond)
					f.advance(100 * time.Millisecond)
					for i := range f.relayers {
						if at < cutEnd-busyFor && (at%time.Second != 0 || i != int(at/time.Second)) {
							continue
						}
						for range 1 + int(limit/20) {
							f.send(i)
						}
					}
				}
				require.LessOrEqual(t, float64(f.most()), 1.5*limit*limitSpan.Seconds()+5)
			})
		}
	}
}

func TestLimitReachesAllVMsBeforeTheyAreTold(t *testing.T) {
	f := newLimitedFleet(12, 5)
	follower := slices.IndexFunc(f.relayers, func(r *relayer.Relayer) bool { return !r.IsLeader() })
	f.relayers[follower].ObserveLimit("i", 1, 5, f.clock.Now())
	f.advance(50 * time.Millisecond)
	f.advance(50 * time.Millisecond)
	for i, tr := range f.trackers {
		l, ok := tr.SendLimit("i")
		require.True(t, ok, i)
		require.InDelta(t, 5, l.Rate, 0)
	}
	f.clock.Advance(time.Second)
	f.relayers[follower].ObserveLimit("i", 1, 0, f.clock.Now().Add(-100*time.Millisecond))
	f.advance(50 * time.Millisecond)
	f.advance(50 * time.Millisecond)
	for i, tr := range f.trackers {
		_, ok := tr.SendLimit("i")
		require.False(t, ok, i)
	}
}

// A VM that no owner answers must not count for itself.
func TestNoRequestIsSentToLimitedInstanceWithoutItsOwner(t *testing.T) {
	f := newLimitedFleet(12, 5)
	for i := range f.relayers {
		f.relayers[i].ObserveLimit("i", 1, 5, f.clock.Now())
	}
	f.cut = func(netip.AddrPort, netip.AddrPort) bool { return true }
	admitted := 0
	for i := range f.relayers {
		if f.relayers[i].AdmitSend(context.Background(), "i").Admitted {
			admitted++
		}
	}
	require.LessOrEqual(t, admitted, 1)
}
