package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// maxSlackTrend bounds by how much a falling slack is expected to fall further until the next reading.
const maxSlackTrend = 0.08

// slackMargin is the slack that the tasks of a long-running image have left above what they need.
type slackMargin struct {
	image string
	slack float64
}

// margins returns the margins of the worker's long-running images. They are computed once after each report, start
// and end, since every waiting task is compared with every worker.
func (s *Scheduler) margins(now time.Time, w *Worker) []slackMargin {
	if w.marginsValid {
		return w.margins
	}
	w.marginsValid = true
	w.margins = w.margins[:0]
	w.pacedCores = 0
	for _, r := range w.runs {
		if st := r.task.step(); st.BestEffort {
			w.pacedCores += st.Size.Cores * int64(r.targetPace) / 100
		}
	}
	for _, state := range s.latencies(now, w) {
		slack := state.slack
		if slack == 0 {
			slack = 1 - longRunningUtilisation
		} else if state.previousSlack > 0 {
			// A load that varies is expected to change in the same direction for another reading.
			slack += max(-maxSlackTrend, min(0, state.slack-state.previousSlack))
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
			slack -= s.pressure(state.image, r.task.step(), w) * float64(share) / 100
		}
		w.margins = append(w.margins, slackMargin{
			state.image, slack - s.interference.neededSlack(state.image, state.targetMillis, lowerPaceGoal),
		})
	}
	return w.margins
}

// slackWith returns the smallest margin of a long-running image on the worker after a best-effort task is added there,
// and the largest reduction of a margin by the task. Images that the task does not disturb are left out; if it disturbs
// none, the smallest margin is 1.
func (s *Scheduler) slackWith(now time.Time, w *Worker, st *workflow.Step) (minSlack, reduction float64) {
	minSlack = 1
	for _, m := range s.margins(now, w) {
		pressure := s.pressure(m.image, st, w)
		if pressure < minPressure {
			continue
		}
		minSlack = min(minSlack, m.slack-pressure)
		reduction = max(reduction, pressure)
	}
	return minSlack, reduction
}
