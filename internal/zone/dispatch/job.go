package dispatch

import (
	"strconv"
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// State is what a caller is told about a job.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Job is a submitted job.
type Job struct {
	id          string
	queue       string
	service     string
	priority    int
	maxAttempts int
	needsTicket bool
	objective   time.Duration
	spec        workflow.Spec
	// acceptedAt is when the job was accepted, wall the same in the host's wall clock.
	acceptedAt   time.Time
	acceptedWall time.Time
	// remainingTime holds for each step the longest chain of estimates that begins with it.
	remainingTime []time.Duration
	// openOccurrences holds the occurrences that are not done yet, next is the first that has not begun.
	openOccurrences map[int]*occurrence
	nextOccurrence  int

	// restored is set for jobs of earlier terms, whose tasks may run where this term has not looked yet.
	restored bool
	started  bool
	// finalState is empty until the job is final.
	finalState State
	endedAt    time.Time
	// acceptedBatch and finalBatch are the tickets whose commit makes the acceptance and the verdict durable.
	acceptedBatch, finalBatch BatchID
	dirty                     bool
	// stored is set once the specification has been handed to the log.
	stored bool
}

// occurrence is one execution of the steps.
type occurrence struct {
	job    *Job
	index  int
	stages []*stage
	// openStages counts the stages that are not done.
	openStages int
}

// stage is a step of one occurrence.
type stage struct {
	occurrence *occurrence
	index      int
	tasks      []*task
	// waiting and done count tasks, openDependencies counts the dependencies that are not done.
	waiting, done, openDependencies int
	// inReady is set while the stage is among the ready ones.
	inReady bool
	// gangRunNumber is the run number of the gang, valid while members of it run.
	gangRunNumber int
	// tickets are the adviser's permits by worker, set for queues with an adviser.
	tickets map[string]startTicket
	advice  adviceState
	// freeSlots belongs to lasting stages that wait.
	freeSlots freeSlots
}

func (st *stage) job() *Job            { return st.occurrence.job }
func (st *stage) step() *workflow.Step { return &st.occurrence.job.spec.Steps[st.index] }

// task is one task of a stage.
type task struct {
	stage *stage
	index int
	name  string
	done  bool
	// queued is set while the task needs a start and is counted as waiting.
	queued bool
	// lastRun is the highest lastRun number used.
	lastRun int
	// lastEndedRun is the highest run number whose end a worker has listed.
	lastEndedRun int
	// failedRuns holds the run numbers that ended through a failure, so that a repeated report counts once.
	failedRuns []int
	// runs are the runs that have not ended yet; more than one only with speculative copies.
	runs       []*run
	checkpoint string
	// avoidWorker is the worker on which the last run failed.
	avoidWorker string
	// notBefore delays the next start after failures.
	notBefore time.Time
	// waitingSince is when the task last became waiting.
	waitingSince time.Time
}

func (t *task) step() *workflow.Step { return t.stage.step() }
func (t *task) job() *Job            { return t.stage.occurrence.job }

func (j *Job) isFinal() bool { return j.finalState != "" }

// ID returns the job's id.
func (j *Job) ID() string { return j.id }

// Request is a job that a caller hands in.
type Request struct {
	ID    string
	Queue string
	Spec  workflow.Spec
	// WallTime is the host's wall clock, which only serves to tell a later leader how old the job is.
	WallTime time.Time
}

// Reply is the answer to a request about a job.
type Reply struct {
	Outcome Outcome
	// Batch must be committed before the answer is given, 0 if it can be given at once.
	Batch BatchID
	// RetryAfter is when the caller should come back after a refusal.
	RetryAfter time.Duration
	State      State
	Reason     string
}

// Outcome classifies a reply.
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
)

// Submit accepts or refuses a job. A job that is known already is answered as the first time.
func (s *Scheduler) Submit(now time.Time, r Request) Reply {
	if j, ok := s.jobs[r.ID]; ok {
		return Reply{Outcome: OutcomeAccepted, Batch: j.acceptedBatch}
	}
	if _, ok := s.catalog.Queues[r.Queue]; !ok {
		return Reply{Outcome: OutcomeUnknownQueue}
	}
	j := s.newJob(r.ID, r.Queue, r.Spec, now, r.WallTime)
	s.applyQueue(j)
	if refusal, refused := s.admit(j); refused {
		s.recordEvent(Event{Kind: "refuse", Job: r.ID, Reason: refusal.Reason})
		return refusal
	}
	s.jobs[r.ID] = j
	s.openDueOccurrences(now, j)
	j.acceptedBatch = s.journal.markDirty(j)
	return Reply{Outcome: OutcomeAccepted, Batch: j.acceptedBatch}
}

func (s *Scheduler) newJob(id, queue string, spec workflow.Spec, arrived, wall time.Time) *Job {
	return &Job{
		id: id, queue: queue, spec: spec, acceptedAt: arrived, acceptedWall: wall, remainingTime: spec.Tails(), maxAttempts: 1,
		openOccurrences: map[int]*occurrence{},
	}
}

// openDueOccurrences creates the occurrences of the job that are due.
func (s *Scheduler) openDueOccurrences(now time.Time, j *Job) {
	if j.isFinal() {
		return
	}
	if j.spec.Times == 0 {
		if j.nextOccurrence == 0 {
			s.addOccurrence(now, j, 0)
		}
		return
	}
	wallNow := j.acceptedWall.Add(now.Sub(j.acceptedAt))
	for j.nextOccurrence < j.spec.Times && !wallNow.Before(j.spec.Due(j.nextOccurrence)) {
		s.addOccurrence(now, j, j.nextOccurrence)
	}
	if j.nextOccurrence < j.spec.Times {
		s.recurring[j] = struct{}{}
	} else {
		delete(s.recurring, j)
	}
}

// addOccurrence creates the stages of an occurrence and lists those without dependencies.
func (s *Scheduler) addOccurrence(now time.Time, j *Job, index int) *occurrence {
	o := &occurrence{job: j, index: index, openStages: len(j.spec.Steps)}
	prefix := j.id + "." + strconv.Itoa(index) + "."
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		st := &stage{occurrence: o, index: i, waiting: step.Tasks, openDependencies: len(step.After)}
		st.tasks = make([]*task, step.Tasks)
		head := prefix + strconv.Itoa(i) + "."
		for n := range st.tasks {
			st.tasks[n] = &task{stage: st, index: n, name: head + strconv.Itoa(n), lastRun: s.runNumberBase, waitingSince: now, queued: true}
		}
		o.stages = append(o.stages, st)
	}
	j.openOccurrences[index] = o
	j.nextOccurrence = max(j.nextOccurrence, index+1)
	for _, st := range o.stages {
		s.addReady(st)
	}
	return o
}

// addReady puts the stage among the ready ones if it has waiting tasks and its dependencies are done.
func (s *Scheduler) addReady(st *stage) {
	if st.inReady || st.openDependencies > 0 || st.waiting == 0 || st.job().isFinal() {
		return
	}
	st.inReady = true
	s.ready = append(s.ready, st)
}

// findTask returns the task with the name ID.K.STEP.INDEX, nil if there is none.
func (s *Scheduler) findTask(name string) *task {
	id, k, step, index, ok := splitTaskName(name)
	if !ok {
		return nil
	}
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	o := j.openOccurrences[k]
	if o == nil || step >= len(o.stages) || index >= len(o.stages[step].tasks) {
		return nil
	}
	return o.stages[step].tasks[index]
}

// splitTaskName takes a task's name apart.
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

// Cancel ends a job. The answer may be given once the ticket is committed.
func (s *Scheduler) Cancel(now time.Time, id string) Reply {
	j, ok := s.jobs[id]
	if !ok {
		return Reply{Outcome: OutcomeUnknownJob}
	}
	if !j.isFinal() {
		s.close(now, j, StateCancelled)
		s.recordEvent(Event{Kind: "cancel", Job: id})
	}
	return Reply{Outcome: OutcomeAccepted, Batch: j.finalBatch}
}

// close makes the job final and stops what still runs of it.
func (s *Scheduler) close(now time.Time, j *Job, verdict State) {
	j.finalState, j.endedAt = verdict, now
	j.finalBatch = s.journal.markDirty(j)
	delete(s.recurring, j)
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			for _, t := range st.tasks {
				for _, r := range t.runs {
					s.stopRun(now, r, "job "+string(verdict))
				}
			}
		}
	}
}

// JobStatus returns the state of a job as far as it is durable.
func (s *Scheduler) JobStatus(id string) Reply {
	j, ok := s.jobs[id]
	if !ok {
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
		if j.queue == queue && !j.started && !j.isFinal() && j.spec.Times == 0 {
			n++
		}
	}
	return n
}

// criticalPath is the job's longest criticalPath of work, with the waves of steps that are wider than the room.
func (s *Scheduler) criticalPath(j *Job) time.Duration { return j.spec.Chain() }

// finishTask records that the task is done and unblocks what depends on it.
func (s *Scheduler) finishTask(now time.Time, t *task) {
	st := t.stage
	if t.done {
		return
	}
	t.dequeue()
	t.done = true
	st.done++
	s.journal.markDirty(t.job())
	if st.done == len(st.tasks) {
		s.finishStage(now, st)
	}
}

func (s *Scheduler) finishStage(now time.Time, st *stage) {
	o := st.occurrence
	o.openStages--
	for i, other := range o.stages {
		for _, a := range o.job.spec.Steps[i].After {
			if a == st.index {
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
	delete(o.job.openOccurrences, o.index)
	j := o.job
	if len(j.openOccurrences) == 0 && j.nextOccurrence >= j.spec.Occurrences() && !j.isFinal() {
		s.close(now, j, StateCompleted)
	}
}

// dequeue takes a task from those that wait.
func (t *task) dequeue() {
	if t.queued {
		t.queued = false
		t.stage.waiting--
	}
}

// requeue makes a task without runs wait again.
func (s *Scheduler) requeue(now time.Time, t *task) {
	if t.done || t.queued || len(t.runs) > 0 || t.job().isFinal() {
		return
	}
	t.queued, t.waitingSince = true, now
	t.stage.waiting++
	s.addReady(t.stage)
}

// expireJobs forgets finished jobs whose state need not be kept any longer.
func (s *Scheduler) expireJobs(now time.Time) {
	for id, j := range s.jobs {
		if j.isFinal() && now.Sub(j.endedAt) > s.limits.JobRetention && s.journal.committed >= j.finalBatch {
			delete(s.jobs, id)
			s.journal.deleteJob(j)
		}
	}
}

// HasJob reports whether the job was accepted.
func (s *Scheduler) HasJob(id string) bool {
	_, ok := s.jobs[id]
	return ok
}

// Withdraw forgets a job that has not been handed to the log yet. It returns false if the job may have been.
func (s *Scheduler) Withdraw(id string) bool {
	j, ok := s.jobs[id]
	if !ok || j.acceptedBatch != s.journal.openBatch || j.isFinal() || j.stored {
		return false
	}
	delete(s.jobs, id)
	delete(s.recurring, j)
	j.finalState = StateCancelled
	s.journal.dirtyJobs = removeFirst(s.journal.dirtyJobs, j)
	s.recordEvent(Event{Kind: "withdraw", Job: id, Reason: "not handed to the log"})
	return true
}
