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
	// ReasonTooLarge and ReasonFails mean that waiting does not help; the task should be refused or parked.
	ReasonTooLarge Reason = "no known worker is large enough"
	ReasonFails    Reason = "failed on 3 workers"
	ReasonJobFails Reason = "job failed on 3 workers without a success"

	ReasonRoom       Reason = "no worker has room"
	ReasonHarm       Reason = "would slow down urgent calls"
	ReasonTrial      Reason = "class is on trial on one worker"
	ReasonQuota      Reason = "team quota is used up and nothing can be lent"
	ReasonQuarantine Reason = "workers with room are not trusted yet"
	ReasonAvoid      Reason = "task failed on the workers with room"
	ReasonClass      Reason = "class failed on 3 workers without a success and gets a probe only"
	ReasonNone       Reason = "no worker is held"
)

// Candidate is a pending task.
type Candidate struct {
	Task, Job, Class, Team string
	// Size is the declared size.
	Size fleet.Size
	// Attempts is the number of earlier attempts.
	Attempts int
	// Avoid names the workers on which the task failed.
	Avoid []string
}

// Placement is the decision about a candidate.
type Placement struct {
	// Worker is empty if the task must wait or be parked.
	Worker string
	// Size is what to reserve and send in the order.
	Size   fleet.Size
	Reason Reason
	// Park is set when waiting does not help.
	Park bool
}

const (
	// samples is the number of workers compared, and attempts the number looked at, per decision.
	samples, lookups = 8, 32
	// parkWorkers is the number of workers a task may fail on (design section 8).
	parkWorkers = 3
	// trialLoad is the largest share of a worker's cores or memory that a class on trial is planned with. Four
	// times that, the largest error of declared sizes expected, still leaves half of the worker.
	trialLoad = 0.12
	// sizeReports is the number of reports after which the size of a class counts as known. sizeWait after the
	// first trial the declared size is used, for workers that report no use.
	sizeReports, sizeWait = 3, 10 * time.Minute
	// A task that costs more than dearFactor times the mean harm per core may fill a worker only up to
	// dearLimit of the accepted harm. Long tasks of harmful classes would otherwise gather: they fill every
	// gap that the error of the estimates leaves and stay when it closes.
	dearFactor, dearLimit = 2, 0.6
	priceGain             = 0.01
	// retryLimit is the limit for tasks that failed before, just below the one from which tasks are throttled.
	retryLimit = 1.2
	// trialLength bounds a trial on a worker that yields no reports.
	trialLength = 5 * time.Minute
)

// Refusal returns why a task of the class and declared size can run on no known worker, or an empty text.
func (p *Policy) Refusal(className string, size fleet.Size) string {
	if len(p.shapes)+len(p.elsewhere) == 0 || p.fits(p.class(className), size) {
		return ""
	}
	return fmt.Sprintf("%s: %d cores, %d MiB, %d accelerators", ReasonTooLarge,
		(size.Cores+999)/1000, size.Memory, size.Accelerators)
}

// fits reports whether any known worker is large enough by the declared or by the learned size.
func (p *Policy) fits(c *class, size fleet.Size) bool {
	plan := c.size.plan(size)
	return p.shapes.fits(size) || p.shapes.fits(plan) || p.elsewhere.fits(size) || p.elsewhere.fits(plan)
}

// PlaceTask chooses a worker for the task. It looks at a bounded sample of workers.
func (p *Policy) PlaceTask(now time.Time, t Candidate) (Placement, bool) {
	c := p.class(t.Class)
	p.live = p.live[:0]
	for _, u := range p.urgent {
		if u.active(now) {
			p.live = append(p.live, u)
		}
	}
	pl := p.place(now, c, t)
	if pl.Worker != "" && c.record.faulty() {
		c.probed = now
	}
	if pl.Worker == "" {
		c.blocked, c.blockedAt = pl.Reason, now
		return pl, false
	}
	return pl, true
}

func (p *Policy) place(now time.Time, c *class, t Candidate) Placement {
	switch {
	case len(p.workers) == 0:
		return Placement{Reason: ReasonNone}
	case len(t.Avoid) >= parkWorkers:
		return Placement{Reason: ReasonFails, Park: true}
	case p.faultyJob(t.Job):
		return Placement{Reason: ReasonJobFails, Park: true}
	case !p.fits(c, t.Size):
		return Placement{Reason: ReasonTooLarge, Park: true}
	case c.record.faulty() && len(t.Avoid) == 0 && now.Sub(c.probed) < classProbe:
		return Placement{Reason: ReasonClass}
	}
	size := c.size.plan(t.Size)
	if !p.shapes.fits(size) {
		size = t.Size
	}
	tm := p.team(t.Team)
	within := tm.within(size)
	if !within && len(t.Avoid) == 0 {
		if s := p.starving(now); s != nil && s != tm {
			return Placement{Reason: ReasonQuota}
		}
	}
	trial, wait := p.trial(now, c)
	if wait && c.trial == "" {
		return Placement{Reason: ReasonTrial}
	}
	if trial && c.trial != "" {
		w := p.workers[c.trial]
		if _, reason := p.check(now, w, c, t, size, true); reason != "" {
			return Placement{Reason: ReasonTrial}
		}
		return Placement{Worker: w.name, Size: size}
	}
	w, reason := p.choose(now, c, t, size, trial)
	if w == nil {
		if within && (reason == ReasonRoom || reason == ReasonHarm) {
			tm.starved, tm.need = now, size
			p.starved = tm
		}
		return Placement{Reason: reason}
	}
	if trial {
		c.trial, c.tried = w.name, now
		if c.first.IsZero() {
			c.first = now
		}
	}
	if !trial {
		p.paid(w, c, size)
	}
	return Placement{Worker: w.name, Size: size}
}

// trial reports whether the class has an unknown pair with an active urgent class or an unknown size. It ends a trial whose
// worker is gone or that lasted too long. A new trial should wait while the undisturbed execution time of the
// urgent class is unknown, since it cannot be told from the slowdown.
func (p *Policy) trial(now time.Time, c *class) (unknown, wait bool) {
	for _, u := range p.live {
		// A quiet class must not hold batch work up: its pairs cannot become known.
		if !u.busy(now) {
			continue
		}
		u.model.expire(now, c)
		if !p.known(u, c) {
			unknown = true
			wait = wait || !u.model.settled(now)
		}
	}
	if c.size.memory.n < sizeReports && (c.first.IsZero() || now.Sub(c.first) < sizeWait) {
		unknown = true
	}
	if c.trial != "" && (!unknown || p.workers[c.trial] == nil || now.Sub(c.tried) > trialLength) {
		c.trial = ""
	}
	return unknown, wait
}

// choose samples workers with enough free cores and returns the one with the least predicted harm. Tasks
// that need no accelerator go to workers without one first.
func (p *Policy) choose(now time.Time, c *class, t Candidate, size fleet.Size, trial bool) (*worker, Reason) {
	indexes := [2]*freeIndex{&p.plain, &p.accelerated}
	if size.Accelerators > 0 {
		indexes = [2]*freeIndex{&p.accelerated, nil}
	}
	reason := ReasonRoom
	for _, x := range indexes {
		if x == nil {
			break
		}
		n := x.count(size.Cores)
		if n == 0 {
			continue
		}
		var best *worker
		bestHarm := 0.0
		found := 0
		start := p.rand.IntN(n)
		for i := range min(n, lookups) {
			at := (start + i) % n
			if n > lookups {
				at = p.rand.IntN(n)
			}
			w := x.at(size.Cores, at)
			h, r := p.check(now, w, c, t, size, trial)
			if r != "" {
				if r != ReasonRoom || reason == ReasonRoom {
					reason = r
				}
				continue
			}
			h -= 0.01 * float64(w.free().Cores) / float64(w.capacity.Cores)
			if best == nil || h < bestHarm {
				best, bestHarm = w, h
			}
			if found++; found == samples {
				break
			}
		}
		if best != nil {
			return best, ""
		}
	}
	return nil, reason
}

// check returns why the worker does not suit the task, or an empty reason and the harm predicted with the task,
// as a share of what is accepted.
func (p *Policy) check(now time.Time, w *worker, c *class, t Candidate, size fleet.Size, trial bool) (float64, Reason) {
	free := w.free()
	if w.closed || !size.Fits(free) {
		return 0, ReasonRoom
	}
	if f := p.Ramp(now); f < 1 && float64(w.committed.Cores+size.Cores) > f*float64(w.capacity.Cores) {
		return 0, ReasonRoom
	}
	if size.Accelerators == 0 && free.Accelerators > 0 && !w.spares(free, size) {
		return 0, ReasonRoom
	}
	if slices.Contains(t.Avoid, w.name) {
		return 0, ReasonAvoid
	}
	if !w.admits(now) {
		return 0, ReasonQuarantine
	}
	before, after := p.harmOf(w, c, size)
	if trial {
		l := w.level(c)
		if l.planned == (fleet.Size{}) {
			return after, ""
		}
		load := w.load(l) + float64(size.Cores)/float64(w.capacity.Cores)
		memory := float64(l.planned.Memory+size.Memory) / float64(w.capacity.Memory)
		if load > trialLoad || memory > trialLoad {
			return 0, ReasonTrial
		}
		return after, ""
	}
	limit := 1.0
	if after-before > dearFactor*p.price*float64(size.Cores)/float64(w.capacity.Cores) {
		limit = dearLimit
	}
	if len(t.Avoid) > 0 {
		// The next run of a failed task decides whether it is parked, which must not wait for long.
		limit = retryLimit
	}
	if after > limit {
		return 0, ReasonHarm
	}
	return after, ""
}

// paid updates the running mean of the harm per share of a worker that placements cost.
func (p *Policy) paid(w *worker, c *class, size fleet.Size) {
	before, after := p.harmOf(w, c, size)
	p.price += priceGain * ((after-before)*float64(w.capacity.Cores)/float64(max(size.Cores, 1)) - p.price)
}

// spares reports whether the free accelerators keep a proportional half of the cores and memory after a task
// that needs none.
func (w *worker) spares(free, size fleet.Size) bool {
	left := free.Sub(size)
	share := 0.5 * float64(free.Accelerators) / float64(w.capacity.Accelerators)
	return float64(left.Cores) >= share*float64(w.capacity.Cores) &&
		float64(left.Memory) >= share*float64(w.capacity.Memory)
}

// harmOf returns the largest predicted slowdown of the urgent classes in live on the worker, as a share of what
// is accepted, without and with a task of class c and that size.
func (p *Policy) harmOf(w *worker, c *class, size fleet.Size) (before, after float64) {
	p.loads = p.loads[:0]
	for _, l := range w.levels {
		if l.value() > 0 {
			p.loads = append(p.loads, load{l.class, w.load(l)})
		}
	}
	extra := float64(size.Cores) / float64(w.capacity.Cores)
	for _, u := range p.live {
		var sum float64
		for _, l := range p.loads {
			sum += p.k(u, l.class) * l.share
		}
		before = max(before, sum/u.allow)
		after = max(after, (sum+max(p.k(u, c), 0)*extra)/u.allow)
	}
	return before, after
}

// load is the share of a worker's cores that a class uses.
type load struct {
	class *class
	share float64
}
