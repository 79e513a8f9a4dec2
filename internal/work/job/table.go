package job

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// Usage is the number of running tasks of a team or class and the sum of their declared sizes.
type Usage struct {
	Tasks int
	Size  fleet.Size
}

// Table holds the jobs of a zone. It is not safe for concurrent use.
type Table struct {
	// jobs holds the jobs by ID, queues the pending tasks by class.
	jobs   map[string]*Job
	queues map[string]*queue
	// unconfirmedMoves holds the moved tasks whose move is not confirmed.
	unconfirmedMoves list
	// runningByWorker holds the running tasks of each worker. A worker without running tasks has no entry.
	runningByWorker map[string][]*Task
	usageByTeam     map[string]*Usage
	usageByClass    map[string]*Usage
	// openHolderQueries holds, by worker, the offset of the first HolderQuery since its last Hold.
	openHolderQueries map[string]uint64
	// holds holds the newest Hold of each worker. Within a boot of the worker its grant never decreases.
	holds  map[string]Hold
	counts Counts
	// seq numbers the entries of all lists.
	seq uint64
	// retention decides when finished jobs are removed.
	retention retention
	// firstApplied is when this host applied the first record, after a snapshot the first one that follows it. It does
	// not affect which records are valid.
	firstApplied time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		jobs:              map[string]*Job{},
		queues:            map[string]*queue{},
		runningByWorker:   map[string][]*Task{},
		usageByTeam:       map[string]*Usage{},
		usageByClass:      map[string]*Usage{},
		openHolderQueries: map[string]uint64{},
		holds:             map[string]Hold{},
		retention:         retention{tombstones: map[string]tombstone{}},
	}
}

// logPosition is the offset of a record and the time at which this host applies it.
type logPosition struct {
	now    time.Time
	offset uint64
}

// Apply applies the record at an offset of the zone's stream. An error means that the record was ignored; every reader
// ignores the same records. now is kept for PendingSince and does not affect the result. Records must be applied in log
// order.
func (t *Table) Apply(now time.Time, offset uint64, item record.Item) error {
	if t.firstApplied.IsZero() {
		t.firstApplied = now
	}
	at := logPosition{now: now, offset: offset}
	var err error
	switch item.Kind {
	case KindAccept:
		err = decodeAndApply(at, item, t.accept)
	case KindStart:
		err = decodeAndApply(at, item, t.start)
	case KindEnd:
		err = decodeAndApply(at, item, t.end)
	case KindEvict:
		err = decodeAndApply(at, item, t.evict)
	case KindCancel:
		err = decodeAndApply(at, item, t.cancel)
	case KindPark:
		err = decodeAndApply(at, item, t.park)
	case KindMove:
		err = decodeAndApply(at, item, t.move)
	case KindHolderQuery:
		err = decodeAndApply(at, item, t.holderQuery)
	case KindHold:
		err = decodeAndApply(at, item, t.hold)
	default:
		err = ErrUnknownKind
	}
	if err != nil {
		return errors.Wrapf(err, "job: %.32q at offset %d", item.Kind, offset)
	}
	t.removeOldJobs(offset)
	return nil
}

// decodeAndApply decodes a record, checks it and applies it.
func decodeAndApply[T recordBody](at logPosition, item record.Item, apply func(logPosition, T) error) error {
	m, err := record.DecodeItem[T](item)
	if err != nil {
		return err
	}
	if err := m.check(); err != nil {
		return err
	}
	return apply(at, m)
}

// contentDigest returns a hash of what was submitted under a job ID, without FromZone and Tasks.
func contentDigest(a Accept) (uint64, error) {
	a.FromZone, a.Tasks = "", nil
	data, err := msgpack.Marshal(&a)
	return xxhash.Sum64(data), err
}

// accept adds a new job, or those of the moved tasks whose hop is higher than the known one.
func (t *Table) accept(at logPosition, a Accept) error {
	digest, err := contentDigest(a)
	if err != nil {
		return malformedError("%v", err)
	}
	j := t.jobs[a.ID]
	if j != nil && j.digest != digest {
		return ErrConflict
	}
	if a.FromZone == "" {
		if j != nil {
			return ErrExists
		}
		if err := t.retention.admitID(a.ID); err != nil {
			return err
		}
		j = t.newJob(a, digest)
		tasks := make([]Task, a.Count)
		for i := range tasks {
			t.addTask(at, j, i, &tasks[i])
		}
		return nil
	}
	var newTasks []MovedTask
	for _, moved := range a.Tasks {
		if moved.Hop > t.knownHop(j, a.ID, moved.Index) {
			newTasks = append(newTasks, moved)
		}
	}
	if len(newTasks) == 0 {
		return ErrExists
	}
	if j == nil {
		j = t.newJob(a, digest)
	}
	if j.inRetention {
		t.retention.reopen(j)
	}
	if j.body == nil {
		j.body = a.Body
	}
	tasks := make([]Task, len(newTasks))
	for i, moved := range newTasks {
		task := j.tasks[moved.Index]
		if task == nil {
			task = &tasks[i]
			t.addTask(at, j, moved.Index, task)
		} else {
			t.setState(task, Pending, at)
		}
		task.attempt, task.failures, task.hop = int32(moved.Attempt), uint8(moved.Failures), int32(moved.Hop)
		task.checkpoint, task.reason = moved.Checkpoint, ""
	}
	// All tasks are added first, so that the job finishes only with the last one.
	for _, moved := range newTasks {
		if j.cancelled {
			t.setState(j.tasks[moved.Index], Cancelled, at)
		}
	}
	return nil
}

// newJob adds a job without tasks.
func (t *Table) newJob(a Accept, digest uint64) *Job {
	j := &Job{
		id: a.ID, class: a.Class, team: a.Team, size: a.Size, body: a.Body, runTime: a.RunTime,
		fromZone: a.FromZone, digest: digest, tasks: make([]*Task, a.Count),
	}
	t.jobs[a.ID] = j
	return j
}

// addTask adds a new task to its job and to the pending queue.
func (t *Table) addTask(at logPosition, j *Job, index int, task *Task) {
	*task = Task{job: j, index: int32(index), state: Pending, pendingSince: at.now}
	j.tasks[index] = task
	j.counts[Pending]++
	t.counts[Pending]++
	t.seq++
	task.seq = t.seq
	t.enqueue(task)
}

// knownHop returns the highest hop with which a task was in this zone, -1 if it never was. Only a task that was moved
// away can have a higher hop elsewhere, so a moved task with a higher hop is not a duplicate.
func (t *Table) knownHop(j *Job, id string, index int) int {
	if j != nil && j.tasks[index] != nil {
		return j.tasks[index].Hop()
	}
	return t.retention.lastHop(id, index)
}

// setState changes the state of a task and updates all indexes.
func (t *Table) setState(task *Task, to State, at logPosition) {
	j := task.job
	if task.placement != nil {
		t.removeRunning(task)
	}
	if task.state == Moved && !task.moveConfirmed {
		j.unconfirmedMoves--
	}
	if q := t.queues[j.class]; task.state == Pending && q != nil && q.len() == 1 {
		delete(t.queues, j.class)
	}
	task.unlink()
	j.counts[task.state]--
	t.counts[task.state]--
	task.state, task.cancelling, task.moveConfirmed = to, false, false
	j.counts[to]++
	t.counts[to]++
	switch to {
	case Pending:
		t.seq++
		task.seq, task.pendingSince = t.seq, at.now
		t.enqueue(task)
	case Moved:
		t.seq++
		task.seq = t.seq
		t.unconfirmedMoves.push(task)
		j.unconfirmedMoves++
	case Done, Parked, Cancelled:
		task.checkpoint = nil
	}
	if to != Pending {
		task.evicted, task.pendingSince = false, time.Time{}
	}
	t.retainIfFinished(j, at)
}

// retainIfFinished adds a job to retention and releases its body once nothing is left to do for it.
func (t *Table) retainIfFinished(j *Job, at logPosition) {
	if j.inRetention || !j.Finished() {
		return
	}
	j.body = nil
	t.retention.add(j, at.offset)
}

// addRunning records where a task runs and adds it to the usage of its team and class.
func (t *Table) addRunning(task *Task, p *placement) {
	task.placement = p
	t.runningByWorker[p.worker] = append(t.runningByWorker[p.worker], task)
	addUsage(t.usageByTeam, task.job.team, task.job.size)
	addUsage(t.usageByClass, task.job.class, task.job.size)
}

// removeRunning undoes addRunning when the attempt has ended.
func (t *Table) removeRunning(task *Task) {
	w := task.placement.worker
	tasks := t.runningByWorker[w]
	for i, o := range tasks {
		if o == task {
			tasks[i] = tasks[len(tasks)-1]
			tasks[len(tasks)-1] = nil
			tasks = tasks[:len(tasks)-1]
			break
		}
	}
	if len(tasks) == 0 {
		delete(t.runningByWorker, w)
	} else {
		t.runningByWorker[w] = tasks
	}
	subUsage(t.usageByTeam, task.job.team, task.job.size)
	subUsage(t.usageByClass, task.job.class, task.job.size)
	task.placement = nil
}

// addUsage adds one task of the given size to the usage of a team or class.
func addUsage(m map[string]*Usage, key string, size fleet.Size) {
	u := m[key]
	if u == nil {
		u = &Usage{}
		m[key] = u
	}
	u.Tasks++
	u.Size = u.Size.Add(size)
}

// subUsage subtracts one task of the given size from the usage of a team or class, and deletes the entry with the last
// task.
func subUsage(m map[string]*Usage, key string, size fleet.Size) {
	u := m[key]
	u.Tasks--
	u.Size = u.Size.Sub(size)
	if u.Tasks == 0 {
		delete(m, key)
	}
}

// lookUpTask returns the task with an ID. The error wraps record.ErrMalformed or is ErrUnknownTask.
func (t *Table) lookUpTask(id string) (*Task, error) {
	job, index, ok := splitTaskID(id)
	if !ok {
		return nil, malformedError("task id %.64q", id)
	}
	if j := t.jobs[job]; j != nil {
		if task := j.Task(index); task != nil {
			return task, nil
		}
	}
	return nil, ErrUnknownTask
}

// lookUpRunning returns the task with an ID, or an error if the given attempt is not running.
func (t *Table) lookUpRunning(id string, attempt int) (*Task, error) {
	task, err := t.lookUpTask(id)
	switch {
	case err != nil:
		return nil, err
	case task.state.Final():
		return nil, ErrFinal
	case int(task.attempt) != attempt:
		return nil, ErrWrongAttempt
	case task.state != Running:
		return nil, ErrNotRunning
	}
	return task, nil
}

// lookUpPending returns the task with an ID, or an error if it is not pending.
func (t *Table) lookUpPending(id string) (*Task, error) {
	task, err := t.lookUpTask(id)
	switch {
	case err != nil:
		return nil, err
	case task.state.Final():
		return nil, ErrFinal
	case task.state != Pending:
		return nil, ErrNotPending
	}
	return task, nil
}
