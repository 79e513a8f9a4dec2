package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

// applyHolderQuery applies a holder query about the worker at the offset after the newest hold of the worker.
func (n *testNode) applyHolderQuery(worker string) error {
	item, err := job.HolderQueryItem(job.HolderQuery{Worker: worker})
	if err != nil {
		return err
	}
	n.zone.mu.Lock()
	var next uint64
	for _, h := range n.zone.jobs.Holds() {
		next = max(next, h.Offset+1)
	}
	n.zone.mu.Unlock()
	return (&zoneSink{n.Node}).Apply(time.Now(), next, item)
}

// renewsTaskLeases reports whether the host renews the task leases of the worker.
func (n *testNode) renewsTaskLeases(worker string) bool {
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	return n.zone.leases.AcceptsBatch(worker, time.Now())
}

// TestUnansweredHolderQueryStopsRenewals guards against a holder that cannot answer a holder query and renews task leases
// nevertheless, so that another host starts the tasks elsewhere while they run.
func TestUnansweredHolderQueryStopsRenewals(t *testing.T) {
	Convey("Given a holder that has read a holder query and cannot write its hold again", t, func() {
		p := newTestPlatform(t, 1, 1)
		n := p.start("a-1", "a")
		p.awaitReady(n)
		p.eventually(5*time.Second, "the task leases are renewed", func() bool { return n.renewsTaskLeases("a-w0") })
		n.link.setFaults(func(f *linkFaults) { f.CutLog = true })
		So(n.applyHolderQuery("a-w0"), ShouldBeNil)
		So(n.renewsTaskLeases("a-w0"), ShouldBeFalse)
		Convey("a new worker in the host list does not make it renew them", func() {
			hosts, err := p.hosts.Hosts(t.Context())
			So(err, ShouldBeNil)
			n.applyHostList(time.Now(), append(hosts,
				hostlist.Host{ID: "a-w1", Kind: hostlist.KindWorker, Zone: "a", Region: "north", Address: "127.0.0.1:1"}))
			So(n.renewsTaskLeases("a-w0"), ShouldBeFalse)
		})
		Convey("nor does a snapshot", func() {
			sink := &zoneSink{n.Node}
			data, err := sink.Snapshot()
			So(err, ShouldBeNil)
			So(sink.Restore(data, 1), ShouldBeNil)
			So(n.renewsTaskLeases("a-w0"), ShouldBeFalse)
		})
	})
}

// TestWaitOfEarlierHolderQuery guards against counting the wait of a holder query that was answered for a later query,
// when a host has missed the answer, so that tasks are taken for ended while their leases are renewed.
func TestWaitOfEarlierHolderQuery(t *testing.T) {
	Convey("A host waits for a holder query, and a snapshot has another open query about the worker", t, func() {
		p := newTestPlatform(t, 1, 1)
		n := p.start("a-1", "a")
		p.awaitReady(n)
		n.link.setFaults(func(f *linkFaults) { f.CutLog = true })
		So(n.applyHolderQuery("a-w0"), ShouldBeNil)
		expired := func() bool {
			n.zone.mu.Lock()
			defer n.zone.mu.Unlock()
			return n.holderQueryExpired(time.Now(), "a-w0")
		}
		n.zone.mu.Lock()
		n.zone.holderQueries["a-w0"] = time.Now().Add(-2 * (testRenewalCutoff + testTaskTTL))
		n.zone.mu.Unlock()
		So(expired(), ShouldBeTrue)
		sink := &zoneSink{n.Node}
		data, err := sink.Snapshot()
		So(err, ShouldBeNil)
		So(sink.Restore(data, 1), ShouldBeNil)
		So(expired(), ShouldBeFalse)
	})
}
