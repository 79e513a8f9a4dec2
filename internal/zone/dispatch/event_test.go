package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestEventAgeIsNeverNegative guards against a wait below zero in the histogram of start delays: the time of a decision
// is read before the lock, behind which a job may be accepted at a later time.
func TestEventAgeIsNeverNegative(t *testing.T) {
	Convey("A task of a job that was accepted after the time of the decision has waited for no time", t, func() {
		s := New(testLimits(), 1, 1)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2}}})
		s.SetWorker(simEpoch, Registration{
			ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 32000, Memory: 128000},
		})
		s.HandleReport(simEpoch, Report{Worker: "w", Boot: 1, Clock: 1000})
		accepted := simEpoch.Add(5 * time.Millisecond)
		s.Submit(accepted, Request{
			ID: jobID(1), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second)}},
			WallTime: accepted,
		})
		commitAll(s)
		s.Decide(accepted.Add(-5*time.Millisecond), accepted.Add(-5*time.Millisecond))
		starts := 0
		for _, e := range s.Events() {
			So(e.Age, ShouldBeGreaterThanOrEqualTo, 0)
			if e.Kind == EventStart {
				starts++
			}
		}
		So(starts, ShouldEqual, 1)
	})
}

// TestSecondRunOfTaskIsReported guards against two runs of a task at once of which the leader's log says neither that
// there were two nor why the second one was started, and against a warning of two when the first had ended before.
func TestSecondRunOfTaskIsReported(t *testing.T) {
	Convey("A worker whose leases count as expired lives on", t, func() {
		now := simEpoch
		s := newBoundedScheduler(1, 0, 0)
		answer(s, now, "v")
		answer(s, now, "w")
		commitAll(s)
		submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{newStep(1, 6000, time.Minute)}})
		commitAll(s)
		start := s.Decide(now, now)[0]
		s.HandleStartAnswer(now, start, AnswerDone, 1000)
		s.HandleRenewalFailure(now, start.Worker)
		s.Events()
		now = now.Add(10 * time.Second)
		answer(s, now, otherWorker(start))
		second := s.Decide(now, now.Add(-time.Second))
		So(second, ShouldHaveLength, 1)
		ended := findEvent(s.Events(), EventWorkerEnded)
		So(ended.Worker, ShouldEqual, start.Worker)
		So(ended.Reason, ShouldEqual, "lease lapsed")
		So(ended.Age, ShouldEqual, 10*time.Second)
		So(ended.ConfirmationAge, ShouldEqual, time.Second)
		reported := func(kind string) {
			e := findEvent(s.Events(), kind)
			So(e.Task, ShouldEqual, start.Task)
			So(e.Worker, ShouldEqual, start.Worker)
			So(e.Reason, ShouldEqual, "beside run 2 on "+second[0].Worker+"; taken for ended: lease lapsed")
		}
		Convey("and lists its run: there are two", func() {
			answer(s, now, start.Worker, RunReport{Task: start.Task, Number: start.Run})
			reported(EventDuplicateRun)
		})
		Convey("and lists its run as done: it ended before the leases", func() {
			s.HandleReport(now, Report{Worker: start.Worker, Boot: 1, Clock: 11_000, Ended: []EndReport{
				{Serial: 1, Task: start.Task, Number: start.Run, Reason: EndDone},
			}})
			reported(EventLateEnd)
		})
	})
}

// findEvent returns the first event of the kind, an empty one if there is none.
func findEvent(events []Event, kind string) Event {
	for _, e := range events {
		if e.Kind == kind {
			return e
		}
	}
	return Event{}
}
