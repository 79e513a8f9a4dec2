package policy

import (
	"fmt"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Reason is why a task got no worker.
type Reason string

// The reasons of PlaceTask.
const (
	// ReasonTooLarge, ReasonTaskFails and ReasonJobFails mean that waiting does not help; the task should be refused
	// or parked.
	ReasonTooLarge  Reason = "no known worker is large enough"
	ReasonTaskFails Reason = "failed on 3 workers"
	ReasonJobFails  Reason = "job failed on 3 workers without a success"

	ReasonNoRoom        Reason = "no worker has room"
	ReasonSlowdown      Reason = "would slow down urgent calls"
	ReasonTrial         Reason = "class is on trial on one worker"
	ReasonQuota         Reason = "team quota is used up and nothing can be lent"
	ReasonNotTrusted    Reason = "workers with room are not trusted yet"
	ReasonFailedWorkers Reason = "task failed on the workers with room"
	ReasonClassFails    Reason = "class failed on 3 workers without a success and gets a probe only"
	ReasonNoWorkers     Reason = "no worker is held"
)

// Candidate is a pending task.
type Candidate struct {
	Task, Job, Class, Team string
	// Size is the declared size.
	Size fleet.Size
	// Attempts is the number of earlier attempts.
	Attempts int
	// FailedOn names the workers on which the task failed.
	FailedOn []string
}

// Placement is the decision about a candidate.
type Placement struct {
	// Worker is empty if the task must wait or be parked.
	Worker string
	// Size is the size to reserve on the worker and to send with the start, as fleet.StartRequest.Size.
	Size   fleet.Size
	Reason Reason
	// Park is set when waiting does not help.
	Park bool
}

const (
	// maxCompared bounds the suitable workers compared per decision, maxExamined the workers examined.
	maxCompared, maxExamined = 8, 32
	// maxFailedWorkers is the number of workers on which a task may fail before it is parked (design section 8).
	maxFailedWorkers = 3
	// maxTrialLoad is the largest fraction of a worker's cores or memory that is planned for a class on trial.
	// Declared sizes are expected to be wrong by a factor of 4 at most; even then half of the worker stays free.
	maxTrialLoad = 0.12
	// minSizeReports is the number of reports after which the size of a class counts as known. maxSizeWait after the
	// start of the first trial the declared size is used, for workers that report no usage.
	minSizeReports, maxSizeWait = 3, 10 * time.Minute
	// A task that costs more than costlyFactor times Policy.meanCost may fill a worker only up to costlyLimit of the
	// accepted slowdown. Otherwise long tasks of classes with strong interference would accumulate: they use
	// any room left by errors of the estimates and stay when the room is gone.
	costlyFactor, costlyLimit = 2, 0.6
	// meanCostGain is the weight of a placement in the running mean of costs.
	meanCostGain = 0.01
	// failedTaskLimit is the largest slowdown ratio accepted for a task that failed before. It is just below
	// throttleFactor, so that the task is not throttled at once.
	failedTaskLimit = 1.2
	// maxTrialTime bounds a trial on a worker that yields no reports.
	maxTrialTime = 5 * time.Minute
)

// RefusalReason returns why a task of the class and declared size can run on no known worker, or an empty text if it
// can or no worker is known.
func (p *Policy) RefusalReason(className string, size fleet.Size) string {
	if len(p.heldCapacities)+len(p.remoteCapacities) == 0 || p.fitsAnywhere(p.class(className), size) {
		return ""
	}
	return fmt.Sprintf("%s: %d cores, %d MiB, %d accelerators", ReasonTooLarge,
		(size.Cores+999)/1000, size.Memory, size.Accelerators)
}

// fitsAnywhere reports whether any known worker is large enough for the declared or the learned size.
func (p *Policy) fitsAnywhere(c *class, size fleet.Size) bool {
	plan := c.size.plan(size)
	return p.heldCapacities.fits(size) || p.heldCapacities.fits(plan) ||
		p.remoteCapacities.fits(size) || p.remoteCapacities.fits(plan)
}

// PlaceTask chooses a worker for the task from a bounded sample. It reports false if the task gets no worker now; the
// placement then holds the reason. The caller reports a placement that it uses with StartMsg.
func (p *Policy) PlaceTask(now time.Time, t Candidate) (Placement, bool) {
	c := p.class(t.Class)
	p.activeUrgent = p.activeUrgent[:0]
	for _, u := range p.urgentClasses {
		if u.isActive(now) {
			p.activeUrgent = append(p.activeUrgent, u)
		}
	}
	pl := p.place(now, c, t)
	if pl.Worker != "" && c.failures.isFaulty() {
		c.lastProbeAt = now
	}
	if pl.Worker == "" {
		c.waitReason, c.waitReasonAt = pl.Reason, now
		return pl, false
	}
	return pl, true
}

func (p *Policy) place(now time.Time, c *class, t Candidate) Placement {
	switch {
	case len(p.workers) == 0:
		return Placement{Reason: ReasonNoWorkers}
	case len(t.FailedOn) >= maxFailedWorkers:
		return Placement{Reason: ReasonTaskFails, Park: true}
	case p.isFaultyJob(t.Job):
		return Placement{Reason: ReasonJobFails, Park: true}
	case !p.fitsAnywhere(c, t.Size):
		return Placement{Reason: ReasonTooLarge, Park: true}
	case c.failures.isFaulty() && len(t.FailedOn) == 0 && now.Sub(c.lastProbeAt) < classProbeInterval:
		return Placement{Reason: ReasonClassFails}
	}
	size := c.size.plan(t.Size)
	if !p.heldCapacities.fits(size) {
		size = t.Size
	}
	tm := p.team(t.Team)
	fits := tm.fitsQuota(size)
	if !fits && len(t.FailedOn) == 0 {
		if s := p.starvingTeam(now); s != nil && s != tm {
			return Placement{Reason: ReasonQuota}
		}
	}
	trial, wait := p.needsTrial(now, c)
	if wait && c.trialWorker == "" {
		return Placement{Reason: ReasonTrial}
	}
	if trial && c.trialWorker != "" {
		w := p.workers[c.trialWorker]
		if _, reason := p.checkWorker(now, w, c, t, size, true); reason != "" {
			return Placement{Reason: ReasonTrial}
		}
		return Placement{Worker: w.name, Size: size}
	}
	w, reason := p.chooseWorker(now, c, t, size, trial)
	if w == nil {
		if fits && (reason == ReasonNoRoom || reason == ReasonSlowdown) {
			tm.starvedAt, tm.starvedSize = now, size
			p.starvedTeam = tm
		}
		return Placement{Reason: reason}
	}
	if trial {
		c.trialWorker, c.trialStartedAt = w.name, now
		if c.firstTrialAt.IsZero() {
			c.firstTrialAt = now
		}
	}
	if !trial {
		p.recordCost(w, c, size)
	}
	return Placement{Worker: w.name, Size: size}
}

// needsTrial reports whether the size of the class or its interference with an active urgent class is unknown. It ends
// a trial that is no longer needed, whose worker is gone or that lasted too long. If wait is set, a new trial should
// wait because the undisturbed execution time of an urgent class is unknown, and the slowdown could not be told apart
// from it.
func (p *Policy) needsTrial(now time.Time, c *class) (unknown, wait bool) {
	for _, u := range p.activeUrgent {
		// An urgent class with few calls must not hold back batch work: its interference cannot become known.
		if !u.hasEnoughCalls(now) {
			continue
		}
		u.interference.resetStale(now, c)
		if !p.isPairKnown(u, c) {
			unknown = true
			wait = wait || !u.interference.isSettled(now)
		}
	}
	if c.size.memory.reports < minSizeReports && (c.firstTrialAt.IsZero() || now.Sub(c.firstTrialAt) < maxSizeWait) {
		unknown = true
	}
	if c.trialWorker != "" && (!unknown || p.workers[c.trialWorker] == nil || now.Sub(c.trialStartedAt) > maxTrialTime) {
		c.trialWorker = ""
	}
	return unknown, wait
}

// chooseWorker samples workers with enough free cores and returns the one with the lowest predicted slowdown ratio;
// among about equal ones, more free cores win. Tasks that need no accelerator go to workers without accelerators first.
func (p *Policy) chooseWorker(now time.Time, c *class, t Candidate, size fleet.Size, trial bool) (*worker, Reason) {
	indexes := [2]*freeIndex{&p.plainWorkers, &p.acceleratorWorkers}
	if size.Accelerators > 0 {
		indexes = [2]*freeIndex{&p.acceleratorWorkers, nil}
	}
	reason := ReasonNoRoom
	for _, index := range indexes {
		if index == nil {
			break
		}
		n := index.count(size.Cores)
		if n == 0 {
			continue
		}
		var best *worker
		lowest := 0.0
		found := 0
		start := p.rand.IntN(n)
		for i := range min(n, maxExamined) {
			at := (start + i) % n
			if n > maxExamined {
				at = p.rand.IntN(n)
			}
			w := index.workerAt(size.Cores, at)
			ratio, r := p.checkWorker(now, w, c, t, size, trial)
			if r != "" {
				if r != ReasonNoRoom || reason == ReasonNoRoom {
					reason = r
				}
				continue
			}
			ratio -= 0.01 * float64(w.free().Cores) / float64(w.capacity.Cores)
			if best == nil || ratio < lowest {
				best, lowest = w, ratio
			}
			if found++; found == maxCompared {
				break
			}
		}
		if best != nil {
			return best, ""
		}
	}
	return nil, reason
}

// checkWorker returns why the worker does not suit the task, or an empty reason and the slowdown ratio predicted with
// the task.
func (p *Policy) checkWorker(
	now time.Time, w *worker, c *class, t Candidate, size fleet.Size, trial bool,
) (float64, Reason) {
	free := w.free()
	if w.unschedulable || !size.Fits(free) {
		return 0, ReasonNoRoom
	}
	if f := p.UsableFraction(now); f < 1 && float64(w.committed.Cores+size.Cores) > f*float64(w.capacity.Cores) {
		return 0, ReasonNoRoom
	}
	if size.Accelerators == 0 && free.Accelerators > 0 && !w.leavesRoomForAccelerators(free, size) {
		return 0, ReasonNoRoom
	}
	if slices.Contains(t.FailedOn, w.name) {
		return 0, ReasonFailedWorkers
	}
	if !w.acceptsTask(now) {
		return 0, ReasonNotTrusted
	}
	before, after := p.slowdownRatio(w, c, size)
	if trial {
		hist := w.history(c)
		// The first task of a trial may exceed maxTrialLoad; otherwise a class of large tasks would never be tried.
		if hist.planned == (fleet.Size{}) {
			return after, ""
		}
		load := w.load(hist) + float64(size.Cores)/float64(w.capacity.Cores)
		memory := float64(hist.planned.Memory+size.Memory) / float64(w.capacity.Memory)
		if load > maxTrialLoad || memory > maxTrialLoad {
			return 0, ReasonTrial
		}
		return after, ""
	}
	limit := 1.0
	if after-before > costlyFactor*p.meanCost*float64(size.Cores)/float64(w.capacity.Cores) {
		limit = costlyLimit
	}
	if len(t.FailedOn) > 0 {
		// The next run of a failed task decides whether it is parked; that decision must not be delayed for long.
		limit = failedTaskLimit
	}
	if after > limit {
		return 0, ReasonSlowdown
	}
	return after, ""
}

// recordCost updates meanCost for a placement of class c on the worker.
func (p *Policy) recordCost(w *worker, c *class, size fleet.Size) {
	before, after := p.slowdownRatio(w, c, size)
	p.meanCost += meanCostGain * ((after-before)*float64(w.capacity.Cores)/float64(max(size.Cores, 1)) - p.meanCost)
}

// leavesRoomForAccelerators reports whether, after a task that needs no accelerator, the free accelerators still have
// half of their proportional cores and memory.
func (w *worker) leavesRoomForAccelerators(free, size fleet.Size) bool {
	left := free.Sub(size)
	fraction := 0.5 * float64(free.Accelerators) / float64(w.capacity.Accelerators)
	return float64(left.Cores) >= fraction*float64(w.capacity.Cores) &&
		float64(left.Memory) >= fraction*float64(w.capacity.Memory)
}

// slowdownRatio returns the largest predicted slowdown of the active urgent classes on the worker as a fraction of the
// accepted slowdown, without and with a task of class c and that size.
func (p *Policy) slowdownRatio(w *worker, c *class, size fleet.Size) (before, after float64) {
	p.workerLoads = p.workerLoads[:0]
	for _, hist := range w.histories {
		if hist.currentCores() > 0 {
			p.workerLoads = append(p.workerLoads, classLoad{hist.class, w.load(hist)})
		}
	}
	extra := float64(size.Cores) / float64(w.capacity.Cores)
	for _, u := range p.activeUrgent {
		var sum float64
		for _, l := range p.workerLoads {
			sum += p.pairSlowdown(u, l.class) * l.fraction
		}
		before = max(before, sum/u.acceptedSlowdown)
		after = max(after, (sum+max(p.pairSlowdown(u, c), 0)*extra)/u.acceptedSlowdown)
	}
	return before, after
}

// classLoad is the fraction of a worker's cores that a class uses.
type classLoad struct {
	class    *class
	fraction float64
}
