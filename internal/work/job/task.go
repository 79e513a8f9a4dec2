package job

import (
	"strconv"
	"strings"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// State is the state of a task.
type State uint8

// The states of a task. Done, Parked and Cancelled are final. A Moved task becomes Pending again if it comes back with
// a higher hop, which is the number of its moves between zones.
const (
	Pending State = iota
	Running
	Done
	Parked
	Cancelled
	Moved
	numStates
)

var stateNames = [numStates]string{"pending", "running", "done", "parked", "cancelled", "moved"}

// String returns the state in lower case.
func (s State) String() string {
	if s < numStates {
		return stateNames[s]
	}
	return "invalid"
}

// Final reports whether a task in this state never changes again.
func (s State) Final() bool { return s == Done || s == Parked || s == Cancelled }

// Counts is the number of tasks by State.
type Counts [numStates]int

// Job is a set of tasks with the same body.
type Job struct {
	id       string
	class    string
	team     string
	size     fleet.Size
	body     []byte
	runTime  time.Duration
	fromZone string
	digest   uint64
	// cancelled causes tasks that come back from another zone to be cancelled at once.
	cancelled bool
	// tasks has an entry per index. It is nil for a task that was never in this zone.
	tasks  []*Task
	counts Counts
	// unconfirmedMoves is the number of moved tasks whose Accept in the other zone is not confirmed.
	unconfirmedMoves int
	// finishedOffset is the offset at which the last task became final or had its move confirmed.
	finishedOffset uint64
	// inRetention is set while the job has a valid entry in retention.finished, which has the number retentionSeq.
	inRetention  bool
	retentionSeq uint64
}

// ID returns the job's key.
func (j *Job) ID() string { return j.id }

// Class returns the class of work.
func (j *Job) Class() string { return j.class }

// Team returns the team that owns the job.
func (j *Job) Team() string { return j.team }

// Size returns the declared size of one task.
func (j *Job) Size() fleet.Size { return j.size }

// Body returns the input of the tasks. It is nil once the job has finished. It must not be changed.
func (j *Job) Body() []byte { return j.body }

// RunTime returns the declared run time of one task.
func (j *Job) RunTime() time.Duration { return j.runTime }

// FromZone returns the zone that the job was first moved from, empty for a job that was submitted here.
func (j *Job) FromZone() string { return j.fromZone }

// Count returns the number of tasks of the job in all zones.
func (j *Job) Count() int { return len(j.tasks) }

// Counts returns the number of tasks per state, of those that are or were in this zone.
func (j *Job) Counts() Counts { return j.counts }

// Cancelled reports whether the whole job was cancelled.
func (j *Job) Cancelled() bool { return j.cancelled }

// Finished reports whether nothing is left to do for the job in this zone.
func (j *Job) Finished() bool {
	return j.counts[Pending] == 0 && j.counts[Running] == 0 && j.unconfirmedMoves == 0
}

// Task returns the task with an index, nil if it was never in this zone.
func (j *Job) Task(index int) *Task {
	if index < 0 || index >= len(j.tasks) {
		return nil
	}
	return j.tasks[index]
}

// placement is where the running attempt of a task runs.
type placement struct {
	worker, boot, host string
	// offset is the offset of the Start record.
	offset uint64
}

// Task is one unit of work.
type Task struct {
	job      *Job
	index    int32
	attempt  int32
	hop      int32
	failures uint8
	state    State
	// cancelling is set if a running task was cancelled. The End or Evict of its attempt decides its final state.
	cancelling bool
	// evicted is set if the task is pending because it was evicted.
	evicted bool
	// moveConfirmed is set if the Accept of a moved task was read back in the stream of the other zone.
	moveConfirmed bool
	// placement is nil unless the task is running.
	placement *placement
	// checkpoint is the checkpoint of the newest attempt that wrote one.
	checkpoint []byte
	output     []byte
	// reason is why the task was parked, or the target zone of a moved task.
	reason string
	// seq is the number of the task's entry in its list, which is ordered by it. list is nil if the task is in no list.
	seq        uint64
	list       *list
	prev, next *Task
	// pendingSince is when this host learned that the task is pending. It does not affect which records are valid.
	pendingSince time.Time
}

// Job returns the job that the task belongs to.
func (t *Task) Job() *Job { return t.job }

// ID returns the ID of the task, which is the job's ID, a slash and the index.
func (t *Task) ID() string { return t.job.id + "/" + strconv.Itoa(int(t.index)) }

// Index returns the number of the task within its job, from 0.
func (t *Task) Index() int { return int(t.index) }

// State returns the state of the task.
func (t *Task) State() State { return t.state }

// Attempt returns the last attempt that was started, 0 if none was. The next Start must name Attempt()+1.
func (t *Task) Attempt() int { return int(t.attempt) }

// Failures returns the number of failed attempts.
func (t *Task) Failures() int { return int(t.failures) }

// Hop returns how many times the task was moved between zones.
func (t *Task) Hop() int { return int(t.hop) }

// Cancelling reports whether the running task was cancelled.
func (t *Task) Cancelling() bool { return t.cancelling }

// Checkpoint returns the newest checkpoint. It must not be changed.
func (t *Task) Checkpoint() []byte { return t.checkpoint }

// Output returns the output of a done task, or that of the last failed attempt. It must not be changed.
func (t *Task) Output() []byte { return t.output }

// Reason returns why the task was parked, empty if it is not parked.
func (t *Task) Reason() string {
	if t.state != Parked {
		return ""
	}
	return t.reason
}

// ToZone returns the zone that the task was moved to, empty if it is not in state Moved.
func (t *Task) ToZone() string {
	if t.state != Moved {
		return ""
	}
	return t.reason
}

// Worker returns the worker of the running attempt, empty if the task is not running.
func (t *Task) Worker() string {
	if t.placement == nil {
		return ""
	}
	return t.placement.worker
}

// Boot returns the boot ID of the worker for which the running attempt was started, empty if the task is not running.
func (t *Task) Boot() string {
	if t.placement == nil {
		return ""
	}
	return t.placement.boot
}

// Host returns the host that started the running attempt, empty if the task is not running.
func (t *Task) Host() string {
	if t.placement == nil {
		return ""
	}
	return t.placement.host
}

// MovedTask returns the state of the task for an Accept in another zone.
func (t *Task) MovedTask() MovedTask {
	return MovedTask{
		Index: int(t.index), Attempt: int(t.attempt), Failures: int(t.failures), Hop: int(t.hop),
		Checkpoint: t.checkpoint,
	}
}

// splitTaskID splits a task ID into the job's ID and the index. It reports whether the ID is well formed.
func splitTaskID(id string) (string, int, bool) {
	job, num, ok := strings.Cut(id, "/")
	if !ok || num == "" || len(num) > 4 || (len(num) > 1 && num[0] == '0') {
		return "", 0, false
	}
	n, err := strconv.ParseUint(num, 10, 16)
	return job, int(n), err == nil
}
