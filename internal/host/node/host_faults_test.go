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
func (p *testPlatform) awaitFinished(id string, count int, limit time.Duration) {
	p.t.Helper()
	reason := ""
	if !within(limit, func() bool { reason = p.unfinishedReason(id, count); return reason == "" }) {
		p.t.Errorf("job has not finished within %s: %s", limit, reason)
		for _, n := range p.liveHosts() {
			p.t.Logf("host %s holds workers %v, may start tasks: %t, reason for pending tasks: %q, running attempts: %d",
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

// submitAccepted submits a job until it is accepted, and returns its ID. It stops the test if that takes over 15 s.
func (p *testPlatform) submitAccepted(n *testNode, count int, run time.Duration) string {
	p.t.Helper()
	id := newKey()
	var r outcome.Reply
	if !within(15*time.Second, func() bool {
		r = p.submit(n, id, count, run, 3*time.Second)
		return r.Outcome == outcome.Done
	}) {
		p.t.Fatalf("job was not accepted within 15 s by host %s: last reply %+v", n.id, r)
	}
	return id
}

// awaitHolder waits until one of two hosts has a worker with a free slot, and returns that host and the other one.
func (p *testPlatform) awaitHolder(a, b *testNode) (holder, other *testNode) {
	p.t.Helper()
	p.eventually(5*time.Second, "one of hosts "+a.id+" and "+b.id+" has a worker", func() bool {
		return a.freeSlots() > 0 || b.freeSlots() > 0
	})
	if a.freeSlots() > 0 {
		return a, b
	}
	return b, a
}

// submitInOwnZone submits a job through a host that holds a worker. It stops the test unless the host's own zone has
// the job: a host that holds no worker passes jobs on to another zone.
func (p *testPlatform) submitInOwnZone(holder *testNode, count int, run time.Duration) string {
	p.t.Helper()
	id := p.submitAccepted(holder, count, run)
	if r := holder.showInOwnZone(id); r.Outcome != outcome.Done {
		p.t.Fatalf("job %s submitted at host %s is not in zone %s: %+v", id, holder.id, holder.zoneName, r)
	}
	return id
}

// attemptState returns the state in which a worker lists the attempt of a task, or an empty one if it does not.
func (p *testPlatform) attemptState(worker, task string, attempt int) fleet.TaskState {
	p.t.Helper()
	s, err := p.worker(worker).Status()
	if err != nil {
		p.t.Fatalf("worker %s has no status: %v", worker, err)
	}
	for _, t := range s.Tasks {
		if t.ID == task && t.Attempt == attempt {
			return t.State
		}
	}
	return ""
}

// Guards against the start of a task after the host that sends it has lost its lease: the host is paused between the
// check of the lease and the send.
func TestPausedHostStartsNothingAfterItsLease(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1, 1)
	a, b := p.start("a-1", "a"), p.start("a-2", "a")
	p.declareClasses(a, b)
	var paused atomic.Pointer[link]
	hook := func(l *link, _ string, _ fleet.StartRequest) {
		if paused.CompareAndSwap(nil, l) {
			l.setFaults(func(f *linkFaults) { f.Paused = true })
			time.AfterFunc(4*testLeaseTTL, func() { l.setFaults(func(f *linkFaults) { f.Paused = false }) })
		}
	}
	p.beforeStart.Store(&hook)
	id := p.submitAccepted(a, 3, 300*time.Millisecond)
	p.eventually(5*time.Second, "a host is paused in the middle of a start", func() bool { return paused.Load() != nil })
	other := a
	if paused.Load() == a.link {
		other = b
	}
	p.eventually(4*testLeaseTTL, "the other host holds the worker", func() bool { return len(other.heldWorkers()) == 1 })
	p.awaitFinished(id, 3, 30*time.Second)
	p.checkNoViolations()
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

// Guards against requests and tasks that are executed twice when a paused host is replaced by one with the same ID and
// later resumes, and against a worker that takes both for one lease holder.
func TestTwoHostsHoldOneWorker(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1, 1)
	a := p.start("a-1", "a")
	p.declareClasses(a)
	a.link.setFaults(func(f *linkFaults) { f.Paused = true })
	b := p.start("a-1", "a")
	p.awaitReady(b)
	a.link.setFaults(func(f *linkFaults) { f.Paused = false })
	p.eventually(5*time.Second, "the second host holds the worker and uses it", func() bool {
		return len(b.heldWorkers()) == 1 && b.freeSlots() > 0
	})
	checkOneHolds := func() {
		// The host that is asked first can only lose the worker in between, not get it.
		if len(a.heldWorkers()) == 1 && len(b.heldWorkers()) == 1 && len(a.heldWorkers()) == 1 {
			t.Fatal("both hosts hold the worker")
		}
	}
	jobs := make([]string, 0, 6)
	for i := range 6 {
		checkOneHolds()
		n := []*testNode{a, b}[i%2]
		jobs = append(jobs, p.submitAccepted(n, 2, 200*time.Millisecond))
		key := newKey()
		body, _ := p.newBody(20 * time.Millisecond)
		var wg sync.WaitGroup
		for _, n := range []*testNode{a, b} {
			wg.Go(func() { p.request(n, "quote", key, body, 2*time.Second) })
		}
		wg.Wait()
		if ran := p.recorder.Executions(key); ran != 1 {
			t.Errorf("key %s was executed %d times, want once", key, ran)
		}
	}
	for _, id := range jobs {
		p.awaitFinished(id, 2, 40*time.Second)
		checkOneHolds()
	}
	p.checkNoViolations()
}

// Guards against a host that starts during an outage of the log and serves an older configuration than one of its peers
// has.
func TestHostStartedWithoutLogServesTheNewestOfItsPeers(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 1)
	fresh := p.start("b-1", "b")
	all := []*testNode{fresh, p.start("b-2", "b"), p.start("b-3", "b"), p.start("b-4", "b"), p.start("a-1", "a")}
	stale := all[1:]
	p.declareClasses(all...)
	for _, n := range stale {
		n.link.setFaults(func(f *linkFaults) { f.CutLog, f.CutPeers = true, true })
	}
	old := stale[0].configVersion()
	p.changeConfig(fresh, config.RecordZone, config.ZoneUpdate{Name: "b", Region: "north", TakenOut: true})
	newest := fresh.configVersion()
	p.log.SetFaults(standinlog.Faults{Outage: true})
	// The peers without the change answer the new host, but cannot learn of the change from each other before it asks.
	for _, n := range stale {
		if n.configVersion() != old {
			t.Fatalf("host %s, which was cut off before the change, already has configuration version %d",
				n.id, n.configVersion())
		}
	}
	started := p.start("a-2", "a")
	for _, n := range stale {
		n.link.setFaults(func(f *linkFaults) { f.CutPeers = false })
	}
	p.eventually(8*time.Second, "the new host is ready", func() bool {
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
	p := newTestPlatform(t, 1, 1)
	p.log.SetFaults(standinlog.Faults{Outage: true})
	n := p.start("a-1", "a")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok, _ := n.Ready(time.Now()); ok {
			t.Fatal("host is ready without a configuration")
		}
	}
	body, _ := p.newBody(time.Millisecond)
	if r := p.request(n, "quote", newKey(), body, time.Second); r.Outcome != outcome.Unknown {
		t.Errorf("request with a key that another host may have executed: reply %+v, want outcome unknown", r)
	}
	p.log.SetFaults(standinlog.Faults{})
	p.awaitReady(n)
}

// Guards against starts of tasks in a zone that cannot learn that it was taken out of service, and against the loss
// there of running tasks and of urgent requests, which the zone can still serve.
func TestZoneCutOffStopsStartsAndServesUrgentRequests(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 1)
	a1, a2, b := p.start("a-1", "a"), p.start("a-2", "a"), p.start("b-1", "b")
	p.declareClasses(a1, a2, b)
	holder, other := p.awaitHolder(a1, a2)
	long := p.submitInOwnZone(holder, 1, 7*time.Second)
	waiting := p.submitInOwnZone(holder, 30, 1500*time.Millisecond)
	p.eventually(5*time.Second, "the long task runs in zone a", func() bool {
		return p.attemptState("a-w0", long+"/0", 1) == fleet.TaskRunning
	})
	for _, n := range []*testNode{a1, a2} {
		n.link.setFaults(func(f *linkFaults) { f.CutLog, f.CutPeers = true, true })
	}
	p.setZoneOut(b, "a", true)
	takenOutAt := time.Now()
	time.Sleep(zoneOutStartLimit)
	for range 5 {
		body, _ := p.newBody(10 * time.Millisecond)
		if r := p.request(holder, "check", "", body, time.Second); r.Outcome != outcome.Done {
			// The hosts cannot reach each other, and the other one may hold the zone's worker by now.
			if r = p.request(other, "check", "", body, time.Second); r.Outcome != outcome.Done {
				t.Errorf("urgent request in a zone that is cut off was not answered: %+v", r)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.checkNoStarts("a", takenOutAt.Add(zoneOutStartLimit), time.Now())
	if s := p.attemptState("a-w0", long+"/0", 1); s != fleet.TaskRunning && s != fleet.TaskDone {
		t.Errorf("the task that ran when the zone was cut off was not kept: its worker lists it as %q", s)
	}
	for _, n := range []*testNode{a1, a2} {
		n.link.setFaults(func(f *linkFaults) { *f = linkFaults{} })
	}
	p.awaitFinished(long, 1, 30*time.Second)
	p.awaitFinished(waiting, 30, 40*time.Second)
	p.checkNoViolations()
}

// Guards against the loss of a job that was submitted at a host without a worker, while another host of its zone holds
// one.
func TestJobOfHostWithoutWorkerFinishes(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 1)
	a1, a2, b := p.start("a-1", "a"), p.start("a-2", "a"), p.start("b-1", "b")
	p.declareClasses(a1, a2, b)
	_, other := p.awaitHolder(a1, a2)
	p.awaitFinished(p.submitAccepted(other, 4, 300*time.Millisecond), 4, 20*time.Second)
	p.checkNoViolations()
}

// startCount returns the number of task starts at workers of the zone.
func (p *testPlatform) startCount(zone string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, s := range p.starts {
		if p.zones[s.worker] == zone {
			count++
		}
	}
	return count
}

// checkNoStarts fails the test for each task start at a worker of the zone between two times.
func (p *testPlatform) checkNoStarts(zone string, from, to time.Time) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.starts {
		if p.zones[s.worker] == zone && s.at.After(from) && s.at.Before(to) {
			p.t.Errorf("task %s was started at worker %s, %s after the zone had to stop starting tasks",
				s.task, s.worker, s.at.Sub(from))
		}
	}
}

// Guards against the loss of accepted jobs when every entry host is replaced.
func TestAcceptedWorkSurvivesReplacementOfAllHosts(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 1)
	hosts := []*testNode{p.start("a-1", "a"), p.start("a-2", "a"), p.start("b-1", "b"), p.start("b-2", "b")}
	p.declareClasses(hosts...)
	jobs := make([]string, 0, 2*len(hosts))
	for _, n := range hosts {
		jobs = append(jobs, p.submitAccepted(n, 12, 400*time.Millisecond))
	}
	for i, n := range hosts {
		n.kill()
		p.hosts.Remove(n.id)
		hosts[i] = p.start(n.id+"r", n.zoneName)
		time.Sleep(300 * time.Millisecond)
	}
	p.awaitReady(hosts...)
	for _, n := range hosts {
		jobs = append(jobs, p.submitAccepted(n, 12, 400*time.Millisecond))
	}
	for _, n := range hosts {
		n.kill()
		p.hosts.Remove(n.id)
	}
	for i, n := range hosts {
		hosts[i] = p.start(n.id+"s", n.zoneName)
	}
	p.awaitReady(hosts...)
	for _, id := range jobs {
		p.awaitFinished(id, 12, 40*time.Second)
	}
	p.checkNoViolations()
}

// Guards against a host that reads the hold records of the zone's stream before the host list names their workers,
// ignores them, and then cannot write a valid hold record of its own, so that it never starts a task.
func TestHoldsAreReadBeforeTheHostList(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1, 1)
	// The first hold record of the stream may be at offset 0, which counts as none, so a second host writes another
	// one.
	first := p.start("a-1", "a")
	p.declareClasses(first)
	p.awaitFinished(p.submitAccepted(first, 1, 50*time.Millisecond), 1, 20*time.Second)
	first.kill()
	p.hosts.Remove("a-1")
	second := p.start("a-2", "a")
	p.awaitReady(second)
	p.awaitFinished(p.submitAccepted(second, 1, 50*time.Millisecond), 1, 20*time.Second)
	second.kill()
	p.hosts.Remove("a-2")
	p.hosts.SetOutage(true)
	third := p.start("a-3", "a")
	p.eventually(5*time.Second, "the stream was read", func() bool { return !third.zone.feed.FreshAsOf().IsZero() })
	p.hosts.SetOutage(false)
	p.awaitReady(third)
	p.awaitFinished(p.submitAccepted(third, 1, 50*time.Millisecond), 1, 20*time.Second)
}
