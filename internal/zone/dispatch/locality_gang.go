package dispatch

import (
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/zone/locality"
)

// gangJudgeInterval is the shortest interval between two forecasts for a waiting gang, which cover all racks. Whether a rack has
// room at the moment is looked at in each decision.
const gangJudgeInterval = 50 * time.Millisecond

// gangWait is the state of a gang that waits for room in one rack.
type gangWait struct {
	judgedAt time.Time
	decision locality.Decision
	// remote is set if the gang was last started remotely.
	remote bool
}

// planNear finds a worker for each member of a gang, all in one rack if the members are colocated or have their data there.
// It returns nil if there is no room for all members, or if waiting for such a rack pays.
func (s *Scheduler) planNear(now time.Time, st *stage) []*Worker {
	s.beginNear(now)
	service, step := st.job().service, st.step()
	racks := s.racksOf(service)
	if step.DataRack != "" {
		racks = []rack{s.rackNamed(service, step.DataRack)}
	}
	if st.gangWait == nil {
		st.gangWait = &gangWait{}
	}
	g := st.gangWait
	g.remote = false
	if plan := s.planInRack(now, st, racks); plan != nil {
		return plan
	}
	s.judgeGang(now, st, racks)
	if g.decision.Choice == locality.Wait {
		return nil
	}
	if step.Colocated && step.DataRack != "" {
		if plan := s.planInRack(now, st, s.racksOf(service)); plan != nil {
			g.remote = true
			return plan
		}
	}
	plan := s.planMembers(now, st, "", s.byService[service])
	g.remote = plan != nil
	return plan
}

// planInRack finds a worker for each member of a gang in the first of the racks that has room for all. It returns nil if
// none has.
func (s *Scheduler) planInRack(now time.Time, st *stage, racks []rack) []*Worker {
	for _, r := range racks {
		if plan := s.planMembers(now, st, r.name, r.workers); plan != nil {
			return plan
		}
	}
	return nil
}

// judgeGang asks the rule for a gang that no rack has room for at the moment, unless it was asked within gangJudgeInterval.
func (s *Scheduler) judgeGang(now time.Time, st *stage, racks []rack) {
	g := st.gangWait
	waitEnds := g.decision.Choice == locality.Wait && !now.Before(g.decision.Until)
	if waitEnds || now.Sub(g.judgedAt) >= gangJudgeInterval || g.judgedAt.Before(st.gangWaitingSince()) {
		g.judgedAt, g.decision = now, s.nearRule(now, s.gangInput(now, st, racks))
	}
	for _, t := range st.tasks {
		s.noteNear(t, g.decision)
	}
}

// gangInput returns what the rule is asked with for a gang that no rack has room for.
func (s *Scheduler) gangInput(now time.Time, st *stage, racks []rack) locality.Input {
	in := locality.Input{
		WaitingSince: st.gangWaitingSince(), Estimate: st.step().Estimate, RemoteFactor: s.limits.RemoteFactor,
		EndBy: s.endBy(st),
	}
	cost := in.RemoteCost()
	if cost <= 0 {
		return in
	}
	horizon := locality.LongestWait(cost)
	var best gangRoom
	for _, r := range racks {
		room := s.gangRoom(now, st, r.workers, horizon)
		if room.enough && (!best.enough || (room.known && (!best.known || room.after < best.after))) {
			best = room
		}
	}
	in.Near = nearAfter(now, best.enough, best.after, best.known, horizon)
	return in
}

// gangWaitingSince returns when the last member of the gang became waiting.
func (st *stage) gangWaitingSince() time.Time {
	var since time.Time
	for _, t := range st.tasks {
		since = laterOf(since, t.waitingSince)
	}
	return since
}

// recordRemoteGang records that the gang, of which the task is to start on the worker, runs remotely.
func (s *Scheduler) recordRemoteGang(now time.Time, t *task, w *Worker, reason locality.Reason) {
	if s.remoteCost(t.step()) <= 0 {
		return
	}
	s.recordEvent(Event{
		Kind: EventRemoteStart, Job: t.job().id, Task: t.name, Run: t.lastRun + 1, Worker: w.ID, Reason: string(reason),
		Age: now.Sub(t.stage.gangWaitingSince()),
	})
}

// findMember returns the best worker for a member of a gang whose other members run already, if possible in their rack.
func (s *Scheduler) findMember(now time.Time, t *task) *Worker {
	st := t.stage
	if !st.step().Colocated || s.remoteCost(st.step()) <= 0 {
		return s.findWorker(now, t, nil)
	}
	if st.gangWait == nil {
		st.gangWait = &gangWait{}
	}
	if st.gangWait.remote {
		return s.findWorker(now, t, nil)
	}
	i := slices.IndexFunc(st.tasks, func(other *task) bool { return len(other.runs) > 0 })
	if i >= 0 {
		others := s.rackNamed(t.job().service, st.tasks[i].runs[0].worker.Rack)
		if w := s.findAmong(now, t, nil, others.workers); w != nil {
			return w
		}
	}
	w := s.findWorker(now, t, nil)
	if w != nil {
		st.gangWait.remote = true
		s.recordRemoteGang(now, t, w, locality.ReasonNoNearPlace)
	}
	return w
}
