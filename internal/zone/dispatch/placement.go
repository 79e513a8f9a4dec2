package dispatch

import (
	"math"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
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

// tentative is room that a plan has used up on workers before it is carried out.
type tentative map[*Worker]fleet.Size

// place returns the worker on which the task should start, nil if none can take it now.
func (s *Scheduler) place(now time.Time, t *task, plan tentative) *Worker {
	step := t.step()
	var best *Worker
	bestScore := math.Inf(-1)
	for _, w := range s.byService[t.job().service] {
		if !s.fits(w, step.Size, step.Fills, plan[w]) || !s.eligible(now, t, w) {
			continue
		}
		if score := s.score(now, t, w, plan); score > bestScore && !w.numbered(t) {
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
	if step.Spread > 0 && t.stage.on(w) >= step.Spread {
		return false
	}
	if step.Rack != "" && w.Rack != step.Rack && now.Sub(t.since) < s.dataWait(step.Estimate) {
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

// fits reports whether the worker has room for the size beside what a plan has put there.
func (s *Scheduler) fits(w *Worker, size fleet.Size, fills bool, planned fleet.Size) bool {
	if fills {
		size.Cores = 0
	}
	return w.used.Add(planned).Add(size).Fits(w.Capacity)
}

// spare is what is left for tasks that fill, in thousandths of a core. The margins have to be known.
func (w *Worker) spare() int64 {
	batch := w.used.Cores - w.serve
	return w.Capacity.Cores - batch - int64(serveLoad*float64(w.serve)) - w.filled
}

// score rates a worker for a task; higher is better.
func (s *Scheduler) score(now time.Time, t *task, w *Worker, plan tentative) float64 {
	step := t.step()
	capacity := float64(max(1, w.Capacity.Cores))
	score := 0.0
	if step.Rack != "" && w.Rack == step.Rack {
		score += 10
	}
	switch {
	case step.Fills:
		left, lowers := s.bears(now, w, step)
		spare := float64(w.spare()-step.Size.Cores) / capacity
		if left < 0 || spare < -fillOvercommit {
			return math.Inf(-1)
		}
		score += spare + left - lowers*pressWeight - w.worth*worthWeight
	case step.Lasting:
		score += s.companyScore(t, w)
		score -= float64(w.Capacity.Cores-w.used.Cores-step.Size.Cores) / capacity
	default:
		left := float64(w.Capacity.Cores-w.used.Cores-plan[w].Cores-step.Size.Cores) / capacity
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
		case !st.Lasting:
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
	step := st.step()
	plan := tentative{}
	count := map[*Worker]int{}
	out := make([]*Worker, 0, len(st.tasks))
	for _, t := range st.tasks {
		var best *Worker
		bestScore := math.Inf(-1)
		for _, w := range s.byService[st.job().service] {
			if (rack != "" && w.Rack != rack) || !s.eligible(now, t, w) {
				continue
			}
			if step.Spread > 0 && count[w] >= step.Spread {
				continue
			}
			if !s.fits(w, step.Size, step.Fills, plan[w]) {
				continue
			}
			if score := s.score(now, t, w, plan); score > bestScore && !w.numbered(t) {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return nil
		}
		size := step.Size
		if step.Fills {
			size.Cores = 0
		}
		plan[best] = plan[best].Add(size)
		count[best]++
		out = append(out, best)
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
