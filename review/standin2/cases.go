//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["outage"] = outage
	cases["gang"] = gang
	cases["latepost"] = latePost
	cases["turnedaway"] = turnedAway
	cases["latestart"] = lateStart
}

// deploy starts hosts in the zones a, b and c in turn, and workers of 16 cores, each in a rack of its own.
func (w *world) deploy(hosts, workers int) error {
	w.setManifest(1)
	zones := []string{"a", "b", "c"}
	for i := range workers {
		zone := zones[i%len(zones)]
		if _, err := w.fleet.addWorker(w.net+"3", fmt.Sprintf("w-%d", i+1), zone, fmt.Sprintf("r%d", i+1), 16000); err != nil {
			return err
		}
	}
	for i := range hosts {
		if _, err := w.addHost(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	return w.awaitReady(20 * time.Second)
}

// onWorker returns the worker on which a task runs, nil if it runs nowhere.
func (w *world) onWorker(task string) *worker {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, o := range w.fleet.workers {
		for _, r := range o.runs {
			if r.task == task {
				return o
			}
		}
	}
	return nil
}

// awaitRun waits until a task runs and returns its worker, nil if it doesn't in time.
func (w *world) awaitRun(task string, limit time.Duration) *worker {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if o := w.onWorker(task); o != nil {
			return o
		}
	}
	return nil
}

// outage: all hosts lose power at once, and with them one worker; the machine that led and the worker don't come back.
func outage(w *world) error {
	if err := w.deploy(6, 6); err != nil {
		return err
	}
	lasting := "a000000000000001"
	if err := w.submit(w.hosts[0], lastPrefix+lasting, map[string]any{
		"Spec": "lasts;cpu=2000", "Steps": []any{map[string]any{
			"Count": 5, "Cpu": 2000, "MemMb": 1000, "EstimatedMs": 1000, "LongRunning": true, "AntiAffinity": 2, "Image": "watch",
		}},
	}); err != nil {
		return err
	}
	batch := "b000000000000001"
	if err := w.submit(w.hosts[1], batchPrefix+batch, map[string]any{
		"Spec": "work=4000;cpu=2000", "Steps": []any{
			map[string]any{"Count": 6, "Cpu": 2000, "MemMb": 1000, "EstimatedMs": 4000},
			map[string]any{"Count": 6, "Cpu": 2000, "MemMb": 1000, "EstimatedMs": 4000, "DependsOn": []int{0}},
		},
	}); err != nil {
		return err
	}
	victim := w.awaitRun(lasting+".0.0.0", 10*time.Second)
	if victim == nil {
		return fmt.Errorf("the task doesn't start")
	}
	time.Sleep(2 * time.Second)
	leader, err := w.leader(5 * time.Second)
	if err != nil {
		return err
	}
	if w.trouble {
		w.rec.logf("all hosts lose power, and worker %s; %s, which led, and the worker don't come back", victim.id, leader.name)
		victim.crash()
		for _, h := range w.hosts {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, h := range w.hosts {
			_ = h.cmd.Wait()
		}
		time.Sleep(time.Second)
		for _, h := range w.hosts {
			if h != leader {
				if err := w.start(h); err != nil {
					return err
				}
			}
		}
		if _, err := w.addHost(leader.zone); err != nil {
			return err
		}
	}
	// The rule counts 3 s without a run, of which and of the 4 s before them no disruption is near, from 6 s after the last run,
	// with room for two such tasks and under half of the capacity in use.
	const calm, lacking = 12 * time.Second, 3 * time.Second
	calmFrom, lost := time.Now(), lasting+".0.0.0"
	var since time.Time
	broken := false
	var after time.Duration
	for time.Since(calmFrom) < 60*time.Second {
		now := time.Now()
		runs := w.onWorker(lost) != nil
		slots, inUse := w.room(lasting, 2000, 2)
		switch {
		case runs || slots < 2 || 2*inUse >= 1 || now.Sub(calmFrom) < calm:
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > lacking && !broken:
			broken = true
			w.rec.logf("LOST: %s has not run for %.1f s in calm time, with room for %d such tasks and %.0f %% of the capacity in use",
				lost, now.Sub(since).Seconds(), slots, 100*inUse)
		}
		after = now.Sub(calmFrom)
		if runs && after > calm+lacking {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.rec.logf("%s runs: %v, %.1f s after the end of the disruption", lost, w.onWorker(lost) != nil, after.Seconds())
	for _, h := range w.hosts {
		if h.cmd.ProcessState == nil {
			w.rec.logf("state of %s: %s", batch, w.state(h, batchPrefix+batch))
			break
		}
	}
	if broken {
		return fmt.Errorf("%w: LOST: %s, which is to last, ran nowhere until %.1f s after the end of the disruption, with room for it",
			errBroken, lost, after.Seconds())
	}
	return nil
}

// room returns for how many tasks of a job there is room, of the given cores and at most limit on a worker, and the share of
// the cores of all workers that is in use.
func (w *world) room(job string, cpu int64, limit int) (slots int, inUse float64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	var total, used int64
	for _, o := range w.fleet.workers {
		if !o.up {
			continue
		}
		free, same := o.cpu, 0
		for _, r := range o.runs {
			free -= r.cpu
			if strings.HasPrefix(r.task, job+".") {
				same++
			}
		}
		total, used = total+o.cpu, used+o.cpu-free
		slots += min(int(max(0, free)/cpu), max(0, limit-same))
	}
	return slots, float64(used) / float64(max(1, total))
}

// gang: one worker of a gang that checkpoints crashes.
func gang(w *world) error {
	if err := w.deploy(4, 5); err != nil {
		return err
	}
	const id = "d000000000000001"
	time.Sleep(2 * time.Second)
	if err := w.submit(w.hosts[0], batchPrefix+id, map[string]any{
		"Spec": "work=12000;gang=3;saves", "Steps": []any{map[string]any{
			"Count": 3, "Cpu": 2000, "MemMb": 1000, "EstimatedMs": 12000, "Gang": true, "Checkpointing": true, "AntiAffinity": 1,
		}},
	}); err != nil {
		return err
	}
	x := w.awaitRun(id+".0.0.1", 10*time.Second)
	if x == nil {
		return fmt.Errorf("the gang doesn't start")
	}
	if w.trouble {
		time.Sleep(5500 * time.Millisecond)
		x.crash()
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		if w.state(w.hosts[1], batchPrefix+id) == "completed" {
			break
		}
	}
	byRun := map[int]map[string]string{}
	for _, s := range w.rec.startsOf(id) {
		if byRun[s.number] == nil {
			byRun[s.number] = map[string]string{}
		}
		byRun[s.number][s.task] = s.checkpoint
	}
	for number, members := range byRun {
		values := map[string]struct{}{}
		for _, c := range members {
			values[c] = struct{}{}
		}
		if len(values) > 1 {
			return fmt.Errorf("%w: UNASKED: the members of run %d of the gang were told to start from different checkpoints: %v", errBroken, number, members)
		}
	}
	return nil
}

// latePost: a host that doesn't lead freezes with a submission unread. Its caller leaves and cancels at another host.
func latePost(w *world) error {
	if err := w.deploy(4, 3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	leader, err := w.leader(5 * time.Second)
	if err != nil {
		return err
	}
	var follower, other *host
	for _, h := range w.hosts {
		switch {
		case h == leader:
		case follower == nil:
			follower = h
		default:
			other = h
		}
	}
	for round := range 4 {
		if err := w.latePostRound(round, follower, other); err != nil {
			return err
		}
	}
	return nil
}

// latePostRound freezes a host once. The submissions are sent to it, and cancelled at the other one.
func (w *world) latePostRound(round int, follower, other *host) error {
	body := map[string]any{"Spec": "work=2000", "Steps": []any{map[string]any{"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimatedMs": 2000}}}
	const submissions, limit = 10, 700 * time.Millisecond
	idOf := func(i int) string { return fmt.Sprintf("e%07x%08x", round, i) }
	if w.trouble {
		w.signal(follower, syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	acks := make([]time.Time, submissions)
	failures := make(chan error, submissions)
	for i := range submissions {
		go func() {
			if status, _ := w.call(follower, http.MethodPost, batchPrefix+idOf(i), body, limit); status != 0 && status/100 != 2 {
				failures <- fmt.Errorf("the submission is answered %d", status)
				return
			}
			status, _ := w.call(other, http.MethodDelete, batchPrefix+idOf(i), nil, 3*time.Second)
			if status != http.StatusOK && status != http.StatusGone {
				failures <- fmt.Errorf("the cancellation is answered %d", status)
				return
			}
			acks[i] = time.Now()
			failures <- nil
		}()
	}
	for range submissions {
		if err := <-failures; err != nil {
			return err
		}
	}
	if w.trouble {
		time.Sleep(time.Until(frozenAt.Add(4 * time.Second)))
		w.signal(follower, syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	late := 0
	var what string
	for i := range submissions {
		w.rec.logf("state of %s: %s", idOf(i), w.state(other, batchPrefix+idOf(i)))
		for _, s := range w.rec.startsOf(idOf(i)) {
			after := s.at.Sub(acks[i])
			w.rec.logf("run %d of %s started %.3f s after the ack of its cancelling", s.number, s.task, after.Seconds())
			if after > 3*time.Second {
				late++
				what = fmt.Sprintf("run %d of %s %.1f s after", s.number, s.task, after.Seconds())
			}
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: UNASKED: %d starts later than cancel_ms after the cancelling was acknowledged, the last: %s", errBroken, late, what)
	}
	return nil
}

// turnedAway: the store turns the leader's machine away for some seconds and serves all others.
func turnedAway(w *world) error {
	w.attempts = 8
	if err := w.deploy(5, 12); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id, occurrences = "f000000000000001", 5
	if err := w.submit(w.hosts[0], batchPrefix+id, map[string]any{
		"Spec": "work=100", "Steps": []any{map[string]any{"Count": 2000, "Cpu": 90, "MemMb": 64, "EstimatedMs": 100}},
		"RepeatCount": occurrences, "IntervalMs": 100, "FirstRunMs": time.Now().UnixMilli(),
	}); err != nil {
		return err
	}
	if w.awaitRun(id+".1.0.0", 30*time.Second) == nil {
		return fmt.Errorf("the second occurrence doesn't begin")
	}
	if w.trouble {
		leader, err := w.leader(5 * time.Second)
		if err != nil {
			return err
		}
		w.rec.logf("the store turns %s away, which leads", leader.name)
		leader.door.refuses.Store(true)
		time.Sleep(4 * time.Second)
		leader.door.refuses.Store(false)
		w.rec.logf("the store serves %s again", leader.name)
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		if w.state(w.hosts[1], batchPrefix+id) == "completed" {
			break
		}
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if n := len(w.fleet.twice); n > 0 {
		return fmt.Errorf("%w: TWICE: %d starts of tasks that were running or done, the first of %s", errBroken, n, w.fleet.twice[0])
	}
	return nil
}

// lateStart: an order to start is carried out late, after its worker has crashed and is back under its ID.
func lateStart(w *world) error {
	if err := w.deploy(4, 4); err != nil {
		return err
	}
	// The clocks of the workers advance, as they do on any worker that has been up for a while.
	time.Sleep(15 * time.Second)
	const id = "a00000000000000f"
	w.fleet.mu.Lock()
	if w.trouble {
		w.fleet.lateStarts, w.fleet.lateBy = 1, 6*time.Second
	}
	w.fleet.mu.Unlock()
	if err := w.submit(w.hosts[0], batchPrefix+id, map[string]any{
		"Spec": "work=15000", "Steps": []any{map[string]any{"Count": 1, "Cpu": 2000, "MemMb": 1000, "EstimatedMs": 15000}},
	}); err != nil {
		return err
	}
	task := id + ".0.0.0"
	if w.awaitRun(task, 8*time.Second) == nil {
		return fmt.Errorf("the task doesn't start")
	}
	if w.trouble {
		w.fleet.mu.Lock()
		late := w.fleet.late
		w.fleet.mu.Unlock()
		if len(late) != 1 {
			return fmt.Errorf("%d orders were held up", len(late))
		}
		late[0].crash()
		time.Sleep(time.Second)
		if err := late[0].restart(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(50 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		if w.state(w.hosts[1], batchPrefix+id) == "completed" {
			break
		}
	}
	time.Sleep(2 * time.Second)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if n := len(w.fleet.twice); n > 0 {
		return fmt.Errorf("%w: TWICE: %s ran twice at the same time, or after its end as done", errBroken, w.fleet.twice[0])
	}
	return nil
}
