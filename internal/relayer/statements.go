package relayer

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

func toStatement(now time.Time, s tracker.Statement) *wire.Statement {
	return &wire.Statement{Instance: s.Instance, Incarnation: s.Incarnation, Rate: s.Rate, AgeMs: ageMs(now, s.AsOf), Leaving: s.Leaving}
}

// fromStatement is the inverse of toStatement. The time that the message took is unknown, so a limit seems later than it is.
func fromStatement(now time.Time, m *wire.Statement) tracker.Statement {
	return tracker.Statement{
		Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), Rate: m.GetRate(),
		AsOf: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond), Leaving: m.GetLeaving(),
	}
}

// fromStatements decodes statements in a message that was sent at the given time or later. The end of a limit must not seem
// later than it is, else it could hide a limit that came after it.
func fromStatements(now, sent time.Time, ms []*wire.Statement) []tracker.Statement {
	ss := make([]tracker.Statement, 0, len(ms))
	for _, m := range ms {
		at := now
		if m.GetRate() == 0 {
			at = sent
		}
		ss = append(ss, fromStatement(at, m))
	}
	return ss
}

func toStatements(now time.Time, ss []tracker.Statement) []*wire.Statement {
	ms := make([]*wire.Statement, 0, len(ss))
	for _, s := range ss {
		ms = append(ms, toStatement(now, s))
	}
	return ms
}
