package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// zoneOutStartLimit and leavingWorkLimit are the specified times after which no work is started in a zone that was
// taken out, and none goes to a worker that is listed as leaving.
const (
	zoneOutStartLimit = 5 * time.Second
	leavingWorkLimit  = 5 * time.Second
	// workEndLimit is the time within which all accepted work of a run ends after the faults have ended. The policy may
	// avoid a worker whose tasks ended early for up to a minute.
	workEndLimit = 90 * time.Second
)

// awaitConvergence waits until the hosts have one configuration and are ready, and the accepted work has ended. It
// fails the test for what does not happen in time.
func (w *workload) awaitConvergence() {
	p := w.platform
	hosts := p.liveHosts()
	// A change whose answer came too late may have taken a zone out again after it was brought back in.
	for _, zone := range []string{"b", "c"} {
		p.eventually(10*time.Second, "zone "+zone+" is back in service", func() bool {
			return w.setTakenOut(rand.New(rand.NewPCG(1, 1)), zone, false) && !hosts[0].isZoneTakenOut(zone)
		})
	}
	if !within(10*time.Second, func() bool {
		return !slices.ContainsFunc(hosts, func(n *testNode) bool { return n.configVersion() != hosts[0].configVersion() })
	}) {
		for _, n := range hosts {
			p.t.Errorf("hosts have different configuration versions 10 s after the faults: host %s has %d",
				n.id, n.configVersion())
		}
	}
	for _, n := range hosts {
		var reason string
		if !within(10*time.Second, func() bool {
			var ok bool
			ok, reason = n.Ready(time.Now())
			return ok
		}) {
			p.t.Errorf("host %s is not ready 10 s after the faults: %s", n.id, reason)
		}
	}
	var open string
	if !within(workEndLimit, func() bool {
		open = ""
		for id, count := range w.jobs {
			if why := p.unfinishedReason(id, count); why != "" {
				open = why
				return false
			}
		}
		return true
	}) {
		p.t.Errorf("accepted work has not ended %s after the faults: %s", workEndLimit, open)
		for id, count := range w.jobs {
			if why := p.unfinishedReason(id, count); why != "" {
				p.t.Log(why)
				p.logRecordsWith(id)
			}
		}
		for id, b := range p.workers {
			s, err := b.Status()
			p.t.Logf("worker %s: %v, held by %s under %d, tasks %v", id, err, s.Holder, s.Grant, s.Tasks)
		}
		for _, n := range hosts {
			for _, st := range n.Status(time.Now()).Streams {
				p.t.Logf("host %s: stream %+v", n.id, st)
			}
			n.zone.mu.Lock()
			for id, v := range n.zone.workers {
				p.t.Logf("host %s sees worker %s with held %t, boot %s, tasks %v", n.id, id, v.held, v.status.Boot, v.tasks)
			}
			p.t.Logf("host %s: why class plan misses its target, if it does: %q",
				n.id, n.zone.policy.ExplainMiss(time.Now(), "plan"))
			p.t.Logf("host %s: pending records %v, placements %v, held workers %v, holder queries %v",
				n.id, n.zone.recordPending, n.zone.placements,
				n.zone.leases.HeldWorkers(time.Now()), n.zone.holderQueries)
			n.zone.mu.Unlock()
		}
	}
}

// unfinishedReason returns why not every task of a job has ended in exactly one zone, or an empty string if each has.
func (p *testPlatform) unfinishedReason(id string, count int) string {
	places := make([]string, count)
	seen := map[string]bool{}
	for _, n := range p.liveHosts() {
		if seen[n.zoneName] {
			continue
		}
		seen[n.zoneName] = true
		var v jobJSON
		r := n.showInOwnZone(id)
		if r.Outcome != outcome.Done || json.Unmarshal(r.Body, &v) != nil {
			continue
		}
		for _, t := range v.Tasks {
			var i int
			if _, err := fmt.Sscanf(t.ID, id+"/%d", &i); err != nil || i >= count {
				return "task " + t.ID + " does not belong to the job"
			}
			switch {
			case t.State == "moved":
			case places[i] != "":
				return fmt.Sprintf("task %s is %s in zone %s and %s", t.ID, t.State, n.zoneName, places[i])
			default:
				places[i] = t.State + " in zone " + n.zoneName
			}
			if t.State == "pending" || t.State == "running" {
				return fmt.Sprintf("task %s attempt %d is %s in zone %s at %s", t.ID, t.Attempt, t.State, n.zoneName, t.Worker)
			}
		}
	}
	for i, place := range places {
		if place == "" {
			return fmt.Sprintf("task %s/%d is in no zone", id, i)
		}
	}
	return ""
}

// checkResults checks, at the end of a run, that the workers counted no violations, that the executions of each key
// match the replies to it, and that no task was started in a zone that had been out of service for zoneOutStartLimit.
func (w *workload) checkResults() {
	p := w.platform
	p.checkNoViolations()
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.answers {
		if ran := p.recorder.Executions(key); ran != 1 {
			p.t.Errorf("key %s was answered but executed %d times, want 1", key, ran)
		}
	}
	for key, r := range w.refused {
		if ran := p.recorder.Executions(key); ran > 0 {
			p.t.Errorf("key %s was refused (%s: %s) but was executed %d times", key, r.Reason, r.Message, ran)
		}
	}
	p.checkKeyedOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, periods := range w.takenOutPeriods {
		for _, period := range periods {
			for _, s := range p.starts {
				if p.zones[s.worker] == zone && s.at.After(period[0].Add(zoneOutStartLimit)) && s.at.Before(period[1]) {
					p.t.Errorf("task %s was started on worker %s, %s after its zone %s was taken out of service",
						s.task, s.worker, s.at.Sub(period[0]), zone)
				}
			}
		}
	}
}

// checkKeyedOnce checks that no keyed request was executed twice. Keys are UUIDs of version 7; the IDs of requests
// without a key are of version 4.
func (p *testPlatform) checkKeyedOnce() {
	for _, r := range p.recorder.RepeatedRequests() {
		if len(r) > 14 && r[14] == '7' {
			p.t.Errorf("key %s was executed %d times, want at most 1", r, p.recorder.Executions(r))
			p.mu.Lock()
			for _, d := range p.deliveries[r] {
				p.t.Log("delivered " + d)
			}
			p.mu.Unlock()
		}
	}
}
