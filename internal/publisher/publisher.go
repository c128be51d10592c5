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
	// tries bounds the appends of one change.
	tries = 4
	// pause is the time between two tries.
	pause = 300 * time.Millisecond
)

// ErrUnknown is returned when it could not be learned what became of a change.
var ErrUnknown = errors.New("the log did not confirm the change; look at the history before publishing again")

// Entry is a record of the configuration with its outcome.
type Entry struct {
	Offset uint64
	Result merger.Result
}

// Configuration is the tree and its history as the log tells them.
type Configuration struct {
	Tree    *merger.Tree
	History []Entry
}

// Load reads the configuration from the log.
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
			c.History = append(c.History, Entry{e.Offset, c.Tree.Append(e.Offset, e.Data)})
			from = e.Offset + 1
		}
		if from >= b.Next {
			c.Tree.ResolvePending()
			return c, nil
		}
	}
}

// Find returns the first record of a change.
func (c *Configuration) Find(id string) (Entry, bool) {
	for _, e := range c.History {
		if e.Result.Record.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// Change is what an operator wants to publish.
type Change struct {
	Team     string
	Base     uint64
	Document string
	Author   string
}

// Publish appends a change and returns its outcome. It is safe when answers of the log are
// lost: it looks for the change on the log before it appends it again. An invalid document
// is refused before it is appended, with all findings.
func Publish(ctx context.Context, l follower.Log, ch Change, now func() time.Time) (Entry, error) {
	if !merger.ValidName(ch.Team) {
		return Entry{}, errors.Newf("%q is no valid name of a team", ch.Team)
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
		return Entry{}, errors.Wrap(err, "change")
	}
	var last error
	for try := range tries {
		if try > 0 {
			if err := sleep(ctx); err != nil {
				return Entry{}, errors.CombineErrors(ErrUnknown, last)
			}
		}
		if e, found, err := attempt(ctx, l, r.ID, b, try > 0); found {
			return e, nil
		} else if err != nil {
			last = err
		}
	}
	return Entry{}, errors.CombineErrors(ErrUnknown, last)
}

// attempt appends the change, unless it is on the log already, and looks for it.
func attempt(ctx context.Context, l follower.Log, id string, record []byte, look bool) (Entry, bool, error) {
	if look {
		c, err := Load(ctx, l)
		if err != nil {
			return Entry{}, false, err
		}
		if e, ok := c.Find(id); ok {
			return e, true, nil
		}
	}
	_, failed := l.Append(ctx, follower.StreamConfiguration, record)
	c, err := Load(ctx, l)
	if err != nil {
		return Entry{}, false, errors.CombineErrors(failed, err)
	}
	e, ok := c.Find(id)
	return e, ok, failed
}

func sleep(ctx context.Context) error {
	t := time.NewTimer(pause)
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
	_, _ = rand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}
