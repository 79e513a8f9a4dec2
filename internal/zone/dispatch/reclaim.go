package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Long-running tasks take the room that short ones leave free for some seconds, and never give it back. After a lull,
// a usual load of short tasks then finds no room, and large ones never do. So a short task that could still be in time
// gets the room of a few long-running tasks, which start again when the load has fallen, and memory of best-effort
// tasks. Long-running tasks of steps with a limit of unavailability are left alone.

const (
	// reclaimInterval is the shortest interval between two rounds of reclaiming.
	reclaimInterval = 50 * time.Millisecond
	// maxReclaims is the largest number of short tasks for which room is reclaimed in one round.
	maxReclaims = 16
	// reclaimReservation is how long reclaimed room is reserved for short tasks: the time of a stop, the report of the
	// end, and the start.
	reclaimReservation = 1500 * time.Millisecond
	// maxYield is how long a long-running task leaves free room to short ones after its own was reclaimed. The platform
	// allows it to be away for nine seconds while there is room for two of its kind.
	maxYield = 6 * time.Second
	// yieldPeriod is how long after that a long-running stage ranks behind short tasks that can still be in time.
	yieldPeriod = 30 * time.Second
	// minRunBeforeReclaim is how long a long-running task runs before its room may be reclaimed, which bounds how often
	// one is interrupted.
	minRunBeforeReclaim = 5 * time.Second
	// maxReclaimedShare is the share of the tasks of a long-running step that may be away when its room is reclaimed. One
	// task may be away in any case, unless it is the only one.
	maxReclaimedShare = 0.125
	// bestEffortCost is the cost of stopping a best-effort task relative to a long-running one of the same cores: its
	// work goes on from the last checkpoint.
	bestEffortCost = 0.25
)

// reclaimRoom stops tasks so that waiting short tasks which could still be in time find room. It is called after the
// stages that have no room were found.
func (s *Scheduler) reclaimRoom(now time.Time) {
	if now.Sub(s.reclaimedAt) < reclaimInterval {
		return
	}
	s.reclaimedAt = now
	round := reclaimRound{}
	planned := map[*teamUse]fleet.Size{}
	left := maxReclaims
	for _, st := range s.ready {
		if left <= 0 {
			return
		}
		if !st.isShort() || st.step().Gang || !st.scan.noRoom || st.scan.decision != s.decisions ||
			s.rank(now, st).urgency != 0 {
			continue
		}
		s.shortWaitedAt = now
		if now.Before(st.reclaimAt) {
			continue
		}
		st.reclaimAt = now.Add(reclaimReservation)
		for _, t := range st.tasks {
			if left <= 0 || !t.queued || now.Before(t.notBefore) {
				continue
			}
			use := st.job().use
			if !s.mayReclaimFor(st, planned[use]) || !s.reclaimFor(now, t, round) {
				break
			}
			planned[use] = planned[use].Add(st.step().Size)
			left--
		}
	}
}

// reclaimRound holds the reclaimable runs of each worker for tasks of one priority, worked out once in a round: they are
// compared with each task for which room is reclaimed.
type reclaimRound map[reclaimKey]reclaimableRuns

// reclaimKey is a worker and the priority of the task for which room is reclaimed.
type reclaimKey struct {
	worker   *Worker
	priority int
}

// reclaimableRuns are runs of one worker whose room may be reclaimed, the smallest first.
type reclaimableRuns struct{ longRunning, bestEffort []*run }

// runs returns the reclaimable runs of the worker for a task.
func (round reclaimRound) runs(s *Scheduler, now time.Time, t *task, w *Worker) reclaimableRuns {
	k := reclaimKey{w, t.job().priority}
	runs, ok := round[k]
	if !ok {
		runs = s.reclaimable(now, t, w)
		round[k] = runs
	}
	return runs
}

// reclaimFor stops the tasks whose room is cheapest to reclaim for a short task. It returns false if there are none.
func (s *Scheduler) reclaimFor(now time.Time, t *task, round reclaimRound) bool {
	var best []*run
	var bestWorker *Worker
	bestCost := math.Inf(1)
	for _, w := range s.byService[t.job().service] {
		if now.Before(w.reservedUntil) || !t.step().Size.Fits(w.Capacity) || !s.isEligible(now, t, w) {
			continue
		}
		if victims, cost := s.victims(t, w, round.runs(s, now, t, w), bestCost); cost < bestCost {
			best, bestWorker, bestCost = victims, w, cost
		}
	}
	if bestWorker == nil {
		return false
	}
	bestWorker.reservedUntil = now.Add(reclaimReservation)
	for _, r := range best {
		s.reclaimRun(now, r, "room for a short task")
	}
	return true
}

// reclaimRun stops a run to reclaim its room.
func (s *Scheduler) reclaimRun(now time.Time, r *run, reason string) {
	r.task.yieldsUntil = now.Add(maxYield)
	r.task.stage.yieldedAt = now
	r.task.stage.away.n++
	s.stopRun(r, reason)
}

// isReservedFrom reports whether the worker's free room is reserved and the task may not take it. A long-running task
// that has waited for as long as any may have to is held back only by the hold of another.
func (w *Worker) isReservedFrom(now time.Time, t *task) bool {
	if w.heldFor != nil {
		return w.heldFor != t && !w.sparesRoom(t)
	}
	return now.Before(w.reservedUntil) && !t.stage.isShort() &&
		(!t.step().LongRunning || now.Sub(t.waitingSince) < twoSlotsDelay)
}

// victims returns the runs of a worker to stop so that the short task fits, and their cost. The cost is infinite if there
// is no such choice or none below the limit.
func (s *Scheduler) victims(t *task, w *Worker, runs reclaimableRuns, limit float64) ([]*run, float64) {
	c := reclaimChoice{missing: w.used.Add(t.step().Reserved()).Sub(w.Capacity), limit: limit}
	c.take(s.spareable(runs.longRunning), 1, coresOf)
	c.take(slices.Clone(runs.bestEffort), bestEffortCost, memoryOf)
	if len(c.runs) == 0 || !c.missing.Fits(fleet.Size{}) {
		return nil, math.Inf(1)
	}
	return c.runs, c.cost
}

// spareable returns those of the long-running runs whose stages may still spare a task.
func (s *Scheduler) spareable(runs []*run) []*run {
	var out []*run
	for _, r := range runs {
		if s.maySpareTask(r.task.stage) {
			out = append(out, r)
		}
	}
	return out
}

// coresOf and memoryOf are the dimensions in which long-running and best-effort tasks take room.
func coresOf(f fleet.Size) int64  { return f.Cores }
func memoryOf(f fleet.Size) int64 { return f.Memory }

// reclaimable returns the runs of a worker whose room may be reclaimed for a task.
func (s *Scheduler) reclaimable(now time.Time, t *task, w *Worker) reclaimableRuns {
	var runs reclaimableRuns
	for _, r := range w.runs {
		step := r.task.step()
		if !r.mayBeReclaimed() || r.task.job().priority < t.job().priority {
			continue
		}
		switch {
		case step.BestEffort && step.Checkpointing:
			runs.bestEffort = append(runs.bestEffort, r)
		case step.LongRunning && r.hasRunBeforeReclaim(now) && s.maySpareTask(r.task.stage):
			runs.longRunning = append(runs.longRunning, r)
		}
	}
	sortRunsBy(runs.longRunning, coresOf)
	sortRunsBy(runs.bestEffort, memoryOf)
	return runs
}

// mayBeReclaimed reports whether the room of the run may be reclaimed, as far as its phase and step tell.
func (r *run) mayBeReclaimed() bool {
	return r.phase == phaseRunning && r.task.step().MaxUnavailable < 0
}

// hasRunBeforeReclaim reports whether the run has lasted for minRunBeforeReclaim.
func (r *run) hasRunBeforeReclaim(now time.Time) bool {
	return now.Sub(r.startedAt) >= minRunBeforeReclaim
}

// sortRunsBy orders runs by a dimension of their tasks' sizes.
func sortRunsBy(runs []*run, dimension func(fleet.Size) int64) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(dimension(a.task.step().Size), dimension(b.task.step().Size)),
			cmp.Compare(a.task.name, b.task.name))
	})
}

// reclaimChoice is a choice of runs to stop on one worker.
type reclaimChoice struct {
	// missing is the room that is still missing; a dimension that is not missing is zero or less.
	missing fleet.Size
	runs    []*run
	// cost is the cost of the runs. Once it has reached the limit, no further run is chosen.
	cost, limit float64
}

// take chooses among runs, the smallest first, until no room is missing in the dimension: the smallest run that is large
// enough, or else the largest. The weight is the cost of a run per core. It changes runs.
func (c *reclaimChoice) take(runs []*run, weight float64, dimension func(fleet.Size) int64) {
	for len(runs) > 0 && dimension(c.missing) > 0 && c.cost < c.limit {
		i := slices.IndexFunc(runs, func(r *run) bool { return dimension(r.task.step().Size) >= dimension(c.missing) })
		if i < 0 {
			i = len(runs) - 1
		}
		step := runs[i].task.step()
		c.runs = append(c.runs, runs[i])
		c.cost += weight * float64(step.Size.Cores)
		c.missing = c.missing.Sub(step.Reserved())
		runs = slices.Delete(runs, i, i+1)
	}
}

// awayCount is the number of tasks of a long-running stage that are not at work, as of one decision.
type awayCount struct {
	decision uint64
	n        int
}

// isAtWork reports whether the task has a run that has become ready and isn't being stopped.
func (t *task) isAtWork() bool {
	return len(t.runs) > 0 && t.runs[0].phase == phaseRunning && !t.runs[0].readySince.IsZero()
}

// maySpareTask reports whether a task of a long-running stage may be stopped to reclaim its room: few enough of the
// others are away. One for which a worker is held returns in a moment and doesn't count.
func (s *Scheduler) maySpareTask(st *stage) bool {
	if st.away.decision != s.decisions+1 {
		st.away = awayCount{decision: s.decisions + 1}
		for _, t := range st.tasks {
			if t.hold == nil && !t.isAtWork() {
				st.away.n++
			}
		}
	}
	n := len(st.tasks)
	return n > 1 && st.away.n < max(1, int(maxReclaimedShare*float64(n)))
}
