package relayer

import (
	"testing"
	"time"

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
	now := time.Unix(0, 0)
	read := func(epoch uint64, snapshot bool, ds ...tracker.Drain) {
		f.add(now, Read[router.Configuration]{Drains: ds, Snapshot: snapshot, Next: Position{Epoch: epoch}})
	}
	on := func(d string) tracker.Drain { return tracker.Drain{Domain: d, Drained: true} }
	read(1, true, on("a"), on("b"))
	read(1, false, tracker.Drain{Domain: "a"}, on("c"))
	require.ElementsMatch(t, []string{"b", "c"}, f.names())
	read(1, true, on("c"))
	require.ElementsMatch(t, []string{"c"}, f.names())
	f.learn(now, 1, []string{"e"})
	require.ElementsMatch(t, []string{"e"}, f.names())
}

// A VM that starts just after a restore must not take for ended what its peers know to be drained, and the copy lacks.
func TestReadsOfDrainsSettleAfterTheFirstInAnEpoch(t *testing.T) {
	var f drainReads
	now := time.Unix(0, 0)
	read := func(epoch uint64) bool {
		f.add(now, Read[router.Configuration]{Next: Position{Epoch: epoch}})
		return f.settled(now)
	}
	for _, epoch := range []uint64{1, 2} {
		require.False(t, read(epoch))
		now = now.Add(drainSettleTime - 1)
		require.False(t, read(epoch))
		now = now.Add(1)
		require.True(t, read(epoch))
	}
	f.learn(now, 3, nil)
	require.False(t, read(3))
}
