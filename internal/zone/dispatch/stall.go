package dispatch

import "time"

// A worker may answer and start tasks while nothing on it makes progress. It even seems to have room, since its tasks
// are moved away when the latencies of long-running tasks beside them rise. So the progress of the tasks decides.

const (
	// stallTimeout is how long a task may make no progress before it counts as stalled. Workers with best-effort tasks
	// beside long-running ones report every half second.
	stallTimeout = 1200 * time.Millisecond
	// stallShare is the share of a task's estimate in which it has to make progress, which is reported in whole percents:
	// a task may be ten times slower than estimated.
	stallShare = 0.1
)

// recordProgress notes when the run last made progress. A paused run need not make any.
func (r *run) recordProgress(now time.Time, progress int) {
	if progress != r.progress || r.progressedAt.IsZero() || r.targetPace == 0 || r.pace < minPace {
		r.progressedAt = now
	}
}

// isStalled reports whether the run should have made progress and has not.
func (r *run) isStalled(now time.Time) bool {
	limit := max(stallTimeout, time.Duration(stallShare*float64(r.task.step().Estimate)))
	return !r.progressedAt.IsZero() && now.Sub(r.progressedAt) >= limit
}

// stalledRuns returns the runs that make no progress if there is any such run and no other one that makes progress.
// Long-running tasks and members of gangs, which wait for the others, say nothing about the worker.
func (s *Scheduler) stalledRuns(now time.Time, w *Worker) []*run {
	if now.Sub(w.health.doneAt) < stallTimeout {
		return nil
	}
	var stalled []*run
	for _, r := range w.runs {
		step := r.task.step()
		switch {
		case step.LongRunning || step.Gang || r.phase != phaseRunning:
		case r.isStalled(now):
			stalled = append(stalled, r)
		case now.Sub(r.startedAt) > stallTimeout && r.targetPace > 0:
			return nil
		}
	}
	sortRuns(stalled)
	return stalled
}

// handleStalledWorker pauses starts on a worker on which no task makes progress, and moves the tasks. If all of them are
// best-effort tasks, the others may have left them nothing, so that only further best-effort tasks are kept away.
func (s *Scheduler) handleStalledWorker(now time.Time, w *Worker, stalled []*run) {
	s.recordEvent(Event{Kind: "worker stalled", Worker: w.ID, Age: now.Sub(stalled[0].progressedAt)})
	w.health.bestEffortAt = now.Add(slowPause)
	for _, r := range stalled {
		if !r.task.step().BestEffort {
			w.health.slowUntil = now.Add(slowPause)
		}
	}
	for _, r := range stalled {
		t := r.task
		if t.done || len(t.runs) != 1 || t.step().MaxUnavailable >= 0 || !s.mayRestart(t.stage) {
			continue
		}
		if other := s.findWorker(now, t, nil); other != nil && other != w {
			s.stopRun(r, "worker is stalled")
		}
	}
}
