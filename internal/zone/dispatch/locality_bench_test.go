package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// newCrowdedRack returns a scheduler of 490 workers in 41 racks, all occupied, with a thousand tasks in the given number of jobs
// that wait for one rack.
func newCrowdedRack(jobs int) *Scheduler {
	const workers, tasks = 490, 1000
	s := New(testLimits(), 1, 1)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{"q": {Name: "q", Service: "svc", Attempts: 4, Slack: 20}}})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		s.SetWorker(simEpoch, Registration{
			ID: id, Boot: 1, Service: "svc", Address: id, Zone: "z", Rack: fmt.Sprintf("r%d", i/12),
			Capacity: fleet.Size{Cores: 32000, Memory: 128000},
		})
		s.HandleReport(simEpoch, Report{Worker: id, Boot: 1, Clock: 1000})
	}
	submit := func(n int, step workflow.Step) {
		s.Submit(simEpoch, Request{
			ID: jobID(n), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: simEpoch,
		})
		commitAll(s)
	}
	submit(0, newStep(workers*8, 4000, time.Second))
	for _, o := range s.Decide(simEpoch, simEpoch) {
		s.HandleStartAnswer(simEpoch, o, AnswerDone, 1000)
	}
	for n := range jobs {
		step := newStep(tasks/jobs, 4000, 2*time.Second)
		step.DataRack = "r3"
		submit(n+1, step)
	}
	return s
}

// BenchmarkCrowdedRack measures a decision while a thousand tasks wait for one rack, in one to a thousand jobs, at first and once
// they take any place.
func BenchmarkCrowdedRack(b *testing.B) {
	for _, jobs := range []int{1, 100, 1000} {
		for _, waited := range []time.Duration{0, 5 * time.Second} {
			b.Run(fmt.Sprintf("jobs=%d/waited=%v", jobs, waited), func(b *testing.B) {
				s := newCrowdedRack(jobs)
				now := simEpoch.Add(waited)
				for _, w := range s.workers {
					w.failedRenewals = 0
				}
				b.ReportAllocs()
				for b.Loop() {
					if n := len(s.Decide(now, now)); n > 0 {
						b.Fatalf("%d orders", n)
					}
					s.Events()
				}
			})
		}
	}
}

// BenchmarkWaitingGangs measures a decision while ten colocated gangs wait for a rack in an occupied deployment.
func BenchmarkWaitingGangs(b *testing.B) {
	s := newCrowdedRack(1)
	for n := range 10 {
		step := newStep(8, 4000, 2*time.Second)
		step.Gang, step.Colocated = true, true
		s.Submit(simEpoch, Request{
			ID: jobID(2 + n), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: simEpoch,
		})
		commitAll(s)
	}
	s.jobs[jobID(1)].finalState = StateCancelled
	b.ReportAllocs()
	for b.Loop() {
		if n := len(s.Decide(simEpoch, simEpoch)); n > 0 {
			b.Fatalf("%d orders", n)
		}
		s.Events()
	}
}
