package telemetry

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter is an io.Writer that blocks until release is closed, and keeps each write.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	writes  [][]byte
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes = append(b.writes, bytes.Clone(p))
	return len(p), nil
}

// Guards against a slow reader of the log that blocks the host, lines that are dropped without notice, and lines that
// are split between two writes.
func TestAsyncWriter(t *testing.T) {
	Convey("A log whose output is blocked", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
		w, stop := NewAsyncWriter(out)
		line := strings.Repeat("x", 99) + "\n"
		// The lines have twice as many bytes as the writer buffers, so that some are dropped.
		const lines = 2 * maxPendingBytes / 100
		for range lines {
			n, err := w.Write([]byte(line))
			So(err, ShouldBeNil)
			So(n, ShouldEqual, len(line))
		}
		close(out.release)
		stop()
		Convey("never blocks its writers and logs the number of dropped lines", func() {
			all := string(bytes.Join(out.writes, nil))
			So(all, ShouldContainSubstring, "lines left out")
			So(len(all), ShouldBeLessThan, lines*100)
		})
		Convey("writes whole lines, each write small enough to be atomic on a pipe", func() {
			for _, p := range out.writes {
				So(len(p), ShouldBeLessThanOrEqualTo, maxAtomicWriteBytes)
				So(p[len(p)-1], ShouldEqual, byte('\n'))
			}
		})
	})
	Convey("A line longer than an atomic write is written in one piece", t, func() {
		long := strings.Repeat("y", 2*maxAtomicWriteBytes) + "\n"
		So(wholeLinesLength([]byte(long+"z\n")), ShouldEqual, len(long))
	})
}

// TestStalledLogDoesNotBlockExit guards against a process that does not end because nobody reads its log.
func TestStalledLogDoesNotBlockExit(t *testing.T) {
	Convey("An output that stays blocked doesn't block the end of the writer", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
		w, stop := NewAsyncWriter(out)
		_, err := w.Write([]byte("line\n"))
		So(err, ShouldBeNil)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			stop()
		}()
		inTime := false
		select {
		case <-stopped:
			inTime = true
		case <-time.After(10 * flushTimeout):
		}
		close(out.release)
		<-stopped
		So(inTime, ShouldBeTrue)
	})
}

// Guards against a metric that is not exported, or not under its name and labels.
func TestEntryMetrics(t *testing.T) {
	Convey("The metrics of an entry host are served as text", t, func() {
		m, stop, err := NewEntryMetrics("a", "z")
		So(err, ShouldBeNil)
		Reset(stop)
		So(m.RegisterGauges(func() EntryState { return EntryState{IsLeader: true, Jobs: 3} }), ShouldBeNil)
		m.RecordRequest("submit", "done", 20e6)
		m.RecordOrder("start", "done", 3e6)
		m.RecordStoreCall("log-append", 4e6, nil)
		m.RecordDecision("start")
		m.RecordStart(1e9)
		m.RecordNearWait("remote", 1e9)
		m.RecordEnd("failed")
		text := scrape(m.Handler())
		for _, want := range []string{
			"sassafraswind_entry_jobs 3\n", `sassafraswind_entry_answer_seconds_count{action="submit"`, `kind="start"`,
			`call="log-append"`, `event="start"`, `how="failed"`, `sassafraswind_entry_start_wait_seconds_sum`,
			`sassafraswind_entry_near_wait_seconds_count{`, `place="remote"`,
		} {
			So(text, ShouldContainSubstring, want)
		}
	})
}

// scrape returns the metrics that h serves in the Prometheus text format.
func scrape(h http.Handler) string {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/metrics", nil))
	return rec.Body.String()
}
