package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/settings"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	standinlog "sassafraswind.example/sassafraswind/internal/standin/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// Guards against a second execution, or a refusal of a request that was executed, when callers send a key again to all
// hosts while the first host is killed.
func TestKeyRetriedAtAllHostsWhileFirstHostDies(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 1)
	hosts := []*testNode{p.start("a-1", "a"), p.start("a-2", "a"), p.start("b-1", "b"), p.start("b-2", "b")}
	p.declareClasses(hosts...)
	for round := range 3 {
		key := newKey()
		body, _ := p.newBody(400 * time.Millisecond)
		first := hosts[round]
		w := &workload{platform: p, done: map[string]bool{}, refused: map[string]outcome.Reply{},
			answers: map[string]string{}, replyCounts: map[string]int{}}
		var wg sync.WaitGroup
		wg.Go(func() { w.recordReply(key, p.request(first, "quote", key, body, 2*time.Second)) })
		time.Sleep(time.Duration(round) * 100 * time.Millisecond)
		for _, n := range hosts {
			wg.Go(func() { w.recordReply(key, p.request(n, "quote", key, body, 3*time.Second)) })
		}
		time.Sleep(time.Duration(round) * 60 * time.Millisecond)
		first.kill()
		wg.Wait()
		ran := p.recorder.Executions(key)
		if ran > 1 || w.done[key] && ran != 1 || w.refused[key].Outcome != "" && ran > 0 {
			t.Errorf("round %d: %d executions of the key do not match its replies: done %t, refused %+v",
				round, ran, w.done[key], w.refused[key])
		}
		hosts[round] = p.start(first.id+"r", first.zoneName)
		p.awaitReady(hosts...)
	}
	p.checkNoViolations()
}

// Guards against a key that is closed at a host without workers although a peer has a free slot, because the host
// learned of the slot only after the request had come.
func TestKeyWaitsForPeerWithSlot(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1, 2)
	a := p.start("a-1", "a")
	p.declareClasses(a)
	b := p.start("a-2", "a", func(_ *settings.Settings, clients *Platform) {
		clients.Fleet.(fleetLink).setFaults(func(f *linkFaults) { f.CutWorkers, f.CutPeers = true, true })
	})
	p.eventually(5*time.Second, "host a-2 has the classes", func() bool {
		_, ok := b.classConfig("quote")
		return ok
	})
	b.link.setFaults(func(f *linkFaults) { f.CutPeers = false })
	body, _ := p.newBody(5 * time.Millisecond)
	if r := p.request(b, "quote", newKey(), body, 5*time.Second); r.Outcome != outcome.Done {
		t.Errorf("the request did not end with the outcome done: %+v", r)
	}
	p.checkNoViolations()
}

// Guards against a key that is closed at a peer that has lost its workers since its last sync, although another peer has
// a free slot.
func TestKeyForwardedToPeerWithoutSlot(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 2)
	cutWorkers := func(_ *settings.Settings, clients *Platform) {
		clients.Fleet.(fleetLink).setFaults(func(f *linkFaults) { f.CutWorkers = true })
	}
	b := p.start("b-1", "b")
	a1, a2 := p.start("a-1", "a", cutWorkers), p.start("a-2", "a", cutWorkers)
	p.declareClasses(b, a1, a2)
	for range 3 {
		// The state of a-1 that a-2 has is of the time before a-1 lost its workers, until the next sync.
		a2.peers.mu.Lock()
		for _, v := range a2.peers.known {
			if v.state.Host == a1.id {
				v.state.FreeSlots = 8
			}
		}
		a2.peers.mu.Unlock()
		body, _ := p.newBody(5 * time.Millisecond)
		if r := p.request(a2, "quote", newKey(), body, 5*time.Second); r.Outcome != outcome.Done {
			t.Errorf("the request did not end with the outcome done: %+v", r)
		}
	}
	p.checkNoViolations()
}

// Guards against tasks that are started in a zone more than 5 s after it was taken out, while the log is slow.
func TestZoneTakenOutWhileTasksStartAndLogIsSlow(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 1)
	a1, a2, b := p.start("a-1", "a"), p.start("a-2", "a"), p.start("b-1", "b")
	p.declareClasses(a1, a2, b)
	holder, _ := p.awaitHolder(a1, a2)
	p.log.SetFaults(standinlog.Faults{Delay: 300 * time.Millisecond})
	id := p.submitInOwnZone(holder, 40, 300*time.Millisecond)
	p.eventually(5*time.Second, "a task has started in zone a", func() bool { return p.startCount("a") > 0 })
	p.setZoneOut(b, "a", true)
	takenOutAt := time.Now()
	time.Sleep(zoneOutStartLimit + 3*time.Second)
	p.checkNoStarts("a", takenOutAt.Add(zoneOutStartLimit), time.Now())
	p.log.SetFaults(standinlog.Faults{})
	p.awaitFinished(id, 40, 40*time.Second)
	p.checkNoViolations()
}

// Guards against two concurrent changes of the same version that both succeed, and against hosts that end up with
// different configurations.
func TestConcurrentChangesOfOneClassAndOneZone(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2, 1)
	hosts := []*testNode{p.start("a-1", "a"), p.start("a-2", "a"), p.start("b-1", "b")}
	p.declareClasses(hosts...)
	for round := range 5 {
		n := hosts[0]
		n.config.mu.Lock()
		c, classBase, _ := n.config.state.Class("check")
		_, zoneBase, _ := n.config.state.Zone("b")
		n.config.mu.Unlock()
		var wg sync.WaitGroup
		var mu sync.Mutex
		succeeded := map[record.Kind]int{}
		for i, n := range hosts {
			c.Target.P99Latency = time.Duration(round*10+i+100) * time.Millisecond
			class, _ := record.EncodeItem(config.RecordClass, config.ClassUpdate{BaseVersion: classBase, Class: c})
			zone, _ := record.EncodeItem(config.RecordZone, config.ZoneUpdate{
				BaseVersion: zoneBase, Name: "b", Region: "north", TakenOut: round%2 == 0,
			})
			for _, item := range []record.Item{class, zone} {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					if r, err := n.Change(ctx, item); err == nil && (r.Changed || item.Kind == config.RecordClass) {
						mu.Lock()
						defer mu.Unlock()
						succeeded[item.Kind]++
					}
				})
			}
		}
		wg.Wait()
		if succeeded[config.RecordClass] != 1 {
			t.Errorf("round %d: %d changes of one version of the class succeeded, want 1",
				round, succeeded[config.RecordClass])
		}
		// A change is in force on all hosts within 3 s.
		p.eventually(3*time.Second, "all hosts have the configuration of this round", func() bool {
			for _, n := range hosts {
				if n.configVersion() != hosts[0].configVersion() || n.isZoneTakenOut("b") != (round%2 == 0) {
					return false
				}
			}
			return true
		})
	}
}

// Guards against a planned stop that cuts off requests in flight: those of callers and those that peers forwarded.
func TestPlannedStopFinishesRequestsInFlight(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1, 2)
	a, b := p.start("a-1", "a"), p.start("a-2", "a")
	p.declareClasses(a, b)
	var wg sync.WaitGroup
	for range 12 {
		for _, n := range []*testNode{a, b} {
			body, _ := p.newBody(400 * time.Millisecond)
			wg.Go(func() {
				if r := p.request(n, "check", "", body, 4*time.Second); r.Outcome == outcome.Unknown {
					t.Errorf("outcome of a request of class check at host %s is unknown while host a-1 stops: %+v", n.id, r)
				}
			})
		}
	}
	key := newKey()
	body, _ := p.newBody(500 * time.Millisecond)
	wg.Go(func() {
		if r := p.request(a, "quote", key, body, 4*time.Second); r.Outcome != outcome.Done {
			t.Errorf("request of class quote at host a-1, which stops, did not end with the outcome done: %+v", r)
		}
	})
	time.Sleep(50 * time.Millisecond)
	if err := a.stop(); err != nil {
		t.Errorf("planned stop of host a-1 failed: %v", err)
	}
	wg.Wait()
	p.checkNoViolations()
}

// Guards against new work for a worker that the host list shows as leaving.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 1, 2)
	a := p.start("a-1", "a")
	p.declareClasses(a)
	p.listWorker("a-w0", true)
	leavingAt := time.Now().Add(testHostListLag)
	p.submitAccepted(a, 60, 300*time.Millisecond)
	for end := leavingAt.Add(leavingWorkLimit + 2*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		body, _ := p.newBody(5 * time.Millisecond)
		p.request(a, "check", "", body, time.Second)
	}
	p.mu.Lock()
	lastWorkAt := p.lastCallAt["a-w0"]
	for _, s := range p.starts {
		if s.worker == "a-w0" && s.at.After(lastWorkAt) {
			lastWorkAt = s.at
		}
	}
	p.mu.Unlock()
	if lastWorkAt.After(leavingAt.Add(leavingWorkLimit)) {
		t.Errorf("worker a-w0 got work as late as %s after the host list showed it as leaving", lastWorkAt.Sub(leavingAt))
	}
}
