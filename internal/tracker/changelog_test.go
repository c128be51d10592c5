package tracker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// TestChangeLogHoldsAllChanges compares the changes in the log with those found by looking at everything.
func TestChangeLogHoldsAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		tr := New(clock, zap.NewNop())
		offset := uint64(0)
		for step := range 700 { // More than the log keeps.
			clock.Advance(time.Second)
			offset++
			n := rapid.IntRange(0, 5).Draw(t, "number")
			e := Entry{Instance: balancer.Instance{ID: fmt.Sprint("i", n), Incarnation: 1, Slots: 1 + step%3}, SequenceNumber: int64(step), Offset: offset}
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0, 1:
				tr.ApplyRegistrations(clock.Now(), []Entry{e}, false, offset+1)
			case 2:
				e.Condition = ConditionGone
				tr.ApplyRegistrations(clock.Now(), []Entry{e}, false, offset+1)
			case 3:
				vm := placer.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1), Incarnation: 1}
				tr.UpdateMember(Member{VM: vm, Role: Role(step % 3), AsOf: clock.Now()})
			case 4:
				tr.ObserveLimit(e.ID, e.Incarnation, float64(1+step%4), clock.Now())
			case 5:
				clock.Advance(goneTTL)
				tr.Expire()
			}
			if step%10 > 0 {
				continue
			}
			since := uint64(rapid.IntRange(0, int(tr.sequence)).Draw(t, "since"))
			got, _ := tr.ChangesSince(since)
			want := Changes{Complete: got.Complete}
			tr.appendAllChanges(&want, since)
			if got.Complete {
				want.Entries = tr.Entries()
			}
			require.ElementsMatch(t, want.Entries, got.Entries)
			require.ElementsMatch(t, want.Members, got.Members)
			require.ElementsMatch(t, want.Statements, got.Statements)
			require.LessOrEqual(t, len(tr.log.entries), 2*3*6+minChangeLog)
		}
	})
}
