package relayer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// BenchmarkLeaderExchange measures what one exchange of a follower costs its leader, with the VMs and instances of a large
// deployment. A leader of 85 followers has up to 1,400 a second.
func BenchmarkLeaderExchange(b *testing.B) {
	const vms, followers, instances = 443, 85, 540
	clock := clockwork.NewFakeClock()
	r := newTestRelayer(clock, true)
	r.InstanceStats, r.LinkSpeed = idleInstances{}, 200e6
	r.Tracker.ApplyConfiguration(router.Configuration{Version: 1})
	var peers []placer.VM
	for i := range vms - 1 {
		vm := placer.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)}), 1), Domain: fmt.Sprint("d", i%5), Incarnation: 1}
		if i < followers {
			vm.Domain = r.Self.Domain
			peers = append(peers, vm)
		}
		r.Tracker.UpdateMember(tracker.Member{VM: vm, Role: tracker.RoleReady, Capacity: 0.01, AsOf: clock.Now()})
	}
	var entries []tracker.Entry
	var loads []*wire.Load
	for i := range instances {
		id := fmt.Sprintf("i-%010x", i)
		entries = append(entries, tracker.Entry{Instance: balancer.Instance{
			ID: id, Incarnation: 1, Service: "s", Domain: "d", Slots: 4, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i / 200), byte(i % 200)}), 1),
		}, SequenceNumber: 1, Offset: uint64(i)})
		if i%20 == 0 {
			loads = append(loads, &wire.Load{Instance: id, Running: 1})
		}
	}
	r.Tracker.ApplyRegistrations(clock.Now(), entries, true, instances)
	sequences := make([]uint64, len(peers))
	b.ReportAllocs()
	size := 0
	for i := 0; b.Loop(); i++ {
		if i%len(peers) == 0 {
			clock.Advance(60 * time.Millisecond)
		}
		p := i % len(peers)
		rep := r.handleExchange(b.Context(), peers[p], &wire.Exchange{
			Incarnation: 1, Sequence: sequences[p], FetchesConfiguration: true, LoadsKnown: true, Loads: loads, Role: uint32(tracker.RoleReady), Capacity: 0.01,
		})
		sequences[p] = rep.GetSequence()
		data, err := proto.Marshal(rep)
		if err != nil {
			b.Fatal(err)
		}
		size += len(data)
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/reply")
}
