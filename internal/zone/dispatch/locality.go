package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/locality"
)

// A task whose data is in a rack takes longer in any other, and so do the members of a colocated gang in several racks. When
// many jobs want one rack, waiting for a place there pays for some of them only. Package locality has the rule; here is
// what it is asked with: when the rack is expected to have room, after the waiting tasks that come first.

// EventRemoteStart means that a task starts away from its data, or a colocated gang in several racks. The event's Age is how
// long it has waited, its Reason why it waits no longer.
const EventRemoteStart = "remote start"

// The places of the start of a task or gang that runs longer in the wrong place, see Event.Place.
const (
	PlaceNear   = "near"
	PlaceRemote = "remote"
)

// nearState holds what is known of racks in one decision.
type nearState struct {
	// round counts the decisions that have asked for anything, of which decision is the last, made at the given time.
	round, decision uint64
	at              time.Time
	// failed lists the placements for which no worker at all has room.
	failed []failedPlacement
	// wakeAt is when the first wait of a task or gang ends, the zero time if none waits.
	wakeAt time.Time
}

// beginNear forgets what was known in an earlier decision.
func (s *Scheduler) beginNear(now time.Time) {
	n := &s.near
	if n.round > 0 && n.decision == s.decisions && n.at.Equal(now) {
		return
	}
	*n = nearState{round: n.round + 1, decision: s.decisions, at: now, failed: n.failed[:0]}
}

// UntilWaitEnds returns the time after which Decide is to be called again at the latest, because the wait of a task for a near
// place ends. It returns false if none does.
func (s *Scheduler) UntilWaitEnds(now time.Time) (time.Duration, bool) {
	d := s.near.wakeAt.Sub(now)
	return d, !s.near.wakeAt.IsZero() && d > 0
}

// remoteCost returns how much longer a task of the step is expected to run remotely.
func (s *Scheduler) remoteCost(step *workflow.Step) time.Duration {
	in := locality.Input{Estimate: step.Estimate, RemoteFactor: s.limits.RemoteFactor}
	return in.RemoteCost()
}

// isRemote reports whether the run takes longer because of its place.
func (s *Scheduler) isRemote(r *run) bool {
	step := r.task.step()
	if step.Gang {
		return r.task.stage.gangWait != nil && r.task.stage.gangWait.remote
	}
	return step.DataRack != "" && r.worker.Rack != step.DataRack
}

// startPlace returns the place of a start for Event.Place. Only the first member counts for a gang.
func (s *Scheduler) startPlace(r *run) string {
	step := r.task.step()
	hasNear := step.DataRack != "" || (step.Gang && step.Colocated)
	switch {
	case !hasNear || (step.Gang && r.task.index > 0) || s.remoteCost(step) <= 0:
		return ""
	case s.isRemote(r):
		return PlaceRemote
	}
	return PlaceNear
}

// staysNear reports whether the task with a data rack takes places in that rack only. As long as the rule has not been asked
// for it, it waits like one of which it isn't known when near room is free. So does a task that runs and may be moved.
func (s *Scheduler) staysNear(now time.Time, t *task) bool {
	wait := t.nearWait
	if wait == 0 || (wait > 0 && !t.queued) {
		wait = locality.BlindWait(s.remoteCost(t.step()))
	}
	return now.Sub(t.waitingSince) < wait
}

// noteNear notes the decision for a waiting task or a member of a gang.
func (s *Scheduler) noteNear(t *task, d locality.Decision) {
	if d.Choice != locality.Wait {
		t.nearWait = -1
		return
	}
	t.nearWait = d.Until.Sub(t.waitingSince)
	if s.near.wakeAt.IsZero() || d.Until.Before(s.near.wakeAt) {
		s.near.wakeAt = d.Until
	}
}

// endBy returns when a stage has to end for its job to meet the objective.
func (s *Scheduler) endBy(st *stage) time.Time {
	j := st.job()
	return j.countedFrom(st.occurrence).Add(j.objective - j.remainingTime[st.index] + st.step().Estimate)
}

// nearChoice holds what is known while the tasks of one stage with a data rack are started.
type nearChoice struct {
	workers []*Worker
	// input is what the rule is asked with for each task, without what belongs to the task. cost is what a remote run costs,
	// horizon the longest wait that pays.
	input         locality.Input
	cost, horizon time.Duration
	// asked is what the rule was asked with last, answer its answer. The runs of a job mostly end together, so that it is often
	// asked the same.
	asked  locality.Input
	answer locality.Decision
	// near and remote rate the workers in the rack and all workers for the tasks that have not failed. They are nil until they
	// are needed.
	near, remote *shortlist
	// noneForFailed is set once no worker was found for a task that has failed and waits no longer.
	noneForFailed bool
	// queue forecasts when the rack has room for the waiting tasks. It is valid if hasQueue is set.
	queue    nearQueue
	hasQueue bool
	// noneSince is set once no worker at all has room for the tasks that have not failed, and none of the rack is expected to have
	// within a wait that pays, to when the task became waiting of which that was found.
	noneSince time.Time
	// started is the task for which a worker was chosen last, on its worker.
	started *task
	worker  *Worker
}

// newNearChoice returns the choice for a stage with a data rack. It is valid until the next stage.
func (s *Scheduler) newNearChoice(now time.Time, st *stage) *nearChoice {
	s.beginNear(now)
	if s.nearChoice == nil {
		s.nearChoice = &nearChoice{}
	}
	n := s.nearChoice
	*n = nearChoice{
		workers: s.rackNamed(st.job().service, st.step().DataRack).workers,
		input: locality.Input{
			Estimate: st.step().Estimate, RemoteFactor: s.limits.RemoteFactor, EndBy: s.endBy(st),
		},
		queue: nearQueue{places: n.queue.places[:0]},
	}
	n.cost = n.input.RemoteCost()
	n.horizon = locality.LongestWait(n.cost)
	return n
}

// chooseNear returns the best worker for a task with a data rack, nil if there is none or the task waits for one in the rack.
func (s *Scheduler) chooseNear(now time.Time, t *task, c *stageChoice) *Worker {
	if c.near == nil {
		c.near = s.newNearChoice(now, t.stage)
	}
	n := c.near
	if !n.noneSince.IsZero() && len(t.failedRuns) == 0 && t.waitingSince.Equal(n.noneSince) {
		t.nearWait = -1
		return nil
	}
	n.rerate(s, now)
	w := s.findNear(now, t, n)
	if w == nil {
		if in := s.nearInput(now, t, n); in != n.asked {
			n.asked, n.answer = in, s.nearRule(now, in)
		}
		d := n.answer
		s.noteNear(t, d)
		if d.Choice != locality.Wait {
			w = s.findRemote(now, t, n)
		}
		if w == nil {
			if n.hasQueue {
				n.queue.take()
			}
			if n.isExhausted() {
				n.noneSince = t.waitingSince
			}
			return nil
		}
		if n.cost > 0 {
			s.recordEvent(Event{
				Kind: EventRemoteStart, Job: t.job().id, Task: t.name, Run: t.lastRun + 1, Worker: w.ID,
				Reason: string(d.Reason), Age: now.Sub(t.waitingSince),
			})
		}
	}
	n.started, n.worker = t, w
	return w
}

// isExhausted reports whether no worker has room now, and none of the rack within a wait that pays.
func (n *nearChoice) isExhausted() bool {
	return n.near != nil && n.near.Len() == 0 && n.remote != nil && n.remote.Len() == 0 &&
		(!n.hasQueue || n.queue.first == nil)
}

// rerate rates the worker again on which a task was started last.
func (n *nearChoice) rerate(s *Scheduler, now time.Time) {
	if n.worker == nil {
		return
	}
	for _, l := range []*shortlist{n.near, n.remote} {
		if l != nil {
			s.rerate(now, l, n.started, n.worker)
		}
	}
	n.worker = nil
}

// findNear returns the best worker for the task in its rack. Tasks that have failed avoid workers of their own, so that one
// that finds none tells nothing about the others.
func (s *Scheduler) findNear(now time.Time, t *task, n *nearChoice) *Worker {
	if len(t.failedRuns) > 0 {
		return s.findAmong(now, t, nil, n.workers)
	}
	if n.near == nil {
		n.near = s.newShortlist(now, t, n.workers)
	}
	return s.findListed(now, t, n.near, n.workers)
}

// findRemote returns the best worker of all for a task that waits no longer.
func (s *Scheduler) findRemote(now time.Time, t *task, n *nearChoice) *Worker {
	workers := s.byService[t.job().service]
	if len(t.failedRuns) > 0 {
		if n.noneForFailed {
			return nil
		}
		w := s.findAmong(now, t, nil, workers)
		n.noneForFailed = w == nil
		return w
	}
	if n.remote == nil {
		n.remote = &shortlist{}
		placement := newFailedPlacement(t.stage)
		if !s.near.impliesFailure(placement) {
			n.remote = s.newShortlist(now, t, workers)
			if n.remote.Len() == 0 && t.stage.runsAnywhere() {
				s.near.failed = append(s.near.failed, placement)
			}
		}
	}
	return s.findListed(now, t, n.remote, workers)
}

// impliesFailure reports whether a placement has failed that implies the failure of the given one.
func (n *nearState) impliesFailure(p failedPlacement) bool {
	for _, f := range n.failed {
		if f.implies(p) {
			return true
		}
	}
	return false
}

// findListed returns the best worker of a list for the task, which has not failed. The list was made from the given
// workers.
func (s *Scheduler) findListed(now time.Time, t *task, l *shortlist, workers []*Worker) *Worker {
	if l.Len() == 0 {
		return nil
	}
	if w := (*l)[0].worker; !w.hasNextRun(t) {
		return w
	}
	return s.findAmong(now, t, nil, workers)
}

// nearInput returns what the rule is asked with for a task that has found no place in its rack.
func (s *Scheduler) nearInput(now time.Time, t *task, n *nearChoice) locality.Input {
	in := n.input
	in.WaitingSince = t.waitingSince
	if n.cost <= 0 {
		return in
	}
	if !n.hasQueue {
		n.hasQueue = true
		s.fillNearQueue(now, t, n.workers, n.horizon, &n.queue)
	}
	var after time.Duration
	first := n.queue.first
	if first != nil {
		after = first.next
	}
	in.Near = nearAfter(now, len(n.queue.places) > 0, after, first != nil, n.horizon)
	return in
}

// nearAfter returns what is known of near places that are expected to have room after the given time, or beyond the horizon
// if ok is false. There is none at the moment, so that the time is not known if it should be now.
func nearAfter(now time.Time, usable bool, after time.Duration, ok bool, horizon time.Duration) locality.Near {
	near := locality.Near{Usable: usable}
	switch {
	case !ok:
		near.At = now.Add(horizon + time.Millisecond)
	case after > 0:
		near.At = now.Add(after)
	}
	return near
}
