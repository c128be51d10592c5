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

// Fleet is what callers are told about the fleet.
type Fleet interface {
	// Addresses returns up to n callers' addresses of live VMs, spread over the failure domains.
	Addresses(caller netip.Addr, n int) []netip.AddrPort
	// InContact reports whether this VM may act on the configuration it has.
	InContact() bool
	// Stopping reports whether this VM is about to stop.
	Stopping() bool
}

// Admitter holds the accounts to their rates.
type Admitter interface {
	// Admit takes a token; it returns limiter.ErrOverRate if there is none.
	Admit(ctx context.Context, a merger.Account) error
	// RetryAfter returns how long until there may be one.
	RetryAfter(account string) time.Duration
}

// Sender brings requests to the dispatcher of their group.
type Sender interface {
	Send(ctx context.Context, m merger.Match, r dispatcher.Request) dispatcher.Answer
}

// Keeper records attempts with idempotency keys at their holders.
type Keeper interface {
	// Begin records an attempt at all holders; it may run only on recorder.VerdictNew.
	Begin(ctx context.Context, a recorder.Attempt) (recorder.Verdict, recorder.Result)
	// Finish records the attempt's end, or forgets it if it was not run.
	Finish(a recorder.Attempt, canceled bool, res recorder.Result)
}

// Limits limits what a caller may take up.
type Limits struct {
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	// BodyTimeout bounds the reading of a body and the writing of an answer.
	BodyTimeout time.Duration
	// MaxRequests bounds the requests in flight.
	MaxRequests int
}

// Observer is told of each request's end.
type Observer interface {
	Observe(account, route string, a dispatcher.Answer, took time.Duration)
}

// Options are what a Caller needs.
type Options struct {
	Fleet    Fleet
	Admitter Admitter
	Sender   Sender
	Keeper   Keeper
	Observer Observer
	Limits   Limits
	Index    func() *merger.Index
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Asserter *asserter.Asserter
}

// Caller serves the callers of one VM.
type Caller struct {
	Options
	slots chan struct{}
}

// New returns a Caller.
func New(o Options) *Caller {
	return &Caller{Options: o, slots: make(chan struct{}, o.Limits.MaxRequests)}
}

// Handler returns the HTTP handler for the callers' listener.
func (c *Caller) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET(PathAddresses, c.addresses)
	e.Any("/*", c.serve)
	return e
}

type addressList struct {
	Addresses []netip.AddrPort `json:"addresses"`
	// Seconds is how long the list may be kept.
	Seconds int `json:"ttlSeconds"`
}

func (c *Caller) addresses(e echo.Context) error {
	from, _ := netip.ParseAddrPort(e.Request().RemoteAddr)
	as := c.Fleet.Addresses(from.Addr(), addressCount)
	if as == nil {
		as = []netip.AddrPort{}
	}
	c.closeIfStopping(e)
	return e.JSON(http.StatusOK, addressList{as, int(addressLife.Seconds())})
}

// closeIfStopping ends a kept connection after its answer when the VM is about to stop.
func (c *Caller) closeIfStopping(e echo.Context) {
	if c.Fleet.Stopping() {
		e.Response().Header().Set("Connection", "close")
	}
}
