package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// Trials, hedges and the choice of last resort must leave out an instance that wants no requests, too.
func TestInstanceThatAskedForAPauseIsNotPicked(t *testing.T) {
	for _, n := range []int{1, 2, 8} {
		b := newBalancer(n)
		c := balancer.Choice{Instance: instances(n)[0]}
		b.Pause(start, c, start.Add(5*time.Second))
		b.Pause(start, c, start.Add(time.Second))
		for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(100 * time.Millisecond) {
			for _, r := range []balancer.Request{{}, {Idempotent: true}, {AvoidLimited: true}, {Tried: []string{"i1"}}} {
				for range 5 {
					got, ok := b.Pick(at, r)
					require.False(t, ok && got.ID == c.ID)
					if ok {
						b.Done(at, got, balancer.OutcomeBroken, 0)
					}
				}
			}
			if at.Equal(start.Add(time.Second)) { // It is not in the list for a moment.
				b.SetInstances(at, instances(n)[1:])
				b.SetInstances(at, instances(n))
			}
		}
		next, ok := b.NextAvailable(start, balancer.Request{})
		require.True(t, ok)
		require.Equal(t, start.Add(5*time.Second), next)
		require.Positive(t, pick(b, start.Add(5*time.Second), 200, balancer.Request{Idempotent: true})[c.ID])
	}
}

// The start of an instance may become known only after the instance has asked for a pause.
func TestPauseEndsWithTheIncarnationThatAskedForIt(t *testing.T) {
	for name, c := range map[string]struct {
		started time.Duration
		ends    bool
	}{
		"started after the pause":    {5 * time.Second, true},
		"started before the pause":   {-100 * time.Millisecond, false},
		"started long before it":     {-time.Minute, false},
		"clocks that do not agree":   {500 * time.Millisecond, false},
		"started just after a pause": {1100 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(1)
			is := instances(1)
			b.Pause(start, balancer.Choice{Instance: is[0]}, start.Add(time.Hour))
			is[0].Incarnation = start.Add(c.started).UnixMilli()
			b.SetInstances(start, is)
			_, ok := b.Pick(start.Add(10*time.Second), balancer.Request{})
			require.Equal(t, c.ends, ok)
			b.Pause(start.Add(10*time.Second), balancer.Choice{Instance: is[0]}, start.Add(20*time.Second))
			_, ok = b.Pick(start.Add(30*time.Second), balancer.Request{})
			require.Equal(t, c.ends, ok, "a shorter pause does not end it")
		})
	}
}

// A suspected instance serves better than a pause.
func TestPausedInstancesLeaveTheSuspectedOnes(t *testing.T) {
	b := newBalancer(2)
	is := instances(2)
	for range 5 {
		b.Observe(start, is[1].ID, balancer.OutcomeBroken)
	}
	b.Pause(start, balancer.Choice{Instance: is[0]}, start.Add(time.Hour))
	c, ok := b.Pick(start, balancer.Request{})
	require.True(t, ok)
	require.Equal(t, is[1].ID, c.ID)
}

// A late refusal of an earlier incarnation must not end the pause that the current one asked for.
func TestPauseOfAnEarlierIncarnationDoesNotReplaceTheCurrentOne(t *testing.T) {
	b := newBalancer(1)
	is := instances(1)
	before := balancer.Choice{Instance: is[0]}
	is[0].Incarnation++
	b.SetInstances(start, is)
	b.Pause(start, balancer.Choice{Instance: is[0]}, start.Add(time.Hour))
	b.Pause(start, before, start.Add(time.Second))
	b.SetInstances(start, is)
	_, ok := b.Pick(start.Add(time.Minute), balancer.Request{})
	require.False(t, ok)
}
