package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// An order to start a run that got no answer may be carried out seconds later, also by the next boot of its worker: calls
// name a worker by its ID, and the validity of the order is a time of the former boot's clock. So the run keeps its task
// until no such order can arrive any more. Meanwhile the order is repeated at the same worker under the same run number,
// which starts the run once, however many of the orders arrive.

const (
	// maxCallDelay is the longest time after which a worker carries out a call that got no answer, as stated by the
	// platform.
	maxCallDelay = 12 * time.Second
	// maxStartRepeats bounds the orders to start one run. Each of them puts off the time at which the task may start
	// elsewhere, and a worker that answers none of them may not answer the next one either.
	maxStartRepeats = 3
	// reasonUnsuitable is the reason for which a run is stopped whose start can't be repeated.
	reasonUnsuitable = "worker takes no tasks"
)

// inFlight says until when calls to a worker that got no answer may be carried out, by whichever boot takes them.
type inFlight struct {
	// latest belongs to the newest call and is the zero time once that was answered. earlier belongs to those before it.
	latest, earlier time.Time
}

// add notes that a call is sent.
func (c *inFlight) add(now time.Time) { c.earlier, c.latest = c.until(), now.Add(maxCallDelay) }

// answer notes that the newest call was answered.
func (c *inFlight) answer() { c.latest = time.Time{} }

// settle notes that one of the calls was carried out. Of several it isn't known which.
func (c *inFlight) settle() {
	if c.earlier.IsZero() {
		c.answer()
	}
}

// end notes that no call is carried out after the given time.
func (c *inFlight) end(at time.Time) {
	for _, until := range []*time.Time{&c.latest, &c.earlier} {
		if until.After(at) {
			*until = at
		}
	}
}

// until returns the time from which no call is carried out any more, the zero time if all were answered.
func (c *inFlight) until() time.Time { return laterOf(c.latest, c.earlier) }

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
	return u != nil && len(u.crashes) > 1
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
		now.Before(w.health.resumeAt) || s.mayRunUnaccounted(r.task) {
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

// longestLease returns the longest lease that a call for a former boot of the worker can grant: it lasts up to a time of the
// clock, which begins anew at each boot.
func (s *Scheduler) longestLease(w *Worker) time.Duration {
	if w.longestUntil == 0 {
		return s.limits.MaxLease
	}
	return min(s.limits.MaxLease, time.Duration(w.longestUntil)*time.Millisecond)
}

// strayLeasesEnd returns the time from which the leases of a run have certainly expired that an unseen boot of its worker
// may have started. Calls that extend its leases may be on their way as well.
func (s *Scheduler) strayLeasesEnd(r *run) time.Time {
	return leaseEnd(laterOf(r.starts.until(), r.worker.extensions.until()), s.longestLease(r.worker))
}

// isStray reports whether the run may be at work on a boot of its worker that has not been seen.
func (s *Scheduler) isStray(r *run) bool {
	return r.ownsTask() && r.starts.until().After(r.worker.answeredAt) && s.confirmedAt.Before(s.strayLeasesEnd(r))
}

// loseStrays ends the runs of a worker whose leases have expired, except for those that an unseen boot may have.
func (s *Scheduler) loseStrays(now time.Time, w *Worker) {
	for _, r := range s.runsOf(w) {
		if !s.isStray(r) {
			s.loseRun(now, r, reasonLeaseLapsed)
		}
	}
	s.forgetWorker(now, w)
}

// isReplaced reports whether a worker of a later start has answered at the address, so that calls reach that one.
func (s *Scheduler) isReplaced(w *Worker) bool {
	for _, other := range s.workers {
		if other != w && other.contacted && other.Address == w.Address && other.Boot > w.Boot {
			return true
		}
	}
	return false
}

// addStray notes that an order to start a run that has ended, or was given up, may be carried out by the next boot.
func (w *Worker) addStray(k runKey, until time.Time) {
	if w.strays == nil {
		w.strays = map[runKey]time.Time{}
	}
	w.strays[k] = laterOf(w.strays[k], until)
}

// expireStrays removes the orders that can't be carried out any more.
func (w *Worker) expireStrays(now time.Time) {
	for k, until := range w.strays {
		if !now.Before(until) {
			delete(w.strays, k)
		}
	}
}

// hasCallsInFlight reports whether a call to the worker that got no answer may be carried out by its next boot.
func (w *Worker) hasCallsInFlight(now time.Time) bool {
	w.expireStrays(now)
	return len(w.strays) > 0 || now.Before(w.callsUntil())
}

// callsUntil returns the time from which no call without an answer extends the leases of the worker any more.
func (w *Worker) callsUntil() time.Time {
	until := laterOf(w.lateStartsUntil, w.extensions.until())
	for _, r := range w.runs {
		until = laterOf(until, r.starts.until())
	}
	return until
}

// bar is an order that has a boot of a worker refuse a run which an order for a former boot may start there.
type bar struct {
	worker *Worker
	boot   int64
	key    runKey
	until  time.Time
	// sentAt is when the order was last sent, the zero time before.
	sentAt time.Time
}

// endCalls notes that no call to the worker is carried out after the given time.
func (w *Worker) endCalls(at time.Time) {
	w.extensions.end(at)
	if w.lateStartsUntil.After(at) {
		w.lateStartsUntil = at
	}
	for _, r := range w.runs {
		r.starts.end(at)
	}
	for k, until := range w.strays {
		if until.After(at) {
			w.strays[k] = at
		}
	}
}

// barStrays has the worker's present boot refuse the runs of its former ones that have ended or were given up. One that it
// has listed is adopted, or being stopped.
func (s *Scheduler) barStrays(now time.Time, w *Worker) {
	w.expireStrays(now)
	keys := slices.SortedFunc(maps.Keys(w.strays), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	for _, k := range keys {
		if w.runs[k] != nil {
			continue
		}
		s.bars = append(s.bars, &bar{worker: w, boot: w.Boot, key: k, until: w.strays[k]})
	}
}

// sendBars sends the orders to refuse runs, and repeats those without an answer. There is no record of them: nothing is
// known to run under these numbers.
func (s *Scheduler) sendBars(now time.Time) {
	s.bars = slices.DeleteFunc(s.bars, func(b *bar) bool { return b.worker.Boot != b.boot || !now.Before(b.until) })
	for _, b := range s.bars {
		if b.worker.failedRenewals > 0 || now.Sub(b.sentAt) <= stopResendInterval {
			continue
		}
		b.sentAt = now
		s.orders = append(s.orders, s.newStopOrder(b.worker, b.key))
	}
}

// removeBar notes that the worker has answered an order to stop the run.
func (s *Scheduler) removeBar(w *Worker, k runKey) {
	s.bars = slices.DeleteFunc(s.bars, func(b *bar) bool { return b.worker == w && b.boot == w.Boot && b.key == k })
}
