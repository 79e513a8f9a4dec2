package platform

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The bounds of the rules. They are those of the settings that Settings writes.
const (
	// cancelTime is the time after a confirmed cancellation after which no task of the job may start.
	cancelTime = 3 * time.Second
	// visibleTime is the time after its acceptance after which every entry host knows a job.
	visibleTime = 3 * time.Second
	// evacuationTime is the time after the beginning of an evacuation after which nothing may start in the zone.
	evacuationTime = 5 * time.Second
	// earlyTime is the longest time before its due time at which an occurrence may start.
	earlyTime = 250 * time.Millisecond
	// restartTime is the time for which a long-running task may lack a run.
	restartTime = 9 * time.Second
	// calmTime is the time without a disturbance after which the rules with a bound on time hold.
	calmTime = 7 * time.Second
	// checkInterval is the interval at which the recorder checks what must happen in time.
	checkInterval = 100 * time.Millisecond
)

// outcome is what an answer to a submission means.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAccepted
	outcomeRefused
)

// outcomeOf returns the outcome for the status of an answer, 0 if there was none.
func outcomeOf(status int) outcome {
	switch {
	case status >= 200 && status < 300:
		return outcomeAccepted
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout || status == 0:
		return outcomeUnknown
	}
	return outcomeRefused
}

// calm reports whether there was no disturbance for calmTime. The caller holds mu.
func (r *recorder) calm(now time.Time) bool {
	return len(r.faulty) == 0 && now.Sub(r.disturbedAt) >= calmTime
}

// runStarted records that a worker has started a run on an order and checks the rules on starts. It returns the step of
// the task, and whether a caller has sent it.
func (r *recorder) runStarted(l life, k runKey, o orderBody, now time.Time) (stepBody, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Starts++
	w, t, on := r.workers[l], r.task(k.task), runOn{l, k.number}
	name, ok := parseTask(k.task)
	var step stepBody
	j := r.jobs[name.job]
	if ok = ok && j != nil; ok {
		step, ok = j.step(name)
	}
	if ok {
		r.checkAsked(j, name, o, l, now)
		r.checkOrder(j, name, l, now)
	} else {
		r.violate(RuleUnasked, k.task, l.id, "start of a task that no caller has sent", now)
	}
	r.checkTwice(t, k, step, l, now)
	w.runs[k] = step
	if ok {
		r.checkTenant(j, k.task, step, l, now)
	}
	w.used = w.used.Add(step.size())
	if !w.used.Fits(w.capacity) {
		r.violate(RuleLimit, k.task, l.id, fmt.Sprintf("start brings the worker to %v of %v", w.used, w.capacity), now)
	}
	if since, ok := r.evacuated[w.zone]; ok && r.calm(now) && now.Sub(since) > evacuationTime {
		r.violate(RuleEvacuated, k.task, l.id, "start in the evacuated zone "+w.zone, now)
	}
	t.runs[on] = struct{}{}
	t.lackingSince, t.lostReported = time.Time{}, false
	return step, ok
}

// checkAsked checks that a start is one that a caller asked for. The caller holds mu.
func (r *recorder) checkAsked(j *jobRecord, name taskName, o orderBody, l life, now time.Time) {
	switch {
	case o.Spec != j.body.Spec:
		r.violate(RuleUnasked, name.String(), l.id, "start with another payload than the job's", now)
	case o.Checkpoint != "" && !isCheckpointOf(name.String(), o.Checkpoint):
		r.violate(RuleUnasked, name.String(), l.id, "start with a checkpoint that is not the task's", now)
	case j.refused && !j.accepted && !j.unknown && j.pending == 0:
		r.violate(RuleUnasked, name.String(), l.id, "start of a job that was refused", now)
	case !j.cancelledAt.IsZero() && now.Sub(j.cancelledAt) > cancelTime && r.calm(now):
		r.violate(RuleUnasked, name.String(), l.id, "start of a job that was cancelled", now)
	}
}

// isCheckpointOf reports whether a checkpoint belongs to the task.
func isCheckpointOf(task, checkpoint string) bool {
	_, ok := decodeCheckpoint(task, checkpoint)
	return ok
}

// checkOrder checks that a task starts after those on which it depends and not before it is due. The caller holds mu.
func (r *recorder) checkOrder(j *jobRecord, name taskName, l life, now time.Time) {
	for _, d := range j.body.Steps[name.step].DependsOn {
		if n := r.undone(j, taskName{job: name.job, occurrence: name.occurrence, step: d}); n > 0 {
			r.violate(RuleOrder, name.String(), l.id, fmt.Sprintf("start before %d tasks of step %d are done", n, d), now)
		}
	}
	if j.body.RepeatCount > 0 {
		due := time.UnixMilli(j.body.FirstRunMs + int64(name.occurrence)*j.body.IntervalMs)
		if early := due.Sub(now); early > earlyTime {
			r.violate(RuleOrder, name.String(), l.id, fmt.Sprintf("start %v before its due time", early), now)
		}
	}
}

// undone returns how many tasks of a step have not ended as done. The index of the name is not used. The caller holds
// mu.
func (r *recorder) undone(j *jobRecord, name taskName) int {
	n := 0
	for name.index = range j.body.Steps[name.step].Count {
		if t, ok := r.tasks[name.String()]; !ok || !t.done {
			n++
		}
	}
	return n
}

// checkTwice checks that a task has no other run and has no acknowledged end as done. The caller holds mu.
func (r *recorder) checkTwice(t *taskRecord, k runKey, step stepBody, l life, now time.Time) {
	if step.Speculative {
		return
	}
	for on := range t.runs {
		r.violate(RuleTwice, k.task, l.id, fmt.Sprintf(
			"start of run %d while run %d is at work on %s", k.number, on.number, on.life.id,
		), now)
	}
	if t.acknowledged {
		r.violate(RuleTwice, k.task, l.id, "start after an acknowledged end as done", now)
	}
	for on := range t.unacknowledged {
		t.unacknowledged[on] = true
	}
}

// runEnded records the end of a run.
func (r *recorder) runEnded(l life, k runKey, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, t, on := r.workers[l], r.task(k.task), runOn{l, k.number}
	w.used = w.used.Sub(w.runs[k].size())
	delete(w.runs, k)
	delete(t.runs, on)
	r.counts.Ended[reason]++
	if reason == "done" {
		if !t.done {
			r.counts.Done++
		}
		t.done = true
		t.unacknowledged[on] = false
	}
}

// endAcknowledged records that the end of a run was acknowledged.
func (r *recorder) endAcknowledged(l life, k runKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, on := r.task(k.task), runOn{l, k.number}
	startedSince, ok := t.unacknowledged[on]
	if !ok {
		return
	}
	delete(t.unacknowledged, on)
	if !t.acknowledged {
		r.counts.Acknowledged++
	}
	t.acknowledged = true
	if startedSince {
		r.violate(RuleTwice, k.task, l.id, "acknowledgement of an end as done after which the task was started", now)
	}
}

// shown checks the state of a job that a caller was told.
func (r *recorder) shown(id, state string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	switch {
	case !ok:
		r.violate(RuleMixed, id, "", "state "+state+" of a job that no caller has sent", now)
	case state == "completed":
		for k := range j.occurrences() {
			for step := range j.body.Steps {
				if n := r.undone(j, taskName{job: id, occurrence: k, step: step}); n > 0 {
					r.violate(RuleMixed, id, "", fmt.Sprintf("shown as completed with %d undone tasks of step %d", n, step), now)
				}
			}
		}
	}
}

// notFound checks the answer that a job is unknown. Jobs are known for as long as a task of theirs has not ended.
func (r *recorder) notFound(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok || !j.accepted || j.cancelSent || now.Sub(j.acceptedAt) < visibleTime || !r.calm(now) {
		return
	}
	for k := range j.occurrences() {
		for step := range j.body.Steps {
			if r.undone(j, taskName{job: id, occurrence: k, step: step}) > 0 {
				r.violate(RuleLost, id, "", "an accepted job is unknown", now)
				return
			}
		}
	}
}

// check checks what must happen in time. It does so at most once in checkInterval.
func (r *recorder) check(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastCheck) < checkInterval {
		return
	}
	r.lastCheck = now
	for id, j := range r.jobs {
		if !j.accepted {
			continue
		}
		for i, step := range j.body.Steps {
			if !step.LongRunning {
				continue
			}
			for index := range step.Count {
				r.checkLost(j, taskName{job: id, step: i, index: index}, step, now)
			}
		}
	}
}

// checkLost checks that a long-running task does not lack a run for too long. The caller holds mu.
func (r *recorder) checkLost(j *jobRecord, name taskName, step stepBody, now time.Time) {
	t := r.task(name.String())
	if len(t.runs) > 0 || j.cancelSent || !r.isReady(j, name) || !r.hasRoom(name, step) {
		t.lackingSince, t.lostReported = time.Time{}, false
		return
	}
	if t.lackingSince.IsZero() {
		t.lackingSince = now
	}
	if lacking := now.Sub(t.lackingSince); lacking > restartTime && r.calm(now) && !t.lostReported {
		t.lostReported = true
		r.violate(RuleLost, name.String(), "", fmt.Sprintf("no run for %v though there is room", lacking), now)
	}
}

// isReady reports whether all steps on which a task depends are done. The caller holds mu.
func (r *recorder) isReady(j *jobRecord, name taskName) bool {
	for _, d := range j.body.Steps[name.step].DependsOn {
		if r.undone(j, taskName{job: name.job, occurrence: name.occurrence, step: d}) > 0 {
			return false
		}
	}
	return true
}

// hasRoom reports whether any worker may run a task and has room for it. The caller holds mu.
func (r *recorder) hasRoom(name taskName, step stepBody) bool {
	for _, w := range r.workers {
		_, evacuated := r.evacuated[w.zone]
		if w.draining || evacuated || !w.used.Add(step.size()).Fits(w.capacity) {
			continue
		}
		if step.Requirements != "" && !slices.Contains(w.labels, step.Requirements) {
			continue
		}
		if step.AntiAffinity == 0 || w.countStep(name) < step.AntiAffinity {
			return true
		}
	}
	return false
}

// countStep returns how many tasks of the same step and occurrence run on the worker.
func (w *workerRecord) countStep(name taskName) int {
	n := 0
	for k := range w.runs {
		if other, ok := parseTask(k.task); ok && other.job == name.job && other.occurrence == name.occurrence &&
			other.step == name.step {
			n++
		}
	}
	return n
}
