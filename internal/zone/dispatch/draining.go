package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// A worker that is draining ends what it runs when it leaves. Short tasks are mostly done by then. A long-running task
// would be away until it is certain that the worker has gone, so it moves before that, while another worker has room.

const (
	// drainMoveInterval is the interval at which tasks are moved from draining workers. The last ones have started
	// elsewhere by then, and the room that is left is known.
	drainMoveInterval = 500 * time.Millisecond
	// maxDrainMoves is the largest number of tasks that are moved at once.
	maxDrainMoves = 16
)

// moveFromDraining stops long-running tasks on draining workers for which another worker has room.
func (s *Scheduler) moveFromDraining(now time.Time) {
	if now.Sub(s.drainedAt) < drainMoveInterval {
		return
	}
	s.drainedAt = now
	left := maxDrainMoves
	for _, w := range s.drainingWorkers() {
		for _, r := range s.runsOf(w) {
			if left == 0 {
				return
			}
			if !s.mayMoveFromDraining(r) {
				continue
			}
			if other := s.findWorker(now, r.task, nil); other == nil {
				// The others of the service hardly find room either.
				return
			}
			left--
			r.task.stage.away.n++
			s.stopRun(r, "worker is draining")
		}
	}
}

// drainingWorkers returns the workers that are draining and answer, ordered by ID.
func (s *Scheduler) drainingWorkers() []*Worker {
	var out []*Worker
	for _, w := range s.workers {
		if w.Draining && w.listed && w.contacted && w.failedRenewals == 0 && len(w.runs) > 0 {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// mayMoveFromDraining reports whether a run on a draining worker is one of a long-running task that is at work, and few
// enough of the others of its step are away.
func (s *Scheduler) mayMoveFromDraining(r *run) bool {
	st := r.task.stage
	return st.step().LongRunning && r.phase == phaseRunning && !r.readySince.IsZero() && !st.job().isFinal() &&
		s.countAway(st) < max(1, int(maxReclaimedShare*float64(len(st.tasks))))
}
