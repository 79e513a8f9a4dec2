package backend

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	defaultTaskRunTime = time.Second
	defaultCallRunTime = 5 * time.Millisecond
	defaultSteps       = 10
	// maxFailRunTime is the longest run time of tasks and calls that start while the fault switch Fail is on.
	maxFailRunTime = 2 * time.Millisecond
)

// Body is the body of tasks and calls for the stand-in. All fields are optional.
type Body struct {
	// RunMs is the actual run time in ms, by default 1000 for tasks and 5 for calls.
	RunMs float64 `json:"run_ms"`
	// Fail makes the task or call fail at the end of its run time.
	Fail bool `json:"fail"`
	// Steps is the number of steps of a task, 10 by default. A checkpoint holds the number of finished steps. A task with
	// a negative number of steps can't be checkpointed.
	Steps int `json:"steps"`
	// Use is the actual resource use of a task, by default its declared size. The worker does not check it against its
	// capacity.
	Use *fleet.Size `json:"use"`
}

// parseBody returns the decoded body and its run time, or the given one if the body states none.
func parseBody(data []byte, run time.Duration) (Body, time.Duration) {
	var b Body
	// A body that is not JSON of this form gets the defaults.
	if json.Unmarshal(data, &b) != nil {
		b = Body{}
	}
	if b.RunMs > 0 {
		run = time.Duration(b.RunMs * float64(time.Millisecond))
	}
	if b.Steps == 0 {
		b.Steps = defaultSteps
	}
	return b, run
}

// task is an attempt of a task, running or ended.
type task struct {
	fleet.Task
	// lastChange is the worker's change number at the last change of the task.
	lastChange uint64
	// use is the actual resource use; Task.Size is the declared one.
	use fleet.Size
	// fail is set if the task ends with an error.
	fail bool
	// steps is the number of steps, negative if the task can't be checkpointed.
	steps int
	// totalWork is the actual run time of the whole task and remainingWork the remaining part, both unthrottled. They are
	// in hundredths of a nanosecond, so that progress at a share in percent is exact however the time is divided into
	// steps.
	totalWork, remainingWork int64
}

// checkpoint is the checkpoint of a task: the number of finished steps.
type checkpoint struct {
	Step int `json:"step"`
}

func (t *task) ref() fleet.TaskRef { return fleet.TaskRef{ID: t.ID, Attempt: t.Attempt} }

// timeToEnd returns the time until the task ends at its current share, rounded up and at least 1 ns. The share must be
// above 0.
func (t *task) timeToEnd() time.Duration {
	share := int64(t.Share)
	return time.Duration(max(1, (t.remainingWork+share-1)/share))
}

// output returns the output of a task attempt that succeeds.
func (t *task) output() []byte {
	out, _ := json.Marshal(map[string]any{"task": t.ID, "attempt": t.Attempt})
	return out
}

// writeCheckpoint updates the checkpoint, unless the task can't be checkpointed.
func (t *task) writeCheckpoint() {
	if t.steps < 1 {
		return
	}
	done := int(float64(t.totalWork-t.remainingWork) / float64(t.totalWork) * float64(t.steps))
	t.Checkpoint, _ = json.Marshal(checkpoint{Step: done})
}

// Start starts a task attempt. It returns fleet.ErrRefused, wrapped, if the attempt was not started. A repeated start
// of a known attempt succeeds without effect; a start of an attempt that is no longer known returns ErrForgotten,
// wrapped.
func (w *Worker) Start(o fleet.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return err
	}
	if old := w.tasks[o.Task]; old != nil && old.Attempt == o.Attempt {
		return nil
	}
	// ErrRefused means that the attempt was not started. This one may have been started earlier and since forgotten or
	// superseded, so a refusal could be false.
	if o.Attempt > 0 && o.Attempt <= w.lastAttempts[o.Task] {
		return errors.Wrapf(ErrForgotten, "task %s attempt %d", o.Task, o.Attempt)
	}
	if err := w.checkFence(o.Fence); err != nil {
		return err
	}
	old := w.tasks[o.Task]
	switch {
	case w.faults.Leaving:
		return errors.Wrap(fleet.ErrRefused, "worker is leaving")
	case o.Attempt < 1:
		return errors.Wrapf(fleet.ErrRefused, "attempt %d of task %s", o.Attempt, o.Task)
	case old != nil && old.State == fleet.TaskRunning:
		return errors.Wrapf(fleet.ErrRefused, "attempt %d of task %s is running", old.Attempt, o.Task)
	case w.currentTime >= w.taskLeaseEnd:
		return errors.Wrap(fleet.ErrRefused, "task lease has expired")
	case !w.allocated().Add(o.Size).Fits(w.cfg.Capacity):
		w.recorder.countOverload()
		return errors.Wrapf(fleet.ErrRefused, "task %s does not fit", o.Task)
	}
	b, run := parseBody(o.Body, defaultTaskRunTime)
	t := &task{
		Task: fleet.Task{
			ID: o.Task, Attempt: o.Attempt, Class: o.Class, Size: o.Size,
			State: fleet.TaskRunning, Share: 100, Checkpoint: o.Checkpoint,
		},
		use: o.Size, fail: b.Fail || w.faults.Fail, steps: b.Steps,
		totalWork: int64(run) * 100, remainingWork: int64(run) * 100,
	}
	if b.Use != nil {
		t.use = *b.Use
	}
	var c checkpoint
	if b.Steps > 0 && json.Unmarshal(o.Checkpoint, &c) == nil {
		t.remainingWork -= t.totalWork / int64(b.Steps) * int64(min(max(c.Step, 0), b.Steps))
	}
	if w.faults.Fail {
		t.remainingWork = min(t.remainingWork, int64(maxFailRunTime)*100)
	}
	w.tasks[o.Task], w.lastAttempts[o.Task] = t, o.Attempt
	w.markChanged(t)
	w.recorder.recordTaskStart(w.cfg.ID, t.ref(), w.currentTime+w.bootTime, w.taskLeaseEnd+w.bootTime)
	return nil
}

// Control throttles, checkpoints or stops a running task attempt and returns its state afterwards. An attempt that has
// ended is returned unchanged. It returns fleet.ErrRefused, wrapped, for an unknown attempt or action.
func (w *Worker) Control(m fleet.Control) (fleet.Task, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return fleet.Task{}, err
	}
	if err := w.checkFence(m.Fence); err != nil {
		return fleet.Task{}, err
	}
	t := w.tasks[m.Task]
	if t == nil || t.Attempt != m.Attempt {
		return fleet.Task{}, errors.Wrapf(fleet.ErrRefused, "task %s attempt %d is not known", m.Task, m.Attempt)
	}
	if t.State != fleet.TaskRunning {
		return t.Task, nil
	}
	switch m.Action {
	case fleet.ActionThrottle:
		t.Share = min(max(m.Share, 0), 100)
		w.markChanged(t)
	case fleet.ActionCheckpoint:
		t.writeCheckpoint()
		w.markChanged(t)
	case fleet.ActionStop:
		w.endTask(t, fleet.TaskStopped, nil)
	default:
		return fleet.Task{}, errors.Wrapf(fleet.ErrRefused, "unknown action %q", m.Action)
	}
	return t.Task, nil
}

// Forget removes ended task attempts from the status. Unknown and running attempts are ignored.
func (w *Worker) Forget(f fleet.Fence, refs []fleet.TaskRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return err
	}
	if err := w.checkFence(f); err != nil {
		return err
	}
	for _, r := range refs {
		if t := w.tasks[r.ID]; t != nil && t.Attempt == r.Attempt && t.State != fleet.TaskRunning {
			delete(w.tasks, r.ID)
		}
	}
	return nil
}

// allocated returns the sum of the declared sizes of the running tasks.
func (w *Worker) allocated() fleet.Size {
	var s fleet.Size
	for _, t := range w.tasks {
		if t.State == fleet.TaskRunning {
			s = s.Add(t.Size)
		}
	}
	return s
}

// endTask ends a running task attempt with the state and output. A stopped one gets a checkpoint.
func (w *Worker) endTask(t *task, state fleet.TaskState, output []byte) {
	if state == fleet.TaskStopped {
		t.writeCheckpoint()
	}
	t.State, t.Output = state, output
	w.markChanged(t)
	w.recorder.recordTaskEnd(w.cfg.ID, t.ref())
}

// markChanged gives the task the next change number, so that the next incremental status contains it.
func (w *Worker) markChanged(t *task) {
	w.lastChange++
	t.lastChange = w.lastChange
}
