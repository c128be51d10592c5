package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

// Run runs a request on an instance of its group. It ends when the context does,
// or at the request's deadline.
func (d *Dispatcher) Run(ctx context.Context, r Request) Answer {
	defer d.held.Add(-int64(len(r.Body)))
	if d.held.Add(int64(len(r.Body))) > maxHeld {
		return notRun(ReasonOverload, errors.New("the dispatcher holds too much"))
	}
	g, err := d.group(r.Service, r.Group)
	if err != nil {
		return notRun(ReasonNoService, err)
	}
	if r.Idempotent {
		g.earn()
	}
	rn := &run{group: g, request: r, asserter: d.Asserter, avoid: -1}
	return rn.do(ctx)
}

// run is the course of one request.
type run struct {
	group    *group
	request  Request
	asserter *asserter.Asserter
	avoid    int
	// begun counts the tries that a backend server may have started.
	begun int
	// kept is the last answer with a server error, given if no try has a better one.
	kept *Answer
}

func (r *run) do(ctx context.Context) Answer {
	for shift := 0; ; shift++ {
		a, err := r.once(ctx)
		if err == nil {
			return a
		}
		if errors.Is(err, errServer) {
			r.kept = &a
		}
		switch {
		case r.again(ctx, err, shift):
		case r.kept != nil:
			return *r.kept
		default:
			return r.refuse(ctx, err)
		}
	}
}

// once waits for a slot and tries the request on its instance.
func (r *run) once(ctx context.Context) (Answer, error) {
	wait, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	i, err := r.group.submit(wait, r.request, r.avoid)
	if err != nil {
		return Answer{}, errors.Mark(err, errNoSlot)
	}
	r.avoid = i
	return r.try(ctx, i)
}

// errNoSlot marks errors from before a slot was given.
var errNoSlot = errors.New("no slot")

// again decides whether a request is tried once more.
func (r *run) again(ctx context.Context, err error, shift int) bool {
	switch {
	case ctx.Err() != nil, errors.Is(err, errNoSlot), shift >= maxShifts:
		return false
	case errors.Is(err, errNotStarted):
		return true
	}
	return r.request.Idempotent && r.begun < maxTries && r.group.clock.Now().Before(r.request.Deadline) && r.group.spend()
}

func (r *run) refuse(ctx context.Context, err error) Answer {
	reason := ReasonFailed
	switch {
	case errors.Is(err, errNoSlot):
		reason = reasonOf(err)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = ReasonCanceled
	case !r.group.clock.Now().Before(r.request.Deadline):
		reason = ReasonTimeout
	case errors.Is(err, errShed):
		reason = ReasonOverload
	case errors.Is(err, errNotStarted):
		reason = ReasonNoBackend
	}
	if r.begun == 0 {
		return notRun(reason, err)
	}
	return unknown(reason, err)
}

// tried is the end of one try.
type tried struct {
	answer Answer
	err    error
}

// try runs the request on an instance, and on a second one if the first is slow.
func (r *run) try(ctx context.Context, i int) (Answer, error) {
	if !r.request.Idempotent {
		r.asserter.Check(r.begun == 0, asserter.RuleOnce, "request %s starts again", r.request.ID)
		t := r.send(ctx, i)
		return t.answer, t.err
	}
	ctx, cancel := context.WithCancel(ctx)
	ends := make(chan tried, 2)
	go func() { ends <- r.send(ctx, i) }()
	open := 1
	var hedge <-chan time.Time
	if after := r.group.hedgeAfter(i, r.request.Route); after > 0 {
		hedge = r.group.clock.After(after)
	}
	var last tried
	for open > 0 {
		select {
		case t := <-ends:
			open--
			if t.err == nil {
				return settle(t.answer, cancel, ends, open), nil
			}
			last = worse(last, t)
		case <-hedge:
			hedge = nil
			if j, ok := r.second(i); ok {
				open++
				go func() { ends <- r.send(ctx, j) }()
			}
		}
	}
	cancel()
	return last.answer, last.err
}

// second takes a slot and the budget for a second try.
func (r *run) second(i int) (int, bool) {
	if !r.group.spend() {
		return 0, false
	}
	return r.group.choose(r.request, i)
}

// worse returns the try whose error says less about the request not having started; an
// answer with a server error says more than none.
func worse(a, b tried) tried {
	if a.err == nil || errors.Is(a.err, errNotStarted) || errors.Is(b.err, errServer) {
		return b
	}
	return a
}

// settle ends the other try, at once or, if the answer is not read to its end, after that.
func settle(a Answer, cancel context.CancelFunc, ends chan tried, open int) Answer {
	if a.Rest != nil {
		a.Rest = &closer{ReadCloser: a.Rest, after: cancel}
	} else {
		cancel()
	}
	if open > 0 {
		go func() {
			if t := <-ends; t.answer.Rest != nil {
				_ = t.answer.Rest.Close()
			}
		}()
	}
	return a
}

// closer calls a function once after its reader is closed.
type closer struct {
	io.ReadCloser
	once  sync.Once
	after func()
}

// Close closes the reader and calls the function.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.after)
	return err
}

// send makes one try at an instance whose slot is taken.
func (r *run) send(ctx context.Context, i int) tried {
	g := r.group
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	running := g.begin(i, r.request.Route)
	a, err := g.members[i].backend.send(ctx, r.request)
	if !errors.Is(err, errNotStarted) {
		r.count()
	}
	canceled := errors.Is(ctx.Err(), context.Canceled)
	if err == nil && a.Rest != nil {
		a.Rest = &closer{ReadCloser: a.Rest, after: func() { g.finish(running, nil, true); cancel() }}
		return tried{answer: a}
	}
	if err == nil && a.Header.Get(HeaderState) == stateDraining {
		g.drain(i)
	}
	if err == nil && a.Status >= http.StatusInternalServerError {
		err = errServer
	}
	g.finish(running, err, canceled && err != nil && !errors.Is(err, errServer))
	cancel()
	if errors.Is(err, errServer) && !r.request.Idempotent {
		err = nil
	}
	return tried{answer: a, err: err}
}

func (r *run) count() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.begun++
}
