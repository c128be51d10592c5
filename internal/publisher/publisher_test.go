package publisher_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/publisher"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

// log is a log in memory that fails some appends, before or after they take effect.
type log struct {
	records [][]byte
	// lose is how many of the next appends take effect but return an error; drop is how many have no effect and return
	// an error.
	lose, drop int
	// before is called once, at the next append.
	before func()
}

var errLost = errors.New("lost")

func (l *log) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	if f := l.before; f != nil {
		l.before = nil
		f()
	}
	if l.drop > 0 {
		l.drop--
		return 0, errLost
	}
	l.records = append(l.records, data)
	if l.lose > 0 {
		l.lose--
		return 0, errLost
	}
	return uint64(len(l.records) - 1), nil
}

func (l *log) Read(_ context.Context, _ string, from uint64, _ time.Duration) (follower.Batch, error) {
	b := follower.Batch{Next: uint64(len(l.records))}
	for o := from; o < b.Next; o++ {
		b.Entries = append(b.Entries, follower.Entry{Offset: o, Data: l.records[o]})
	}
	return b, nil
}

func publish(t *testing.T, l *log, base uint64, text string) publisher.Entry {
	t.Helper()
	e, err := publisher.Publish(t.Context(), l, publisher.Change{Team: "t", Base: base, Document: text}, time.Now)
	require.NoError(t, err)
	return e
}

func TestLostAnswers(t *testing.T) {
	l := &log{lose: 1}
	require.Equal(t, merger.OutcomeAccepted, publish(t, l, 0, "{}").Result.Outcome)
	require.Len(t, l.records, 1, "the change is found in the log and must not be appended again")
	l.drop = 2
	require.Equal(t, merger.OutcomeAccepted, publish(t, l, 1, "{}").Result.Outcome)
	require.Len(t, l.records, 2)
}

func TestRaceIsLostOnce(t *testing.T) {
	l := &log{}
	publish(t, l, 0, "{}")
	l.before = func() { publish(t, l, 1, "{} // other") }
	e := publish(t, l, 1, "{} // mine")
	require.Equal(t, merger.OutcomeStale, e.Result.Outcome)
	c, err := publisher.Load(t.Context(), l)
	require.NoError(t, err)
	s, _ := c.Tree.Team("t")
	require.Equal(t, "{} // other", s.Text)
}

func TestGivesUpAndSaysSo(t *testing.T) {
	l := &log{drop: 100}
	_, err := publisher.Publish(t.Context(), l, publisher.Change{Team: "t", Document: "{}"}, time.Now)
	require.ErrorContains(t, err, "did not confirm")
}

func TestBadDocumentIsNotAppended(t *testing.T) {
	l := &log{}
	_, err := publisher.Publish(t.Context(), l, publisher.Change{Team: "t", Document: `{"servces": {}}`}, time.Now)
	require.ErrorContains(t, err, `t:1:2: servces: is no known name; did you mean "services"?`)
	require.Empty(t, l.records)
}
