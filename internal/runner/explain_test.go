package runner

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func TestOperatorsGetAnExplanationWithoutTheKey(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	log, clock := zap.New(core), clockwork.NewFakeClock()
	r := &Runner{Options: Options{Settings: Settings{Name: "vm-0", Domain: "d0"}, Clock: clock, Logger: log}, tracker: tracker.New(clock, log)}
	r.picker = picker.New(picker.Options{Domain: "d0", Random: rand.New(rand.NewPCG(1, 2)), Clock: clock, RetryWindow: time.Second, VMCount: func() int { return 1 }})
	self := placer.VM{Address: netip.MustParseAddrPort("10.0.0.1:1"), CallerAddress: netip.MustParseAddrPort("10.0.0.1:2"), Domain: "d0", Incarnation: 1}
	r.relayer = relayer.New(relayer.Options{Self: self, Capacity: 1, RateWindow: 5 * time.Second, Tracker: r.tracker, InstanceStats: r.picker, Clock: clock, Logger: log})
	r.receiver = receiver.New(receiver.Options{
		HeaderNames: receiver.HeaderNames{Key: "Key", Deadline: "Deadline"}, Tracker: r.tracker, Admitter: r.relayer, Limiter: r.relayer, Picker: r.picker,
		MaxKeyAge: 5 * time.Second, DrainTimeout: 2 * time.Second, Clock: clock, Logger: log,
	})
	var err error
	r.metrics, err = newMetrics()
	require.NoError(t, err)
	r.tracker.ApplyConfiguration(router.Configuration{
		Version: 3, Limits: router.DefaultLimits(), Accounts: []router.Account{{Name: "t", Keys: []string{"secret"}, Rate: 10, Burst: 5}},
		Routes: []router.Route{{
			Name: "r", Host: "a", Prefix: "/p/", Idempotent: true, Timeout: time.Second, Objective: time.Second, Attempts: 2,
			Services: []router.WeightedService{{Service: "s", Weight: 1}},
		}},
	})
	r.tracker.MarkTableFresh(3, clock.Now(), 0)
	r.tracker.UpdateMember(tracker.Member{VM: self, Role: tracker.RoleReady, Capacity: 1, AsOf: clock.Now()})
	r.tracker.MarkMembersKnown()
	r.picker.SetInstances([]balancer.Instance{{ID: "i", Service: "s", Address: netip.MustParseAddrPort("10.0.0.9:1"), Domain: "d0", Slots: 4}})
	ask := func(v url.Values) *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		r.operatorsHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, PathExplain+"?"+v.Encode(), nil))
		return rec
	}
	lines := logs.Len()
	rec := ask(url.Values{"host": {"a"}, "path": {"/p/x"}, "key": {"secret"}, "domain": {"d0"}})
	require.Equal(t, http.StatusOK, rec.Code)
	require.NotContains(t, rec.Body.String(), "secret")
	require.Equal(t, lines, logs.Len())
	var x Explanation
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &x))
	require.Equal(t, "vm-0", x.VM)
	require.Equal(t, "t", x.Account)
	require.True(t, x.Rate.Decides)
	require.Equal(t, "i", x.Services[0].Candidates[0].ID)
	require.InDelta(t, 1, x.Services[0].Candidates[0].Picked, 0)
	require.Equal(t, map[string]int{}, r.picker.InFlight())
	require.Zero(t, r.relayer.OwnedRates())
	require.Equal(t, http.StatusBadRequest, ask(url.Values{"path": {"/p/x"}}).Code)
}
