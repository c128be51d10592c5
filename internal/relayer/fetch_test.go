package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// peersOf is a messenger that calls relayers in this process; lost says which calls get no reply.
type peersOf struct {
	relayers map[netip.AddrPort]*Relayer
	lost     func(to netip.AddrPort) bool
	parts    int
}

func (p *peersOf) Call(ctx context.Context, to netip.AddrPort, req *wire.Request) (*wire.Reply, error) {
	if p.lost != nil && p.lost(to) {
		return nil, errors.Mark(errors.New("no reply"), messenger.ErrNoReply)
	}
	rep, _, err := p.relayers[to].Handle(ctx, placer.VM{Domain: "d"}, req)
	if err != nil {
		return nil, errors.Mark(err, messenger.ErrRefused)
	}
	if rep.GetConfigurationPart() != nil {
		p.parts++
	}
	return rep, nil
}

// idleInstances are instances without requests.
type idleInstances struct{}

func (idleInstances) ApplyReports([]InstanceReport)  {}
func (idleInstances) SetPeerInFlight(map[string]int) {}
func (idleInstances) InFlight() map[string]int       { return nil }

func (idleInstances) Usage() map[string]aggregator.Counts  { return nil }
func (idleInstances) SetUsage(map[string]aggregator.Fleet) {}

func routes(version int64, n int) router.Configuration {
	c := router.Configuration{Version: version}
	for i := range n {
		x := uint64(i+1) * 0x9e3779b97f4a7c15
		c.Routes = append(c.Routes, router.Route{Name: fmt.Sprint(x), Host: "a", Prefix: fmt.Sprintf("/%x/", x), Timeout: time.Duration(version)})
	}
	return c
}

// newPeers returns relayers with addresses 10.0.0.1, 10.0.0.2 and so on that know nothing.
func newPeers(n int) ([]*Relayer, *peersOf, []netip.AddrPort) {
	p := &peersOf{relayers: map[netip.AddrPort]*Relayer{}}
	var rs []*Relayer
	var as []netip.AddrPort
	for i := range n {
		r := newTestRelayer(clockwork.NewFakeClock(), true)
		r.Messenger, r.InstanceStats = p, idleInstances{}
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		p.relayers[a] = r
		rs, as = append(rs, r), append(as, a)
	}
	return rs, p, as
}

func version(r *Relayer) int64 {
	t, _ := r.Tracker.Table()
	if t == nil {
		return 0
	}
	return t.Version
}

func TestInterruptedTransferGoesOnAtAnotherVM(t *testing.T) {
	rs, p, as := newPeers(3)
	rs[0].applyTable(router.New(routes(1, 5000)), content{})
	require.NoError(t, rs[1].fetchFrom(t.Context(), as[0]))
	total := p.parts
	require.Greater(t, total, 3)

	p.parts = 0
	p.lost = func(to netip.AddrPort) bool { return to == as[0] && p.parts >= total/2 }
	require.Error(t, rs[2].fetchFrom(t.Context(), as[0]))
	require.Zero(t, version(rs[2]))
	require.NoError(t, rs[2].fetchFrom(t.Context(), as[1]))
	require.EqualValues(t, 1, version(rs[2]))
	require.Equal(t, total, p.parts, "no part is sent twice")
}

func TestTransferOfVersionThatWasReplacedIsCompleted(t *testing.T) {
	rs, p, as := newPeers(2)
	rs[0].applyTable(router.New(routes(1, 10)), content{})
	require.NoError(t, rs[1].fetchFrom(t.Context(), as[0]))
	rs[0].applyTable(router.New(routes(2, 5000)), content{})
	n := int64(2)
	p.parts = 0
	p.lost = func(netip.AddrPort) bool {
		// With each part a further version comes into force.
		n++
		c := routes(2, 5000)
		c.Version = n
		rs[0].applyTable(router.New(c), content{})
		return n > 20
	}
	require.Error(t, rs[1].fetchFrom(t.Context(), as[0]))
	require.Greater(t, version(rs[1]), int64(2))
}

func TestVMThatIsFarBehindGetsWholeConfiguration(t *testing.T) {
	rs, p, as := newPeers(2)
	rs[0].applyTable(router.New(routes(1, 3)), content{})
	require.NoError(t, rs[1].fetchFrom(t.Context(), as[0]))
	for v := int64(2); v < 2+3*maxSteps; v++ {
		rs[0].applyTable(router.New(routes(v, 3)), content{})
	}
	p.parts = 0
	require.NoError(t, rs[1].fetchFrom(t.Context(), as[0]))
	require.EqualValues(t, 1+3*maxSteps, version(rs[1]))
	require.Equal(t, 2, p.parts, "the configuration, and that there is nothing newer")
}

func TestDaemonOfTheFormerBuildGetsWholeConfiguration(t *testing.T) {
	rs, _, _ := newPeers(1)
	rs[0].applyTable(router.New(routes(1, 3)), content{})
	former := rs[0].handleExchange(t.Context(), placer.VM{Domain: "d"}, &wire.Exchange{})
	require.NotEmpty(t, former.GetConfiguration())
	b := rs[0].handleExchange(t.Context(), placer.VM{Domain: "d"}, &wire.Exchange{FetchesConfiguration: true})
	require.Empty(t, b.GetConfiguration())
	require.EqualValues(t, 1, b.GetConfigurationVersion())
}

func TestDamagedConfigurationIsNotApplied(t *testing.T) {
	rs, _, _ := newPeers(1)
	tr := rs[0].transfers
	for _, p := range []*wire.ConfigurationPart{
		{Version: 2, Content: 1, Size: 3, Data: []byte("abc")},
		{Version: 2, Content: 1, Size: 3, Offset: 1, Data: []byte("bc")},
		{Version: 2, Content: 1, Size: 3},
		{Version: 2, Content: 1, Size: 1 << 40, Data: []byte("abc")},
	} {
		_, err := tr.addPart(p)
		require.Error(t, err)
		require.Empty(t, tr.partial.data)
	}
	_, err := decodeContent([]byte("abc"))
	require.Error(t, err)
}

// A leader with a slow link must not fill it with configurations.
func TestTransfersKeepToAShareOfTheLink(t *testing.T) {
	rs, p, as := newPeers(2)
	rs[0].applyTable(router.New(routes(1, 5000)), content{})
	rs[0].transfers.pace = rate.NewLimiter(partBytes, partBytes)
	require.True(t, errors.Is(rs[1].fetchFrom(t.Context(), as[0]), messenger.ErrRefused))
	sent := p.parts
	require.Positive(t, sent)
	rs[0].Clock.(*clockwork.FakeClock).Advance(time.Second)
	require.True(t, errors.Is(rs[1].fetchFrom(t.Context(), as[0]), messenger.ErrRefused))
	require.Equal(t, sent+1, p.parts, "one more part after the time of one")
}

// A VM that read the store itself after a while read again what it had from its peers.
func TestStoreIsReadFromWhereThePeersHaveRead(t *testing.T) {
	var f configurationReads
	rs, _, _ := newPeers(1)
	rs[0].applyTable(router.New(routes(5, 1)), content{})
	rs[0].Tracker.MarkTableFresh(5, rs[0].Clock.Now(), 1<<48|9)
	v, end := rs[0].Tracker.TableEnd()
	require.Equal(t, Position{Epoch: 1, Offset: 9, Known: true}, f.learn(v, end))
	began := rs[0].Clock.Now()
	f.add(began, Read[router.Configuration]{Next: Position{Epoch: 1, Offset: 9, Known: true}})
	require.True(t, f.current(began))
	require.EqualValues(t, 5, f.newest)
}

// A leader that has read a restored store, but not asked its peers yet, would pass on what had been withdrawn since the copy.
func TestStartingLeaderPassesNothingOn(t *testing.T) {
	rs, _, _ := newPeers(1)
	r := rs[0]
	r.starting.Store(true)
	r.applyTable(router.New(routes(1, 3)), content{})
	r.Tracker.MarkTableFresh(1, r.Clock.Now(), 1)
	r.Tracker.ApplyRegistrations(r.Clock.Now(), []tracker.Entry{{Instance: balancer.Instance{ID: "i"}}}, true, 2)
	ask := func(sequence uint64) *wire.Beliefs {
		return r.handleExchange(t.Context(), placer.VM{Domain: "d"}, &wire.Exchange{Incarnation: 1, Sequence: sequence, FetchesConfiguration: true})
	}
	b := ask(0)
	require.False(t, b.GetConfigurationKnown() || b.GetInstancesKnown())
	require.Zero(t, b.GetConfigurationVersion())
	require.Empty(t, b.GetRegistrations())
	r.starting.Store(false)
	b = ask(b.GetSequence())
	require.True(t, b.GetConfigurationKnown() && b.GetInstancesKnown())
	require.EqualValues(t, 1, b.GetConfigurationVersion())
	require.Len(t, b.GetRegistrations(), 1)
}
