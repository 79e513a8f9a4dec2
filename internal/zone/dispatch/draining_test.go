package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// TestLongRunningTasksLeaveDrainingWorker guards against long-running tasks that stay on a worker which is about to leave,
// and are away until it is certain that it has.
func TestLongRunningTasksLeaveDrainingWorker(t *testing.T) {
	Convey("A worker with the three long-running tasks of a step drains", t, func() {
		now := simEpoch
		s := newStopScheduler(now, 1)
		running := map[string][]RunReport{}
		report := func(ends ...EndReport) {
			for _, id := range s.WorkerIDs() {
				rep := Report{Worker: id, Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds(), Running: running[id]}
				if id == "w" {
					rep.Ended = ends
				}
				s.HandleReport(now, rep)
			}
			commitAll(s)
		}
		decide := func() (starts, stops []Order) {
			for _, o := range s.Decide(now) {
				if o.Kind == OrderStop {
					stops = append(stops, o)
					continue
				}
				starts = append(starts, o)
				s.HandleStartAnswer(now, o, AnswerDone, 1000+now.Sub(simEpoch).Milliseconds())
				running[o.Worker] = append(running[o.Worker], RunReport{Task: o.Task, Number: o.Run, Progress: 100})
			}
			return starts, stops
		}
		add := func(id string, cores int64) {
			s.SetWorker(now, Registration{
				ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: cores, Memory: 8000},
			})
		}
		drain := func() {
			s.SetWorker(now, Registration{
				ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000}, Draining: true,
			})
		}
		report()
		step := newStep(3, 2000, 0)
		step.LongRunning, step.MaxUnavailable = true, -1
		submitStep(s, now, 1, step)
		commitAll(s)
		decide()
		So(running["w"], ShouldHaveLength, 3)
		now = now.Add(2 * time.Second)
		report()
		Convey("and no other has room: they stay", func() {
			add("x", 1000)
			report()
			drain()
			decide()
			commitAll(s)
			_, stops := decide()
			So(stops, ShouldBeEmpty)
		})
		Convey("and another has room: they move one after the other", func() {
			add("x", 8000)
			report()
			drain()
			decide()
			commitAll(s)
			_, stops := decide()
			So(stops, ShouldHaveLength, 1)
			now = now.Add(drainMoveInterval)
			report()
			_, more := decide()
			So(more, ShouldBeEmpty)
			running["w"] = running["w"][1:]
			report(EndReport{Serial: 1, Task: stops[0].Task, Number: stops[0].Run, Reason: EndStopped})
			starts, _ := decide()
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Worker, ShouldEqual, "x")
			So(starts[0].Task, ShouldEqual, stops[0].Task)
			now = now.Add(drainMoveInterval)
			report()
			decide()
			commitAll(s)
			_, next := decide()
			So(next, ShouldHaveLength, 1)
			So(next[0].Task, ShouldNotEqual, stops[0].Task)
		})
	})
}
