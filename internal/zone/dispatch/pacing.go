package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

const (
	// readingInterval is the interval between reports of a worker that runs best-effort tasks beside long-running ones.
	// A latency reading covers half a second.
	readingInterval = 500 * time.Millisecond
	// paceUnknown is the pace of a run that an earlier term may have changed.
	paceUnknown = -1
	// minPaceChange is the smallest change of a pace that is sent to the worker, in percent.
	minPaceChange = 15
	// minPace is the pace below which a task is paused altogether, in percent.
	minPace = 10
	// overTargetRatio is the ratio to its target from which a tail latency counts as over it, since readings are
	// imprecise.
	overTargetRatio = 0.9
	// lowerPaceGoal is the ratio to its target that a tail latency should have after the paces of best-effort tasks
	// were lowered or another one was started. raisePaceLimit is the ratio up to which paces are raised. The gap between
	// both keeps the paces from oscillating with every reading.
	lowerPaceGoal  = 0.8
	raisePaceLimit = 0.65
	// pauseInterferingAfter and pauseAllAfter are shares of Limits.MaxOverTarget. After the first, a long-running task
	// that is over its target has all best-effort tasks paused that are known to disturb it; after the second all
	// others too. Readings are up to half a second old, and an order takes effect with the next one.
	pauseInterferingAfter, pauseAllAfter = 0.35, 0.55
)

// latencyState is the state of the tasks of one long-running image on a worker.
type latencyState struct {
	image string
	// targetMillis is the lowest target of the tasks.
	targetMillis float64
	// headroom is the lowest headroom of the tasks, previousHeadroom the headroom of the same task at the reading before.
	// Both are 0 without a reading.
	headroom, previousHeadroom float64
	// overTargetFor is the longest time for which one of the tasks has been over its target.
	overTargetFor time.Duration
}

// latencies returns the state of each long-running image with a target on the worker, ordered by image.
func (s *Scheduler) latencies(now time.Time, w *Worker) []latencyState {
	var out []latencyState
	for _, r := range w.runs {
		step := r.task.step()
		if !step.LongRunning || step.TargetLatency <= 0 {
			continue
		}
		i := slices.IndexFunc(out, func(state latencyState) bool { return state.image == step.Image })
		if i < 0 {
			i = len(out)
			out = append(out, latencyState{image: step.Image, targetMillis: math.Inf(1)})
		}
		state := &out[i]
		state.targetMillis = min(state.targetMillis, float64(step.TargetLatency.Milliseconds()))
		if r.headroom > 0 && (state.headroom == 0 || r.headroom < state.headroom) {
			state.headroom, state.previousHeadroom = r.headroom, r.previousHeadroom
		}
		if !r.overSince.IsZero() {
			state.overTargetFor = max(state.overTargetFor, now.Sub(r.overSince))
		}
	}
	slices.SortFunc(out, func(a, b latencyState) int { return cmp.Compare(a.image, b.image) })
	return out
}

// applyReadings applies the latency readings of the worker's long-running tasks.
func (s *Scheduler) applyReadings(now time.Time, w *Worker) {
	for _, r := range w.runs {
		step := r.task.step()
		if !step.LongRunning || r.phase != phaseRunning || r.reading <= 0 {
			continue
		}
		r.previousHeadroom, r.headroom = r.headroom, s.interference.headroom(step.Image, r.reading)
		below := step.TargetLatency <= 0 || float64(r.reading) <= overTargetRatio*float64(step.TargetLatency.Milliseconds())
		switch {
		case below && r.belowTarget:
			r.overSince = time.Time{}
		case !below && r.overSince.IsZero():
			r.overSince = now
		}
		r.belowTarget = below
	}
}

// adjustPaces sets the paces of the best-effort tasks beside long-running tasks with a target, by the worker's last
// report. It follows a load of the long-running tasks that varies within seconds: best-effort tasks that disturb a task
// over its target are slowed down by as much as that task needs, and get their pace back when the load has fallen.
func (s *Scheduler) adjustPaces(now time.Time, w *Worker) {
	bestEffort := w.bestEffortRuns()
	s.applyReadings(now, w)
	s.learnInterference(w, bestEffort)
	if len(bestEffort) == 0 {
		return
	}
	latencies := s.latencies(now, w)
	lowered := false
	for _, state := range latencies {
		if state.overTargetFor == 0 &&
			state.headroom >= s.interference.neededHeadroom(state.image, state.targetMillis, overTargetRatio) ||
			state.headroom == 0 {
			continue
		}
		lowered = true
		missing := s.interference.neededHeadroom(state.image, state.targetMillis, lowerPaceGoal) - state.headroom
		overShare := float64(state.overTargetFor) / float64(max(1, s.limits.MaxOverTarget))
		if overShare > pauseInterferingAfter {
			missing = math.Inf(1)
		}
		s.lowerPaces(now, bestEffort, state.image, missing, overShare > pauseAllAfter)
	}
	if !lowered {
		s.raisePaces(now, bestEffort, latencies)
	}
	for _, r := range bestEffort {
		s.orderPace(w, r)
		s.movePaused(now, r)
	}
}

// maxPauseBeforeMove is how long a task may be paused before it is moved: about the time in which a load that only
// touched its peak has fallen again.
const maxPauseBeforeMove = 900 * time.Millisecond

// movePaused stops a task that is paused for too long, so that it continues from its checkpoint on a worker with a
// lower load. Tasks without checkpoints stay, since their work would be lost, and so do those of steps that limit how
// many tasks may be unavailable.
func (s *Scheduler) movePaused(now time.Time, r *run) {
	switch {
	case r.targetPace > 0:
		r.pausedSince = time.Time{}
	case r.pausedSince.IsZero():
		r.pausedSince = now
	case now.Sub(r.pausedSince) > maxPauseBeforeMove && r.task.step().Checkpointing && r.task.step().MaxUnavailable < 0:
		s.stopRun(r, "held back by lasting tasks")
	}
}

// bestEffortRuns returns the running best-effort tasks, ordered by name.
func (w *Worker) bestEffortRuns() []*run {
	var out []*run
	for _, r := range w.runs {
		if r.task.step().BestEffort && r.phase == phaseRunning {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.task.name, b.task.name) })
	return out
}

// learnInterference updates the interference model with the changes since the previous report: that of each
// long-running image's headroom, and that of the share of the worker's cores that each best-effort image uses.
func (s *Scheduler) learnInterference(w *Worker, bestEffort []*run) {
	if w.Capacity.Cores <= 0 {
		w.bestEffortUse = nil
		return
	}
	capacity := float64(w.Capacity.Cores)
	use := map[string]float64{}
	for _, r := range bestEffort {
		use[r.task.step().Image] += float64(r.reading) / capacity
	}
	if w.bestEffortUse != nil {
		change := maps.Clone(use)
		for image, share := range w.bestEffortUse {
			change[image] -= share
		}
		seen := map[string]struct{}{}
		for _, r := range s.runsOf(w) {
			image := r.task.step().Image
			if _, ok := seen[image]; ok || !r.task.step().LongRunning ||
				r.previousHeadroom < saturatedHeadroom || r.headroom < saturatedHeadroom {
				continue
			}
			seen[image] = struct{}{}
			s.interference.observe(image, r.previousHeadroom-r.headroom, change)
		}
	}
	w.bestEffortUse = use
}

// pressure returns the pressure that a best-effort task at its full pace puts on a long-running image.
func (s *Scheduler) pressure(longRunning string, st *workflow.Step, w *Worker) float64 {
	return s.interference.coefficient(longRunning, st.Image) * float64(st.Size.Cores) /
		float64(max(1, w.Capacity.Cores))
}

// lowerPaces lowers the paces until the pressure on a long-running image has fallen by the given amount. It begins with
// the jobs that can't be in time any more, and then with the tasks that put most pressure on the image. Tasks that are
// known not to disturb the image are left out unless everything is to be lowered.
func (s *Scheduler) lowerPaces(now time.Time, bestEffort []*run, longRunning string, amount float64, everything bool) {
	slices.SortStableFunc(bestEffort, func(a, b *run) int {
		late := cmp.Compare(s.rank(now, b.task.stage).urgency, s.rank(now, a.task.stage).urgency)
		return cmp.Or(late, cmp.Compare(s.pressure(longRunning, b.task.step(), b.worker),
			s.pressure(longRunning, a.task.step(), a.worker)))
	})
	for _, r := range bestEffort {
		fullPressure := s.pressure(longRunning, r.task.step(), r.worker)
		if fullPressure < minPressure && !everything {
			continue
		}
		fullPressure = max(fullPressure, minPressure)
		currentPressure := fullPressure * float64(r.targetPace) / 100
		reduction := min(currentPressure, amount)
		r.targetPace = max(0, int(100*(currentPressure-reduction)/fullPressure))
		if r.targetPace < minPace {
			r.targetPace = 0
		}
		if amount -= reduction; amount <= 0 {
			return
		}
	}
}

// minPressure is the pressure below which a task is taken not to disturb an image.
const minPressure = 0.008

// raisePaces raises the paces as far as the headroom of all long-running images allows, beginning with the tasks that
// rank first.
func (s *Scheduler) raisePaces(now time.Time, bestEffort []*run, latencies []latencyState) {
	slices.SortStableFunc(bestEffort, func(a, b *run) int {
		return s.rank(now, a.task.stage).compare(s.rank(now, b.task.stage))
	})
	remaining := make([]float64, len(latencies))
	for i, state := range latencies {
		remaining[i] = state.headroom - s.interference.neededHeadroom(state.image, state.targetMillis, raisePaceLimit)
	}
	for _, r := range bestEffort {
		increase := float64(100 - r.targetPace)
		for i, state := range latencies {
			if fullPressure := s.pressure(state.image, r.task.step(), r.worker); fullPressure >= minPressure {
				increase = min(increase, max(0, 100*remaining[i]/fullPressure))
			}
		}
		for i, state := range latencies {
			remaining[i] -= s.pressure(state.image, r.task.step(), r.worker) * increase / 100
		}
		r.targetPace = min(100, r.targetPace+int(increase))
	}
}

// orderPace orders the target pace of a run if it differs enough from the present one. A pause and the full speed are
// ordered in any case.
func (s *Scheduler) orderPace(w *Worker, r *run) {
	change := r.targetPace - r.pace
	if r.pacePending || change == 0 {
		return
	}
	if r.pace != paceUnknown && r.targetPace != 0 && r.targetPace != 100 &&
		change < minPaceChange && change > -minPaceChange {
		return
	}
	r.pacePending = true
	s.orders = append(s.orders, Order{
		Kind: OrderPace, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: r.task.name,
		Run: r.number, Pace: r.targetPace,
	})
	s.recordEvent(Event{Kind: "pace", Job: r.task.job().id, Task: r.task.name, Run: r.number, Worker: w.ID})
}

// HandlePaceAnswer applies the answer to a pace order.
func (s *Scheduler) HandlePaceAnswer(now time.Time, o Order, a Answer, clock int64) {
	if _, r := s.resolveOrder(now, o, clock); r != nil {
		r.pacePending = false
		if a == AnswerDone {
			r.pace = o.Pace
		} else {
			r.pace = paceUnknown
		}
	}
}
