// Package backend is a stand-in for the platform's workers: an in-process worker with fault switches, driven by an
// injected clock, and its HTTP handler.
package backend

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// ErrUnreachable is returned, wrapped, by all methods that handle a message to the worker while it is frozen or
// unreachable. The message had no effect.
var ErrUnreachable = errors.New("backend: worker unreachable")

// ErrForgotten is returned, wrapped, by Start for an attempt that is not newer than the last one started on this worker
// and that is no longer known. The attempt may or may not have run.
var ErrForgotten = errors.New("backend: attempt is not newer than the last one started")

// Faults are the fault switches. The zero value is a healthy worker.
type Faults struct {
	// Freeze pauses the worker like a stopped process: nothing makes progress, but its clock continues.
	Freeze bool `json:"freeze"`
	// Fail makes all tasks and calls fail that are started from now on.
	Fail bool `json:"fail"`
	// Leaving makes the worker refuse new tasks and calls.
	Leaving bool `json:"leaving"`
	// Unreachable makes the worker unreachable. Running tasks and calls continue.
	Unreachable bool `json:"unreachable"`
}

// Config describes a worker. Zero durations are replaced by defaults.
type Config struct {
	ID       string
	Capacity fleet.Size
	// Slots is the number of calls that the worker runs at the same time.
	Slots int
	// Connections is the number of connections that the status reports; the stand-in doesn't enforce it.
	Connections int
	// UsageWindow is the time that a usage report covers, 2 s by default, and UsageLag the time from the end of a window
	// to its report, 4 s by default.
	UsageWindow, UsageLag time.Duration
	// SlowdownFactor returns the factor, unknown to the scheduler, by which calls of the class urgent take longer if
	// tasks of the class batch use the whole worker. Lower use slows them down in proportion. Nil means no slowdown.
	SlowdownFactor func(urgent, batch string) float64
}

// Worker is one worker. Its methods may be called from several goroutines.
type Worker struct {
	cfg Config
	// clock is shared by all workers that share the recorder. The worker's own clock is its reading minus bootTime.
	clock    func() time.Duration
	recorder *ExecutionRecorder
	// closed is closed by Close and ends the wait of messages that a frozen worker has not handled.
	closed    chan struct{}
	closeOnce sync.Once

	mu     sync.Mutex
	faults Faults
	// bootCount is the number of starts. bootTime is the reading of clock at which the worker's own clock was zero.
	bootCount int
	bootTime  time.Duration
	// currentTime is the reading of the worker's clock up to which advance has brought the state.
	currentTime time.Duration
	// holder is the host that acquired the lease last, empty after a release. It holds the lease until leaseEnd.
	holder string
	// grant grows by one with each new holder. Messages with another grant are refused.
	grant    uint64
	leaseEnd time.Duration
	// taskLeaseEnd is the end of all task leases. It never decreases between restarts.
	taskLeaseEnd time.Duration
	// lastChange is the number of the last change of a task; changes are numbered from 1 after a restart.
	lastChange uint64
	// tasks holds the running attempts, and the ended ones until they are forgotten, by task ID.
	tasks map[string]*task
	// lastAttempts has the highest attempt of each task started since the restart, including forgotten ones.
	lastAttempts map[string]int
	// calls holds all calls since the restart and active those in progress.
	calls  map[callKey]*call
	active map[callKey]*call
	usage  usage
	// faultsChanged is closed and replaced when the faults change or the worker restarts.
	faultsChanged chan struct{}
}

// New returns a worker. The clock must be monotonic and the same for all workers that share the recorder.
func New(cfg Config, clock func() time.Duration, recorder *ExecutionRecorder) *Worker {
	if cfg.UsageWindow <= 0 {
		cfg.UsageWindow = 2 * time.Second
	}
	if cfg.UsageLag <= 0 {
		cfg.UsageLag = 4 * time.Second
	}
	w := &Worker{
		cfg: cfg, clock: clock, recorder: recorder, closed: make(chan struct{}), faultsChanged: make(chan struct{}),
	}
	w.reset()
	return w
}

// ID returns the worker's name.
func (w *Worker) ID() string { return w.cfg.ID }

// Close aborts the requests that wait for a frozen worker, also those that come later. It may be called several times.
func (w *Worker) Close() { w.closeOnce.Do(func() { close(w.closed) }) }

// Restart ends all tasks and calls and starts the worker with a new boot ID, its clock at zero and an empty state. The
// fault switches stay.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.tasks {
		if t.State == fleet.TaskRunning {
			w.recorder.recordTaskEnd(w.cfg.ID, t.ref())
		}
	}
	w.reset()
	w.notify()
}

// Faults returns the fault switches.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the fault switches.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = f
	w.notify()
}

// Status returns the full status.
func (w *Worker) Status() (fleet.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return fleet.Status{}, err
	}
	return w.status(0), nil
}

// BriefStatus returns the status without tasks, calls and usage.
func (w *Worker) BriefStatus() (fleet.Status, error) {
	s, err := w.Status()
	s.Tasks, s.Calls, s.Usage = nil, nil, nil
	return s, err
}

// Lease acquires or renews the lease of the worker and returns the status with the tasks that changed after l.Seen. It
// returns fleet.ErrLeaseHeld, wrapped, if another holder has the lease, and fleet.ErrRefused, wrapped, for an invalid
// request.
func (w *Worker) Lease(l fleet.LeaseRequest) (fleet.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return fleet.Status{}, err
	}
	held := w.holder != "" && w.currentTime < w.leaseEnd
	switch {
	case l.Holder == "":
		return fleet.Status{}, errors.Wrap(fleet.ErrRefused, "lease without holder")
	case l.Boot != w.bootID():
		return fleet.Status{}, errors.Wrapf(fleet.ErrRefused, "lease for boot %s", l.Boot)
	case l.Until <= w.currentTime:
		return fleet.Status{}, errors.Wrapf(fleet.ErrRefused, "lease until %s at %s", l.Until, w.currentTime)
	case held && w.holder != l.Holder:
		return fleet.Status{}, errors.Wrapf(fleet.ErrLeaseHeld, "by %s", w.holder)
	}
	if w.holder != l.Holder {
		w.holder, w.leaseEnd = l.Holder, 0
		w.grant++
	}
	// A renewal that arrives after a later one doesn't shorten the lease.
	w.leaseEnd = max(w.leaseEnd, l.Until)
	if l.TaskLeasesUntil > w.taskLeaseEnd {
		w.taskLeaseEnd = l.TaskLeasesUntil
		for _, t := range w.tasks {
			if t.State == fleet.TaskRunning {
				w.recorder.extendTaskLease(w.cfg.ID, t.ref(), w.taskLeaseEnd+w.bootTime)
			}
		}
	}
	return w.status(l.Seen), nil
}

// Release releases the lease. Tasks continue until their own lease ends.
func (w *Worker) Release(f fleet.Fence) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.beginMessage(); err != nil {
		return err
	}
	if err := w.checkFence(f); err != nil {
		return err
	}
	w.holder, w.leaseEnd = "", w.currentTime
	return nil
}

// reset sets the state to that of a worker that has just started. The fault switches stay.
func (w *Worker) reset() {
	w.bootCount++
	w.bootTime, w.currentTime = w.clock(), 0
	w.holder, w.grant, w.leaseEnd, w.taskLeaseEnd, w.lastChange = "", 0, 0, 0, 0
	w.tasks, w.lastAttempts = map[string]*task{}, map[string]int{}
	w.calls, w.active = map[callKey]*call{}, map[callKey]*call{}
	w.usage = usage{window: w.cfg.UsageWindow, classes: map[string]*classTotals{}}
}

// bootID returns the boot ID, which changes with every restart.
func (w *Worker) bootID() string { return fmt.Sprintf("%s-%d", w.cfg.ID, w.bootCount) }

// notify wakes up the goroutines that wait for faultsChanged.
func (w *Worker) notify() {
	close(w.faultsChanged)
	w.faultsChanged = make(chan struct{})
}

// beginMessage advances the state to the present. It returns ErrUnreachable, wrapped, if no message reaches the
// worker.
func (w *Worker) beginMessage() error {
	w.advance()
	if w.faults.Freeze || w.faults.Unreachable {
		return errors.Wrapf(ErrUnreachable, "worker %s", w.cfg.ID)
	}
	return nil
}

// checkFence returns fleet.ErrRefused, wrapped, for a message that arrives late or was not sent under the current
// lease.
func (w *Worker) checkFence(f fleet.Fence) error {
	switch {
	case f.Boot != w.bootID():
		return errors.Wrapf(fleet.ErrRefused, "message for boot %s", f.Boot)
	case f.Grant != w.grant:
		return errors.Wrapf(fleet.ErrRefused, "message under grant %d, current is %d", f.Grant, w.grant)
	case w.holder == "" || w.currentTime >= w.leaseEnd:
		return errors.Wrap(fleet.ErrRefused, "lease has expired")
	case w.currentTime > f.Before:
		return errors.Wrapf(fleet.ErrRefused, "message for no later than %s arrived at %s", f.Before, w.currentTime)
	}
	return nil
}

// status returns the status with the tasks whose change number is above seen.
func (w *Worker) status(seen uint64) fleet.Status {
	s := fleet.Status{
		Worker: w.cfg.ID, Boot: w.bootID(), Clock: w.currentTime, Grant: w.grant, Until: w.leaseEnd,
		Capacity: w.cfg.Capacity, Slots: w.cfg.Slots, Connections: w.cfg.Connections,
		Leaving: w.faults.Leaving, Change: w.lastChange, Usage: w.usage.report(w.currentTime, w.cfg.UsageLag),
	}
	if w.currentTime < w.leaseEnd {
		s.Holder = w.holder
	}
	for _, t := range w.tasks {
		if t.lastChange > seen {
			s.Tasks = append(s.Tasks, t.Task)
		}
	}
	for k, c := range w.active {
		s.Calls = append(s.Calls, fleet.RunningCall{Request: k.request, Attempt: k.attempt, Class: c.class})
	}
	// A fixed order makes runs with an injected clock reproducible.
	slices.SortFunc(s.Tasks, func(a, b fleet.Task) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Calls, func(a, b fleet.RunningCall) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
	})
	return s
}

// advance advances the state to the present, in steps within which no task, call, task lease or usage window ends.
func (w *Worker) advance() {
	now := w.clock() - w.bootTime
	if w.faults.Freeze {
		w.usage.skipWindows(now)
		w.currentTime = now
		return
	}
	w.endDueWork()
	for w.currentTime < now {
		next := min(now, w.usage.end())
		if w.taskLeaseEnd > w.currentTime {
			next = min(next, w.taskLeaseEnd)
		}
		for _, t := range w.tasks {
			if t.State == fleet.TaskRunning && t.Share > 0 {
				next = min(next, w.currentTime+t.timeToEnd())
			}
		}
		for _, c := range w.active {
			next = min(next, w.currentTime+c.remaining)
		}
		d := next - w.currentTime
		for _, t := range w.tasks {
			if t.State == fleet.TaskRunning {
				t.remainingWork -= int64(d) * int64(t.Share)
				w.usage.addTaskUse(t.Class, t.use, t.Share, d)
			}
		}
		for _, c := range w.active {
			c.remaining -= d
		}
		w.currentTime = next
		w.endDueWork()
		w.usage.closeWindow(w.currentTime)
	}
}

// endDueWork ends all running tasks if the task lease has expired, otherwise the finished ones, and the finished calls.
func (w *Worker) endDueWork() {
	for _, t := range w.tasks {
		switch {
		case t.State != fleet.TaskRunning:
		case w.currentTime >= w.taskLeaseEnd:
			w.endTask(t, fleet.TaskStopped, []byte("task lease expired"))
		case t.remainingWork <= 0 && t.fail:
			w.endTask(t, fleet.TaskFailed, []byte("failed"))
		case t.remainingWork <= 0:
			w.endTask(t, fleet.TaskDone, t.output())
		}
	}
	for k, c := range w.active {
		if c.remaining <= 0 {
			c.finish(k, w.currentTime)
			w.usage.addCall(c.class, c.answer.Took)
			delete(w.active, k)
		}
	}
}
