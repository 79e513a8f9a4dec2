package dispatch

import (
	"math"
	"time"
)

// A job is done when its last task is, so a few slow workers delay most jobs that have many tasks. Workers that are
// much slower than the others get no tasks for a while, and the tasks that they have are moved if they will be done
// sooner on other workers.

const (
	// workerSpeedHalfLife is the time in which observations of one worker lose half of their weight.
	workerSpeedHalfLife = 3 * time.Second
	// fleetSpeedHalfLife is the same for all workers together.
	fleetSpeedHalfLife = 20 * time.Second
	// workerSpeedMinTime is the weighted run time that must have been observed on a worker before its speed is judged:
	// single tasks may take a few times their estimate.
	workerSpeedMinTime = 1500 * time.Millisecond
	// fleetSpeedMinTime is the same for all workers together.
	fleetSpeedMinTime = 15 * time.Second
	// slowSpeedRatio is the ratio to the speed of all workers below which a worker is slow.
	slowSpeedRatio = 0.4
	// slowPause is how long a slow worker gets no tasks. For slowProbePeriod after that it gets one task at a time.
	slowPause       = 4 * time.Second
	slowProbePeriod = 6 * time.Second
	// progressInterval is the shortest time between two measurements of the progress of a run, which is reported in
	// whole percents.
	progressInterval = 150 * time.Millisecond
	// moveOverhead is the time that a move takes apart from the work: the stop, the report of the end and the new
	// start.
	moveOverhead = 800 * time.Millisecond
	// minMoveGain is the smallest ratio of the remaining time here to that on another worker at which a task is moved.
	minMoveGain = 1.5
)

// speedEstimate compares the work done, as the estimates of the tasks give it, with the time that it took, both in
// seconds. Older observations count less.
type speedEstimate struct {
	workSeconds, elapsedSeconds float64
	updatedAt                   time.Time
}

// add adds an observation: the given seconds of estimated work took the given seconds.
func (v *speedEstimate) add(now time.Time, halfLife time.Duration, work, elapsed float64) {
	v.decay(now, halfLife)
	v.workSeconds += work
	v.elapsedSeconds += elapsed
}

// decay lowers the weight of the earlier observations by their age.
func (v *speedEstimate) decay(now time.Time, halfLife time.Duration) {
	if !v.updatedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(v.updatedAt)) / float64(halfLife))
		v.workSeconds, v.elapsedSeconds = v.workSeconds*f, v.elapsedSeconds*f
	}
	v.updatedAt = now
}

// mean returns the seconds of estimated work done in one second.
func (v *speedEstimate) mean() float64 { return v.workSeconds / max(v.elapsedSeconds, 1e-9) }

// measureProgress measures the speed of the worker by the progress of a run since the previous measurement. It leaves
// out runs whose time says nothing about the worker: best-effort tasks, which get what others leave, tasks away from
// their data, and members of gangs.
func (s *Scheduler) measureProgress(now time.Time, r *run, progress int) {
	step := r.task.step()
	remote := step.DataRack != "" && r.worker.Rack != step.DataRack
	if step.LongRunning || step.BestEffort || step.Gang || remote || step.Estimate <= 0 || r.phase != phaseRunning {
		r.measuredAt = time.Time{}
		return
	}
	elapsed := now.Sub(r.measuredAt)
	if r.measuredAt.IsZero() || progress < r.measuredProgress {
		r.measuredAt, r.measuredProgress = now, progress
		return
	}
	if elapsed < progressInterval {
		return
	}
	work := float64(progress-r.measuredProgress) / 100 * step.Estimate.Seconds()
	r.worker.speed.add(now, workerSpeedHalfLife, work, elapsed.Seconds())
	s.fleetSpeed.add(now, fleetSpeedHalfLife, work, elapsed.Seconds())
	r.measuredAt, r.measuredProgress = now, progress
}

// handleSlowWorker pauses starts on a worker that has become slow, and moves its tasks.
func (s *Scheduler) handleSlowWorker(now time.Time, w *Worker) {
	if stalled := s.stalledRuns(now, w); len(stalled) > 0 {
		s.handleStalledWorker(now, w, stalled)
		return
	}
	w.speed.decay(now, workerSpeedHalfLife)
	if w.speed.elapsedSeconds < workerSpeedMinTime.Seconds() ||
		s.fleetSpeed.elapsedSeconds < fleetSpeedMinTime.Seconds() ||
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

// moveFromSlowWorker moves a task to another worker if it will be done much sooner there, at the mean speed of all
// workers. A speculative task gets a second run there; the run of any other task is stopped here, so that the task
// waits for a worker again.
func (s *Scheduler) moveFromSlowWorker(now time.Time, r *run) {
	t, step := r.task, r.task.step()
	if r.phase != phaseRunning || r.measuredAt.IsZero() || len(t.runs) != 1 || t.done {
		return
	}
	remainingWork := float64(100-r.progress) / 100 * step.Estimate.Seconds()
	timeHere := remainingWork / max(r.worker.speed.mean(), 1e-3)
	workElsewhere := step.Estimate.Seconds()
	if step.Checkpointing {
		workElsewhere = remainingWork
	}
	if timeHere < minMoveGain*(workElsewhere/s.fleetSpeed.mean()+moveOverhead.Seconds()) {
		return
	}
	if !s.mayRestart(t.stage) {
		return
	}
	w := s.findWorker(now, t, nil)
	if w == nil || w == r.worker {
		return
	}
	if step.Speculative && s.suspectOf(t) == nil {
		if s.fitsTeam(t.stage, 1) {
			s.startRun(now, t, w)
		}
		return
	}
	s.stopRun(r, "worker is slow")
}

// isSlow reports whether the worker should get no further task because it is slow. In the probe period it gets a task
// while it has none apart from long-running ones.
func (w *Worker) isSlow(now time.Time) bool {
	until := w.health.slowUntil
	if until.IsZero() || !now.Before(until.Add(slowProbePeriod)) {
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
