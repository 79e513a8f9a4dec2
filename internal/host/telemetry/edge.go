package telemetry

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// EdgeMetrics holds the metric instruments of the servers' limits. Its methods are safe for concurrent use. The servers and
// the reasons in its labels are fixed.
type EdgeMetrics struct {
	meter    metric.Meter
	refusals metric.Int64Counter
}

// EdgeState holds the values of the gauges of one server.
type EdgeState struct {
	Server string
	// Conns is the number of open connections, and Bytes what the requests in progress hold.
	Conns int
	Bytes int64
}

// Edge returns the instruments of the servers' limits.
func (m *EntryMetrics) Edge() (*EdgeMetrics, error) { return newEdgeMetrics(m.meter) }

// Edge returns the instruments of the servers' limits.
func (m *Metrics) Edge() (*EdgeMetrics, error) { return newEdgeMetrics(m.meter) }

func newEdgeMetrics(meter metric.Meter) (*EdgeMetrics, error) {
	i := instruments{meter: meter}
	m := &EdgeMetrics{meter: meter, refusals: i.counter("sassafraswind.edge.refusals",
		"Connections closed and requests refused by the limits of the servers, by server and reason.")}
	return m, errors.Wrap(i.errs, "telemetry: instruments of the servers' limits")
}

// RecordRefusal counts a connection that was closed or a request that was refused.
func (m *EdgeMetrics) RecordRefusal(server, reason string) {
	m.refusals.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("server", server), attribute.String("reason", reason)))
}

// RegisterGauges registers the gauges of the servers. It calls read at each scrape.
func (m *EdgeMetrics) RegisterGauges(read func() []EdgeState) error {
	i := instruments{meter: m.meter}
	conns := i.gauge("sassafraswind.edge.connections", "Open connections, by server.")
	bytes := i.gauge("sassafraswind.edge.held", "Bytes that requests in progress hold, by server.")
	if i.errs != nil {
		return errors.Wrap(i.errs, "telemetry: gauges of the servers")
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, s := range read() {
			server := metric.WithAttributes(attribute.String("server", s.Server))
			o.ObserveFloat64(conns, float64(s.Conns), server)
			o.ObserveFloat64(bytes, float64(s.Bytes), server)
		}
		return nil
	}, conns, bytes)
	return errors.Wrap(err, "telemetry: gauges of the servers")
}
