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
	// watchInterval is how often a worker is looked at on which tasks fill beside lasting ones. Readings cover half
	// a second.
	watchInterval = 500 * time.Millisecond
	// paceUnknown stands for a run whose share an earlier term may have changed.
	paceUnknown = -1
	// paceGrain is the smallest change of a share that is worth an order, in percent.
	paceGrain = 15
	// paceFloor is the share below which a paced task is held back altogether, in percent.
	paceFloor = 10
	// alertShare is the share of its target from which a tail counts as over it: readings are rough.
	alertShare = 0.9
	// cutShare is the share of its target that a lasting task's tail should have after tasks beside it were paced
	// down, and easeShare the one that must be left when they are paced up or another is added. The distance between
	// both keeps shares from swinging with every reading.
	cutShare  = 0.8
	easeShare = 0.65
	// pressingAfter and everyAfter are the shares of the time for which a lasting task may be over its target after
	// which first all tasks that are known to press on it are held back, then all others too. Readings are up to half
	// a second old and an order takes effect with the next one.
	pressingAfter, everyAfter = 0.35, 0.55
)

// tail is how the tasks of one lasting image on a worker stand.
type tail struct {
	image string
	// target is in milliseconds.
	target float64
	// slack is the least of the tasks', before that of the report before, both 0 without a reading.
	slack, before float64
	// over is how long one of them has been over its target.
	over time.Duration
}

// tails returns the lasting images with a target on the worker, ordered by name.
func (s *Scheduler) tails(now time.Time, w *Worker) []tail {
	var out []tail
	for _, r := range w.runs {
		step := r.task.step()
		if !step.LongRunning || step.TargetLatency <= 0 {
			continue
		}
		i := slices.IndexFunc(out, func(t tail) bool { return t.image == step.Image })
		if i < 0 {
			i = len(out)
			out = append(out, tail{image: step.Image, target: math.Inf(1)})
		}
		t := &out[i]
		t.target = min(t.target, float64(step.TargetLatency.Milliseconds()))
		if r.slack > 0 && (t.slack == 0 || r.slack < t.slack) {
			t.slack, t.before = r.slack, r.before
		}
		if !r.overSince.IsZero() {
			t.over = max(t.over, now.Sub(r.overSince))
		}
	}
	slices.SortFunc(out, func(a, b tail) int { return cmp.Compare(a.image, b.image) })
	return out
}

// read takes over the readings of the worker's lasting tasks.
func (s *Scheduler) read(now time.Time, w *Worker) {
	for _, r := range w.runs {
		step := r.task.step()
		if !step.LongRunning || r.phase != phaseRunning || r.tail <= 0 {
			continue
		}
		r.before, r.slack = r.slack, s.interference.slack(step.Image, r.tail)
		below := step.TargetLatency <= 0 || float64(r.tail) <= alertShare*float64(step.TargetLatency.Milliseconds())
		switch {
		case below && r.below:
			r.overSince = time.Time{}
		case !below && r.overSince.IsZero():
			r.overSince = now
		}
		r.below = below
	}
}

// pace adjusts the shares of the tasks that fill beside lasting tasks with a target, from the worker's last report.
// It answers a load of the lasting tasks that swings within seconds: what presses on a tail that is over its target is
// cut by as much as that tail needs, and gets its share back when the load has fallen.
func (s *Scheduler) pace(now time.Time, w *Worker) {
	fills := w.filling()
	s.read(now, w)
	s.observe(w, fills)
	if len(fills) == 0 {
		return
	}
	tails := s.tails(now, w)
	cut := false
	for _, t := range tails {
		if t.over == 0 && t.slack >= s.interference.need(t.image, t.target, alertShare) || t.slack == 0 {
			continue
		}
		cut = true
		short := s.interference.need(t.image, t.target, cutShare) - t.slack
		over := float64(t.over) / float64(max(1, s.limits.Harm))
		if over > pressingAfter {
			short = math.Inf(1)
		}
		s.cut(now, fills, t.image, short, over > everyAfter)
	}
	if !cut {
		s.ease(now, fills, tails)
	}
	for _, r := range fills {
		s.orderPace(w, r)
		s.moveHeld(now, r)
	}
}

// heldBound is how long a task may be held back before it is moved: about the time in which a load that only brushed
// its peak has fallen again.
const heldBound = 900 * time.Millisecond

// moveHeld stops a task that is held back, so that it goes on from its checkpoint where the load is low. Without a
// checkpoint its work would be lost.
func (s *Scheduler) moveHeld(now time.Time, r *run) {
	switch {
	case r.wanted > 0:
		r.heldSince = time.Time{}
	case r.heldSince.IsZero():
		r.heldSince = now
	case now.Sub(r.heldSince) > heldBound && r.task.step().Checkpointing && r.task.step().MaxUnavailable < 0:
		s.stop(now, r, "held back by lasting tasks")
	}
}

// filling returns the running tasks that fill, those that press most first.
func (w *Worker) filling() []*run {
	var out []*run
	for _, r := range w.runs {
		if r.task.step().BestEffort && r.phase == phaseRunning {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.task.name, b.task.name) })
	return out
}

// observe teaches the model what each lasting image has seen change beside it since the report before.
func (s *Scheduler) observe(w *Worker, fills []*run) {
	capacity := float64(max(1, w.Capacity.Cores))
	use := map[string]float64{}
	for _, r := range fills {
		use[r.task.step().Image] += float64(r.tail) / capacity
	}
	if w.use != nil {
		change := maps.Clone(use)
		for image, share := range w.use {
			change[image] -= share
		}
		seen := map[string]struct{}{}
		for _, r := range s.runsOf(w) {
			image := r.task.step().Image
			if _, ok := seen[image]; ok || !r.task.step().LongRunning || r.before < saturated || r.slack < saturated {
				continue
			}
			seen[image] = struct{}{}
			s.interference.observe(image, r.before-r.slack, change)
		}
	}
	w.use = use
}

// pressure is what a task that fills puts on a lasting image at its full share.
func (s *Scheduler) pressure(lasting string, st *workflow.Step, w *Worker) float64 {
	return s.interference.press(lasting, st.Image) * float64(st.Size.Cores) / float64(max(1, w.Capacity.Cores))
}

// cut lowers the shares until the pressure on a lasting image has fallen by the given amount, beginning with the jobs
// that can't be in time any more and then with what presses most. Tasks that are known not to press are left out unless
// everything has to be cut.
func (s *Scheduler) cut(now time.Time, fills []*run, lasting string, amount float64, everything bool) {
	slices.SortStableFunc(fills, func(a, b *run) int {
		late := cmp.Compare(s.rank(now, b.task.stage).urgency, s.rank(now, a.task.stage).urgency)
		return cmp.Or(late, cmp.Compare(s.pressure(lasting, b.task.step(), b.worker), s.pressure(lasting, a.task.step(), a.worker)))
	})
	for _, r := range fills {
		full := s.pressure(lasting, r.task.step(), r.worker)
		if full < minPressure && !everything {
			continue
		}
		full = max(full, minPressure)
		have := full * float64(r.wanted) / 100
		take := min(have, amount)
		r.wanted = max(0, int(100*(have-take)/full))
		if r.wanted < paceFloor {
			r.wanted = 0
		}
		if amount -= take; amount <= 0 {
			return
		}
	}
}

// minPressure is the pressure below which a task is taken not to disturb an image.
const minPressure = 0.008

// ease raises the shares by what the slack of all lasting images allows, beginning with the jobs that can still be in
// time.
func (s *Scheduler) ease(now time.Time, fills []*run, tails []tail) {
	slices.SortStableFunc(fills, func(a, b *run) int {
		return s.rank(now, a.task.stage).compare(s.rank(now, b.task.stage))
	})
	left := make([]float64, len(tails))
	for i, t := range tails {
		left[i] = t.slack - s.interference.need(t.image, t.target, easeShare)
	}
	for _, r := range fills {
		give := float64(100 - r.wanted)
		for i, t := range tails {
			if full := s.pressure(t.image, r.task.step(), r.worker); full >= minPressure {
				give = min(give, max(0, 100*left[i]/full))
			}
		}
		for i, t := range tails {
			left[i] -= s.pressure(t.image, r.task.step(), r.worker) * give / 100
		}
		r.wanted = min(100, r.wanted+int(give))
	}
}

// orderPace sends a run's share to the worker if it has changed enough.
func (s *Scheduler) orderPace(w *Worker, r *run) {
	change := r.wanted - r.pace
	if r.pacing || change == 0 {
		return
	}
	if r.pace != paceUnknown && r.wanted != 0 && r.wanted != 100 && change < paceGrain && change > -paceGrain {
		return
	}
	r.pacing = true
	s.orders = append(s.orders, Order{
		Kind: OrderPace, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: r.task.name, Run: r.number,
		Percent: r.wanted,
	})
	s.note(Event{Kind: "pace", Job: r.task.job().id, Task: r.task.name, Run: r.number, Worker: w.ID})
}

// Paced takes over the answer to a pace.
func (s *Scheduler) Paced(now time.Time, o Order, a Answer, clock int64) {
	if _, r := s.answered(now, o, clock); r != nil {
		r.pacing = false
		if a == AnswerDone {
			r.pace = o.Percent
		} else {
			r.pace = paceUnknown
		}
	}
}
