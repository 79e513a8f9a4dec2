package job

import (
	"runtime"
	"strconv"
	"testing"
)

// planned returns a table with the planned 50,000 pending tasks of a zone.
func planned() *Table {
	tb := New()
	for n := range 50 {
		_ = tb.Apply(epoch, uint64(n), must(AcceptItem(accept(key(epoch, n), MaxTasks))))
	}
	return tb
}

func BenchmarkStartEvict(b *testing.B) {
	tb := planned()
	id := key(epoch, 7) + "/9"
	for n := 1; b.Loop(); n++ {
		_ = tb.Apply(epoch, uint64(n), must(StartItem(Start{Task: id, Attempt: n, Worker: "w", Boot: "b", Host: "h"})))
		if err := tb.Apply(epoch, uint64(n), must(EvictItem(Evict{Task: id, Attempt: n, Reason: ReasonStopped}))); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStartEnd(b *testing.B) {
	tb := planned()
	for n := 0; b.Loop(); n++ {
		if n%50_000 == 0 {
			tb = planned()
		}
		id := key(epoch, n%50) + "/" + strconv.Itoa(n/50%MaxTasks)
		_ = tb.Apply(epoch, uint64(n), must(StartItem(Start{Task: id, Attempt: 1, Worker: "w", Boot: "b", Host: "h"})))
		if err := tb.Apply(epoch, uint64(n), must(EndItem(End{Task: id, Attempt: 1, State: ResultDone}))); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	tb := planned()
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
		tb := planned()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(tb)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/50_000, "bytes/task")
}
