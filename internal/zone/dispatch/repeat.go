package dispatch

import (
	"slices"
	"time"
)

// An order to start a run that got no answer may be carried out seconds later, also by the next boot of its worker: calls
// name a worker by its ID, and the validity of the order is a time of the former boot's clock. So the run keeps its task
// until no such order can arrive any more. Meanwhile the order is repeated at the same worker under the same run number,
// which starts the run once, however many of the orders arrive.

const (
	// maxStartRepeats bounds the orders to start one run. Each of them puts off the time at which the task may start
	// elsewhere, and a worker that answers none of them may not answer the next one either.
	maxStartRepeats = 3
	// reasonUnsuitable is the reason for which a run is stopped whose start can't be repeated.
	reasonUnsuitable = "worker takes no tasks"
)

// ownsTask reports whether the run keeps its task from other workers while an order to start it may be carried out.
func (r *run) ownsTask() bool {
	return !r.awaitsRecord && !r.starts.until().IsZero() && !r.task.step().Speculative && !r.task.done &&
		!r.task.job().isFinal()
}

// mayBeStarted reports whether a run that its worker didn't list just now may yet be started there by an order without an
// answer.
func (r *run) mayBeStarted(now time.Time) bool {
	return r.ownsTask() && now.Before(r.starts.until().Add(clockMargin))
}

// queueRepeat has the order to start the run repeated.
func (s *Scheduler) queueRepeat(r *run) {
	r.phase = phaseUnanswered
	if !slices.Contains(s.repeats, r) {
		s.repeats = append(s.repeats, r)
	}
}

// repeatStarts repeats the orders to start the runs in repeats. Runs whose workers take no tasks any more are stopped, and so
// are those of tasks that have to start on trial.
func (s *Scheduler) repeatStarts(now time.Time) {
	if s.halted {
		return
	}
	s.repeats = slices.DeleteFunc(s.repeats, func(r *run) bool {
		switch {
		case r.worker.runs[runKey{r.task.name, r.number}] != r || r.phase != phaseUnanswered || r.repeats >= maxStartRepeats:
			return true
		case s.rejectsTask(r.worker, r.task) || s.mayCrashAgain(r.task):
			s.barRun(r, reasonUnsuitable)
			return true
		case !s.mayRepeat(now, r):
			return false
		}
		r.repeats++
		r.phase = phaseOrdered
		s.orderStart(now, r)
		return true
	})
}

// barRun has the present boot of the worker refuse the start of a run that it doesn't list.
func (s *Scheduler) barRun(r *run, reason string) {
	r.barred = true
	s.stopRun(r, reason)
}

// isBarred reports whether the present boot of the worker refuses the start of the run, and has not listed the run.
func (r *run) isBarred() bool { return r.barred && r.stopAnswered && !r.confirmed }

// isStartable reports whether the present boot of the worker may have started the run: it got an order to do so, and has not
// been told to refuse the run, or has listed it.
func (r *run) isStartable() bool {
	return r.confirmed || (!r.awaitsRecord && r.startUntil != 0 && !r.isBarred())
}

// mayCrashAgain reports whether several crashes are blamed on the task. A single one is blamed on each start that was in flight
// when its worker crashed.
func (s *Scheduler) mayCrashAgain(t *task) bool {
	u := s.suspectOf(t)
	return u != nil && u.count() > 1
}

// rejectsTask reports whether the worker is not going to take the task, whatever room it has.
func (s *Scheduler) rejectsTask(w *Worker, t *task) bool {
	label := t.step().Label
	return w.Draining || s.catalog.Evacuated[w.Zone] || (label != "" && !w.hasLabel(label))
}

// mayRepeat reports whether the order to start the run may be repeated now. A member of a gang needs the others.
func (s *Scheduler) mayRepeat(now time.Time, r *run) bool {
	w := r.worker
	if !w.isUsable() || w.recordBatch == 0 || w.recordBatch > s.journal.committed || !w.used.Fits(w.Capacity) ||
		now.Before(w.health.resumeAt) || s.mayRunUnaccounted(r.task) || !s.mayRestart(r.task.stage) {
		return false
	}
	return !r.task.step().Gang || !slices.ContainsFunc(r.task.stage.tasks, func(t *task) bool {
		return !slices.ContainsFunc(t.runs, func(other *run) bool { return other.number == r.number })
	})
}

// releaseRefused releases a run whose worker has refused the last order to start it, unless an earlier one may be carried
// out or the worker lists the run.
func (s *Scheduler) releaseRefused(now time.Time, r *run) {
	switch {
	case r.confirmed && r.phase == phaseRunning && r.repeats > 0:
	case r.ownsTask() && now.Before(r.starts.until()):
		if r.phase == phaseOrdered {
			r.phase = phaseUnanswered
		}
	default:
		s.releaseRun(now, r)
	}
}
