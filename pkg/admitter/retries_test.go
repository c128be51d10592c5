package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
)

// retryPlay lets requests fail at a VM whose budget earns a number of retries per second, of which it keeps one.
type retryPlay struct {
	queue  *admitter.Retries
	now    time.Time
	earned float64
	left   float64
	wait   []*retryRequest
	all    map[string]int
	got    map[string]int
	// held is the longest time for which a request of a name waited and got no retry.
	held map[string]time.Duration
}

type retryRequest struct {
	ticket *admitter.Ticket
	name   string
	since  time.Time
}

func (p *retryPlay) fail(name string, t admitter.Try, within time.Duration) {
	t.StartBy = p.now.Add(within)
	p.all[name]++
	p.wait = append(p.wait, &retryRequest{p.queue.Join(p.now, t), name, p.now})
}

func (p *retryPlay) step(d time.Duration) {
	p.now = p.now.Add(d)
	p.left = min(1, p.left+p.earned*d.Seconds())
	kept := p.wait[:0:0]
	for _, w := range p.wait {
		switch turn, _ := p.queue.Turn(p.now, w.ticket, p.left, p.earned); turn {
		case admitter.TurnWait:
			kept = append(kept, w)
			continue
		case admitter.TurnTake:
			p.left--
			p.got[w.name]++
		case admitter.TurnRefuse:
			p.held[w.name] = max(p.held[w.name], p.now.Sub(w.since))
		}
		p.queue.Leave(w.ticket)
	}
	p.wait = kept
}

func newRetryPlay(earned float64) *retryPlay {
	return &retryPlay{queue: admitter.NewRetries(), now: time.Unix(1000, 0), earned: earned, all: map[string]int{}, got: map[string]int{}, held: map[string]time.Duration{}}
}

// Half of the requests of a service are refused though its instances have room: 12 of 24 a second at a VM that may send 3 again.
func TestRetriesThatAreLeftGoToUrgentRequests(t *testing.T) {
	p, r := newRetryPlay(3), rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		for range 2 {
			if r.Float64() < 0.01 { // Two a second.
				p.fail("urgent", admitter.Try{Level: 0, Account: "a"}, 600*time.Millisecond)
			}
			if r.Float64() < 0.05 {
				p.fail("other", admitter.Try{Level: 1, Account: "a", Once: true}, 600*time.Millisecond)
			}
		}
		p.step(10 * time.Millisecond)
	}
	share := func(name string) float64 { return float64(p.got[name]) / float64(p.all[name]) }
	require.Greater(t, share("urgent"), 0.85)
	require.Positive(t, p.got["other"], "what urgent requests leave goes to others")
	require.Greater(t, float64(p.got["urgent"]+p.got["other"]), 0.95*3*30, "no retry is wasted")
	require.LessOrEqual(t, p.held["other"], 600*time.Millisecond)
}

// Where accounts have priorities of their own, all routes may be of one level.
func TestRetriesOfALevelGoToTheMoreUrgentRoute(t *testing.T) {
	p := newRetryPlay(10)
	for range 500 {
		p.fail("once", admitter.Try{RoutePriority: 1, Once: true}, time.Second)
		p.fail("urgent", admitter.Try{RoutePriority: 0}, time.Second)
		p.step(100 * time.Millisecond)
	}
	require.Greater(t, p.got["urgent"], 9*p.all["urgent"]/10)
	require.Less(t, p.got["once"], p.all["once"]/10)
}

func TestRequestsWithoutTimeToWaitAreRefusedAtOnce(t *testing.T) {
	p := newRetryPlay(2)
	p.fail("late", admitter.Try{Level: 1, Account: "a"}, 400*time.Millisecond)
	p.step(0)
	require.Empty(t, p.wait, "a retry is earned in 0.5 s")
	p.fail("early", admitter.Try{Level: 1, Account: "a"}, 600*time.Millisecond)
	p.step(0)
	require.Len(t, p.wait, 1)
	p.fail("behind", admitter.Try{Level: 1, Account: "a"}, 600*time.Millisecond)
	p.step(0)
	require.Len(t, p.wait, 1, "the second one would get a retry after 1 s")
	p.step(500 * time.Millisecond)
	require.Equal(t, map[string]int{"early": 1}, p.got)
}

func TestNoRequestWaitsForWhatMoreUrgentOnesTake(t *testing.T) {
	p := newRetryPlay(2)
	for range 200 { // Five urgent ones a second take all that is earned.
		p.fail("urgent", admitter.Try{Level: 0, Account: "a"}, 400*time.Millisecond)
		p.step(200 * time.Millisecond)
	}
	p.left = 0
	p.fail("other", admitter.Try{Level: 2, Account: "b"}, time.Minute)
	p.step(0)
	require.Zero(t, p.got["other"])
	require.Zero(t, p.held["other"])
	for _, w := range p.wait {
		require.NotEqual(t, "other", w.name)
	}
}

func TestAccountWithManyFailuresLeavesRetriesToOthers(t *testing.T) {
	p, r := newRetryPlay(3), rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		if r.Float64() < 0.1 {
			p.fail("large", admitter.Try{Account: "large"}, time.Second)
		}
		if r.Float64() < 0.01 {
			p.fail("small", admitter.Try{Account: "small"}, time.Second)
		}
		p.step(10 * time.Millisecond)
	}
	require.Greater(t, float64(p.got["small"])/float64(p.all["small"]), 2*float64(p.got["large"])/float64(p.all["large"]))
}
