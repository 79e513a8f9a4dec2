package dispatch

import (
	"math"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// maxTrialHold is how long a worker gets no other starts until the runs there have survived and the trial is in the
	// log.
	maxTrialHold = time.Second
	// maxTrialShare is the share of the workers of a service that are on trial at once, until a suspect has waited for
	// maxTrialWait because of the trials of others.
	maxTrialShare = 0.5
	maxTrialWait  = 3 * time.Second
	// maxLongRunningTrialWait is the same for long-running tasks, which have to run again soon. After that time up to
	// maxSharedTrials of them are on trial on one worker, if no more than one crash is blamed on each.
	maxLongRunningTrialWait = time.Second
	maxSharedTrials         = 4
	// maxRepeatShare is the share of the workers of a service that are used at once for trials of tasks that were the
	// only suspect of a crash, and the same for two crashes: most of them crash their worker again. Long-running tasks
	// are counted apart, so that they don't wait for the others.
	maxRepeatShare = 0.125
	// trialRetryInterval is the interval at which a worker is looked for again.
	trialRetryInterval = 100 * time.Millisecond
	// trialRenewalWait is how long a worker with a trial may delay its answer to a lease renewal.
	trialRenewalWait = 100 * time.Millisecond
)

// trial is a start of a suspect apart from others. Until the suspect has survived, or has ended, its workers get no
// other starts. The next leader counts a crash of one of the workers, so the trial is in the log before the start is
// ordered.
type trial struct {
	suspicion *suspicion
	members   []trialMember
	// run is the run number.
	run int
	// batch is the batch with the record of the trial. The start is not ordered before it is committed.
	batch BatchID
	// isCounted is set while the tasks count against the quota of their team before their start.
	isCounted bool
	// heldAt is since when the workers get no other starts.
	heldAt  time.Time
	started bool
}

// trialMember is a task on trial: the suspect, or a member of a suspect gang.
type trialMember struct {
	task   *task
	worker *Worker
	boot   int64
}

// prepareTrials chooses workers for the waiting suspects of a stage.
func (s *Scheduler) prepareTrials(now time.Time, st *stage) {
	if st.suspects == 0 {
		return
	}
	for _, t := range st.tasks {
		if t.queued && !now.Before(t.notBefore) && !s.mayRunUnaccounted(t) {
			if u := s.suspectOf(t); u != nil {
				if u.trial == nil && !s.mayStart(now, st, 1) {
					return
				}
				s.prepareTrial(now, u, func() []*Worker { return s.findTrialWorker(now, u) })
			}
		}
	}
}

// prepareGangTrial chooses workers for a suspect gang.
func (s *Scheduler) prepareGangTrial(now time.Time, st *stage, u *suspicion) {
	if u.trial == nil && !s.mayStart(now, st, len(st.tasks)) {
		return
	}
	s.prepareTrial(now, u, func() []*Worker {
		workers := s.planGang(now, st)
		if slices.ContainsFunc(workers, func(w *Worker) bool { return w.trials > 0 }) {
			return nil
		}
		return workers
	})
}

// prepareTrial holds the workers that find returns for a trial, unless there are too many trials or none is found.
func (s *Scheduler) prepareTrial(now time.Time, u *suspicion, find func() []*Worker) {
	if u.trial != nil || now.Before(u.retryAt) || s.journal.committed < s.trialBarrier {
		return
	}
	u.retryAt = now.Add(trialRetryInterval)
	if u.waitsSince.IsZero() {
		u.waitsSince = now
	}
	if !s.mayTry(now, u) {
		return
	}
	if workers := find(); len(workers) > 0 {
		s.beginTrial(now, u, workers)
	}
}

// mayTry reports whether few enough other trials of the service go on. A trial whose worker doesn't answer any more
// takes no room from other tasks.
func (s *Scheduler) mayTry(now time.Time, u *suspicion) bool {
	service, longRunning := u.task.job().service, u.task.step().LongRunning
	alone := u.alone()
	trials, repeated := 0, 0
	for _, tr := range s.trials {
		switch other := tr.suspicion.alone(); {
		case tr.suspicion.task.job().service != service:
		case other > 0 && other == alone && tr.suspicion.task.step().LongRunning == longRunning:
			repeated++
		case other == 0 && tr.members[0].worker.isUsable():
			trials++
		}
	}
	workers := float64(len(s.byService[service]))
	if alone > 0 {
		return repeated < max(1, int(maxRepeatShare*workers))
	}
	return trials < max(1, int(maxTrialShare*workers)) || u.isOverdue(now)
}

// isOverdue reports whether the suspect has waited for long because of the trials of others.
func (u *suspicion) isOverdue(now time.Time) bool {
	limit := maxTrialWait
	if u.task.step().LongRunning {
		limit = maxLongRunningTrialWait
	}
	return !u.waitsSince.IsZero() && now.Sub(u.waitsSince) >= limit
}

// mayShare reports whether the suspect may be on trial on the same worker as another one.
func (u *suspicion) mayShare() bool {
	return u.task.step().LongRunning && u.count() <= 1 && u.alone() == 0
}

// admitsSuspect reports whether another suspect may be on trial beside those on the worker. If the worker doesn't answer,
// one of those may just have crashed it.
func (s *Scheduler) admitsSuspect(now time.Time, w *Worker) bool {
	if w.trials >= maxSharedTrials || now.Sub(w.clockAt) >= survivalPeriod {
		return false
	}
	return !slices.ContainsFunc(s.trials, func(tr *trial) bool { return tr.isOn(w) && !tr.suspicion.mayShare() })
}

// isOn reports whether the trial uses the worker.
func (tr *trial) isOn(w *Worker) bool {
	return slices.ContainsFunc(tr.members, func(m trialMember) bool { return m.worker == w })
}

// findTrialWorker returns the worker on which a crash costs least, nothing if none without a trial has room.
func (s *Scheduler) findTrialWorker(now time.Time, u *suspicion) []*Worker {
	var best *Worker
	waits := false
	bestCost := math.Inf(1)
	for _, w := range s.byService[u.task.job().service] {
		score, ok := s.rate(now, u.task, w, nil)
		if !ok || w.hasNextRun(u.task) {
			continue
		}
		if w.trials > 0 && (!u.mayShare() || !u.isOverdue(now) || !s.admitsSuspect(now, w)) {
			waits = true
			continue
		}
		if cost := s.trialCost(w) - scoreShareOfCost*score; cost < bestCost {
			best, bestCost = w, cost
		}
	}
	if best != nil {
		return []*Worker{best}
	}
	if !waits {
		// The suspect waits for room, like any other task.
		u.waitsSince = time.Time{}
	}
	return nil
}

// The costs of a trial on a worker for each other trial there, for fresh runs, and for each run that may crash the
// worker late or would be lost in a crash, relative to the loss of all cores of the worker.
const (
	otherTrialCost = 4
	freshRunsCost  = 2
	unclearedCost  = 1
	runCost        = 0.05
	// scoreShareOfCost weighs the usual score of a worker against these.
	scoreShareOfCost = 0.02
)

// trialCost returns what a trial on the worker costs if the worker crashes.
func (s *Scheduler) trialCost(w *Worker) float64 {
	cost := otherTrialCost * float64(w.trials)
	fresh := false
	for _, r := range w.runs {
		fresh = fresh || s.isFresh(r)
		if !s.hasSurvived(r) {
			cost += unclearedCost
		}
		cost += runCost + float64(r.task.step().Size.Cores)/float64(max(1, w.Capacity.Cores))
	}
	if fresh {
		cost += freshRunsCost
	}
	return cost
}

// beginTrial begins a trial: its workers get no other starts from now on.
func (s *Scheduler) beginTrial(now time.Time, u *suspicion, workers []*Worker) {
	tr := &trial{suspicion: u, run: u.task.lastRun + 1, heldAt: now}
	tasks := []*task{u.task}
	if st := u.task.stage; st.step().Gang {
		tasks, tr.run = st.tasks, st.nextGangRunNumber()
	}
	for i, w := range workers {
		w.trials++
		tr.members = append(tr.members, trialMember{tasks[i], w, w.Boot})
	}
	alone := s.isAlone(tr)
	for _, w := range workers {
		alone = alone && w.trials == 1
	}
	s.markShared(tr)
	for _, w := range workers {
		u.addPending(loss{Worker: w.ID, Boot: w.Boot, Address: w.Address, Run: tr.run, Alone: alone})
	}
	for _, m := range tr.members {
		s.recordPlacement(m.task, m.worker)
	}
	tr.countTrial()
	u.trial = tr
	s.trials = append(s.trials, tr)
	tr.batch = s.journal.recordCrashes(u.task.job())
}

// markShared notes for the trials on the workers of a new one that their suspects aren't the only ones any more.
func (s *Scheduler) markShared(added *trial) {
	for _, tr := range s.trials {
		if !slices.ContainsFunc(added.members, func(m trialMember) bool { return tr.isOn(m.worker) }) {
			continue
		}
		for i := range tr.suspicion.pending {
			if x := &tr.suspicion.pending[i]; x.Run == tr.run {
				x.Alone = false
			}
		}
		s.journal.recordCrashes(tr.suspicion.task.job())
	}
}

// isAlone reports whether all runs on the workers of the trial have survived, apart from those on trial.
func (s *Scheduler) isAlone(tr *trial) bool {
	for _, m := range tr.members {
		for _, r := range m.worker.runs {
			if u := s.suspicionOf(r.task); s.isFresh(r) && (u == nil || u.trial == nil || u.trial.run != r.number) {
				return false
			}
		}
	}
	return true
}

// startTrials orders the starts of the trials that are in the log.
func (s *Scheduler) startTrials(now time.Time) {
	for _, tr := range slices.Clone(s.trials) {
		switch {
		case tr.started:
		case !s.mayStartTrial(now, tr):
			s.endTrial(tr)
		case tr.batch > s.journal.committed && now.Sub(tr.heldAt) >= maxTrialHold:
			s.trialBarrier = max(s.trialBarrier, tr.batch)
			s.endTrial(tr)
		case tr.batch <= s.journal.committed && (s.isAlone(tr) || now.Sub(tr.heldAt) >= maxTrialHold):
			tr.started = true
			tr.uncountTrial()
			tr.suspicion.waitsSince = time.Time{}
			for _, m := range tr.members {
				s.startRun(now, m.task, m.worker)
			}
		}
	}
}

// mayStartTrial reports whether the workers of a trial can still take its tasks.
func (s *Scheduler) mayStartTrial(now time.Time, tr *trial) bool {
	st := tr.suspicion.task.stage
	p := &gangPlan{reserved: map[*Worker]fleet.Size{}, members: map[*Worker]int{}}
	if !s.fitsTeam(st, 0) {
		return false
	}
	for _, m := range tr.members {
		if !m.task.queued || m.task.lastRun >= tr.run || m.worker.Boot != m.boot || now.Before(m.task.notBefore) {
			return false
		}
		if _, ok := s.rate(now, m.task, m.worker, p); !ok {
			return false
		}
		p.reserved[m.worker] = p.reserved[m.worker].Add(st.step().Reserved())
		p.members[m.worker]++
	}
	return true
}

// endTrial ends a trial without a judgement.
func (s *Scheduler) endTrial(tr *trial) {
	s.trials = removeFirst(s.trials, tr)
	tr.uncountTrial()
	tr.suspicion.trial = nil
	for _, m := range tr.members {
		m.worker.trials--
		s.markChanged(m.worker)
		tr.suspicion.removePending(bootID{m.worker.ID, m.boot}, tr.run)
	}
	s.journal.recordCrashes(tr.suspicion.task.job())
}

// noteDetached ends the trial of a run that is gone. A run that wasn't lost with its worker is innocent.
func (s *Scheduler) noteDetached(r *run) {
	u := s.suspicionOf(r.task)
	if u == nil {
		return
	}
	if u.trial != nil && u.trial.started && u.trial.run == r.number {
		s.endTrial(u.trial)
	}
	id := bootID{r.worker.ID, r.worker.Boot}
	if l := s.lapses[id]; l != nil && !l.lost {
		u.removePending(id, r.number)
		s.journal.recordCrashes(r.task.job())
		s.acquitBlameless(u, "not lost")
	}
}
