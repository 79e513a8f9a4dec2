package dispatch

import "time"

const (
	// suspectFailures is the number of failed runs in a row, with none done between them, after which a worker is
	// suspected of failing everything. Work that fails by itself is spread over the workers and rarely fails twice in a
	// row on one.
	suspectFailures = 2
	// suspectPeriod is how long a suspected worker gets no tasks. After that it gets one task at a time until one is
	// done, or is a long-running one that is at work.
	suspectPeriod = 6 * time.Second
	// minReadyTime is how long a long-running task has been ready when its worker counts as able to run it.
	minReadyTime = time.Second
	// refusalPause is how long a worker that refused an order gets no other start.
	refusalPause = 300 * time.Millisecond
	// noAnswerPause is how long a worker that left an order unanswered gets no other start.
	noAnswerPause = 400 * time.Millisecond
)

// health says how well a worker carries out its tasks.
type health struct {
	// consecutiveFailures counts the failed runs in a row, of which the last ended at failedAt.
	consecutiveFailures int
	failedAt            time.Time
	// resumeAt is when the worker may get tasks again.
	resumeAt time.Time
	// slowUntil is when the pause of a slow worker ends.
	slowUntil time.Time
	// bestEffortAt is when the worker may get best-effort tasks again.
	bestEffortAt time.Time
	// doneAt is when a run was last listed as done.
	doneAt time.Time
	// suspectUntil is when the pause of a suspected worker ends.
	suspectUntil time.Time
}

// recordEnd notes the end of a run. The run is nil if it was not known.
func (h *health) recordEnd(now time.Time, r *run, reason EndReason) {
	switch reason {
	case EndDone:
		h.clearSuspicion()
		h.doneAt = now
	case EndFailed:
		if r != nil && r.isAtWork(now) {
			// Long-running tasks fail now and then after they have worked for a while.
			return
		}
		if h.consecutiveFailures >= suspectFailures && r != nil && r.task.step().LongRunning && len(r.task.failedRuns) > 0 {
			// It is started without limit, and if it fails everywhere, it would keep all workers suspected.
			return
		}
		h.consecutiveFailures++
		h.failedAt = now
		if h.consecutiveFailures >= suspectFailures {
			h.suspectUntil = now.Add(suspectPeriod)
		}
	}
}

// clearSuspicion forgets the failures.
func (h *health) clearSuspicion() {
	h.consecutiveFailures, h.failedAt, h.suspectUntil = 0, time.Time{}, time.Time{}
}

// isAtWork reports whether the run is one of a long-running task that has been ready for a while.
func (r *run) isAtWork(now time.Time) bool {
	return r.task.step().LongRunning && !r.readySince.IsZero() && now.Sub(r.readySince) > minReadyTime
}

// isProbe reports whether the run was started after the last failure on its worker, so that it tells whether the worker
// still fails. Older runs, which may last for ever, tell nothing.
func (r *run) isProbe() bool { return r.startedAt.After(r.worker.health.failedAt) }

// recordProbes ends the suspicion of a worker on which a long-running task is at work that was started after the last
// failure.
func (w *Worker) recordProbes(now time.Time) {
	if w.health.consecutiveFailures == 0 {
		return
	}
	for _, r := range w.runs {
		if r.isProbe() && r.isAtWork(now) {
			w.health.clearSuspicion()
			return
		}
	}
}

// hasProbe reports whether a task that was started on the worker after the last failure there may still tell whether the
// worker fails, so that the task t has to wait. A best-effort task may be paused for any time, and no long-running task
// waits for it.
func (w *Worker) hasProbe(now time.Time, t *task) bool {
	for _, r := range w.runs {
		if t.step().LongRunning && r.task.step().BestEffort {
			continue
		}
		if r.isProbe() && now.Sub(r.startedAt) < suspectPeriod {
			return true
		}
	}
	return false
}

// recordRefusal notes that the worker refused an order, for lack of room or for reasons of its own.
func (h *health) recordRefusal(now time.Time) { h.resumeAt = now.Add(refusalPause) }

// recordNoAnswer notes that an order got no answer.
func (h *health) recordNoAnswer(now time.Time) { h.resumeAt = now.Add(noAnswerPause) }

// avoidPeriod is how long a task that has failed waits for a worker without failures before it takes another.
const avoidPeriod = 2 * time.Second

// mayStart reports whether the worker's health allows it to start the task. An overdue task is kept away only from
// workers that have just refused an order or, for a while, that another task probes.
func (w *Worker) mayStart(now time.Time, t *task) bool {
	h := &w.health
	if now.Before(h.resumeAt) {
		return false
	}
	if h.consecutiveFailures >= suspectFailures && w.hasProbe(now, t) && !t.hasWaited(now, maxProbeWait) {
		return false
	}
	return t.isOverdue(now) || w.isSound(now, t)
}

// isSound reports whether there is no reason to doubt that the task makes progress on the worker. Tasks that have failed
// go to workers without failures, so that one bad worker can't use up the attempts of a task.
func (w *Worker) isSound(now time.Time, t *task) bool {
	h := &w.health
	failed := len(t.failedRuns) > 0 && now.Sub(t.waitingSince) < avoidPeriod
	switch {
	case t.step().BestEffort && now.Before(h.bestEffortAt):
		return false
	case w.isSlow(now) || (failed && t.avoidWorker == w.ID):
		return false
	}
	return h.consecutiveFailures == 0 || (!failed && !now.Before(h.suspectUntil))
}
