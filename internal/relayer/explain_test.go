package relayer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// explainAll asks all VMs for the state of the account's rate, and returns the index of the one that says it is the owner.
func (f *fleet) explainAll(t *testing.T) (owner int) {
	owner = -1
	for i, r := range f.relayers {
		e := r.ExplainRate(&f.account)
		require.True(t, e.Limited)
		if e.Decides && !e.WithoutOwner {
			require.Equal(t, -1, owner)
			owner = i
		}
	}
	require.NotEqual(t, -1, owner)
	return owner
}

func TestExplainedTokensAreThoseThatTheOwnerGrants(t *testing.T) {
	f, plain := newFleet(20, 40), newFleet(20, 40)
	f.clock.Advance(plain.clock.Now().Sub(f.clock.Now())) // Both have the same windows.
	for range 70 {
		f.advance(100 * time.Millisecond)
		plain.advance(100 * time.Millisecond)
	}
	owner := f.explainAll(t)
	for range 40 {
		for _, o := range []*fleet{f, plain} {
			o.advance(130 * time.Millisecond)
		}
		f.explainAll(t)
		e := f.relayers[owner].ExplainRate(&f.account)
		require.Equal(t, e.Tokens > 0, e.HasToken)
		require.Equal(t, e, f.relayers[owner].ExplainRate(&f.account), "an explanation takes no token")
		var d relayer.Admission
		granted := 0
		for d = range tryAll(f, owner) {
			if d.Admitted {
				granted++
			}
		}
		require.Equal(t, e.Tokens, granted)
		require.Equal(t, d.RetryAfter, f.relayers[owner].ExplainRate(&f.account).RetryAfter)
		require.Equal(t, d.RetryAfter > 120*time.Millisecond, f.relayers[owner].ExplainRate(&f.account).Refused)
		without := 0
		for d := range tryAll(plain, owner) {
			if d.Admitted {
				without++
			}
		}
		require.Equal(t, without, granted, "explanations change nothing")
	}
}

// tryAll yields what a VM decides on requests until it refuses one.
func tryAll(f *fleet, vm int) func(yield func(relayer.Admission) bool) {
	return func(yield func(relayer.Admission) bool) {
		for {
			d := f.relayers[vm].TryAdmit(context.Background(), &f.account)
			if !yield(d) || !d.Admitted {
				return
			}
		}
	}
}

func TestRateOfAnotherOwnerIsNotGuessed(t *testing.T) {
	f := steadyFleet(5, 30)
	owner := f.explainAll(t)
	e := f.relayers[(owner+1)%5].ExplainRate(&f.account)
	require.Equal(t, relayer.RateState{Limited: true, Rate: 30, Burst: 30, Owner: f.members[owner].ID()}, e)
	require.Equal(t, relayer.RateState{}, f.relayers[0].ExplainRate(nil))
}

func TestRateWithoutOwnerIsExplained(t *testing.T) {
	f := steadyFleet(5, 30)
	for _, tr := range f.trackers[:1] {
		for _, m := range f.members {
			m.AsOf, m.Role = f.clock.Now(), tracker.RoleLeaving
			tr.UpdateMember(m)
		}
	}
	before := f.relayers[0].ExplainRate(&f.account)
	require.True(t, before.WithoutOwner)
	require.True(t, before.Decides)
	admitted := 0
	for range 100 {
		e := f.relayers[0].ExplainRate(&f.account)
		require.Equal(t, e, f.relayers[0].ExplainRate(&f.account))
		d := f.relayers[0].TryAdmit(context.Background(), &f.account)
		require.Equal(t, e.HasToken, d.Admitted)
		require.Equal(t, e.RetryAfter, d.RetryAfter)
		if d.Admitted {
			admitted++
		}
		f.clock.Advance(100 * time.Millisecond)
	}
	require.Positive(t, admitted)
}
