package node

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/job"
)

// TestRefusedEvictionIsNotCounted guards against a status that shows evictions which the log refused.
func TestRefusedEvictionIsNotCounted(t *testing.T) {
	Convey("An eviction by a host that does not hold the worker changes neither the task nor the counts", t, func() {
		p := newTestPlatform(t, 1, 1)
		n := p.start("a-1", "a")
		p.declareClasses(n)
		id := p.submitAccepted(n, 1, 3*time.Second)
		running := func() *job.Task {
			n.zone.mu.Lock()
			defer n.zone.mu.Unlock()
			if tasks := n.zone.jobs.RunningOn("a-w0"); len(tasks) == 1 {
				return tasks[0]
			}
			return nil
		}
		p.eventually(5*time.Second, "the task of job "+id+" runs", func() bool { return running() != nil })
		item, err := job.EvictItem(job.Evict{
			Task: running().ID(), Attempt: 1, Reason: job.ReasonLeaseExpired, Host: "other", Grant: 99,
		})
		So(err, ShouldBeNil)
		receipt, err := n.zone.feed.Write(t.Context(), item)
		So(err, ShouldBeNil)
		So(errors.Is(receipt.ItemErrors[0], job.ErrNotHolder), ShouldBeTrue)
		So(running(), ShouldNotBeNil)
		n.zone.mu.Lock()
		evicted, _ := n.countersOf("plan").evicted.total(time.Now())
		n.zone.mu.Unlock()
		So(evicted, ShouldEqual, 0)
	})
}
