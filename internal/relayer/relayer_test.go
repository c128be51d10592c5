package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// network connects relayers in one process without delay; cut reports for each message whether it is lost.
type network struct {
	mu       sync.Mutex
	clock    *clockwork.FakeClock
	relayers map[netip.AddrPort]*relayer.Relayer
	cut      func(from, to netip.AddrPort) bool
	// refuses reports whether the VMs do not know a kind of message.
	refuses func(*wire.Request) bool
}

type link struct {
	*network
	from placer.VM
}

func (l link) Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error) {
	l.mu.Lock()
	r, cut := l.relayers[to], l.cut
	l.mu.Unlock()
	if r == nil || cut != nil && (cut(l.from.Address, to) || cut(to, l.from.Address)) {
		return nil, errors.Mark(errors.New("the network link is cut"), messenger.ErrUnreachable)
	}
	if l.refuses != nil && l.refuses(req) {
		req = &wire.Request{}
	}
	rep, _, err := r.Handle(ctx, l.from, req)
	if err != nil {
		return nil, errors.Mark(err, messenger.ErrRefused)
	}
	return rep, nil
}

func TestMain(m *testing.M) { chooser.Main(m) }

type discardStats struct{}

func (discardStats) ApplyReports([]relayer.InstanceReport) {}
func (discardStats) SetPeerInFlight(map[string]int)        {}
func (discardStats) InFlight() map[string]int              { return nil }
func (discardStats) Usage() map[string]aggregator.Counts   { return nil }
func (discardStats) SetUsage(map[string]aggregator.Fleet)  {}

type fleet struct {
	*network
	members  []tracker.Member
	relayers []*relayer.Relayer
	trackers []*tracker.Tracker
	account  router.Account
}

func newFleet(n int, limit float64) *fleet {
	f := &fleet{network: &network{clock: clockwork.NewFakeClock(), relayers: map[netip.AddrPort]*relayer.Relayer{}}}
	f.account = router.Account{Name: "a", Rate: limit, Burst: limit}
	for i := range n {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1))
		f.members = append(f.members, tracker.Member{
			VM: placer.VM{Address: a, Domain: "d", Incarnation: 1}, Role: tracker.RoleReady, Capacity: 1, AsOf: f.clock.Now(),
		})
	}
	for _, m := range f.members {
		t := tracker.New(f.clock, zap.NewNop())
		t.ApplyConfiguration(router.Configuration{Version: 1, Accounts: []router.Account{f.account}})
		r := relayer.New(relayer.Options{
			Self: m.VM, Capacity: 1, RateWindow: 5 * time.Second, DrainTimeout: 2 * time.Second, Tracker: t, Messenger: link{f.network, m.VM}, InstanceStats: discardStats{},
			Clock: f.clock, Logger: zap.NewNop(),
		})
		for _, o := range f.members {
			t.UpdateMember(o)
		}
		t.MarkMembersKnown()
		f.network.relayers[m.Address] = r
		f.relayers, f.trackers = append(f.relayers, r), append(f.trackers, t)
	}
	return f
}

// admit sends one request of the account to VM i; it does not wait for a token.
func (f *fleet) admit(i int) bool {
	return f.relayers[i].TryAdmit(context.Background(), &f.account).Admitted
}

// advance advances the clock, and then each VM exchanges with its leader and reports its grants.
func (f *fleet) advance(d time.Duration) {
	f.clock.Advance(d)
	for _, r := range f.relayers {
		r.Refresh(context.Background())
		r.ReportGrants(context.Background())
	}
}

// TestRateHoldsUnderFaults sends far more than an account's rate to all VMs while different VMs mark owners down at
// different times, VMs are cut off, and owners return. Any span of 5 s must stay within the rule:
// (rate x 5 s + burst) x 1.1 + 20.
func TestRateHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 8
		limit := rapid.Float64Range(5, 120).Draw(t, "limit")
		f := newFleet(vms, limit)
		var grants []time.Time
		down := map[netip.AddrPort]bool{}
		cutShare := rapid.IntRange(0, vms/3).Draw(t, "cut")
		f.cut = func(from, to netip.AddrPort) bool {
			return down[to] || down[from]
		}
		lossAt := rapid.IntRange(5, 60).Draw(t, "lossAt")
		for step := range 120 {
			if f.clock.Advance(100 * time.Millisecond); step%3 == 0 {
				f.advance(0)
			}
			if step == lossAt {
				// Some VMs lose contact with all others; the others detect that within 1.5 s.
				for i := range cutShare {
					down[f.members[i].Address] = true
				}
			}
			if step == lossAt+15 {
				for i := cutShare; i < vms; i++ {
					for j := range cutShare {
						m := f.members[j]
						m.Role, m.AsOf = tracker.RoleDown, f.clock.Now()
						f.trackers[i].UpdateMember(m)
					}
				}
			}
			for i := range vms {
				for range 1 + int(limit/60) {
					if f.admit(i) {
						grants = append(grants, f.clock.Now())
					}
				}
			}
		}
		allowed := 1.1*(limit*5+limit) + 20
		for i, at := range grants {
			n := 0
			for _, g := range grants[i:] {
				if g.Sub(at) > 5*time.Second {
					break
				}
				n++
			}
			require.LessOrEqual(t, float64(n), allowed, "limit %v, %d of %d VMs cut off", limit, cutShare, vms)
		}
	})
}

// TestAccountsWithinTheirRateAreServed sends half an account's rate to varying VMs, and expects no refusal.
func TestAccountsWithinTheirRateAreServed(t *testing.T) {
	f := newFleet(20, 40)
	for range 50 {
		f.advance(100 * time.Millisecond)
	}
	refused := 0
	for i := range 400 {
		f.advance(50 * time.Millisecond)
		if !f.admit(i * 7 % 20) {
			refused++
		}
	}
	require.Zero(t, refused)
}

// TestTimeoutKeepsOwner loses one message of each VM to the owner: no other VM may become the owner of the account.
func TestTimeoutKeepsOwner(t *testing.T) {
	f := newFleet(10, 100)
	f.advance(time.Second)
	owners := map[string]bool{}
	for i := range f.relayers {
		a := f.relayers[i].TryAdmit(context.Background(), &f.account)
		owners[a.Owner] = true
	}
	require.Len(t, owners, 1)
	f.cut = func(netip.AddrPort, netip.AddrPort) bool { return true }
	for i := range f.relayers {
		f.admit(i)
	}
	f.cut = nil
	f.advance(2 * time.Second)
	for i := range f.relayers {
		a := f.relayers[i].TryAdmit(context.Background(), &f.account)
		owners[a.Owner] = true
	}
	require.Len(t, owners, 1)
}

// TestColdStartAdmitsAtOnce restarts all VMs, as after a power failure: the requests that callers held back meanwhile
// must not be refused.
func TestColdStartAdmitsAtOnce(t *testing.T) {
	f := newFleet(20, 40)
	for i := range f.members {
		m := f.members[i]
		m.Incarnation = placer.NewIncarnation(f.clock.Now())
		for _, tr := range f.trackers {
			tr.UpdateMember(m)
		}
	}
	served := 0
	for i := range 40 {
		if f.admit(i % 20) {
			served++
		}
	}
	require.GreaterOrEqual(t, served, 40)
}

// After a power failure, an owner that is asked before it has heard of the others' restarts must not refuse for seconds what
// callers held back.
func TestOwnerThatHearsLateOfAColdStartAdmitsAsMuch(t *testing.T) {
	f := newFleet(20, 40)
	f.advance(0)
	restart := func(is ...int) {
		for _, i := range is {
			m := f.members[i]
			m.Incarnation = placer.NewIncarnation(f.clock.Now())
			for _, tr := range f.trackers {
				tr.UpdateMember(m)
			}
		}
	}
	all := make([]int, 20)
	for i := range all {
		all[i] = i
	}
	restart(all[:10]...)
	served := 0
	for i := range 20 {
		if f.admit(i) {
			served++
		}
	}
	require.Less(t, served, 20, "another VM may have granted the rate")
	restart(all[10:]...)
	f.advance(100 * time.Millisecond)
	for i := range 40 {
		if f.admit(i % 20) {
			served++
		}
	}
	require.GreaterOrEqual(t, served, 40)
	require.LessOrEqual(t, served, 50)
}

// slowStats takes a while to collect the loads.
type slowStats struct {
	discardStats
	clock *clockwork.FakeClock
}

func (s slowStats) InFlight() map[string]int {
	s.clock.Advance(200 * time.Millisecond)
	return nil
}

// A view must not look younger because the peer was slow to complete its reply.
func TestAgeCountsTimeToCompleteAReply(t *testing.T) {
	f := newFleet(2, 1)
	follower, leader := 0, 1
	if f.relayers[0].IsLeader() {
		follower, leader = 1, 0
	}
	f.relayers[leader].InstanceStats = slowStats{clock: f.clock}
	readAt := f.clock.Now()
	f.trackers[leader].ApplyRegistrations(readAt, nil, true, 1)
	f.clock.Advance(time.Second)
	f.relayers[follower].Refresh(context.Background())
	_, age := f.trackers[follower].Ages()
	require.GreaterOrEqual(t, age, f.clock.Since(readAt))
}
