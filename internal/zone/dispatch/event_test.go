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
