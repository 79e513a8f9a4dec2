package node

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	standinlog "sassafraswind.example/sassafraswind/internal/standin/logservice"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// awaitFinished waits until each task of a job has ended in exactly one zone. It fails the test after limit.
func (w *testPlatform) awaitFinished(id string, count int, limit time.Duration) {
	w.t.Helper()
	reason := ""
	if !within(limit, func() bool { reason = w.unfinishedReason(id, count); return reason == "" }) {
		w.t.Errorf("job has not finished within %s: %s", limit, reason)
		for _, n := range w.liveHosts() {
			w.t.Logf("host %s holds workers %v, may start tasks: %t, reason for pending tasks: %q, running attempts: %d",
				n.id, n.heldWorkers(), n.mayStartTasks(time.Now()), n.pendingReason(), n.runningAttempts())
		}
	}
}

// pendingReason returns why the tasks of the host's zone are pending.
func (n *testNode) pendingReason() string {
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	return n.zone.policy.ExplainMiss(time.Now(), "plan")
}

// runningAttempts returns the number of task attempts that the policy of the host counts as running.
func (n *testNode) runningAttempts() int {
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	return n.zone.policy.RunningAttempts()
}

// submitAccepted submits a job until it is accepted, and returns its id. It stops the test if that takes over 15 s.
func (w *testPlatform) submitAccepted(n *testNode, count int, run time.Duration) string {
	w.t.Helper()
	id := newKey()
	var r outcome.Reply
	if !within(15*time.Second, func() bool {
		r = w.submit(n, id, count, run, 3*time.Second)
		return r.Outcome == outcome.Done
	}) {
		w.t.Fatalf("job was not accepted within 15 s by host %s: last reply %+v", n.id, r)
	}
	return id
}

// Guards against the start of a task after the host that sends it has lost its lease: the host is paused between the
// check of the lease and the send.
func TestPausedHostStartsNothingAfterItsLease(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t, 1, 1)
	a, b := w.start("a-1", "a"), w.start("a-2", "a")
	w.declareClasses(a, b)
	var paused atomic.Pointer[link]
	hook := func(l *link, _ string, _ fleet.StartRequest) {
		if paused.CompareAndSwap(nil, l) {
			l.setFaults(func(f *linkFaults) { f.Paused = true })
			time.AfterFunc(4*testLeaseTTL, func() { l.setFaults(func(f *linkFaults) { f.Paused = false }) })
		}
	}
	w.beforeStart.Store(&hook)
	id := w.submitAccepted(a, 3, 300*time.Millisecond)
	w.eventually(5*time.Second, "a host is paused in the middle of a start", func() bool { return paused.Load() != nil })
	other := a
	if paused.Load() == a.link {
		other = b
	}
	w.eventually(4*testLeaseTTL, "the other host holds the worker", func() bool { return len(other.heldWorkers()) == 1 })
	w.awaitFinished(id, 3, 30*time.Second)
	w.checkNoViolations()
}

func (n *testNode) heldWorkers() []string {
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	return n.zone.leases.HeldWorkers(time.Now())
}

func (n *testNode) freeSlots() int {
	n.zone.mu.Lock()
	defer n.zone.mu.Unlock()
	return n.zone.capacity.FreeSlots()
}

// Guards against requests and tasks that are executed twice when a paused host is replaced by one with the same id and
// later resumes: the worker takes both hosts for one lease holder.
func TestTwoHostsHoldOneWorker(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t, 1, 1)
	a := w.start("a-1", "a")
	w.declareClasses(a)
	a.link.setFaults(func(f *linkFaults) { f.Paused = true })
	b := w.start("a-1", "a")
	w.awaitReady(b)
	a.link.setFaults(func(f *linkFaults) { f.Paused = false })
	// The second process uses the lease only once starts by an earlier process with its id can no longer arrive.
	w.eventually(5*time.Second, "both hosts believe they hold the worker and use it", func() bool {
		return len(a.heldWorkers()) == 1 && len(b.heldWorkers()) == 1 && a.freeSlots() > 0 && b.freeSlots() > 0
	})
	jobs := make([]string, 0, 6)
	for i := range 6 {
		n := []*testNode{a, b}[i%2]
		jobs = append(jobs, w.submitAccepted(n, 2, 200*time.Millisecond))
		key := newKey()
		body, _ := w.newBody(20 * time.Millisecond)
		var wg sync.WaitGroup
		for _, n := range []*testNode{a, b} {
			wg.Go(func() { w.request(n, "quote", key, body, 2*time.Second) })
		}
		wg.Wait()
		if ran := w.recorder.Executions(key); ran != 1 {
			t.Errorf("key %s was executed %d times, want once", key, ran)
		}
	}
	for _, id := range jobs {
		w.awaitFinished(id, 2, 40*time.Second)
	}
	w.checkNoViolations()
}

// Guards against a host that starts during an outage of the log and serves an older configuration than one of its peers
// has.
func TestHostStartedWithoutLogServesTheNewestOfItsPeers(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t, 2, 1)
	fresh := w.start("b-1", "b")
	all := []*testNode{fresh, w.start("b-2", "b"), w.start("b-3", "b"), w.start("b-4", "b"), w.start("a-1", "a")}
	stale := all[1:]
	w.declareClasses(all...)
	for _, n := range stale {
		n.link.setFaults(func(f *linkFaults) { f.CutLog, f.CutPeers = true, true })
	}
	old := stale[0].configVersion()
	w.changeConfig(fresh, config.RecordZone, config.ZoneUpdate{Name: "b", Region: "north", TakenOut: true})
	newest := fresh.configVersion()
	w.log.SetFaults(standinlog.Faults{Outage: true})
	// The peers without the change answer the new host, but cannot learn of the change from each other before it asks.
	for _, n := range stale {
		if n.configVersion() != old {
			t.Fatalf("host %s, which was cut off before the change, already has configuration version %d",
				n.id, n.configVersion())
		}
	}
	started := w.start("a-2", "a")
	for _, n := range stale {
		n.link.setFaults(func(f *linkFaults) { f.CutPeers = false })
	}
	w.eventually(8*time.Second, "the new host is ready", func() bool {
		if ok, _ := started.Ready(time.Now()); !ok {
			return false
		}
		if v := started.configVersion(); v < newest {
			t.Errorf("new host is ready with configuration version %d, but a peer has version %d", v, newest)
		}
		return true
	})
}

// Guards against a host that reports ready although it has no configuration from the log or a peer.
func TestHostStartedWithoutLogAndPeersIsNotReady(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t, 1, 1)
	w.log.SetFaults(standinlog.Faults{Outage: true})
	n := w.start("a-1", "a")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok, _ := n.Ready(time.Now()); ok {
			t.Fatal("host is ready without a configuration")
		}
	}
	body, _ := w.newBody(time.Millisecond)
	if r := w.request(n, "quote", newKey(), body, time.Second); r.Outcome != outcome.Unknown {
		t.Errorf("request with a key that another host may have executed: reply %+v, want outcome unknown", r)
	}
	w.log.SetFaults(standinlog.Faults{})
	w.awaitReady(n)
}

// Guards against starts of tasks in a zone that cannot learn that it was taken out of service, and against the loss
// there of running tasks and of urgent requests, which the zone can still serve.
func TestZoneCutOffStopsStartsAndServesUrgentRequests(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t, 2, 1)
	a1, a2, b := w.start("a-1", "a"), w.start("a-2", "a"), w.start("b-1", "b")
	w.declareClasses(a1, a2, b)
	long := w.submitAccepted(a1, 1, 7*time.Second)
	waiting := w.submitAccepted(a1, 30, 1500*time.Millisecond)
	w.eventually(5*time.Second, "tasks run", func() bool { v, _ := w.show(a1, long); return v.States["running"] == 1 })
	for _, n := range []*testNode{a1, a2} {
		n.link.setFaults(func(f *linkFaults) { f.CutLog, f.CutPeers = true, true })
	}
	w.setZoneOut(b, "a", true)
	out := time.Now()
	time.Sleep(zoneOutStartLimit)
	for range 5 {
		body, _ := w.newBody(10 * time.Millisecond)
		if r := w.request(a1, "check", "", body, time.Second); r.Outcome != outcome.Done {
			// Only one of the two hosts holds the zone's worker, and they cannot reach each other.
			if r = w.request(a2, "check", "", body, time.Second); r.Outcome != outcome.Done {
				t.Errorf("urgent request in a zone that is cut off was not answered: %+v", r)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.checkNoStarts("a", out.Add(zoneOutStartLimit), time.Now())
	s, err := w.worker("a-w0").Status()
	kept := false
	for _, task := range s.Tasks {
		kept = kept || task.ID == long+"/0" && (task.State == fleet.TaskRunning || task.State == fleet.TaskDone) &&
			task.Attempt == 1
	}
	if err != nil || !kept {
		t.Errorf("the task that ran when the zone was cut off was not kept: status error %v, tasks %+v", err, s.Tasks)
	}
	for _, n := range []*testNode{a1, a2} {
		n.link.setFaults(func(f *linkFaults) { *f = linkFaults{} })
	}
	w.awaitFinished(long, 1, 30*time.Second)
	w.awaitFinished(waiting, 30, 40*time.Second)
	w.checkNoViolations()
}

// checkNoStarts fails the test for each task start at a worker of the zone between two times.
func (w *testPlatform) checkNoStarts(zone string, from, to time.Time) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if w.zones[s.worker] == zone && s.at.After(from) && s.at.Before(to) {
			w.t.Errorf("task %s was started at worker %s, %s after the zone had to stop starting tasks",
				s.task, s.worker, s.at.Sub(from))
		}
	}
}

// Guards against the loss of accepted jobs when every entry host is replaced.
func TestAcceptedWorkSurvivesReplacementOfAllHosts(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t, 2, 1)
	hosts := []*testNode{w.start("a-1", "a"), w.start("a-2", "a"), w.start("b-1", "b"), w.start("b-2", "b")}
	w.declareClasses(hosts...)
	jobs := make([]string, 0, 2*len(hosts))
	for _, n := range hosts {
		jobs = append(jobs, w.submitAccepted(n, 12, 400*time.Millisecond))
	}
	for i, n := range hosts {
		n.kill()
		w.hosts.Remove(n.id)
		hosts[i] = w.start(n.id+"r", n.zoneName)
		time.Sleep(300 * time.Millisecond)
	}
	w.awaitReady(hosts...)
	for _, n := range hosts {
		jobs = append(jobs, w.submitAccepted(n, 12, 400*time.Millisecond))
	}
	for _, n := range hosts {
		n.kill()
		w.hosts.Remove(n.id)
	}
	for i, n := range hosts {
		hosts[i] = w.start(n.id+"s", n.zoneName)
	}
	w.awaitReady(hosts...)
	for _, id := range jobs {
		w.awaitFinished(id, 12, 40*time.Second)
	}
	w.checkNoViolations()
}

// Guards against a host that reads the hold records of the zone's stream before the host list names their workers,
// ignores them, and then cannot write a valid hold record of its own, so that it never starts a task.
func TestHoldsAreReadBeforeTheHostList(t *testing.T) {
	t.Parallel()
	w := newTestPlatform(t, 1, 1)
	// The first hold record of the stream may be at offset 0, which counts as none, so a second host writes another
	// one.
	first := w.start("a-1", "a")
	w.declareClasses(first)
	w.awaitFinished(w.submitAccepted(first, 1, 50*time.Millisecond), 1, 20*time.Second)
	first.kill()
	w.hosts.Remove("a-1")
	second := w.start("a-2", "a")
	w.awaitReady(second)
	w.awaitFinished(w.submitAccepted(second, 1, 50*time.Millisecond), 1, 20*time.Second)
	second.kill()
	w.hosts.Remove("a-2")
	w.hosts.SetOutage(true)
	third := w.start("a-3", "a")
	w.eventually(5*time.Second, "the stream was read", func() bool { return !third.zone.feed.FreshAsOf().IsZero() })
	w.hosts.SetOutage(false)
	w.awaitReady(third)
	w.awaitFinished(w.submitAccepted(third, 1, 50*time.Millisecond), 1, 20*time.Second)
}
