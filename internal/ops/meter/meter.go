package meter

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

const (
	namespace = "ragworthatch"
	// maxSeries is the maximum number of label sets of an instrument; further ones are aggregated into one series.
	maxSeries = 8192
)

// Meter creates instruments and serves their values.
type Meter struct {
	registry *prometheus.Registry
	meter    metric.Meter
}

// Process identifies the process; its fields become labels of the metric target_info.
type Process struct {
	Role string
	Name string
	Zone string
}

// New returns a meter with only the metrics of the Go runtime and the process.
func New(p Process) (*Meter, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("metrics exporter: %w", err)
	}
	about := resource.NewSchemaless(
		attribute.String("role", p.Role), attribute.String("name", p.Name), attribute.String("zone", p.Zone))
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithResource(about), sdk.WithCardinalityLimit(maxSeries))
	return &Meter{registry: registry, meter: provider.Meter(namespace)}, nil
}

// Routes returns the route of the metrics, /metrics.
func (m *Meter) Routes() []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: m.Handler().ServeHTTP}}
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Spec describes an instrument.
type Spec struct {
	Name string // without the prefix "ragworthatch."
	Unit string // UCUM code such as ms, s or {request}
	Help string
}

// Label is a label of a metric value.
type Label struct {
	Name  string
	Value string
}

// Counter is a value that only increases.
type Counter struct {
	c metric.Int64Counter
}

// Counter creates a counter. It panics if the name is invalid, which is a programming error.
func (m *Meter) Counter(s Spec) Counter {
	c, err := m.meter.Int64Counter(namespace+"."+s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Help))
	must(err)
	return Counter{c: c}
}

// Add adds n, which must not be negative.
func (c Counter) Add(n int64, labels ...Label) {
	c.c.Add(context.Background(), n, metric.WithAttributes(attributes(labels)...))
}

// Histogram is a distribution of values.
type Histogram struct {
	h metric.Float64Histogram
}

// Histogram creates a histogram with the given upper bucket bounds. It panics if the name is invalid.
func (m *Meter) Histogram(s Spec, bounds ...float64) Histogram {
	h, err := m.meter.Float64Histogram(namespace+"."+s.Name, metric.WithUnit(s.Unit),
		metric.WithDescription(s.Help), metric.WithExplicitBucketBoundaries(bounds...))
	must(err)
	return Histogram{h: h}
}

// Record adds a value to the distribution.
func (h Histogram) Record(v float64, labels ...Label) {
	h.h.Record(context.Background(), v, metric.WithAttributes(attributes(labels)...))
}

// Observe reports one value while the metrics are collected.
type Observe func(v int64, labels ...Label)

// GaugeFunc creates a gauge whose values are read when the metrics are collected. It panics if the name is invalid.
func (m *Meter) GaugeFunc(s Spec, read func(Observe)) {
	_, err := m.meter.Int64ObservableGauge(namespace+"."+s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Help),
		metric.WithInt64Callback(callback(read)))
	must(err)
}

// CounterFunc creates a counter whose values are read when the metrics are collected. It panics if the name is invalid.
func (m *Meter) CounterFunc(s Spec, read func(Observe)) {
	_, err := m.meter.Int64ObservableCounter(namespace+"."+s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Help),
		metric.WithInt64Callback(callback(read)))
	must(err)
}

// callback adapts a read function to OpenTelemetry.
func callback(read func(Observe)) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		read(func(v int64, labels ...Label) { o.Observe(v, metric.WithAttributes(attributes(labels)...)) })
		return nil
	}
}

// attributes converts labels to OpenTelemetry attributes.
func attributes(labels []Label) []attribute.KeyValue {
	out := make([]attribute.KeyValue, len(labels))
	for i, l := range labels {
		out[i] = attribute.String(l.Name, l.Value)
	}
	return out
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
