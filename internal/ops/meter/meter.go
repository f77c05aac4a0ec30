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
	scope = "ragworthatch"
	// maxSeries bounds the label sets of one instrument; those over it are counted together.
	maxSeries = 8192
)

// Meter makes instruments and serves their values.
type Meter struct {
	registry *prometheus.Registry
	meter    metric.Meter
}

// Process tells whose metrics they are; its fields become labels of target_info.
type Process struct {
	Role string
	Name string
	Zone string
}

// New returns a meter without instruments.
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
	return &Meter{registry: registry, meter: provider.Meter(scope)}, nil
}

// Routes serve the metrics.
func (m *Meter) Routes() []rest.Route {
	return []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: m.Handler().ServeHTTP}}
}

// Handler serves the metrics as text.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Spec names an instrument.
type Spec struct {
	Name string // after "ragworthatch."
	Unit string // as in UCUM: ms, s, {request}
	Help string
}

// Label is one dimension of a value.
type Label struct {
	Name  string
	Value string
}

// Counter only goes up.
type Counter struct {
	c metric.Int64Counter
}

// Counter makes a counter; it panics on a name that is not valid, which is a fault of the program.
func (m *Meter) Counter(s Spec) Counter {
	c, err := m.meter.Int64Counter(scope+"."+s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Help))
	must(err)
	return Counter{c: c}
}

// Add counts n more.
func (c Counter) Add(n int64, labels ...Label) {
	c.c.Add(context.Background(), n, metric.WithAttributes(attributes(labels)...))
}

// Histogram holds a distribution.
type Histogram struct {
	h metric.Float64Histogram
}

// Histogram makes a histogram with the upper bounds of its buckets; it panics on a name that is not valid.
func (m *Meter) Histogram(s Spec, bounds ...float64) Histogram {
	h, err := m.meter.Float64Histogram(scope+"."+s.Name, metric.WithUnit(s.Unit),
		metric.WithDescription(s.Help), metric.WithExplicitBucketBoundaries(bounds...))
	must(err)
	return Histogram{h: h}
}

// Record adds one value.
func (h Histogram) Record(v float64, labels ...Label) {
	h.h.Record(context.Background(), v, metric.WithAttributes(attributes(labels)...))
}

// Observe takes one value of a gauge or a total when the metrics are read.
type Observe func(v int64, labels ...Label)

// Gauge makes a gauge whose values are read with the metrics; it panics on a name that is not valid.
func (m *Meter) Gauge(s Spec, read func(Observe)) {
	_, err := m.meter.Int64ObservableGauge(scope+"."+s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Help),
		metric.WithInt64Callback(callback(read)))
	must(err)
}

// Total makes a counter whose values are read with the metrics; it panics on a name that is not valid.
func (m *Meter) Total(s Spec, read func(Observe)) {
	_, err := m.meter.Int64ObservableCounter(scope+"."+s.Name, metric.WithUnit(s.Unit), metric.WithDescription(s.Help),
		metric.WithInt64Callback(callback(read)))
	must(err)
}

func callback(read func(Observe)) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		read(func(v int64, labels ...Label) { o.Observe(v, metric.WithAttributes(attributes(labels)...)) })
		return nil
	}
}

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
