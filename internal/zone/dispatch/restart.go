package dispatch

import "time"

// A worker may restart under its ID. Only the boot in its reports tells the two starts apart, so that a call that was
// meant for the former boot and is still in flight may act on the next one. The clock, the runs and the serials of ends
// begin anew there.

// reasonRestarted is the reason for which runs are lost or stopped after a restart of their worker.
const reasonRestarted = "worker restarted"

// handleRestart applies the first report of another boot of the worker than the known one. It returns the runs whose
// starts may still reach that boot.
func (s *Scheduler) handleRestart(now time.Time, w *Worker, report Report) (kept []*run) {
	s.recordEvent(Event{Kind: "worker restarted", Worker: w.ID})
	s.recordLapse(now, w)
	for _, r := range s.runsOf(w) {
		if r.mayReachNextBoot() {
			r.resetStart()
			kept = append(kept, r)
			continue
		}
		s.loseRun(now, r, reasonRestarted)
	}
	w.Boot = report.Boot
	w.contacted, w.recordBatch, w.leasesExpired, w.failedRenewals = false, 0, false, 0
	w.clock, w.clockAt = 0, time.Time{}
	// A renewal that was meant for the former boot extends the leases up to a time of that boot's clock. The worker shortens
	// it to the longest lease that the platform allows.
	w.leaseUntil = report.Clock + s.limits.MaxLease.Milliseconds()
	w.earlierUntil, w.earlierLease = time.Time{}, 0
	w.lastEnd, w.durableEnd = 0, 0
	w.health, w.speed, w.unknownRuns = health{}, speedEstimate{}, nil
	if w.stopsRecorded {
		s.journal.recordStops(w)
	}
	delete(s.unaccounted, w.ID)
	delete(s.backlogged, w)
	return kept
}

// mayReachNextBoot reports whether the start of the run may be carried out by the next boot of its worker: it was ordered,
// and the present boot has not confirmed it.
func (r *run) mayReachNextBoot() bool { return !r.awaitsRecord && !r.confirmed }

// isFromAnotherBoot reports whether the answer to the run's start comes from another boot than the known one. The answer
// holds the given reading of the worker's clock in milliseconds. Within a boot the clock never goes back, and it was
// later than that when the start was ordered.
func (r *run) isFromAnotherBoot(clock int64) bool {
	return clock < r.startUntil-startOrderValidity.Milliseconds()
}

// resetStart forgets what the former boot of the worker has answered to an order to stop the run.
func (r *run) resetStart() {
	if r.phase != phaseStopping {
		r.phase = phaseUnanswered
	}
	r.stopAnswered, r.confirmedClock, r.unlistedClock = false, 0, 0
}

// barStarts orders a restarted worker to stop the kept runs that were being stopped or that its first report doesn't list.
// The worker refuses their starts from then on. The validity of a start doesn't bound it, since it is a time of the former
// boot's clock.
func (s *Scheduler) barStarts(w *Worker, kept []*run) {
	for _, r := range kept {
		k := runKey{r.task.name, r.number}
		switch {
		case w.runs[k] != r || r.phase == phaseRunning:
		case r.phase == phaseStopping:
			s.addStop(stop{worker: w, key: k, run: r, reason: reasonRestarted})
		default:
			r.barred = true
			s.stopRun(r, reasonRestarted)
		}
	}
}

// isBarred reports whether the present boot of the worker refuses the start of the run, and has not listed the run.
func (r *run) isBarred() bool { return r.barred && r.stopAnswered && !r.confirmed }
