package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// trendBound bounds by how much a falling slack is taken to fall on.
const trendBound = 0.08

// margin is the slack that the tasks of a lasting image have left above their need.
type margin struct {
	image string
	left  float64
}

// margins returns the margins of the worker's lasting images. They are worked out once after each report, start and
// end, since every waiting task is compared with every worker.
func (s *Scheduler) margins(now time.Time, w *Worker) []margin {
	if w.marginsKnown {
		return w.margins
	}
	w.marginsKnown = true
	w.margins = w.margins[:0]
	w.filled = 0
	for _, r := range w.runs {
		if st := r.task.step(); st.BestEffort {
			w.filled += st.Size.Cores * int64(r.wanted) / 100
		}
	}
	for _, t := range s.tails(now, w) {
		slack := t.slack
		if slack == 0 {
			slack = 1 - serveLoad
		} else if t.before > 0 {
			// The load that swings goes on for another reading.
			slack += max(-trendBound, min(0, t.slack-t.before))
		}
		for _, r := range w.runs {
			if !r.task.step().BestEffort {
				continue
			}
			// Tasks that have just started don't show in the readings yet, and paced ones will want their share back.
			share := 100 - r.wanted
			if now.Sub(r.begun) < 2*watchInterval {
				share = 100
			}
			slack -= s.pressure(t.image, r.task.step(), w) * float64(share) / 100
		}
		w.margins = append(w.margins, margin{t.image, slack - s.interference.need(t.image, t.target, cutShare)})
	}
	return w.margins
}

// bears returns how much slack the lasting task of the worker that is left with least would have above its need if a
// task that fills were added, and by how much the task would lower it. Without lasting tasks that suffer it is 1.
func (s *Scheduler) bears(now time.Time, w *Worker, st *workflow.Step) (left, lowers float64) {
	left = 1
	for _, m := range s.margins(now, w) {
		pressure := s.pressure(m.image, st, w)
		if pressure < minPressure {
			continue
		}
		left = min(left, m.left-pressure)
		lowers = max(lowers, pressure)
	}
	return left, lowers
}
