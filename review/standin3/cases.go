package main

import (
	"fmt"
	"net/http"
	"time"
)

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(w *world, trouble bool) error{
	"ack":  playAck,
	"late": playLate,
	"last": playLast,
	"gang": playGang,
	"kind": playKind,
	"dark": playDark,
	"evac": playEvac,
	"spec": playSpec,
}

// rules are the rules that the cases judge.
var rules = map[string]string{
	"ack": "TWICE", "late": "TWICE", "last": "TWICE", "gang": "LOST", "kind": "LIMIT", "dark": "LOST", "evac": "EVAC", "spec": "LOST",
}

// begin starts the given numbers of hosts and workers and waits until the hosts are ready.
func begin(w *world, hosts, workers int, k kind) error {
	for range workers {
		if _, err := w.addWorker(k); err != nil {
			return err
		}
	}
	for range hosts {
		if _, err := w.addHost(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// awaitRunning waits until a task runs and returns its worker.
func awaitRunning(w *world, task string, limit time.Duration) (*worker, error) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if wk, _ := w.running(task); wk != nil {
			return wk, nil
		}
	}
	return nil, fmt.Errorf("task %s doesn't run", task)
}

// playDark checks LOST: a submission has nothing running for 3 s though there is room, long after a worker was lost.
func playDark(w *world, trouble bool) error {
	if err := begin(w, 3, 8, kind{"std", 32000, 125000}); err != nil {
		return err
	}
	lasting := submission{Spec: "watch", Steps: []step{{Count: 1, CPU: 4000, MemMb: 4000, EstimatedMs: 400, LongRunning: true, Image: "img-1"}}}
	const first, second = "00000000000000a1", "00000000000000a2"
	if err := w.submit(first, lasting); err != nil {
		return err
	}
	wk, err := awaitRunning(w, first+".0.0.0", 8*time.Second)
	if err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	lostAt := time.Now()
	if trouble {
		wk.goDark()
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.submit(second, lasting); err != nil {
		return err
	}
	// The disturbance of the pages lasts for 4.5 s at most, ContactMs is 4 s, and nothing may be running for 3 s after that.
	const calmAfter, most = 8500 * time.Millisecond, 3 * time.Second
	seen := lostAt.Add(calmAfter)
	for time.Since(lostAt) < 25*time.Second {
		if on, _ := w.running(second + ".0.0.0"); on != nil {
			seen = time.Now()
			if time.Since(lostAt) > calmAfter+most {
				break
			}
		}
		if idle := time.Since(seen); idle > most+500*time.Millisecond && len(w.broken) == 0 {
			w.violate("LOST: submission %s was accepted and runs nowhere, %.1f s after the worker was lost; seven others have room",
				second, time.Since(lostAt).Seconds())
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.state(second)
	return nil
}

// playKind checks LIMIT: a worker that crashes comes back under its ID as a smaller one.
func playKind(w *world, trouble bool) error {
	large, small := kind{"a", 16000, 64000}, kind{"b", 8000, 32000}
	if err := begin(w, 3, 8, large); err != nil {
		return err
	}
	if err := w.submit("00000000000000b1", submission{Spec: "batch", Steps: []step{
		{Count: 1500, CPU: 2000, MemMb: 1000, EstimatedMs: 1500},
	}}); err != nil {
		return err
	}
	if _, err := awaitRunning(w, "00000000000000b1.0.0.0", 8*time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	wk := w.workers[0]
	for i := range 4 {
		if trouble {
			k := small
			if i%2 == 1 {
				k = large
			}
			wk.crash()
			time.Sleep(500 * time.Millisecond)
			if err := wk.start(k); err != nil {
				return err
			}
		}
		time.Sleep(6 * time.Second)
	}
	return nil
}

// playGang checks LOST: a gang is shown as failed after one loss of power of its rack, although no run has ended as failed.
func playGang(w *world, trouble bool) error {
	w.perRack = 5
	k := kind{"std", 32000, 125000}
	if err := begin(w, 3, 40, k); err != nil {
		return err
	}
	const id, members = "00000000000000c1", 5
	if err := w.submit(id, submission{Spec: "gang", Steps: []step{
		{Count: members, CPU: 4000, MemMb: 4000, EstimatedMs: 8000, Gang: true, Colocated: true, AntiAffinity: 1},
	}}); err != nil {
		return err
	}
	on, err := awaitRunning(w, id+".0.0.4", 8*time.Second)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		// The rack loses its power, and its workers are back after 2 s.
		w.rec.add("rack %s loses its power", on.rack)
		var lost []*worker
		for _, wk := range w.workers {
			if wk.rack == on.rack {
				wk.crash()
				lost = append(lost, wk)
			}
		}
		time.Sleep(2 * time.Second)
		for _, wk := range lost {
			if err := wk.start(k); err != nil {
				return err
			}
		}
	}
	state := ""
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		if state = w.state(id); state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for i := range members {
		failed += w.task(fmt.Sprintf("%s.0.0.%d", id, i)).failed
	}
	switch state {
	case "failed", "cancelled":
		w.violate("LOST: submission %s is shown as %s; %d of its runs have ended as failed, and nobody has cancelled it", id, state, failed)
	case "completed":
	default:
		return fmt.Errorf("the gang is shown as %q", state)
	}
	return nil
}

// playAck checks TWICE: acknowledgements that were meant for the former boots of workers are carried out by the next ones.
func playAck(w *world, trouble bool) error {
	k := kind{"std", 8000, 64000}
	if err := begin(w, 3, 8, k); err != nil {
		return err
	}
	ids := []string{}
	for i := range 9 {
		s := submission{Spec: "batch"}
		for n := range 6 {
			s.Steps = append(s.Steps, step{Count: 150, CPU: 1000, MemMb: 500, EstimatedMs: 150 + 53*n + 7*i})
		}
		ids = append(ids, fmt.Sprintf("00000000000000d%d", i))
		if err := w.submit(ids[i], s); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	if trouble {
		// For 5.5 s, the workers leave every second lease renewal unanswered. Meanwhile one of them crashes and comes back.
		leaveUnanswered(w)
		time.Sleep(time.Second)
		wk := w.workers[0]
		wk.crash()
		time.Sleep(500 * time.Millisecond)
		if err := wk.start(k); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
		for _, wk := range w.workers {
			wk.setIntercept(nil)
		}
	}
	time.Sleep(16 * time.Second)
	for _, id := range ids {
		w.state(id)
	}
	return nil
}

// lateBy is how late the workers carry out the calls that they have left unanswered.
const lateBy = 4 * time.Second

// leaveUnanswered has the workers leave every second lease renewal unanswered and carry it out lateBy later.
func leaveUnanswered(w *world) {
	for _, wk := range w.workers {
		renewals := 0
		wk.setIntercept(func(_ *boot, path string, body []byte, _ http.ResponseWriter, _ *http.Request) bool {
			if path != "/hold" {
				return false
			}
			w.mu.Lock()
			renewals++
			leave := renewals%2 == 1
			w.mu.Unlock()
			if !leave {
				return false
			}
			body = append([]byte(nil), body...)
			w.rec.add("worker %s leaves a call unanswered, which it carries out %v later: %s %s", wk.id, lateBy, path, body)
			time.AfterFunc(lateBy, func() {
				wk.mu.Lock()
				b := wk.boot
				unseen := len(b.ends)
				wk.mu.Unlock()
				w.rec.add("worker %s boot %d carries out a call of %v ago, with %d ends listed: %s %s", wk.id, b.born, lateBy, unseen, path, body)
				b.carryOut(path, body)
			})
			hang()
			return true
		})
	}
}

// playSpec checks LOST: a submission whose Spec has a quotation mark and a control character is accepted and never runs.
func playSpec(w *world, trouble bool) error {
	if err := begin(w, 3, 3, kind{"std", 16000, 64000}); err != nil {
		return err
	}
	spec := "say \"now\""
	if trouble {
		spec = "say \x1b[1m\"now\"\x1b[0m"
	}
	const id = "00000000000000e1"
	if err := w.submit(id, submission{Spec: spec, Steps: []step{{Count: 1, CPU: 1000, MemMb: 500, EstimatedMs: 500}}}); err != nil {
		return err
	}
	time.Sleep(14 * time.Second)
	state := w.state(id)
	w.mu.Lock()
	starts := w.task(id + ".0.0.0").starts
	w.mu.Unlock()
	if starts == 0 {
		w.violate("LOST: submission %s was accepted 14 s ago, is shown as %q, and no task of it was started", id, state)
	}
	return nil
}

// playEvac checks EVAC: the store forgets its history while an evacuation is requested.
func playEvac(w *world, trouble bool) error {
	w.zones = []string{"zone-a", "zone-b"}
	if err := begin(w, 3, 8, kind{"std", 16000, 64000}); err != nil {
		return err
	}
	const id = "00000000000000e1"
	if err := w.submit(id, submission{Spec: "batch", Steps: []step{{Count: 1600, CPU: 2000, MemMb: 1000, EstimatedMs: 900}}}); err != nil {
		return err
	}
	if _, err := awaitRunning(w, id+".0.0.0", 8*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.rec.add("reads of op/ hear nothing")
		w.store.mute(operatorTopic)
		time.Sleep(500 * time.Millisecond)
	}
	w.evacuate("zone-a")
	if trouble {
		time.Sleep(500 * time.Millisecond)
		w.store.forget(operatorTopic)
		w.rec.add("the store forgets the history of op/, and cuts the reads that wait")
	}
	time.Sleep(18 * time.Second)
	w.state(id)
	return nil
}

// delayStarts has the workers leave every second order to start a run unanswered and carry it out later. One that comes due
// while its worker is down reaches the next boot as that begins to serve.
func delayStarts(w *world, by time.Duration) {
	for _, wk := range w.workers {
		starts := 0
		wk.setIntercept(func(_ *boot, path string, body []byte, _ http.ResponseWriter, _ *http.Request) bool {
			if path != "/run-start" {
				return false
			}
			w.mu.Lock()
			starts++
			leave := starts%2 == 1
			w.mu.Unlock()
			if !leave {
				return false
			}
			body = append([]byte(nil), body...)
			w.rec.add("worker %s leaves a call unanswered, which it carries out %v later: %s %s", wk.id, by, path, body)
			time.AfterFunc(by, func() {
				for {
					wk.mu.Lock()
					b, down := wk.boot, wk.boot.down
					wk.mu.Unlock()
					if !down {
						w.rec.add("worker %s boot %d carries out a call that was due after %v: %s", wk.id, b.born, by, body)
						b.carryOut(path, body)
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
			hang()
			return true
		})
	}
}

// submitShort hands in submissions of many short tasks.
func submitShort(w *world, n int) ([]string, error) {
	ids := []string{}
	for i := range n {
		s := submission{Spec: "batch"}
		for k := range 6 {
			s.Steps = append(s.Steps, step{Count: 150, CPU: 1000, MemMb: 500, EstimatedMs: 150 + 53*k + 7*i})
		}
		ids = append(ids, fmt.Sprintf("00000000000000f%d", i))
		if err := w.submit(ids[i], s); err != nil {
			return nil, err
		}
	}
	return ids, nil
}

// playLate checks TWICE: orders to start tasks that are done reach the next boot of their worker.
func playLate(w *world, trouble bool) error {
	k := kind{"std", 8000, 64000}
	if err := begin(w, 3, 8, k); err != nil {
		return err
	}
	ids, err := submitShort(w, 6)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		// For 5.5 s, every second order to start a run gets no answer, and is carried out 6 s later.
		delayStarts(w, 6*time.Second)
		time.Sleep(5500 * time.Millisecond)
		for _, wk := range w.workers {
			wk.setIntercept(nil)
		}
		// One worker is down for 3 s.
		time.Sleep(time.Second)
		wk := w.workers[0]
		wk.crash()
		time.Sleep(3 * time.Second)
		if err := wk.start(k); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	for _, id := range ids {
		w.state(id)
	}
	return nil
}

// playLast checks TWICE: orders of a leader's last second, which got no answer, reach the next boot of their worker.
func playLast(w *world, trouble bool) error {
	k := kind{"std", 16000, 64000}
	if err := begin(w, 3, 9, k); err != nil {
		return err
	}
	const id = "00000000000000a7"
	var victim *worker
	var orders [][]byte
	if trouble {
		// The first worker that gets an order leaves all of them unanswered, 8 of 60.
		for _, wk := range w.workers {
			wk.setIntercept(func(_ *boot, path string, body []byte, _ http.ResponseWriter, _ *http.Request) bool {
				w.mu.Lock()
				if path == "/run-start" && victim == nil {
					victim = wk
				}
				leave := path == "/run-start" && victim == wk
				if leave {
					orders = append(orders, append([]byte(nil), body...))
				}
				w.mu.Unlock()
				if leave {
					w.rec.add("worker %s leaves a call unanswered: %s %s", wk.id, path, body)
					hang()
				}
				return false
			})
		}
	}
	if err := w.submit(id, submission{Spec: "long", Steps: []step{{Count: 60, CPU: 2000, MemMb: 1000, EstimatedMs: 20000}}}); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w.leader().kill(w)
		for _, wk := range w.workers {
			wk.setIntercept(nil)
		}
		time.Sleep(7 * time.Second)
		victim.crash()
		time.Sleep(2 * time.Second)
		if err := victim.start(k); err != nil {
			return err
		}
		for _, body := range orders {
			w.rec.add("worker %s carries out a call that it left unanswered 9 s ago: %s", victim.id, body)
			victim.boot.carryOut("/run-start", body)
		}
	}
	time.Sleep(8 * time.Second)
	w.state(id)
	return nil
}
