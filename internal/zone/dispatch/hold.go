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
// worker is held for a long-running task that has been away for long: nothing takes the room that the task needs there.
// If short tasks that could still be in time have had no room lately, the task takes its turn with another long-running
// one, which is stopped, so that the short ones keep what they have. Otherwise, or if there is none to stop, the worker
// that is expected to have room first is held until enough short tasks have ended there.

const (
	// holdDelay is how long a long-running task is away until a worker is held for it. The rest of the nine seconds that the
	// platform allows is left for the holds of other tasks that went away together with it.
	holdDelay = 3 * time.Second
	// holdDelayAfterYield is how long a task looks for room itself after it has yielded to short tasks.
	holdDelayAfterYield = 500 * time.Millisecond
	// maxRoomWait is the longest time for which a worker is held until short tasks end, maxTurn the longest until a stopped
	// run ends.
	maxRoomWait, maxTurn = 1500 * time.Millisecond, unlistedTimeout
	// maxWaitShare is the share of the usable workers of a service that are held at once until short tasks end,
	// maxTurnShare the share on which long-running tasks take turns at once. There may be one of each in any case.
	maxWaitShare, maxTurnShare = 0.125, 0.25
	// maxOverloadWaitShare is maxWaitShare while short tasks that could still be in time have no room. It counts only for
	// tasks that have been away for turnsOnlyUntil and can't take turns.
	maxOverloadWaitShare = 0.0625
	turnsOnlyUntil       = 6 * time.Second
	// turnPeriod is how long long-running tasks take turns after a short task that could still be in time had no room.
	turnPeriod = maxYield
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

// lastSeenAt returns the time at which the worker last confirmed the run, as far as is known.
func (r *run) lastSeenAt(now time.Time) time.Time {
	w := r.worker
	if w.clockAt.IsZero() {
		return now
	}
	return w.clockAt.Add(time.Duration(min(0, r.confirmedClock-w.clock)) * time.Millisecond)
}

// noteAway notes that the task, whose last run ended at the given time, runs nowhere.
func (t *task) noteAway(at time.Time) {
	if len(t.runs) == 0 {
		t.awaySince = at
	}
}

// hasBeenStarted reports whether the task has run before, as far as is known. If only earlier terms have seen it run, it is
// not known since when it is away.
func (t *task) hasBeenStarted() bool {
	return !t.awaySince.IsZero() || t.startedBefore || t.lastEndedRun > 0
}

// needsHold reports whether a worker is to be held for the task. A task that has not run yet leaves room to short ones,
// see mayStartLongRunning.
func (s *Scheduler) needsHold(now time.Time, t *task) bool {
	return t.queued && t.hold == nil && t.hasBeenStarted() && now.Sub(t.awaySince) >= holdDelay &&
		!now.Before(t.notBefore) && (t.yieldsUntil.IsZero() || !now.Before(t.yieldsUntil.Add(holdDelayAfterYield))) &&
		s.mayHoldFor(t) && !s.mayRunUnaccounted(t)
}

// mayHoldFor reports whether a worker may be held for the task. For a suspect it is held until its trial begins there, but
// not if it was the only suspect of a crash or one of several crashes.
func (s *Scheduler) mayHoldFor(t *task) bool {
	u := s.suspectOf(t)
	return u == nil || (u.trial == nil && u.mayShare())
}

// tasksToHoldFor returns the tasks for which a worker is to be held, those that have been away for longest first.
func (s *Scheduler) tasksToHoldFor(now time.Time) []*task {
	var out []*task
	for _, st := range s.ready {
		if !st.step().LongRunning || st.step().Gang {
			continue
		}
		for _, t := range st.tasks {
			if s.needsHold(now, t) {
				out = append(out, t)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *task) int { return a.awaySince.Compare(b.awaySince) })
	return out
}

// holdRoom chooses workers to hold.
func (s *Scheduler) holdRoom(now time.Time) {
	if now.Sub(s.heldAt) < holdInterval {
		return
	}
	s.heldAt = now
	takeTurns := now.Sub(s.shortWaitedAt) < turnPeriod
	round := holdRound{
		usable: map[string]int{}, victims: map[string][]*run{}, ending: map[*Worker][]endingRun{},
	}
	var failed []failedPlacement
	for _, t := range s.tasksToHoldFor(now) {
		if !s.mayHoldForTeam(t) {
			continue
		}
		waitShare := maxWaitShare
		if takeTurns {
			if s.takeTurn(now, t, round) || now.Sub(t.awaySince) < turnsOnlyUntil {
				continue
			}
			waitShare = maxOverloadWaitShare
		}
		placement := newFailedPlacement(t.stage)
		if slices.ContainsFunc(failed, func(f failedPlacement) bool { return f.implies(placement) }) ||
			!s.mayHold(t.job().service, waitShare, false, round) {
			continue
		}
		if !s.holdUntilRoom(now, t, round) && t.stage.runsAnywhere() && t.isPlain() {
			failed = append(failed, placement)
		}
	}
}

// holdRound holds what is worked out once for all tasks of a round: the number of usable workers of each service, its runs
// that may be stopped for a long-running task, and the runs of each worker that are expected to end.
type holdRound struct {
	usable  map[string]int
	victims map[string][]*run
	ending  map[*Worker][]endingRun
}

// endingRun is a run that is expected to end by itself after the given time.
type endingRun struct {
	run   *run
	after time.Duration
}

// victimsOf returns the runs of a service that may be stopped for a long-running task, the smallest first, then the one
// that has run longest.
func (round holdRound) victimsOf(now time.Time, workers []*Worker, service string) []*run {
	if out, ok := round.victims[service]; ok {
		return out
	}
	var out []*run
	for _, w := range workers {
		for _, r := range w.runs {
			if r.task.step().LongRunning && r.mayBeReclaimed() && r.hasRunBeforeReclaim(now) {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.step().Size.Cores, b.task.step().Size.Cores), a.startedAt.Compare(b.startedAt),
			cmp.Compare(a.task.name, b.task.name))
	})
	round.victims[service] = out
	return out
}

// endingOn returns the short tasks' runs of a worker and those that are being stopped, the one that is expected to end
// first first.
func (round holdRound) endingOn(now time.Time, w *Worker) []endingRun {
	if out, ok := round.ending[w]; ok {
		return out
	}
	var out []endingRun
	for _, r := range w.runs {
		if r.task.stage.isShort() || r.phase == phaseStopping {
			out = append(out, endingRun{r, r.expectedRemaining(now)})
		}
	}
	slices.SortFunc(out, func(a, b endingRun) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.run.task.name, b.run.task.name))
	})
	round.ending[w] = out
	return out
}

// expectedRemaining returns the time after which a run is expected to end. One that takes longer than estimated is
// expected to overrun for as long again.
func (r *run) expectedRemaining(now time.Time) time.Duration {
	return r.remainingOf(now, r.task.step().Estimate)
}

// remainingOf is expectedRemaining for a run that is expected to take as long as given in all.
func (r *run) remainingOf(now time.Time, estimate time.Duration) time.Duration {
	if r.phase == phaseStopping {
		return 0
	}
	byTime := r.startedAt.Add(estimate).Sub(now).Abs()
	return min(byTime, estimate*time.Duration(100-r.progress)/100)
}

// mayHold reports whether another worker of the service may be held, with the given share for turns or for others.
func (s *Scheduler) mayHold(service string, share float64, isTurn bool, round holdRound) bool {
	usable, ok := round.usable[service]
	if !ok {
		for _, w := range s.byService[service] {
			if w.isUsable() {
				usable++
			}
		}
		round.usable[service] = usable
	}
	held := 0
	for _, h := range s.holds {
		if h.worker.Service == service && h.isTurn == isTurn {
			held++
		}
	}
	return held < max(1, int(share*float64(usable)))
}

// mayBeHeld reports whether the worker may be held for the task, regardless of room.
func (s *Scheduler) mayBeHeld(now time.Time, t *task, w *Worker) bool {
	return w.trials == 0 && w.heldFor == nil && w.isSound(now, t) && s.isSuitable(now, t, w) && w.mayStart(now, t) &&
		!w.hasNextRun(t)
}

// holdWorker holds the worker for the task until the given time.
func (s *Scheduler) holdWorker(now time.Time, t *task, w *Worker, until time.Time, isTurn bool) {
	h := &hold{task: t, worker: w, until: until, isTurn: isTurn}
	w.heldFor, t.hold = t, h
	s.holds = append(s.holds, h)
	s.recordEvent(Event{Kind: "hold", Job: t.job().id, Task: t.name, Worker: w.ID, Age: now.Sub(t.waitingSince)})
}

// holdUntilRoom holds the worker that is expected to have room for the task first. It returns false if none is expected to
// have room within maxRoomWait. Room that was reclaimed for a short task is left to it.
func (s *Scheduler) holdUntilRoom(now time.Time, t *task, round holdRound) bool {
	var best *Worker
	bestWait := maxRoomWait
	for _, w := range s.byService[t.job().service] {
		if now.Before(w.reservedUntil) || now.Before(w.holdAfter) || !s.mayBeHeld(now, t, w) {
			continue
		}
		if wait := round.expectedWait(now, t, w); wait < bestWait {
			best, bestWait = w, wait
		}
	}
	if best != nil {
		s.holdWorker(now, t, best, now.Add(maxRoomWait), false)
	}
	return best != nil
}

// expectedWait returns the time after which enough runs have ended for the task to fit on the worker, if no other starts.
func (round holdRound) expectedWait(now time.Time, t *task, w *Worker) time.Duration {
	missing := w.used.Add(t.step().Reserved()).Sub(w.Capacity)
	if missing.Fits(fleet.Size{}) {
		return 0
	}
	for _, e := range round.endingOn(now, w) {
		missing = missing.Sub(e.run.task.step().Reserved())
		if missing.Fits(fleet.Size{}) {
			return e.after
		}
	}
	return math.MaxInt64
}

// takeTurn stops another long-running task to make room for one that is away, so that short tasks keep the room that they
// have. It returns false if there is none to stop.
func (s *Scheduler) takeTurn(now time.Time, t *task, round holdRound) bool {
	service := t.job().service
	if !s.mayHold(service, maxTurnShare, true, round) {
		return false
	}
	for _, r := range round.victimsOf(now, s.byService[service], service) {
		if s.mayTakeTurn(t, r) && s.mayBeHeld(now, t, r.worker) {
			s.reclaimRun(now, r, "turn of another long-running task")
			s.holdWorker(now, t, r.worker, now.Add(maxTurn), true)
			return true
		}
	}
	return false
}

// mayTakeTurn reports whether a run may be stopped for a long-running task and leaves enough room for it. Another task of
// the same stage takes its turn also while as many are away as may be.
func (s *Scheduler) mayTakeTurn(t *task, r *run) bool {
	room := r.worker.used.Sub(r.task.step().Reserved()).Add(t.step().Reserved())
	return room.Fits(r.worker.Capacity) && r.mayBeReclaimed() && r.task.job().priority >= t.job().priority &&
		(r.task.stage == t.stage || s.maySpareTask(r.task.stage))
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

// startHeld starts the task of each hold whose worker has room for it. A suspect is started by its trial.
func (s *Scheduler) startHeld(now time.Time) {
	for _, h := range s.holds {
		t := h.task
		if !t.queued || t.job().isFinal() || now.Before(t.notBefore) || s.suspectOf(t) != nil ||
			!s.mayStart(now, t.stage, 1) {
			continue
		}
		if _, ok := s.rate(now, t, h.worker, nil); ok && !h.worker.hasNextRun(t) {
			s.startRun(now, t, h.worker)
		}
	}
	s.endHolds(now)
}

// endHolds ends the holds that are of no use any more.
func (s *Scheduler) endHolds(now time.Time) {
	s.holds = slices.DeleteFunc(s.holds, func(h *hold) bool {
		t, w := h.task, h.worker
		keep := t.queued && !t.job().isFinal() && s.mayHoldFor(t) && now.Before(h.until) && s.fitsTeam(t.stage, 1) &&
			s.workers[w.ID] == w && s.isSuitable(now, t, w) && w.mayStart(now, t)
		if !h.isTurn && !now.Before(h.until) {
			w.holdAfter = now.Add(maxRoomWait)
		}
		if !keep {
			w.heldFor, t.hold = nil, nil
			s.markChanged(w)
		}
		return !keep
	})
}
