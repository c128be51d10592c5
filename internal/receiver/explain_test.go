package receiver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// explainer says what a fixture decides.
type explainer struct{ *fixture }

func (e explainer) ExplainRate(*router.Account) relayer.RateState {
	a := e.admitted
	return relayer.RateState{Limited: true, Owner: a.Owner, Decides: true, HasToken: a.Admitted, RetryAfter: a.RetryAfter, Refused: !a.Admitted}
}

func (e explainer) Explain(string, int, *router.Account, balancer.Request) picker.Explanation {
	x := picker.Explanation{Room: admitter.Chance{Share: 1, Account: 1}, NextAvailable: e.nextAvailable, Awaited: e.nextAvailable > 0}
	if e.noRoom {
		x.Room = admitter.Chance{MinRetryAfter: time.Second, MaxRetryAfter: time.Second}
	}
	if e.nextAvailable > 0 {
		x.None = 1
	}
	return x
}

// An explanation that differs from what callers get would mislead an operator.
func TestExplainedRefusalIsTheOneThatCallersGet(t *testing.T) {
	for name, c := range map[string]struct {
		arrange   func(f *fixture)
		path, key string
	}{
		"served":             {func(*fixture) {}, "/safe/x?q=1", "secret"},
		"no route":           {func(*fixture) {}, "/none/", "secret"},
		"unknown key":        {func(*fixture) {}, "/safe/", "wrong"},
		"no key":             {func(*fixture) {}, "/safe/", ""},
		"no configuration":   {func(f *fixture) { f.table = nil }, "/safe/", "secret"},
		"no peers":           {func(f *fixture) { f.alone = true }, "/safe/", "secret"},
		"stale":              {func(f *fixture) { f.clock.Advance(4500 * time.Millisecond) }, "/safe/", "secret"},
		"too old to deny":    {func(f *fixture) { f.clock.Advance(3 * time.Second) }, "/none/", "secret"},
		"over rate":          {func(f *fixture) { f.admitted = relayer.Admission{RetryAfter: 900 * time.Millisecond} }, "/safe/", "secret"},
		"over rate, shortly": {func(f *fixture) { f.admitted = relayer.Admission{RetryAfter: 150 * time.Millisecond} }, "/safe/", "secret"},
		"no room":            {func(f *fixture) { f.noRoom = true }, "/safe/", "secret"},
		"limited": {func(f *fixture) {
			f.nextAvailable = 30 * time.Second
			f.admitSend = func(string) relayer.Admission { return relayer.Admission{RetryAfter: 30 * time.Second} }
		}, "/once/", "secret"},
		"stopping": {func(f *fixture) { f.receiver.Stop(f.clock.Now()) }, "/safe/", "secret"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.deadline = ""
			c.arrange(f)
			x, err := f.receiver.Explain(context.Background(), explainer{f}, receiver.Question{Host: "a", Path: c.path, Method: http.MethodPost, Key: c.key})
			require.NoError(t, err)
			require.Zero(t, f.picks+len(f.sends)+len(f.served)+f.logs.Len(), "nothing is sent, counted or logged")
			b, err := json.Marshal(x)
			require.NoError(t, err)
			require.NotContains(t, string(b), "secret")
			e := x.Refusal
			if e == nil && f.noRoom {
				e = x.Services[0].NoRoom
			}
			rec := f.serve(c.path, c.key)
			if rec.Code == http.StatusOK {
				require.Nil(t, e)
				require.Equal(t, "safe", x.Route.Name)
				require.Equal(t, "t", x.Account)
				require.Equal(t, "s", x.Services[0].Service)
				require.InDelta(t, 1, x.Services[0].Share, 0)
				return
			}
			require.NotNil(t, e)
			require.Equal(t, rec.Code, e.Status)
			require.Equal(t, e.Reason.String()+": "+e.Detail+"\n", rec.Body.String())
			after := rec.Header().Get("Retry-After")
			require.Equal(t, e.MaxRetryAfter > 0, after != "")
			if after != "" {
				seconds, err := strconv.ParseFloat(after, 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, seconds, e.MinRetryAfter.Seconds()-0.006)
				require.LessOrEqual(t, seconds, e.MaxRetryAfter.Seconds()+0.006)
			}
		})
	}
}

func TestQuestionWithoutHostOrPathIsRejected(t *testing.T) {
	f := newFixture()
	for _, q := range []receiver.Question{{Path: "/x"}, {Host: "a"}, {Host: "a", Path: "x"}, {Host: "a", Path: "http://a/"}} {
		_, err := f.receiver.Explain(context.Background(), explainer{f}, q)
		require.Error(t, err, "%+v", q)
	}
}
