package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
)

// Gauge is a value that is read when the metrics are.
type Gauge struct {
	Name, Help string
	Read       func() float64
}

// Metrics are the metrics of one VM.
type Metrics struct {
	registry *prometheus.Registry
	requests metric.Int64Counter
	duration metric.Float64Histogram
	judged   metric.Int64Counter
}

// NewMetrics returns metrics with the given gauges.
func NewMetrics(gauges []Gauge) (*Metrics, error) {
	r := prometheus.NewRegistry()
	e, err := exporter.New(exporter.WithRegisterer(r), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(e)).Meter("jacinthproxy")
	m := &Metrics{registry: r}
	m.requests, err = meter.Int64Counter("jacinthproxy_requests",
		metric.WithDescription("Requests that callers sent to this VM, by outcome and reason."))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	m.duration, err = meter.Float64Histogram("jacinthproxy_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its answer, by outcome."),
		metric.WithExplicitBucketBoundaries(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	m.judged, err = meter.Int64Counter("jacinthproxy_backend_judgements",
		metric.WithDescription("Changes of the state of backend servers judged here, by the new state."))
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	return m, m.register(meter, gauges)
}

func (m *Metrics) register(meter metric.Meter, gauges []Gauge) error {
	for _, g := range gauges {
		_, err := meter.Float64ObservableGauge("jacinthproxy_"+g.Name, metric.WithDescription(g.Help),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(g.Read())
				return nil
			}))
		if err != nil {
			return errors.Wrapf(err, "metric %s", g.Name)
		}
	}
	return nil
}

// Observe counts a request's end.
func (m *Metrics) Observe(_, _ string, a dispatcher.Answer, took time.Duration) {
	outcome := attribute.String("outcome", a.Outcome.String())
	m.requests.Add(context.Background(), 1, metric.WithAttributes(outcome, attribute.String("reason", a.Reason.String())))
	m.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(outcome))
}

// CountStateChange counts a change of a backend server's state.
func (m *Metrics) CountStateChange(to string) {
	m.judged.Add(context.Background(), 1, metric.WithAttributes(attribute.String("to", to)))
}

// Handler returns the handler that a scraper reads.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
