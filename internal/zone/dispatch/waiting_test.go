package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestLongWaitIsReported guards against a long-running task that waits without a word in the log.
func TestLongWaitIsReported(t *testing.T) {
	Convey("A long-running task that waits for room", t, func() {
		now := simEpoch
		s := newStopScheduler(now, 1)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		step := newStep(2, 6000, 0)
		step.LongRunning, step.MaxUnavailable = true, -1
		s.Submit(now, Request{
			ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
		})
		commitAll(s)
		So(recordedStartsOf(s, now), ShouldEqual, 1)
		isWait := func(e Event) bool { return e.Kind == "waiting" }
		now = now.Add(waitReportAge - time.Millisecond)
		s.Decide(now, now)
		So(slices.ContainsFunc(s.Events(), isWait), ShouldBeFalse)
		Convey("is reported with the rule and the workers that hold it back", func() {
			now = now.Add(2 * maintenanceInterval)
			s.Decide(now, now)
			events := s.Events()
			i := slices.IndexFunc(events, isWait)
			So(i, ShouldBeGreaterThanOrEqualTo, 0)
			So(events[i].Age, ShouldBeGreaterThanOrEqualTo, waitReportAge)
			So(events[i].Reason, ShouldEqual,
				"no worker; workers: 0 free, 1 full, 0 reserved, 0 unhealthy, 0 unusable, 0 unsuitable")
		})
	})
}
