package runner

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
)

// metrics collects and exports the metrics of a daemon.
type metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter
	total    metric.Int64Counter
	duration metric.Float64Histogram

	mu       sync.Mutex
	requests map[receiver.Reason]int64
}

func newMetrics() (*metrics, error) {
	m := &metrics{registry: prometheus.NewRegistry(), requests: map[receiver.Reason]int64{}}
	e, err := exporter.New(exporter.WithRegisterer(m.registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	m.meter = sdk.NewMeterProvider(sdk.WithReader(e)).Meter("jacinthproxy")
	m.total, err = m.meter.Int64Counter("jacinthproxy_requests", metric.WithDescription("Requests of callers, by the reason of their end."))
	if err != nil {
		return nil, errors.Wrap(err, "create request counter")
	}
	m.duration, err = m.meter.Float64Histogram("jacinthproxy_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its end, by reason."),
		metric.WithExplicitBucketBoundaries(0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 5, 10))
	return m, errors.Wrap(err, "create request duration histogram")
}

// registerGauges registers gauges, which are read whenever the metrics are collected.
func (m *metrics) registerGauges(gauges map[string]gauge) error {
	for n, g := range gauges {
		_, err := m.meter.Float64ObservableGauge("jacinthproxy_"+n, metric.WithDescription(g.help),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				for value, x := range g.read() {
					o.Observe(x, metric.WithAttributes(attribute.String(g.label, value)))
				}
				return nil
			}))
		if err != nil {
			return errors.Wrapf(err, "register metric %s", n)
		}
	}
	return nil
}

// gauge is a metric that is read when metrics are collected; read returns its values by the value of the label.
type gauge struct {
	help  string
	label string
	read  func() map[string]float64
}

// domainGauge returns a gauge with one value, labeled with the failure domain of this VM.
func domainGauge(domain, help string, read func() float64) gauge {
	return gauge{help, "failure_domain", func() map[string]float64 { return map[string]float64{domain: read()} }}
}

// Observe implements receiver.Observer.
func (m *metrics) Observe(_ string, reason receiver.Reason, _ int, took time.Duration) {
	m.mu.Lock()
	m.requests[reason]++
	m.mu.Unlock()
	attrs := metric.WithAttributes(attribute.String("reason", reason.String()))
	m.total.Add(context.Background(), 1, attrs)
	m.duration.Record(context.Background(), took.Seconds(), attrs)
}

// formatRequestCounts returns the number of requests since the start by reason, in the form "reason:count,...".
func (m *metrics) formatRequestCounts() string { return formatCounts(m.requestCounts()) }

// formatCounts formats counts as "name:count,...", without those that are zero.
func formatCounts[N int64 | float64](counts map[string]N) string {
	var parts []string
	for _, n := range slices.Sorted(maps.Keys(counts)) {
		if counts[n] != 0 {
			parts = append(parts, fmt.Sprintf("%s:%v", n, counts[n]))
		}
	}
	return strings.Join(parts, ",")
}

// requestCounts returns the number of requests since the start by reason.
func (m *metrics) requestCounts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := make(map[string]int64, len(m.requests))
	for r, n := range m.requests {
		s[r.String()] = n
	}
	return s
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
