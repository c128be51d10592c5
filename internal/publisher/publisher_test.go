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

// memoryLog is an in-memory log that fails some appends, before or after they take effect.
type memoryLog struct {
	records [][]byte
	// failAfter is how many of the next appends take effect but return an error; failBefore is how many have no
	// effect and return an error.
	failAfter, failBefore int
	// beforeAppend is called once, at the next append.
	beforeAppend func()
}

var errLost = errors.New("lost")

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	if f := l.beforeAppend; f != nil {
		l.beforeAppend = nil
		f()
	}
	if l.failBefore > 0 {
		l.failBefore--
		return 0, errLost
	}
	l.records = append(l.records, data)
	if l.failAfter > 0 {
		l.failAfter--
		return 0, errLost
	}
	return uint64(len(l.records) - 1), nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from uint64, _ time.Duration) (follower.Batch, error) {
	b := follower.Batch{Next: uint64(len(l.records))}
	for o := from; o < b.Next; o++ {
		b.Entries = append(b.Entries, follower.Entry{Offset: o, Data: l.records[o]})
	}
	return b, nil
}

func publish(t *testing.T, l *memoryLog, base uint64, text string) publisher.Entry {
	t.Helper()
	e, err := publisher.Publish(t.Context(), l, publisher.Change{Team: "t", Base: base, Document: text}, time.Now)
	require.NoError(t, err)
	return e
}

func TestLostResponses(t *testing.T) {
	l := &memoryLog{failAfter: 1}
	require.Equal(t, merger.OutcomeAccepted, publish(t, l, 0, "{}").Result.Outcome)
	require.Len(t, l.records, 1, "the change is found in the log and must not be appended again")
	l.failBefore = 2
	require.Equal(t, merger.OutcomeAccepted, publish(t, l, 1, "{}").Result.Outcome)
	require.Len(t, l.records, 2)
}

func TestConcurrentChangeIsStale(t *testing.T) {
	l := &memoryLog{}
	publish(t, l, 0, "{}")
	l.beforeAppend = func() { publish(t, l, 1, "{} // other") }
	e := publish(t, l, 1, "{} // mine")
	require.Equal(t, merger.OutcomeStale, e.Result.Outcome)
	c, err := publisher.Load(t.Context(), l)
	require.NoError(t, err)
	s, _ := c.Tree.Team("t")
	require.Equal(t, "{} // other", s.Text)
}

func TestUnconfirmedChange(t *testing.T) {
	l := &memoryLog{failBefore: 100}
	_, err := publisher.Publish(t.Context(), l, publisher.Change{Team: "t", Document: "{}"}, time.Now)
	require.ErrorContains(t, err, "did not confirm")
}

func TestInvalidDocumentIsNotAppended(t *testing.T) {
	l := &memoryLog{}
	_, err := publisher.Publish(t.Context(), l, publisher.Change{Team: "t", Document: `{"servces": {}}`}, time.Now)
	require.ErrorContains(t, err, `t:1:2: servces: is no known name; did you mean "services"?`)
	require.Empty(t, l.records)
}
