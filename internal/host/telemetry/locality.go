package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// newNearWait returns the histogram of the waits for a near place.
func newNearWait(i *instruments) metric.Float64Histogram {
	return i.histogram("sassafraswind.entry.near.wait",
		"Time that a task or gang waited for its start that takes longer away from its data or spread over racks, by place.")
}

// RecordNearWait records the time that a task or gang waited for its start, by the place where it runs: near or remote.
func (m *EntryMetrics) RecordNearWait(place string, waited time.Duration) {
	m.nearWait.Record(context.Background(), waited.Seconds(), metric.WithAttributes(attribute.String("place", place)))
}
