package relayer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// follower returns a relayer whose failure domain is led by another VM, or by itself.
func follower(clock *clockwork.FakeClock, leads bool) *Relayer {
	t := tracker.New(clock, zap.NewNop())
	self := placer.VM{Address: netip.MustParseAddrPort("10.0.0.1:1"), Domain: "d", Incarnation: 1}
	r := New(Options{Self: self, Capacity: 1, Tracker: t, Clock: clock, Logger: zap.NewNop()})
	r.meetSelf()
	for i := 2; !leads && r.Leads(); i++ {
		o := placer.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Domain: "d", Incarnation: 1}
		t.Meet(tracker.Member{VM: o, Role: tracker.RoleReady, Capacity: 1, AsOf: clock.Now()})
	}
	return r
}

// TestOnlyLeadersReadTheStore lets time pass for a VM whose beliefs its leader keeps fresh, until they are not.
func TestOnlyLeadersReadTheStore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := follower(clock, false)
	var reads, age atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		r.run(ctx, reader{
			name: "test", reads: r.Leads, age: func() (time.Duration, bool) { return time.Duration(age.Load()), true },
			read: func(context.Context, time.Duration) error {
				reads.Add(1)
				return nil
			},
		})
		close(ended)
	}()
	pass := func(d time.Duration) {
		for range d / tick {
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(tick)
		}
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
	}
	age.Store(int64(staleAfter) - 1)
	pass(10 * time.Second)
	require.Zero(t, reads.Load())
	age.Store(int64(staleAfter + staleSpread))
	pass(10 * time.Second)
	require.Positive(t, reads.Load())
	require.LessOrEqual(t, reads.Load(), int64(10*time.Second/stalePause)+1)
	cancel()
	clock.Advance(time.Hour)
	<-ended
}

func TestLeaderReadsAtItsPace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := follower(clock, true)
	var reads atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		r.run(ctx, reader{
			name: "test", pace: registrationPace, reads: r.Leads, age: func() (time.Duration, bool) { return 0, true },
			read: func(context.Context, time.Duration) error {
				reads.Add(1)
				return nil
			},
		})
		close(ended)
	}()
	for range 20 {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(registrationPace)
	}
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	require.EqualValues(t, 21, reads.Load())
	cancel()
	clock.Advance(time.Hour)
	<-ended
}

// TestFollowersHardlyAskAStoreThatIsAway counts the reads of a VM that reads for others and of one that does not,
// while the store fails for 10 s.
func TestFollowersHardlyAskAStoreThatIsAway(t *testing.T) {
	for _, c := range []struct {
		leads bool
		most  int64
	}{{true, 24}, {false, 12}} {
		clock := clockwork.NewFakeClock()
		r := follower(clock, c.leads)
		var reads atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.run(ctx, reader{
				name: "test", reads: r.Leads, age: func() (time.Duration, bool) { return time.Hour, true },
				read: func(context.Context, time.Duration) error {
					reads.Add(1)
					return errStale
				},
			})
			close(ended)
		}()
		for range 10 * time.Second / tick {
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(tick)
		}
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		require.LessOrEqual(t, reads.Load(), c.most)
		require.GreaterOrEqual(t, reads.Load(), c.most/3)
		cancel()
		clock.Advance(time.Hour)
		<-ended
	}
}

// TestReadsBeforeAChangeMustBeInForce lets the one that reads for a VM lose the store. A change must be in force
// within 2 s of its acknowledgement, which may have come right after the last read.
func TestReadsBeforeAChangeMustBeInForce(t *testing.T) {
	const bound, read = 2 * time.Second, 100 * time.Millisecond
	for range 20 {
		clock := clockwork.NewFakeClock()
		r := follower(clock, false)
		known := clock.Now()
		first := make(chan time.Duration, 1)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.run(ctx, reader{
				name: "test", reads: r.Leads, age: func() (time.Duration, bool) { return clock.Since(known), true },
				read: func(context.Context, time.Duration) error {
					select {
					case first <- clock.Since(known):
					default:
					}
					return nil
				},
			})
			close(ended)
		}()
		for len(first) == 0 {
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			if len(first) == 0 {
				clock.Advance(tick)
			}
		}
		require.LessOrEqual(t, <-first, bound-read)
		cancel()
		clock.Advance(time.Hour)
		<-ended
	}
}

// TestAgesStayBelowTheThresholds adds up how old beliefs grow while all is well: nobody but the readers may ask
// the store then.
func TestAgesStayBelowTheThresholds(t *testing.T) {
	require.Less(t, registrationPace+leaderWait, leaderStaleAfter)
	require.Less(t, registrationPace+leaderWait+exchangeWait, staleAfter)
	require.Less(t, 2*configurationWait+exchangeWait, staleAfter)
}
