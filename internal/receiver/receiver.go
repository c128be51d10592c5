package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

const (
	// maxBufferedBody is the longest request body that is buffered for retries, in bytes. The rest of a longer body is
	// streamed to one instance only.
	maxBufferedBody = 128 << 10
	// smallBody is the length up to which a request body is always buffered, in bytes.
	smallBody = 8 << 10
	// answersPerSecond and answersBurst bound the log lines of requests that were answered by the first instance, so that
	// they leave room for those of failures.
	answersPerSecond = 25
	answersBurst     = 100
	// attemptsPerSecond and attemptsBurst bound the log lines of attempts, so that they leave room for those of requests.
	attemptsPerSecond = 50
	attemptsBurst     = 200
	// unreadBodyTimeout bounds the time that a connection stays open after a response before the body's end.
	unreadBodyTimeout = time.Second
	// maxIdle is the longest idle time after which a kept connection to an instance may carry a request.
	maxIdle = 4 * time.Second
	// overdueFraction is the fraction of a route's latency objective after which a request is overdue. Without
	// a Hedger, it is hedged then.
	overdueFraction = 0.6
	// maxUnsent bounds the attempts of a request that fail before a byte is sent. A VM may have lost its network
	// paths to a fifth of the instances; five such failures in a row are then rare.
	maxUnsent = 5
	// startupWait is the time from the start of the VM during which requests wait for the configuration. VMs that
	// all start at once have it after 0.6 s. If it takes longer than this, something is wrong and requests are
	// refused at once. Callers give up after 1 s.
	startupWait = 900 * time.Millisecond
	// keyAgeFraction is the fraction of Options.MaxKeyAge up to which the configuration is used to accept a key; the
	// rest allows for the time that the request takes to reach the instance.
	keyAgeFraction = 0.85
	// maxViewFraction is the fraction of Options.DrainTimeout up to which a view of the instances is used without waiting
	// for a later one; the rest is for the connection to the instance. viewTimeout bounds the wait.
	maxViewFraction = 0.85
	viewTimeout     = 300 * time.Millisecond
	// While the limits of all instances of a service are reached, a request waits for a token for up to a fraction of its
	// route's objective. Requests that may run only once wait longer, since they cannot be sent again after a failure.
	limitWaitIdempotent    = 0.2
	limitWaitNonIdempotent = 0.4
	// maxLimitAsks bounds how many owners of limits are asked in a row for one request, before limitPause.
	maxLimitAsks = 5
	limitPause   = 20 * time.Millisecond
	// failedWaitTTL is how long requests for a service do not wait after the wait of one failed: most others would fail, too.
	failedWaitTTL = time.Second
	// maxDenyAge is the age of the configuration up to which requests are denied. A newer configuration may already
	// have the unknown route or key.
	maxDenyAge = 2500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After. Up to retryAfterJitter is added at random when a request is
	// refused as unavailable, so that callers do not all retry at once.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 700 * time.Millisecond
)

// HeaderNames holds the names of the headers of the protocol between callers, daemons and backend servers.
type HeaderNames struct {
	forwarder.HeaderNames
	// Key carries the caller's key.
	Key string
	// Account names the client account in requests to instances.
	Account string
	// Deadline is the time that the sender still waits for a response, in milliseconds.
	Deadline string
	// ExpectedInstance names the instance that the request is meant for; any other must not run it.
	ExpectedInstance string
}

// Tracker tracks the configuration and the instances.
type Tracker interface {
	// Table returns the current configuration, nil if there is none yet, and when the read that confirmed it began.
	Table() (*router.Table, time.Time)
	// WaitUntilKnown waits until the configuration, the instances and the VMs are known, at most for the given time or
	// until the context ends.
	WaitUntilKnown(ctx context.Context, timeout time.Duration)
	// MembersKnown reports whether the VMs of the fleet are known, without which no rate can be enforced.
	MembersKnown() bool
	// AwaitView waits while the view of the instances is older than maxAge, for up to timeout, and reports whether it is
	// not. A view is good whatever its age if several reads show that the registry cannot be read.
	AwaitView(ctx context.Context, maxAge, timeout time.Duration) bool
	// Usable reports whether an instance may get new requests, and the age of the view that says so.
	Usable(instance string) (usable bool, viewAge time.Duration)
	// MarkMoved marks an incarnation of an instance as no longer present at its address.
	MarkMoved(i balancer.Instance)
	// MarkLeaving records that an incarnation of an instance stated in a response that it leaves. It is not picked any more.
	MarkLeaving(id string, incarnation int64)
}

// Admitter enforces the rates of client accounts.
type Admitter interface {
	// Admit takes a token of an account; a nil account has no limit.
	Admit(ctx context.Context, a *router.Account) relayer.Admission
}

// Limiter enforces the limits that instances state.
type Limiter interface {
	// AdmitSend decides whether a request may be sent to an instance now.
	AdmitSend(ctx context.Context, instance string) relayer.Admission
	// ObserveLimit records what the response to a request that was sent at the given time stated about an incarnation's
	// limit, in requests per second; zero if there is none.
	ObserveLimit(instance string, incarnation int64, rate float64, sentAt time.Time)
}

// Picker chooses instances.
type Picker interface {
	// CountRequest counts a caller's request for a service; the retry budget is proportional to these.
	CountRequest(service string)
	// CountOffered counts a caller's request of a level for a service at its arrival.
	CountOffered(service string, level int)
	// CountAdmitted counts a request by whether it may be sent to an instance.
	CountAdmitted(service string, level int, admitted bool)
	// CountEnded counts a request that ended by whether it was served.
	CountEnded(service string, served bool)
	// Pick chooses an instance and counts the request as in flight there until Done; false if there is none.
	Pick(service string, r balancer.Request) (balancer.Choice, bool)
	// Release ends a choice of Pick for which no request was sent. The instance is not picked again for the given time.
	Release(c balancer.Choice, pause time.Duration)
	// Pause keeps all requests away from the instance of a choice for the given time.
	Pause(c balancer.Choice, d time.Duration)
	// NextAvailable returns the time until an instance of a service that is not available now may be picked for a request;
	// ok is false if there is none.
	NextAvailable(service string, r balancer.Request) (wait time.Duration, ok bool)
	// AdmitRequest decides whether a request may be sent while its service is short of room. Account may be nil.
	AdmitRequest(service string, level int, account *router.Account) admitter.Decision
	// JoinRetries lets a request whose attempt failed wait for a retry until LeaveRetries; limit is when an answer is due.
	JoinRetries(service string, r *router.Route, t admitter.Try, limit time.Time) *admitter.Ticket
	LeaveRetries(service string, k *admitter.Ticket)
	// RetryTurn returns what a waiting request does now; one that waits asks again after wait.
	RetryTurn(service string, k *admitter.Ticket) (turn admitter.Turn, wait time.Duration)
	// TakeRetry takes one retry from the budget of a service; false if the budget is exhausted.
	TakeRetry(service string) bool
	// Done records the outcome of a request at an instance and how long it took.
	Done(r *router.Route, c balancer.Choice, o balancer.Outcome, took time.Duration)
	// MarkOverdue records that a request in flight takes much longer than usual.
	MarkOverdue(c balancer.Choice)
}

// Sender sends requests to instances.
type Sender interface {
	// Send sends a request and returns the response. An error marked forwarder.ErrNotSent means that no byte of
	// the request was sent. MaxIdle is how long a kept connection may have been idle to be reused.
	Send(ctx context.Context, to netip.AddrPort, r forwarder.Request, maxIdle time.Duration) (forwarder.Response, error)
}

// Observer collects statistics on requests.
type Observer interface {
	// Observe records a finished request; route is empty if none matched.
	Observe(route string, reason Reason, status int, took time.Duration)
}

// Options are the dependencies and settings of a Receiver.
type Options struct {
	HeaderNames HeaderNames
	Tracker     Tracker
	Admitter    Admitter
	Limiter     Limiter
	Picker      Picker
	Sender      Sender
	// Hedger limits hedges. If it is nil, a request is hedged once it is overdue, within the retry budget.
	Hedger   Hedger
	Observer Observer
	// MaxKeyAge bounds the age of the configuration by which a key is accepted; up to keyAgeFraction of it is used.
	MaxKeyAge time.Duration
	// DrainTimeout is how long an instance that left may still get requests.
	DrainTimeout time.Duration
	// MaxBodyMemory bounds the memory for buffered request bodies that are not small, in bytes. Beyond it, bodies are
	// streamed.
	MaxBodyMemory int64
	// Started is when this VM started.
	Started time.Time
	// Draining reports whether this VM is draining before it stops.
	Draining func() bool
	Clock    clockwork.Clock
	Logger   *zap.Logger
}

// Receiver serves callers.
type Receiver struct {
	Options
	failedWaits failedWaits
	splits      splits
	stop        *stop
	// answerLog bounds the log lines of requests that were answered by the first instance.
	answerLog *rate.Limiter
	// attemptLog bounds the log lines of attempts.
	attemptLog    *logger.Limiter
	attemptCounts *attemptCounts
	hedgeCounts   *hedgeCounts
	// bodyBytes is the memory reserved for request bodies.
	bodyBytes atomic.Int64
}

// New returns a Receiver.
func New(o Options) *Receiver {
	return &Receiver{
		Options: o, failedWaits: failedWaits{at: map[string]time.Time{}}, splits: splits{at: map[string]float64{}}, stop: newStop(),
		answerLog: rate.NewLimiter(answersPerSecond, answersBurst), attemptLog: logger.NewLimiter(attemptsPerSecond, attemptsBurst),
		attemptCounts: newAttemptCounts(), hedgeCounts: newHedgeCounts(),
	}
}

// OmittedLines returns the number of log lines of attempts that were left out since the start.
func (r *Receiver) OmittedLines() int64 { return r.attemptLog.Omitted() }

// jitteredRetryAfter returns max(atLeast, minRetryAfter) plus up to retryAfterJitter at random.
func jitteredRetryAfter(atLeast time.Duration) time.Duration {
	return max(atLeast, minRetryAfter) + rand.N(retryAfterJitter)
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := &exchange{Receiver: r, w: w, req: req, arrivedAt: r.Clock.Now()}
	x.serve()
}
