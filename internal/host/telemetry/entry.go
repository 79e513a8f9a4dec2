package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// EntryMetrics holds the metric instruments of an entry host that package entry runs. Its methods are safe for
// concurrent use.
type EntryMetrics struct {
	handler  http.Handler
	meter    metric.Meter
	registry *prometheus.Registry
	zone     string
	// classes, reasons and teams bound the values of these labels.
	classes, reasons, teams *labelSet

	latency       metric.Float64Histogram
	startWait     metric.Float64Histogram
	nearWait      metric.Float64Histogram
	orderTime     metric.Float64Histogram
	storeCallTime metric.Float64Histogram
	decisions     metric.Int64Counter
	ends          metric.Int64Counter
	answers       metric.Int64Counter
	refusals      metric.Int64Counter
}

// NewEntryMetrics returns the metrics of a host and a function that releases their resources.
func NewEntryMetrics(host, zone string) (*EntryMetrics, func(), error) {
	meter, registry, closeMeter, err := newMeter(host, zone)
	if err != nil {
		return nil, nil, err
	}
	i := instruments{meter: meter}
	m := &EntryMetrics{
		handler: newHandler(registry), meter: meter, registry: registry, zone: zone,
		classes: newLabelSet(maxNamedLabels), reasons: newLabelSet(maxReasonLabels), teams: newLabelSet(maxNamedLabels),
		latency: i.histogram("sassafraswind.entry.answer",
			"Time from a caller's request to its answer, by action and outcome."),
		startWait: i.histogram("sassafraswind.entry.start.wait", "Time that a task waited for its start."),
		nearWait:  newNearWait(&i),
		orderTime: i.histogram("sassafraswind.entry.order", "Time of an order to a worker, by kind and answer."),
		storeCallTime: i.histogram("sassafraswind.entry.store.call",
			"Time of a call to the platform's store, by call and outcome."),
		decisions: i.counter("sassafraswind.entry.decisions", "Decisions and findings of the leader, by event."),
		ends:      i.counter("sassafraswind.entry.ends", "Ends of runs that workers have listed, by kind."),
		answers: i.counter("sassafraswind.entry.answers",
			"Answers to callers, by class, action, outcome and the zone of the host."),
		refusals: i.counter("sassafraswind.entry.refusals",
			"Answers that refuse a caller's request, by class, reason and the zone of the host."),
	}
	if i.errs != nil {
		closeMeter()
		return nil, nil, errors.Wrap(i.errs, "telemetry: instruments")
	}
	return m, closeMeter, nil
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *EntryMetrics) Handler() http.Handler { return m.handler }

// EntryState holds the values of an entry host's gauges. All but IsLeader are exported only by the leader, since other
// hosts know nothing of jobs and workers.
type EntryState struct {
	IsLeader                                                    bool
	Jobs, WaitingTasks, RunningTasks, Workers, ReachableWorkers int
}

// RegisterGauges registers the gauges of the host. It calls read at each scrape.
func (m *EntryMetrics) RegisterGauges(read func() EntryState) error {
	i := instruments{meter: m.meter}
	gauge := func(name, description string) metric.Float64ObservableGauge {
		return i.gauge("sassafraswind.entry."+name, description)
	}
	leads := gauge("leads", "1 if the host leads the deployment, else 0.")
	jobs := gauge("jobs", "Jobs that are not finished.")
	waiting := gauge("tasks.waiting", "Tasks that wait for a worker.")
	running := gauge("tasks.running", "Runs that occupy workers.")
	workers := gauge("workers", "Workers that are known.")
	reachable := gauge("workers.reachable", "Workers that can take tasks.")
	if i.errs != nil {
		return errors.Wrap(i.errs, "telemetry: gauges of an entry host")
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := read()
		if s.IsLeader {
			o.ObserveFloat64(leads, 1)
			o.ObserveFloat64(jobs, float64(s.Jobs))
			o.ObserveFloat64(waiting, float64(s.WaitingTasks))
			o.ObserveFloat64(running, float64(s.RunningTasks))
			o.ObserveFloat64(workers, float64(s.Workers))
			o.ObserveFloat64(reachable, float64(s.ReachableWorkers))
		} else {
			o.ObserveFloat64(leads, 0)
		}
		return nil
	}, leads, jobs, waiting, running, workers, reachable)
	return errors.Wrap(err, "telemetry: gauges of an entry host")
}

// RecordRequest records the time from a caller's request to its answer, by action and outcome.
func (m *EntryMetrics) RecordRequest(action, outcome string, took time.Duration) {
	m.latency.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("action", action), attribute.String("outcome", outcome)))
}

// RecordAnswer counts the answer to a caller's request. A reason is given only if it was refused.
func (m *EntryMetrics) RecordAnswer(class, action, outcome, reason string) {
	ctx := context.Background()
	zone, ofClass := attribute.String("zone", m.zone), attribute.String("class", m.classes.value(class))
	m.answers.Add(ctx, 1, metric.WithAttributes(
		ofClass, attribute.String("action", action), attribute.String("outcome", outcome), zone))
	if reason != "" {
		m.refusals.Add(ctx, 1, metric.WithAttributes(ofClass, attribute.String("reason", m.reasons.value(reason)), zone))
	}
}

// RecordOrder records the duration of an order to a worker, by kind and answer.
func (m *EntryMetrics) RecordOrder(kind, answer string, took time.Duration) {
	m.orderTime.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("kind", kind), attribute.String("answer", answer)))
}

// RecordDecision counts a decision or an observation of the leader, by event.
func (m *EntryMetrics) RecordDecision(event string) {
	m.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// RecordStart records the time that a task waited for its start.
func (m *EntryMetrics) RecordStart(waited time.Duration) {
	m.startWait.Record(context.Background(), waited.Seconds())
}

// RecordEnd counts the end of a run that a worker reported, by the way it ended.
func (m *EntryMetrics) RecordEnd(how string) {
	m.ends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("how", how)))
}

// RecordStoreCall records the duration of a call to the platform's store, by call and outcome.
func (m *EntryMetrics) RecordStoreCall(call string, took time.Duration, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.storeCallTime.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("call", call), attribute.String("outcome", outcome)))
}
