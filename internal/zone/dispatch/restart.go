package dispatch

import "time"

// A worker may restart under its ID. The platform tells the two processes apart in reports only, so that a call that was
// meant for the former process and is still on its way may act on the new one. Its clock, its runs and the serials of its
// ends begin anew.

// reasonRestarted is the reason for which runs are lost or stopped after a restart of their worker.
const reasonRestarted = "worker restarted"

// handleRestart applies the first report of another process of the worker than the one that is known.
func (s *Scheduler) handleRestart(now time.Time, w *Worker, report Report) {
	s.recordEvent(Event{Kind: "worker restarted", Worker: w.ID})
	s.recordLapse(now, w)
	for _, r := range s.runsOf(w) {
		if r.mayReachNextProcess() {
			r.resetStart()
			continue
		}
		s.loseRun(now, r, reasonRestarted)
	}
	w.Boot = report.Boot
	w.contacted, w.recordBatch, w.leasesExpired, w.failedRenewals = false, 0, false, 0
	w.clock, w.clockAt = 0, time.Time{}
	// Renewals for the former process extend the leases up to a time of its clock, which the platform shortens.
	w.leaseUntil = report.Clock + s.limits.MaxLease.Milliseconds()
	w.earlierUntil, w.earlierLease = time.Time{}, 0
	w.lastEnd, w.durableEnd = 0, 0
	w.health, w.speed, w.unknownRuns = health{}, speedEstimate{}, nil
	if w.stopsRecorded {
		s.journal.recordStops(w)
	}
	delete(s.unaccounted, w.ID)
	delete(s.backlogged, w)
}

// mayReachNextProcess reports whether the start of the run may be carried out by the next process of its worker: it was
// ordered, and the present process has not confirmed it.
func (r *run) mayReachNextProcess() bool { return !r.awaitsRecord && !r.confirmed }

// isFromAnotherProcess reports whether the answer to the run's start, with the given reading of the worker's clock, is that
// of another process than the one that the leader knows: it had a later reading when it ordered the start. An answer
// without a reading, which is 0, doesn't tell.
func (r *run) isFromAnotherProcess(clock int64) bool {
	return clock > 0 && clock < r.startUntil-startOrderValidity.Milliseconds()
}

// resetStart forgets what the former process of the worker has answered to an order to stop the run.
func (r *run) resetStart() { r.phase, r.stopAnswered, r.confirmedClock = phaseUnanswered, false, 0 }

// barUnlistedStarts orders a restarted worker to stop the runs that the former process may have been told to start and
// that its first report doesn't list. The worker refuses their starts from then on. The validity of the starts is of no
// use, since it is by the former process's clock.
func (s *Scheduler) barUnlistedStarts(w *Worker) {
	for _, r := range s.runsOf(w) {
		if r.phase == phaseUnanswered && r.listedIn != w.reports {
			s.stopRun(r, reasonRestarted)
		}
	}
}

// isBarred reports whether the worker refuses the start of the run, which it has never listed.
func (r *run) isBarred() bool { return r.phase == phaseStopping && !r.confirmed && r.stopAnswered }
