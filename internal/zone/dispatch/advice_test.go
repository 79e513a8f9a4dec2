package dispatch

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestAdviceIsNotAskedForWorkersWithTheirShare guards against tasks that never start because each request for advice
// names workers that already have as many tasks of the step as they may.
func TestAdviceIsNotAskedForWorkersWithTheirShare(t *testing.T) {
	Convey("More tasks of a step than one request for advice names workers, at most one on each worker, all start", t, func() {
		const tasks = adviceBatchSize + 10
		now, clock := simEpoch, int64(1000)
		s := New(testLimits(), 1, 1)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
			queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2, Advised: true},
		}})
		for i := range 2 * tasks {
			id := "w" + strconv.Itoa(i)
			s.SetWorker(now, Registration{
				ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: 8000, Memory: 8000},
			})
		}
		step := newStep(tasks, 1000, 0)
		step.LongRunning, step.MaxUnavailable, step.MaxPerWorker = true, -1, 1
		s.Submit(now, Request{
			ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
		})
		const validity = 2 * time.Second
		running := map[string][]RunReport{}
		for len(running) < tasks {
			So(now.Sub(simEpoch), ShouldBeLessThan, 2*validity)
			now, clock = now.Add(50*time.Millisecond), clock+50
			for _, id := range s.WorkerIDs() {
				s.HandleReport(now, Report{Worker: id, Boot: 1, Clock: clock, Running: running[id]})
			}
			commitAll(s)
			for _, o := range s.Decide(now, now) {
				if o.Kind == OrderStart {
					s.HandleStartAnswer(now, o, AnswerDone, clock)
					running[o.Worker] = []RunReport{{Task: o.Task, Number: o.Run, Progress: 100}}
					continue
				}
				tickets := make([]AdviceTicket, 0, len(o.Candidates))
				for _, id := range o.Candidates {
					tickets = append(tickets, AdviceTicket{Worker: id, Ticket: "ticket"})
				}
				s.HandleAdvice(now, now, o, tickets, validity, true)
			}
		}
	})
}
