package relayer

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// noStatementAge is the age of a statement that only names an instance, in milliseconds. Daemons that take it for the end of a
// limit find it older than any.
const noStatementAge = uint32(time.Hour / time.Millisecond)

// toTakeSend returns the question to the owner of an instance's limit.
func toTakeSend(now time.Time, instance string, l tracker.SendLimit) *wire.TakeSend {
	m := &wire.TakeSend{Limit: &wire.Statement{Instance: instance, AgeMs: noStatementAge}}
	if l.Stated.Rate > 0 {
		m.Limit = toStatement(now, l.Stated)
	}
	if l.WarmingUp {
		m.Warmup = toWarmup(now, l.Warmup)
	}
	return m
}

// toWarmup rounds up what is left of a warm-up, so that it does not seem to end earlier than it does.
func toWarmup(now time.Time, w tracker.Warmup) *wire.Warmup {
	return &wire.Warmup{Instance: w.Instance, Incarnation: w.Incarnation, RemainingMs: uint32(max(0, w.WarmAt.Sub(now).Milliseconds()+1))}
}

func toWarmups(now time.Time, ws []tracker.Warmup) []*wire.Warmup {
	ms := make([]*wire.Warmup, 0, len(ws))
	for _, w := range ws {
		if w.WarmAt.After(now) {
			ms = append(ms, toWarmup(now, w))
		}
	}
	return ms
}

func fromWarmups(now time.Time, ms []*wire.Warmup) []tracker.Warmup {
	ws := make([]tracker.Warmup, 0, len(ms))
	for _, m := range ms {
		ws = append(ws, tracker.Warmup{
			Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), WarmAt: now.Add(time.Duration(m.GetRemainingMs()) * time.Millisecond),
		})
	}
	return ws
}
