package runner

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
)

// TestMetricsAndSummary checks that observations appear in the exported metrics by label and in the log summary.
func TestMetricsAndSummary(t *testing.T) {
	m, err := newMetrics()
	require.NoError(t, err)
	require.NoError(t, m.registerGauges(map[string]gauge{
		"retries_left": {"Help.", "service", func() map[string]float64 { return map[string]float64{"s": 2.5} }},
		"owned_rates":  domainGauge("d", "Help.", func() float64 { return 3 }),
	}))
	m.Observe("r", receiver.ReasonShed, 503, time.Millisecond)
	for range 2 {
		m.Observe("r", receiver.ReasonAnswered, 200, time.Millisecond)
	}
	require.Equal(t, "answered:2,shed:1", m.formatRequestCounts())
	rep := httptest.NewRecorder()
	m.handler().ServeHTTP(rep, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`jacinthproxy_retries_left{service="s"} 2.5`, `jacinthproxy_owned_rates{failure_domain="d"} 3`,
		`jacinthproxy_requests_total{reason="answered"} 2`, `jacinthproxy_request_duration_seconds_count{reason="shed"} 1`,
	} {
		require.Contains(t, rep.Body.String(), line)
	}
}
