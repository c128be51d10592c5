package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/hedger"
)

// A hedge must not take the retry that a failed request waits for.
func TestHedgesComeAfterFailedRequestsThatWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := picker.New(picker.Options{
		Domain: "d", Random: rand.New(rand.NewPCG(1, 2)), Clock: clock, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second, VMCount: func() int { return 1 },
	})
	p.SetReporter(outcomeCounts{})
	h := p.EnableHedges(1)
	p.SetInstances([]balancer.Instance{{ID: "a", Service: "s", Domain: "d", Slots: 10}, {ID: "b", Service: "s", Domain: "d", Slots: 10}})
	for range 100 {
		p.CountRequest("s")
	}
	r := &router.Route{Name: "r", Objective: time.Second}
	for p.RetriesLeft()["s"] >= 3 {
		require.True(t, p.TakeRetry("s"))
	}
	hedge := func() hedger.Decision {
		_, d, _ := h.Pick("s", r, balancer.Request{Idempotent: true, Tried: []string{"a"}}, time.Second)
		return d
	}
	waiting := p.JoinRetries("s", r, admitter.Try{}, clock.Now().Add(time.Minute))
	require.Equal(t, hedger.DecisionRetries, hedge())
	p.LeaveRetries("s", waiting)
	require.Equal(t, hedger.DecisionSend, hedge())
}
