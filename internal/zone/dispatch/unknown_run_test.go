package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestUnknownRunBlocksItsWorker guards against starts beside a run of an unknown task, whose size is not known.
func TestUnknownRunBlocksItsWorker(t *testing.T) {
	Convey("A worker that lists a run of an unknown task gets no task until the run has ended", t, func() {
		now := simEpoch
		s := New(testLimits(), 2, 2)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
			queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2},
		}})
		s.SetWorker(now, Registration{
			ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
		})
		unknownRun := RunReport{Task: jobID(9) + ".0.0.0", Number: 1}
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000, Running: []RunReport{unknownRun}})
		s.Submit(now, Request{
			ID: jobID(1), Queue: queueName,
			Spec:     workflow.Spec{Steps: []workflow.Step{newStep(1, 6000, time.Second)}},
			WallTime: now,
		})
		b, _ := s.TakeBatch()
		s.MarkCommitted(b)
		starts := func() int {
			n := 0
			for _, o := range s.Decide(now, now) {
				if o.Kind == OrderStart {
					n++
				}
			}
			return n
		}
		So(starts(), ShouldEqual, 0)
		now = now.Add(time.Second)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 2000})
		So(starts(), ShouldEqual, 0)
		s.HandleReport(now, Report{
			Worker: "w", Boot: 1, Clock: 2100,
			Ended: []EndReport{{Serial: 1, Task: unknownRun.Task, Number: 1, Reason: EndStopped}},
		})
		So(starts(), ShouldEqual, 1)
	})
}
