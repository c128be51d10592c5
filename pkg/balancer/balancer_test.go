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

// pick sends n requests that are answered at once, and counts them by instance.
func pick(b *balancer.Balancer, now time.Time, n int, w balancer.Request) map[string]int {
	got := map[string]int{}
	for range n {
		c, _ := b.Pick(now, w)
		got[c.ID]++
		b.Done(now, c, balancer.OutcomeCanceled, 0)
	}
	return got
}

func TestOneBrokenConnectionKeepsRequestsThatRunOnceAway(t *testing.T) {
	b := newBalancer(10)
	c, ok := b.Pick(start, balancer.Request{})
	require.True(t, ok)
	b.Done(start, c, balancer.OutcomeBroken, 0)
	require.Zero(t, pick(b, start, 2000, balancer.Request{})[c.ID])
	require.Zero(t, pick(b, start, 2000, balancer.Request{Idempotent: true})[c.ID])
}

func TestPeersFailuresCountAndTheirPathsHardly(t *testing.T) {
	b := newBalancer(10)
	b.Hear(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{balancer.OutcomeBroken: 1}})
	b.Hear(start, balancer.Report{Instance: "i2", Counts: map[balancer.Outcome]int{balancer.OutcomeUnreachable: 2}})
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
	require.False(t, suspect("i2"), "what a few cannot reach may be behind a path of theirs")
	b.Hear(start, balancer.Report{Instance: "i2", Counts: map[balancer.Outcome]int{balancer.OutcomeUnreachable: 3}})
	require.True(t, suspect("i2"))
}

func TestAnswersClearASuspectAndTimeDoes(t *testing.T) {
	b := newBalancer(10)
	report := func(o balancer.Outcome, n int) {
		b.Hear(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{o: n}})
	}
	report(balancer.OutcomeBroken, 1)
	report(balancer.OutcomeAnswered, 4)
	require.Positive(t, pick(b, start, 2000, balancer.Request{})["i0"])
	report(balancer.OutcomeBroken, 3)
	require.Zero(t, pick(b, start, 2000, balancer.Request{})["i0"])
	require.Positive(t, pick(b, start.Add(12*time.Second), 2000, balancer.Request{})["i0"])
}

// TestFloor makes any instances fail in any order: no more than the allowed part is out of use.
func TestFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "instances")
		b := newBalancer(n)
		for range rapid.IntRange(0, 100).Draw(t, "failures") {
			i := fmt.Sprint("i", rapid.IntRange(0, n-1).Draw(t, "instance"))
			b.Hear(start, balancer.Report{Instance: i, Counts: map[balancer.Outcome]int{balancer.OutcomeBroken: 2}})
		}
		out := 0
		for _, j := range b.Judgements(start) {
			if j.Suspect {
				out++
			}
		}
		require.LessOrEqual(t, float64(out), 0.3*float64(n))
	})
}

// TestOwnDomainWhileItHasRoom fills the instances of the own failure domain before others get more than a few.
func TestOwnDomainWhileItHasRoom(t *testing.T) {
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
	require.GreaterOrEqual(t, far, 16, "a full domain sends away")
}

func TestTriedAndWarming(t *testing.T) {
	b := newBalancer(2)
	c, ok := b.Pick(start, balancer.Request{Tried: []string{"i0"}})
	require.True(t, ok)
	require.Equal(t, "i1", c.ID)
	_, ok = b.Pick(start, balancer.Request{Tried: []string{"i0", "i1"}})
	require.False(t, ok)
	is := instances(10)
	is[0].WarmAt = start.Add(time.Second)
	b.SetInstances(start, is)
	cold := pick(b, start, 1000, balancer.Request{})["i0"]
	require.Greater(t, pick(b, start.Add(2*time.Second), 1000, balancer.Request{})["i0"], cold)
}

func TestOthersLoadCountsForAWhile(t *testing.T) {
	b := newBalancer(10)
	for i := range 9 {
		b.Others(start, fmt.Sprint("i", i), 8)
	}
	require.Greater(t, pick(b, start, 1000, balancer.Request{})["i9"], 950)
	require.Less(t, pick(b, start.Add(5*time.Second), 1000, balancer.Request{})["i9"], 500)
}

// TestNoneIsWithoutRequests plays 10 requests a second, a part of them idempotent, to a service some of whose
// instances are suspected or slow: each gets a request in any 2 s.
func TestNoneIsWithoutRequests(t *testing.T) {
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
			c, _ := b.Pick(now, balancer.Request{Idempotent: r.IntN(3) > 0, Careful: careful})
			bound := 2 * time.Second
			if careful && c.Domain != "d0" {
				bound = 3 * time.Second // The processes of its own domain try it sooner.
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

// TestSlowIsForgotten uses an instance again that was slow once.
func TestSlowIsForgotten(t *testing.T) {
	b := newBalancer(8)
	for range 40 {
		b.Hear(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{balancer.OutcomeAnswered: 1}, Relative: 10})
	}
	require.Zero(t, pick(b, start, 1000, balancer.Request{})["i0"])
	require.Positive(t, pick(b, start.Add(15*time.Second), 1000, balancer.Request{})["i0"])
}

// TestRefusalsKeepRequestsAwayForAMoment lets an instance refuse requests, which makes it look idle.
func TestRefusalsKeepRequestsAwayForAMoment(t *testing.T) {
	b := newBalancer(8)
	even := pick(b, start, 4000, balancer.Request{})["i0"]
	b.Hear(start, balancer.Report{Instance: "i0", Counts: map[balancer.Outcome]int{balancer.OutcomeShed: 1}})
	require.Less(t, pick(b, start, 4000, balancer.Request{})["i0"], even/10)
	require.InDelta(t, even, pick(b, start.Add(time.Second), 4000, balancer.Request{})["i0"], float64(even)/5)
	require.Zero(t, b.Judgements(start)[0].Evidence, "refusing is no sickness")
}

// TestWhatRunsOnceGoesWhereAnswersWereSeen prefers instances that just answered for requests that may run only
// once, while they have free slots; idempotent requests go to the others as well.
func TestWhatRunsOnceGoesWhereAnswersWereSeen(t *testing.T) {
	b := newBalancer(16)
	now := start.Add(5 * time.Second)
	proven := map[string]bool{"i0": true, "i2": true, "i4": true, "i6": true}
	for id := range proven {
		b.Hear(now, balancer.Report{Instance: id, Counts: map[balancer.Outcome]int{balancer.OutcomeAnswered: 1}})
	}
	share := func(w balancer.Request) float64 {
		n := 0
		for id, k := range pick(b, now, 4000, w) {
			if proven[id] {
				n += k
			}
		}
		return float64(n) / 4000
	}
	require.Greater(t, share(balancer.Request{}), 0.8)
	require.Less(t, share(balancer.Request{Idempotent: true, Careful: true}), 0.65)
	for id := range proven {
		b.Others(now, id, 6)
	}
	require.Less(t, share(balancer.Request{}), 0.2, "waiting for a slot costs more")
}
