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
		switch {
		case !r.awaitsRecord && !r.confirmed && now.Before(r.starts.until()):
			r.resetStart()
			if r.unansweredRecorded {
				s.recordUnanswered(now, r)
			}
			kept = append(kept, r)
		case r.ownsTask() && now.Before(r.starts.until()) && r.phase == phaseRunning && !r.task.step().Gang:
			kept = append(kept, s.renewRun(now, r))
		default:
			s.loseRun(now, r, reasonRestarted)
		}
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

// isFromAnotherBoot reports whether the answer to the run's start comes from another boot than the known one. The answer
// holds the given reading of the worker's clock in milliseconds. Within a boot the clock never goes back, and it was
// later than that when the start was ordered.
func (r *run) isFromAnotherBoot(clock int64) bool {
	return clock < r.startUntil-startOrderValidity.Milliseconds()
}

// resetStart forgets what the former boot of the worker has answered to orders for the run. None of them is valid there.
func (r *run) resetStart() {
	if r.phase != phaseStopping {
		r.phase = phaseUnanswered
	}
	r.outlivedBoot = true
	r.barred, r.stopAnswered, r.startUntil, r.confirmedClock, r.unlistedClock = false, false, 0, 0, 0
}

// renewRun ends a run that was lost with the former boot of its worker and returns one of the same number, which an order
// without an answer may start on the next boot.
func (s *Scheduler) renewRun(now time.Time, lost *run) *run {
	s.loseRun(now, lost, reasonRestarted)
	r := &run{
		task: lost.task, number: lost.number, worker: lost.worker, phase: phaseUnanswered, startedAt: lost.startedAt,
		pace: 100, targetPace: 100, waitingSince: lost.task.waitingSince, starts: lost.starts, repeats: lost.repeats,
		outlivedBoot: true,
	}
	delete(r.worker.strays, runKey{r.task.name, r.number})
	s.attach(r)
	s.recordUnanswered(now, r)
	return r
}

// repeatUnlisted has the starts of the kept runs repeated that the first report of a restarted worker doesn't list. Those
// that were being stopped are stopped there, and the worker refuses their starts from then on.
func (s *Scheduler) repeatUnlisted(w *Worker, kept []*run) {
	for _, r := range kept {
		k := runKey{r.task.name, r.number}
		switch {
		case w.runs[k] != r || r.phase == phaseRunning:
		case r.phase == phaseStopping:
			s.addStop(stop{worker: w, key: k, run: r, reason: reasonRestarted})
		case !r.ownsTask():
			s.barRun(r, reasonRestarted)
		default:
			s.queueRepeat(r)
		}
	}
}
