package dispatch

import (
	"math"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// longRunningUtilisation is the share of their declared cores that lasting tasks use on average; the rest is left to tasks that
// fill.
const longRunningUtilisation = 0.5

const (
	// bestEffortOvercommit is the share of a worker's cores by which tasks that fill may exceed what the others leave.
	bestEffortOvercommit = 0.1
	// interferenceWeight makes tasks go where they disturb nobody before they go where there is more to spare.
	interferenceWeight = 8
	// scarcityWeight makes tasks that may go anywhere leave the workers that scarce images need.
	scarcityWeight = 1.5
	// sameImageBonus and otherImagePenalty outweigh the tightest fit, which is between -1 and 0.
	sameImageBonus, otherImagePenalty = 1.5, 3
)

// gangPlan places the members of a gang before any of them is started.
type gangPlan struct {
	// rack confines the members, empty for any rack.
	rack string
	// reserved is the room that the plan has taken, count the number of members by worker.
	reserved map[*Worker]fleet.Size
	members  map[*Worker]int
}

// allows reports whether the plan may put another task of the step on the worker, beside the worker's own rules. A nil
// plan has put nothing anywhere.
func (p *gangPlan) allows(w *Worker, step *workflow.Step) bool {
	return p == nil || ((p.rack == "" || w.Rack == p.rack) && (step.Spread == 0 || p.members[w] < step.Spread))
}

// reservedOn is the room that the plan has taken reservedOn the worker.
func (p *gangPlan) reservedOn(w *Worker) fleet.Size {
	if p == nil {
		return fleet.Size{}
	}
	return p.reserved[w]
}

// findWorker returns the worker on which the task should start, beside what a plan has put there, nil if none can take it now.
func (s *Scheduler) findWorker(now time.Time, t *task, p *gangPlan) *Worker {
	step := t.step()
	size := step.Reserved()
	var best *Worker
	bestScore := math.Inf(-1)
	for _, w := range s.byService[t.job().service] {
		if !p.allows(w, step) || !w.fits(p.reservedOn(w).Add(size)) || !s.isEligible(now, t, w) {
			continue
		}
		if score := s.score(now, t, w, p); score > bestScore && !w.hasNextRun(t) {
			best, bestScore = w, score
		}
	}
	return best
}

// isEligible reports whether the task may run on the worker, whatever its room.
func (s *Scheduler) isEligible(now time.Time, t *task, w *Worker) bool {
	step := t.step()
	if !w.isUsable() || len(w.unknownRuns) > 0 || s.catalog.Evacuated[w.Zone] || w.recordBatch == 0 || w.recordBatch > s.journal.committed {
		return false
	}
	if !w.mayStart(now, t) {
		return false
	}
	if step.Label != "" && !w.hasLabel(step.Label) {
		return false
	}
	if t.job().needsTicket {
		k, ok := t.stage.tickets[w.ID]
		if !ok || !now.Before(k.until) {
			return false
		}
	}
	if step.Spread > 0 && t.stage.tasksOn(w) >= step.Spread {
		return false
	}
	if step.Rack != "" && w.Rack != step.Rack && now.Sub(t.waitingSince) < s.dataLocalityWait(step.Estimate) {
		return false
	}
	return true
}

// hasNextRun reports whether the worker has a run with the number that the next run of the task would have.
func (w *Worker) hasNextRun(t *task) bool {
	_, ok := w.runs[runKey{t.name, t.lastRun + 1}]
	return ok
}

// dataLocalityWait is how long a task waits for a worker near its data before it takes another, which takes longer.
func (s *Scheduler) dataLocalityWait(estimate time.Duration) time.Duration {
	return min(time.Duration((s.limits.RemoteFactor-1)*float64(estimate)/2), time.Second)
}

// tasksOn counts the tasks of the stage that occupy the worker.
func (st *stage) tasksOn(w *Worker) int {
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

// spareCores is what is left for tasks that fill, in thousandths of a core. The margins have to be known.
func (w *Worker) spareCores() int64 {
	batch := w.used.Cores - w.longRunningCores
	return w.Capacity.Cores - batch - int64(longRunningUtilisation*float64(w.longRunningCores)) - w.pacedCores
}

// score rates a worker for a task; higher is better.
func (s *Scheduler) score(now time.Time, t *task, w *Worker, p *gangPlan) float64 {
	step := t.step()
	capacity := float64(max(1, w.Capacity.Cores))
	score := 0.0
	if step.Rack != "" && w.Rack == step.Rack {
		score += 10
	}
	switch {
	case step.Fills:
		slack, reduction := s.slackWith(now, w, step)
		spare := float64(w.spareCores()-step.Size.Cores) / capacity
		if slack < 0 || spare < -bestEffortOvercommit {
			return math.Inf(-1)
		}
		score += spare + slack - reduction*interferenceWeight - w.scarcity*scarcityWeight
	case step.Lasting:
		score += s.colocationScore(t, w)
		score -= float64(w.Capacity.Cores-w.used.Cores-step.Size.Cores) / capacity
	default:
		left := float64(w.Capacity.Cores-w.used.Cores-p.reservedOn(w).Cores-step.Size.Cores) / capacity
		if s.longRunningWaiting[t.job().service] {
			// Spread out, short tasks keep places from lasting ones that they will need again themselves.
			score += left
		} else {
			// The tightest fit leaves room for large tasks elsewhere.
			score -= left
		}
	}
	return score
}

// colocationScore rates a worker for a lasting task by the lasting images that are there already. Images suffer from
// different tasks that fill, so that a worker with one image has room for all those that don't disturb it.
func (s *Scheduler) colocationScore(t *task, w *Worker) float64 {
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
	score := -otherImagePenalty * float64(len(others))
	if same {
		score += sameImageBonus
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
	p := &gangPlan{rack: rack, reserved: map[*Worker]fleet.Size{}, members: map[*Worker]int{}}
	out := make([]*Worker, 0, len(st.tasks))
	for _, t := range st.tasks {
		w := s.findWorker(now, t, p)
		if w == nil {
			return nil
		}
		p.reserved[w] = p.reserved[w].Add(st.step().Reserved())
		p.members[w]++
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
