package dispatch

import (
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/quota"
)

// A team that submits more than its quota allows would take the room of the others: the sum of what it has running on all
// workers stays within the quota. What may run counts as running: a start from its decision until its end is certain, an order
// without an answer while it may be carried out late, and after a change of leader each task that may run on a worker that
// has not reported yet.

const (
	waitQuota       waitReason = "quota of the team"
	waitUnknownTeam waitReason = "team is not known"
)

const (
	// eventQuotaReached says that waiting work of a team is held back by its quota, eventQuotaCleared that it has not been for
	// quotaClearDelay. The event's Reason is the name of the team.
	eventQuotaReached = "quota reached"
	eventQuotaCleared = "quota cleared"
	quotaClearDelay   = 10 * time.Second
)

// quotaPatience is how long the quota may hold a stage back before stages of the team that rank behind it have to leave it the
// quota for its next start. Otherwise a team's small tasks, each of which fits as soon as another one ends, starve its large tasks
// and gangs.
const quotaPatience = 2 * time.Second

// quotaReservation is the part of a team's quota that is kept for the next start of a stage in one decision.
type quotaReservation struct {
	reservedBy   *stage
	reservedSize fleet.Size
	// reservedIn is the number of the decision, counted from 1.
	reservedIn uint64
}

// reserveQuota keeps the quota for a start of the stage in the rest of the decision, if the stage has been held back for long and
// the start is possible beside the long-running tasks of its team.
func (s *Scheduler) reserveQuota(now time.Time, st *stage, size fleet.Size) {
	a := st.job().use.account
	if st.quotaHeldSince.IsZero() {
		st.quotaHeldSince = now
	}
	if now.Sub(st.quotaHeldSince) > quotaPatience && a.reservedIn != s.decisions+1 &&
		a.Quota().Admits(a.lasting.Add(size)) {
		a.quotaReservation = quotaReservation{reservedBy: st, reservedSize: size, reservedIn: s.decisions + 1}
	}
}

// reservedFrom returns the part of the quota of the stage's team that is kept for another stage in the present decision.
func (s *Scheduler) reservedFrom(st *stage) fleet.Size {
	a := st.job().use.account
	if a.reservedIn != s.decisions+1 || a.reservedBy == st {
		return fleet.Size{}
	}
	return a.reservedSize
}

// quotaEpisode is the time in which the quota of a team holds its work back again and again.
type quotaEpisode struct {
	isHeld     bool
	lastHeldAt time.Time
}

// mayStart reports whether the team of the stage may have the given number of its tasks started now, regardless of workers. A
// stage for which it may not is not taken for one without room: nothing changes on a worker when the team gets below its
// quota.
func (s *Scheduler) mayStart(now time.Time, st *stage, tasks int) bool {
	a, size := st.job().use.account, quota.Times(st.step().Size, tasks)
	switch {
	case !a.isKnown:
		st.waitReason = waitUnknownTeam
	case tasks > 0 && !a.Fits(s.reservedFrom(st).Add(size)), !a.Fits(size):
		st.waitReason = waitQuota
		s.noteHeldBack(now, st)
		if tasks > 0 {
			s.reserveQuota(now, st, size)
		}
	default:
		if tasks > 0 {
			st.quotaHeldSince = time.Time{}
		}
		return !s.exceedsShare(st, tasks)
	}
	return false
}

// limitsTeams reports whether mayStart may say no: there is other work than such without a team.
func (s *Scheduler) limitsTeams() bool { return len(s.accounts) > 1 }

// fitsTeam is mayStart for a look ahead, which holds nothing back.
func (s *Scheduler) fitsTeam(st *stage, tasks int) bool {
	a := st.job().use.account
	return a.isKnown && a.Fits(quota.Times(st.step().Size, tasks))
}

// mayRestart reports whether the team's quota allows a run of the stage, which counts already, to be ordered again or to start
// elsewhere once it is stopped. It doesn't after the quota has shrunk below what is running. What only may run on workers that
// are unaccounted for is left out: after a change of leader that may be all open tasks of the team.
func (s *Scheduler) mayRestart(st *stage) bool {
	a := st.job().use.account
	return a.isKnown && a.Quota().Admits(a.certain)
}

// addCertain adds a run, or an order that may be carried out late, to the use.
func (a *teamAccount) addCertain(size fleet.Size) {
	a.Add(size)
	a.certain = a.certain.Add(size)
}

// removeCertain takes a run, or an order that may be carried out late, out of the use.
func (a *teamAccount) removeCertain(size fleet.Size) {
	a.Remove(size)
	a.certain = a.certain.Sub(size)
}

// startSize returns the number of tasks of a waiting stage that have to start together at least, 0 if some of them may count
// already because of a trial.
func (st *stage) startSize() int {
	switch {
	case st.suspects > 0:
		return 0
	case st.step().Gang && st.gangRuns == 0:
		return len(st.tasks)
	}
	return st.nextStart()
}

// nextStart returns the number of tasks that the next start adds to what counts against the quota: none for a member of a gang
// that counts already.
func (st *stage) nextStart() int {
	if st.gangReserved > 0 {
		return 0
	}
	return 1
}

// noteHeldBack notes that the quota of the stage's team holds its tasks back.
func (s *Scheduler) noteHeldBack(now time.Time, st *stage) {
	a := st.job().use.account
	if st.heldBack < st.waiting {
		a.held += st.waiting - st.heldBack
	}
	st.heldBack = st.waiting
	if !a.isHeld {
		a.isHeld = true
		s.recordEvent(Event{Kind: eventQuotaReached, Job: st.job().id, Reason: a.name})
	}
	a.lastHeldAt = now
}

// clearQuotaEpisodes ends the episodes of the teams whose work has not been held back for a while.
func (s *Scheduler) clearQuotaEpisodes(now time.Time) {
	var names []string
	for name, a := range s.accounts {
		if a.isHeld && now.Sub(a.lastHeldAt) >= quotaClearDelay {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		s.accounts[name].isHeld = false
		s.recordEvent(Event{Kind: eventQuotaCleared, Reason: name})
	}
}

// attach adds the run to its task, its worker and its team.
func (s *Scheduler) attach(r *run) {
	r.attach()
	t, st := r.task, r.task.stage
	s.uncountUnaccounted(t)
	s.uncountStray(strayKey{r.worker.ID, runKey{t.name, r.number}})
	u := t.job().use
	size := t.step().Size
	r.use = u
	u.running++
	u.used = u.used.Add(size)
	u.account.addCertain(size)
	if t.step().LongRunning {
		u.account.lasting = u.account.lasting.Add(size)
	}
	if !t.step().Gang {
		return
	}
	st.gangRuns++
	if st.gangReserved > 0 {
		st.gangReserved--
		u.account.Remove(size)
	}
}

// uncountRun takes a run that was detached from its worker out of what its team has running. An order to start it that may be
// carried out late goes on counting, and so does a member of a gang of which others run.
func (s *Scheduler) uncountRun(r *run) {
	u, t, st := r.use, r.task, r.task.stage
	if u == nil {
		return
	}
	r.use = nil
	size := t.step().Size
	u.running--
	u.used = u.used.Sub(size)
	u.account.removeCertain(size)
	if t.step().LongRunning {
		u.account.lasting = u.account.lasting.Sub(size)
	}
	stray := s.countStray(u.account, r)
	if t.step().Gang {
		st.gangRuns--
		switch {
		case st.gangRuns == 0 || t.done || t.job().isFinal():
			u.account.Remove(quota.Times(size, st.gangReserved))
			st.gangReserved = 0
		case stray != nil:
			stray.gang = st
			st.gangStrays++
		default:
			st.reserveMember()
		}
	}
	s.countUnaccounted(t)
}

// reserveMember has a member of a gang without a run count against the quota.
func (st *stage) reserveMember() {
	st.gangReserved++
	st.job().use.account.Add(st.step().Size)
}

// endGangStray has the member whose order has ended count as one without a run, unless it was started again, or the gang is over.
func (st *stage) endGangStray() {
	st.gangStrays--
	if st.gangRuns > 0 && st.done == 0 && !st.job().isFinal() &&
		st.gangRuns+st.gangReserved+st.gangStrays < len(st.tasks) {
		st.reserveMember()
	}
}

// strayKey names a run on a worker.
type strayKey struct {
	worker string
	run    runKey
}

// countedStray is an order to start a run that is over, which counts while it may be carried out late.
type countedStray struct {
	account *teamAccount
	worker  *Worker
	size    fleet.Size
	// gang is the stage of a gang that goes on without the run, nil for others. The order counts in place of its member.
	gang *stage
}

// countStray counts the order to start a run that is over, if it may be carried out late, and returns it. Work without a team has
// no quota.
func (s *Scheduler) countStray(a *teamAccount, r *run) *countedStray {
	k := strayKey{r.worker.ID, runKey{r.task.name, r.number}}
	until, ok := r.worker.strays[k.run]
	if !ok || a.name == "" {
		return nil
	}
	s.uncountStray(k)
	c := &countedStray{account: a, worker: r.worker, size: r.task.step().Size}
	s.countedStrays[k] = c
	a.addCertain(c.size)
	if s.strayExpiry.IsZero() || until.Before(s.strayExpiry) {
		s.strayExpiry = until
	}
	return c
}

// uncountStray takes an order out of what counts for its team.
func (s *Scheduler) uncountStray(k strayKey) {
	if len(s.countedStrays) == 0 {
		return
	}
	if c, ok := s.countedStrays[k]; ok {
		c.account.removeCertain(c.size)
		delete(s.countedStrays, k)
		if c.gang != nil {
			c.gang.endGangStray()
		}
	}
}

// uncountStrays takes the orders out that can't be carried out any more.
func (s *Scheduler) uncountStrays(now time.Time) {
	if len(s.countedStrays) == 0 || now.Before(s.strayExpiry) {
		return
	}
	s.strayExpiry = time.Time{}
	for k, c := range s.countedStrays {
		until, ok := c.worker.strays[k.run]
		switch {
		case !ok || !now.Before(until):
			s.uncountStray(k)
		case s.strayExpiry.IsZero() || until.Before(s.strayExpiry):
			s.strayExpiry = until
		}
	}
}

// unaccountedTasks are the tasks without known runs that count because they may run on workers that are unaccounted for.
// Those whose worker is recorded are placed.
type unaccountedTasks struct {
	placed, others []*task
	// workers is the number of workers that were unaccounted for or backlogged when the tasks were last looked at.
	workers int
}

// countUnaccounted counts the task as running if it may run on a worker that is unaccounted for.
func (s *Scheduler) countUnaccounted(t *task) {
	if t.job().team == "" || t.countsUnaccounted || t.done || len(t.runs) > 0 || !s.mayRunUnaccounted(t) {
		return
	}
	t.countsUnaccounted = true
	t.job().use.account.Add(t.step().Size)
	if s.recordsPlacement(t) {
		s.unaccountedTasks.placed = append(s.unaccountedTasks.placed, t)
	} else {
		s.unaccountedTasks.others = append(s.unaccountedTasks.others, t)
	}
}

// uncountUnaccounted ends that the task counts as running without a known run.
func (s *Scheduler) uncountUnaccounted(t *task) {
	if t.countsUnaccounted {
		t.countsUnaccounted = false
		t.job().use.account.Remove(t.step().Size)
	}
}

// countRestored counts the restored tasks that may run on workers that are unaccounted for.
func (s *Scheduler) countRestored() {
	for _, j := range s.jobs {
		for _, o := range j.openOccurrences {
			for _, st := range o.stages {
				for _, t := range st.tasks {
					s.countUnaccounted(t)
				}
			}
		}
	}
	s.unaccountedTasks.workers = len(s.unaccounted) + len(s.backlogged)
}

// uncountAccounted ends the count of the tasks of which it is known by now where they run.
func (s *Scheduler) uncountAccounted() {
	u := &s.unaccountedTasks
	if workers := len(s.unaccounted) + len(s.backlogged); workers != u.workers {
		u.workers = workers
		u.placed = s.keepUnaccounted(u.placed)
		if workers == 0 {
			u.others = s.keepUnaccounted(u.others)
		}
	}
}

// keepUnaccounted ends the count of those of the tasks that certainly run on no worker that is unaccounted for, and returns
// the others.
func (s *Scheduler) keepUnaccounted(tasks []*task) []*task {
	return slices.DeleteFunc(tasks, func(t *task) bool {
		if t.countsUnaccounted && s.mayRunUnaccounted(t) {
			return false
		}
		s.uncountUnaccounted(t)
		return true
	})
}

// countedStop is a run of a job that has ended, which may be at work until its worker has listed its end.
type countedStop struct {
	account *teamAccount
	size    fleet.Size
}

// countStops counts the runs of jobs that had ended before this term and that earlier leaders have ordered to stop. Their tasks
// aren't known any more: each counts with the largest size of its job.
func (s *Scheduler) countStops() {
	for _, c := range s.countedStops {
		c.account.Remove(c.size)
	}
	s.countedStops = s.countedStops[:0]
	if !s.limitsTeams() || (!s.hasUnknownRuns && len(s.restoredStops) == 0) {
		return
	}
	for _, rec := range s.restoredStops {
		for _, r := range rec.Runs {
			s.countStop(r.Task)
		}
	}
	s.hasUnknownRuns = false
	for _, w := range s.workers {
		if len(w.unknownRuns) == 0 || w.leasesExpired {
			continue
		}
		s.hasUnknownRuns = true
		for k := range w.unknownRuns {
			s.countStop(k.task)
		}
	}
}

// countStop counts a run of a task that isn't known any more.
func (s *Scheduler) countStop(name string) {
	id, _, _, _, ok := splitTaskName(name)
	j := s.jobs[id]
	if !ok || j == nil || !j.isFinal() || j.team == "" {
		return
	}
	c := countedStop{account: j.use.account, size: j.largestTask()}
	c.account.Add(c.size)
	s.countedStops = append(s.countedStops, c)
}

// largestTask returns the largest size of the job's tasks in each dimension.
func (j *Job) largestTask() fleet.Size {
	size := j.finalSize
	for i := range j.spec.Steps {
		size = largerOf(size, j.spec.Steps[i].Size)
	}
	return size
}

// largerOf returns the larger size in each dimension.
func largerOf(a, b fleet.Size) fleet.Size {
	return fleet.Size{
		Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// countTrial has the tasks of a trial count as running until they start, so that others of the team don't take their part of
// the quota while the trial is being recorded.
func (tr *trial) countTrial() {
	tr.isCounted = true
	tr.suspicion.task.job().use.account.Add(tr.size())
}

// uncountTrial ends the count of the trial.
func (tr *trial) uncountTrial() {
	if tr.isCounted {
		tr.isCounted = false
		tr.suspicion.task.job().use.account.Remove(tr.size())
	}
}

// size returns the sum of the sizes of the trial's tasks.
func (tr *trial) size() fleet.Size {
	return quota.Times(tr.suspicion.task.step().Size, len(tr.members))
}

// refuseOverQuota refuses a job with a task, or a gang, that by itself exceeds the quota of its team. It returns false if there
// is none.
func (s *Scheduler) refuseOverQuota(j *Job) (Reply, bool) {
	a := j.use.account
	exceeds := func(step workflow.Step) bool {
		n := 1
		if step.Gang {
			n = step.Tasks
		}
		return !a.Quota().Admits(quota.Times(step.Size, n))
	}
	if !a.isKnown || !slices.ContainsFunc(j.spec.Steps, exceeds) {
		return Reply{}, false
	}
	s.countRefusal(j)
	return Reply{
		Outcome: OutcomeRefused, RetryAfter: tooLargeRetryAfter, Reason: "a task is larger than the quota of the team",
	}, true
}
