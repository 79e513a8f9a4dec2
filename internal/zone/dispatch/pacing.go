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
	// readingInterval is how often a worker is looked at on which tasks fill beside lasting ones. Readings cover half
	// a second.
	readingInterval = 500 * time.Millisecond
	// paceUnknown stands for a run whose share an earlier term may have changed.
	paceUnknown = -1
	// minPaceChange is the smallest change of a share that is worth an order, in percent.
	minPaceChange = 15
	// minPace is the share below which a paced task is held back altogether, in percent.
	minPace = 10
	// overTargetRatio is the share of its target from which a tail counts as over it: readings are rough.
	overTargetRatio = 0.9
	// lowerPaceGoal is the share of its target that a lasting task's tail should have after tasks beside it were paced
	// down, and easeShare the one that must be left when they are paced up or another is added. The distance between
	// both keeps shares from swinging with every reading.
	lowerPaceGoal  = 0.8
	raisePaceLimit = 0.65
	// pauseInterferingAfter and pauseAllAfter are the shares of the time for which a lasting task may be over its target after
	// which first all tasks that are known to press on it are held back, then all others too. Readings are up to half
	// a second old and an order takes effect with the next one.
	pauseInterferingAfter, pauseAllAfter = 0.35, 0.55
)

// latencyState is how the tasks of one lasting image on a worker stand.
type latencyState struct {
	image string
	// targetMillis is in milliseconds.
	targetMillis float64
	// slack is the least of the tasks', previousSlack that of the report previousSlack, both 0 without a reading.
	slack, previousSlack float64
	// overTargetFor is how long one of them has been overTargetFor its target.
	overTargetFor time.Duration
}

// latencies returns the lasting images with a target on the worker, ordered by name.
func (s *Scheduler) latencies(now time.Time, w *Worker) []latencyState {
	var out []latencyState
	for _, r := range w.runs {
		step := r.task.step()
		if !step.Lasting || step.Target <= 0 {
			continue
		}
		i := slices.IndexFunc(out, func(t latencyState) bool { return t.image == step.Image })
		if i < 0 {
			i = len(out)
			out = append(out, latencyState{image: step.Image, targetMillis: math.Inf(1)})
		}
		t := &out[i]
		t.targetMillis = min(t.targetMillis, float64(step.Target.Milliseconds()))
		if r.slack > 0 && (t.slack == 0 || r.slack < t.slack) {
			t.slack, t.previousSlack = r.slack, r.previousSlack
		}
		if !r.overSince.IsZero() {
			t.overTargetFor = max(t.overTargetFor, now.Sub(r.overSince))
		}
	}
	slices.SortFunc(out, func(a, b latencyState) int { return cmp.Compare(a.image, b.image) })
	return out
}

// applyReadings takes over the readings of the worker's lasting tasks.
func (s *Scheduler) applyReadings(now time.Time, w *Worker) {
	for _, r := range w.runs {
		step := r.task.step()
		if !step.Lasting || r.phase != phaseRunning || r.reading <= 0 {
			continue
		}
		r.previousSlack, r.slack = r.slack, s.interference.slack(step.Image, r.reading)
		below := step.Target <= 0 || float64(r.reading) <= overTargetRatio*float64(step.Target.Milliseconds())
		switch {
		case below && r.belowTarget:
			r.overSince = time.Time{}
		case !below && r.overSince.IsZero():
			r.overSince = now
		}
		r.belowTarget = below
	}
}

// adjustPaces adjusts the shares of the tasks that fill beside lasting tasks with a target, from the worker's last report.
// It answers a load of the lasting tasks that swings within seconds: what presses on a tail that is over its target is
// cut by as much as that tail needs, and gets its share back when the load has fallen.
func (s *Scheduler) adjustPaces(now time.Time, w *Worker) {
	bestEffort := w.bestEffortRuns()
	s.applyReadings(now, w)
	s.learnInterference(w, bestEffort)
	if len(bestEffort) == 0 {
		return
	}
	latencies := s.latencies(now, w)
	lowered := false
	for _, t := range latencies {
		if t.overTargetFor == 0 && t.slack >= s.interference.neededSlack(t.image, t.targetMillis, overTargetRatio) || t.slack == 0 {
			continue
		}
		lowered = true
		missing := s.interference.neededSlack(t.image, t.targetMillis, lowerPaceGoal) - t.slack
		overShare := float64(t.overTargetFor) / float64(max(1, s.limits.MaxOverTarget))
		if overShare > pauseInterferingAfter {
			missing = math.Inf(1)
		}
		s.lowerPaces(now, bestEffort, t.image, missing, overShare > pauseAllAfter)
	}
	if !lowered {
		s.raisePaces(now, bestEffort, latencies)
	}
	for _, r := range bestEffort {
		s.orderPace(w, r)
		s.movePaused(now, r)
	}
}

// maxPauseBeforeMove is how long a task may be held back before it is moved: about the time in which a load that only brushed
// its peak has fallen again.
const maxPauseBeforeMove = 900 * time.Millisecond

// movePaused stops a task that is held back, so that it goes on from its checkpoint where the load is low. Without a
// checkpoint its work would be lost.
func (s *Scheduler) movePaused(now time.Time, r *run) {
	switch {
	case r.targetPace > 0:
		r.pausedSince = time.Time{}
	case r.pausedSince.IsZero():
		r.pausedSince = now
	case now.Sub(r.pausedSince) > maxPauseBeforeMove && r.task.step().Checkpoints && r.task.step().Disruptable < 0:
		s.stopRun(now, r, "held back by lasting tasks")
	}
}

// bestEffortRuns returns the running tasks that fill, those that press most first.
func (w *Worker) bestEffortRuns() []*run {
	var out []*run
	for _, r := range w.runs {
		if r.task.step().Fills && r.phase == phaseRunning {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.task.name, b.task.name) })
	return out
}

// learnInterference teaches the model what each lasting image has seen change beside it since the report before.
func (s *Scheduler) learnInterference(w *Worker, bestEffort []*run) {
	capacity := float64(max(1, w.Capacity.Cores))
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
			if _, ok := seen[image]; ok || !r.task.step().Lasting || r.previousSlack < saturatedSlack || r.slack < saturatedSlack {
				continue
			}
			seen[image] = struct{}{}
			s.interference.observe(image, r.previousSlack-r.slack, change)
		}
	}
	w.bestEffortUse = use
}

// pressure is what a task that fills puts on a lasting image at its full share.
func (s *Scheduler) pressure(longRunning string, st *workflow.Step, w *Worker) float64 {
	return s.interference.coefficient(longRunning, st.Image) * float64(st.Size.Cores) / float64(max(1, w.Capacity.Cores))
}

// lowerPaces lowers the shares until the pressure on a lasting image has fallen by the given amount, beginning with the jobs
// that can't be in time any more and then with what presses most. Tasks that are known not to press are left out unless
// everything has to be lowerPaces.
func (s *Scheduler) lowerPaces(now time.Time, bestEffort []*run, longRunning string, amount float64, everything bool) {
	slices.SortStableFunc(bestEffort, func(a, b *run) int {
		late := cmp.Compare(s.rank(now, b.task.stage).urgency, s.rank(now, a.task.stage).urgency)
		return cmp.Or(late, cmp.Compare(s.pressure(longRunning, b.task.step(), b.worker), s.pressure(longRunning, a.task.step(), a.worker)))
	})
	for _, r := range bestEffort {
		full := s.pressure(longRunning, r.task.step(), r.worker)
		if full < minPressure && !everything {
			continue
		}
		full = max(full, minPressure)
		have := full * float64(r.targetPace) / 100
		take := min(have, amount)
		r.targetPace = max(0, int(100*(have-take)/full))
		if r.targetPace < minPace {
			r.targetPace = 0
		}
		if amount -= take; amount <= 0 {
			return
		}
	}
}

// minPressure is the pressure below which a task is taken not to disturb an image.
const minPressure = 0.008

// raisePaces raises the shares by what the slack of all lasting images allows, beginning with the jobs that can still be in
// time.
func (s *Scheduler) raisePaces(now time.Time, bestEffort []*run, latencies []latencyState) {
	slices.SortStableFunc(bestEffort, func(a, b *run) int {
		return s.rank(now, a.task.stage).compare(s.rank(now, b.task.stage))
	})
	left := make([]float64, len(latencies))
	for i, t := range latencies {
		left[i] = t.slack - s.interference.neededSlack(t.image, t.targetMillis, raisePaceLimit)
	}
	for _, r := range bestEffort {
		give := float64(100 - r.targetPace)
		for i, t := range latencies {
			if full := s.pressure(t.image, r.task.step(), r.worker); full >= minPressure {
				give = min(give, max(0, 100*left[i]/full))
			}
		}
		for i, t := range latencies {
			left[i] -= s.pressure(t.image, r.task.step(), r.worker) * give / 100
		}
		r.targetPace = min(100, r.targetPace+int(give))
	}
}

// orderPace sends a run's share to the worker if it has changed enough.
func (s *Scheduler) orderPace(w *Worker, r *run) {
	change := r.targetPace - r.pace
	if r.pacePending || change == 0 {
		return
	}
	if r.pace != paceUnknown && r.targetPace != 0 && r.targetPace != 100 && change < minPaceChange && change > -minPaceChange {
		return
	}
	r.pacePending = true
	s.orders = append(s.orders, Order{
		Kind: OrderPace, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: r.task.name, Run: r.number,
		Percent: r.targetPace,
	})
	s.recordEvent(Event{Kind: "pace", Job: r.task.job().id, Task: r.task.name, Run: r.number, Worker: w.ID})
}

// HandlePaceAnswer takes over the answer to a pace.
func (s *Scheduler) HandlePaceAnswer(now time.Time, o Order, a Answer, clock int64) {
	if _, r := s.resolveOrder(now, o, clock); r != nil {
		r.pacePending = false
		if a == AnswerDone {
			r.pace = o.Percent
		} else {
			r.pace = paceUnknown
		}
	}
}
