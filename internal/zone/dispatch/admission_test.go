package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

func TestAdmission(t *testing.T) {
	Convey("A job comes in", t, func() {
		s := New(testLimits(), 1, 1)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{"q": {Name: "q", Service: "svc", Attempts: 2, Slack: 2}}})
		submit := func(size fleet.Size, fills bool) Reply {
			st := step(1, 1000, time.Second)
			st.Size, st.BestEffort = size, fills
			spec := workflow.Spec{Steps: []workflow.Step{step(1, 1000, time.Second), st}}
			return s.Submit(simEpoch, Request{ID: jobID(1), Queue: "q", Spec: spec, Wall: simEpoch})
		}
		large := fleet.Size{Cores: 9000, Memory: 1000}
		Convey("and is taken while no worker is known", func() {
			So(submit(large, false).Outcome, ShouldEqual, OutcomeAccepted)
		})
		Convey("while a worker is known", func() {
			s.SetWorker(simEpoch, Registration{ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000}})
			Convey("and is refused at once if a task of it is larger than any worker", func() {
				r := submit(large, false)
				So(r.Outcome, ShouldEqual, OutcomeRefused)
				So(r.RetryAfter, ShouldBeGreaterThan, 0)
				So(r.Reason, ShouldContainSubstring, "large enough")
				So(s.Knows(jobID(1)), ShouldBeFalse)
			})
			Convey("and is taken if a larger worker was there before", func() {
				s.SetWorker(simEpoch, Registration{ID: "v", Boot: 1, Service: "svc", Address: "v", Capacity: fleet.Size{Cores: 9000, Memory: 500}})
				So(submit(large, false).Outcome, ShouldEqual, OutcomeRefused)
				s.SetWorker(simEpoch, Registration{ID: "v", Boot: 2, Service: "svc", Address: "v", Capacity: fleet.Size{Cores: 9000, Memory: 1000}})
				s.DropWorker(simEpoch, "v")
				So(submit(large, false).Outcome, ShouldEqual, OutcomeAccepted)
			})
			Convey("and is taken as long as workers of an earlier leader have not been heard of", func() {
				s.unaccounted["u"] = struct{}{}
				So(submit(large, false).Outcome, ShouldEqual, OutcomeAccepted)
			})
			Convey("and is taken if it fits, whatever the cores of tasks that fill", func() {
				So(submit(fleet.Size{Cores: 8000, Memory: 8000}, false).Outcome, ShouldEqual, OutcomeAccepted)
			})
			Convey("and is taken if only the cores of a task that fills are more", func() {
				So(submit(large, true).Outcome, ShouldEqual, OutcomeAccepted)
			})
		})
	})
}
