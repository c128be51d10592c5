package receiver_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/hedger"
)

const hedgeDelay = 300 * time.Millisecond

// hedgeFixture has a hedger with a fixed delay, and instances whose responses the test gives.
type hedgeFixture struct {
	*fixture
	decision hedger.Decision
	picked   chan bool
	slow     chan bool
	began    chan *send
}

// send is one sending of the request.
type send struct {
	instance string
	context.Context
	request  forwarder.Request
	response chan forwarder.Response
}

func newHedgeFixture() *hedgeFixture {
	h := &hedgeFixture{fixture: newFixture(), picked: make(chan bool, 10), slow: make(chan bool, 10), began: make(chan *send, 10)}
	h.receiver.Hedger, h.receiver.Sender = h, h
	return h
}

func (h *hedgeFixture) Delay(*router.Route) time.Duration  { return hedgeDelay }
func (h *hedgeFixture) Observe(_ *router.Route, slow bool) { h.slow <- slow }

func (h *hedgeFixture) Pick(_ string, _ *router.Route, want balancer.Request, _ time.Duration) (balancer.Choice, hedger.Decision, bool) {
	defer func() { h.picked <- true }()
	if h.decision != hedger.DecisionSend {
		return balancer.Choice{}, h.decision, false
	}
	c, ok := h.fixture.Pick("s", want)
	return c, h.decision, ok
}

func (h *hedgeFixture) Send(ctx context.Context, _ netip.AddrPort, r forwarder.Request, _ time.Duration) (forwarder.Response, error) {
	s := &send{r.Header.Get("Expected"), ctx, r, make(chan forwarder.Response)}
	h.began <- s
	select {
	case <-ctx.Done():
		return forwarder.Response{}, ctx.Err()
	case resp := <-s.response:
		return resp, nil
	}
}

// begin serves a request and returns its first sending, and a channel with its status.
func (h *hedgeFixture) begin(path string) (*send, chan int) {
	status := make(chan int, 1)
	go func() { status <- h.serve(path, "secret").Code }()
	return <-h.began, status
}

// pass lets the delay of a hedge pass.
func (h *hedgeFixture) pass(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, h.clock.BlockUntilContext(ctx, 1))
	h.clock.Advance(hedgeDelay)
}

func TestHedgeThatWinsIsCountedAndLoggedAndCancelsTheOther(t *testing.T) {
	h := newHedgeFixture()
	first, status := h.begin("/safe/")
	h.pass(t)
	require.True(t, <-h.slow)
	second := <-h.began
	require.NotEqual(t, first.instance, second.instance)
	second.response <- okResponse()
	require.Equal(t, http.StatusOK, <-status)
	<-first.Done()
	require.Equal(t, "won", h.logLine(t)["hedge"])
	again := h.logs.FilterMessage("sent again").FilterField(zap.Bool("hedge", true))
	require.Equal(t, 1, again.Len())
	n := h.receiver.HedgeCounts()
	require.Equal(t, []float64{1, 1, 0}, []float64{n["sent"], n["won"], n["lost"]})
}

func TestHedgeThatLosesIsCanceledAtOnce(t *testing.T) {
	h := newHedgeFixture()
	first, status := h.begin("/safe/")
	h.pass(t)
	second := <-h.began
	first.response <- okResponse()
	require.Equal(t, http.StatusOK, <-status)
	<-second.Done()
	require.Equal(t, "lost", h.logLine(t)["hedge"])
	n := h.receiver.HedgeCounts()
	require.Equal(t, []float64{1, 0, 1}, []float64{n["sent"], n["won"], n["lost"]})
}

func TestRefusedHedgeIsTriedAgainAndCountedOnce(t *testing.T) {
	h := newHedgeFixture()
	h.decision = hedger.DecisionLimit
	first, status := h.begin("/safe/")
	h.pass(t)
	<-h.picked
	h.pass(t)
	<-h.picked
	first.response <- okResponse()
	require.Equal(t, http.StatusOK, <-status)
	require.Empty(t, h.began)
	n := h.receiver.HedgeCounts()
	require.Equal(t, []float64{0, 1}, []float64{n["sent"], n["limit"]})
}

func TestFastAnswersAreNotHedged(t *testing.T) {
	h := newHedgeFixture()
	first, status := h.begin("/safe/")
	first.response <- okResponse()
	require.Equal(t, http.StatusOK, <-status)
	require.False(t, <-h.slow)
	require.Empty(t, h.picked)
}

// A second transfer of a response that is on its way would slow the first one down.
func TestRequestWhoseResponseHasBegunIsNotHedgedWithinItsObjective(t *testing.T) {
	h := newHedgeFixture()
	first, status := h.begin("/safe/")
	first.request.Answering.Store(true)
	h.pass(t)
	require.True(t, <-h.slow)
	h.pass(t)
	first.response <- okResponse()
	require.Equal(t, http.StatusOK, <-status)
	require.Empty(t, h.picked)
}

func TestRequestsThatMayRunOnceAreNotHedged(t *testing.T) {
	h := newHedgeFixture()
	first, status := h.begin("/once/")
	h.clock.Advance(time.Second)
	first.response <- okResponse()
	require.Equal(t, http.StatusOK, <-status)
	require.Empty(t, h.picked)
	require.Empty(t, h.slow)
}
