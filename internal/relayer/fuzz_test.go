package relayer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Whatever a peer sends, a VM goes on, and takes only whole configurations.
func FuzzMessagesOfPeers(f *testing.F) {
	add := func(m proto.Message) {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	part := func(c router.Change) *wire.Reply {
		x, err := encodeContent(c)
		if err != nil {
			f.Fatal(err)
		}
		return &wire.Reply{Body: &wire.Reply_ConfigurationPart{ConfigurationPart: &wire.ConfigurationPart{
			Base: x.base, Version: x.version, Content: x.hash, Size: uint64(len(x.data)), Data: x.data,
		}}}
	}
	add(part(router.New(routes(2, 3)).Whole()))
	add(part(router.Change{Base: 9, Version: 10}))
	add(&wire.Reply{Body: &wire.Reply_Beliefs{Beliefs: &wire.Beliefs{
		Incarnation: 1, Sequence: 1 << 63, ConfigurationKnown: true, ConfigurationVersion: 1 << 62, ConfigurationEnd: 1 << 63, InstancesKnown: true, InstancesEnd: 1<<64 - 1,
		Registrations: []*wire.Registration{{Id: "i", Address: []byte{1}}}, Members: []*wire.Member{{Vm: &wire.VM{Address: []byte{1, 2}}}, nil},
		Seen: []*wire.Seen{{Counts: []uint32{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}}, nil}, Loads: []*wire.Load{nil}, LoadsKnown: true, Configuration: []byte("{"),
	}}})
	f.Fuzz(func(t *testing.T, b []byte) {
		var rep wire.Reply
		if proto.Unmarshal(b, &rep) != nil {
			return
		}
		r := newTestRelayer(clockwork.NewFakeClock(), true)
		r.InstanceStats = idleInstances{}
		peer := placer.VM{Address: netip.MustParseAddrPort("10.0.0.2:1"), Domain: "d"}
		if beliefs := rep.GetBeliefs(); beliefs != nil {
			r.applyBeliefs(peer, false, r.Clock.Now(), cursor{}, beliefs)
			r.applyBeliefs(peer, true, r.Clock.Now().Add(-time.Second), cursor{}, beliefs)
		}
		if p := rep.GetConfigurationPart(); p != nil {
			if done, err := r.transfers.addPart(p); err == nil && done {
				if c, err := decodeContent(r.transfers.partial.data); err == nil {
					var none *router.Table
					if n, err := none.Apply(c); err == nil {
						r.applyTable(n, r.transfers.partial)
					}
				}
			}
		}
	})
}
