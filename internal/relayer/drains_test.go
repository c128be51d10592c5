package relayer

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// A VM that starts gets the drains before the configuration that lets it serve, and continues to read the operator's records
// behind them.
func TestDrainsArriveWithTheConfigurationThatCoversThem(t *testing.T) {
	rs, _, as := newPeers(2)
	rs[0].Tracker.ApplyDrains([]tracker.Drain{{Domain: "d", Drained: true, Offset: tracker.Offset(1, 7)}})
	rs[0].applyTable(router.New(routes(1, 1)), content{})
	rs[0].Tracker.MarkTableFresh(1, rs[0].Clock.Now(), tracker.Offset(1, 8))
	require.NoError(t, rs[1].exchange(t.Context(), placer.VM{Address: as[0], Domain: "d"}, 0, false))
	require.Equal(t, []string{"d"}, rs[1].Tracker.DrainedDomains())
	require.Zero(t, version(rs[1]))
	require.NoError(t, rs[1].fetchFrom(t.Context(), as[0]))
	require.EqualValues(t, 1, version(rs[1]))
	rs[0].Tracker.ApplyDrains([]tracker.Drain{{Domain: "d", Offset: tracker.Offset(1, 9)}})
	require.NoError(t, rs[1].exchange(t.Context(), placer.VM{Address: as[0], Domain: "d"}, 0, false))
	require.Empty(t, rs[1].Tracker.DrainedDomains())
}

// A daemon of the former build skips the records of drains, so its reads must not count as this VM's.
func TestConfigurationOfADaemonWithoutDrainsIsNotConfirmed(t *testing.T) {
	r := newTestRelayer(clockwork.NewFakeClock(), true)
	r.applyTable(router.New(routes(1, 1)), content{})
	b := &wire.Beliefs{ConfigurationKnown: true, ConfigurationVersion: 1, ConfigurationEnd: 9}
	r.applyVersion(r.Self.Address, b, r.Clock.Now())
	_, at := r.Tracker.Table()
	require.True(t, at.IsZero())
	b.DrainsKnown = true
	r.applyVersion(r.Self.Address, b, r.Clock.Now())
	_, at = r.Tracker.Table()
	require.False(t, at.IsZero())
}

func TestReadsOfDrainsAddUp(t *testing.T) {
	var f drainReads
	on := func(d string) tracker.Drain { return tracker.Drain{Domain: d, Drained: true} }
	f.add([]tracker.Drain{on("a"), on("b")}, true)
	f.add([]tracker.Drain{{Domain: "a"}, on("c")}, false)
	require.ElementsMatch(t, []string{"b", "c"}, f.names())
	f.add([]tracker.Drain{on("c")}, true)
	require.ElementsMatch(t, []string{"c"}, f.names())
	f.learn([]string{"e"})
	require.ElementsMatch(t, []string{"e"}, f.names())
}
