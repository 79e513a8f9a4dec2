package dispatch

import "time"

// Several rules keep a waiting task from a worker with room: the worker is suspected or slow, its room is reserved, or a
// smaller task has just found none. Each of them may apply again and again. A long-running task that has waited for
// maxAvoidance in all is overdue, and none of them holds it back any longer.

// maxAvoidance is how long a long-running task waits for a sound worker before it takes any one with room. The platform
// allows a task that has not run yet to wait for three seconds while there is room for two of its kind. The delay leaves
// time for a scan and a start.
const maxAvoidance = twoSlotsDelay

// maxProbeWait is how long a long-running task waits for other tasks that probe a suspected worker one after the other.
const maxProbeWait = 2 * maxAvoidance

// isOverdue reports whether the task is a long-running one that has waited for maxAvoidance.
func (t *task) isOverdue(now time.Time) bool { return t.hasWaited(now, maxAvoidance) }

// hasWaited reports whether the task is a long-running one that has waited for the given time.
func (t *task) hasWaited(now time.Time, d time.Duration) bool {
	return t.queued && t.step().LongRunning && now.Sub(t.waitingSince) >= d
}

// startOverdue starts the overdue tasks of a stage for which a worker has room. All workers are looked at, at most every
// fullScanInterval.
func (s *Scheduler) startOverdue(now time.Time, st *stage) {
	if !st.step().LongRunning || now.Sub(st.overdueScanAt) < fullScanInterval {
		return
	}
	st.overdueScanAt = now
	if st.job().needsTicket && !s.ensureTicket(now, st) {
		st.waitReason = waitTicket
		return
	}
	for _, t := range st.tasks {
		if !t.isOverdue(now) || s.suspectOf(t) != nil || now.Before(t.notBefore) || s.mayRunUnaccounted(t) {
			continue
		}
		if !s.mayStartLongRunning(now, t) {
			st.waitReason = waitFreeSlots
			continue
		}
		if !s.mayStart(now, st, 1) {
			if s.withinShares && st.isBeyondShare {
				// The next pass of this decision may start the task.
				st.overdueScanAt = time.Time{}
			}
			return
		}
		w := s.findWorker(now, t, nil)
		if w == nil {
			st.waitReason = waitNoWorker
			return
		}
		s.startRun(now, t, w)
	}
}
