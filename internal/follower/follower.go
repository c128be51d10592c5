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
	// readWait is how long a read waits for news at the log, less twice what the log itself took
	// for the read before, that the end it tells is never old.
	readWait = time.Second
	// readTimeout bounds a read.
	readTimeout = 3 * time.Second
	// minPause and maxPause bound the pause after a failed read.
	minPause = 200 * time.Millisecond
	maxPause = 3 * time.Second
)

// Options are what a Follower needs.
type Options struct {
	Log      Log
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Asserter *asserter.Asserter
	Witness  *witness.Witness
	// OnMap is called, in order, for each new fleet map; gap says that maps between were missed.
	OnMap func(old, next *mapper.Map, gap bool)
	// OnConfiguration is called for each record of the configuration.
	OnConfiguration func(merger.Result)
}

// Follower keeps the configuration and the fleet map of one VM up to date.
type Follower struct {
	Options
	mu    sync.Mutex
	tree  *merger.Tree
	chain *mapper.Chain
	fleet position
	conf  position
	index atomic.Pointer[merger.Index]
	// written is when the last snapshot of each team was written, as it says. A change is none:
	// a new reader cannot judge it without what it is based on.
	written map[string]time.Time
	// fleetWritten is the version of the last map whose members stand in the log whole.
	fleetWritten uint64
	fleetAt      time.Time
	// lost says that changes of the fleet map were missed and no whole map was read since.
	lost bool
}

// position is how far a stream is read.
type position struct {
	next  uint64
	begun bool
	// readAt is when the last read that reached the end began.
	readAt time.Time
	// overhead is how long the last read took beside its wait.
	overhead time.Duration
	tail     tail
	err      error
}

// New returns a follower that has read nothing.
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

// InitialReplaces returns what the first map is to replace while the log holds none.
func (f *Follower) InitialReplaces() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chain.BootstrapBase()
}

// Position is how far a VM has applied the streams.
type Position struct {
	ConfigurationNext uint64 `json:"configurationNext"`
	FleetNext         uint64 `json:"fleetNext"`
	MapVersion        uint64 `json:"mapVersion"`
}

// Position returns how far the streams are applied.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{f.conf.next, f.fleet.next, f.chain.Current().Version}
}

// Run reads both streams until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.follow(ctx, StreamConfiguration, &f.conf) })
	wg.Go(func() { f.follow(ctx, StreamFleet, &f.fleet) })
	wg.Wait()
}

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

// note logs the first failure of a row, and the recovery.
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

// begin starts to read at the log's first record, or again after a gap.
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

// apply takes the records that come next; others are ignored.
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
	old, accepted, err := f.chain.Apply(e.Offset, e.Data)
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

// fillGap takes a snapshot as the current map after records were missed.
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

// settle notes that everything up to the end of a stream, as of began, is applied.
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
	f.Witness.ObserveLog(began)
}

// Ready reports whether this VM has a state that it may act on and pass on: it has begun to
// read, and has missed nothing that it does not know by now.
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
