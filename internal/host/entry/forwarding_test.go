package entry

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// TestForwardedRequestsAreBounded guards against a host whose callers take all connections of the leader, so that pings find
// none, and against room that a request doesn't give back.
func TestForwardedRequestsAreBounded(t *testing.T) {
	Convey("With a leader and another host", t, func() {
		log, w := newMemoryLog(), &fakeWorker{starts: map[string]int{}, startedAt: time.Now()}
		a, stopA := startHost(t, "a", 0, log, w)
		Reset(stopA)
		b, stopB := startHost(t, "b", 0, log, w)
		Reset(stopB)
		So(eventually(10*time.Second, func() bool { return a.Ready() && b.Ready() }), ShouldBeTrue)
		leader, other := a, b
		if isLeader(b) {
			leader, other = b, a
		}
		show := Request{Action: ActionShow, Queue: "q", ID: strings.Repeat("0", 16)}
		So(sendRequest(other, show).Outcome, ShouldEqual, dispatch.OutcomeUnknownJob)
		for range maxForwarded {
			So(other.beginForwarding(leader.cfg.PeerAddress), ShouldBeTrue)
		}
		Convey("a request beyond the bound is refused and has not run", func() {
			resp := sendRequest(other, show)
			So(resp.Outcome, ShouldEqual, dispatch.OutcomeRefused)
			So(resp.Reason, ShouldEqual, reasonLeaderBusy)
			So(resp.RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("it is sent once another one has ended", func() {
			other.endForwarding(leader.cfg.PeerAddress)
			for range 3 {
				So(sendRequest(other, show).Outcome, ShouldEqual, dispatch.OutcomeUnknownJob)
			}
		})
	})
}
