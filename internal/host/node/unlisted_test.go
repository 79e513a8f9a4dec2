package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/host/caller"
	"sassafraswind.example/sassafraswind/internal/request/attempt"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// TestLeaseOfUnlistedWorker guards against a panic under the zone's lock when the host takes the lease of a worker again
// that was taken off the host list while the lease had lapsed.
func TestLeaseOfUnlistedWorker(t *testing.T) {
	Convey("Given a worker that was unlisted while its host could not reach it", t, func() {
		p := newTestPlatform(t, 1, 1)
		n := p.start("a-1", "a")
		p.declareClasses(n)
		p.eventually(5*time.Second, "the worker is held", func() bool { return len(n.heldWorkers()) == 1 })
		n.link.setFaults(func(f *linkFaults) { f.CutWorkers = true })
		p.eventually(5*time.Second, "the lease has lapsed", func() bool { return len(n.heldWorkers()) == 0 })
		p.hosts.Remove("a-w0")
		// The host list is read once a second.
		time.Sleep(testHostListLag + 2*hostListPeriod)
		Convey("the host still knows it when it has the lease again, and its calls run", func() {
			n.link.setFaults(func(f *linkFaults) { f.CutWorkers = false })
			p.eventually(2*testTaskTTL, "the worker is held again", func() bool { return len(n.heldWorkers()) == 1 })
			So(n.Status(time.Now()).Workers, ShouldHaveLength, 1)
			body, _ := p.newBody(5 * time.Millisecond)
			So(p.request(n, "check", "", body, 2*time.Second).Outcome, ShouldEqual, outcome.Done)
		})
	})
}

// TestSendToRemovedWorker guards against a panic when the worker of a reserved slot was removed before the send.
func TestSendToRemovedWorker(t *testing.T) {
	Convey("A call to a worker that this host no longer knows is refused", t, func() {
		n := newTestPlatform(t, 1, 1).start("a-1", "a")
		u := &idempotentRequest{
			n: n.Node, req: caller.Request{Class: "check"}, msgs: make(chan attempt.Msg, 1),
			latestStarts: map[int]time.Duration{}, isHedge: map[int]bool{},
		}
		u.sendCall(attempt.SendCmd{Attempt: 1, Worker: "gone"})
		So(<-u.msgs, ShouldResemble, attempt.RefusedMsg{Attempt: 1})
	})
}
