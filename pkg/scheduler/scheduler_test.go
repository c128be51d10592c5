package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/scheduler"
)

func TestMain(m *testing.M) { chooser.Main(m) }

type job struct {
	name  string
	avoid int
}

func newScheduler(eligible func(int) scheduler.Eligibility, instances, slots int) *scheduler.Scheduler[*job] {
	a := asserter.New(func(v asserter.Violation) { panic(v) })
	s := scheduler.New(8, func(j *job) scheduler.Request {
		return scheduler.Request{Idempotent: true, Avoid: j.avoid}
	}, eligible, rand.New(rand.NewPCG(1, 1)), a)
	for range instances {
		s.Add(time.Unix(0, 0), slots, false)
	}
	return s
}

func all(int) scheduler.Eligibility { return scheduler.EligibilityAll }

// TestSlotsAndRequestsAreKept checks, over random courses, that no instance runs more than its
// slots, that none that is not eligible gets a request, and that no request is lost or runs twice.
func TestSlotsAndRequestsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances, slots = 4, 3
		states := make([]scheduler.Eligibility, instances)
		for i := range states {
			states[i] = scheduler.EligibilityAll
		}
		s := newScheduler(func(i int) scheduler.Eligibility { return states[i] }, instances, slots)
		now := time.Unix(100, 0)
		waiting, running := map[*job]bool{}, map[int]int{}
		for n := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				states[i] = scheduler.Eligibility(rapid.IntRange(0, 2).Draw(t, "state"))
			case 1:
				if running[i] > 0 {
					running[i]--
					s.Finish(i, 20*time.Millisecond)
				}
			case 2:
				for _, it := range s.Expired(now) {
					require.True(t, waiting[it.Value])
					require.False(t, now.Add(2*s.MeanServiceTime()).Before(it.Deadline))
					delete(waiting, it.Value)
				}
			default:
				j := &job{name: fmt.Sprint(n), avoid: rapid.IntRange(-1, instances-1).Draw(t, "avoid")}
				wait := time.Duration(rapid.IntRange(10, 500).Draw(t, "deadline")) * time.Millisecond
				it := scheduler.Item[*job]{Account: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), Value: j, Deadline: now.Add(wait)}
				if s.Submit(now, it) == nil {
					waiting[j] = true
				}
			}
			for it, i, ok := s.Next(now); ok; it, i, ok = s.Next(now) {
				require.True(t, waiting[it.Value], "a request runs once")
				delete(waiting, it.Value)
				running[i]++
				require.LessOrEqual(t, running[i], slots)
				require.NotEqual(t, scheduler.EligibilityNone, states[i])
			}
			require.Equal(t, len(waiting), s.Len())
		}
	})
}

// TestServesByWeight keeps two accounts waiting all the time, one with three times the weight.
func TestServesByWeight(t *testing.T) {
	q := scheduler.NewQueue[string](1000)
	for range 400 {
		for account, weight := range map[string]float64{"large": 3, "small": 1} {
			require.NoError(t, q.Push(scheduler.Item[string]{Account: account, Weight: weight}))
		}
	}
	served := map[string]int{}
	for range 400 {
		it, _ := q.Pop(func(scheduler.Item[string]) bool { return true })
		served[it.Account]++
	}
	require.InDelta(t, 300, served["large"], 2)
	require.InDelta(t, 100, served["small"], 2)
}

// TestBacklogDelaysNoOther lets one account send without end; another's request is next but one.
func TestBacklogDelaysNoOther(t *testing.T) {
	s := newScheduler(all, 1, 1)
	now := time.Unix(100, 0)
	submit := func(account string) error {
		return s.Submit(now, scheduler.Item[*job]{Account: account, Value: &job{account, -1}, Deadline: now.Add(time.Minute)})
	}
	for submit("large") == nil {
	}
	require.NoError(t, submit("small"))
	_, _, ok := s.Next(now)
	require.True(t, ok)
	s.Finish(0, time.Millisecond)
	it, _, ok := s.Next(now)
	require.True(t, ok)
	require.Equal(t, "small", it.Account)
}

func TestRefusesWhatWouldBeLate(t *testing.T) {
	s := newScheduler(all, 1, 1)
	now := time.Unix(100, 0)
	for range 200 {
		require.True(t, s.Choose(now, scheduler.Request{Avoid: -1}) >= 0)
		s.Start(now, 0)
		s.Finish(0, 100*time.Millisecond)
	}
	it := scheduler.Item[*job]{Account: "a", Value: &job{"a", -1}, Deadline: now.Add(100 * time.Millisecond)}
	require.ErrorIs(t, s.Submit(now, it), scheduler.ErrDeadline)
	it.Deadline = now.Add(200 * time.Millisecond)
	require.NoError(t, s.Submit(now, it))
	require.ErrorIs(t, s.Submit(now, it), scheduler.ErrDeadline, "one waits already")
}

func TestColdInstanceGetsItsSlotsOneByOne(t *testing.T) {
	s := newScheduler(all, 0, 0)
	now := time.Unix(100, 0)
	s.Add(now, 4, true)
	count := func() int {
		n := 0
		for i := s.Choose(now, scheduler.Request{Avoid: -1}); i >= 0; i = s.Choose(now, scheduler.Request{Avoid: -1}) {
			s.Start(now, i)
			n++
		}
		return n
	}
	require.Equal(t, 1, count())
	now = now.Add(time.Second)
	require.Equal(t, 2, count())
	now = now.Add(time.Minute)
	require.Equal(t, 1, count())
}

func TestAvoidsUnlessItIsTheOnlyOne(t *testing.T) {
	states := []scheduler.Eligibility{scheduler.EligibilityAll, scheduler.EligibilityAll}
	s := newScheduler(func(i int) scheduler.Eligibility { return states[i] }, 2, 1)
	now := time.Unix(100, 0)
	require.Equal(t, 1, s.Choose(now, scheduler.Request{Avoid: 0}))
	s.Start(now, 1)
	require.Negative(t, s.Choose(now, scheduler.Request{Avoid: 0}), "the other is busy, so it waits")
	states[1] = scheduler.EligibilityNone
	require.Equal(t, 0, s.Choose(now, scheduler.Request{Avoid: 0}))
}

func ExampleQueue() {
	q := scheduler.NewQueue[string](10)
	for _, n := range []string{"a1", "a2", "b1"} {
		_ = q.Push(scheduler.Item[string]{Account: n[:1], Value: n})
	}
	any := func(scheduler.Item[string]) bool { return true }
	for it, ok := q.Pop(any); ok; it, ok = q.Pop(any) {
		fmt.Println(it.Value)
	}
	// Output:
	// a1
	// b1
	// a2
}

func BenchmarkSubmitNextFinish(b *testing.B) {
	s := newScheduler(all, 16, 4)
	now := time.Unix(100, 0)
	j := &job{"x", -1}
	for b.Loop() {
		_ = s.Submit(now, scheduler.Item[*job]{Account: "a", Value: j, Deadline: now.Add(time.Second)})
		_, i, _ := s.Next(now)
		s.Finish(i, time.Millisecond)
	}
}
