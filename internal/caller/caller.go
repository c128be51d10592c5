package caller

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
)

// Fleet is the view of the fleet that serving callers needs.
type Fleet interface {
	// Addresses returns the addresses of up to n live VMs that callers can connect to, spread over the failure domains.
	Addresses(caller netip.Addr, n int) []netip.AddrPort
	// InContact reports whether this VM may act on its current configuration.
	InContact() bool
	// Stopping reports whether this VM is shutting down.
	Stopping() bool
	// StopsAt returns when a stop that has begun cuts off the requests that still run; zero if none has begun.
	StopsAt() time.Time
}

// Admitter enforces the rate limits of the client accounts.
type Admitter interface {
	// Admit takes a token for one request. It returns limiter.ErrOverRate if there is none and limiter.ErrNoOwner if
	// no owner of the rate limit is reachable.
	Admit(ctx context.Context, a merger.Account) error
	// RetryAfter returns the time until a token may be available.
	RetryAfter(account string) time.Duration
}

// Sender sends requests to a dispatcher of the matched service.
type Sender interface {
	Send(ctx context.Context, m merger.Match, r dispatcher.Request) dispatcher.Answer
}

// AttemptRecorder records the attempts of requests with an idempotency key at the VMs that hold the key's records.
type AttemptRecorder interface {
	// Begin records the start of an attempt at all of these VMs. The request may run only on recorder.VerdictNew.
	Begin(ctx context.Context, a recorder.Attempt) (recorder.Verdict, recorder.Result)
	// Finish records the result of an attempt, or removes the attempt if canceled, which means that it did not run.
	Finish(a recorder.Attempt, canceled bool, res recorder.Result)
}

// Limits bounds the size, duration and number of callers' requests.
type Limits struct {
	// MaxBody is the largest size of a request body, in bytes.
	MaxBody int64
	// BodyTimeout bounds reading a request body and writing a response. Each write of a streamed response has its
	// own timeout.
	BodyTimeout time.Duration
	// MaxRequests is the largest number of requests in flight.
	MaxRequests int
}

// Observer is notified of the result of each request.
type Observer interface {
	// Observe is called before the response is written. The account is empty on an open route, and if the request
	// was refused before it was authorized.
	Observe(account, route string, a dispatcher.Answer, took time.Duration)
}

// Options are the dependencies and settings of a Server.
type Options struct {
	Fleet    Fleet
	Admitter Admitter
	Sender   Sender
	Recorder AttemptRecorder
	Observer Observer
	Limits   Limits
	// Index returns the current configuration.
	Index    func() *merger.Index
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Asserter *asserter.Asserter
}

// Server serves the requests that callers send to this VM.
type Server struct {
	Options
	// slots has one element for each request in flight.
	slots chan struct{}
}

// New returns a Server with the given options.
func New(o Options) *Server {
	return &Server{Options: o, slots: make(chan struct{}, o.Limits.MaxRequests)}
}

// Handler returns the HTTP handler for the listener that callers connect to.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET(PathAddresses, s.addresses)
	e.Any("/*", s.serve)
	return e
}

type addressList struct {
	Addresses []netip.AddrPort `json:"addresses"`
	// TTLSeconds is how long the list may be used.
	TTLSeconds int `json:"ttlSeconds"`
}

func (s *Server) addresses(e echo.Context) error {
	from, _ := netip.ParseAddrPort(e.Request().RemoteAddr)
	as := s.Fleet.Addresses(from.Addr(), maxAddresses)
	if as == nil {
		as = []netip.AddrPort{}
	}
	s.closeIfStopping(e)
	return e.JSON(http.StatusOK, addressList{as, int(addressTTL.Seconds())})
}

// closeIfStopping makes the server close the connection after the response if the VM is shutting down.
func (s *Server) closeIfStopping(e echo.Context) {
	if s.Fleet.Stopping() {
		e.Response().Header().Set("Connection", "close")
	}
}
