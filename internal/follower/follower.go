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
	// initialBackoff and maxBackoff are the first and the longest backoff after failed reads, before jitter.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second
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
	// snapshotAt is the time of the latest snapshot of each team, as recorded in the snapshot. Changes do not count as
	// snapshots: a new reader cannot validate a change without the version that it is based on.
	snapshotAt map[string]time.Time
	// fleetSnapshotVersion is the version of the latest map that the log holds as a snapshot with all members, and
	// fleetSnapshotAt is when this VM applied it.
	fleetSnapshotVersion uint64
	fleetSnapshotAt      time.Time
	// fleetGap is true if fleet map changes were missed and no complete map has been applied since.
	fleetGap bool
}

// position is the state of reading one stream.
type position struct {
	// next is the offset of the next record to apply.
	next uint64
	// positioned is true once next is set from the log or from the state of a peer.
	positioned bool
	// caughtUpAt is when the latest read that reached the end of the stream was sent.
	caughtUpAt time.Time
	// latency is how much longer the latest read took than the wait that it asked for.
	latency time.Duration
	tail    tail
	// err is the error of the latest read, or nil.
	err error
}

// New returns a follower that has read nothing. Call Run to start reading.
func New(o Options) *Follower {
	f := &Follower{
		Options: o, tree: merger.New(0, o.Asserter), chain: mapper.NewChain(0), snapshotAt: map[string]time.Time{},
	}
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

// BootstrapBase returns the value of Replaces for the first fleet map, if the log, read to its end, holds none.
func (f *Follower) BootstrapBase() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chain.BootstrapBase()
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
	wg.Go(func() { f.poll(ctx, StreamConfiguration, &f.conf) })
	wg.Go(func() { f.poll(ctx, StreamFleet, &f.fleet) })
	wg.Wait()
}

// poll reads a stream until the context is canceled, and backs off after errors.
func (f *Follower) poll(ctx context.Context, stream string, p *position) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	for ctx.Err() == nil {
		err := f.readOnce(ctx, stream, p)
		f.setReadErr(stream, p, err)
		if err == nil {
			delays.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(delays.NextBackOff()):
		}
	}
}

// setReadErr stores the result of a read, and logs the first of consecutive failures and the recovery.
func (f *Follower) setReadErr(stream string, p *position, err error) {
	f.mu.Lock()
	previous := p.err
	p.err = err
	f.mu.Unlock()
	switch {
	case err != nil && previous == nil && !errors.Is(err, context.Canceled):
		f.Logger.Warn("log cannot be read", zap.String("stream", stream), zap.Error(err))
	case err == nil && previous != nil:
		f.Logger.Info("log can be read again", zap.String("stream", stream))
	}
}

// readOnce reads a stream once from its next offset and applies the records.
func (f *Follower) readOnce(ctx context.Context, stream string, p *position) error {
	f.mu.Lock()
	from := p.next
	f.mu.Unlock()
	startedAt := f.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wait := max(0, readWait-2*p.latency)
	b, err := f.Log.Read(ctx, stream, from, wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.latency = max(0, f.Clock.Since(startedAt)-wait)
	f.reposition(stream, p, b)
	f.apply(stream, p, b.Entries)
	if p.next < b.Next || b.Next < from {
		return nil
	}
	f.markCaughtUp(stream, p, startedAt)
	return nil
}

// reposition moves the position to the first record that the log keeps, if the stream is read for the first time or
// the log dropped records before they were read.
func (f *Follower) reposition(stream string, p *position, b Batch) {
	if p.positioned && b.First <= p.next {
		return
	}
	if p.positioned {
		f.Logger.Error("log dropped records before they were read",
			zap.String("stream", stream), zap.Uint64("next", p.next), zap.Uint64("first", b.First))
	}
	gap := p.positioned
	p.positioned, p.next = true, b.First
	p.tail.reset()
	if stream == StreamConfiguration {
		if gap {
			f.tree = merger.NewAfterGap(f.tree, b.First, f.Asserter)
		} else {
			f.tree = merger.New(b.First, f.Asserter)
		}
		return
	}
	f.fleetGap = gap
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
	r := f.tree.Apply(e.Offset, e.Data)
	if r.Record.Kind == merger.KindSnapshot && r.Record.At.After(f.snapshotAt[r.Record.Team]) {
		f.snapshotAt[r.Record.Team] = r.Record.At
	}
	f.OnConfiguration(r)
}

func (f *Follower) applyFleet(e Entry) {
	old, accepted, err := f.chain.Apply(e.Offset, e.Data)
	if errors.Is(err, mapper.ErrGap) {
		f.closeGap(e)
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
		f.fleetSnapshotVersion, f.fleetSnapshotAt = f.chain.Current().Version, f.Clock.Now()
	}
	f.OnMap(old, f.chain.Current(), false)
}

// closeGap makes a snapshot the current map after records were missed. Other records are ignored.
func (f *Follower) closeGap(e Entry) {
	c, err := mapper.Decode(e.Data)
	if err != nil || len(c.Members) == 0 {
		return
	}
	old := f.chain.Current()
	f.fleetGap = false
	f.chain = mapper.NewChainFromMap(mapper.NewMap(e.Offset+1, c.Members))
	f.OnMap(old, f.chain.Current(), true)
}

// markCaughtUp records that the stream, as it was at startedAt, is applied to its end. Once that holds for both
// streams and no missed record is still unknown, it reports contact with the log to the witness, as of the older of the
// two reads.
func (f *Follower) markCaughtUp(stream string, p *position, startedAt time.Time) {
	if stream == StreamConfiguration {
		f.tree.ResolvePending()
		f.index.Store(f.tree.Index(f.index.Load()))
	}
	p.caughtUpAt = startedAt
	if f.fleetGap || !f.tree.Confirmed() || f.conf.caughtUpAt.IsZero() || f.fleet.caughtUpAt.IsZero() {
		return
	}
	if f.conf.caughtUpAt.Before(f.fleet.caughtUpAt) {
		startedAt = f.conf.caughtUpAt
	} else {
		startedAt = f.fleet.caughtUpAt
	}
	f.Witness.ObserveLog(startedAt)
}

// Ready reports whether this VM has a state that it may act on and relay to peers: both streams have a position, and
// the content of all records missed in gaps is known from later snapshots or from a peer.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conf.positioned && f.fleet.positioned && !f.fleetGap && f.tree.Confirmed()
}

func (f *Follower) position(stream string) *position {
	if stream == StreamConfiguration {
		return &f.conf
	}
	return &f.fleet
}
