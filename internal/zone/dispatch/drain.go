package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// A worker that leaves ends what runs there, and its runs count until their leases have lapsed. A task that can't be done
// before that is stopped while the worker still lists its end, so that it goes on elsewhere at once, with all its work.

const (
	// moveLeadTime is how long before the earliest leaving of a worker its tasks are moved: the time to record a stop, to
	// carry it out and to list the end.
	moveLeadTime = 800 * time.Millisecond
	// moveRetryInterval is the shortest time between two searches for room for the tasks of one worker, each of which takes
	// a look at all workers.
	moveRetryInterval = 500 * time.Millisecond
	// reasonLeaves is the reason for which a run on a worker that is about to leave is stopped.
	reasonLeaves = "worker leaves"
)

// moveFromLeavingWorker stops the runs on a worker that may leave in a moment whose tasks lose nothing by that and find
// room elsewhere.
func (s *Scheduler) moveFromLeavingWorker(now time.Time, w *Worker) {
	if !w.Draining || now.Before(w.leaveAt.Add(-moveLeadTime)) || now.Before(w.moveAfter) {
		return
	}
	// Several tasks don't count on the same room.
	plan := &gangPlan{reserved: map[*Worker]fleet.Size{}, members: map[*Worker]int{}}
	full := map[*stage]struct{}{}
	for _, r := range s.runsOf(w) {
		if _, ok := full[r.task.stage]; ok || !r.isMovable() {
			continue
		}
		to := s.findWorker(now, r.task, plan)
		if to == nil {
			full[r.task.stage] = struct{}{}
			w.moveAfter = now.Add(moveRetryInterval)
			continue
		}
		plan.reserved[to] = plan.reserved[to].Add(r.task.step().Reserved())
		s.stopRun(r, reasonLeaves)
	}
}

// isMovable reports whether the task of the run loses no work if the run is stopped: it keeps its progress, or has none
// that could be lost, and has more left than the move takes.
func (r *run) isMovable() bool {
	step := r.task.step()
	switch {
	case r.phase != phaseRunning || r.task.done || len(r.task.runs) != 1 || step.Gang:
		return false
	case step.LongRunning:
		return true
	}
	left := time.Duration(float64(100-r.progress) / 100 * float64(step.Estimate))
	return step.Checkpointing && left > moveLeadTime
}
