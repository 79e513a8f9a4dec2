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
	id        string
	queue     string
	service   string
	priority  int
	attempts  int
	advised   bool
	objective time.Duration
	spec      workflow.Spec
	// arrived is when the job was accepted, wall the same in the host's wall clock.
	arrived time.Time
	wall    time.Time
	// tails holds for each step the longest chain of estimates that begins with it.
	tails []time.Duration
	// open holds the occurrences that are not done yet, next is the first that has not begun.
	open map[int]*occurrence
	next int

	// restored is set for jobs of earlier terms, whose tasks may run where this term has not looked yet.
	restored bool
	started  bool
	// verdict is empty until the job is final.
	verdict State
	ended   time.Time
	// accepted and closed are the tickets whose commit makes the acceptance and the verdict durable.
	accepted, closed Ticket
	dirty            bool
	// stored is set once the specification has been handed to the log.
	stored bool
}

// occurrence is one execution of the steps.
type occurrence struct {
	job    *Job
	index  int
	stages []*stage
	// left counts the stages that are not done.
	left int
}

// stage is a step of one occurrence.
type stage struct {
	occ   *occurrence
	index int
	tasks []*task
	// waiting and done count tasks, blocked counts the dependencies that are not done.
	waiting, done, blocked int
	// listed is set while the stage is among the ready ones.
	listed bool
	// gangRun is the run number of the gang, valid while members of it run.
	gangRun int
	// tickets are the adviser's permits by worker, set for queues with an adviser.
	tickets map[string]ticket
	advice  adviceState
	// leftover belongs to lasting stages that wait.
	leftover leftover
}

func (st *stage) job() *Job            { return st.occ.job }
func (st *stage) step() *workflow.Step { return &st.occ.job.spec.Steps[st.index] }

// task is one task of a stage.
type task struct {
	stage *stage
	index int
	name  string
	done  bool
	// queued is set while the task needs a start and is counted as waiting.
	queued bool
	// run is the highest run number used.
	run int
	// ended is the highest run number whose end a worker has listed.
	ended int
	// failed holds the run numbers that ended through a failure, so that a repeated report counts once.
	failed []int
	// runs are the runs that have not ended yet; more than one only with speculative copies.
	runs       []*run
	checkpoint string
	// avoid is the worker on which the last run failed.
	avoid string
	// notBefore delays the next start after failures.
	notBefore time.Time
	// since is when the task last became waiting.
	since time.Time
}

func (t *task) step() *workflow.Step { return t.stage.step() }
func (t *task) job() *Job            { return t.stage.occ.job }

func (j *Job) final() bool { return j.verdict != "" }

// ID returns the job's id.
func (j *Job) ID() string { return j.id }

// Request is a job that a caller hands in.
type Request struct {
	ID    string
	Queue string
	Spec  workflow.Spec
	// Wall is the host's wall clock, which only serves to tell a later leader how old the job is.
	Wall time.Time
}

// Reply is the answer to a request about a job.
type Reply struct {
	Outcome Outcome
	// Ticket must be committed before the answer is given, 0 if it can be given at once.
	Ticket Ticket
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
		return Reply{Outcome: OutcomeAccepted, Ticket: j.accepted}
	}
	if _, ok := s.catalog.Queues[r.Queue]; !ok {
		return Reply{Outcome: OutcomeUnknownQueue}
	}
	j := s.newJob(r.ID, r.Queue, r.Spec, now, r.Wall)
	s.refresh(j)
	if refusal, refused := s.admit(j); refused {
		s.note(Event{Kind: "refuse", Job: r.ID, Reason: refusal.Reason})
		return refusal
	}
	s.jobs[r.ID] = j
	s.begin(now, j)
	j.accepted = s.journal.touch(j)
	return Reply{Outcome: OutcomeAccepted, Ticket: j.accepted}
}

func (s *Scheduler) newJob(id, queue string, spec workflow.Spec, arrived, wall time.Time) *Job {
	return &Job{
		id: id, queue: queue, spec: spec, arrived: arrived, wall: wall, tails: spec.RemainingPaths(), attempts: 1,
		open: map[int]*occurrence{},
	}
}

// begin creates the occurrences of the job that are due.
func (s *Scheduler) begin(now time.Time, j *Job) {
	if j.final() {
		return
	}
	if j.spec.OccurrenceCount == 0 {
		if j.next == 0 {
			s.openOccurrence(now, j, 0)
		}
		return
	}
	wallNow := j.wall.Add(now.Sub(j.arrived))
	for j.next < j.spec.OccurrenceCount && !wallNow.Before(j.spec.DueTime(j.next)) {
		s.openOccurrence(now, j, j.next)
	}
	if j.next < j.spec.OccurrenceCount {
		s.timed[j] = struct{}{}
	} else {
		delete(s.timed, j)
	}
}

// openOccurrence creates the stages of an occurrence and lists those without dependencies.
func (s *Scheduler) openOccurrence(now time.Time, j *Job, index int) *occurrence {
	o := &occurrence{job: j, index: index, left: len(j.spec.Steps)}
	prefix := j.id + "." + strconv.Itoa(index) + "."
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		st := &stage{occ: o, index: i, waiting: step.Tasks, blocked: len(step.DependsOn)}
		st.tasks = make([]*task, step.Tasks)
		head := prefix + strconv.Itoa(i) + "."
		for n := range st.tasks {
			st.tasks[n] = &task{stage: st, index: n, name: head + strconv.Itoa(n), run: s.floor, since: now, queued: true}
		}
		o.stages = append(o.stages, st)
	}
	j.open[index] = o
	j.next = max(j.next, index+1)
	for _, st := range o.stages {
		s.list(st)
	}
	return o
}

// list puts the stage among the ready ones if it has waiting tasks and its dependencies are done.
func (s *Scheduler) list(st *stage) {
	if st.listed || st.blocked > 0 || st.waiting == 0 || st.job().final() {
		return
	}
	st.listed = true
	s.ready = append(s.ready, st)
}

// lookup returns the task with the name ID.K.STEP.INDEX, nil if there is none.
func (s *Scheduler) lookup(name string) *task {
	id, k, step, index, ok := splitName(name)
	if !ok {
		return nil
	}
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	o := j.open[k]
	if o == nil || step >= len(o.stages) || index >= len(o.stages[step].tasks) {
		return nil
	}
	return o.stages[step].tasks[index]
}

// splitName takes a task's name apart.
func splitName(name string) (id string, occurrence, step, index int, ok bool) {
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
	if !j.final() {
		s.close(now, j, StateCancelled)
		s.note(Event{Kind: "cancel", Job: id})
	}
	return Reply{Outcome: OutcomeAccepted, Ticket: j.closed}
}

// close makes the job final and stops what still runs of it.
func (s *Scheduler) close(now time.Time, j *Job, verdict State) {
	j.verdict, j.ended = verdict, now
	j.closed = s.journal.touch(j)
	delete(s.timed, j)
	for _, o := range j.open {
		for _, st := range o.stages {
			for _, t := range st.tasks {
				for _, r := range t.runs {
					s.stop(now, r, "job "+string(verdict))
				}
			}
		}
	}
}

// Lookup returns the state of a job as far as it is durable.
func (s *Scheduler) Lookup(id string) Reply {
	j, ok := s.jobs[id]
	if !ok {
		return Reply{Outcome: OutcomeUnknownJob}
	}
	r := Reply{Outcome: OutcomeAccepted, Ticket: j.accepted, State: StateQueued}
	switch {
	case j.final() && s.journal.committed >= j.closed:
		r.State = j.verdict
	case j.started:
		r.State = StateRunning
	}
	return r
}

// Queued returns the number of jobs of a queue of which no task has started. Recurring jobs don't count.
func (s *Scheduler) Queued(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.queue == queue && !j.started && !j.final() && j.spec.OccurrenceCount == 0 {
			n++
		}
	}
	return n
}

// chain is the job's longest chain of work, with the waves of steps that are wider than the room.
func (s *Scheduler) chain(j *Job) time.Duration { return j.spec.CriticalPath() }

// finish records that the task is done and unblocks what depends on it.
func (s *Scheduler) finish(now time.Time, t *task) {
	st := t.stage
	if t.done {
		return
	}
	t.dequeue()
	t.done = true
	st.done++
	s.journal.touch(t.job())
	if st.done == len(st.tasks) {
		s.finishStage(now, st)
	}
}

func (s *Scheduler) finishStage(now time.Time, st *stage) {
	o := st.occ
	o.left--
	for i, other := range o.stages {
		for _, a := range o.job.spec.Steps[i].DependsOn {
			if a == st.index {
				other.blocked--
			}
		}
		for _, t := range other.tasks {
			if other.blocked == 0 && t.queued {
				t.since = now
			}
		}
		s.list(other)
	}
	if o.left > 0 {
		return
	}
	delete(o.job.open, o.index)
	j := o.job
	if len(j.open) == 0 && j.next >= j.spec.Occurrences() && !j.final() {
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
	if t.done || t.queued || len(t.runs) > 0 || t.job().final() {
		return
	}
	t.queued, t.since = true, now
	t.stage.waiting++
	s.list(t.stage)
}

// expire forgets finished jobs whose state need not be kept any longer.
func (s *Scheduler) expire(now time.Time) {
	for id, j := range s.jobs {
		if j.final() && now.Sub(j.ended) > s.limits.Retain && s.journal.committed >= j.closed {
			delete(s.jobs, id)
			s.journal.drop(j)
		}
	}
}

// Knows reports whether the job was accepted.
func (s *Scheduler) Knows(id string) bool {
	_, ok := s.jobs[id]
	return ok
}

// Withdraw forgets a job that has not been handed to the log yet. It returns false if the job may have been.
func (s *Scheduler) Withdraw(id string) bool {
	j, ok := s.jobs[id]
	if !ok || j.accepted != s.journal.current || j.final() || j.stored {
		return false
	}
	delete(s.jobs, id)
	delete(s.timed, j)
	j.verdict = StateCancelled
	s.journal.dirty = remove(s.journal.dirty, j)
	s.note(Event{Kind: "withdraw", Job: id, Reason: "not handed to the log"})
	return true
}
