package receiver_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// respondFirst has the first attempt end with the given response and error, and any other succeed.
func (f *fixture) respondFirst(resp forwarder.Response, err error) {
	f.respond = func(n int) (forwarder.Response, error) {
		if n == 1 {
			return resp, err
		}
		return okResponse(), nil
	}
}

// Without these fields, a log does not tell a copied refusal from one of the request itself.
func TestFailedAttemptsAreLoggedWithTheirConnection(t *testing.T) {
	connection := forwarder.Connection{Local: netip.MustParseAddrPort("10.0.0.3:4000"), Carried: 3, Repeated: true}
	shedResponse, _ := shed()
	_, brokenErr := broken()
	_, unreachableErr := unreachable()
	for name, c := range map[string]struct {
		resp   forwarder.Response
		err    error
		status int
		fields map[string]any
	}{
		"refused": {shedResponse, nil, 200, map[string]any{"outcome": "shed", "status": int64(503), "notRun": true}},
		"moved": {forwarder.Response{Status: http.StatusMisdirectedRequest, NotRun: true}, nil, 200,
			map[string]any{"outcome": "moved", "status": int64(421), "notRun": true}},
		"error": {forwarder.Response{Status: 500, Signed: true}, nil, 500, map[string]any{"outcome": "error", "status": int64(500), "notRun": false}},
		"broken": {forwarder.Response{}, brokenErr, 502,
			map[string]any{"outcome": "broken", "status": int64(0), "notRun": false, "error": "connection reset"}},
		"unreachable": {forwarder.Response{}, unreachableErr, 200,
			map[string]any{"outcome": "unreachable", "status": int64(0), "notRun": false, "error": "connection refused"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			c.resp.Connection, c.resp.Skipped = connection, []string{"r-0", ""}
			f.respondFirst(c.resp, c.err)
			require.Equal(t, c.status, f.serve("/once/", "secret").Code)
			lines := f.logs.FilterMessage("attempt failed").All()
			require.Len(t, lines, 1)
			got := lines[0].ContextMap()
			want := map[string]any{
				"id": "r-1", "attempt": int64(1), "instance": "i-1", "incarnation": int64(7), "address": "10.0.0.1:80",
				"localAddress": "10.0.0.3:4000", "carried": int64(3), "repeated": true, "skipped": []any{"r-0", "-"}, "took": time.Duration(0),
			}
			for n, v := range c.fields {
				want[n] = v
			}
			require.Equal(t, want, got)
		})
	}
}

func TestOutcomesOfAllAttemptsAreLogged(t *testing.T) {
	f := newFixture()
	f.respond = func(int) (forwarder.Response, error) { return shed() }
	require.Equal(t, http.StatusServiceUnavailable, f.serve("/once/", "secret").Code)
	require.Equal(t, []any{"i-1", "i-2"}, f.logLine(t)["tried"])
	require.Equal(t, []any{"shed", "shed"}, f.logLine(t)["outcomes"])
}

func TestSkippedResponsesBeforeAnAnswerAreLogged(t *testing.T) {
	f := newFixture()
	resp := okResponse()
	resp.Skipped = []string{"r-0"}
	f.respondFirst(resp, nil)
	require.Equal(t, http.StatusOK, f.serve("/once/", "secret").Code)
	require.Zero(t, f.logs.FilterMessage("attempt failed").Len())
	lines := f.logs.FilterMessage("responses of no request").All()
	require.Len(t, lines, 1)
	require.Equal(t, []any{"r-0"}, lines[0].ContextMap()["skipped"])
}

// The lines of attempts must leave room for those of requests, and none may be missing unnoticed.
func TestLinesOfAttemptsAreBoundedUnderLoad(t *testing.T) {
	f := newFixture()
	f.retries = 1 << 20
	f.respond = func(int) (forwarder.Response, error) { return shed() }
	const requests = 1000
	for range requests {
		f.serve("/once/", "secret")
	}
	written := f.logs.FilterMessage("attempt failed").Len()
	require.Less(t, written, 300)
	require.Equal(t, requests, f.logs.FilterMessage("request").Len())
	require.EqualValues(t, 2*requests-written, f.receiver.OmittedLines())
	f.clock.Advance(time.Second)
	f.serve("/once/", "secret")
	lines := f.logs.FilterMessage("attempt failed").All()[written:]
	require.Len(t, lines, 2)
	require.EqualValues(t, 2*requests-written, lines[0].ContextMap()["omitted"])
	require.NotContains(t, lines[1].ContextMap(), "omitted")
}

func TestRefusedAttemptsAreCountedByConnection(t *testing.T) {
	f := newFixture()
	for _, c := range []forwarder.Connection{{}, {Carried: 2}, {Carried: 2, Repeated: true}, {Carried: 1, Repeated: true}} {
		resp, err := shed()
		resp.Connection, resp.Skipped = c, []string{"r-0", "r-00"}
		sent := len(f.sends)
		f.respond = func(n int) (forwarder.Response, error) {
			if n == sent+1 {
				return resp, err
			}
			return okResponse(), nil
		}
		require.Equal(t, http.StatusOK, f.serve("/once/", "secret").Code)
	}
	require.Equal(t, map[string]float64{"new": 1, "kept": 1, "repeated": 2}, f.receiver.RefusedAttempts())
	require.Equal(t, 8, f.receiver.SkippedResponses())
}
