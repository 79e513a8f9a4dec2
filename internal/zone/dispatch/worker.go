package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Registration is a worker's entry in the platform's list of workers.
type Registration struct {
	ID string
	// Boot is the time at which the worker started, in milliseconds since 1970. It changes with each restart.
	Boot    int64
	Service string
	Address string
	Zone    string
	Rack    string
	// Labels are all labels of the worker, among them its rack.
	Labels   []string
	Capacity fleet.Size
	Draining bool
	// LeavesIn is the least time that is left until a draining worker leaves.
	LeavesIn time.Duration
	// ColdFor is for how much longer the worker is slow because it has just started.
	ColdFor time.Duration
}

// runPhase is the phase of a run.
type runPhase int

const (
	// phaseOrdered means that the start was sent or is about to be sent.
	phaseOrdered runPhase = iota + 1
	// phaseUnanswered means that the start got no answer; the worker may still carry it out.
	phaseUnanswered
	// phaseRunning means that the worker has confirmed the run.
	phaseRunning
	// phaseStopping means that the run was ordered to stop. It occupies its room until its end is listed.
	phaseStopping
)

// run is one start of a task on a worker.
type run struct {
	task   *task
	number int
	worker *Worker
	// use is what the run counts for, nil while it is not attached.
	use   *teamUse
	phase runPhase
	// startedAt is when the start was decided, waitingSince when the task had become waiting before that.
	startedAt, waitingSince time.Time
	// startUntil is the time of the worker's clock after which it refuses the start. confirmedClock is the latest time
	// of that clock at which the worker confirmed the run or an order for it.
	startUntil, confirmedClock int64
	// awaitsRecord is set while the start is not ordered because the record of the worker is not durable.
	awaitsRecord bool
	// firstClock is the earliest time of that clock at which the run is known to have been on the worker, 0 if none is.
	firstClock int64
	// listedIn is the last report of the worker that listed the run, counted by Worker.reports.
	listedIn uint64
	// unlistedClock is the time of that clock at which a report first didn't list the run, 0 if the last one did.
	unlistedClock int64
	// confirmed is set once the worker has confirmed the start or listed the run.
	confirmed bool
	// stopAnswered is set once the worker has answered an order to stop the run. The order is repeated, and the later
	// answers don't put off the release of a run that the worker doesn't list.
	stopAnswered bool
	// barred is set once the worker was told to refuse the start.
	barred bool
	// starts are the orders to start the run, repeats the number of those after the first.
	starts  inFlight
	repeats int
	// outlivedBoot is set if one of these orders may have been made for a former boot of the worker.
	outlivedBoot bool
	// unansweredRecorded is set while the log may hold a record of an unanswered start of the run.
	unansweredRecorded bool
	// progress is the share of the work that is done, in percent.
	progress int
	// progressedAt is when the progress last changed or could not be expected to.
	progressedAt time.Time
	// measuredAt is when the progress was last measured, the zero time if the progress says nothing about the worker's
	// speed. measuredProgress was the progress then.
	measuredAt       time.Time
	measuredProgress int
	// savedAt is when the worker first listed the newest checkpoint of the run, the zero time if it listed none.
	savedAt time.Time
	// reading is the tail latency in milliseconds of a long-running task, or the cores that another task uses, in
	// thousandths.
	reading int
	// pace is the share of its speed at which the worker was told to run the task, targetPace the share that it should
	// have, both in percent.
	pace, targetPace int
	// pacePending is set while a pace order has no answer.
	pacePending bool
	// overSince is when a long-running task was first seen over its target, the zero time once two readings in a row
	// were below it, since readings are imprecise. belowTarget is set if the last reading was below it.
	overSince   time.Time
	belowTarget bool
	// readySince is when the progress was first reported as 100 percent.
	readySince time.Time
	// pausedSince is when a best-effort task was paused, the zero time while it may work.
	pausedSince time.Time
	// headroom is the share of a long-running task's capacity that was free of pressure at its last reading,
	// previousHeadroom the same at the reading before. Both are 0 without a reading.
	headroom, previousHeadroom float64
}

// runKey identifies a run on a worker.
type runKey struct {
	task   string
	number int
}

// Worker is what the leader knows of a worker in its present boot.
type Worker struct {
	Registration
	// contacted is set once the worker has answered under this term's token, which bars orders of earlier terms.
	contacted bool
	// recordBatch is the batch with the record that tasks may run on this worker. No task starts before it is
	// committed.
	recordBatch BatchID
	// listed is set while the worker is in the platform's list. unlistedAt is when it was last seen to be missing there, the
	// zero time if it has never been listed in this term.
	listed     bool
	unlistedAt time.Time
	// runs holds the runs that occupy the worker, among them those that are being stopped.
	runs map[runKey]*run
	// unknownRuns holds runs of tasks that are not known, with the time of the worker's clock when they were last
	// listed. Nothing is started beside them, since their size is not known.
	unknownRuns map[runKey]int64
	// reports counts the worker's reports.
	reports uint64
	// reservedUntil is until when the worker takes only short tasks, for which room was reclaimed.
	reservedUntil time.Time
	// heldFor is the long-running task for which the worker is held, nil if it isn't. See hold.
	heldFor *task
	// holdAfter is when the worker may be held again until short tasks end, after they took longer than expected.
	holdAfter time.Time
	// trials counts the trials on the worker. Only suspects start there until they have ended.
	trials int
	// changed is set while the worker is in Scheduler.changedWorkers.
	changed bool
	// stopsRecorded is set while the log may hold a record of stops of the worker.
	stopsRecorded bool
	// used is the room that the runs take: the cores of all but best-effort tasks, and the memory and accelerators of
	// all.
	used fleet.Size
	// bestEffortCores and longRunningCores are the cores of the best-effort and of the long-running tasks, in
	// thousandths.
	bestEffortCores, longRunningCores int64

	// margins are those of the long-running images. They, pacedCores and overTargetSince are valid while marginsValid is set.
	margins      []headroomMargin
	marginsValid bool
	// pacedCores are the cores that best-effort tasks may use at their target paces, in thousandths.
	pacedCores int64
	// overTargetSince is since when one of the long-running tasks has been over its target, the zero time if none is.
	overTargetSince time.Time
	// scarcity says how scarce room is for the scarcest best-effort image that disturbs no long-running task here, from
	// 0 to maxScarcity.
	scarcity float64
	// bestEffortUse is the share of the worker's cores that each best-effort image used at the last report, nil if the
	// worker has no cores or has been resized since.
	bestEffortUse map[string]float64

	// clock is the worker's clock in milliseconds at the host's time clockAt, a lower bound.
	clock   int64
	clockAt time.Time
	// leaseUntil is the latest time of the worker's clock up to which any order may have extended its leases.
	leaseUntil int64
	// longestUntil is the latest such time of any boot in this term.
	longestUntil int64
	// earlierUntil is the time from which the leases of earlier terms have certainly expired, earlierLease the time of the
	// worker's clock for which the same holds. They are set with contacted.
	earlierUntil time.Time
	earlierLease int64
	// extensions are the lease renewals that extend the leases, extending is set if the last renewal is one of them.
	// lateStartsUntil is until when an order to start a run that got no answer may extend them.
	extensions      inFlight
	extending       bool
	lateStartsUntil time.Time
	// formerLeasesUntil is the time from which no lease lasts any more that a call for a former boot has extended.
	formerLeasesUntil time.Time
	// strays holds the runs that have ended, or were given up, and may yet be started by an order without an answer, each
	// with the time from which none arrives any more.
	strays map[runKey]time.Time
	// lastEnd is the serial of the last end that was applied, durableEnd that of the last one that is in the log.
	lastEnd, durableEnd int64
	// failedRenewals counts the lease renewals in a row that got no answer.
	failedRenewals int
	// answeredAt is the time of the last report, the zero time if there is none.
	answeredAt time.Time
	// leaveAt is the earliest time at which a draining worker may leave. Its tasks are moved right before that, and not
	// before moveAfter, the zero time unless one of them has found no room.
	leaveAt, moveAfter time.Time
	// bootUnknown is set when another boot than the known one has answered.
	bootUnknown bool
	// leasesExpired is set when the leases of an unreachable worker have expired.
	leasesExpired bool
	leaseRecord   leaseRecordState
	// forecast is the room that is expected to become free, nil until somebody waits for the worker's rack.
	forecast *roomForecast

	health health
	speed  speedEstimate
}

// isUsable reports whether tasks may be started on the worker.
func (w *Worker) isUsable() bool {
	return w.listed && w.contacted && w.failedRenewals == 0 && !w.Draining && !w.leasesExpired && !w.bootUnknown &&
		!w.leaseRecord.held
}

// clockNow returns a lower bound of the worker's clock in milliseconds, 0 if no reading of it is known.
func (w *Worker) clockNow(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + int64(float64(now.Sub(w.clockAt).Milliseconds())*minWorkerClockRate)
}

// leasesEndAt returns the time from which all runs on the worker have certainly ended, unless their leases are
// extended. Calls for a former boot have nothing to extend where nothing runs.
func (w *Worker) leasesEndAt() time.Time {
	earlier := w.passedAt(w.earlierLease)
	if w.earlierUntil.Before(earlier) {
		earlier = w.earlierUntil
	}
	if len(w.runs) > 0 {
		earlier = laterOf(earlier, w.formerLeasesUntil)
	}
	return laterOf(w.passedAt(w.leaseUntil), earlier)
}

// passedAt returns the time from which the worker's clock has certainly passed the given time.
func (w *Worker) passedAt(clock int64) time.Time {
	left := time.Duration(float64(max(0, clock-w.clock))/minWorkerClockRate) * time.Millisecond
	return w.clockAt.Add(left + clockMargin)
}

// updateClock applies a reading of the worker's clock. The worker read it before its answer arrived here, so that
// counting from the arrival gives a lower bound.
func (w *Worker) updateClock(now time.Time, clock int64) {
	if clock >= w.clockNow(now) || w.clockAt.IsZero() {
		w.clock, w.clockAt = clock, now
	}
}

// extendUntil notes that a call extends the leases up to the given time of the worker's clock.
func (w *Worker) extendUntil(until int64) {
	w.leaseUntil, w.longestUntil = max(w.leaseUntil, until), max(w.longestUntil, until)
}

// addRun adds a run and its size to what is in use.
func (w *Worker) addRun(r *run) {
	w.runs[runKey{r.task.name, r.number}] = r
	w.accountRun(r, 1)
}

// removeRun removes a run and its size from what is in use.
func (w *Worker) removeRun(r *run) {
	k := runKey{r.task.name, r.number}
	if w.runs[k] != r {
		return
	}
	delete(w.runs, k)
	w.accountRun(r, -1)
}

// accountRun adds the size of a run to what is in use, or subtracts it if the sign is negative.
func (w *Worker) accountRun(r *run, sign int64) {
	w.marginsValid = false
	step := r.task.step()
	switch {
	case step.BestEffort:
		w.bestEffortCores += sign * step.Size.Cores
	case step.LongRunning:
		w.longRunningCores += sign * step.Size.Cores
	}
	size := step.Reserved()
	if sign > 0 {
		w.used = w.used.Add(size)
	} else {
		w.used = w.used.Sub(size)
	}
}

// hasLabel reports whether the worker has the label.
func (w *Worker) hasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// SetWorker adds or updates a worker from the platform's list. It ignores entries of an older boot.
//
// A worker whose capacity has become smaller than what it runs keeps its tasks and takes no other until it has room
// again. Stopping tasks would throw away work for room that may be back before it is free. Those that get too little
// are throttled or moved by their readings and progress, as on any worker that has become slow.
func (s *Scheduler) SetWorker(now time.Time, r Registration) {
	s.noteRegistration(&r)
	w := s.workers[r.ID]
	if w != nil && w.Boot != r.Boot && w.Boot != 0 {
		if r.Boot < w.Boot {
			return
		}
		// The new boot bars no orders of earlier terms, and carries out those that were meant for the boot before. What runs
		// there is known once it has reported.
		r.Boot = w.Boot
		w.bootUnknown = true
	}
	if w == nil {
		w = &Worker{Registration: r, runs: map[runKey]*run{}}
		s.workers[r.ID] = w
		s.indexWorker(w)
		s.recordEvent(Event{Kind: "worker listed", Worker: r.ID, Reason: r.Zone})
	}
	if w.Service != r.Service {
		s.unindexWorker(w)
		w.Service = r.Service
		s.indexWorker(w)
	}
	s.setDraining(w, r.Draining, now.Add(r.LeavesIn))
	if r.Draining && !w.Draining {
		s.recordEvent(Event{Kind: "worker draining", Worker: r.ID})
	}
	if w.Capacity != r.Capacity {
		if w.listed {
			s.recordEvent(Event{
				Kind: "worker resized", Worker: r.ID, Reason: fmt.Sprintf("from %+v to %+v", w.Capacity, r.Capacity),
			})
		}
		// Both are relative to the cores. A share that changes with them says nothing about the load.
		w.marginsValid, w.bestEffortUse = false, nil
	}
	if w.Rack != r.Rack {
		delete(s.rackIndex, w.Service)
	}
	w.Registration = r
	w.listed = true
	s.markChanged(w)
	s.addCapacity(r.Service, r.Capacity)
}

// DropWorker notes that the worker is no longer in the platform's list. Its runs count until their leases have expired.
func (s *Scheduler) DropWorker(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if w.listed {
		w.listed, w.unlistedAt = false, now
	}
	s.recordEvent(Event{Kind: "worker unlisted", Worker: id, Age: w.sinceAnswer(now)})
	s.forgetWorker(now, w)
}

// forgetUnlisted removes the workers that are not listed and on which nothing can be running any more.
func (s *Scheduler) forgetUnlisted(now time.Time) {
	for _, w := range s.workers {
		s.forgetWorker(now, w)
	}
}

// forgetWorker removes the worker if it is not listed and nothing can be running on it. Its next boot may carry out calls
// without an answer.
func (s *Scheduler) forgetWorker(now time.Time, w *Worker) {
	if w.listed || len(w.runs) > 0 || (w.recordBatch != 0 && !w.leasesExpired) || w.hasCallsInFlight(now) {
		return
	}
	if _, ok := s.unaccounted[w.ID]; ok {
		return
	}
	s.unindexWorker(w)
	delete(s.draining, w)
	delete(s.workers, w.ID)
}

// indexWorker adds the worker to those of its service.
func (s *Scheduler) indexWorker(w *Worker) {
	delete(s.rackIndex, w.Service)
	list := s.byService[w.Service]
	i, _ := slices.BinarySearchFunc(list, w.ID, func(other *Worker, id string) int { return cmp.Compare(other.ID, id) })
	s.byService[w.Service] = slices.Insert(list, i, w)
}

// unindexWorker removes the worker from those of its service.
func (s *Scheduler) unindexWorker(w *Worker) {
	delete(s.rackIndex, w.Service)
	s.byService[w.Service] = removeFirst(s.byService[w.Service], w)
}

// loseRuns ends the runs of a worker whose leases have certainly expired, except for those that an unseen boot may have.
func (s *Scheduler) loseRuns(now time.Time, w *Worker, reason string) {
	s.recordLapse(now, w)
	for _, r := range s.runsOf(w) {
		if !s.isStray(r) {
			s.loseRun(now, r, reason)
		}
	}
}

// loseRun ends a run that its worker certainly doesn't execute any more.
func (s *Scheduler) loseRun(now time.Time, r *run, reason string) {
	s.recordEvent(Event{
		Kind: "lost", Job: r.task.job().id, Task: r.task.name, Run: r.number, Worker: r.worker.ID, Reason: reason,
	})
	r.task.addLostRun(r.number, reason)
	s.releaseRun(now, r)
}

// runsOf returns the runs of a worker, ordered by task name and run number.
func (s *Scheduler) runsOf(w *Worker) []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	sortRuns(out)
	return out
}

// sortRuns orders runs by task name and run number.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.number, b.number))
	})
}

// releaseRun removes a run from its worker and its task. The task waits again unless it is done. A start that the worker
// did not confirm doesn't interrupt the wait of a long-running task.
func (s *Scheduler) releaseRun(now time.Time, r *run) {
	s.detach(r)
	s.countReleased(now, r)
	if r.confirmed {
		r.task.noteAway(r.lastSeenAt(now))
	}
	s.requeue(now, r.task)
	if r.task.queued && r.task.step().LongRunning && !r.confirmed {
		r.task.waitingSince = r.waitingSince
	}
}

// detach removes a run from its worker and its task.
func (s *Scheduler) detach(r *run) {
	r.worker.removeRun(r)
	r.task.runs = removeFirst(r.task.runs, r)
	s.deleteUnanswered(r)
	if until := r.starts.until(); !until.IsZero() {
		r.worker.addStray(runKey{r.task.name, r.number}, until)
		if !r.task.step().Speculative && !s.isOutOfReach(r) {
			r.task.notBefore = laterOf(r.task.notBefore, until)
		}
	}
	s.uncountRun(r)
	s.markChanged(r.worker)
	s.noteDetached(r)
	if r.phase == phaseStopping {
		s.journal.recordStops(r.worker)
	}
}

// unblock notes that a run of a task that is not known has ended.
func (s *Scheduler) unblock(w *Worker, k runKey) {
	if _, ok := w.unknownRuns[k]; ok {
		delete(w.unknownRuns, k)
		s.journal.recordStops(w)
		s.markChanged(w)
	}
}

// WorkerIDs returns the IDs of all known workers in order.
func (s *Scheduler) WorkerIDs() []string {
	return slices.Sorted(maps.Keys(s.workers))
}

// ListedWorkerIDs returns the IDs of the workers in the platform's list in order.
func (s *Scheduler) ListedWorkerIDs() []string {
	var out []string
	for id, w := range s.workers {
		if w.listed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
