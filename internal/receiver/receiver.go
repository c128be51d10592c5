package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

const (
	// maxHeld is the longest request body that is held for a retry, in bytes; of longer ones the rest is
	// passed on as it comes, to one instance only.
	maxHeld = 128 << 10
	// hedgeShare is the part of a route's objective after which an idempotent request is sent once more.
	hedgeShare = 0.6
	// onceRest is how long a kept connection may have rested to carry a request that may run only
	// once. One that rested longer may have been dropped without notice, which shows only after sending.
	onceRest = time.Second
	// safeRest is the same for idempotent requests, which are sent again.
	safeRest = 4 * time.Second
	// maxUnsent bounds the instances that are tried without reaching one. A VM may have lost its paths to a
	// fifth of them; five misses in a row are then rare.
	maxUnsent = 5
	// startHold is how long after the start requests wait for the configuration. VMs that all start at once know
	// it after 0.6 s; later, something is wrong, and requests are refused at once. Callers give up after a second.
	startHold = 900 * time.Millisecond
	// keyMargin is the part of the bound on the age of keys that is used; the rest is for the way to the instance.
	keyMargin = 0.85
	// deniedAge is the age of the configuration beyond which an unknown route or key may be a new one.
	deniedAge = 2500 * time.Millisecond
	// leastRetryAfter and retrySpread make refused callers come back spread over a time.
	leastRetryAfter = 300 * time.Millisecond
	retrySpread     = 700 * time.Millisecond
)

// Dialect holds the names of the headers that the callers' and the backend servers' protocol gives a meaning.
type Dialect struct {
	forwarder.HeaderNames
	// Key carries the caller's key.
	Key string
	// Account tells an instance the client account.
	Account string
	// Deadline is how many milliseconds the sender waits.
	Deadline string
	// ExpectedInstance names the instance that shall run the request.
	ExpectedInstance string
}

// Believer knows the configuration.
type Believer interface {
	// Table returns the configuration in force and when the read that confirmed it began.
	Table() (*router.Table, time.Time)
	// Await waits until the configuration and the instances are known, for a time at most.
	Await(ctx context.Context, most time.Duration)
	// Move notes that an instance is no longer at its address.
	Move(id string)
}

// Admitter holds client accounts to their rates.
type Admitter interface {
	// Admit takes a token of an account; nil has no limit.
	Admit(ctx context.Context, a *router.Account) relayer.Admission
}

// Picker chooses instances.
type Picker interface {
	// Begin counts a caller's request for a service.
	Begin(service string)
	// Pick chooses an instance, and counts the request as running there until Done.
	Pick(service string, w balancer.Request) (balancer.Choice, bool)
	// Retry takes one retry from the budget.
	Retry(service string) bool
	// Done ends a request at an instance.
	Done(r *router.Route, c balancer.Choice, o balancer.Outcome, took time.Duration)
	// Overdue notes that a request runs for much longer than usual.
	Overdue(c balancer.Choice)
}

// Sender sends requests to instances.
type Sender interface {
	// Send sends a request; an error marked forwarder.ErrNotSent says that no byte of it left.
	Send(ctx context.Context, to netip.AddrPort, r forwarder.Request, maxRest time.Duration) (forwarder.Answer, error)
}

// Observer is told of each request's end.
type Observer interface {
	// Observe counts a request.
	Observe(route string, reason Reason, status int, took time.Duration)
}

// Options are what a Receiver needs.
type Options struct {
	Dialect  Dialect
	Believer Believer
	Admitter Admitter
	Picker   Picker
	Sender   Sender
	Observer Observer
	// KeyAge is how old the knowledge may be by which a key is accepted.
	KeyAge time.Duration
	// Started is when this VM started.
	Started time.Time
	// Leaving reports whether this VM is about to stop.
	Leaving func() bool
	Clock   clockwork.Clock
	Logger  *zap.Logger
}

// Receiver serves callers.
type Receiver struct {
	Options
}

// New returns a receiver.
func New(o Options) *Receiver { return &Receiver{Options: o} }

// retryAfter returns when a refused caller shall come back, but not before least.
func retryAfter(least time.Duration) time.Duration {
	return max(least, leastRetryAfter) + rand.N(retrySpread)
}

// ServeHTTP serves one request.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{Receiver: r, w: w, req: req, began: r.Clock.Now()}
	x.serve()
}
