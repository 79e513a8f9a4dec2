package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/exemplar"
)

// secondsBuckets are the upper bounds in seconds of the buckets of all histograms.
var secondsBuckets = []float64{
	0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075,
	0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10, 30, 60, 300, 1800, 7200,
}

// Metrics holds the metric instruments of an entry host that package node runs. Its methods are safe for concurrent
// use.
type Metrics struct {
	handler http.Handler
	meter   metric.Meter

	sendWait    metric.Float64Histogram
	runTime     metric.Float64Histogram
	latency     metric.Float64Histogram
	pendingTime metric.Float64Histogram

	requests    metric.Int64Counter
	refusals    metric.Int64Counter
	retries     metric.Int64Counter
	hedges      metric.Int64Counter
	starts      metric.Int64Counter
	ends        metric.Int64Counter
	evictions   metric.Int64Counter
	throttles   metric.Int64Counter
	regionBytes metric.Int64Counter
}

// NewMetrics returns the metrics of a host and a function that releases their resources.
func NewMetrics(host, zone string) (*Metrics, func(), error) {
	meter, registry, closeMeter, err := newMeter(host, zone)
	if err != nil {
		return nil, nil, err
	}
	m := &Metrics{handler: newHandler(registry), meter: meter}
	if err := m.createInstruments(); err != nil {
		return nil, nil, err
	}
	return m, closeMeter, nil
}

// newHandler returns a handler that serves the metrics of a registry in the Prometheus text format.
func newHandler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// newMeter returns a meter, a registry that collects its instruments, and a function that releases their resources.
func newMeter(host, zone string) (metric.Meter, *prometheus.Registry, func(), error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, nil, nil, errors.Wrap(err, "telemetry: prometheus exporter")
	}
	view := sdk.NewView(
		sdk.Instrument{Kind: sdk.InstrumentKindHistogram},
		sdk.Stream{Aggregation: sdk.AggregationExplicitBucketHistogram{Boundaries: secondsBuckets}},
	)
	// Exemplars are off: the text format does not show them, and their reservoirs take most of a histogram's memory.
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithView(view),
		sdk.WithExemplarFilter(exemplar.AlwaysOffFilter))
	meter := provider.Meter("sassafraswind",
		metric.WithInstrumentationAttributes(attribute.String("host", host), attribute.String("zone", zone)))
	return meter, registry, func() { _ = provider.Shutdown(context.Background()) }, nil
}

// instruments creates instruments of a meter and collects the errors in errs.
type instruments struct {
	meter metric.Meter
	errs  error
}

// histogram creates a histogram of times in seconds.
func (i *instruments) histogram(name, description string) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"))
	i.errs = errors.CombineErrors(i.errs, err)
	return h
}

func (i *instruments) counter(name, description string) metric.Int64Counter {
	c, err := i.meter.Int64Counter(name, metric.WithDescription(description))
	i.errs = errors.CombineErrors(i.errs, err)
	return c
}

func (i *instruments) gauge(name, description string) metric.Float64ObservableGauge {
	g, err := i.meter.Float64ObservableGauge(name, metric.WithDescription(description))
	i.errs = errors.CombineErrors(i.errs, err)
	return g
}

// createInstruments creates all instruments but the gauges.
func (m *Metrics) createInstruments() error {
	i := instruments{meter: m.meter}
	histogram, counter := i.histogram, i.counter
	m.sendWait = histogram("sassafraswind.request.wait", "Time from arrival to the send to a worker, per class and team.")
	m.runTime = histogram("sassafraswind.request.run", "Execution time at the worker, per class and team.")
	m.latency = histogram("sassafraswind.request.answer",
		"Time from arrival to the reply to the caller, per class and team.")
	m.pendingTime = histogram("sassafraswind.task.wait", "Time a task was pending before its start, per class and team.")
	m.requests = counter("sassafraswind.requests", "Requests by class, team and outcome.")
	m.refusals = counter("sassafraswind.refusals", "Requests that were not answered, by class and reason.")
	m.retries = counter("sassafraswind.retries", "Sends after the first one, by class.")
	m.hedges = counter("sassafraswind.hedges", "Hedged sends, by class.")
	m.starts = counter("sassafraswind.task.starts", "Started task attempts, by class.")
	m.ends = counter("sassafraswind.task.ends", "Ended task attempts, by class and state.")
	m.evictions = counter("sassafraswind.task.evictions", "Evicted task attempts, by class and reason.")
	m.throttles = counter("sassafraswind.task.throttles", "Throttle changes of tasks, by class.")
	m.regionBytes = counter("sassafraswind.region.bytes", "Bytes to and from other regions, by purpose and direction.")
	return errors.Wrap(i.errs, "telemetry: instruments")
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// RegisterGauge registers a gauge with the given description. It calls read at each scrape.
func (m *Metrics) RegisterGauge(name, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "telemetry: gauge %s", name)
}

// ClassState holds the values of the gauges of one class.
type ClassState struct {
	Class string
	// MeetsTarget is true unless the class misses its target.
	MeetsTarget bool
	// P99Seconds is the measured 99th percentile of the latency of an urgent class, 0 until it is known.
	P99Seconds float64
	// Pending and Running are the numbers of the class's batch tasks in the zone.
	Pending, Running int
}

// RegisterClassGauges registers the gauges of each class: whether it meets its target, its latency and its numbers
// of tasks. It calls read at each scrape.
func (m *Metrics) RegisterClassGauges(read func() []ClassState) error {
	i := instruments{meter: m.meter}
	gauge := i.gauge
	met := gauge("sassafraswind.class.met", "1 if the class meets its target, else 0.")
	p99 := gauge("sassafraswind.class.p99", "Measured 99th percentile of the answer time in seconds, by urgent class.")
	pending := gauge("sassafraswind.class.pending", "Pending tasks of the zone, by batch class.")
	running := gauge("sassafraswind.class.running", "Running tasks of the zone, by batch class.")
	if i.errs != nil {
		return errors.Wrap(i.errs, "telemetry: gauges of classes")
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, c := range read() {
			class := metric.WithAttributes(attribute.String("class", c.Class))
			value := 0.0
			if c.MeetsTarget {
				value = 1
			}
			o.ObserveFloat64(met, value, class)
			if c.P99Seconds > 0 {
				o.ObserveFloat64(p99, c.P99Seconds, class)
			}
			o.ObserveFloat64(pending, float64(c.Pending), class)
			o.ObserveFloat64(running, float64(c.Running), class)
		}
		return nil
	}, met, p99, pending, running)
	return errors.Wrap(err, "telemetry: gauges of classes")
}

// Request holds what is recorded of one request after the reply to its caller. Latency is the time from its arrival
// to the reply. WaitTime, the time from its arrival to the send to a worker, and RunTime, the execution time at the
// worker, are recorded only if RunTime is positive. A Reason counts as a refusal.
type Request struct {
	Class, Team, Outcome, Reason string
	WaitTime, RunTime, Latency   time.Duration
	Retries, Hedges              int
}

// RecordRequest records one request after the reply to its caller.
func (m *Metrics) RecordRequest(ctx context.Context, r Request) {
	classAndTeam := metric.WithAttributes(attribute.String("class", r.Class), attribute.String("team", r.Team))
	class := metric.WithAttributes(attribute.String("class", r.Class))
	m.latency.Record(ctx, r.Latency.Seconds(), classAndTeam)
	m.requests.Add(ctx, 1, classAndTeam, metric.WithAttributes(attribute.String("outcome", r.Outcome)))
	if r.Reason != "" {
		m.refusals.Add(ctx, 1, class, metric.WithAttributes(attribute.String("reason", r.Reason)))
	}
	if r.RunTime > 0 {
		m.sendWait.Record(ctx, r.WaitTime.Seconds(), classAndTeam)
		m.runTime.Record(ctx, r.RunTime.Seconds(), classAndTeam)
	}
	if r.Retries > 0 {
		m.retries.Add(ctx, int64(r.Retries), class)
	}
	if r.Hedges > 0 {
		m.hedges.Add(ctx, int64(r.Hedges), class)
	}
}

// RecordTaskStart counts the start of a task attempt and records how long the task was pending.
func (m *Metrics) RecordTaskStart(ctx context.Context, class, team string, pending time.Duration) {
	m.starts.Add(ctx, 1, metric.WithAttributes(attribute.String("class", class)))
	m.pendingTime.Record(ctx, pending.Seconds(),
		metric.WithAttributes(attribute.String("class", class), attribute.String("team", team)))
}

// RecordTaskEnd counts an ended task attempt, by class and state.
func (m *Metrics) RecordTaskEnd(ctx context.Context, class, state string) {
	m.ends.Add(ctx, 1, metric.WithAttributes(attribute.String("class", class), attribute.String("state", state)))
}

// RecordTaskEviction counts an evicted task attempt, by class and reason.
func (m *Metrics) RecordTaskEviction(ctx context.Context, class, reason string) {
	m.evictions.Add(ctx, 1, metric.WithAttributes(attribute.String("class", class), attribute.String("reason", reason)))
}

// RecordTaskThrottle counts a change of a task's throttle, by class.
func (m *Metrics) RecordTaskThrottle(ctx context.Context, class string) {
	m.throttles.Add(ctx, 1, metric.WithAttributes(attribute.String("class", class)))
}

// RecordRegionBytes counts n bytes exchanged with another region, by purpose and direction.
func (m *Metrics) RecordRegionBytes(ctx context.Context, purpose, direction string, n int) {
	m.regionBytes.Add(ctx, int64(n),
		metric.WithAttributes(attribute.String("purpose", purpose), attribute.String("direction", direction)))
}
