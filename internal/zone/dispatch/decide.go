package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// lateFactor times the objective is the time after which a late result is no longer of use to the caller.
	lateFactor = 3
	// maintenanceInterval is the interval of the periodic work of Decide: it removes expired jobs, updates the scarcity
	// of workers and the demand of short tasks, and records what was learned.
	maintenanceInterval = time.Second
)

// Decide returns the orders that are due. No later leader had begun its term by confirmedAt.
func (s *Scheduler) Decide(now, confirmedAt time.Time) []Order {
	s.confirmedAt = confirmedAt
	s.expireLeases(now, confirmedAt)
	s.refreshLeaseRecord(now)
	s.uncountAccounted()
	s.uncountStrays(now)
	s.countStops()
	s.judgeLapses(now)
	s.sendStops(now)
	s.sendBars(now)
	s.sendRecordedStarts(now)
	s.repeatStarts(now)
	for j := range s.recurring {
		s.openDueOccurrences(now.Add(s.limits.MaxEarlyStart/2), j)
	}
	if now.Sub(s.lastMaintenanceAt) > maintenanceInterval {
		s.lastMaintenanceAt = now
		s.expireJobs(now)
		s.forgetUnlisted(now)
		s.expireLapses(now)
		s.updateScarcity()
		s.updateShortDemand()
		s.recordLearned(now)
		s.reportWaits(now)
		s.clearQuotaEpisodes(now)
	}
	s.sortReady(now)
	if !s.halted {
		s.startHeld(now)
		s.startReady(now)
		s.reclaimRoom(now)
		s.holdRoom(now)
		s.moveFromLeavingWorkers(now, confirmedAt)
		s.clearChanges()
	}
	out := s.orders
	s.orders = nil
	return out
}

// urgency says whether the work of a stage can still be done within its job's objective. The zero value means that it
// can.
type urgency int

const (
	// urgencyLate means that the objective will be missed and the result will still be of some use.
	urgencyLate urgency = iota + 1
	// urgencyMissed means that the result will come too late to be of use, see lateFactor.
	urgencyMissed
)

// rank orders the waiting stages: by priority, then by urgency, then by the latest time at which the rest of the job
// has to start.
type rank struct {
	priority      int
	urgency       urgency
	latestStartAt time.Time
}

// rank returns the rank of a stage at the given time.
func (s *Scheduler) rank(now time.Time, st *stage) rank {
	j := st.job()
	countedFrom := j.countedFrom(st.occurrence)
	remaining := j.remainingTime[st.index]
	r := rank{priority: j.priority, latestStartAt: countedFrom.Add(j.objective - remaining)}
	switch {
	case st.step().LongRunning && !st.yieldedAt.IsZero() && now.Sub(st.yieldedAt) < yieldPeriod:
		r.latestStartAt = now.Add(yieldPeriod)
	case st.step().LongRunning:
		r.latestStartAt = countedFrom
	case now.After(countedFrom.Add(lateFactor*j.objective - remaining)):
		r.urgency = urgencyMissed
	case now.After(r.latestStartAt):
		// Among late stages the shortest goes first, which gives the most results for the same room.
		r.urgency, r.latestStartAt = urgencyLate, countedFrom.Add(remaining)
	}
	return r
}

// countedFrom returns the time from which the objective of an occurrence counts.
func (j *Job) countedFrom(o *occurrence) time.Time {
	if j.spec.OccurrenceCount > 0 {
		return j.acceptedAt.Add(j.spec.DueTime(o.index).Sub(j.acceptedWall))
	}
	return j.acceptedAt
}

// compare returns a negative number if r comes before o, a positive one if it comes after o, and 0 if they are equal.
func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.priority, o.priority), cmp.Compare(r.urgency, o.urgency),
		r.latestStartAt.Compare(o.latestStartAt),
	)
}

// sortReady removes the stages without waiting tasks from the ready list and orders the others by rank.
func (s *Scheduler) sortReady(now time.Time) {
	type ranked struct {
		st *stage
		r  rank
	}
	list := make([]ranked, 0, len(s.ready))
	for _, st := range s.ready {
		if st.waiting == 0 || st.job().isFinal() {
			st.inReady = false
			continue
		}
		list = append(list, ranked{st, s.rank(now, st)})
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(a.r.compare(b.r), cmp.Compare(a.st.job().id, b.st.job().id))
	})
	clear(s.ready)
	s.ready = s.ready[:0]
	for _, l := range list {
		s.ready = append(s.ready, l.st)
	}
}

// failedPlacement is a size for which no worker was found, so that larger tasks of the same kind need not be tried.
type failedPlacement struct {
	service                 string
	bestEffort, longRunning bool
	// image is set for best-effort tasks only: an image that disturbs the long-running tasks of one worker may not
	// disturb those of another.
	image string
	size  fleet.Size
}

// newFailedPlacement returns the placement of the stage's tasks, should it fail.
func newFailedPlacement(st *stage) failedPlacement {
	step := st.step()
	p := failedPlacement{
		service: st.job().service, bestEffort: step.BestEffort, longRunning: step.LongRunning, size: step.Size,
	}
	if step.BestEffort {
		p.image = step.Image
	}
	return p
}

// implies reports whether the other placement fails as well. The failure of a long-running task tells nothing about
// others, to which more room is open.
func (p failedPlacement) implies(other failedPlacement) bool {
	return p.service == other.service && p.bestEffort == other.bestEffort && p.image == other.image &&
		(!p.longRunning || other.longRunning) && p.size.Fits(other.size)
}

// startReady starts the waiting tasks that fit on a worker, the most urgent first.
func (s *Scheduler) startReady(now time.Time) {
	s.startTrials(now)
	ready := slices.Clone(s.ready)
	if s.hasTeams() {
		s.startInPasses(now, ready)
		return
	}
	var failed []failedPlacement
	for _, st := range ready {
		s.startWaiting(now, st, &failed)
	}
}

// startWaiting starts the waiting tasks of a stage that fit on a worker. failed holds the placements that have failed in this
// decision.
func (s *Scheduler) startWaiting(now time.Time, st *stage, failed *[]failedPlacement) {
	j := st.job()
	// A job whose acceptance is not durable may be submitted again to a later leader, which would not know of its
	// runs. Restored tasks may already run on workers that have not reported in this term.
	if max(j.acceptedBatch, st.occurrence.batch) > s.journal.committed {
		st.waitReason = waitUnconfirmed
		return
	}
	if j.restored && !s.allWorkersAccounted() && !s.hasStartableTask(st) {
		st.waitReason = waitUnaccounted
		return
	}
	s.startOverdue(now, st)
	s.prepareTrials(now, st)
	placement := newFailedPlacement(st)
	if slices.ContainsFunc(*failed, func(f failedPlacement) bool { return f.implies(placement) }) {
		st.waitReason = waitSmallerFailed
		s.markNoRoom(st)
		return
	}
	if s.limitsTeams() && !s.mayStart(now, st, st.startSize()) {
		return
	}
	var noWorker bool
	if st.step().Gang {
		noWorker = !s.startGang(now, st)
	} else {
		noWorker = !s.startStage(now, st)
	}
	if noWorker && st.runsAnywhere() {
		*failed = append(*failed, placement)
		s.noteFull(st)
	}
}

// runsAnywhere reports whether any worker with room can take the stage's tasks.
func (st *stage) runsAnywhere() bool {
	step := st.step()
	return step.Label == "" && step.MaxPerWorker == 0 && !step.Gang && !st.job().needsTicket
}

// startStage starts the waiting tasks of a stage. It returns false if no worker has room for a plain one of them.
func (s *Scheduler) startStage(now time.Time, st *stage) bool {
	if st.job().needsTicket && !s.ensureTicket(now, st) {
		st.waitReason = waitTicket
		return true
	}
	var c stageChoice
	for _, t := range st.tasks {
		if !t.queued || t.isOverdue(now) || s.suspectOf(t) != nil {
			continue
		}
		if s.mayRunUnaccounted(t) {
			st.waitReason = waitUnaccounted
			continue
		}
		if now.Before(t.notBefore) {
			st.waitReason = waitPause
			continue
		}
		if t.step().LongRunning && !s.mayStartLongRunning(now, t) {
			st.waitReason = waitFreeSlots
			continue
		}
		if !s.mayStart(now, st, 1) {
			return true
		}
		w, noRoom := s.chooseWorker(now, t, &c)
		if w == nil {
			st.waitReason = waitNoWorker
		}
		if noRoom {
			s.markNoRoom(st)
			return false
		}
		if w == nil {
			continue
		}
		s.startRun(now, t, w)
		if c.list != nil {
			s.rerate(now, c.list, t, w)
		}
	}
	return true
}

// startGang starts all members of a gang or none. It returns false if there is no room for all of them.
func (s *Scheduler) startGang(now time.Time, st *stage) bool {
	if st.job().needsTicket && !s.ensureTicket(now, st) {
		return true
	}
	for _, t := range st.tasks {
		if now.Before(t.notBefore) {
			return true
		}
		if len(t.runs) > 0 && t.runs[0].phase == phaseStopping {
			return true
		}
	}
	if live := len(st.tasks) - st.waiting; live > 0 {
		return s.completeGang(now, st)
	}
	if u := s.suspectOf(st.tasks[0]); u != nil {
		s.prepareGangTrial(now, st, u)
		return true
	}
	if !s.mayStart(now, st, len(st.tasks)) {
		return true
	}
	plan := s.planGang(now, st)
	if plan == nil {
		return false
	}
	if g := st.gangWait; g != nil && g.remote {
		s.recordRemoteGang(now, st.tasks[0], plan[0], g.decision.Reason)
	}
	for i, t := range st.tasks {
		s.startRun(now, t, plan[i])
	}
	return true
}

// completeGang starts the members whose start was refused, beside those that run already. It leaves out members that
// have ended in the present run: their end also ends the other members, and the gang starts again once all are gone. It
// returns false if no worker was found for a member.
func (s *Scheduler) completeGang(now time.Time, st *stage) bool {
	for _, t := range st.tasks {
		if !t.queued || t.lastEndedRun >= st.gangRunNumber {
			continue
		}
		if !s.mayStart(now, st, st.nextStart()) {
			return true
		}
		w := s.findMember(now, t)
		if w == nil {
			return false
		}
		s.startRun(now, t, w)
	}
	return true
}
