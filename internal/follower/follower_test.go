package follower

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

// memoryLog is an in-memory log that keeps only the records from offset first on.
type memoryLog struct {
	first   uint64
	records map[string][][]byte
}

func (m *memoryLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	m.records[stream] = append(m.records[stream], data)
	return uint64(len(m.records[stream]) - 1), nil
}

func (m *memoryLog) Read(_ context.Context, stream string, from uint64, _ time.Duration) (Batch, error) {
	b := Batch{First: m.first, Next: uint64(len(m.records[stream]))}
	for o := max(from, m.first); o < b.Next; o++ {
		b.Entries = append(b.Entries, Entry{Offset: o, Data: m.records[stream][o]})
	}
	return b, nil
}

type fixture struct {
	*Follower
	log   *memoryLog
	clock *clockwork.FakeClock
	gaps  int
	t     *testing.T
}

func newFixture(t *testing.T, l *memoryLog) *fixture {
	t.Helper()
	f := &fixture{log: l, clock: clockwork.NewFakeClockAt(time.Unix(1e6, 0)), t: t}
	f.Follower = New(Options{
		Log: l, Clock: f.clock, Logger: zap.NewNop(), Witness: witness.New(5*time.Second, time.Second),
		Asserter: asserter.New(func(v asserter.Violation) { t.Error(v) }),
		OnMap: func(_, _ *mapper.Map, gap bool) {
			if gap {
				f.gaps++
			}
		},
		OnConfiguration: func(merger.Result) {},
	})
	return f
}

func (f *fixture) read() {
	f.t.Helper()
	require.NoError(f.t, f.readOnce(f.t.Context(), StreamConfiguration, &f.conf))
	require.NoError(f.t, f.readOnce(f.t.Context(), StreamFleet, &f.fleet))
}

func (f *fixture) change(base uint64, rate int) {
	b, err := merger.Record{
		Format: merger.Format, Team: "t", Base: base, At: f.clock.Now(),
		Document: fmt.Sprintf(`{"clientAccounts": {"a": {"rate": %d, "burst": 1}}}`, rate),
	}.Encode()
	require.NoError(f.t, err)
	_, _ = f.log.Append(f.t.Context(), StreamConfiguration, b)
}

func (f *fixture) appendMap(c mapper.Change) {
	b, err := c.Encode()
	require.NoError(f.t, err)
	_, _ = f.log.Append(f.t.Context(), StreamFleet, b)
}

func vm(i int) placer.VM {
	return placer.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Domain: "a", Incarnation: 1}
}

func newLog() *memoryLog { return &memoryLog{records: map[string][][]byte{}} }

// TestChangesDoNotCountAsSnapshots checks that a team whose configuration changes every hour still needs a snapshot
// every 6 hours.
func TestChangesDoNotCountAsSnapshots(t *testing.T) {
	f := newFixture(t, newLog())
	for i := range 10 {
		f.change(uint64(i), i+1)
		f.clock.Advance(time.Hour)
		f.read()
	}
	due := f.DueSnapshots(6 * time.Hour)
	require.Len(t, due, 1)
	b, err := due[0].Encode()
	require.NoError(t, err)
	_, _ = f.log.Append(t.Context(), StreamConfiguration, b)
	f.read()
	require.Empty(t, f.DueSnapshots(6*time.Hour))
	f.clock.Advance(7 * time.Hour)
	require.Len(t, f.DueSnapshots(6*time.Hour), 1)
}

// TestGapKeepsConfiguration checks that a VM which missed dropped records keeps the configuration in force, but has
// no contact until snapshots of the configuration and of the map close the gap.
func TestGapKeepsConfiguration(t *testing.T) {
	l := newLog()
	f, other := newFixture(t, l), newFixture(t, l)
	f.change(0, 1)
	f.appendMap(mapper.Change{Format: mapper.Format, Members: []mapper.Member{{VM: vm(1)}}})
	f.read()
	require.True(t, f.Witness.InContact(f.clock.Now()))
	f.change(1, 2)
	f.appendMap(mapper.Change{Format: mapper.Format, Replaces: 1, Added: []placer.VM{vm(2)}})
	other.read()
	l.first = 2
	f.clock.Advance(time.Minute)
	f.read()
	require.Equal(t, uint64(1), f.Index().Versions["t"], "the configuration in force must stay")
	require.False(t, f.Witness.InContact(f.clock.Now()), "the missed records are unknown, so there must be no contact")

	due := other.DueSnapshots(0)
	b, err := due[0].Encode()
	require.NoError(t, err)
	_, _ = l.Append(t.Context(), StreamConfiguration, b)
	f.appendMap(other.Map().Snapshot())
	f.read()
	require.Equal(t, uint64(2), f.Index().Versions["t"])
	require.Len(t, f.Map().Members(), 2)
	require.Equal(t, 1, f.gaps)
	require.True(t, f.Witness.InContact(f.clock.Now()))
}

// TestCatchUpFromPeer checks that a VM which cannot read the log catches up from the state and the records of a peer.
func TestCatchUpFromPeer(t *testing.T) {
	l := newLog()
	a, b := newFixture(t, l), newFixture(t, newLog())
	a.change(0, 1)
	a.read()
	state, err := a.State().Encode()
	require.NoError(t, err)
	require.False(t, b.Ready())
	require.NoError(t, b.Restore(state))
	require.True(t, b.Ready())
	require.Equal(t, uint64(1), b.Index().Versions["t"])
	a.change(1, 2)
	a.read()
	es, next, ok := a.Relay(StreamConfiguration, b.Position().ConfigurationNext)
	require.True(t, ok)
	require.Equal(t, uint64(2), next)
	b.ApplyRelayed(StreamConfiguration, []Entry{{Offset: 9, Data: []byte("not next")}})
	b.ApplyRelayed(StreamConfiguration, es)
	require.Equal(t, uint64(2), b.Index().Versions["t"])
	require.NoError(t, b.Restore(state), "an older state must change nothing")
	require.Equal(t, uint64(2), b.Index().Versions["t"])
	_, _, ok = b.Relay(StreamConfiguration, 0)
	require.False(t, ok, "records before the restored state are not kept")
}

// TestFirstMapAfterDroppedRecords checks that a new first map is accepted after the log dropped all records of the
// stream.
func TestFirstMapAfterDroppedRecords(t *testing.T) {
	l := newLog()
	l.records[StreamFleet] = make([][]byte, 3)
	l.records[StreamConfiguration] = make([][]byte, 3)
	l.first = 3
	f := newFixture(t, l)
	f.read()
	f.appendMap(mapper.Change{Format: mapper.Format, Replaces: f.BootstrapBase(), Members: []mapper.Member{{VM: vm(1)}}})
	f.read()
	require.Len(t, f.Map().Members(), 1)
}
