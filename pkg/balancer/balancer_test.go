package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

var start = time.Unix(1_700_000_000, 0)

func instances(n int) []balancer.Instance {
	is := make([]balancer.Instance, n)
	for i := range is {
		is[i] = balancer.Instance{
			ID: fmt.Sprint("i", i), Service: "s", Domain: fmt.Sprint("d", i%2), Slots: 4,
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)),
		}
	}
	return is
}

func newBalancer(n int) *balancer.Balancer {
	b := balancer.New("d0", rand.New(rand.NewPCG(1, 2)))
	b.SetInstances(start, instances(n))
	return b
}

// pick sends n requests that end immediately without evidence, and counts them by instance.
func pick(b *balancer.Balancer, now time.Time, n int, r balancer.Request) map[string]int {
	got := map[string]int{}
	for range n {
		c, _ := b.Pick(now, r)
		got[c.ID]++
		b.Done(now, c, balancer.OutcomeCanceled, 0)
	}
	return got
}

func TestBrokenConnectionMakesInstanceSuspect(t *testing.T) {
	b := newBalancer(10)
	c, ok := b.Pick(start, balancer.Request{})
	require.True(t, ok)
	b.Done(start, c, balancer.OutcomeBroken, 0)
	require.Zero(t, pick(b, start, 2000, balancer.Request{})[c.ID])
	require.Zero(t, pick(b, start, 2000, balancer.Request{Idempotent: true})[c.ID])
}

func TestWeightsOfPeerReports(t *testing.T) {
	b := newBalancer(10)
	b.ApplyReport(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{balancer.OutcomeBroken: 1}})
	b.ApplyReport(start, balancer.Report{Instance: "i2", Counts: map[balancer.Outcome]int{balancer.OutcomeUnreachable: 2}})
	got := pick(b, start, 2000, balancer.Request{})
	require.Zero(t, got["i0"])
	suspect := func(id string) bool {
		for _, j := range b.Judgements(start) {
			if j.ID == id {
				return j.Suspect
			}
		}
		return false
	}
	require.False(t, suspect("i2"), "an instance that few peers cannot reach may be behind a broken path of theirs")
	b.ApplyReport(start, balancer.Report{Instance: "i2", Counts: map[balancer.Outcome]int{balancer.OutcomeUnreachable: 3}})
	require.True(t, suspect("i2"))
}

func TestAnswersOrTimeClearSuspect(t *testing.T) {
	b := newBalancer(10)
	report := func(o balancer.Outcome, n int) {
		b.ApplyReport(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{o: n}})
	}
	report(balancer.OutcomeBroken, 1)
	report(balancer.OutcomeAnswered, 4)
	require.Positive(t, pick(b, start, 2000, balancer.Request{})["i0"])
	report(balancer.OutcomeBroken, 3)
	require.Zero(t, pick(b, start, 2000, balancer.Request{})["i0"])
	require.Positive(t, pick(b, start.Add(12*time.Second), 2000, balancer.Request{})["i0"])
}

// TestMaxSuspectShare checks that at most the allowed share of instances is out of use, whichever instances fail in
// whichever order.
func TestMaxSuspectShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "instances")
		b := newBalancer(n)
		for range rapid.IntRange(0, 100).Draw(t, "failures") {
			i := fmt.Sprint("i", rapid.IntRange(0, n-1).Draw(t, "instance"))
			b.ApplyReport(start, balancer.Report{Instance: i, Counts: map[balancer.Outcome]int{balancer.OutcomeBroken: 2}})
		}
		suspects := 0
		for _, j := range b.Judgements(start) {
			if j.Suspect {
				suspects++
			}
		}
		require.LessOrEqual(t, float64(suspects), 0.3*float64(n))
	})
}

// TestPrefersOwnDomainUntilFull checks that the instances of the own failure domain fill up before those of the other
// get more than a single request, and that requests leave the domain once it is full.
func TestPrefersOwnDomainUntilFull(t *testing.T) {
	b := newBalancer(8)
	near, far := 0, 0
	for range 12 {
		c, _ := b.Pick(start, balancer.Request{})
		if c.Domain == "d0" {
			near++
		} else {
			far++
		}
	}
	require.GreaterOrEqual(t, near, 11)
	for range 40 {
		c, _ := b.Pick(start, balancer.Request{})
		if c.Domain != "d0" {
			far++
		}
	}
	require.GreaterOrEqual(t, far, 16, "requests leave a full domain")
}

func TestTriedAndWarmup(t *testing.T) {
	b := newBalancer(2)
	c, ok := b.Pick(start, balancer.Request{Tried: []string{"i0"}})
	require.True(t, ok)
	require.Equal(t, "i1", c.ID)
	_, ok = b.Pick(start, balancer.Request{Tried: []string{"i0", "i1"}})
	require.False(t, ok)
	is := instances(10)
	is[0].WarmAt = start.Add(time.Second)
	b.SetInstances(start, is)
	duringWarmup := pick(b, start, 1000, balancer.Request{})["i0"]
	require.Greater(t, pick(b, start.Add(2*time.Second), 1000, balancer.Request{})["i0"], duringWarmup)
}

func TestPeerLoadExpires(t *testing.T) {
	b := newBalancer(10)
	for i := range 9 {
		b.SetPeerInFlight(start, fmt.Sprint("i", i), 8)
	}
	require.Greater(t, pick(b, start, 1000, balancer.Request{})["i9"], 950)
	require.Less(t, pick(b, start.Add(5*time.Second), 1000, balancer.Request{})["i9"], 500)
}

// TestEveryInstanceGetsRequests checks that no instance is without requests for 2 s, although some are suspected or
// slow. It sends 40 requests a second to 8 instances, two thirds of them idempotent. With few retries left, instances
// of the other domain may be without requests for up to 3 s.
func TestEveryInstanceGetsRequests(t *testing.T) {
	for _, careful := range []bool{false, true} {
		b := newBalancer(8)
		r := rand.New(rand.NewPCG(3, 4))
		last := map[string]time.Time{}
		for i := range 8 {
			last[fmt.Sprint("i", i)] = start
		}
		now := start
		for range 3000 {
			now = now.Add(25 * time.Millisecond)
			c, _ := b.Pick(now, balancer.Request{Idempotent: r.IntN(3) > 0, LowRetryBudget: careful})
			bound := 2 * time.Second
			if careful && c.Domain != "d0" {
				bound = 3 * time.Second // Processes of its own domain start a trial sooner.
			}
			require.Less(t, now.Sub(last[c.ID]), bound, c.ID)
			last[c.ID] = now
			o, relative := balancer.OutcomeAnswered, 1.0
			switch c.ID {
			case "i0", "i1":
				o = balancer.OutcomeBroken
			case "i2":
				relative = 12
			}
			b.Done(now, c, o, relative)
		}
		require.Len(t, last, 8)
		for id, at := range last {
			require.Less(t, now.Sub(at), 3*time.Second, id)
		}
	}
}

// TestSlowInstanceGetsRequestsAgain checks that an instance that was slow gets requests again some time later.
func TestSlowInstanceGetsRequestsAgain(t *testing.T) {
	b := newBalancer(8)
	for range 40 {
		b.ApplyReport(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{balancer.OutcomeAnswered: 1}, RelativeLatency: 10})
	}
	require.Zero(t, pick(b, start, 1000, balancer.Request{})["i0"])
	require.Positive(t, pick(b, start.Add(15*time.Second), 1000, balancer.Request{})["i0"])
}

// TestRefusalReducesRequestsTemporarily guards against sending more requests to an instance that refuses them: it
// looks idle because refused requests end immediately.
func TestRefusalReducesRequestsTemporarily(t *testing.T) {
	b := newBalancer(8)
	baseline := pick(b, start, 4000, balancer.Request{})["i0"]
	b.ApplyReport(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{balancer.OutcomeShed: 1}})
	require.Less(t, pick(b, start, 4000, balancer.Request{})["i0"], baseline/10)
	require.InDelta(t, baseline, pick(b, start.Add(time.Second), 4000, balancer.Request{})["i0"], float64(baseline)/5)
	require.Zero(t, b.Judgements(start)[0].Evidence, "a refusal is no evidence of a fault")
}

// TestNonIdempotentRequestsPreferRecentAnswers checks that requests that may run only once prefer instances that
// answered recently, as long as those have free slots, and that idempotent requests try all others as well.
func TestNonIdempotentRequestsPreferRecentAnswers(t *testing.T) {
	now := start.Add(5 * time.Second)
	answered := map[string]bool{"i0": true, "i2": true, "i4": true, "i6": true}
	answering := func() *balancer.Balancer {
		b := newBalancer(16)
		for id := range answered {
			b.ApplyReport(now, balancer.Report{Instance: id, Counts: map[balancer.Outcome]int{balancer.OutcomeAnswered: 1}})
		}
		return b
	}
	require.Len(t, pick(answering(), now, 100, balancer.Request{Idempotent: true, LowRetryBudget: true}), 16)
	b := answering()
	share := func(r balancer.Request) float64 {
		n := 0
		for id, k := range pick(b, now, 4000, r) {
			if answered[id] {
				n += k
			}
		}
		return float64(n) / 4000
	}
	require.Greater(t, share(balancer.Request{}), 0.8)
	for id := range answered {
		b.SetPeerInFlight(now, id, 6)
	}
	require.Less(t, share(balancer.Request{}), 0.2, "waiting for a slot costs more than the lack of a recent answer")
}

// limited sets the limits of the first n of four instances.
func limited(n int) *balancer.Balancer {
	b := newBalancer(4)
	is := instances(4)
	for i := range n {
		is[i].Limit = 5
	}
	b.SetInstances(start, is)
	return b
}

func TestReleasedInstanceIsNotPickedBeforeItsTime(t *testing.T) {
	b := limited(1)
	for {
		c, ok := b.Pick(start, balancer.Request{})
		require.True(t, ok)
		if c.ID == "i0" {
			b.Release(c, start.Add(time.Second))
			break
		}
		b.Release(c, time.Time{})
	}
	require.NotContains(t, pick(b, start, 100, balancer.Request{}), "i0")
	at, ok := b.NextAvailable(start, balancer.Request{})
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second), at)
	require.Contains(t, pick(b, at, 100, balancer.Request{}), "i0")
}

func TestHedgesAvoidInstancesWithALimit(t *testing.T) {
	got := pick(limited(2), start, 200, balancer.Request{Idempotent: true, AvoidLimited: true})
	require.NotContains(t, got, "i0")
	require.NotContains(t, got, "i1")
	_, ok := limited(4).Pick(start, balancer.Request{AvoidLimited: true})
	require.False(t, ok)
}

func TestOtherInstancesAreNotDrivenOverTheirSlotsByLimits(t *testing.T) {
	b := limited(2)
	for {
		c, ok := b.Pick(start, balancer.Request{})
		if !ok {
			break
		}
		if c.Limit > 0 {
			b.Release(c, start.Add(time.Second))
		}
	}
	b.EachInFlight(func(id string, n int) { require.LessOrEqual(t, n, 8, id) })
	at, ok := b.NextAvailable(start, balancer.Request{})
	require.True(t, ok)
	require.True(t, at.After(start))
}

func TestFailingInstanceDoesNotAttractWhatLimitsKeepAway(t *testing.T) {
	b := limited(2)
	b.Observe(start, "i3", balancer.OutcomeBroken)
	for range 100 {
		c, ok := b.Pick(start, balancer.Request{})
		if !ok {
			return
		}
		require.NotEqual(t, "i3", c.ID)
		if c.Limit > 0 {
			b.Release(c, start.Add(time.Second))
		}
	}
	t.Fatal("the other instances have no end of room")
}
