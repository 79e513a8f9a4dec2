package telemetry

import (
	"context"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// BenchmarkTeams gives the memory of the instruments and the bytes of a scrape by pairs of team and class, and the time
// to count one request.
func BenchmarkTeams(b *testing.B) {
	for _, n := range []int{8, 56, 224} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m, done, err := NewMetrics("h", "z")
			if err != nil {
				b.Fatal(err)
			}
			defer done()
			r := Request{Class: "check", Outcome: "done", WaitTime: time.Millisecond, RunTime: time.Millisecond, AnswerTime: time.Millisecond}
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
