package policy

import (
	"fmt"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// newFullSizePolicy returns a policy that holds all workers of the planned deployment size: 910 workers, 28,100 tasks
// in 20 batch classes and 56 teams, and 10 active urgent classes. The workers have sent the given number of rounds of
// usage reports.
func newFullSizePolicy(tb testing.TB, rounds int, opts ...Option) (*Policy, time.Time) {
	tb.Helper()
	p := New(opts...)
	now := epoch
	for i := range 10 {
		p.Update(now, ClassMsg{Name: fmt.Sprint("u", i), Kind: KindUrgent, P99Latency: time.Second})
	}
	for i := range 910 {
		c := fleet.Size{Cores: 64000, Memory: 256 * 1024}
		if i%2 == 0 {
			c.Accelerators = 2
		}
		p.Update(now, WorkerMsg{Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/8), Capacity: c, Slots: 8})
	}
	for i := range 28100 {
		p.Update(now, StartMsg{
			Worker: fmt.Sprint("w", i%910), Task: fmt.Sprint("t", i), Job: fmt.Sprint("j", i/100), Attempt: 1,
			Class: fmt.Sprint("b", i%20), Team: fmt.Sprint("team", i%56),
			Declared: fleet.Size{Cores: 1000, Memory: 2048}, Planned: fleet.Size{Cores: 1000, Memory: 2048},
		})
	}
	for range rounds {
		now = now.Add(10 * time.Second)
		for i := range 910 {
			usage := make([]fleet.Usage, 0, 12)
			// Tasks i, i+910 and so on are of two classes, each with about 15 tasks here.
			for _, b := range []int{i % 20, (i + 10) % 20} {
				usage = append(usage, fleet.Usage{
					Class: fmt.Sprint("b", b), Window: 10 * time.Second,
					Used: fleet.Size{Cores: 15 * 800, Memory: 15 * 2048},
				})
			}
			for u := range 10 {
				usage = append(usage, fleet.Usage{
					Class: fmt.Sprint("u", u), Window: 10 * time.Second, Calls: 100, Mean: 10 * time.Millisecond,
				})
				p.Update(now, CallMsg{
					Worker: fmt.Sprint("w", i), Class: fmt.Sprint("u", u),
					Took: 10 * time.Millisecond, Latency: 10 * time.Millisecond,
				})
			}
			p.Update(now, UsageMsg{Worker: fmt.Sprint("w", i), Usage: usage})
		}
	}
	return p, now
}

// BenchmarkPlaceTaskPlanned measures decisions at the planned deployment size and the fraction that found a worker.
func BenchmarkPlaceTaskPlanned(b *testing.B) {
	p, now := newFullSizePolicy(b, 10)
	i := 0
	placed := 0
	for b.Loop() {
		i++
		if _, ok := p.PlaceTask(now, Candidate{
			Task: "x", Job: "x", Class: fmt.Sprint("b", i%20), Team: fmt.Sprint("team", i%56),
			Size: fleet.Size{Cores: 2000, Memory: 4096},
		}); ok {
			placed++
		}
	}
	b.ReportMetric(float64(placed)/float64(b.N), "placed")
}

// BenchmarkPlaceTaskFull measures the most costly decision: on every worker examined, the task would slow
// down urgent calls too much.
func BenchmarkPlaceTaskFull(b *testing.B) {
	p, now := newFullSizePolicy(b, 10, WithFixedInterference(func(string, string) float64 { return 1 }))
	for b.Loop() {
		if _, ok := p.PlaceTask(now, Candidate{
			Task: "x", Job: "x", Class: "b1", Team: "team1", Size: fleet.Size{Cores: 2000, Memory: 4096},
		}); ok {
			b.Fatal("a task was placed although it would slow down urgent calls on every worker")
		}
	}
}

func BenchmarkCallScore(b *testing.B) {
	p, _ := newFullSizePolicy(b, 10)
	for b.Loop() {
		p.CallScore("w17", "u3")
	}
}

func BenchmarkTick(b *testing.B) {
	p, now := newFullSizePolicy(b, 10)
	for b.Loop() {
		now = now.Add(time.Second)
		p.Tick(now)
	}
}

// BenchmarkReport measures applying the usage reports of one status message.
func BenchmarkReport(b *testing.B) {
	p, now := newFullSizePolicy(b, 10)
	usage := []fleet.Usage{
		{Class: "b1", Window: 10 * time.Second, Used: fleet.Size{Cores: 800, Memory: 2048}},
		{Class: "u1", Window: 10 * time.Second, Calls: 100, Mean: 10 * time.Millisecond},
	}
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		p.Update(now, UsageMsg{Worker: "w17", Usage: usage})
	}
}
