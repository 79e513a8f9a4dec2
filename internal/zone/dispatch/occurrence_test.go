package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// newRecurringScenario returns a scheduler on a worker with a job of several due occurrences of one task, of which the log
// takes one at a time, the order to start its first one, and the records in its log.
func newRecurringScenario() (s *Scheduler, start Order, log map[string]Record) {
	step := newStep(1, 1000, time.Second)
	s = newBoundedScheduler(2, 0, 1)
	log = map[string]Record{}
	answer(s, simEpoch, "w")
	submitSpec(s, 1, overdueSpec(3, step))
	commitTo(s, log)
	return s, s.Decide(simEpoch, simEpoch)[0], log
}

// listEnd has the worker list the end of a run as done.
func listEnd(s *Scheduler, serial int64, task string, number int) {
	s.HandleReport(simEpoch, Report{
		Worker: "w", Boot: 1, Clock: 1000 + serial, Ended: []EndReport{{serial, task, number, EndDone, ""}},
	})
}

// succeed returns the next leader's scheduler, restored from the log.
func succeed(s *Scheduler, log map[string]Record) *Scheduler {
	next := New(s.limits, s.token+1, int(s.token)+1)
	next.SetCatalog(s.catalog)
	So(next.Restore(simEpoch, simEpoch, slices.Collect(maps.Values(log)), simEpoch), ShouldBeEmpty)
	return next
}

// TestOccurrenceStartsOnceRecorded guards against tasks of a recurring job that run again under the next leader, which finds
// no record that their occurrence has begun.
func TestOccurrenceStartsOnceRecorded(t *testing.T) {
	Convey("An occurrence is done and makes room for the next one", t, func() {
		s, start, log := newRecurringScenario()
		So(start.Task, ShouldEqual, jobID(1)+".0.0.0")
		listEnd(s, 1, start.Task, start.Run)
		Convey("whose tasks wait for the record that it has begun", func() {
			So(startsOf(s, simEpoch), ShouldEqual, 0)
			commitTo(s, log)
			So(startsOf(s, simEpoch), ShouldEqual, 1)
			So(succeed(s, log).findTask(jobID(1)+".1.0.0"), ShouldNotBeNil)
		})
		Convey("also under the next leader", func() {
			next := succeed(s, log)
			answer(next, simEpoch, "w")
			listEnd(next, 2, start.Task, start.Run)
			So(startsOf(next, simEpoch), ShouldEqual, 0)
			commitAll(next)
			So(startsOf(next, simEpoch), ShouldEqual, 1)
		})
	})
}

// TestEndOfUnknownOccurrenceIsKept guards against a task of a recurring job that runs again because its end was acknowledged by a
// leader that had no record of its occurrence.
func TestEndOfUnknownOccurrenceIsKept(t *testing.T) {
	Convey("A worker lists the end of a task whose occurrence a former leader has begun without a record", t, func() {
		s, _, log := newRecurringScenario()
		next := succeed(s, log)
		listEnd(next, 1, jobID(1)+".1.0.0", 7)
		Convey("the leader takes the occurrence for begun", func() {
			So(next.jobs[jobID(1)].nextOccurrence, ShouldEqual, 2)
			So(next.jobs[jobID(1)].openOccurrences, ShouldContainKey, 0)
			So(next.jobs[jobID(1)].openOccurrences, ShouldNotContainKey, 1)
		})
		Convey("but none of a job that has no such occurrence", func() {
			listEnd(next, 2, jobID(1)+".3.0.0", 7)
			So(next.jobs[jobID(1)].nextOccurrence, ShouldEqual, 2)
		})
	})
}

// submitRecurring submits recurring jobs of a few short tasks, whose occurrences overlap.
func (sim *simulation) submitRecurring(first, jobs int) {
	for n := range jobs {
		spec := workflow.Spec{Payload: "x", Steps: []workflow.Step{
			newStep(1+sim.rng.IntN(3), 500, time.Duration(100+sim.rng.IntN(400))*time.Millisecond),
		}}
		spec.OccurrenceCount = 2 + sim.rng.IntN(20)
		spec.Interval = time.Duration(50+sim.rng.IntN(400)) * time.Millisecond
		spec.FirstDue = sim.now.Add(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
		sim.after(time.Duration(sim.rng.IntN(4000))*time.Millisecond, func() { sim.submit(jobID(first+n), spec) })
	}
}
