package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

const (
	// readWait is how long a read waits at the log for new records. Twice the latency of the previous read, its
	// wait excluded, is subtracted from it, so that the end of the stream that a read returns is never old.
	readWait = time.Second
	// readTimeout bounds a read, its wait included.
	readTimeout = 3 * time.Second
	// minPause and maxPause are the first and the longest backoff after failed reads, before jitter.
	minPause = 200 * time.Millisecond
	maxPause = 3 * time.Second
)

// Options configure a Follower.
type Options struct {
	Log      Log
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Asserter *asserter.Asserter
	Witness  *witness.Witness
	// OnMap is called for each new fleet map, in order. gap is true if maps between old and next were missed. The
	// follower holds its lock during this call, so the function may call no method of it but Index.
	OnMap func(old, next *mapper.Map, gap bool)
	// OnConfiguration is called for each configuration record applied, in order, also with the lock held.
	OnConfiguration func(merger.Result)
}

// Follower keeps the configuration and the fleet map of one VM up to date. It is safe for concurrent use.
type Follower struct {
	Options
	mu    sync.Mutex
	tree  *merger.Tree
	chain *mapper.Chain
	fleet position
	conf  position
	index atomic.Pointer[merger.Index]
	// written is the time of the latest snapshot of each team, as recorded in the snapshot. Changes do not count as
	// snapshots: a new reader cannot validate a change without the version that it is based on.
	written map[string]time.Time
	// fleetWritten is the version of the latest map that the log holds as a snapshot with all members, and fleetAt is
	// when this VM applied it.
	fleetWritten uint64
	fleetAt      time.Time
	// lost is true if fleet map changes were missed and no complete map has been applied since.
	lost bool
}

// position is the state of reading one stream.
type position struct {
	// next is the offset of the next record to apply.
	next uint64
	// begun is true once next is set from the log or from the state of a peer.
	begun bool
	// readAt is when the latest read that reached the end of the stream was sent.
	readAt time.Time
	// overhead is how much longer the latest read took than the wait that it asked for.
	overhead time.Duration
	tail     tail
	// err is the error of the latest read, or nil.
	err error
}

// New returns a follower that has read nothing. Call Run to start reading.
func New(o Options) *Follower {
	f := &Follower{Options: o, tree: merger.New(0, o.Asserter), chain: mapper.NewChain(0), written: map[string]time.Time{}}
	f.index.Store(f.tree.Index(nil))
	return f
}

// Index returns the configuration in force.
func (f *Follower) Index() *merger.Index { return f.index.Load() }

// Map returns the current fleet map.
func (f *Follower) Map() *mapper.Map {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chain.Current()
}

// Founding returns the value of Replaces for the first fleet map, if the log, read to its end, holds none.
func (f *Follower) Founding() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chain.Founding()
}

// Position holds the offsets of the next records to apply and the version of the current fleet map.
type Position struct {
	ConfigurationNext uint64 `json:"configurationNext"`
	FleetNext         uint64 `json:"fleetNext"`
	MapVersion        uint64 `json:"mapVersion"`
}

// Position returns how far this VM has applied the streams.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{f.conf.next, f.fleet.next, f.chain.Current().Version}
}

// Run reads both streams until the context is canceled. Failed reads are retried with backoff.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.follow(ctx, StreamConfiguration, &f.conf) })
	wg.Go(func() { f.follow(ctx, StreamFleet, &f.fleet) })
	wg.Wait()
}

// follow reads a stream until the context is canceled, and backs off after errors.
func (f *Follower) follow(ctx context.Context, stream string, p *position) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = minPause, maxPause
	for ctx.Err() == nil {
		err := f.readOnce(ctx, stream, p)
		f.note(stream, p, err)
		if err == nil {
			pauses.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(pauses.NextBackOff()):
		}
	}
}

// note stores the result of a read, and logs the first of consecutive failures and the recovery.
func (f *Follower) note(stream string, p *position, err error) {
	f.mu.Lock()
	was := p.err
	p.err = err
	f.mu.Unlock()
	switch {
	case err != nil && was == nil && !errors.Is(err, context.Canceled):
		f.Logger.Warn("log cannot be read", zap.String("stream", stream), zap.Error(err))
	case err == nil && was != nil:
		f.Logger.Info("log can be read again", zap.String("stream", stream))
	}
}

// readOnce reads a stream once from its next offset and applies the records.
func (f *Follower) readOnce(ctx context.Context, stream string, p *position) error {
	f.mu.Lock()
	from := p.next
	f.mu.Unlock()
	began := f.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wait := max(0, readWait-2*p.overhead)
	b, err := f.Log.Read(ctx, stream, from, wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.overhead = max(0, f.Clock.Since(began)-wait)
	f.begin(stream, p, b)
	f.apply(stream, p, b.Entries)
	if p.next < b.Next || b.Next < from {
		return nil
	}
	f.settle(stream, p, began)
	return nil
}

// begin moves the position to the first record that the log keeps if the stream is read for the first time, or if
// the log dropped records before they were read.
func (f *Follower) begin(stream string, p *position, b Batch) {
	if p.begun && b.First <= p.next {
		return
	}
	if p.begun {
		f.Logger.Error("log dropped records before they were read",
			zap.String("stream", stream), zap.Uint64("next", p.next), zap.Uint64("first", b.First))
	}
	gap := p.begun
	p.begun, p.next = true, b.First
	p.tail.reset()
	if stream == StreamConfiguration {
		if gap {
			f.tree = merger.NewAfterGap(f.tree, b.First, f.Asserter)
		} else {
			f.tree = merger.New(b.First, f.Asserter)
		}
		return
	}
	f.lost = gap
	if !gap {
		f.chain = mapper.NewChain(b.First)
	}
}

// apply applies the records that continue the stream without a gap. It skips records that were applied before, and
// stops at the first gap.
func (f *Follower) apply(stream string, p *position, es []Entry) {
	applied := false
	for _, e := range es {
		if e.Offset < p.next {
			continue
		}
		if e.Offset > p.next {
			break
		}
		p.next = e.Offset + 1
		p.tail.add(e)
		applied = true
		if stream == StreamConfiguration {
			f.applyConfiguration(e)
		} else {
			f.applyFleet(e)
		}
	}
	if applied && stream == StreamConfiguration {
		f.index.Store(f.tree.Index(f.index.Load()))
	}
}

func (f *Follower) applyConfiguration(e Entry) {
	r := f.tree.Append(e.Offset, e.Data)
	if r.Record.Kind == merger.KindSnapshot && r.Record.At.After(f.written[r.Record.Team]) {
		f.written[r.Record.Team] = r.Record.At
	}
	f.OnConfiguration(r)
}

func (f *Follower) applyFleet(e Entry) {
	old, accepted, err := f.chain.Append(e.Offset, e.Data)
	if errors.Is(err, mapper.ErrGap) {
		f.fillGap(e)
		return
	}
	if err != nil {
		f.Logger.Error("fleet map change cannot be read", zap.Uint64("offset", e.Offset), zap.Error(err))
		return
	}
	if !accepted {
		return
	}
	if c, err := mapper.Decode(e.Data); err == nil && len(c.Members) > 0 {
		f.fleetWritten, f.fleetAt = f.chain.Current().Version, f.Clock.Now()
	}
	f.OnMap(old, f.chain.Current(), false)
}

// fillGap makes a snapshot the current map after records were missed. Other records are ignored.
func (f *Follower) fillGap(e Entry) {
	c, err := mapper.Decode(e.Data)
	if err != nil || len(c.Members) == 0 {
		return
	}
	old := f.chain.Current()
	f.lost = false
	f.chain = mapper.NewChainAt(mapper.NewMap(e.Offset+1, c.Members))
	f.OnMap(old, f.chain.Current(), true)
}

// settle records that the stream, as it was at began, is applied to its end. Once that holds for both streams and
// nothing missed is still unknown, it reports contact with the log as of the older of the two reads to the witness.
func (f *Follower) settle(stream string, p *position, began time.Time) {
	if stream == StreamConfiguration {
		f.tree.Settle()
		f.index.Store(f.tree.Index(f.index.Load()))
	}
	p.readAt = began
	if f.lost || !f.tree.Sure() || f.conf.readAt.IsZero() || f.fleet.readAt.IsZero() {
		return
	}
	if f.conf.readAt.Before(f.fleet.readAt) {
		began = f.conf.readAt
	} else {
		began = f.fleet.readAt
	}
	f.Witness.Log(began)
}

// Ready reports whether this VM has a state that it may act on and relay to peers: both streams have a position, and
// the content of all records missed in gaps is known from later snapshots or from a peer.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conf.begun && f.fleet.begun && !f.lost && f.tree.Sure()
}

func (f *Follower) position(stream string) *position {
	if stream == StreamConfiguration {
		return &f.conf
	}
	return &f.fleet
}
