package policy

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// BenchmarkPlaceTask measures one batch placement (ns/op) and the memory of the policy by number of held workers. Each
// worker has 27 running tasks, the average of the planned deployment size.
func BenchmarkPlaceTask(b *testing.B) {
	for _, n := range []int{16, 91, 364} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p, size := New(), fleet.Size{Cores: 1000, Memory: 1024}
			p.Update(epoch, ClassMsg{Name: "plan", Kind: KindBatch})
			for i := range n {
				w := "w" + strconv.Itoa(i)
				p.Update(epoch, WorkerMsg{Name: w, Capacity: fleet.Size{Cores: 32_000, Memory: 125_000}, Slots: 8})
				for j := range 27 {
					p.Update(epoch, StartMsg{
						Worker: w, Task: w + "/" + strconv.Itoa(j), Job: w, Class: "plan", Attempt: 1,
						Declared: size, Planned: size,
					})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				p.PlaceTask(now, Candidate{Task: "t", Job: "j", Class: "plan", Size: size})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
	}
}
