package dispatch

import (
	"maps"
	"slices"
)

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
	table := newToleranceTable(s.interference, slices.Sorted(maps.Keys(demand)))
	supply := make([]float64, len(table.bestEffort))
	for _, w := range s.workers {
		w.scarcity = 0
		tolerated := table.tolerated(w)
		if !w.isUsable() {
			continue
		}
		room := float64(w.Capacity.Cores) - longRunningUtilisation*float64(w.longRunningCores) -
			float64(w.used.Cores-w.longRunningCores)
		for i, ok := range tolerated {
			if ok {
				supply[i] += max(0, room)
			}
		}
	}
	scarcity := make([]float64, len(supply))
	for i, image := range table.bestEffort {
		scarcity[i] = min(maxScarcity, demand[image]/max(1, supply[i]))
	}
	for _, w := range s.workers {
		for i, ok := range table.tolerated(w) {
			if ok {
				w.scarcity = max(w.scarcity, scarcity[i])
			}
		}
	}
}

// toleranceTable tells which best-effort images disturb no long-running task of a worker.
type toleranceTable struct {
	model      *interferenceModel
	bestEffort []string
	// byImage holds, for each long-running image, whether it tolerates each best-effort image, byWorker the same for all
	// tasks of a worker.
	byImage  map[string][]bool
	byWorker map[*Worker][]bool
	// all is the row of a worker without long-running tasks.
	all []bool
}

// newToleranceTable returns an empty table for the best-effort images.
func newToleranceTable(model *interferenceModel, bestEffort []string) *toleranceTable {
	all := make([]bool, len(bestEffort))
	for i := range all {
		all[i] = true
	}
	return &toleranceTable{
		model: model, bestEffort: bestEffort, byImage: map[string][]bool{}, byWorker: map[*Worker][]bool{}, all: all,
	}
}

// tolerated reports for each best-effort image whether it disturbs no long-running task of the worker.
func (t *toleranceTable) tolerated(w *Worker) []bool {
	if row, ok := t.byWorker[w]; ok {
		return row
	}
	row := t.all
	last := ""
	for _, r := range w.runs {
		step := r.task.step()
		if !step.LongRunning || step.TargetLatency <= 0 || step.Image == last {
			continue
		}
		last = step.Image
		row = intersect(row, t.toleratedBy(step.Image))
	}
	t.byWorker[w] = row
	return row
}

// toleratedBy reports for each best-effort image whether it does not disturb the long-running image.
func (t *toleranceTable) toleratedBy(longRunning string) []bool {
	row, ok := t.byImage[longRunning]
	if !ok {
		row = make([]bool, len(t.bestEffort))
		for i, image := range t.bestEffort {
			row[i] = t.model.coefficient(longRunning, image) <= toleratedCoefficient
		}
		t.byImage[longRunning] = row
	}
	return row
}

// intersect returns a row that is set where both rows of the same length are.
func intersect(a, b []bool) []bool {
	out := make([]bool, len(a))
	for i := range a {
		out[i] = a[i] && b[i]
	}
	return out
}

// toleratedCoefficient is the highest interference coefficient at which a best-effort image is taken not to disturb a
// long-running one, see interferenceModel.coefficient.
const toleratedCoefficient = 0.2
