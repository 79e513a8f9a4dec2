package dispatch

import (
	"math"
	"time"
)

// A job is done when its last task is, so that a few slow workers delay most jobs of many tasks. Workers that get on
// much more slowly than the others get no tasks for a while, and those they have go on elsewhere if that is sooner.

const (
	// workerSpeedHalfLife is the time in which what was seen of a worker loses half of its weight.
	workerSpeedHalfLife = 3 * time.Second
	// fleetSpeedHalfLife is the same for all workers together.
	fleetSpeedHalfLife = 20 * time.Second
	// workerSpeedMinTime is the time of tasks that must have been seen before a worker is judged: single tasks may take a few
	// times their estimate.
	workerSpeedMinTime = 1500 * time.Millisecond
	// fleetSpeedMinTime is the same for all workers together.
	fleetSpeedMinTime = 15 * time.Second
	// slowSpeedRatio is the part of the common speed below which a worker is slow.
	slowSpeedRatio = 0.4
	// slowPause is how long a slow worker gets no tasks, and probeFor how long after that it gets one at a time.
	slowPause       = 4 * time.Second
	slowProbePeriod = 6 * time.Second
	// progressInterval is the shortest time between two looks at the progress of a run: it is told in whole percents.
	progressInterval = 150 * time.Millisecond
	// moveOverhead is what a move costs beside the work: the stop, the report of the end and the start elsewhere.
	moveOverhead = 800 * time.Millisecond
	// minMoveGain is by how much sooner a task must be done elsewhere.
	minMoveGain = 1.5
)

// speedEstimate is how much estimated work was done in how much time, both in seconds, with the older the less.
type speedEstimate struct {
	workSeconds, elapsedSeconds float64
	updatedAt                   time.Time
}

func (v *speedEstimate) add(now time.Time, halfLife time.Duration, work, elapsed float64) {
	v.decay(now, halfLife)
	v.workSeconds += work
	v.elapsedSeconds += elapsed
}

func (v *speedEstimate) decay(now time.Time, halfLife time.Duration) {
	if !v.updatedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(v.updatedAt)) / float64(halfLife))
		v.workSeconds, v.elapsedSeconds = v.workSeconds*f, v.elapsedSeconds*f
	}
	v.updatedAt = now
}

// mean is the estimated work done in a second.
func (v *speedEstimate) mean() float64 { return v.workSeconds / max(v.elapsedSeconds, 1e-9) }

// measureProgress takes over the progress of a run since the last look at it. Runs whose time says nothing of the worker are left
// out: those that fill, which get what others leave, those away from their data, and members of gangs.
func (s *Scheduler) measureProgress(now time.Time, r *run, percent int) {
	step := r.task.step()
	remote := step.Rack != "" && r.worker.Rack != step.Rack
	if step.Lasting || step.Fills || step.Gang || remote || step.Estimate <= 0 || r.phase != phaseRunning {
		r.measuredAt = time.Time{}
		return
	}
	elapsed := now.Sub(r.measuredAt)
	if r.measuredAt.IsZero() || percent < r.measuredPercent {
		r.measuredAt, r.measuredPercent = now, percent
		return
	}
	if elapsed < progressInterval {
		return
	}
	work := float64(percent-r.measuredPercent) / 100 * step.Estimate.Seconds()
	r.worker.speed.add(now, workerSpeedHalfLife, work, elapsed.Seconds())
	s.fleetSpeed.add(now, fleetSpeedHalfLife, work, elapsed.Seconds())
	r.measuredAt, r.measuredPercent = now, percent
}

// handleSlowWorker keeps tasks away from a worker that has turned slow and moves those it has.
func (s *Scheduler) handleSlowWorker(now time.Time, w *Worker) {
	w.speed.decay(now, workerSpeedHalfLife)
	if w.speed.elapsedSeconds < workerSpeedMinTime.Seconds() || s.fleetSpeed.elapsedSeconds < fleetSpeedMinTime.Seconds() ||
		w.speed.mean() >= slowSpeedRatio*s.fleetSpeed.mean() {
		return
	}
	if !now.Before(w.health.slowUntil) {
		s.recordEvent(Event{Kind: "worker slow", Worker: w.ID})
	}
	w.health.slowUntil = now.Add(slowPause)
	for _, r := range s.runsOf(w) {
		s.moveFromSlowWorker(now, r)
	}
}

// moveFromSlowWorker lets a task go on at another worker if it is done there much sooner.
func (s *Scheduler) moveFromSlowWorker(now time.Time, r *run) {
	t, step := r.task, r.task.step()
	if r.phase != phaseRunning || r.measuredAt.IsZero() || len(t.runs) != 1 || t.done {
		return
	}
	left := float64(100-r.percent) / 100 * step.Estimate.Seconds()
	here := left / max(r.worker.speed.mean(), 1e-3)
	again := step.Estimate.Seconds()
	if step.Checkpoints {
		again = left
	}
	if here < minMoveGain*(again/s.fleetSpeed.mean()+moveOverhead.Seconds()) {
		return
	}
	w := s.findWorker(now, t, nil)
	if w == nil || w == r.worker {
		return
	}
	if step.Speculative {
		s.startRun(now, t, w)
		return
	}
	s.stopRun(now, r, "worker is slow")
}

// isSlow reports whether the worker should get no further task for its slowness.
func (w *Worker) isSlow(now time.Time) bool {
	until := w.health.slowUntil
	if until.IsZero() || !now.Before(until.Add(slowProbePeriod)) {
		return false
	}
	if now.Before(until) {
		return true
	}
	for _, r := range w.runs {
		if !r.task.step().Lasting {
			return true
		}
	}
	return false
}
