package dispatch

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// State is the state of a job as callers are told.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Job is an accepted job, or one that was cancelled before it was submitted, see stateDenied.
type Job struct {
	id    string
	queue string
	// team is the name of the team for which the job was submitted, empty for none.
	team string
	// use is what the team has in the service of the job, never nil.
	use      *teamUse
	service  string
	priority int
	// maxAttempts is the largest integer while the settings of the queue are not known.
	maxAttempts int
	needsTicket bool
	// objective is the time after its acceptance within which the job should be done.
	objective time.Duration
	spec      workflow.Spec
	// overheadTasks is the number of tasks for which the job counts in Scheduler.taskCount, beside its own tasks.
	overheadTasks int
	// acceptedAt is when the job was accepted, acceptedWall the same time by the host's wall clock.
	acceptedAt   time.Time
	acceptedWall time.Time
	// remainingTime holds for each step the longest chain of estimates that begins with it.
	remainingTime []time.Duration
	// openOccurrences holds the occurrences that are not done yet by index. nextOccurrence is the first that has not
	// begun.
	openOccurrences map[int]*occurrence
	nextOccurrence  int

	// restored is set for jobs of earlier terms, whose tasks may run on workers that have not reported in this term.
	restored bool
	// started is set once a task of the job has run.
	started bool
	// finalState is the state in which the job ended, empty until then.
	finalState State
	endedAt    time.Time
	// acceptedBatch and finalBatch are the batches whose commit makes the acceptance and the final state durable.
	acceptedBatch, finalBatch BatchID
	// acceptedTerm is the fencing token of the term that accepted the job, 0 if it was not recorded.
	acceptedTerm int64
	// groups are the sums to which the job counts, the zero value until it first counts.
	groups jobGroups
	// dirty is set while the job has changes that were not put into a batch.
	dirty bool
	// stored is set once the specification was handed to the log.
	stored bool
	// crashesRecorded is set while the log may hold a record of the crashes blamed on the job's tasks.
	crashesRecorded bool
	// isOpen is set while the job is counted in teamAccount.openJobs.
	isOpen bool
	// finalSize is the largest size of a task of a job that had ended before this term.
	finalSize fleet.Size
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job    *Job
	index  int
	stages []*stage
	// openStages is the number of stages that are not done.
	openStages int
	// batch is the batch with the record that the occurrence has begun. No task of it starts before that is committed, since
	// the next leader would take its runs and ends for unknown. It is 0 if there is a record already.
	batch BatchID
	// hasStarted is set once a start of a task has been ordered or is known of an earlier term.
	hasStarted bool
}

// stage is a step of one occurrence.
type stage struct {
	occurrence *occurrence
	index      int
	// spec is the step with the index in the job's specification.
	spec  *workflow.Step
	tasks []*task
	// waiting and done count tasks. openDependencies counts the steps on which this one depends and that are not done.
	waiting, done, openDependencies int
	// inReady is set while the stage is in the ready list.
	inReady bool
	// gangRunNumber is the run number of the gang, valid while members of it run.
	gangRunNumber int
	// suspects counts the tasks that are suspected of crashing their workers.
	suspects int
	// tickets holds the adviser's tickets by worker, for queues with an adviser.
	tickets map[string]startTicket
	advice  adviceState
	// freeSlots is the free room for a waiting stage of long-running tasks.
	freeSlots freeSlots
	scan      scanState
	// gangWait is the state of a gang that is slower away from one rack, nil until it is first to be started.
	gangWait *gangWait
	// overdueScanAt is when all workers were last looked at for the overdue tasks.
	overdueScanAt time.Time
	// waitReason is why the stage started no task in the last decision.
	waitReason waitReason
	// away counts the tasks that are not at work, see maySpareTask.
	away awayCount
	// yieldedAt is when room of the stage was last reclaimed, the zero time if it never was.
	yieldedAt time.Time
	// gangRuns counts the runs of a gang, gangReserved the members without a run that count against the quota of the team
	// since others run.
	gangRuns, gangReserved int
	// gangStrays counts the orders without an answer, to members that have no run since, that count in place of these.
	gangStrays int
	// heldBack is the number of waiting tasks that were counted as held back by the quota.
	heldBack int
	// quotaHeldSince is since when the quota has let no task of the stage start, the zero time if the last one could.
	quotaHeldSince time.Time
	// backlog is the waiting work to which the waiting tasks belong, nil for long-running ones.
	backlog *backlog
	// isBeyondShare is set if tasks were left to the second pass of the last decision, see startInPasses.
	isBeyondShare bool
	// reclaimAt is when room may be reclaimed for the stage again.
	reclaimAt time.Time
}

// job returns the job of the stage.
func (st *stage) job() *Job { return st.occurrence.job }

// step returns the specification of the stage's step.
func (st *stage) step() *workflow.Step { return st.spec }

// task is one task of a stage.
type task struct {
	stage *stage
	index int
	name  string
	done  bool
	// queued is set while the task needs a start and is counted as waiting.
	queued bool
	// lastRun is the highest run number that was used.
	lastRun int
	// lastEndedRun is the highest run number whose end a worker has listed.
	lastEndedRun int
	// failedRuns holds the numbers of the runs that ended in a failure, so that a repeated report counts once. Of a
	// long-running task it holds the last one only.
	failedRuns []int
	// lostRuns holds by number why the last runs without a listed end, maxLostRuns at most, were taken for ended.
	lostRuns map[int]string
	// runs holds the runs that have not ended yet. Only a speculative task has more than one.
	runs       []*run
	checkpoint string
	// placedOn is the ID of the worker that the record of the task's placement names, empty if there is no record.
	// placedBatch is the batch with that record.
	placedOn    string
	placedBatch BatchID
	// avoidWorker is the worker on which the last run failed.
	avoidWorker string
	// notBefore is the earliest time of the next start, set after failures and some refusals.
	notBefore time.Time
	// yieldsUntil is until when a long-running task whose room was reclaimed waits for room like a new one.
	yieldsUntil time.Time
	// waitingSince is when the task last became waiting.
	waitingSince time.Time
	// nearWait is how long after waitingSince the task with a data rack takes places in that rack only. It is 0 if that is not
	// decided and negative if it takes any place.
	nearWait time.Duration
	// awaySince is when the last run of the task ended, at the earliest, the zero time if none has been seen in this term.
	awaySince time.Time
	// startedBefore is set if an earlier term has recorded a start of the task.
	startedBefore bool
	// hold keeps room for the task, nil if none is kept.
	hold *hold
	// countsUnaccounted is set while the task counts as running without a known run, see countUnaccounted.
	countsUnaccounted bool
}

// maxLostRuns bounds the runs of a task of which it is known why they were taken for ended.
const maxLostRuns = 8

// addLostRun notes that a run was taken for ended for the reason, although its worker has listed no end.
func (t *task) addLostRun(number int, reason string) {
	if t.lostRuns == nil {
		t.lostRuns = map[int]string{}
	}
	if len(t.lostRuns) >= maxLostRuns {
		delete(t.lostRuns, slices.Min(slices.Collect(maps.Keys(t.lostRuns))))
	}
	t.lostRuns[number] = reason
}

// step returns the specification of the task's step.
func (t *task) step() *workflow.Step { return t.stage.step() }

// job returns the job of the task.
func (t *task) job() *Job { return t.stage.occurrence.job }

// isFinal reports whether the job has ended.
func (j *Job) isFinal() bool { return j.finalState != "" }

// ID returns the job's ID.
func (j *Job) ID() string { return j.id }

// Request is a job that a caller submits.
type Request struct {
	ID    string
	Queue string
	// Team is the name of the team for which the job is submitted, empty for none.
	Team string
	Spec workflow.Spec
	// WallTime is the time by the host's wall clock, used only to tell a later leader how old the job is.
	WallTime time.Time
	// CatalogVersion is the version of the catalog by which the team was identified, 0 if it is unknown.
	CatalogVersion uint64
}

// Reply is the answer to a request about a job.
type Reply struct {
	Outcome Outcome
	// Batch must be committed before the answer is given; 0 if it can be given at once.
	Batch BatchID
	// RetryAfter is the time after which the caller should submit a refused job again.
	RetryAfter time.Duration
	State      State
	Reason     string
}

// Outcome is the kind of a reply.
type Outcome int

// The outcomes.
const (
	// OutcomeAccepted means that the request was carried out, now or when it was first sent.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeRefused means that the job was not accepted and will not run.
	OutcomeRefused
	// OutcomeUnknownQueue means that no such queue exists.
	OutcomeUnknownQueue
	// OutcomeUnknownJob means that no such job exists.
	OutcomeUnknownJob
	// OutcomeRejected means that the job was not accepted and never can be.
	OutcomeRejected
	// OutcomeTaken means that the job was not accepted, since a job of another team has its ID.
	OutcomeTaken
)

// submit accepts or refuses a job. It does not count refusals.
func (s *Scheduler) submit(now time.Time, r Request) Reply {
	if !s.IsVisible(r.ID, r.Team) {
		return Reply{Outcome: OutcomeTaken, Reason: "the id is taken"}
	}
	earlier, ok := s.jobs[r.ID]
	switch {
	case ok && earlier.denies(r.Team):
		return s.refuseDenied(now, earlier)
	case ok && !earlier.isDenied():
		return Reply{Outcome: OutcomeAccepted, Batch: earlier.acceptedBatch}
	}
	q, ok := s.catalog.Queues[r.Queue]
	if !ok {
		return Reply{Outcome: OutcomeUnknownQueue}
	}
	if r.CatalogVersion <= s.catalog.Version && !s.knowsTeam(r.Team) {
		s.recordEvent(Event{Kind: "refuse", Job: r.ID, Reason: unknownTeamReason})
		return Reply{Outcome: OutcomeRefused, RetryAfter: unknownTeamRetryAfter, Reason: unknownTeamReason}
	}
	j := s.newJob(r.ID, r.Queue, r.Spec, now, r.WallTime)
	j.acceptedTerm = s.token
	s.setTeam(j, r.Team)
	s.applyQueue(j)
	if refusal, refused := s.admit(j); refused {
		s.recordEvent(Event{Kind: "refuse", Job: r.ID, Reason: refusal.Reason})
		return refusal
	}
	if earlier != nil {
		// The record of the job replaces that of the cancellation.
		s.removeJob(earlier)
	}
	s.jobs[r.ID] = j
	s.openJob(j)
	s.countOverhead(j)
	s.openDueOccurrences(now, j)
	s.keepQueue(q)
	j.acceptedBatch = s.journal.markDirty(j)
	s.countAccepted(j)
	return Reply{Outcome: OutcomeAccepted, Batch: j.acceptedBatch}
}

// newJob returns a job without the settings of its queue, which applyQueue sets.
func (s *Scheduler) newJob(id, queue string, spec workflow.Spec, acceptedAt, acceptedWall time.Time) *Job {
	return &Job{
		id: id, queue: queue, spec: spec, use: s.useOf(s.accountOf(""), ""), acceptedAt: acceptedAt, acceptedWall: acceptedWall,
		remainingTime: spec.RemainingPaths(), maxAttempts: math.MaxInt, openOccurrences: map[int]*occurrence{},
	}
}

// openDueOccurrences adds the occurrences of the job that are due by now, as many as may be open at once.
func (s *Scheduler) openDueOccurrences(now time.Time, j *Job) {
	if j.isFinal() {
		return
	}
	if j.spec.OccurrenceCount == 0 {
		if j.nextOccurrence == 0 {
			s.addOccurrence(now, j, 0)
		}
		return
	}
	wallNow := j.acceptedWall.Add(now.Sub(j.acceptedAt))
	for j.nextOccurrence < j.spec.OccurrenceCount && !wallNow.Before(j.spec.DueTime(j.nextOccurrence)) &&
		s.mayOpenOccurrence(j) {
		s.beginOccurrence(now, j)
	}
	if j.nextOccurrence < j.spec.OccurrenceCount {
		s.recurring[j] = struct{}{}
	} else {
		delete(s.recurring, j)
	}
}

// beginOccurrence opens the next occurrence of a recurring job and has that recorded.
func (s *Scheduler) beginOccurrence(now time.Time, j *Job) {
	s.addOccurrence(now, j, j.nextOccurrence).batch = s.journal.markDirty(j)
}

// addOccurrence creates the stages of an occurrence and adds those without dependencies to the ready list.
func (s *Scheduler) addOccurrence(now time.Time, j *Job, index int) *occurrence {
	o := &occurrence{job: j, index: index, openStages: len(j.spec.Steps)}
	prefix := j.id + "." + strconv.Itoa(index) + "."
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		st := &stage{occurrence: o, index: i, spec: step, waiting: step.Tasks, openDependencies: len(step.DependsOn)}
		st.tasks = make([]*task, step.Tasks)
		head := prefix + strconv.Itoa(i) + "."
		for n := range st.tasks {
			st.tasks[n] = &task{
				stage: st, index: n, name: head + strconv.Itoa(n), lastRun: s.runNumberBase,
				waitingSince: now, queued: true,
			}
		}
		st.backlog = st.backlogOf()
		st.addWaiting(st.waiting)
		o.stages = append(o.stages, st)
	}
	j.openOccurrences[index] = o
	s.countTasks(j, o.taskCount())
	j.nextOccurrence = max(j.nextOccurrence, index+1)
	for _, st := range o.stages {
		s.addReady(st)
	}
	return o
}

// addReady adds the stage to the ready list if it has waiting tasks and no open dependencies.
func (s *Scheduler) addReady(st *stage) {
	if st.inReady || st.openDependencies > 0 || st.waiting == 0 || st.job().isFinal() {
		return
	}
	st.inReady = true
	s.ready = append(s.ready, st)
}

// findTask returns the task named ID.K.STEP.INDEX, where K is the occurrence. It returns nil if there is none.
func (s *Scheduler) findTask(name string) *task {
	id, k, step, index, ok := splitTaskName(name)
	if !ok {
		return nil
	}
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	return j.task(k, step, index)
}

// reportedTask returns the task with the name, which a worker has reported, nil if there is none. If the task belongs to an
// occurrence that has not begun, a former leader has begun it without a record, as earlier versions did, and all before it.
func (s *Scheduler) reportedTask(now time.Time, name string) *task {
	if t := s.findTask(name); t != nil {
		return t
	}
	id, occurrence, _, _, ok := splitTaskName(name)
	j := s.jobs[id]
	if !ok || j == nil || !j.restored || j.isFinal() || occurrence < j.nextOccurrence || occurrence >= j.spec.OccurrenceCount {
		return nil
	}
	// The former leader had no more open than the limits allow. It may have finished as many since its last record.
	open := len(j.openOccurrences) + occurrence + 1 - j.nextOccurrence
	if !s.fitsLimits(j.occurrenceFootprint().times((open + 1) / 2)) {
		s.recordEvent(Event{Kind: "unknown occurrence", Job: id, Task: name})
		return nil
	}
	for j.nextOccurrence <= occurrence {
		s.beginOccurrence(now, j)
	}
	return s.findTask(name)
}

// task returns a task of an open occurrence, nil if there is none.
func (j *Job) task(occurrence, step, index int) *task {
	o := j.openOccurrences[occurrence]
	if o == nil || step < 0 || step >= len(o.stages) || index < 0 || index >= len(o.stages[step].tasks) {
		return nil
	}
	return o.stages[step].tasks[index]
}

// splitTaskName splits a task's name into its parts. It returns false if the name is malformed.
func splitTaskName(name string) (id string, occurrence, step, index int, ok bool) {
	end := len(name)
	var parts [3]int
	for i := 2; i >= 0; i-- {
		dot := end - 1
		for dot >= 0 && name[dot] != '.' {
			dot--
		}
		if dot < 0 {
			return "", 0, 0, 0, false
		}
		n, err := strconv.Atoi(name[dot+1 : end])
		if err != nil || n < 0 {
			return "", 0, 0, 0, false
		}
		parts[i], end = n, dot
	}
	return name[:end], parts[0], parts[1], parts[2], true
}

// Cancel ends a job for a caller of the team, which may be empty. The answer may be given once the reply's batch is committed.
func (s *Scheduler) Cancel(now time.Time, id, team string) Reply {
	j, ok := s.jobs[id]
	if !ok {
		return s.deny(now, id, team)
	}
	if j.isDenied() {
		s.widenDenial(j, team)
		return Reply{Outcome: OutcomeUnknownJob, Batch: j.finalBatch}
	}
	if !j.isFinal() {
		s.close(now, j, StateCancelled)
		s.recordEvent(Event{Kind: "cancel", Job: id})
	}
	return Reply{Outcome: OutcomeAccepted, Batch: j.finalBatch}
}

// close sets the final state of the job and stops its runs.
func (s *Scheduler) close(now time.Time, j *Job, state State) {
	j.finalState, j.endedAt = state, now
	s.closeJob(j)
	s.dropPayload(j)
	j.finalBatch = s.journal.markDirty(j)
	delete(s.recurring, j)
	s.countClosed(now, j, state)
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			for _, t := range st.tasks {
				s.acquit(t, "job "+string(state))
				for _, r := range t.runs {
					s.stopRun(r, "job "+string(state))
				}
			}
		}
	}
}

// JobStatus returns the state of a job as far as it is durable.
func (s *Scheduler) JobStatus(id string) Reply {
	j, ok := s.jobs[id]
	if !ok || j.isDenied() {
		return Reply{Outcome: OutcomeUnknownJob}
	}
	r := Reply{Outcome: OutcomeAccepted, Batch: j.acceptedBatch, State: StateQueued}
	switch {
	case j.isFinal() && s.journal.committed >= j.finalBatch:
		r.State = j.finalState
	case j.started:
		r.State = StateRunning
	}
	return r
}

// QueuedJobs returns the number of jobs of a queue of which no task has started. Recurring jobs don't count.
func (s *Scheduler) QueuedJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.queue == queue && !j.started && !j.isFinal() && j.spec.OccurrenceCount == 0 {
			n++
		}
	}
	return n
}

// criticalPath returns the time of the job's longest dependency chain.
func (s *Scheduler) criticalPath(j *Job) time.Duration { return j.spec.CriticalPath() }

// finishTask marks the task as done. The last task of a stage unblocks the stages that depend on it.
func (s *Scheduler) finishTask(now time.Time, t *task) {
	st := t.stage
	if t.done {
		return
	}
	s.acquit(t, "done")
	s.uncountUnaccounted(t)
	t.dequeue()
	t.done = true
	st.done++
	s.journal.markDirty(t.job())
	if st.done == len(st.tasks) {
		s.finishStage(now, st)
	}
}

// finishStage unblocks the stages that depend on the stage, and completes the job with its last stage.
func (s *Scheduler) finishStage(now time.Time, st *stage) {
	o := st.occurrence
	o.openStages--
	for i, other := range o.stages {
		for _, dependency := range o.job.spec.Steps[i].DependsOn {
			if dependency == st.index {
				other.openDependencies--
			}
		}
		for _, t := range other.tasks {
			if other.openDependencies == 0 && t.queued {
				t.waitingSince = now
			}
		}
		s.addReady(other)
	}
	if o.openStages > 0 {
		return
	}
	s.countEnd(now, o, JobCompleted)
	delete(o.job.openOccurrences, o.index)
	j := o.job
	s.countTasks(j, -o.taskCount())
	if len(j.openOccurrences) == 0 && j.nextOccurrence >= j.spec.Occurrences() && !j.isFinal() {
		s.close(now, j, StateCompleted)
	}
}

// dequeue removes the task from those that wait.
func (t *task) dequeue() {
	if t.queued {
		t.queued = false
		t.stage.waiting--
		t.stage.addWaiting(-1)
	}
}

// requeue makes a task without runs wait again, unless it or its job is done.
func (s *Scheduler) requeue(now time.Time, t *task) {
	if t.done || t.queued || len(t.runs) > 0 || t.job().isFinal() {
		return
	}
	t.queued, t.waitingSince, t.nearWait = true, now, 0
	t.stage.waiting++
	t.stage.addWaiting(1)
	t.stage.scan = scanState{}
	s.addReady(t.stage)
}

// expireJobs removes the finished jobs whose state need not be kept any longer.
func (s *Scheduler) expireJobs(now time.Time) {
	s.forgetQueues()
	s.forgetTeams(now)
	for _, j := range s.jobs {
		if j.isFinal() && now.Sub(j.endedAt) > s.limits.JobRetention && s.journal.committed >= j.finalBatch {
			s.removeJob(j)
			s.journal.deleteJob(j)
		}
	}
}

// HasJob reports whether the job was accepted.
func (s *Scheduler) HasJob(id string) bool {
	j, ok := s.jobs[id]
	return ok && !j.isDenied()
}

// Withdraw removes a job that was not handed to the log yet. It returns false if the job may have been.
func (s *Scheduler) Withdraw(id string) bool {
	j, ok := s.jobs[id]
	if !ok || j.acceptedBatch != s.journal.openBatch || j.isFinal() || j.stored {
		return false
	}
	s.removeJob(j)
	j.finalState = StateCancelled
	s.journal.dirtyJobs = removeFirst(s.journal.dirtyJobs, j)
	s.recordEvent(Event{Kind: "withdraw", Job: id, Reason: "not handed to the log"})
	return true
}
