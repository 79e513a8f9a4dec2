package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// TestTaskOfAnotherBootIsGivenBack guards against tasks that never start again because the only boot that answers seems to
// be older than theirs, as after a restart with a clock that was put back.
func TestTaskOfAnotherBootIsGivenBack(t *testing.T) {
	Convey("A worker with a task has restarted, and answers as an older boot", t, func() {
		c := newCrashScenario(newStep(1, 6000, time.Minute))
		for range 70 {
			c.now = c.now.Add(100 * time.Millisecond)
			c.s.HandleRenewalRestart("w")
			c.report("w", 0, 10)
			c.s.Decide(c.now, c.now)
		}
		So(c.task.runs, ShouldBeEmpty)
		So(c.task.queued, ShouldBeTrue)
		So(c.crashes(), ShouldEqual, 1)
	})
}

// TestFalseEntryEndsNoTasks guards against tasks that are started a second time, and blamed for a crash, because a false
// entry of the list has the address of a worker that lives on.
func TestFalseEntryEndsNoTasks(t *testing.T) {
	Convey("A false entry has the address of a worker and a later start", t, func() {
		c := newCrashScenario(newStep(1, 6000, time.Minute))
		list := func() {
			c.list("false", 9, false)
			c.report("false", 1, 1020)
			commitAll(c.s)
		}
		Convey("and the worker runs a task: it goes on", func() {
			list()
			So(c.crashes(), ShouldEqual, 0)
			So(c.s.workers["w"].runs, ShouldHaveLength, 1)
		})
		Convey("and the worker is frozen: its task is not blamed", func() {
			c.lapse()
			list()
			So(c.crashes(), ShouldEqual, 0)
		})
	})
}

// TestReplacedWorkerGivesItsTasksBack guards against tasks that wait for the leases of a worker to lapse although another
// one already listens at its address, and against restored tasks that wait for its report.
func TestReplacedWorkerGivesItsTasksBack(t *testing.T) {
	Convey("A worker with a task has crashed", t, func() {
		now := simEpoch
		s := newStopScheduler(now, 1)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		submitStep(s, now, 1, newStep(1, 6000, time.Minute))
		log := map[string]Record{}
		commitTo(s, log)
		o := s.Decide(now, now)[0]
		s.HandleStartAnswer(now, o, AnswerDone, 1010)
		now = now.Add(time.Second)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 2000, Running: []RunReport{{Task: o.Task, Number: o.Run}}})
		commitTo(s, log)
		replacement := Registration{
			ID: "new", Boot: 2, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
		}
		appear := func(s *Scheduler) {
			s.SetWorker(now, replacement)
			s.HandleReport(now, Report{Worker: "new", Boot: 2, Clock: 1})
			commitAll(s)
		}
		_, renews := s.PlanRenewal(now, "w")
		So(renews, ShouldBeTrue)
		now = now.Add(3 * time.Second)
		s.HandleRenewalFailure(now, "w")
		Convey("and another one listens at its address: the task starts there at once", func() {
			So(startsOf(s, now), ShouldEqual, 0)
			appear(s)
			So(startsOf(s, now), ShouldEqual, 1)
		})
		Convey("and one of an earlier start is listed at its address: the task waits", func() {
			replacement.Boot = 0
			s.SetWorker(now, replacement)
			s.HandleReport(now, Report{Worker: "new", Clock: 1})
			commitAll(s)
			So(startsOf(s, now), ShouldEqual, 0)
		})
		Convey("and another host leads: the task starts once another worker listens at the address", func() {
			next := New(testLimits(), 2, 2)
			next.SetCatalog(s.catalog)
			next.Restore(now, now, slices.Collect(maps.Values(log)), now)
			So(next.Summary().Unaccounted, ShouldEqual, 1)
			appear(next)
			So(next.Summary().Unaccounted, ShouldEqual, 0)
			So(startsOf(next, now), ShouldEqual, 1)
		})
	})
}
