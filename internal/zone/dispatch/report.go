package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// EndReason says how a run ended.
type EndReason string

// The reasons for which a run ends.
const (
	// EndDone means that the task is done.
	EndDone EndReason = "done"
	// EndFailed means that the task failed.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped by an order.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the lease expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndReason = "alone"
)

// RunReport is a run that a worker lists as running.
type RunReport struct {
	Task       string
	Number     int
	Checkpoint string
	// Progress is the share of the work that is done, in percent. A long-running task reports 100 once it is ready.
	Progress int
	// Reading is the tail latency in milliseconds of a long-running task, or the cores that another task uses, in
	// thousandths.
	Reading int
}

// EndReport is the end of a run, which a worker lists until it is acknowledged.
type EndReport struct {
	// Serial numbers the ends of one boot of the worker from 1.
	Serial     int64
	Task       string
	Number     int
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's answer to a lease renewal: the runs that it executes and the ends that are not acknowledged yet.
type Report struct {
	Worker string
	Boot   int64
	// Clock is the worker's clock in milliseconds when it answered.
	Clock   int64
	Running []RunReport
	Ended   []EndReport
}

// maxListedEnds is the largest number of ends that a worker lists in one report. After a full list more may follow.
const maxListedEnds = 500

// HandleReport applies a worker's answer to a lease renewal. It ignores reports of unknown workers. One of an earlier boot
// than the known one counts as no answer until the leases of the known one have expired.
func (s *Scheduler) HandleReport(now time.Time, report Report) {
	w := s.workers[report.Worker]
	if w == nil {
		return
	}
	if report.Boot < w.Boot && (!w.leasesExpired || len(w.runs) > 0) {
		// The worker may have restarted after its time of day was put back.
		s.HandleRenewalRestart(w.ID)
		return
	}
	if w.extending {
		w.extensions.answer()
	}
	var kept []*run
	restarted := report.Boot != w.Boot
	if restarted {
		kept = s.handleRestart(now, w, report)
	}
	s.withdrawLapse(bootID{w.ID, w.Boot}, "the same boot answered")
	if w.failedRenewals > 1 {
		s.recordEvent(Event{Kind: "worker back", Worker: w.ID, Age: now.Sub(w.answeredAt)})
	}
	w.updateClock(now, report.Clock)
	w.failedRenewals, w.answeredAt = 0, now
	w.leasesExpired, w.bootUnknown = false, false
	first := !w.contacted
	if first {
		// Orders of earlier terms are barred from now on, and the platform shortens their leases.
		w.earlierUntil, w.earlierLease = s.earlierLeasesUntilOn(w), report.Clock+s.limits.MaxLease.Milliseconds()
	}
	w.contacted = true
	if w.leaseRecord.listed {
		s.recordLeases(now)
	}
	if first {
		s.noteReplacement(now, w)
	}
	s.applyEnds(now, w, report.Ended)
	s.applyRunning(now, w, report)
	if restarted {
		s.barStrays(now, w)
		w.formerLeasesUntil = leaseEnd(w.callsUntil(), s.longestLease(w))
	}
	s.repeatUnlisted(w, kept)
	w.recordProbes(now)
	s.acquitSurvivors(w)
	if first {
		s.applyRestoredStops(now, w, report)
		s.account(w)
	}
	if len(report.Ended) < maxListedEnds {
		delete(s.backlogged, w)
	}
	if w.recordBatch == 0 {
		w.recordBatch = s.journal.recordWorker(w)
	}
	w.marginsValid = false
	s.adjustPaces(now, w)
	w.marginsValid = false
	s.handleSlowWorker(now, w)
	s.markChanged(w)
}

// account notes that a worker has reported for the first time in this term. Until it has listed all its ends, tasks that
// an earlier leader has started may be done.
func (s *Scheduler) account(w *Worker) {
	if _, ok := s.unaccounted[w.ID]; ok {
		delete(s.unaccounted, w.ID)
		s.backlogged[w] = struct{}{}
	}
}

// applyEnds applies the ends that are new and has them acknowledged.
func (s *Scheduler) applyEnds(now time.Time, w *Worker, ends []EndReport) {
	for _, e := range ends {
		if e.Serial <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Serial
		s.applyEnd(now, w, e)
	}
	s.journal.acknowledgeEnds(w)
}

// applyEnd applies the end of one run.
func (s *Scheduler) applyEnd(now time.Time, w *Worker, e EndReport) {
	s.unblock(w, runKey{e.Task, e.Number})
	r := w.runs[runKey{e.Task, e.Number}]
	var t *task
	if r != nil {
		t = r.task
		r.starts.settle()
		s.detach(r)
		t.noteAway(now)
	} else {
		t = s.reportedTask(now, e.Task)
	}
	s.recordEvent(Event{Kind: EventEnd, Task: e.Task, Run: e.Number, Worker: w.ID, Reason: string(e.Reason)})
	if t == nil {
		return
	}
	s.countListedEnd(now, t, r, e)
	if r == nil && e.Reason == EndDone {
		s.recordDuplicate(t, e.Number, w, e.Reason)
	}
	t.job().started, t.stage.occurrence.hasStarted = true, true
	t.lastRun, t.lastEndedRun = max(t.lastRun, e.Number), max(t.lastEndedRun, e.Number)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	w.health.recordEnd(now, r, e.Reason)
	s.acquitEnded(t, e.Reason)
	switch {
	case t.done || t.job().isFinal():
		return
	case e.Reason == EndDone && t.step().Gang:
		s.finishGang(now, t.stage)
	case e.Reason == EndDone && !t.step().LongRunning:
		s.finishTask(now, t)
		s.stopCopies(t)
	case e.Reason == EndFailed:
		s.recordFailure(now, t, e.Number, w)
	}
	s.requeue(now, t)
}

// finishGang marks all members of a gang as done: the end of one member as done stands for all of them.
func (s *Scheduler) finishGang(now time.Time, st *stage) {
	for _, t := range st.tasks {
		s.finishTask(now, t)
	}
}

// stopCopies stops the other runs of a task that is done.
func (s *Scheduler) stopCopies(t *task) {
	for _, r := range t.runs {
		s.stopRun(r, "another copy is done")
	}
}

// retryDelay spreads the retries of a failing task over time, so that a worker that fails everything is recognised
// before it has used up the task's attempts.
const retryDelay = 100 * time.Millisecond

// hasFailed reports whether the failure of the run with the number was recorded. Of a long-running task only the last one
// is kept, since its failures are not limited; earlier runs have lower numbers.
func (t *task) hasFailed(number int) bool {
	if t.step().LongRunning {
		return len(t.failedRuns) > 0 && number <= slices.Max(t.failedRuns)
	}
	return slices.Contains(t.failedRuns, number)
}

// recordFailure counts a failed run, and fails the job if its attempts are used up. A repeated report counts once.
func (s *Scheduler) recordFailure(now time.Time, t *task, number int, w *Worker) {
	if t.hasFailed(number) {
		return
	}
	j := t.job()
	if t.step().LongRunning {
		t.failedRuns = t.failedRuns[:0]
	}
	t.failedRuns = append(t.failedRuns, number)
	t.avoidWorker = w.ID
	t.notBefore = now.Add(retryDelay)
	s.journal.markDirty(j)
	failures := len(t.failedRuns)
	if t.step().Gang {
		failures = t.stage.gangFailures()
	}
	if t.step().LongRunning || failures < j.maxAttempts {
		return
	}
	s.recordEvent(Event{
		Kind: "job failed", Job: j.id, Task: t.name, Run: number, Worker: w.ID, Reason: "attempts used up",
	})
	s.close(now, j, StateFailed)
}

// gangFailures returns the number of runs of the gang that ended because one of its members failed.
func (st *stage) gangFailures() int {
	seen := map[int]struct{}{}
	for _, t := range st.tasks {
		for _, n := range t.failedRuns {
			seen[n] = struct{}{}
		}
	}
	return len(seen)
}

// applyRunning compares the runs that the worker lists with those that it should have.
func (s *Scheduler) applyRunning(now time.Time, w *Worker, report Report) {
	w.reports++
	for i := range report.Running {
		rr := &report.Running[i]
		k := runKey{rr.Task, rr.Number}
		r := w.runs[k]
		if r == nil {
			r = s.adoptRun(now, w, rr, report.Clock)
			if r == nil {
				continue
			}
		}
		r.listedIn = w.reports
		s.applyProgress(now, r, rr, report.Clock)
	}
	if len(report.Ended) >= maxListedEnds {
		return
	}
	for k, clock := range w.unknownRuns {
		if report.Clock > clock+unlistedTimeout.Milliseconds() {
			s.unblock(w, k)
		}
	}
	var unlisted []*run
	for _, r := range w.runs {
		if r.listedIn != w.reports {
			unlisted = append(unlisted, r)
		}
	}
	sortRuns(unlisted)
	for _, r := range unlisted {
		s.handleUnlisted(now, r, report.Clock)
	}
}

// applyProgress applies what the worker reports about a run, at the given time of its clock.
func (s *Scheduler) applyProgress(now time.Time, r *run, rr *RunReport, clock int64) {
	r.confirm(clock)
	r.starts.settle()
	if !now.Before(r.starts.until()) {
		s.deleteUnanswered(r)
	}
	if rr.Checkpoint != "" {
		if rr.Checkpoint != r.task.checkpoint {
			r.savedAt = now
		}
		r.task.checkpoint = rr.Checkpoint
	}
	r.recordProgress(now, rr.Progress)
	s.measureProgress(now, r, rr.Progress)
	r.progress = rr.Progress
	if rr.Progress == 100 && r.readySince.IsZero() {
		r.readySince = now
	}
	r.reading = rr.Reading
}

// unlistedTimeout is how long a worker may list a run neither as running nor as ended, by its clock. It is longer than
// any stop takes.
const unlistedTimeout = 3 * time.Second

// handleUnlisted handles a run that the worker did not list at the given time of its clock.
func (s *Scheduler) handleUnlisted(now time.Time, r *run, clock int64) {
	switch r.phase {
	case phaseOrdered, phaseUnanswered:
		// The order may still arrive until its validity has ended by the worker's clock, and at the next boot after that.
		if r.awaitsRecord || clock <= r.startUntil {
			return
		}
		if r.mayBeStarted(now) {
			s.queueRepeat(r)
			return
		}
		s.recordEvent(Event{Kind: "start expired", Task: r.task.name, Run: r.number, Worker: r.worker.ID})
		r.task.addLostRun(r.number, "start expired")
	case phaseRunning, phaseStopping:
		// A report made before the worker confirmed the run says nothing about it.
		//
		// A run keeps its room until its end is listed. A run that is being stopped may be listed nowhere, and the
		// answer to the stop order doesn't say whether the worker had the run.
		last := r.confirmedClock
		if !r.confirmed && !r.stopAnswered {
			last = max(last, r.startUntil)
		}
		if r.phase == phaseStopping && !r.stopAnswered {
			// The worker may only just have begun to stop it.
			if r.unlistedClock == 0 {
				r.unlistedClock = clock
			}
			last = max(last, r.unlistedClock)
		}
		if clock <= last+unlistedTimeout.Milliseconds() || r.mayBeStarted(now) {
			return
		}
		s.recordEvent(Event{Kind: "run gone", Task: r.task.name, Run: r.number, Worker: r.worker.ID})
		r.task.addLostRun(r.number, "run gone")
	}
	s.releaseRun(now, r)
}

// adoptRun adds a run that a worker lists and that this term did not start. Runs that are not wanted are stopped. It
// returns nil if the task is not known.
func (s *Scheduler) adoptRun(now time.Time, w *Worker, rr *RunReport, clock int64) *run {
	t := s.reportedTask(now, rr.Task)
	if t == nil {
		s.stopUnknownRun(w, rr, clock)
		return nil
	}
	s.giveWay(t, rr.Number)
	hasOtherRun := len(t.runs) > 0 && !t.step().Speculative
	r := s.attachReportedRun(now, w, t, rr.Number)
	s.recordEvent(Event{Kind: "adopt", Job: t.job().id, Task: t.name, Run: r.number, Worker: w.ID})
	s.recordDuplicate(t, r.number, w, "")
	if t.done || t.job().isFinal() || hasOtherRun {
		s.stopRun(r, "not wanted any more")
	}
	return r
}

// recordDuplicate records that a worker reports a run of a task that has other runs. end is how the reported run has ended,
// empty if it goes on.
func (s *Scheduler) recordDuplicate(t *task, number int, w *Worker, end EndReason) {
	if t.step().Speculative {
		return
	}
	lost, isLost := t.lostRuns[number]
	kind := EventDuplicateRun
	if end == EndDone && lost == reasonLeaseLapsed {
		kind = EventLateEnd
	}
	if !isLost {
		lost = "not in this term"
	}
	for _, other := range t.runs {
		if other.worker == w && other.number == number {
			continue
		}
		s.recordEvent(Event{
			Kind: kind, Job: t.job().id, Task: t.name, Run: number, Worker: w.ID,
			Reason: fmt.Sprintf("beside run %d on %s; taken for ended: %s", other.number, other.worker.ID, lost),
		})
	}
}

// attachReportedRun adds a run that this term did not start to its task and its worker.
func (s *Scheduler) attachReportedRun(now time.Time, w *Worker, t *task, number int) *run {
	r := &run{
		task: t, number: number, worker: w, phase: phaseRunning, confirmed: true, startedAt: now,
		pace: paceUnknown, targetPace: 100,
	}
	t.stage.occurrence.hasStarted = true
	t.lastRun = max(t.lastRun, number)
	t.job().started = true
	s.attach(r)
	if t.step().Gang {
		t.stage.gangRunNumber = max(t.stage.gangRunNumber, number)
	}
	return r
}
