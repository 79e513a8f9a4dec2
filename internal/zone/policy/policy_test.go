package policy

import (
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/platform/fleet"
)

var epoch = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// A placement that ignored committed sizes would give a worker more than it holds.
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
			p.Update(now, StartMsg{Worker: pl.Worker, Task: c.Task, Job: c.Job, Class: c.Class, Attempt: 1, Declared: c.Size, Planned: pl.Size})
		}
		now = now.Add(4 * time.Minute)
	}
	if placed != 4 {
		t.Fatalf("placed %d tasks of 2 cores on 8 cores", placed)
	}
	if s := p.Refusal("plan", fleet.Size{Cores: 9000}); s == "" {
		t.Fatal("a task larger than every worker was not refused")
	}
}

// A report about a class that never ran here under this holder must be harmless: tasks of the previous
// holder may be reported before they are adopted.
func TestReportOfUnknownClass(t *testing.T) {
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
