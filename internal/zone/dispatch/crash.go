package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// A task may crash each worker that starts it, and all other runs of the worker are lost with it. So a crash is blamed
// on the runs that had just started there. A blamed task is a suspect until it has survived a start: it starts apart
// from others, see trial.go, so that the next crash shows which task causes it. A task that goes on crashing its
// workers is given up together with its job.
//
// A task may also crash its worker some seconds after its start. Its neighbours are blamed first, and are cleared. So a
// task that was lost to two crashes in a row within seconds of its starts is a suspect as well.

const (
	// survivalPeriod is how long a run must have been on its worker, by the worker's clock, to be innocent of a crash.
	survivalPeriod = 500 * time.Millisecond
	// lateSurvivalPeriod is the same for a run of a task on which a late crash is blamed.
	lateSurvivalPeriod = 5 * time.Second
	// minLateCrashes is the number of late crashes blamed on a task after which it is a suspect.
	minLateCrashes = 2
	// minCrashes is the number of crashes blamed on a task after which its job fails if the task was the only suspect of
	// minCrashesAlone of them.
	minCrashes, minCrashesAlone = 3, 2
	// maxCrashes is the number of crashes blamed on a task after which its job fails in any case.
	maxCrashes = 5
	// lapseRetention is how long after the loss of a worker's runs it may turn out whether the worker has crashed.
	lapseRetention = time.Minute
)

// bootID identifies a boot of a worker.
type bootID struct {
	worker string
	boot   int64
}

// loss is a run that was lost with its worker.
type loss struct {
	Worker  string
	Boot    int64
	Address string
	Run     int
	// Alone is set if no other run can have crashed the worker, Late if the run had survived for survivalPeriod.
	Alone, Late bool
}

// bootID returns the boot that had the run.
func (x *loss) bootID() bootID { return bootID{x.Worker, x.Boot} }

// suspicion is what is held against a task. A gang has one, kept for its first task, since its members start together.
type suspicion struct {
	task *task
	// crashes holds the runs under which a worker crashed, pending those that are on trial or of which it is not known
	// yet whether the worker has crashed. A run occurs once in crashes for each boot, see count.
	crashes, pending []loss
	// trial is the present start apart from others, nil if there is none.
	trial *trial
	// waitsSince is since when the start waits only because of trials, the zero time if it doesn't. retryAt is when a
	// worker is looked for again.
	waitsSince, retryAt time.Time
}

// count returns the number of crashes blamed on the task. The members of a gang start together under one run number, so
// the loss of several workers in one run of the gang counts once: a rack that loses its power takes them all.
func (u *suspicion) count() int { return u.countOf(func(loss) bool { return true }) }

// alone returns the number of crashes of which the task was the only suspect.
func (u *suspicion) alone() int { return u.countOf(func(x loss) bool { return x.Alone }) }

// late returns the number of crashes that were late on each lost worker.
func (u *suspicion) late() int { return u.count() - u.countOf(func(x loss) bool { return !x.Late }) }

// countOf returns the number of crashes with a loss for which match returns true.
func (u *suspicion) countOf(match func(loss) bool) int {
	if !u.task.step().Gang {
		n := 0
		for _, x := range u.crashes {
			if match(x) {
				n++
			}
		}
		return n
	}
	runs := map[int]struct{}{}
	for _, x := range u.crashes {
		if match(x) {
			runs[x.Run] = struct{}{}
		}
	}
	return len(runs)
}

// isSuspect reports whether the task starts on trial.
func (u *suspicion) isSuspect() bool {
	late := u.late()
	return late >= minLateCrashes || u.count() > late
}

// isProven reports whether the task is to be given up.
func (u *suspicion) isProven() bool {
	n := u.count()
	return n >= maxCrashes || (n >= minCrashes && u.alone() >= minCrashesAlone)
}

// addPending adds a loss of which it is not known yet whether the worker has crashed.
func (u *suspicion) addPending(x loss) {
	u.removePending(x.bootID(), x.Run)
	u.pending = append(u.pending, x)
}

// removePending removes the pending loss of a run.
func (u *suspicion) removePending(id bootID, run int) {
	u.pending = slices.DeleteFunc(u.pending, func(x loss) bool { return x.bootID() == id && x.Run == run })
}

// removeBoot removes all losses with a boot of a worker.
func (u *suspicion) removeBoot(id bootID) {
	of := func(x loss) bool { return x.bootID() == id }
	u.crashes, u.pending = slices.DeleteFunc(u.crashes, of), slices.DeleteFunc(u.pending, of)
}

// suspectKey returns the task for which the suspicion against the task is kept.
func (t *task) suspectKey() *task {
	if t.step().Gang {
		return t.stage.tasks[0]
	}
	return t
}

// suspicionOf returns what is held against a task, nil if there is nothing.
func (s *Scheduler) suspicionOf(t *task) *suspicion {
	if t.stage.suspects == 0 {
		return nil
	}
	return s.suspects[t.suspectKey()]
}

// suspectOf returns the suspicion against a task that starts on trial, nil for any other one.
func (s *Scheduler) suspectOf(t *task) *suspicion {
	if u := s.suspicionOf(t); u != nil && u.isSuspect() {
		return u
	}
	return nil
}

// suspect returns the suspicion against a task, a new one if there is none.
func (s *Scheduler) suspect(t *task) *suspicion {
	t = t.suspectKey()
	u := s.suspects[t]
	if u == nil {
		u = &suspicion{task: t}
		s.suspects[t] = u
		t.stage.suspects++
	}
	return u
}

// acquit ends the suspicion against a task, if there is one.
func (s *Scheduler) acquit(t *task, reason string) {
	u := s.suspicionOf(t)
	if u == nil {
		return
	}
	if u.trial != nil {
		s.endTrial(u.trial)
	}
	delete(s.suspects, u.task)
	u.task.stage.suspects--
	s.journal.recordCrashes(t.job())
	if !u.isSuspect() {
		return
	}
	s.recordEvent(Event{Kind: "suspect cleared", Job: t.job().id, Task: u.task.name, Reason: reason})
}

// hasSurvived reports whether the run is known to have been on its worker for longer than its task takes to crash it.
func (s *Scheduler) hasSurvived(r *run) bool {
	if u := s.suspicionOf(r.task); u != nil && u.late() > 0 {
		return r.hasLasted(lateSurvivalPeriod)
	}
	return r.hasLasted(survivalPeriod)
}

// hasLasted reports whether the run is known to have been on its worker for the period of the worker's clock.
func (r *run) hasLasted(period time.Duration) bool {
	return r.firstClock > 0 && r.worker.clock-r.firstClock >= period.Milliseconds()
}

// isFresh reports whether the run may crash its worker at any moment. A task that is no suspect isn't expected to do so
// late.
func (s *Scheduler) isFresh(r *run) bool {
	return !r.isBarred() && (!r.hasLasted(survivalPeriod) || (s.suspectOf(r.task) != nil && !s.hasSurvived(r)))
}

// culprits returns the runs of the worker that may have crashed it, ordered by task name and run number: the fresh
// ones, and those that may do so late. No late ones are returned if the only fresh one was the only suspect of a crash
// before.
func (s *Scheduler) culprits(w *Worker) (fresh, late []*run) {
	for _, r := range s.runsOf(w) {
		switch {
		case !r.isStartable():
			// It was not started.
		case s.isFresh(r):
			fresh = append(fresh, r)
		case !r.hasLasted(lateSurvivalPeriod):
			late = append(late, r)
		}
	}
	if len(fresh) > 0 && isOneSuspect(fresh) {
		if u := s.suspectOf(fresh[0].task); u != nil && u.alone() > 0 {
			late = nil
		}
	}
	return fresh, late
}

// lapse is the loss of all runs on one boot of a worker.
type lapse struct {
	bootID
	address string
	at      time.Time
	// lost is set once the runs are lost, and not while the worker is only silent. replaced is set once a worker of
	// a later start has answered at the address, crashed once the losses are blamed.
	lost, replaced, crashed bool
	losses                  []taskLoss
}

// taskLoss is the loss of a run of a task that may have crashed the worker.
type taskLoss struct {
	task *task
	loss loss
}

// addLapse returns the lapse of a boot, a new one if there is none.
func (s *Scheduler) addLapse(now time.Time, id bootID, address string) *lapse {
	l := s.lapses[id]
	if l == nil {
		l = &lapse{bootID: id, address: address, at: now}
		for _, w := range s.workers {
			l.replaced = l.replaced || l.isReplacedBy(w)
		}
		s.lapses[id] = l
	}
	return l
}

// recordLapse notes that all runs of a worker are about to be lost. A worker that drains may end them.
func (s *Scheduler) recordLapse(now time.Time, w *Worker) {
	if w.Draining || len(w.runs) == 0 {
		return
	}
	l := s.addLapse(now, bootID{w.ID, w.Boot}, w.Address)
	l.lost, l.losses = true, nil
	fresh, late := s.culprits(w)
	alone := len(w.unknownRuns) == 0 && s.isOnlySuspect(fresh, late)
	for i, r := range slices.Concat(fresh, late) {
		isLate := i >= len(fresh)
		x := loss{
			Worker: w.ID, Boot: w.Boot, Address: w.Address, Run: r.number, Alone: alone && !isLate, Late: isLate,
		}
		if u := s.suspicionOf(r.task); u != nil && u.trial != nil {
			s.endTrial(u.trial)
		}
		s.addLoss(l, r, x)
	}
}

// recordSilence notes the runs that may have crashed a worker that doesn't answer. The next leader may be the one to
// learn that it has crashed.
func (s *Scheduler) recordSilence(now time.Time, w *Worker) {
	fresh, late := s.culprits(w)
	if len(fresh) == 0 || w.Draining {
		return
	}
	l := s.addLapse(now, bootID{w.ID, w.Boot}, w.Address)
	alone := len(w.unknownRuns) == 0 && s.isOnlySuspect(fresh, late)
	for _, r := range fresh {
		s.addLoss(l, r, loss{Worker: w.ID, Boot: w.Boot, Address: w.Address, Run: r.number, Alone: alone})
	}
}

// addLoss adds a loss of which it is not known yet whether the worker has crashed.
func (s *Scheduler) addLoss(l *lapse, r *run, x loss) {
	l.losses = append(l.losses, taskLoss{r.task.suspectKey(), x})
	if !r.task.done && !r.task.job().isFinal() {
		s.suspect(r.task).addPending(x)
		s.journal.recordCrashes(r.task.job())
	}
}

// isOnlySuspect reports whether all fresh runs belong to one task or gang, and a late run is no more likely to have
// crashed the worker: one that was lost to a crash before, if the task itself was lost to one crash at most.
func (s *Scheduler) isOnlySuspect(fresh, late []*run) bool {
	if len(fresh) == 0 || !isOneSuspect(fresh) {
		return false
	}
	u := s.suspicionOf(fresh[0].task)
	return (u != nil && u.count() > 1) ||
		!slices.ContainsFunc(late, func(r *run) bool {
			other := s.suspicionOf(r.task)
			return other != nil && len(other.crashes) > 0
		})
}

// isOneSuspect reports whether all runs belong to one task or gang.
func isOneSuspect(runs []*run) bool {
	for _, r := range runs {
		if r.task.suspectKey() != runs[0].task.suspectKey() {
			return false
		}
	}
	return true
}

// isReplacedBy reports whether the worker has answered at the address after a later start, so that the lost boot listens
// there no more.
func (l *lapse) isReplacedBy(w *Worker) bool {
	return w.contacted && w.Address == l.address && w.Boot > l.boot
}

// noteRegistration applies what a worker's registration says about its runs if they were lost.
func (s *Scheduler) noteRegistration(r *Registration) {
	if id := (bootID{r.ID, r.Boot}); r.Draining && s.lapses[id] != nil {
		s.withdrawLapse(id, "worker drains")
	}
}

// judgeLapses blames the losses with workers that turn out to have crashed.
func (s *Scheduler) judgeLapses(now time.Time) {
	if len(s.lapses) == 0 {
		return
	}
	ids := slices.SortedFunc(maps.Keys(s.lapses), func(a, b bootID) int {
		return cmp.Or(cmp.Compare(a.worker, b.worker), cmp.Compare(a.boot, b.boot))
	})
	for _, id := range ids {
		l := s.lapses[id]
		reason := s.crashReason(l)
		if l.crashed || !l.lost || reason == "" {
			continue
		}
		l.crashed = true
		s.recordEvent(Event{Kind: "worker crashed", Worker: id.worker, Reason: reason, Age: now.Sub(l.at)})
		for _, x := range l.losses {
			s.blame(now, x.task, x.loss)
		}
	}
}

// crashReason says why the worker must have crashed, empty if it may live on. A worker that is cut off or frozen stays
// listed, or answers again under the same boot.
func (s *Scheduler) crashReason(l *lapse) string {
	w := s.workers[l.worker]
	_, unaccounted := s.unaccounted[l.worker]
	switch {
	case l.replaced:
		return "another boot at its address"
	case w != nil && (w.bootUnknown || w.Boot != l.boot):
		return "another boot answered"
	case !unaccounted && (w == nil || !w.listed):
		return "left the list without draining"
	}
	return ""
}

// blame counts a crash against a task, and fails its job once it is certain enough that the task crashes its workers.
func (s *Scheduler) blame(now time.Time, t *task, x loss) {
	if t.done || t.job().isFinal() {
		return
	}
	u := s.suspect(t)
	u.removePending(x.bootID(), x.Run)
	s.journal.recordCrashes(t.job())
	if slices.ContainsFunc(u.crashes, func(other loss) bool { return other.Run == x.Run && other.bootID() == x.bootID() }) {
		return
	}
	u.crashes = append(u.crashes, x)
	if t.step().Gang {
		// The next start gets a run number of its own, so that a crash under it counts.
		s.stopGang(t.stage)
	}
	if !u.isSuspect() {
		return
	}
	s.recordEvent(Event{
		Kind: "suspect", Job: t.job().id, Task: t.name, Run: x.Run, Worker: x.Worker,
		Reason: "crashes " + strconv.Itoa(u.count()) + ", alone " + strconv.Itoa(u.alone()) + ", workers " +
			strconv.Itoa(len(u.crashes)),
	})
	if u.isProven() {
		s.recordEvent(Event{
			Kind: "job failed", Job: t.job().id, Task: t.name, Run: x.Run, Worker: x.Worker, Reason: "crashed its workers",
		})
		s.close(now, t.job(), StateFailed)
	}
}

// stopGang stops the members of a gang that has lost one, so that all of them start again on trial.
func (s *Scheduler) stopGang(st *stage) {
	for _, t := range st.tasks {
		for _, r := range t.runs {
			s.stopRun(r, "a member was lost with its worker")
		}
	}
}

// withdrawLapse takes back what was blamed on the runs of a worker that has not crashed.
func (s *Scheduler) withdrawLapse(id bootID, reason string) {
	l := s.lapses[id]
	if l == nil {
		return
	}
	delete(s.lapses, id)
	if l.crashed {
		s.recordEvent(Event{Kind: "crash withdrawn", Worker: id.worker, Reason: reason})
	}
	for _, x := range l.losses {
		u := s.suspects[x.task]
		if u == nil {
			continue
		}
		u.removeBoot(id)
		s.journal.recordCrashes(x.task.job())
		s.acquitBlameless(u, reason)
	}
}

// acquitBlameless ends a suspicion for which nothing is left.
func (s *Scheduler) acquitBlameless(u *suspicion, reason string) {
	if len(u.crashes) == 0 && len(u.pending) == 0 {
		s.acquit(u.task, reason)
	}
}

// expireLapses forgets the lapses of which nothing more is expected.
func (s *Scheduler) expireLapses(now time.Time) {
	for id, l := range s.lapses {
		if now.Sub(l.at) <= lapseRetention {
			continue
		}
		delete(s.lapses, id)
		for _, x := range l.losses {
			if u := s.suspects[x.task]; u != nil {
				u.removePending(id, x.loss.Run)
				s.journal.recordCrashes(x.task.job())
				s.acquitBlameless(u, "nothing is known of its worker")
			}
		}
	}
}

// acquitSurvivors ends the suspicion against the tasks that have survived their start on the worker.
func (s *Scheduler) acquitSurvivors(w *Worker) {
	if len(s.suspects) == 0 {
		return
	}
	var survivors []*run
	for _, r := range w.runs {
		if s.suspicionOf(r.task) != nil && s.isSurvivor(r) {
			survivors = append(survivors, r)
		}
	}
	sortRuns(survivors)
	for _, r := range survivors {
		s.acquit(r.task, "survived")
	}
}

// isSurvivor reports whether the task of the run has survived its start, a gang with all members.
func (s *Scheduler) isSurvivor(r *run) bool {
	if !r.task.step().Gang {
		return s.hasSurvived(r)
	}
	for _, t := range r.task.stage.tasks {
		if !slices.ContainsFunc(t.runs, s.hasSurvived) {
			return false
		}
	}
	return true
}

// acquitEnded ends the suspicion against a task whose run has ended by itself or was stopped.
func (s *Scheduler) acquitEnded(t *task, reason EndReason) {
	switch {
	case reason == EndDone, !t.step().Gang && (reason == EndFailed || reason == EndStopped):
		s.acquit(t, string(reason))
	}
}
