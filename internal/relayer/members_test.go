package relayer

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// memberSource is a store in which the list of VMs changes from one read to the next.
type memberSource struct {
	Source
	lists []Read[tracker.Member]
	reads int
}

func (s *memberSource) Peers(context.Context, Position) (Read[tracker.Member], error) {
	l := s.lists[min(s.reads, len(s.lists)-1)]
	s.reads++
	return l, nil
}

func TestVMsOfNewFleetOwnNoRateBeforeAllAreAnnounced(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	earlier := now.Add(-time.Minute)
	member := func(i int, startedAt time.Time) tracker.Member {
		m := tracker.Member{VM: vm(1, i), Capacity: 1, AsOf: now}
		m.Incarnation = placer.NewIncarnation(startedAt)
		return m
	}
	list := func(end uint64, ms ...tracker.Member) Read[tracker.Member] {
		return Read[tracker.Member]{Items: ms, Snapshot: true, Next: Position{Offset: end, Known: true}}
	}
	for _, c := range []struct {
		name   string
		formed bool
		first  Read[tracker.Member]
	}{
		{"no other VM is announced", false, list(0)},
		{"all VMs start", false, list(2, member(1, now), member(2, now))},
		{"one VM starts", true, list(2, member(1, earlier), member(2, now))},
		{"all VMs start again", true, list(5, member(1, now), member(2, now))},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(now)
			r := newTestRelayer(clock, true)
			last := list(3, member(1, now), member(2, now), member(3, now))
			r.Source = &memberSource{lists: []Read[tracker.Member]{c.first, last}}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				r.readPeers(ctx)
				close(ended)
			}()
			require.NoError(t, clock.BlockUntilContext(ctx, 1))
			require.Equal(t, c.formed, r.Tracker.MembersKnown())
			clock.Advance(formationTime)
			require.Eventually(t, r.Tracker.MembersKnown, time.Minute, time.Millisecond)
			if !c.formed {
				require.Len(t, r.Tracker.Members(), 4)
			}
			cancel()
			clock.Advance(time.Hour)
			<-ended
		})
	}
}
