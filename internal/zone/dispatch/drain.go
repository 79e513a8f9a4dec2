package dispatch

import (
	"cmp"
	"slices"
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
	// maxMoveConfirmationAge is the longest time since the term was last confirmed for tasks to be moved. While the store is
	// away a stop waits for its record, and there may be no room any more when it is sent.
	maxMoveConfirmationAge = time.Second
	// reasonLeaves is the reason for which a run on a worker that is about to leave is stopped.
	reasonLeaves = "worker leaves"
)

// moveFromLeavingWorkers stops the runs on workers that may leave in a moment whose tasks lose nothing by that and find
// room elsewhere. It follows the starts of a decision, so that the room is left by the tasks that wait.
func (s *Scheduler) moveFromLeavingWorkers(now, confirmedAt time.Time) {
	s.moving = slices.DeleteFunc(s.moving, func(r *run) bool { return r.worker.runs[runKey{r.task.name, r.number}] != r })
	if now.Sub(confirmedAt) > maxMoveConfirmationAge {
		return
	}
	var leaving []*Worker
	for w := range s.draining {
		if !now.Before(w.leaveAt.Add(-moveLeadTime)) && !now.Before(w.moveAfter) && len(w.runs) > 0 {
			leaving = append(leaving, w)
		}
	}
	if len(leaving) == 0 {
		return
	}
	slices.SortFunc(leaving, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	// No two tasks count on the same room.
	plan := &gangPlan{reserved: map[*Worker]fleet.Size{}, members: map[*Worker]int{}}
	for _, r := range s.moving {
		s.reserveRoom(now, r.task, plan)
	}
	for _, w := range leaving {
		s.moveTasks(now, w, plan)
	}
}

// moveTasks stops the movable runs on a worker for which the plan has room elsewhere.
func (s *Scheduler) moveTasks(now time.Time, w *Worker, plan *gangPlan) {
	full := map[*stage]struct{}{}
	for _, r := range s.runsOf(w) {
		if _, ok := full[r.task.stage]; ok || !r.isMovable() || !s.mayRestart(r.task.stage) {
			continue
		}
		if !s.reserveRoom(now, r.task, plan) {
			full[r.task.stage] = struct{}{}
			w.moveAfter = now.Add(moveRetryInterval)
			continue
		}
		s.stopRun(r, reasonLeaves)
		s.moving = append(s.moving, r)
	}
}

// reserveRoom has the plan take room for the task on the best worker. It returns false if none has room.
func (s *Scheduler) reserveRoom(now time.Time, t *task, plan *gangPlan) bool {
	w := s.findWorker(now, t, plan)
	if w == nil {
		return false
	}
	plan.reserved[w] = plan.reserved[w].Add(t.step().Reserved())
	return true
}

// isMovable reports whether the task of the run loses no work if the run is stopped: it keeps its progress, or has none
// that could be lost, and has more left than the move takes.
func (r *run) isMovable() bool {
	step := r.task.step()
	switch {
	case r.phase != phaseRunning || r.task.done || len(r.task.runs) != 1 || step.Gang || step.Speculative:
		return false
	case step.LongRunning:
		return true
	}
	left := time.Duration(float64(100-r.progress) / 100 * float64(step.Estimate))
	return step.Checkpointing && left > moveLeadTime
}

// setDraining notes whether a worker drains, and when it may leave at the earliest.
func (s *Scheduler) setDraining(w *Worker, draining bool, leaveAt time.Time) {
	switch {
	case !draining:
		w.leaveAt, w.moveAfter = time.Time{}, time.Time{}
		delete(s.draining, w)
	case w.leaveAt.IsZero() || leaveAt.Before(w.leaveAt):
		// A later entry may be an older one, read again.
		w.leaveAt = leaveAt
		s.draining[w] = struct{}{}
	}
}
