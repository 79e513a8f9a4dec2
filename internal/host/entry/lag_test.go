package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDecisionsLeaveTimeForCalls guards against a leader that spends all its processor time on decisions, which become
// longer the more waits, while its calls to workers time out.
func TestDecisionsLeaveTimeForCalls(t *testing.T) {
	Convey("Decisions take at most a third of the time while the pause has no upper bound", t, func() {
		So(decisionPause(0), ShouldEqual, minDecisionInterval)
		So(decisionPause(2*time.Millisecond), ShouldEqual, minDecisionInterval)
		So(decisionPause(30*time.Millisecond), ShouldEqual, 60*time.Millisecond)
		Convey("and are no further apart than leases, retries and stops allow", func() {
			So(decisionPause(time.Second), ShouldEqual, maxDecisionInterval)
		})
	})
}

func TestLag(t *testing.T) {
	Convey("A lag", t, func() {
		var l lag
		now := time.Unix(1000, 0)
		Convey("of sleeps that end in time is not reported", func() {
			for range 100 {
				l.add(5*time.Millisecond, 6*time.Millisecond)
			}
			So(l.isReportDue(now), ShouldBeFalse)
		})
		Convey("of sleeps that end late is reported once a second", func() {
			for range 100 {
				l.add(5*time.Millisecond, 50*time.Millisecond)
			}
			So(l.isReportDue(now), ShouldBeTrue)
			So(l.isReportDue(now.Add(999*time.Millisecond)), ShouldBeFalse)
			So(l.isReportDue(now.Add(time.Second)), ShouldBeTrue)
		})
	})
}
