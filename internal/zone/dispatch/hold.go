package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Short tasks are mostly smaller than long-running ones and follow each other closely. Under enough of them, each hole
// that one leaves is too small for a long-running task and filled by the next short one, whatever their order is. So a
// long-running task that has to run again soon gets a worker held for it, where nothing takes the room that it needs. If
// room was reclaimed for short tasks lately, which would have to be reclaimed again, it takes its turn with another
// long-running task, which is stopped. Otherwise, or if there is none to stop, the worker is held until enough short tasks
// have ended there.

const (
	// holdDelay is how long a long-running task that has run before waits for room until a worker is held for it. The
	// platform allows it to be away for nine seconds, and the leases of a lost worker take 6.2 s of these.
	holdDelay = time.Second
	// holdDelayAfterYield is the same after a yield, which takes most of the nine seconds.
	holdDelayAfterYield = 750 * time.Millisecond
	// maxHold is the longest time for which a worker is held for a task.
	maxHold = 1500 * time.Millisecond
	// maxHeldShare is the share of the workers of a service that are held at once until short tasks end, maxTurnShare the
	// share on which long-running tasks take turns at once. There may be one of each in any case.
	maxHeldShare, maxTurnShare = 0.0625, 0.25
	// turnPeriod is how long long-running tasks take turns after room was reclaimed for short tasks.
	turnPeriod = maxYield
	// maxFailedTurns bounds the tasks for which no other is found to stop in one round: each takes a look at all runs.
	maxFailedTurns = 16
	// holdInterval is the shortest interval between two rounds of choosing workers to hold.
	holdInterval = 100 * time.Millisecond
)

// hold keeps room on a worker from other tasks until a long-running task fits there.
type hold struct {
	task   *task
	worker *Worker
	until  time.Time
	// isTurn is set if another long-running task was stopped for the task.
	isTurn bool
}

// needsHold reports whether a worker is to be held for the task. A task that has not run yet leaves room to short ones,
// see mayStartLongRunning.
func (s *Scheduler) needsHold(now time.Time, t *task) bool {
	return t.queued && t.hasRun && !now.Before(t.notBefore) && now.Sub(t.waitingSince) >= holdDelay &&
		!now.Before(t.yieldsUntil.Add(holdDelayAfterYield)) && s.suspectOf(t) == nil && !s.isHeldFor(t)
}

// isHeldFor reports whether a worker is held for the task.
func (s *Scheduler) isHeldFor(t *task) bool {
	return slices.ContainsFunc(s.holds, func(h *hold) bool { return h.task == t })
}

// holdRoom chooses workers to hold, for the tasks that have waited longest first.
func (s *Scheduler) holdRoom(now time.Time) {
	if now.Sub(s.heldAt) < holdInterval {
		return
	}
	s.heldAt = now
	var waiting []*task
	for _, st := range s.ready {
		if !st.step().LongRunning || st.step().Gang || st.job().restored && !s.allWorkersAccounted() {
			continue
		}
		for _, t := range st.tasks {
			if s.needsHold(now, t) {
				waiting = append(waiting, t)
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *task) int { return a.waitingSince.Compare(b.waitingSince) })
	takeTurns, failedTurns := now.Sub(s.yieldedAt) < turnPeriod, 0
	var failed []failedPlacement
	for _, t := range waiting {
		if takeTurns && failedTurns < maxFailedTurns {
			if s.takeTurn(now, t) {
				continue
			}
			failedTurns++
		}
		placement := newFailedPlacement(t.stage)
		if slices.ContainsFunc(failed, func(f failedPlacement) bool { return f.implies(placement) }) ||
			!s.mayHold(t.job().service, maxHeldShare, false) {
			continue
		}
		if !s.drainWorker(now, t) && t.stage.runsAnywhere() && t.isPlain() {
			failed = append(failed, placement)
		}
	}
}

// mayHold reports whether another worker of the service may be held, with the given share for turns or for others.
func (s *Scheduler) mayHold(service string, share float64, isTurn bool) bool {
	held := 0
	for _, h := range s.holds {
		if h.worker.Service == service && h.isTurn == isTurn {
			held++
		}
	}
	return held < max(1, int(share*float64(len(s.byService[service]))))
}

// mayBeHeld reports whether the worker may be held for the task, regardless of room.
func (s *Scheduler) mayBeHeld(now time.Time, t *task, w *Worker) bool {
	return w.trials == 0 && w.heldFor == nil && s.isSuitable(now, t, w) && w.mayStart(now, t) && !w.hasNextRun(t)
}

// holdWorker holds the worker for the task.
func (s *Scheduler) holdWorker(now time.Time, t *task, w *Worker, isTurn bool) {
	w.heldFor = t
	s.holds = append(s.holds, &hold{task: t, worker: w, until: now.Add(maxHold), isTurn: isTurn})
	s.recordEvent(Event{Kind: "hold", Job: t.job().id, Task: t.name, Worker: w.ID, Age: now.Sub(t.waitingSince)})
}

// drainWorker holds the worker that is expected to have room for the task first. It returns false if none is expected to
// have room within maxHold.
func (s *Scheduler) drainWorker(now time.Time, t *task) bool {
	var best *Worker
	bestWait := maxHold
	for _, w := range s.byService[t.job().service] {
		if !s.mayBeHeld(now, t, w) {
			continue
		}
		if wait := max(w.expectedWait(now, t), w.reservedUntil.Sub(now)); wait < bestWait {
			best, bestWait = w, wait
		}
	}
	if best != nil {
		s.holdWorker(now, t, best, false)
	}
	return best != nil
}

// takeTurn stops another long-running task to make room for one that is away, so that short tasks keep the room that they
// have. It returns false if there is none to stop.
func (s *Scheduler) takeTurn(now time.Time, t *task) bool {
	if !s.mayHold(t.job().service, maxTurnShare, true) {
		return false
	}
	var best *run
	for _, w := range s.byService[t.job().service] {
		if !s.mayBeHeld(now, t, w) {
			continue
		}
		for _, r := range w.runs {
			if s.mayRelieve(now, t, r) && (best == nil || r.compareForTurn(best) < 0) {
				best = r
			}
		}
	}
	if best == nil {
		return false
	}
	s.reclaimRun(now, best, "turn of another long-running task")
	s.holdWorker(now, t, best.worker, true)
	return true
}

// mayRelieve reports whether the room of a run may be reclaimed for a long-running task and suffices for it. Another task
// of the same stage takes its turn also while as many are away as may be.
func (s *Scheduler) mayRelieve(now time.Time, t *task, r *run) bool {
	room := r.worker.used.Sub(r.task.step().Reserved()).Add(t.step().Reserved())
	return r.task.step().LongRunning && room.Fits(r.worker.Capacity) && mayReclaim(t, r) && r.hasRunBeforeReclaim(now) &&
		(r.task.stage == t.stage || s.maySpareTask(r.task.stage))
}

// compareForTurn orders the runs that may be stopped for another: the smallest first, then the one that has run longest.
func (r *run) compareForTurn(o *run) int {
	return cmp.Or(cmp.Compare(r.task.step().Size.Cores, o.task.step().Size.Cores), r.startedAt.Compare(o.startedAt),
		cmp.Compare(r.task.name, o.task.name))
}

// sparesRoom reports whether the worker, which is held for a task, has room for both that task and the other, once the
// runs that are being stopped have ended.
func (w *Worker) sparesRoom(other *task) bool {
	used := w.used.Add(w.heldFor.step().Reserved()).Add(other.step().Reserved())
	for _, r := range w.runs {
		if r.phase == phaseStopping {
			used = used.Sub(r.task.step().Reserved())
		}
	}
	return used.Fits(w.Capacity)
}

// expectedWait returns the time after which enough runs have ended for the task to fit, if no other starts. Only short
// tasks and runs that are being stopped are expected to end.
func (w *Worker) expectedWait(now time.Time, t *task) time.Duration {
	missing := w.used.Add(t.step().Reserved()).Sub(w.Capacity)
	if missing.Fits(fleet.Size{}) {
		return 0
	}
	var ending []*run
	for _, r := range w.runs {
		if r.task.stage.isShort() || r.phase == phaseStopping {
			ending = append(ending, r)
		}
	}
	slices.SortFunc(ending, func(a, b *run) int { return cmp.Compare(a.expectedRemaining(now), b.expectedRemaining(now)) })
	for _, r := range ending {
		missing = missing.Sub(r.task.step().Reserved())
		if missing.Fits(fleet.Size{}) {
			return r.expectedRemaining(now)
		}
	}
	return math.MaxInt64
}

// expectedRemaining returns the time after which a run is expected to end. One that takes longer than estimated is
// expected to overrun for as long again.
func (r *run) expectedRemaining(now time.Time) time.Duration {
	if r.phase == phaseStopping {
		return 0
	}
	estimate := r.task.step().Estimate
	byTime := r.startedAt.Add(estimate).Sub(now).Abs()
	return min(byTime, estimate*time.Duration(100-r.progress)/100)
}

// startHeld starts the task of each hold whose worker has room for it.
func (s *Scheduler) startHeld(now time.Time) {
	for _, h := range s.holds {
		if _, ok := s.rate(now, h.task, h.worker, nil); ok && !h.worker.hasNextRun(h.task) {
			s.startRun(now, h.task, h.worker)
		}
	}
	s.endHolds(now)
}

// endHolds ends the holds that are of no use any more.
func (s *Scheduler) endHolds(now time.Time) {
	s.holds = slices.DeleteFunc(s.holds, func(h *hold) bool {
		t, w := h.task, h.worker
		keep := t.queued && !t.job().isFinal() && s.suspectOf(t) == nil && now.Before(h.until) &&
			s.workers[w.ID] == w && s.isSuitable(now, t, w) && w.mayStart(now, t)
		if !keep {
			w.heldFor = nil
			s.markChanged(w)
		}
		return !keep
	})
}
