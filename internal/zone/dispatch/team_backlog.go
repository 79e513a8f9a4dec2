package dispatch

import (
	"math/bits"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// A flood of jobs of one team would take the memory for the open tasks of all, and each decision would have to look at them. So
// what a team may have waiting is bounded: by its part of the memory once half of that is taken, and by the time after which
// the result of a further job would be of no use any more.

const (
	// minTeamTasks is the number of open tasks that each team may have in any case.
	minTeamTasks = 1000
	// estimateTolerance is the factor by which the expected delay of a job may exceed the one after which it is of no use:
	// the estimates of callers are wrong by a factor of 2 to 2.5 either way.
	estimateTolerance = 2
	// minBacklogRetry and maxBacklogRetry bound the time after which the caller of a refused job should retry.
	minBacklogRetry, maxBacklogRetry = time.Second, time.Minute
)

// backlogClass identifies the jobs of a team in a service that come before or after others by their queues' settings.
type backlogClass struct {
	priority int
	// objective is the logarithm of the objective, rounded down: jobs with a shorter one start later at the latest, and
	// mostly come first.
	objective int
}

// backlog is the work of a class that waits. Long-running tasks are left out, since they have no end.
type backlog struct {
	tasks int
	// work is the sum of cores times estimate, in core-seconds.
	work float64
}

// add adds waiting tasks of the given work each, or takes them away if n is negative.
func (b *backlog) add(n int, work float64) {
	b.tasks += n
	b.work += float64(n) * work
	if b.tasks == 0 {
		// Differences of rounding don't add up.
		b.work = 0
	}
}

// backlogClass returns the class of the job.
func (j *Job) backlogClass() backlogClass {
	return backlogClass{priority: j.priority, objective: bits.Len64(uint64(max(0, j.objective)))}
}

// isAheadOf reports whether work of the class comes before that of the other, as far as the classes tell.
func (c backlogClass) isAheadOf(o backlogClass) bool {
	return c.priority < o.priority || (c.priority == o.priority && c.objective <= o.objective)
}

// backlogOf returns the backlog of the stage's class, nil for long-running tasks.
func (st *stage) backlogOf() *backlog {
	if st.step().LongRunning {
		return nil
	}
	u, class := st.job().use, st.job().backlogClass()
	b := u.backlogs[class]
	if b == nil {
		b = &backlog{}
		u.backlogs[class] = b
	}
	return b
}

// addWaiting adds tasks of the stage to what its team has waiting, or takes them away if n is negative.
func (st *stage) addWaiting(n int) {
	j := st.job()
	if !j.isOpen {
		return
	}
	if j.use.waiting == 0 {
		j.use.smallest = st.step().Size
	}
	j.use.waiting += n
	j.use.smallest = smallerOf(j.use.smallest, st.step().Size)
	if st.backlog != nil {
		st.backlog.add(n, st.taskWork())
	}
}

// smallerOf returns the smaller size in each dimension.
func smallerOf(a, b fleet.Size) fleet.Size {
	return fleet.Size{
		Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// taskWork returns the work of one task of the stage in core-seconds.
func (st *stage) taskWork() float64 {
	return float64(st.step().Size.Cores) / 1000 * st.step().Estimate.Seconds()
}

// rebuildBacklogs adds up anew what the teams have waiting, after the settings of queues have changed.
func (s *Scheduler) rebuildBacklogs() {
	for _, a := range s.accounts {
		for _, u := range a.uses {
			u.waiting = 0
			clear(u.backlogs)
		}
	}
	for _, j := range s.jobs {
		for _, o := range j.openOccurrences {
			for _, st := range o.stages {
				st.backlog = st.backlogOf()
				st.addWaiting(st.waiting)
			}
		}
	}
}

// refuseBacklog refuses a job because of what its team has waiting. It returns false if nothing speaks against the job.
func (s *Scheduler) refuseBacklog(j *Job) (Reply, bool) {
	if !s.hasTeams() {
		return Reply{}, false
	}
	if reply, refused := s.refuseTeamTasks(j); refused {
		return reply, true
	}
	return s.refuseLate(j)
}

// refuseTeamTasks refuses a job whose team would have more open tasks than its part of the memory.
func (s *Scheduler) refuseTeamTasks(j *Job) (Reply, bool) {
	a, tasks := j.use.account, s.admissionTasks(j)
	if s.fitsTeamTasks(a, tasks) {
		return Reply{}, false
	}
	excess := a.openTasks + tasks - s.maxTeamTasks(a)
	retry := maxBacklogRetry
	var all backlog
	for _, b := range j.use.backlogs {
		all.tasks, all.work = all.tasks+b.tasks, all.work+b.work
	}
	if rate := j.use.drainRate(s.isFull(j.use)); rate > 0 && all.tasks > 0 {
		retry = seconds(float64(excess) * all.work / float64(all.tasks) / rate)
	}
	s.countRefusal(j)
	return refuseUntilDrained(retry, "too many tasks of the team are open"), true
}

// fitsTeamTasks reports whether a team may have so many further open tasks.
func (s *Scheduler) fitsTeamTasks(a *teamAccount, tasks int) bool {
	return s.limits.MaxTasks == 0 || !s.hasTeams() || 2*s.taskCount < s.limits.MaxTasks ||
		a.openTasks+tasks <= s.maxTeamTasks(a)
}

// maxTeamTasks returns the number of open tasks that a team may have once half of the memory is taken: its part by weight among
// all teams, whether they have tasks at present or not.
func (s *Scheduler) maxTeamTasks(a *teamAccount) int {
	total := float64(anonymousWeight)
	for _, t := range s.catalog.Teams {
		total += t.Weight
	}
	if _, ok := s.catalog.Teams[a.name]; !ok && a.name != "" {
		total += a.terms.Weight
	}
	return max(minTeamTasks, int(a.terms.Weight/total*float64(s.limits.MaxTasks)))
}

// refuseLate refuses a job that would be done too late to be of use, since its team has too much other work waiting. It
// returns false while too little is known to tell, and for jobs that are not to be done as soon as possible.
func (s *Scheduler) refuseLate(j *Job) (Reply, bool) {
	u := j.use
	if !u.account.isKnown || j.objective <= 0 || j.spec.OccurrenceCount > 0 || j.spec.HasLongRunning() ||
		!s.allWorkersAccounted() {
		return Reply{}, false
	}
	ahead, rate := 0.0, u.drainRate(s.isFull(u))
	for class, b := range u.backlogs {
		if class.isAheadOf(j.backlogClass()) {
			ahead += b.work
		}
	}
	if rate <= 0 {
		return Reply{}, false
	}
	bound := estimateTolerance * lateFactor * j.objective
	if ahead/rate <= bound.Seconds() {
		return Reply{}, false
	}
	s.countRefusal(j)
	return refuseUntilDrained(seconds(ahead/rate-bound.Seconds()), "the team's waiting work would make the job too late"), true
}

// drainRate returns the cores that work through what the team has waiting in a service, as its quota and, if the service is
// full, its entitlement allow.
func (u *teamUse) drainRate(isFull bool) float64 {
	cores := float64(u.shares.capacity.Cores)
	if isFull {
		cores *= u.entitlement()
	}
	if most, ok := u.account.Quota().Cores(); ok {
		cores = min(cores, float64(most))
	}
	return cores / 1000
}

// isFull reports whether a short task found no room in the team's service in the last decision.
func (s *Scheduler) isFull(u *teamUse) bool {
	return u.shares.fullIn > 0 && u.shares.fullIn >= s.decisions
}

// seconds returns a number of seconds as a duration, at most maxBacklogRetry.
func seconds(v float64) time.Duration {
	return time.Duration(min(v, maxBacklogRetry.Seconds()) * float64(time.Second))
}

// refuseUntilDrained returns the reply to a job that is refused until the team's backlog has drained far enough.
func refuseUntilDrained(retry time.Duration, reason string) Reply {
	return Reply{
		Outcome: OutcomeRefused, RetryAfter: min(max(retry, minBacklogRetry), maxBacklogRetry), Reason: reason,
	}
}
