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
	defer d.totalBodyBytes.Add(-int64(len(r.Body)))
	if d.totalBodyBytes.Add(int64(len(r.Body))) > maxTotalBodyBytes {
		return notRun(ReasonOverload, errors.New("the dispatcher holds too much"))
	}
	g, err := d.group(r.Service, r.Group)
	if err != nil {
		return notRun(ReasonNoService, err)
	}
	if r.Idempotent {
		g.addRetryCredit()
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
	// startedTries counts the tries that a backend server may have started. It is written under the group's lock.
	startedTries int
	// serverErrorAnswer is the latest response with a server error, which is returned if no try gets a better one.
	serverErrorAnswer *Answer
}

func (r *run) do(ctx context.Context) Answer {
	for retries := 0; ; retries++ {
		a, err := r.submitAndTry(ctx)
		if err == nil {
			return a
		}
		if errors.Is(err, errServerError) {
			r.serverErrorAnswer = &a
		}
		switch {
		case r.allowRetry(ctx, err, retries):
		case r.serverErrorAnswer != nil:
			return *r.serverErrorAnswer
		default:
			return r.failedAnswer(ctx, err)
		}
	}
}

// submitAndTry waits for a slot and tries the request at the slot's instance.
func (r *run) submitAndTry(ctx context.Context) (Answer, error) {
	waitCtx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	i, err := r.group.submit(waitCtx, r.request, r.avoid)
	if err != nil {
		return Answer{}, errors.Mark(err, errNoSlot)
	}
	r.avoid = i
	return r.try(ctx, i)
}

// errNoSlot marks errors from before the request was given a slot.
var errNoSlot = errors.New("the request was given no slot")

// allowRetry reports whether the request is to be retried after err. A retry of a try that may have started takes one
// from the retry budget.
func (r *run) allowRetry(ctx context.Context, err error, retries int) bool {
	switch {
	case ctx.Err() != nil, errors.Is(err, errNoSlot), retries >= maxRetries:
		return false
	case errors.Is(err, errNotStarted):
		return true
	}
	return r.request.Idempotent && r.startedTries < maxStartedTries &&
		r.group.clock.Now().Before(r.request.Deadline) && r.group.takeRetryCredit()
}

// failedAnswer returns the answer to a request whose last try failed with err. The request was certainly not run if no
// try may have started.
func (r *run) failedAnswer(ctx context.Context, err error) Answer {
	reason := ReasonFailed
	switch {
	case errors.Is(err, errNoSlot):
		reason = submitErrorReason(err)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = ReasonCanceled
	case !r.group.clock.Now().Before(r.request.Deadline):
		reason = ReasonTimeout
	case errors.Is(err, errShed):
		reason = ReasonOverload
	case errors.Is(err, errNotStarted):
		reason = ReasonNoBackend
	}
	if r.startedTries == 0 {
		return notRun(reason, err)
	}
	return unknown(reason, err)
}

// tryResult is the result of one try.
type tryResult struct {
	answer Answer
	err    error
}

// try sends the request to an instance, and an idempotent request also to a second one if the first is slow. It returns
// the first result without an error.
func (r *run) try(ctx context.Context, i int) (Answer, error) {
	if !r.request.Idempotent {
		r.asserter.Check(r.startedTries == 0, asserter.RuleOnce, "non-idempotent request %s starts again", r.request.ID)
		t := r.send(ctx, i)
		return t.answer, t.err
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan tryResult, 2)
	go func() { results <- r.send(ctx, i) }()
	pending := 1
	var hedge <-chan time.Time
	if after := r.group.hedgeDelay(i, r.request.Route); after > 0 {
		hedge = r.group.clock.After(after)
	}
	var last tryResult
	for pending > 0 {
		select {
		case t := <-results:
			pending--
			if t.err == nil {
				return cancelTries(t.answer, cancel, results, pending), nil
			}
			last = selectFailure(last, t)
		case <-hedge:
			hedge = nil
			if j, ok := r.reserveHedge(i); ok {
				pending++
				go func() { results <- r.send(ctx, j) }()
			}
		}
	}
	cancel()
	return last.answer, last.err
}

// reserveHedge takes a hedge from the retry budget and a slot for it, preferably at another instance than i. It returns
// the slot's instance.
func (r *run) reserveHedge(i int) (int, bool) {
	if !r.group.takeRetryCredit() {
		return 0, false
	}
	return r.group.reserveSlot(r.request, i)
}

// selectFailure returns the failed try to report: the latest with a server error, or else the first that the backend
// server may have started, or else the later one. If a is the zero value, there was no earlier try.
func selectFailure(a, b tryResult) tryResult {
	if a.err == nil || errors.Is(a.err, errNotStarted) || errors.Is(b.err, errServerError) {
		return b
	}
	return a
}

// cancelTries cancels the tries of a request after one has succeeded: at once, or when Rest is closed if the response
// is still being read. If another try is pending, the Rest of its response is closed when it arrives.
func cancelTries(a Answer, cancel context.CancelFunc, results chan tryResult, pending int) Answer {
	if a.Rest != nil {
		a.Rest = &closeHook{ReadCloser: a.Rest, onClose: cancel}
	} else {
		cancel()
	}
	if pending > 0 {
		go func() {
			if t := <-results; t.answer.Rest != nil {
				_ = t.answer.Rest.Close()
			}
		}()
	}
	return a
}

// closeHook calls a function after its reader is closed, once even if it is closed several times.
type closeHook struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the reader and, at the first call, calls onClose.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.onClose)
	return err
}

// send tries the request at an instance where it already has a slot. A response with a server error is returned with
// errServerError for an idempotent request, which may be retried, and without an error for any other.
func (r *run) send(ctx context.Context, i int) tryResult {
	g := r.group
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	inFlight := g.beginTry(i, r.request.Route)
	a, err := g.members[i].backend.send(ctx, r.request)
	if !errors.Is(err, errNotStarted) {
		r.countStartedTry()
	}
	canceled := errors.Is(ctx.Err(), context.Canceled)
	if err == nil && a.Rest != nil {
		a.Rest = &closeHook{ReadCloser: a.Rest, onClose: func() { g.finishTry(inFlight, nil, true); cancel() }}
		return tryResult{answer: a}
	}
	if err == nil && a.Header.Get(HeaderState) == stateDraining {
		g.markDraining(i)
	}
	if err == nil && a.Status >= http.StatusInternalServerError {
		err = errServerError
	}
	g.finishTry(inFlight, err, canceled && err != nil && !errors.Is(err, errServerError))
	cancel()
	if errors.Is(err, errServerError) && !r.request.Idempotent {
		err = nil
	}
	return tryResult{answer: a, err: err}
}

// countStartedTry counts a try that may have started.
func (r *run) countStartedTry() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.startedTries++
}
