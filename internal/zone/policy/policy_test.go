package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

var epoch = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// If placements ignored committed sizes, a worker would get more than its capacity.
func TestPlaceTaskStaysWithinCapacity(t *testing.T) {
	p := New()
	p.Update(epoch, ClassMsg{Name: "plan", Kind: KindBatch})
	p.Update(epoch, WorkerMsg{Name: "w1", Capacity: fleet.Size{Cores: 8000, Memory: 8192}, Slots: 8})
	now := epoch
	placed := 0
	for i := range 20 {
		c := Candidate{Task: string(rune('a' + i)), Job: "j", Class: "plan", Size: fleet.Size{Cores: 2000, Memory: 512}}
		pl, ok := p.PlaceTask(now, c)
		if ok {
			placed++
			p.Update(now, StartMsg{
				Worker: pl.Worker, Task: c.Task, Job: c.Job, Class: c.Class, Attempt: 1, Declared: c.Size, Planned: pl.Size,
			})
		}
		now = now.Add(4 * time.Minute)
	}
	if placed != 4 {
		t.Fatalf("placed %d tasks of 2 cores on a worker of 8 cores, want 4", placed)
	}
	if s := p.RefusalReason("plan", fleet.Size{Cores: 9000}); s == "" {
		t.Fatal("a task larger than every worker was not refused")
	}
}

// If placements kept the capacity of the first report, a worker that has shrunk would get more than it has.
func TestPlaceTaskFollowsCapacity(t *testing.T) {
	p := New()
	p.Update(epoch, ClassMsg{Name: "plan", Kind: KindBatch})
	now, tried, placed := epoch, 0, 0
	for _, step := range []struct {
		cores int64
		want  int
	}{{4000, 2}, {2000, 2}, {0, 2}, {5999, 2}, {6000, 3}, {8000, 4}} {
		p.Update(now, WorkerMsg{Name: "w1", Capacity: fleet.Size{Cores: step.cores, Memory: 8192}, Slots: 8})
		for range 10 {
			tried++
			c := Candidate{Task: fmt.Sprint("j/", tried), Job: "j", Class: "plan", Size: fleet.Size{Cores: 2000, Memory: 512}}
			if pl, ok := p.PlaceTask(now, c); ok {
				placed++
				p.Update(now, StartMsg{
					Worker: pl.Worker, Task: c.Task, Job: c.Job, Class: c.Class, Attempt: 1, Declared: c.Size, Planned: pl.Size,
				})
			}
			now = now.Add(4 * time.Minute)
		}
		if placed != step.want {
			t.Fatalf("%d tasks of 2 cores on a worker of now %d thousandths, want %d", placed, step.cores, step.want)
		}
	}
}

// A report about a class that never ran here under this holder must not cause a panic: tasks of the previous holder may
// be reported before they are adopted.
func TestUsageOfUnknownClass(t *testing.T) {
	p := New()
	p.Update(epoch, WorkerMsg{Name: "w1", Capacity: fleet.Size{Cores: 8000, Memory: 8192}, Slots: 8})
	for i := range 40 {
		p.Update(epoch.Add(time.Duration(i)*10*time.Second), UsageMsg{Worker: "w1", Usage: []fleet.Usage{
			{Class: "other", Window: 10 * time.Second, Used: fleet.Size{Cores: 1000}},
			{Class: "urgent", Window: 10 * time.Second, Calls: 3, Mean: time.Millisecond},
		}})
	}
	p.Update(epoch, UsageMsg{Worker: "unknown"})
}

// If the committed size of a worker differed from the sum over its tasks, the worker would be overfilled or lose room
// permanently.
func TestPlacementInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New(), epoch
		p.Update(now, ClassMsg{Name: "u", Kind: KindUrgent, P99Latency: time.Second})
		attempts := map[string]int{}
		for i := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			name := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "worker"))
			w := p.workers[name]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				p.Update(now, WorkerMsg{Name: name, Capacity: fleet.Size{Cores: 8000, Memory: 8192}, Slots: 8})
			case 1:
				p.Update(now, RemoveWorkerMsg{Name: name})
			case 2:
				p.Update(now, UsageMsg{Worker: name, Usage: []fleet.Usage{{
					Class: "b", Window: 10 * time.Second, Lag: 5 * time.Second,
					Used: fleet.Size{
						Cores: rapid.Int64Range(0, 9000).Draw(t, "cores"), Memory: rapid.Int64Range(0, 9000).Draw(t, "memory"),
					},
				}}})
			case 3:
				if w == nil || len(w.tasks) == 0 {
					continue
				}
				ids := make([]string, 0, len(w.tasks))
				for id := range w.tasks {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				outcome := rapid.SampledFrom([]Outcome{
					OutcomeDone, OutcomeFailed, OutcomeEvicted, OutcomeCancelled,
				}).Draw(t, "outcome")
				p.Update(now, EndMsg{Worker: name, Task: ids[0], Attempt: attempts[ids[0]], Outcome: outcome})
			default:
				c := Candidate{
					Task: fmt.Sprint("t", i), Job: fmt.Sprint("j", i%5), Class: "b", Team: fmt.Sprint("team", i%2),
					Size: fleet.Size{Cores: rapid.Int64Range(1, 4000).Draw(t, "size"), Memory: 100},
				}
				if pl, ok := p.PlaceTask(now, c); ok {
					attempts[c.Task] = 1
					p.Update(now, StartMsg{
						Worker: pl.Worker, Task: c.Task, Job: c.Job, Class: c.Class, Team: c.Team, Attempt: 1,
						Declared: c.Size, Planned: pl.Size,
					})
				}
			}
			for _, w := range p.workersInScan {
				var sum fleet.Size
				for _, x := range w.tasks {
					sum = sum.Add(x.planned)
				}
				if sum != w.committed || !sum.Fits(w.capacity) {
					t.Fatalf("worker %s: committed size %v and sum over its tasks %v differ or exceed its capacity",
						w.name, w.committed, sum)
				}
			}
		}
	})
}

// failTasks starts and fails n tasks of the job wherever the policy places them and returns the starts by worker.
func failTasks(p *Policy, now time.Time, job string, n int) map[string]int {
	starts := map[string]int{}
	for i := range n {
		now = now.Add(time.Second)
		c := Candidate{Task: fmt.Sprint(job, "/", i), Job: job, Class: "b", Size: fleet.Size{Cores: 100, Memory: 100}}
		pl, ok := p.PlaceTask(now, c)
		if !ok {
			continue
		}
		starts[pl.Worker]++
		p.Update(now, StartMsg{
			Worker: pl.Worker, Task: c.Task, Job: job, Class: "b", Attempt: 1, Declared: c.Size, Planned: pl.Size,
		})
		p.Update(now, EndMsg{Worker: pl.Worker, Task: c.Task, Attempt: 1, Outcome: OutcomeFailed})
	}
	return starts
}

// If a failing job could quarantine one worker after the other, it would take a whole zone out of use.
func TestFailingJobQuarantinesFewWorkers(t *testing.T) {
	p := New()
	for i := range 8 {
		p.Update(epoch, WorkerMsg{Name: fmt.Sprint("w", i), Capacity: fleet.Size{Cores: 8000, Memory: 8192}, Slots: 8})
	}
	// The size is known, so the class is not on trial on one worker.
	p.class("b").size.memory.reports = minSizeReports
	failTasks(p, epoch, "bad", 1000)
	n := 0
	for w := range p.workers {
		if p.IsQuarantined(w) {
			n++
		}
	}
	if n > maxQuarantines {
		t.Fatalf("a failing job quarantined %d workers, more than maxQuarantines", n)
	}
	if pl, _ := p.PlaceTask(epoch.Add(time.Hour/2), Candidate{
		Task: "x", Job: "bad", Class: "b", Size: fleet.Size{Cores: 100},
	}); !pl.Park {
		t.Fatal("a job that failed on 3 workers is not parked")
	}
}

// If tasks were stopped before they are throttled and checkpointed, or without disruption budget, work would be lost
// needlessly.
func TestThrottleThenCheckpointThenStop(t *testing.T) {
	for _, evictions := range []float64{0, 1000} {
		p := New(WithFixedInterference(func(string, string) float64 { return 1 }))
		p.Update(epoch, ClassMsg{Name: "u", Kind: KindUrgent, P99Latency: time.Millisecond})
		p.Update(epoch, ClassMsg{Name: "b", Kind: KindBatch, EvictionsPerTaskDay: evictions})
		p.Update(epoch, WorkerMsg{Name: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8192}, Slots: 8})
		size := fleet.Size{Cores: 8000, Memory: 100}
		p.Update(epoch, StartMsg{Worker: "w", Task: "t", Job: "j", Class: "b", Attempt: 1, Declared: size, Planned: size})
		var got []fleet.Action
		for i := range 600 {
			now := epoch.Add(time.Duration(i) * time.Second)
			for range 50 {
				p.Update(now, CallMsg{Worker: "w", Class: "u", Latency: time.Second})
			}
			for _, c := range p.Tick(now) {
				if len(got) == 0 || got[len(got)-1] != c.Action {
					got = append(got, c.Action)
				}
			}
		}
		want := []fleet.Action{fleet.ActionThrottle}
		if evictions > 0 {
			want = append(want, fleet.ActionCheckpoint, fleet.ActionStop)
		}
		if !slices.Equal(got, want) {
			t.Errorf("with %v tolerable evictions: actions %v, want %v", evictions, got, want)
		}
	}
}

func ExamplePolicy() {
	now := time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)
	p := New()
	p.Update(now, ClassMsg{Name: "plan", Kind: KindBatch, EvictionsPerTaskDay: 2})
	p.Update(now, WorkerMsg{Name: "w1", Rack: "r1", Capacity: fleet.Size{Cores: 32000, Memory: 128000}, Slots: 8})
	c := Candidate{Task: "j/0", Job: "j", Class: "plan", Team: "planning", Size: fleet.Size{Cores: 2000, Memory: 4096}}
	if pl, ok := p.PlaceTask(now, c); ok {
		p.Update(now, StartMsg{
			Worker: pl.Worker, Task: c.Task, Job: c.Job, Class: c.Class, Team: c.Team, Attempt: 1,
			Declared: c.Size, Planned: pl.Size,
		})
		fmt.Println(pl.Worker, p.RunningAttempts())
	}
	fmt.Println(p.RefusalReason("plan", fleet.Size{Cores: 64000, Memory: 4096}))
	// Output:
	// w1 1
	// no known worker is large enough: 64 cores, 4096 MiB, 0 accelerators
}

// Tasks that run for weeks never end in success. A worker that fails everything would then look like a fault of their
// class and keep getting tasks.
func TestFailingWorkerWithLongTasks(t *testing.T) {
	p := New()
	for i := range 8 {
		p.Update(epoch, WorkerMsg{Name: fmt.Sprint("w", i), Capacity: fleet.Size{Cores: 64000, Memory: 64000}, Slots: 8})
	}
	p.class("b").size.memory.reports = minSizeReports
	failing := map[string]bool{"w0": true, "w1": true, "w2": true, "w3": true}
	starts, probes := map[string]int{}, 0
	for i := range 3600 {
		now := epoch.Add(time.Duration(i) * time.Second)
		p.Tick(now)
		c := Candidate{
			Task: fmt.Sprint("t", i), Job: fmt.Sprint("j", i), Class: "b", Size: fleet.Size{Cores: 100, Memory: 10},
		}
		pl, ok := p.PlaceTask(now, c)
		if !ok {
			continue
		}
		p.Update(now, StartMsg{
			Worker: pl.Worker, Task: c.Task, Job: c.Job, Class: "b", Attempt: 1, Declared: c.Size, Planned: pl.Size,
		})
		if failing[pl.Worker] {
			if p.IsQuarantined(pl.Worker) {
				probes++
			} else {
				starts[pl.Worker]++
			}
			p.Update(now, EndMsg{Worker: pl.Worker, Task: c.Task, Attempt: 1, Outcome: OutcomeFailed})
		}
	}
	for w, n := range starts {
		if n > maxUnprovenTasks {
			t.Errorf("%s fails everything and got %d tasks outside quarantine, more than maxUnprovenTasks", w, n)
		}
	}
	if probes == 0 {
		t.Error("quarantined workers got no probe")
	}
}
