package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// The rule on cold instances: all VMs together send at most 1.5 times the warm-up rate and 8 requests in any second.
const (
	warmupSpan      = time.Second
	warmupOvershoot = 1.5
	warmupSlack     = 8
)

// coldFleet is a fleet in front of one instance that warms up.
type coldFleet struct {
	*fleet
	rate      float64
	arrivedAt []time.Time
}

func newColdFleet(n int, rate float64) *coldFleet {
	f := &coldFleet{fleet: newFleet(n, 1), rate: rate}
	for _, tr := range f.trackers {
		tr.ApplyConfiguration(router.Configuration{Version: 2, Services: []router.Service{{Name: "s", WarmupRate: rate, Warmup: 3 * time.Second}}})
	}
	return f
}

// report lets all VMs read a report of the instance.
func (f *coldFleet) report(sequenceNumber int64, warmup time.Duration) {
	for _, tr := range f.trackers {
		e := tracker.Entry{Instance: balancer.Instance{ID: "i", Service: "s", Domain: "d", Slots: 4}, SequenceNumber: sequenceNumber, Offset: uint64(sequenceNumber)}
		if warmup > 0 {
			e.WarmAt = f.clock.Now().Add(warmup)
		}
		tr.ApplyRegistrations(f.clock.Now(), []tracker.Entry{e}, false, e.Offset+1)
	}
}

func (f *coldFleet) send(i int) {
	if f.relayers[i].AdmitSend(context.Background(), "i").Admitted {
		f.arrivedAt = append(f.arrivedAt, f.clock.Now())
	}
}

func (f *coldFleet) most() int {
	most, first := 0, 0
	for i, at := range f.arrivedAt {
		for at.Sub(f.arrivedAt[first]) >= warmupSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestColdInstanceGetsItsRateFromAllVMsTogether(t *testing.T) {
	for _, vms := range []int{1, 4, 103, 300} {
		for _, rate := range []float64{0.5, 5.5, 100} {
			t.Run(fmt.Sprint(vms, " VMs, ", rate, "/s"), func(t *testing.T) {
				f := newColdFleet(vms, rate)
				f.report(1, 4*time.Second)
				for step := range 40 {
					if step%3 == 0 {
						f.advance(0)
					}
					for i := range vms {
						for range 1 + 12/vms {
							f.send(i)
						}
					}
					f.clock.Advance(100 * time.Millisecond)
				}
				require.LessOrEqual(t, float64(f.most()), warmupOvershoot*rate+warmupSlack)
				require.GreaterOrEqual(t, float64(len(f.arrivedAt)), 0.9*4*rate-1, "the instance gets what it takes")
			})
		}
	}
}

// VMs are cut off and marked down at different times, and the instance turns cold again. Each VM is told of the warm-up.
func TestColdInstanceGetsItsRateUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(3, 9).Draw(t, "vms")
		rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		f := newColdFleet(vms, rate)
		down := map[netip.AddrPort]bool{}
		cutShare := rapid.IntRange(0, vms/3).Draw(t, "cut")
		f.cut = func(from, to netip.AddrPort) bool { return down[to] || down[from] }
		lossAt := rapid.IntRange(1, 30).Draw(t, "lossAt")
		coldAgainAt := rapid.IntRange(20, 50).Draw(t, "coldAgainAt")
		noticedAt := make([]int, vms)
		for i := range vms {
			noticedAt[i] = lossAt + rapid.IntRange(12, 20).Draw(t, "noticedAfter")
		}
		f.report(1, 3*time.Second)
		for step := range 80 {
			f.clock.Advance(100 * time.Millisecond)
			if step%3 == 0 {
				f.advance(0)
			}
			if step == lossAt {
				for i := range cutShare {
					down[f.members[i].Address] = true
				}
			}
			if step == coldAgainAt {
				f.report(2, 5*time.Second)
			}
			for i := cutShare; i < vms; i++ {
				if step == noticedAt[i] {
					f.markDown(i, cutShare)
				}
			}
			if cold := step < 29 || step >= coldAgainAt && step < coldAgainAt+49; !cold {
				continue
			}
			for i := range vms {
				for range 1 + int(rate/20) {
					f.send(i)
				}
			}
		}
		require.LessOrEqual(t, float64(f.most()), warmupOvershoot*rate+warmupSlack, "%d of %d VMs cut off", cutShare, vms)
	})
}

// markDown marks the first n VMs down at VM i.
func (f *coldFleet) markDown(i, n int) {
	for j := range n {
		m := f.members[j]
		m.Role, m.AsOf = tracker.RoleDown, f.clock.Now()
		f.trackers[i].UpdateMember(m)
	}
}

// The owner of the limit may be the last to hear of a warm-up.
func TestOwnerLearnsOfAWarmupFromTheVMThatAsks(t *testing.T) {
	f := newColdFleet(4, 2)
	f.report(1, 0)
	f.trackers[0].PresumeWarmup("i")
	for range 50 {
		f.send(0)
	}
	require.LessOrEqual(t, f.most(), 3)
}

func TestWarmupReachesAllVMs(t *testing.T) {
	f := newColdFleet(12, 5)
	f.report(1, 0)
	leader := 0
	for !f.relayers[leader].IsLeader() {
		leader++
	}
	f.trackers[leader].PresumeWarmup("i")
	f.advance(50 * time.Millisecond)
	f.advance(50 * time.Millisecond)
	for i, tr := range f.trackers {
		l, ok := tr.SendLimit("i")
		require.True(t, ok, i)
		require.True(t, l.WarmingUp)
	}
}

// A failure domain comes back at once, with instances that are cold though their registrations do not say so yet.
func TestInstanceThatComesBackColdIsNotOverrun(t *testing.T) {
	const rate = 5
	for _, vms := range []int{1, 12, 103} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			f := newColdFleet(vms, rate)
			f.report(1, 0)
			for step := range 20 {
				f.relayers[step%vms].Observe("i", balancer.OutcomeUnreachable, 0)
				f.advance(100 * time.Millisecond)
			}
			for step := range 30 {
				for i := range vms {
					f.send(i)
				}
				if len(f.arrivedAt) > 0 && step%5 == 0 {
					f.relayers[step%vms].Observe("i", balancer.OutcomeAnswered, 1)
				}
				f.advance(100 * time.Millisecond)
			}
			require.LessOrEqual(t, float64(f.most()), warmupOvershoot*rate+warmupSlack)
			require.GreaterOrEqual(t, float64(len(f.arrivedAt)), 0.8*3*rate, "the instance gets what it takes")
			f.arrivedAt = nil
			f.clock.Advance(2 * time.Second)
			for range 20 {
				f.send(0)
			}
			require.Len(t, f.arrivedAt, 20, "it is warm again")
		})
	}
}

// A VM that is cut off reaches no instance; when it is back, it must not make all others limit theirs.
func TestVMThatWasCutOffPresumesNoRestarts(t *testing.T) {
	f := newColdFleet(6, 5)
	f.report(1, 0)
	for alone := range f.relayers {
		f.cut = func(from, to netip.AddrPort) bool {
			return from == f.members[alone].Address || to == f.members[alone].Address
		}
		for range 20 {
			f.relayers[alone].Observe("i", balancer.OutcomeUnreachable, 0)
			f.advance(100 * time.Millisecond)
		}
		f.cut = nil
		for range 5 {
			f.advance(100 * time.Millisecond)
		}
		for i, tr := range f.trackers {
			_, limited := tr.SendLimit("i")
			require.False(t, limited, "VM %d after %d was alone", i, alone)
		}
		for i := range f.relayers {
			f.relayers[i].Observe("i", balancer.OutcomeAnswered, 1)
		}
		f.advance(100 * time.Millisecond)
	}
}
