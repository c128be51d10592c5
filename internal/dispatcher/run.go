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

// Run sends a request to an instance of its group, with retries and a hedge if the request is idempotent, and waits for
// the result. It returns early when the context ends or at the request's deadline. The context must stay valid until
// the Answer's Rest, if any, has been read and closed.
func (d *Dispatcher) Run(ctx context.Context, r Request) Answer {
	defer d.held.Add(-int64(len(r.Body)))
	if d.held.Add(int64(len(r.Body))) > maxHeld {
		return notRun(ReasonOverload, errors.New("the request bodies at this dispatcher exceed its memory limit"))
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

// run is the state of one request across its tries. A try sends the request once to one instance.
type run struct {
	group    *group
	request  Request
	asserter *asserter.Asserter
	// avoid is the instance of the previous try, or -1.
	avoid int
	// begun counts the tries that a backend server may have started. It is written under the group's lock.
	begun int
	// kept is the latest response with a server error, which is returned if no try gets a better one.
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

// once waits for a slot and tries the request at the slot's instance.
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

// errNoSlot marks errors from before the request was given a slot.
var errNoSlot = errors.New("the request was given no slot")

// again reports whether the request is to be retried after err. A retry of a try that may have started takes one from
// the retry budget.
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

// tried is the result of one try.
type tried struct {
	answer Answer
	err    error
}

// try sends the request to an instance, and an idempotent request also to a second one if the first is slow. It returns
// the first result without an error.
func (r *run) try(ctx context.Context, i int) (Answer, error) {
	if !r.request.Idempotent {
		r.asserter.Check(r.begun == 0, asserter.RuleOnce, "non-idempotent request %s starts again", r.request.ID)
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

// second takes a hedge from the retry budget and a slot for it, preferably at another instance than i. It returns the
// slot's instance.
func (r *run) second(i int) (int, bool) {
	if !r.group.spend() {
		return 0, false
	}
	return r.group.choose(r.request, i)
}

// worse returns the failed try to report: the latest with a server error, or else the first that the backend server may
// have started, or else the later one. A zero a stands for no try.
func worse(a, b tried) tried {
	if a.err == nil || errors.Is(a.err, errNotStarted) || errors.Is(b.err, errServer) {
		return b
	}
	return a
}

// settle cancels the tries of a request after one has succeeded: at once, or when Rest is closed if the response is
// still being read. If another try is pending, the Rest of its response is closed when it arrives.
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

// closer calls a function after its reader is closed, once even if it is closed several times.
type closer struct {
	io.ReadCloser
	once  sync.Once
	after func()
}

// Close closes the reader and, at the first call, calls after.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.after)
	return err
}

// send tries the request at an instance where it already has a slot. A server error counts as a failure, except that
// its response is the result of a request that is not idempotent.
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

// count counts a try that may have started.
func (r *run) count() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.begun++
}
