package dispatch

// maxScarcity is the highest scarcity of a worker. A scarcity is the demand for room divided by what is left of it.
const maxScarcity = 3

// updateScarcity rates the workers by how scarce room is for the best-effort images that disturb no long-running task
// there: the demand of an image, in thousandths of a core for the tasks that run or wait, relative to what all workers
// that tolerate the image leave to best-effort tasks. This helps with a mix in which some images may run anywhere and
// others only beside a few long-running images.
func (s *Scheduler) updateScarcity() {
	demand := map[string]float64{}
	for _, st := range s.ready {
		if st.step().BestEffort {
			demand[st.step().Image] += float64(st.waiting) * float64(st.step().Size.Cores)
		}
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if step := r.task.step(); step.BestEffort {
				demand[step.Image] += float64(step.Size.Cores)
			}
		}
	}
	supply := map[string]float64{}
	for _, w := range s.workers {
		w.scarcity = 0
		if !w.isUsable() {
			continue
		}
		room := float64(w.Capacity.Cores) - longRunningUtilisation*float64(w.longRunningCores) -
			float64(w.used.Cores-w.longRunningCores)
		for image := range demand {
			if s.tolerates(w, image) {
				supply[image] += max(0, room)
			}
		}
	}
	for _, w := range s.workers {
		for image, d := range demand {
			if s.tolerates(w, image) {
				w.scarcity = max(w.scarcity, min(maxScarcity, d/max(1, supply[image])))
			}
		}
	}
}

// toleratedCoefficient is the highest interference coefficient at which a best-effort image is taken not to disturb a
// long-running one, see interferenceModel.coefficient.
const toleratedCoefficient = 0.2

// tolerates reports whether a best-effort image disturbs no long-running task of the worker.
func (s *Scheduler) tolerates(w *Worker, image string) bool {
	for _, r := range w.runs {
		if step := r.task.step(); step.LongRunning && step.TargetLatency > 0 &&
			s.interference.coefficient(step.Image, image) > toleratedCoefficient {
			return false
		}
	}
	return true
}
