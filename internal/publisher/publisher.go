package publisher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

const (
	// maxAttempts is the maximum number of attempts to append one change.
	maxAttempts = 4
	// retryInterval is the delay between two attempts.
	retryInterval = 300 * time.Millisecond
)

// ErrUnconfirmed is returned when the outcome of a change could not be determined: the log may or may not hold it.
var ErrUnconfirmed = errors.New("the log did not confirm the change; check the history before publishing again")

// Entry is a configuration record with its offset in the log and its result.
type Entry struct {
	Offset uint64
	Result merger.Result
}

// Configuration is the configuration tree and its history, as read from the log.
type Configuration struct {
	Tree    *merger.Tree
	History []Entry
}

// Load reads the configuration from the log, from the oldest record that the log keeps to the end.
func Load(ctx context.Context, l follower.Log) (*Configuration, error) {
	var c *Configuration
	for from := uint64(0); ; {
		b, err := l.Read(ctx, follower.StreamConfiguration, from, 0)
		if err != nil {
			return nil, err
		}
		if c == nil {
			c = &Configuration{Tree: merger.New(b.First, nil)}
		}
		for _, e := range b.Entries {
			c.History = append(c.History, Entry{e.Offset, c.Tree.Apply(e.Offset, e.Data)})
			from = e.Offset + 1
		}
		if from >= b.Next {
			c.Tree.ResolvePending()
			return c, nil
		}
	}
}

// Find returns the first record with the ID of a change. The log may hold several, since an append is retried.
func (c *Configuration) Find(id string) (Entry, bool) {
	for _, e := range c.History {
		if e.Result.Record.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// Change is a new document for the subtree of one team, based on version Base.
type Change struct {
	Team     string
	Base     uint64
	Document string
	Author   string
}

// Publish appends a change and returns its entry with the outcome. If a response of the log
// is lost, it searches the log for the change before it appends the change again. An invalid
// document is not appended; the error lists all findings. If no attempt confirms the change,
// it returns ErrUnconfirmed combined with the last error.
func Publish(ctx context.Context, l follower.Log, ch Change, now func() time.Time) (Entry, error) {
	if !merger.ValidName(ch.Team) {
		return Entry{}, errors.Newf("%q is not a valid team name", ch.Team)
	}
	if _, err := merger.ParseDocument(ch.Team, []byte(ch.Document)); err != nil {
		return Entry{}, err
	}
	r := merger.Record{
		Format: merger.Format, Kind: merger.KindChange, Team: ch.Team, ID: newID(), Author: ch.Author,
		At: now(), Base: ch.Base, Document: ch.Document,
	}
	b, err := r.Encode()
	if err != nil {
		return Entry{}, errors.Wrap(err, "encode change")
	}
	var last error
	for i := range maxAttempts {
		if i > 0 {
			if err := sleep(ctx); err != nil {
				return Entry{}, errors.CombineErrors(ErrUnconfirmed, last)
			}
		}
		if e, found, err := attempt(ctx, l, r.ID, b, i > 0); found {
			return e, nil
		} else if err != nil {
			last = err
		}
	}
	return Entry{}, errors.CombineErrors(ErrUnconfirmed, last)
}

// attempt appends the change and reads it back from the log. If search is true, it first searches the log for the
// change and does not append it again if it is there.
func attempt(ctx context.Context, l follower.Log, id string, record []byte, search bool) (Entry, bool, error) {
	if search {
		c, err := Load(ctx, l)
		if err != nil {
			return Entry{}, false, err
		}
		if e, ok := c.Find(id); ok {
			return e, true, nil
		}
	}
	_, appendErr := l.Append(ctx, follower.StreamConfiguration, record)
	c, err := Load(ctx, l)
	if err != nil {
		return Entry{}, false, errors.CombineErrors(appendErr, err)
	}
	e, ok := c.Find(id)
	return e, ok, appendErr
}

// sleep waits for retryInterval, or returns the error of a canceled context.
func sleep(ctx context.Context) error {
	t := time.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // rand.Read never fails.
	return hex.EncodeToString(b[:])
}
