package dispatch

import (
	"math"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// serveLoad is the share of their declared cores that lasting tasks use on average; the rest is left to tasks that
// fill.
const serveLoad = 0.5

const (
	// fillOvercommit is the share of a worker's cores by which tasks that fill may exceed what the others leave.
	fillOvercommit = 0.1
	// pressWeight makes tasks go where they disturb nobody before they go where there is more to spare.
	pressWeight = 8
	// worthWeight makes tasks that may go anywhere leave the workers that scarce images need.
	worthWeight = 1.5
	// sameImage and otherImage outweigh the tightest fit, which is between -1 and 0.
	sameImage, otherImage = 1.5, 3
)

// plan places the members of a gang before any of them is started.
type plan struct {
	// rack confines the members, empty for any rack.
	rack string
	// used is the room that the plan has taken, count the number of members by worker.
	used  map[*Worker]fleet.Size
	count map[*Worker]int
}

// admits reports whether the plan may put another task of the step on the worker, beside the worker's own rules. A nil
// plan has put nothing anywhere.
func (p *plan) admits(w *Worker, step *workflow.Step) bool {
	return p == nil || ((p.rack == "" || w.Rack == p.rack) && (step.MaxPerWorker == 0 || p.count[w] < step.MaxPerWorker))
}

// on is the room that the plan has taken on the worker.
func (p *plan) on(w *Worker) fleet.Size {
	if p == nil {
		return fleet.Size{}
	}
	return p.used[w]
}

// place returns the worker on which the task should start, beside what a plan has put there, nil if none can take it now.
func (s *Scheduler) place(now time.Time, t *task, p *plan) *Worker {
	step := t.step()
	size := step.Reserved()
	var best *Worker
	bestScore := math.Inf(-1)
	for _, w := range s.byService[t.job().service] {
		if !p.admits(w, step) || !w.fits(p.on(w).Add(size)) || !s.eligible(now, t, w) {
			continue
		}
		if score := s.score(now, t, w, p); score > bestScore && !w.numbered(t) {
			best, bestScore = w, score
		}
	}
	return best
}

// eligible reports whether the task may run on the worker, whatever its room.
func (s *Scheduler) eligible(now time.Time, t *task, w *Worker) bool {
	step := t.step()
	if !w.usable() || len(w.strays) > 0 || s.catalog.Evacuated[w.Zone] || w.recorded == 0 || w.recorded > s.journal.committed {
		return false
	}
	if !w.allows(now, t) {
		return false
	}
	if step.Label != "" && !w.has(step.Label) {
		return false
	}
	if t.job().advised {
		k, ok := t.stage.tickets[w.ID]
		if !ok || !now.Before(k.until) {
			return false
		}
	}
	if step.MaxPerWorker > 0 && t.stage.on(w) >= step.MaxPerWorker {
		return false
	}
	if step.DataRack != "" && w.Rack != step.DataRack && now.Sub(t.since) < s.dataWait(step.Estimate) {
		return false
	}
	return true
}

// numbered reports whether the worker has a run with the number that the next run of the task would have.
func (w *Worker) numbered(t *task) bool {
	_, ok := w.runs[key{t.name, t.run + 1}]
	return ok
}

// dataWait is how long a task waits for a worker near its data before it takes another, which takes longer.
func (s *Scheduler) dataWait(estimate time.Duration) time.Duration {
	return min(time.Duration((s.limits.RemoteFactor-1)*float64(estimate)/2), time.Second)
}

// on counts the tasks of the stage that occupy the worker.
func (st *stage) on(w *Worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.stage == st {
			n++
		}
	}
	return n
}

// fits reports whether the worker has room for the size.
func (w *Worker) fits(size fleet.Size) bool { return w.used.Add(size).Fits(w.Capacity) }

// spare is what is left for tasks that fill, in thousandths of a core. The margins have to be known.
func (w *Worker) spare() int64 {
	batch := w.used.Cores - w.serve
	return w.Capacity.Cores - batch - int64(serveLoad*float64(w.serve)) - w.filled
}

// score rates a worker for a task; higher is better.
func (s *Scheduler) score(now time.Time, t *task, w *Worker, p *plan) float64 {
	step := t.step()
	capacity := float64(max(1, w.Capacity.Cores))
	score := 0.0
	if step.DataRack != "" && w.Rack == step.DataRack {
		score += 10
	}
	switch {
	case step.BestEffort:
		left, lowers := s.bears(now, w, step)
		spare := float64(w.spare()-step.Size.Cores) / capacity
		if left < 0 || spare < -fillOvercommit {
			return math.Inf(-1)
		}
		score += spare + left - lowers*pressWeight - w.worth*worthWeight
	case step.LongRunning:
		score += s.companyScore(t, w)
		score -= float64(w.Capacity.Cores-w.used.Cores-step.Size.Cores) / capacity
	default:
		left := float64(w.Capacity.Cores-w.used.Cores-p.on(w).Cores-step.Size.Cores) / capacity
		if s.lastingWaits[t.job().service] {
			// Spread out, short tasks keep places from lasting ones that they will need again themselves.
			score += left
		} else {
			// The tightest fit leaves room for large tasks elsewhere.
			score -= left
		}
	}
	return score
}

// companyScore rates a worker for a lasting task by the lasting images that are there already. Images suffer from
// different tasks that fill, so that a worker with one image has room for all those that don't disturb it.
func (s *Scheduler) companyScore(t *task, w *Worker) float64 {
	same, others := false, map[string]struct{}{}
	for _, r := range w.runs {
		st := r.task.step()
		switch {
		case !st.LongRunning:
		case st.Image == t.step().Image:
			same = true
		default:
			others[st.Image] = struct{}{}
		}
	}
	score := -otherImage * float64(len(others))
	if same {
		score += sameImage
	}
	return score
}

// planGang finds a worker for each member of a gang, in one rack if its members have to be close. It returns nil if
// there is no room for all.
func (s *Scheduler) planGang(now time.Time, st *stage) []*Worker {
	if st.step().Colocated {
		for _, rack := range s.racks(st.job().service) {
			if plan := s.planMembers(now, st, rack); plan != nil {
				return plan
			}
		}
	}
	return s.planMembers(now, st, "")
}

func (s *Scheduler) planMembers(now time.Time, st *stage, rack string) []*Worker {
	p := &plan{rack: rack, used: map[*Worker]fleet.Size{}, count: map[*Worker]int{}}
	out := make([]*Worker, 0, len(st.tasks))
	for _, t := range st.tasks {
		w := s.place(now, t, p)
		if w == nil {
			return nil
		}
		p.used[w] = p.used[w].Add(st.step().Reserved())
		p.count[w]++
		out = append(out, w)
	}
	return out
}

// racks lists the racks of a service's workers.
func (s *Scheduler) racks(service string) []string {
	var out []string
	seen := map[string]struct{}{}
	for _, w := range s.byService[service] {
		if _, ok := seen[w.Rack]; !ok && w.Rack != "" {
			seen[w.Rack] = struct{}{}
			out = append(out, w.Rack)
		}
	}
	return out
}
