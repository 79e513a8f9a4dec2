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

// TestRunsOfReplacedWorkerCountUntilTheirLeasesLapse guards against a task that runs twice because another worker answers at
// the address of its own, whose former process goes on without its listener.
func TestRunsOfReplacedWorkerCountUntilTheirLeasesLapse(t *testing.T) {
	Convey("A worker with a task doesn't answer", t, func() {
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
		plan, renews := s.PlanRenewal(now, "w")
		So(renews, ShouldBeTrue)
		lapsed := now.Add(time.Duration(float64(plan.LeaseUntil-2000)/minWorkerClockRate)*time.Millisecond + clockMargin)
		now = now.Add(3 * time.Second)
		s.HandleRenewalFailure(now, "w")
		Convey("and another one listens at its address: the task starts there once the leases have lapsed", func() {
			So(startsOf(s, now), ShouldEqual, 0)
			appear(s)
			So(startsOf(s, now), ShouldEqual, 0)
			So(startsOf(s, lapsed.Add(-2*time.Millisecond)), ShouldEqual, 0)
			So(startsOf(s, lapsed.Add(2*time.Millisecond)), ShouldEqual, 1)
		})
		Convey("and one of an earlier start is listed at its address: the task waits", func() {
			replacement.Boot = 0
			s.SetWorker(now, replacement)
			s.HandleReport(now, Report{Worker: "new", Clock: 1})
			commitAll(s)
			So(startsOf(s, now), ShouldEqual, 0)
		})
		Convey("and another host leads: the task waits for the leases of the term before", func() {
			next := New(testLimits(), 2, 2)
			next.SetCatalog(s.catalog)
			next.Restore(now, now, slices.Collect(maps.Values(log)), now)
			So(next.Summary().Unaccounted, ShouldEqual, 1)
			appear(next)
			So(next.Summary().Unaccounted, ShouldEqual, 1)
			end := next.unaccounted["w"]
			So(end, ShouldHappenOnOrAfter, lapsed)
			So(startsOf(next, end), ShouldEqual, 0)
			So(startsOf(next, end.Add(time.Millisecond)), ShouldEqual, 1)
		})
	})
}
