package runner

import (
	"context"
	"net/http"
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

// metrics counts what the daemon does.
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
		return nil, errors.Wrap(err, "metrics")
	}
	m.meter = sdk.NewMeterProvider(sdk.WithReader(e)).Meter("jacinthproxy")
	m.total, err = m.meter.Int64Counter("jacinthproxy_requests", metric.WithDescription("Requests of callers, by the reason of their end."))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	m.duration, err = m.meter.Float64Histogram("jacinthproxy_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its end, by reason."),
		metric.WithExplicitBucketBoundaries(0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 5, 10))
	return m, errors.Wrap(err, "metrics")
}

// observe registers gauges that are read when the metrics are.
func (m *metrics) observe(gauges map[string]gauge) error {
	for n, g := range gauges {
		_, err := m.meter.Float64ObservableGauge("jacinthproxy_"+n, metric.WithDescription(g.help),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(g.read())
				return nil
			}))
		if err != nil {
			return errors.Wrapf(err, "metric %s", n)
		}
	}
	return nil
}

type gauge struct {
	help string
	read func() float64
}

// Observe implements receiver.Observer.
func (m *metrics) Observe(_ string, reason receiver.Reason, _ int, took time.Duration) {
	m.mu.Lock()
	m.requests[reason]++
	m.mu.Unlock()
	by := metric.WithAttributes(attribute.String("reason", reason.String()))
	m.total.Add(context.Background(), 1, by)
	m.duration.Record(context.Background(), took.Seconds(), by)
}

// summary returns the requests since the start by reason.
func (m *metrics) summary() map[string]int64 {
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
