package dispatch

import (
	"math"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// longRunningUtilisation is the share of their declared cores that long-running tasks use on average. The rest is left
// to best-effort tasks.
const longRunningUtilisation = 0.5

const (
	// bestEffortOvercommit is the share of a worker's cores by which best-effort tasks may exceed what the other tasks
	// leave unused.
	bestEffortOvercommit = 0.1
	// interferenceWeight makes the score prefer workers on which a best-effort task disturbs no other over workers with
	// more spare cores.
	interferenceWeight = 8
	// scarcityWeight makes best-effort tasks that may run anywhere leave alone the workers that are scarce for other
	// images.
	scarcityWeight = 1.5
	// sameImageBonus and otherImagePenalty outweigh the tightest fit, whose score is between -1 and 0.
	sameImageBonus, otherImagePenalty = 1.5, 3
	// unsoundPenalty makes an overdue task prefer any sound worker.
	unsoundPenalty = 100
)

// gangPlan holds the workers chosen for the members of a gang before any member is started.
type gangPlan struct {
	// rack is the rack to which the members are confined, empty for any rack.
	rack string
	// reserved is the room that the plan has taken on each worker, members the number of members there.
	reserved map[*Worker]fleet.Size
	members  map[*Worker]int
}

// allows reports whether the plan may put another task of the step on the worker, apart from the worker's own rules. A
// nil plan holds no tasks.
func (p *gangPlan) allows(w *Worker, step *workflow.Step) bool {
	return p == nil || ((p.rack == "" || w.Rack == p.rack) && (step.MaxPerWorker == 0 || p.members[w] < step.MaxPerWorker))
}

// reservedOn returns the room that the plan has taken on the worker. A nil plan has taken none.
func (p *gangPlan) reservedOn(w *Worker) fleet.Size {
	if p == nil {
		return fleet.Size{}
	}
	return p.reserved[w]
}

// findWorker returns the best worker for the task, with the room left by the plan, which may be nil. It returns nil if
// no worker can take the task now.
func (s *Scheduler) findWorker(now time.Time, t *task, p *gangPlan) *Worker {
	return s.findAmong(now, t, p, s.byService[t.job().service])
}

// findAmong is findWorker for some workers of the task's service.
func (s *Scheduler) findAmong(now time.Time, t *task, p *gangPlan, workers []*Worker) *Worker {
	var best *Worker
	bestScore := math.Inf(-1)
	for _, w := range workers {
		if score, ok := s.rate(now, t, w, p); ok && score > bestScore && !w.hasNextRun(t) {
			best, bestScore = w, score
		}
	}
	return best
}

// isEligible reports whether the task may start on the worker now, regardless of room.
func (s *Scheduler) isEligible(now time.Time, t *task, w *Worker) bool {
	if w.trials > 0 && s.suspectOf(t) == nil {
		return false
	}
	return s.isSuitable(now, t, w) && w.mayStart(now, t) && !w.isReservedFrom(now, t)
}

// isSuitable reports whether the task may run on the worker, regardless of room and of the rules that keep it away for a
// while.
func (s *Scheduler) isSuitable(now time.Time, t *task, w *Worker) bool {
	step := t.step()
	if !s.isUsableFor(now, t, w) {
		return false
	}
	if step.MaxPerWorker > 0 && t.stage.tasksOn(w) >= step.MaxPerWorker {
		return false
	}
	if step.DataRack != "" && w.Rack != step.DataRack && s.staysNear(now, t) {
		return false
	}
	return true
}

// isUsableFor reports whether tasks like the given one may run on the worker, regardless of the other tasks there, of their
// rack and of the rules that keep them away for a while.
func (s *Scheduler) isUsableFor(now time.Time, t *task, w *Worker) bool {
	step := t.step()
	if !w.isUsable() || len(w.unknownRuns) > 0 || s.catalog.Evacuated[w.Zone] ||
		w.recordBatch == 0 || w.recordBatch > s.journal.committed {
		return false
	}
	if step.Label != "" && !w.hasLabel(step.Label) {
		return false
	}
	if t.job().needsTicket {
		ticket, ok := t.stage.tickets[w.ID]
		if !ok || !now.Before(ticket.validUntil) {
			return false
		}
	}
	return true
}

// hasNextRun reports whether the worker already has a run with the number that the next run of the task would have.
func (w *Worker) hasNextRun(t *task) bool {
	_, ok := w.runs[runKey{t.name, t.lastRun + 1}]
	return ok
}

// tasksOn returns the number of runs of the stage's tasks that occupy the worker.
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
func (w *Worker) fits(size fleet.Size) bool {
	return len(w.runs) < maxRunsPerWorker && w.used.Add(size).Fits(w.Capacity)
}

// spareCores returns the cores that are left for best-effort tasks, in thousandths. It needs a current value of
// pacedCores, which Scheduler.margins computes.
func (w *Worker) spareCores() int64 {
	batch := w.used.Cores - w.longRunningCores
	return w.Capacity.Cores - batch - int64(longRunningUtilisation*float64(w.longRunningCores)) - w.pacedCores
}

// score rates a worker for a task; higher is better.
func (s *Scheduler) score(now time.Time, t *task, w *Worker, p *gangPlan) float64 {
	step := t.step()
	capacity := float64(max(1, w.Capacity.Cores))
	score := 0.0
	if step.DataRack != "" && w.Rack == step.DataRack {
		score += 10
	}
	switch {
	case step.BestEffort:
		margin, reduction := s.marginWith(now, w, step)
		spare := float64(w.spareCores()-step.Size.Cores) / capacity
		if margin < 0 || spare < -bestEffortOvercommit || s.staysOverTarget(now, w) {
			return math.Inf(-1)
		}
		score += spare + margin - reduction*interferenceWeight - w.scarcity*scarcityWeight
	case step.LongRunning:
		score += s.colocationScore(t, w)
		score -= float64(w.Capacity.Cores-w.used.Cores-step.Size.Cores) / capacity
		if !w.isSound(now, t) {
			score -= unsoundPenalty
		}
	default:
		left := float64(w.Capacity.Cores-w.used.Cores-p.reservedOn(w).Cores-step.Size.Cores) / capacity
		if s.longRunningWaiting[t.job().service] {
			// Spread over the workers, short tasks keep long-running ones from taking room that short tasks will soon
			// need again.
			score += left
		} else {
			// The tightest fit leaves room for large tasks on other workers.
			score -= left
		}
	}
	return score
}

// colocationScore rates a worker for a long-running task by the long-running images that are there already. Each
// long-running image suffers from different best-effort images, so a worker with a single one has room for all the
// best-effort images that don't disturb it.
func (s *Scheduler) colocationScore(t *task, w *Worker) float64 {
	same := false
	var imageArray [16]string
	others := imageArray[:0]
	for _, r := range w.runs {
		step := r.task.step()
		switch {
		case !step.LongRunning:
		case step.Image == t.step().Image:
			same = true
		case !slices.Contains(others, step.Image):
			others = append(others, step.Image)
		}
	}
	score := -otherImagePenalty * float64(len(others))
	if same {
		score += sameImageBonus
	}
	return score
}

// planGang finds a worker for each member of a gang. It returns nil if there is no room for all members, or if they wait
// for room in one rack.
func (s *Scheduler) planGang(now time.Time, st *stage) []*Worker {
	if st.step().Colocated || st.step().DataRack != "" {
		return s.planNear(now, st)
	}
	return s.planMembers(now, st, "", s.byService[st.job().service])
}

// planMembers finds a worker for each member of a gang among the workers of the given rack, empty for any rack. It returns
// nil if there is no room for all members.
func (s *Scheduler) planMembers(now time.Time, st *stage, rack string, workers []*Worker) []*Worker {
	p := &gangPlan{rack: rack, reserved: map[*Worker]fleet.Size{}, members: map[*Worker]int{}}
	out := make([]*Worker, 0, len(st.tasks))
	for _, t := range st.tasks {
		w := s.findAmong(now, t, p, workers)
		if w == nil {
			return nil
		}
		p.reserved[w] = p.reserved[w].Add(st.step().Reserved())
		p.members[w]++
		out = append(out, w)
	}
	return out
}
