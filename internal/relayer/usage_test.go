package relayer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// usageStats counts one request offered and keeps what it was told of the fleet.
type usageStats struct {
	idleInstances
	fleets map[string]aggregator.Fleet
}

func (*usageStats) Usage() map[string]aggregator.Counts {
	return map[string]aggregator.Counts{"s": {Offered: [aggregator.Levels]int64{0, 1}, Sends: 2, Refused: 1}}
}

func (s *usageStats) SetUsage(fs map[string]aggregator.Fleet) { s.fleets = fs }

// usageFleet connects relayers; those in cut reach no other.
type usageFleet struct {
	relayers map[netip.AddrPort]*Relayer
	cut      map[netip.AddrPort]bool
}

type usageLink struct {
	*usageFleet
	from placer.VM
}

func (l usageLink) Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error) {
	if l.cut[to] || l.cut[l.from.Address] {
		return nil, messenger.ErrUnreachable
	}
	rep, _, err := l.relayers[to].Handle(ctx, l.from, req)
	return rep, err
}

// step advances the clock by the interval of reports and lets each VM exchange with its leader, and the leaders with each other.
func (f *usageFleet) step(t *testing.T, clock *clockwork.FakeClock) {
	t.Helper()
	clock.Advance(usageInterval)
	for _, r := range f.relayers {
		l, _ := r.leader(r.Self.Domain)
		for _, d := range []string{"d0", "d1", "d2", "d3"} {
			to, leads := l, l.Address == r.Self.Address
			if leads {
				to, _ = r.leader(d)
			}
			if to.Address == r.Self.Address || !leads && d != "d0" {
				continue
			}
			if err := r.exchange(t.Context(), to, 0, leads); err != nil {
				r.suspect(to.Address, err)
			}
		}
		r.deliverUsage()
	}
}

func TestAllVMsKnowTheUsageOfTheFleetThroughTheLossOfALeader(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := &usageFleet{relayers: map[netip.AddrPort]*Relayer{}, cut: map[netip.AddrPort]bool{}}
	stats := map[netip.AddrPort]*usageStats{}
	for _, r := range unequalFleet(clock) {
		s := &usageStats{}
		r.InstanceStats, r.Messenger = s, usageLink{f, r.Self}
		f.relayers[r.Self.Address], stats[r.Self.Address] = r, s
	}
	for range 8 {
		f.step(t, clock)
	}
	for a, s := range stats {
		require.EqualValues(t, 108, s.fleets["s"].Sum.Offered[1], a)
		require.EqualValues(t, 27, s.fleets["s"].Domains["d2"].Offered[1], a)
		require.EqualValues(t, 108, s.fleets["s"].Sum.Refused, a)
	}
	lost, _ := f.relayers[vm(0, 9).Address].leader("d0")
	f.cut[lost.Address] = true
	for range 12 {
		f.step(t, clock)
		for a, s := range stats {
			require.LessOrEqual(t, s.fleets["s"].Sum.Offered[1], int64(108), a)
		}
	}
	for a, s := range stats {
		if a == lost.Address {
			require.EqualValues(t, 1, s.fleets["s"].Sum.Offered[1], "a VM that is cut off knows only what it sees")
			continue
		}
		require.EqualValues(t, 107, s.fleets["s"].Sum.Offered[1], a)
	}
}

// The reports of usage that a leader sends to its domain and gets from it must fit the share of the link at every size.
func TestUsageFitsTheLink(t *testing.T) {
	for _, vms := range []int{10, 100, 800} {
		r := newTestRelayer(clockwork.NewFakeClock(), true)
		r.LinkSpeed = 10e6 // The leaders of the largest fleets have 200 Mbit/s.
		if vms == 800 {
			r.LinkSpeed = 200e6
		}
		services := map[string]aggregator.Counts{}
		for _, s := range []string{"service-a", "service-b", "service-c", "service-d"} {
			ns := [aggregator.Levels]int64{9000, 9000, 9000, 9000}
			services[s] = aggregator.Counts{Offered: ns, Admitted: ns, Rejected: ns, Sends: 30000, Refused: 9000, Ended: 30000, Unserved: 9000, Kept: 3000, Budget: 9000}
		}
		b := &wire.Beliefs{Usage: []*wire.DomainUsage{{Domain: "domain", Services: encodeUsage(services)}}}
		perService := proto.Size(b) / len(services)
		require.LessOrEqual(t, perService, usageEntryBytes)
		interval := time.Duration(0)
		for !r.usageDue(r.Clock.Now().Add(-interval), 3*len(services), vms) {
			interval += time.Millisecond
		}
		perSecond := float64(8*perService*3*len(services)*vms) / interval.Seconds()
		require.LessOrEqual(t, perSecond, 0.08*r.LinkSpeed, "%d VMs", vms)
	}
}

// An older daemon ignores the usage, and one that tells more levels apart must not lose requests here.
func TestUsageOfMoreLevelsCountsAtTheLast(t *testing.T) {
	ns := decodeLevels([]uint32{1, 0, 0, 2, 3, 4})
	require.Equal(t, [aggregator.Levels]int64{1, 0, 0, 9}, ns)
	require.Equal(t, ns, decodeLevels(encodeLevels(ns)))
}
