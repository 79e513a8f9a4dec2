package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestRestoredTaskWaitsForItsWorkerOnly guards against a long-running task that is away because another task's worker was
// lost at a change of leader, and against one that a new leader starts while it may still run.
func TestRestoredTaskWaitsForItsWorkerOnly(t *testing.T) {
	Convey("A long-running task runs on one of three workers, and another leader follows", t, func() {
		now := simEpoch
		s, start, log := newLeaseScheduler(now)
		answer(s, now, "u")
		commitTo(s, log)
		leadTerm := func(token int64) *Scheduler {
			next := New(leaseLimits(), token, int(token))
			next.SetCatalog(s.catalog)
			So(next.Restore(now, now, slices.Collect(maps.Values(log)), now), ShouldBeEmpty)
			return next
		}
		lead := func() *Scheduler { return leadTerm(2) }
		decide := func(next *Scheduler, answering ...string) int {
			starts := 0
			for range 3 {
				for _, id := range answering {
					answer(next, now, id)
				}
				commitAll(next)
				starts += startsOf(next, now)
			}
			return starts
		}
		Convey("it starts again once its worker has answered without it, although a third one is silent", func() {
			So(decide(lead(), start.Worker, otherWorker(start)), ShouldEqual, 1)
		})
		Convey("it waits as long as its worker is silent", func() {
			next := lead()
			So(decide(next, "u", otherWorker(start)), ShouldEqual, 0)
			So(startAfter(next, now, start), ShouldBeBetween, maxGrantedLease, 7*time.Second)
		})
		Convey("it waits until its worker has listed all its ends", func() {
			next := lead()
			ends := make([]EndReport, maxListedEnds)
			for i := range ends {
				ends[i] = EndReport{Serial: int64(i + 1), Task: "other", Number: i, Reason: EndDone}
			}
			next.HandleReport(now, Report{Worker: start.Worker, Boot: 1, Clock: 1000, Ended: ends})
			So(decide(next, otherWorker(start)), ShouldEqual, 0)
			So(decide(next, start.Worker), ShouldEqual, 1)
		})
		Convey("a change of leader after the next one knows its worker as well", func() {
			next := lead()
			commitTo(next, log)
			So(decide(leadTerm(3), start.Worker, otherWorker(start)), ShouldEqual, 1)
		})
		Convey("it waits for all workers after a term that recorded nothing, since that may have been of another version", func() {
			So(decide(leadTerm(3), start.Worker, otherWorker(start)), ShouldEqual, 0)
		})
		Convey("it waits for all workers if its job is of a version that did not record them", func() {
			j := s.jobs[jobID(1)]
			j.acceptedTerm, j.stored = 0, false
			s.journal.markDirty(j)
			commitTo(s, log)
			So(decide(lead(), start.Worker, otherWorker(start)), ShouldEqual, 0)
		})
		Convey("a short task waits for all workers", func() {
			spec := workflow.Spec{Steps: []workflow.Step{newStep(1, 100, time.Second)}}
			s.Submit(now, Request{ID: jobID(2), Queue: "q", Spec: spec, WallTime: now})
			commitTo(s, log)
			next := lead()
			So(decide(next, start.Worker, otherWorker(start)), ShouldEqual, 1)
			So(decide(next, "u"), ShouldEqual, 1)
		})
		Convey("its record is removed with its job", func() {
			So(log[prefixPlacement+start.Task].Value, ShouldNotBeEmpty)
			s.Cancel(now, jobID(1), "")
			commitTo(s, log)
			So(log[prefixPlacement+start.Task].Value, ShouldBeEmpty)
		})
	})
}

// TestStartWaitsForItsRecord guards against a start of a long-running task of which the next leader knows nothing, and
// against a start on a worker that has begun to drain meanwhile.
func TestStartWaitsForItsRecord(t *testing.T) {
	Convey("A long-running task is placed", t, func() {
		now := simEpoch
		s := newBoundedScheduler(2, 0, 0)
		answer(s, now, "w")
		commitAll(s)
		step := newStep(1, 100, time.Second)
		step.LongRunning = true
		submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{step}})
		commitAll(s)
		So(startsOf(s, now), ShouldEqual, 0)
		b, ok := s.TakeBatch()
		So(ok, ShouldBeTrue)
		So(startsOf(s, now), ShouldEqual, 0)
		Convey("its start is ordered once its worker is in the log", func() {
			s.MarkCommitted(b)
			So(startsOf(s, now), ShouldEqual, 1)
		})
		Convey("it is not blamed for a crash of its worker before that", func() {
			s.HandleRenewalFailure(now, "w")
			s.HandleRenewalFailure(now, "w")
			s.endWorker(now, s.workers["w"], "lease lapsed")
			So(s.suspects, ShouldBeEmpty)
			So(s.jobs[jobID(1)].openOccurrences[0].stages[0].tasks[0].queued, ShouldBeTrue)
		})
		Convey("its start is taken back if the worker has no room for it any more", func() {
			resize(s, now, 50, 8000)
			s.MarkCommitted(b)
			So(startsOf(s, now), ShouldEqual, 0)
			So(s.jobs[jobID(1)].openOccurrences[0].stages[0].tasks[0].queued, ShouldBeTrue)
		})
		Convey("its start is taken back if the worker takes no tasks any more", func() {
			s.workers["w"].Draining = true
			s.MarkCommitted(b)
			So(startsOf(s, now), ShouldEqual, 0)
			So(s.jobs[jobID(1)].openOccurrences[0].stages[0].tasks[0].queued, ShouldBeTrue)
		})
	})
}
