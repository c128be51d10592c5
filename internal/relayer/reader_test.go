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

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// newTestRelayer returns a relayer that leads its failure domain, or one whose domain is led by another VM.
func newTestRelayer(clock *clockwork.FakeClock, leads bool) *Relayer {
	t := tracker.New(clock, zap.NewNop())
	self := placer.VM{Address: netip.MustParseAddrPort("10.0.0.1:1"), Domain: "d", Incarnation: 1}
	r := New(Options{Self: self, Capacity: 1, DrainTimeout: 2 * time.Second, RateWindow: 5 * time.Second, Tracker: t, Clock: clock, Logger: zap.NewNop()})
	r.updateSelf()
	for i := 2; !leads && r.IsLeader(); i++ {
		o := placer.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Domain: "d", Incarnation: 1}
		t.UpdateMember(tracker.Member{VM: o, Role: tracker.RoleReady, Capacity: 1, AsOf: clock.Now()})
	}
	return r
}

// TestOnlyLeadersReadTheStore checks that a follower does not read the store while its leader keeps its data fresh, and
// reads it at most every staleReadInterval once the data is stale.
func TestOnlyLeadersReadTheStore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTestRelayer(clock, false)
	var reads, age atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		r.poll(ctx, poller{
			name: "test", stale: r.instancesStaleness(), responsible: r.IsLeader, age: func() (time.Duration, bool) { return time.Duration(age.Load()), true },
			read: func(context.Context, time.Duration) error {
				reads.Add(1)
				return nil
			},
		})
		close(ended)
	}()
	advance := func(d time.Duration) {
		for range d / tickInterval {
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(tickInterval)
		}
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
	}
	age.Store(int64(r.instancesStaleness().follower) - 1)
	advance(10 * time.Second)
	require.Zero(t, reads.Load())
	age.Store(int64(r.instancesStaleness().follower + r.instancesStaleness().jitter))
	advance(10 * time.Second)
	require.Positive(t, reads.Load())
	require.LessOrEqual(t, reads.Load(), int64(10*time.Second/staleReadInterval)+1)
	cancel()
	clock.Advance(time.Hour)
	<-ended
}

func TestLeaderReadsAtInterval(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newTestRelayer(clock, true)
	var reads atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		r.poll(ctx, poller{
			name: "test", stale: r.instancesStaleness(), interval: registrationPollInterval, responsible: r.IsLeader, age: func() (time.Duration, bool) { return 0, true },
			read: func(context.Context, time.Duration) error {
				reads.Add(1)
				return nil
			},
		})
		close(ended)
	}()
	for range 20 {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(registrationPollInterval)
	}
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	require.EqualValues(t, 21, reads.Load())
	cancel()
	clock.Advance(time.Hour)
	<-ended
}

// TestFollowersRarelyReadFailingStore counts the reads while the store fails for 10 s, by a VM that reads for others
// and by one that does not.
func TestFollowersRarelyReadFailingStore(t *testing.T) {
	for _, c := range []struct {
		leads bool
		most  int64
	}{{true, 24}, {false, 12}} {
		clock := clockwork.NewFakeClock()
		r := newTestRelayer(clock, c.leads)
		var reads atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.poll(ctx, poller{
				name: "test", stale: r.instancesStaleness(), responsible: r.IsLeader, age: func() (time.Duration, bool) { return time.Hour, true },
				read: func(context.Context, time.Duration) error {
					reads.Add(1)
					return errStale
				},
			})
			close(ended)
		}()
		for range 10 * time.Second / tickInterval {
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(tickInterval)
		}
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		require.LessOrEqual(t, reads.Load(), c.most)
		require.GreaterOrEqual(t, reads.Load(), c.most/3)
		cancel()
		clock.Advance(time.Hour)
		<-ended
	}
}

// TestFollowerReadsBeforeChangeIsDue simulates that the VM that reads for a follower loses the store. A change must be
// in force within 2 s of its acknowledgement, which may have come right after the last read.
func TestFollowerReadsBeforeChangeIsDue(t *testing.T) {
	const bound, read = 2 * time.Second, 100 * time.Millisecond
	for range 20 {
		clock := clockwork.NewFakeClock()
		r := newTestRelayer(clock, false)
		known := clock.Now()
		first := make(chan time.Duration, 1)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			r.poll(ctx, poller{
				name: "test", stale: r.instancesStaleness(), responsible: r.IsLeader, age: func() (time.Duration, bool) { return clock.Since(known), true },
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
				clock.Advance(tickInterval)
			}
		}
		require.LessOrEqual(t, <-first, bound-read)
		cancel()
		clock.Advance(time.Hour)
		<-ended
	}
}

// drainTimeouts are those of the deployments.
var drainTimeouts = []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second}

// TestAgesStayBelowTheThresholds adds up the age that data reaches in normal operation: only the VMs that read for
// others may read the store then.
func TestAgesStayBelowTheThresholds(t *testing.T) {
	for _, d := range drainTimeouts {
		r := newTestRelayer(clockwork.NewFakeClock(), true)
		r.DrainTimeout = d
		s := r.instancesStaleness()
		require.Less(t, r.registrationInterval()+leaderExchangeWait, s.leader)
		require.Less(t, r.registrationInterval()+leaderExchangeWait+exchangeWait, s.follower)
	}
	const read = 10 * time.Millisecond
	require.Less(t, 2*(configurationPollWait+read)+leaderExchangeWait+minReplyInterval, configurationStaleness.leader)
	require.Less(t, 2*(configurationPollWait+read)+leaderExchangeWait+exchangeWait+2*minReplyInterval, configurationStaleness.follower)
}

// Adds up the oldest view of a VM in touch with the store and the time to reach the instance.
func TestRequestsReachNoInstanceAfterTheDrainTimeout(t *testing.T) {
	const read = 100 * time.Millisecond
	for _, d := range drainTimeouts {
		r := newTestRelayer(clockwork.NewFakeClock(), true)
		r.DrainTimeout = d
		s := r.instancesStaleness()
		relay := leaderExchangeWait + minReplyInterval + exchangeWait
		require.Less(t, s.follower+s.jitter+read+forwarder.ConnectTimeout, d, "the VM reads the registry itself")
		require.Less(t, s.leader+read+relay+forwarder.ConnectTimeout, d, "a leader does, and relays")
	}
}

// Adds up the last failed call, the delay and the read: changes must be known 3 s after an outage.
func TestViewsRecoverBeforeChangesBind(t *testing.T) {
	const bound, read = 3 * time.Second, 100 * time.Millisecond
	for range 1000 {
		for _, responsible := range []bool{true, false} {
			recovered := StoreTimeout + jittered(nextBackoff(time.Hour, responsible)) + read
			if responsible {
				recovered += leaderExchangeWait + minReplyInterval + exchangeWait
			}
			require.Less(t, recovered, bound)
		}
	}
}

// A store that does not answer must not hold up requests until the read fails, and a VM that is late for its checks must not take
// its own lateness for that.
func TestReadWithoutResponseIsUnansweredOnlyForAVMOnTime(t *testing.T) {
	const maxAge = time.Second
	for name, c := range map[string]struct {
		step, total time.Duration
		unanswered  bool
	}{
		"on time":    {unansweredCheckInterval, unansweredChecks * unansweredCheckInterval, true},
		"not long":   {unansweredCheckInterval, (unansweredChecks - 1) * unansweredCheckInterval, false},
		"late twice": {4 * unansweredCheckInterval, 8 * unansweredCheckInterval, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := newTestRelayer(clock, false)
			r.Tracker.ApplyRegistrations(clock.Now(), nil, true, 1)
			clock.Advance(2 * maxAge)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				r.markUnanswered(ctx, clock.Now())
				close(ended)
			}()
			for d := time.Duration(0); d < c.total; d += c.step {
				require.NoError(t, clock.BlockUntilContext(ctx, 1))
				clock.Advance(c.step)
			}
			if c.unanswered {
				<-ended
			} else {
				require.NoError(t, clock.BlockUntilContext(ctx, 1))
			}
			require.Equal(t, c.unanswered, r.Tracker.AwaitView(ctx, maxAge, 0))
			cancel()
			<-ended
		})
	}
}
