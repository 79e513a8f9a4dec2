package dispatch

import (
	"math"
	"time"
)

// A job is done when its last task is, so that a few slow workers delay most jobs of many tasks. Workers that get on
// much more slowly than the others get no tasks for a while, and those they have go on elsewhere if that is sooner.

const (
	// speedHalfLife is the time in which what was seen of a worker loses half of its weight.
	speedHalfLife = 3 * time.Second
	// commonHalfLife is the same for all workers together.
	commonHalfLife = 20 * time.Second
	// speedEvidence is the time of tasks that must have been seen before a worker is judged: single tasks may take a few
	// times their estimate.
	speedEvidence = 1500 * time.Millisecond
	// commonEvidence is the same for all workers together.
	commonEvidence = 15 * time.Second
	// slowShare is the part of the common speed below which a worker is slow.
	slowShare = 0.4
	// slowFor is how long a slow worker gets no tasks, and probeFor how long after that it gets one at a time.
	slowFor  = 4 * time.Second
	probeFor = 6 * time.Second
	// speedInterval is the shortest time between two looks at the progress of a run: it is told in whole percents.
	speedInterval = 150 * time.Millisecond
	// moveOverhead is what a move costs beside the work: the stop, the report of the end and the start elsewhere.
	moveOverhead = 800 * time.Millisecond
	// moveGain is by how much sooner a task must be done elsewhere.
	moveGain = 1.5
)

// speed is how much estimated work was done in how much time, both in seconds, with the older the less.
type speed struct {
	made, spent float64
	at          time.Time
}

func (v *speed) add(now time.Time, halfLife time.Duration, made, spent float64) {
	v.fade(now, halfLife)
	v.made += made
	v.spent += spent
}

func (v *speed) fade(now time.Time, halfLife time.Duration) {
	if !v.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(v.at)) / float64(halfLife))
		v.made, v.spent = v.made*f, v.spent*f
	}
	v.at = now
}

// mean is the estimated work done in a second.
func (v *speed) mean() float64 { return v.made / max(v.spent, 1e-9) }

// measure takes over the progress of a run since the last look at it. Runs whose time says nothing of the worker are left
// out: those that fill, which get what others leave, those away from their data, and members of gangs.
func (s *Scheduler) measure(now time.Time, r *run, percent int) {
	step := r.task.step()
	remote := step.DataRack != "" && r.worker.Rack != step.DataRack
	if step.LongRunning || step.BestEffort || step.Gang || remote || step.Estimate <= 0 || r.phase != phaseRunning {
		r.looked = time.Time{}
		return
	}
	spent := now.Sub(r.looked)
	if r.looked.IsZero() || percent < r.seen {
		r.looked, r.seen = now, percent
		return
	}
	if spent < speedInterval {
		return
	}
	made := float64(percent-r.seen) / 100 * step.Estimate.Seconds()
	r.worker.speed.add(now, speedHalfLife, made, spent.Seconds())
	s.speed.add(now, commonHalfLife, made, spent.Seconds())
	r.looked, r.seen = now, percent
}

// judge keeps tasks away from a worker that has turned slow and moves those it has.
func (s *Scheduler) judge(now time.Time, w *Worker) {
	w.speed.fade(now, speedHalfLife)
	if w.speed.spent < speedEvidence.Seconds() || s.speed.spent < commonEvidence.Seconds() ||
		w.speed.mean() >= slowShare*s.speed.mean() {
		return
	}
	if !now.Before(w.health.slowUntil) {
		s.note(Event{Kind: "worker slow", Worker: w.ID})
	}
	w.health.slowUntil = now.Add(slowFor)
	for _, r := range s.runsOf(w) {
		s.moveSlow(now, r)
	}
}

// moveSlow lets a task go on at another worker if it is done there much sooner.
func (s *Scheduler) moveSlow(now time.Time, r *run) {
	t, step := r.task, r.task.step()
	if r.phase != phaseRunning || r.looked.IsZero() || len(t.runs) != 1 || t.done {
		return
	}
	left := float64(100-r.percent) / 100 * step.Estimate.Seconds()
	here := left / max(r.worker.speed.mean(), 1e-3)
	again := step.Estimate.Seconds()
	if step.Checkpointing {
		again = left
	}
	if here < moveGain*(again/s.speed.mean()+moveOverhead.Seconds()) {
		return
	}
	w := s.place(now, t, nil)
	if w == nil || w == r.worker {
		return
	}
	if step.Speculative {
		s.start(now, t, w)
		return
	}
	s.stop(now, r, "worker is slow")
}

// isSlow reports whether the worker should get no further task for its slowness.
func (w *Worker) isSlow(now time.Time) bool {
	until := w.health.slowUntil
	if until.IsZero() || !now.Before(until.Add(probeFor)) {
		return false
	}
	if now.Before(until) {
		return true
	}
	for _, r := range w.runs {
		if !r.task.step().LongRunning {
			return true
		}
	}
	return false
}
