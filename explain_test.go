package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/runner"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

func TestExplanationIsPrintedAsTextAndJSON(t *testing.T) {
	x := runner.Explanation{VM: "vm-0", Domain: "d0", Explanation: receiver.Explanation{
		Version: 3, Method: "GET", Account: "t", Route: &receiver.ExplainedRoute{Name: "r", Host: "a", Prefix: "/p/", Idempotent: true, Attempts: 2},
		Rate: &relayer.RateState{Limited: true, Rate: 10, Burst: 5, Owner: "10.0.0.2:1"},
		Services: []receiver.ExplainedService{{Service: "s", Share: 1, LevelShare: 1, AccountShare: 1, Explanation: balancer.Explanation{
			Draws: 1000, Candidates: []balancer.Candidate{
				{Instance: balancer.Instance{ID: "i-1", Domain: "d0", Slots: 4}, Picked: 1, Cost: balancer.Cost{Wait: 1, Failure: 0.85}, Total: 1.85},
				{Instance: balancer.Instance{ID: "i-2", Domain: "d1", Slots: 4}, Standing: balancer.StandingSuspected},
			},
		}}},
	}}
	render := func(c explainCommand) (string, error) {
		b, err := json.Marshal(x)
		require.NoError(t, err)
		var out strings.Builder
		err = c.print(&out, b)
		return out.String(), err
	}
	text, err := render(explainCommand{})
	require.NoError(t, err)
	for _, want := range []string{"vm-0 in d0, version 3", "route     r, host a, prefix /p/", "owner is VM 10.0.0.2:1, which was not asked", "i-1 most often: 100.0% of 1000 draws", "up to 0.35 is added to each cost at random", "suspected"} {
		require.Contains(t, text, want)
	}
	x.Refusal = &receiver.Refusal{Reason: receiver.ReasonOverRate, Status: 429, MinRetryAfter: time.Second, MaxRetryAfter: time.Second, Detail: "beyond"}
	text, err = render(explainCommand{})
	require.ErrorIs(t, err, errRefused)
	require.Equal(t, exitFailure, exitCode(err))
	require.Contains(t, text, "refused   429 over-rate, Retry-After 1.00 s: beyond")
	text, err = render(explainCommand{JSON: true})
	require.ErrorIs(t, err, errRefused)
	require.True(t, json.Valid([]byte(text)))
}

func TestErrorsOfExplainDoNotHaveTheKey(t *testing.T) {
	c := explainCommand{Host: "a", Path: "/", Key: "secret"} // No VM has the zero address.
	_, err := c.fetch()
	require.Error(t, err)
	require.NotContains(t, err.Error(), "secret")
}
