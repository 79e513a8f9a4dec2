package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// maxHeadroomTrend bounds by how much a falling headroom is expected to fall further until the next reading.
const maxHeadroomTrend = 0.08

// headroomMargin is the headroom that the tasks of a long-running image have above what they need to meet their target.
// It is negative if they have less.
type headroomMargin struct {
	image  string
	margin float64
}

// margins returns the margins of the worker's long-running images. They are computed once after each report, start
// and end, since every waiting task is compared with every worker.
func (s *Scheduler) margins(now time.Time, w *Worker) []headroomMargin {
	if w.marginsValid {
		return w.margins
	}
	w.marginsValid = true
	w.margins = w.margins[:0]
	w.pacedCores, w.overTargetSince = 0, time.Time{}
	for _, r := range w.runs {
		if step := r.task.step(); step.BestEffort {
			w.pacedCores += step.Size.Cores * int64(r.targetPace) / 100
		}
		if !r.overSince.IsZero() && (w.overTargetSince.IsZero() || r.overSince.Before(w.overTargetSince)) {
			w.overTargetSince = r.overSince
		}
	}
	for _, state := range s.latencies(now, w) {
		headroom := state.headroom
		if headroom == 0 {
			headroom = 1 - longRunningUtilisation
		} else if state.previousHeadroom > 0 {
			// A load that varies is expected to change in the same direction for another reading.
			headroom += max(-maxHeadroomTrend, min(0, state.headroom-state.previousHeadroom))
		}
		for _, r := range w.runs {
			if !r.task.step().BestEffort {
				continue
			}
			// Tasks that have just started don't show in the readings yet, and slowed ones will get their pace back.
			share := 100 - r.targetPace
			if now.Sub(r.startedAt) < 2*readingInterval {
				share = 100
			}
			headroom -= s.pressure(state.image, r.task.step(), w) * float64(share) / 100
		}
		w.margins = append(w.margins, headroomMargin{
			state.image, headroom - s.interference.neededHeadroom(state.image, state.targetMillis, lowerPaceGoal),
		})
	}
	return w.margins
}

// staysOverTarget reports whether a long-running task on the worker has been over its target for so long that the best-effort
// tasks that are known to disturb it are paused. What keeps it over its target is then not known.
func (s *Scheduler) staysOverTarget(now time.Time, w *Worker) bool {
	s.margins(now, w)
	return !w.overTargetSince.IsZero() &&
		float64(now.Sub(w.overTargetSince)) > pauseInterferingAfter*float64(s.limits.MaxOverTarget)
}

// marginWith returns the smallest margin of a long-running image on the worker once a best-effort task has been added
// there, and the largest reduction of a margin by the task. Images that the task does not disturb are left out; if it
// disturbs none, the smallest margin is 1.
func (s *Scheduler) marginWith(now time.Time, w *Worker, st *workflow.Step) (minMargin, reduction float64) {
	minMargin = 1
	for _, m := range s.margins(now, w) {
		pressure := s.pressure(m.image, st, w)
		if pressure < minPressure {
			continue
		}
		minMargin = min(minMargin, m.margin-pressure)
		reduction = max(reduction, pressure)
	}
	return minMargin, reduction
}
