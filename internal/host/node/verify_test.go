package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// takeoutBound and leaveBound are the stated limits of starts after a zone was taken out or a worker was said to leave.
const (
	takeoutBound = 5 * time.Second
	leaveBound   = 5 * time.Second
	// endBound is the time in which all accepted work of a run ends once the faults are over. The policy takes up to a
	// minute to trust a worker again whose tasks ended early.
	endBound = 90 * time.Second
)

// converge waits until the hosts agree and the accepted work has ended.
func (l *workload) converge() {
	w := l.w
	hosts := w.live()
	// A change that was answered too late may have taken a zone out after it was brought back in.
	for _, zone := range []string{"b", "c"} {
		w.eventually(10*time.Second, "zone "+zone+" is in", func() bool {
			return l.setZone(rand.New(rand.NewPCG(1, 1)), zone, false) && !hosts[0].zoneOut(zone)
		})
	}
	if !within(10*time.Second, func() bool {
		return !slices.ContainsFunc(hosts, func(n *testNode) bool { return n.version() != hosts[0].version() })
	}) {
		for _, n := range hosts {
			w.t.Errorf("host %s is at configuration %d 10 s after the faults", n.id, n.version())
		}
	}
	for _, n := range hosts {
		var reason string
		if !within(10*time.Second, func() bool {
			var ok bool
			ok, reason = n.Ready(time.Now())
			return ok
		}) {
			w.t.Errorf("host %s is not ready 10 s after the faults: %s", n.id, reason)
		}
	}
	var open string
	if !within(endBound, func() bool {
		open = ""
		for id, count := range l.jobs {
			if why := w.unfinished(id, count); why != "" {
				open = why
				return false
			}
		}
		return true
	}) {
		w.t.Errorf("accepted work has not ended %s after the faults: %s", endBound, open)
		for id, count := range l.jobs {
			if why := w.unfinished(id, count); why != "" {
				w.t.Log(why)
				w.trace(id)
			}
		}
		for id, b := range w.workers {
			s, err := b.Status()
			w.t.Logf("worker %s: %v, held by %s under %d, tasks %v", id, err, s.Holder, s.Grant, s.Tasks)
		}
		for _, n := range hosts {
			for _, st := range n.Status(time.Now()).Streams {
				w.t.Logf("host %s: stream %+v", n.id, st)
			}
			n.zone.mu.Lock()
			for id, v := range n.zone.workers {
				w.t.Logf("host %s has of worker %s: held %t, boot %s, tasks %v", n.id, id, v.held, v.status.Boot, v.tasks)
			}
			w.t.Logf("host %s: tasks wait for %q", n.id, n.zone.policy.ExplainMiss(time.Now(), "plan"))
			w.t.Logf("host %s: settling %v, placing %v, holds %v, doubts %v", n.id, n.zone.settling, n.zone.placing, n.zone.holdings.HeldWorkers(time.Now()), n.zone.doubts)
			n.zone.mu.Unlock()
		}
	}
}

// unfinished returns why the tasks of a job have not each ended in exactly one zone, or an empty text.
func (w *world) unfinished(id string, count int) string {
	places := make([]string, count)
	seen := map[string]bool{}
	for _, n := range w.live() {
		if seen[n.place] {
			continue
		}
		seen[n.place] = true
		var v jobView
		r := n.showHere(id)
		if r.Outcome != outcome.Done || json.Unmarshal(r.Body, &v) != nil {
			continue
		}
		for _, t := range v.Tasks {
			var i int
			if _, err := fmt.Sscanf(t.ID, id+"/%d", &i); err != nil || i >= count {
				return "task " + t.ID + " is none of the job's"
			}
			switch {
			case t.State == "moved":
			case places[i] != "":
				return fmt.Sprintf("task %s is %s in zone %s and %s", t.ID, t.State, n.place, places[i])
			default:
				places[i] = t.State + " in zone " + n.place
			}
			if t.State == "pending" || t.State == "running" {
				return fmt.Sprintf("task %s attempt %d is %s in zone %s at %s", t.ID, t.Attempt, t.State, n.place, t.Worker)
			}
		}
	}
	for i, p := range places {
		if p == "" {
			return fmt.Sprintf("task %s/%d is in no zone", id, i)
		}
	}
	return ""
}

// verify checks what must hold at the end of a run.
func (l *workload) verify() {
	w := l.w
	w.noViolations()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.answers {
		if ran := w.ledger.Executions(key); ran != 1 {
			w.t.Errorf("key %s was answered but executed %d times", key, ran)
		}
	}
	for key, r := range l.refused {
		if ran := w.ledger.Executions(key); ran > 0 {
			w.t.Errorf("key %s was said not to run (%s: %s) but was executed %d times", key, r.Reason, r.Message, ran)
		}
	}
	w.keyedOnce()
	w.mu.Lock()
	defer w.mu.Unlock()
	for zone, outs := range l.outs {
		for _, o := range outs {
			for _, s := range w.starts {
				if w.zones[s.worker] == zone && s.at.After(o[0].Add(takeoutBound)) && s.at.Before(o[1]) {
					w.t.Errorf("task %s was started at %s %s after zone %s was taken out", s.task, s.worker, s.at.Sub(o[0]), zone)
				}
			}
		}
	}
}

// keyedOnce checks that no keyed request was executed twice. Requests without a key have random UUIDs of version 4.
func (w *world) keyedOnce() {
	for _, r := range w.ledger.Repeated() {
		if len(r) > 14 && r[14] == '7' {
			w.t.Errorf("key %s was executed %d times", r, w.ledger.Executions(r))
		}
	}
}
