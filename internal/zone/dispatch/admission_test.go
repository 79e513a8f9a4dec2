package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestAdmission checks that a job is refused at once if no worker is large enough for one of its tasks, and only then.
func TestAdmission(t *testing.T) {
	Convey("A submitted job", t, func() {
		s := New(testLimits(), 1, 1)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
			"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2},
		}})
		submit := func(size fleet.Size, bestEffort bool) Reply {
			step := newStep(1, 1000, time.Second)
			step.Size, step.BestEffort = size, bestEffort
			spec := workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second), step}}
			return s.Submit(simEpoch, Request{ID: jobID(1), Queue: "q", Spec: spec, WallTime: simEpoch})
		}
		large := fleet.Size{Cores: 9000, Memory: 1000}
		Convey("is accepted while no worker is known", func() {
			So(submit(large, false).Outcome, ShouldEqual, OutcomeAccepted)
		})
		Convey("while a worker is known", func() {
			s.SetWorker(simEpoch, Registration{
				ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
			})
			Convey("is refused at once if one of its tasks is larger than any worker", func() {
				r := submit(large, false)
				So(r.Outcome, ShouldEqual, OutcomeRefused)
				So(r.RetryAfter, ShouldBeGreaterThan, 0)
				So(r.Reason, ShouldContainSubstring, "large enough")
				So(s.HasJob(jobID(1)), ShouldBeFalse)
			})
			Convey("is accepted if a larger worker was there before", func() {
				s.SetWorker(simEpoch, Registration{
					ID: "v", Boot: 1, Service: "svc", Address: "v", Capacity: fleet.Size{Cores: 9000, Memory: 500},
				})
				So(submit(large, false).Outcome, ShouldEqual, OutcomeRefused)
				s.SetWorker(simEpoch, Registration{
					ID: "v", Boot: 2, Service: "svc", Address: "v", Capacity: fleet.Size{Cores: 9000, Memory: 1000},
				})
				s.DropWorker(simEpoch, "v")
				So(submit(large, false).Outcome, ShouldEqual, OutcomeAccepted)
			})
			Convey("is accepted as long as workers of an earlier leader are unaccounted for", func() {
				s.unaccounted["u"] = simEpoch.Add(time.Minute)
				So(submit(large, false).Outcome, ShouldEqual, OutcomeAccepted)
			})
			Convey("is accepted if it is exactly as large as the worker", func() {
				So(submit(fleet.Size{Cores: 8000, Memory: 8000}, false).Outcome, ShouldEqual, OutcomeAccepted)
			})
			Convey("is accepted if only the cores of a best-effort task exceed the worker's", func() {
				So(submit(large, true).Outcome, ShouldEqual, OutcomeAccepted)
			})
		})
	})
}

// TestAdmissionAfterShrink guards against a job that is accepted or refused by which leader it reaches while workers have
// less room than usual.
func TestAdmissionAfterShrink(t *testing.T) {
	Convey("A worker has shrunk, and a job fits only its room before", t, func() {
		now := simEpoch
		first := newStopScheduler(now, 1)
		first.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		records := map[string]Record{}
		commit := func(s *Scheduler) {
			for _, r := range commitAll(s) {
				records[r.Key] = r
			}
		}
		commit(first)
		resize(first, now, 8000, 9000)
		commit(first)
		resize(first, now, 4000, 4000)
		large, tooLarge := newStep(1, 8000, time.Second), newStep(1, 8000, time.Second)
		large.Size.Memory, tooLarge.Size.Memory = 9000, 9001
		So(submitStep(first, now, 1, large).Outcome, ShouldEqual, OutcomeAccepted)
		So(submitStep(first, now, 2, tooLarge).Outcome, ShouldEqual, OutcomeRefused)
		for serial := 2; serial <= 3; serial++ {
			s := New(testLimits(), int64(serial), serial)
			s.SetCatalog(first.catalog)
			So(s.Restore(now, now, slices.Collect(maps.Values(records)), now), ShouldBeEmpty)
			resize(s, now, 4000, 4000)
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
			commit(s)
			So(submitStep(s, now, 1, large).Outcome, ShouldEqual, OutcomeAccepted)
			So(submitStep(s, now, 2, tooLarge).Outcome, ShouldEqual, OutcomeRefused)
			commitAll(s)
			So(startsOf(s, now), ShouldEqual, 0)
			resize(s, now, 8000, 9000)
			So(startsOf(s, now), ShouldEqual, 1)
		}
	})
}
