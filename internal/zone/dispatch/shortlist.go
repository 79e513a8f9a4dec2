package dispatch

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Hundreds of workers report within the time between two decisions, and hundreds of tasks may wait. So the workers are
// rated once for all tasks of a stage, and a stage for which no worker had room is compared only with the workers that
// have changed since.

// fullScanInterval is the interval at which a waiting stage is compared with all workers: pauses of workers end without
// a change.
const fullScanInterval = 250 * time.Millisecond

// markChanged notes that the worker may have become able to take a task that it could not take before.
func (s *Scheduler) markChanged(w *Worker) {
	if !w.changed {
		w.changed = true
		s.changedWorkers = append(s.changedWorkers, w)
	}
}

// markAllChanged has all waiting stages compared with all workers.
func (s *Scheduler) markAllChanged() { s.scanEpoch++ }

// clearChanges forgets the changes, after all waiting stages were compared with the changed workers.
func (s *Scheduler) clearChanges() {
	for _, w := range s.changedWorkers {
		w.changed = false
	}
	clear(s.changedWorkers)
	s.changedWorkers = s.changedWorkers[:0]
	s.decisions++
}

// scanState says which workers certainly have no room for the next task of a stage.
type scanState struct {
	// decision is the decision in which no worker had room, counted by Scheduler.decisions, epoch the value of
	// Scheduler.scanEpoch at that time. They are valid if noRoom is set.
	decision, epoch uint64
	noRoom          bool
	// fullScanAt is when the stage was last compared with all workers.
	fullScanAt time.Time
}

// candidates returns the workers that may have room for the stage, ordered by ID.
func (s *Scheduler) candidates(now time.Time, st *stage) []*Worker {
	scan := &st.scan
	if !scan.noRoom || scan.epoch != s.scanEpoch || scan.decision+1 != s.decisions ||
		now.Sub(scan.fullScanAt) >= fullScanInterval {
		scan.fullScanAt = now
		return s.byService[st.job().service]
	}
	var out []*Worker
	for _, w := range s.changedWorkers {
		if w.Service == st.job().service && s.workers[w.ID] == w {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// markNoRoom notes that no worker had room for the stage in the present decision.
func (s *Scheduler) markNoRoom(st *stage) {
	st.scan.noRoom, st.scan.decision, st.scan.epoch = true, s.decisions, s.scanEpoch
}

// isPlain reports whether the same workers can take the task as any other plain task of its stage.
func (t *task) isPlain() bool { return len(t.failedRuns) == 0 && t.step().DataRack == "" }

// ratedWorker is a worker with its score for the tasks of a stage. Index is its position among the candidates.
type ratedWorker struct {
	worker *Worker
	score  float64
	index  int
}

// shortlist is a heap of the workers that can take the plain tasks of a stage, the best first.
type shortlist []ratedWorker

func (l shortlist) Len() int      { return len(l) }
func (l shortlist) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *shortlist) Push(x any)   { *l = append(*l, x.(ratedWorker)) }
func (l shortlist) Less(i, j int) bool {
	return l[i].score > l[j].score || (l[i].score == l[j].score && l[i].index < l[j].index)
}

func (l *shortlist) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// newShortlist rates the candidates for a plain task.
func (s *Scheduler) newShortlist(now time.Time, t *task, candidates []*Worker) *shortlist {
	l := &shortlist{}
	for i, w := range candidates {
		if score, ok := s.rate(now, t, w, nil); ok {
			*l = append(*l, ratedWorker{w, score, i})
		}
	}
	heap.Init(l)
	return l
}

// rerate rates a worker of the list again after a task was started there.
func (s *Scheduler) rerate(now time.Time, l *shortlist, t *task, w *Worker) {
	i := slices.IndexFunc(*l, func(r ratedWorker) bool { return r.worker == w })
	if i < 0 {
		return
	}
	score, ok := s.rate(now, t, w, nil)
	if !ok {
		heap.Remove(l, i)
		return
	}
	(*l)[i].score = score
	heap.Fix(l, i)
}

// stageChoice holds what is known while the tasks of one stage are started.
type stageChoice struct {
	// candidates and list are nil until the first plain task.
	candidates []*Worker
	list       *shortlist
	// noneForOthers is set once no worker was found for a task that is not plain.
	noneForOthers bool
	// near is nil until the first task with a data rack.
	near *nearChoice
}

// chooseWorker returns the best worker for a task of a stage, nil if there is none. noRoom is set if no worker has room
// for any plain task of the stage.
func (s *Scheduler) chooseWorker(now time.Time, t *task, c *stageChoice) (w *Worker, noRoom bool) {
	if t.step().DataRack != "" {
		return s.chooseNear(now, t, c), false
	}
	if !t.isPlain() {
		if !c.noneForOthers {
			w = s.findWorker(now, t, nil)
			c.noneForOthers = w == nil
		}
		return w, false
	}
	if c.list == nil {
		c.candidates = s.candidates(now, t.stage)
		c.list = s.newShortlist(now, t, c.candidates)
	}
	if c.list.Len() == 0 {
		return nil, true
	}
	if w = (*c.list)[0].worker; w.hasNextRun(t) {
		w = s.findAmong(now, t, nil, c.candidates)
	}
	return w, false
}

// rate returns the score of a worker for the task, with the room left by the plan, which may be nil. It returns false
// if the worker can't take the task now.
func (s *Scheduler) rate(now time.Time, t *task, w *Worker, p *gangPlan) (float64, bool) {
	step := t.step()
	if !p.allows(w, step) || !w.fits(p.reservedOn(w).Add(step.Reserved())) || !s.isEligible(now, t, w) {
		return 0, false
	}
	score := s.score(now, t, w, p)
	return score, score > math.Inf(-1)
}
