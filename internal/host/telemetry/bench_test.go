package telemetry

import (
	"context"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// BenchmarkTeams measures the time to record one request, and reports the heap memory of the instruments and the size
// of a scrape in bytes, for different numbers of teams.
func BenchmarkTeams(b *testing.B) {
	for _, n := range []int{8, 56, 224} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m, closeMetrics, err := NewMetrics("h", "z")
			if err != nil {
				b.Fatal(err)
			}
			defer closeMetrics()
			r := Request{Class: "check", Outcome: "done",
				WaitTime: time.Millisecond, RunTime: time.Millisecond, Latency: time.Millisecond}
			for i := range n {
				r.Team = "team-" + strconv.Itoa(i)
				m.RecordRequest(context.Background(), r)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				m.RecordRequest(context.Background(), r)
			}
			w := httptest.NewRecorder()
			m.Handler().ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), "GET", "/metrics", nil))
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
			b.ReportMetric(float64(w.Body.Len()), "scrape-B")
		})
	}
}
