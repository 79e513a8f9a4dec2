package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEndsOfRestartedWorkerAreKept guards against a task that runs again because the end of its first run was acknowledged
// unseen: by a renewal that was meant for the worker's former process, whose ends had the same serials.
func TestEndsOfRestartedWorkerAreKept(t *testing.T) {
	Convey("A worker's first end is durable", t, func() {
		s := newBoundedScheduler(2, 0, 0)
		answer(s, simEpoch, "w")
		s.HandleReport(simEpoch, Report{Worker: "w", Boot: 1, Clock: 1000, Ended: []EndReport{
			{Serial: 1, Task: jobID(1) + ".0.0.0", Number: 1, Reason: EndDone},
		}})
		commitAll(s)
		acknowledged := func() int64 {
			plan, ok := s.PlanRenewal(simEpoch, "w")
			So(ok, ShouldBeTrue)
			return plan.Acknowledged
		}
		So(acknowledged(), ShouldEqual, 1)
		Convey("and it may have restarted since: the next renewal acknowledges nothing", func() {
			s.HandleRenewalFailure(simEpoch, "w", false)
			So(acknowledged(), ShouldEqual, 0)
			answer(s, simEpoch, "w")
			So(acknowledged(), ShouldEqual, 1)
		})
	})
}
