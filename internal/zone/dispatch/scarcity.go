package dispatch

// maxScarcity bounds how scarce the room for an image may count.
const maxScarcity = 3

// appraise rates the workers by how scarce the room is for the images that disturb nobody there: the demand of an
// image, in cores that run or wait, against what all workers that tolerate it can spare. It answers a mix in which some
// images may go anywhere and others only beside a few lasting ones.
func (s *Scheduler) appraise() {
	demand := map[string]float64{}
	for _, st := range s.ready {
		if st.step().BestEffort {
			demand[st.step().Image] += float64(st.waiting) * float64(st.step().Size.Cores)
		}
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if st := r.task.step(); st.BestEffort {
				demand[st.Image] += float64(st.Size.Cores)
			}
		}
	}
	supply := map[string]float64{}
	for _, w := range s.workers {
		w.worth = 0
		if !w.usable() {
			continue
		}
		room := float64(w.Capacity.Cores) - serveLoad*float64(w.serve) - float64(w.used.Cores-w.serve)
		for image := range demand {
			if s.tolerates(w, image) {
				supply[image] += max(0, room)
			}
		}
	}
	for _, w := range s.workers {
		for image, d := range demand {
			if s.tolerates(w, image) {
				w.worth = max(w.worth, min(maxScarcity, d/max(1, supply[image])))
			}
		}
	}
}

// toleratedPress is the coefficient below which an image is taken not to disturb another.
const toleratedPress = 0.2

// tolerates reports whether an image disturbs no lasting task of the worker.
func (s *Scheduler) tolerates(w *Worker, image string) bool {
	for _, r := range w.runs {
		if st := r.task.step(); st.LongRunning && st.TargetLatency > 0 && s.interference.press(st.Image, image) > toleratedPress {
			return false
		}
	}
	return true
}
