package intent

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/google/uuid"

	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// BenchmarkKeys measures what keyed requests with an answer of 256 bytes cost a reader: memory, snapshot, records and
// the time to restore the snapshot (ns/op). BenchmarkJobKeys does the same for keys of jobs, which have no answer.
func BenchmarkKeys(b *testing.B)    { benchmarkKeys(b, true) }
func BenchmarkJobKeys(b *testing.B) { benchmarkKeys(b, false) }

func benchmarkKeys(b *testing.B, answered bool) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tb, bytes := New(), 0
			for i := range n {
				u := uuid.MustParse(key(epoch, 0))
				u[13], u[14], u[15] = byte(i>>16), byte(i>>8), byte(i)
				items := []record.Item{must(Item(callIntent(u.String(), 1, 0)))}
				if answered {
					items = append(items, must(AnswerItem(Answer{Key: u.String(), Attempt: 1, Body: make([]byte, 256)})))
				}
				for j, item := range items {
					if err := tb.Apply(epoch, uint64(2*i+j+1), item); err != nil {
						b.Fatal(err)
					}
					bytes += len(item.Data)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, err := tb.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := New().Restore(data, uint64(2*n)); err != nil {
					b.Fatal(err)
				}
			}
			runtime.KeepAlive(tb)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
			b.ReportMetric(float64(len(data)), "snapshot-B")
			b.ReportMetric(float64(bytes), "record-B")
		})
	}
}
