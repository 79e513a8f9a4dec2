package job

import (
	"runtime"
	"strconv"
	"testing"
)

// newPlannedTable returns a table with 50,000 pending tasks, the planned number of a zone.
func newPlannedTable() *Table {
	tb := New()
	for n := range 50 {
		_ = tb.Apply(epoch, uint64(n), must(AcceptItem(newAccept(jobID(epoch, n), MaxTasks))))
	}
	return tb
}

func BenchmarkStartEvict(b *testing.B) {
	tb := newPlannedTable()
	id := jobID(epoch, 7) + "/9"
	for n := 1; b.Loop(); n++ {
		_ = tb.Apply(epoch, uint64(n), must(StartItem(Start{Task: id, Attempt: n, Worker: "w", Boot: "b", Host: "h"})))
		if err := tb.Apply(epoch, uint64(n), must(EvictItem(Evict{
			Task: id, Attempt: n, Reason: ReasonStopped,
		}))); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStartEnd(b *testing.B) {
	tb := newPlannedTable()
	for n := 0; b.Loop(); n++ {
		if n%50_000 == 0 {
			tb = newPlannedTable()
		}
		id := jobID(epoch, n%50) + "/" + strconv.Itoa(n/50%MaxTasks)
		_ = tb.Apply(epoch, uint64(n), must(StartItem(Start{Task: id, Attempt: 1, Worker: "w", Boot: "b", Host: "h"})))
		if err := tb.Apply(epoch, uint64(n), must(EndItem(End{Task: id, Attempt: 1, Result: ResultDone}))); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	tb := newPlannedTable()
	size := 0
	for b.Loop() {
		data, err := tb.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/50_000, "bytes/task")
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		tb := newPlannedTable()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(tb)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/50_000, "bytes/task")
}

// BenchmarkRunning measures what the running tasks of a zone cost a reader: memory, the size of a snapshot and the time
// to restore it (ns/op).
func BenchmarkRunning(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tb, bytes := New(), 0
			for i := range n {
				id := jobID(epoch, i/10)
				if i%10 == 0 {
					_ = tb.Apply(epoch, uint64(i), must(AcceptItem(newAccept(id, 10))))
				}
				item := must(StartItem(Start{
					Task: id + "/" + strconv.Itoa(i%10), Attempt: 1,
					Worker: "almaty-a-w" + strconv.Itoa(i%91), Boot: "boot-1", Host: "almaty-a-1",
				}))
				if err := tb.Apply(epoch, uint64(i), item); err != nil {
					b.Fatal(err)
				}
				bytes += len(item.Data)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, err := tb.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := New().Restore(data, uint64(n)); err != nil {
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
