// Package fleet describes the workers of the platform and provides their HTTP client.
//
// All deadlines in messages to a worker are given by the worker's own clock, as read from its last status, so that the
// clocks of a host and a worker are never compared.
package fleet

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused is returned when the worker confirmed that it did not and will not carry out the message.
// After any other error of Start or Call the worker may have carried it out.
var ErrRefused = errors.New("fleet: worker refused the message")

// ErrLeaseHeld is returned by Lease when another host holds an unexpired lease.
var ErrLeaseHeld = errors.New("fleet: another host holds the lease of the worker")

// Size is an amount of resources.
type Size struct {
	// Cores is in thousandths of a core.
	Cores int64 `json:"cores" msgpack:"c,omitempty"`
	// Memory is in MiB.
	Memory int64 `json:"memory" msgpack:"m,omitempty"`
	// Accelerators is a count of whole devices.
	Accelerators int64 `json:"accelerators,omitempty" msgpack:"a,omitempty"`
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Sub returns s minus o. Fields may become negative.
func (s Size) Sub(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

// Fits reports whether s is at most o in every dimension.
func (s Size) Fits(o Size) bool {
	return s.Cores <= o.Cores && s.Memory <= o.Memory && s.Accelerators <= o.Accelerators
}

// IsNegative reports whether any dimension is below zero.
func (s Size) IsNegative() bool {
	return s.Cores < 0 || s.Memory < 0 || s.Accelerators < 0
}

// TaskState is the state of a task attempt at a worker.
type TaskState string

// The states of a task attempt at a worker. All but TaskRunning are final.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped means that the holder stopped the attempt or that its task lease expired.
	TaskStopped TaskState = "stopped"
)

// Task is a task attempt as its worker reports it.
type Task struct {
	ID      string    `json:"id"`
	Attempt int       `json:"attempt"`
	Class   string    `json:"class"`
	Size    Size      `json:"size"`
	State   TaskState `json:"state"`
	// Share is the percentage of its usual processor time to which the task is throttled; 100 is unthrottled.
	Share int `json:"share"`
	// Checkpoint is the newest checkpoint, empty if there is none.
	Checkpoint []byte `json:"checkpoint,omitempty"`
	// Output is the result of a task that is done, or the reason why it failed.
	Output []byte `json:"output,omitempty"`
}

// RunningCall is an urgent call in progress, as its worker reports it.
type RunningCall struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Class   string `json:"class"`
}

// Usage is one usage report. Reports lag: each describes the window that ended Lag before the status was made.
type Usage struct {
	// Class is the class of the urgent calls or of the tasks that the report is about.
	Class string `json:"class"`
	// Lag is the age of the end of the window.
	Lag time.Duration `json:"lag"`
	// Window is the length of the window.
	Window time.Duration `json:"window"`
	// Used is the average resource usage of all tasks of the class in the window.
	Used Size `json:"used"`
	// Calls and Mean are the number of urgent calls finished in the window and their mean execution time.
	Calls int           `json:"calls,omitempty"`
	Mean  time.Duration `json:"mean,omitempty"`
}

// Status is the state of a worker.
type Status struct {
	Worker string `json:"worker"`
	// Boot changes with every restart of the worker.
	Boot string `json:"boot"`
	// Clock is the worker's monotonic clock when the status was made.
	Clock time.Duration `json:"clock"`
	// Holder is the host that holds the lease, empty if there is no unexpired lease.
	Holder string `json:"holder,omitempty"`
	// Grant grows by one with each new holder. Messages with another grant are refused.
	Grant uint64 `json:"grant"`
	// Until is the end of the holder's lease by the worker's clock.
	Until time.Duration `json:"until"`
	// Capacity is the worker's total amount of resources.
	Capacity Size `json:"capacity"`
	// Slots is the largest number of urgent calls in progress, and Connections that of connections to the worker. Each
	// call in progress occupies a connection.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Leaving is set once the worker is leaving: it is to be emptied and must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Change is the change number of this status, to be sent in the next LeaseRequest.Seen.
	Change uint64 `json:"change"`
	// Tasks holds the task attempts that changed after LeaseRequest.Seen (all, if that was 0),
	// ended ones included until they are forgotten.
	Tasks []Task `json:"tasks,omitempty"`
	// Calls are all urgent calls in progress.
	Calls []RunningCall `json:"calls,omitempty"`
	Usage []Usage       `json:"usage,omitempty"`
}

// LeaseRequest is the message that acquires or renews the lease of a worker.
type LeaseRequest struct {
	Holder string `json:"holder"`
	// Boot must be the boot ID that Until and TaskLeasesUntil were derived from.
	Boot string `json:"boot"`
	// Until is the requested end of the holder's lease, and TaskLeasesUntil that of all task leases, by the worker's
	// clock.
	Until           time.Duration `json:"until"`
	TaskLeasesUntil time.Duration `json:"tasks"`
	// Seen is the change number of the last status the holder has processed, 0 for a full list.
	Seen uint64 `json:"seen,omitempty"`
}

// Fence identifies the lease under which a message is sent. The worker refuses a message with another boot
// or grant, or one that arrives after Before.
type Fence struct {
	Boot  string `json:"boot"`
	Grant uint64 `json:"grant"`
	// Before is by the worker's clock.
	Before time.Duration `json:"before"`
}

// StartRequest is the message that starts a task attempt.
type StartRequest struct {
	Fence
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Class      string `json:"class"`
	Size       Size   `json:"size"`
	Checkpoint []byte `json:"checkpoint,omitempty"`
	Body       []byte `json:"body,omitempty"`
}

// Action is an operation on a running task attempt.
type Action string

// The actions of Control.
const (
	// ActionThrottle sets the share of a task.
	ActionThrottle Action = "throttle"
	// ActionCheckpoint makes the task write a checkpoint and continue.
	ActionCheckpoint Action = "checkpoint"
	// ActionStop makes the task write a checkpoint, if it can, and stop.
	ActionStop Action = "stop"
)

// Control is the message that throttles, checkpoints or stops a running task attempt.
type Control struct {
	Fence
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Action  Action `json:"action"`
	// Share is the new Task.Share, for ActionThrottle.
	Share int `json:"share,omitempty"`
}

// Call is the message that runs an urgent request.
type Call struct {
	Fence
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Class   string `json:"class"`
	Body    []byte `json:"body,omitempty"`
}

// Answer is the answer to a Call.
type Answer struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Body    []byte `json:"body"`
	// Digest is the xxhash64 of Body.
	Digest uint64 `json:"digest"`
	// Took is the execution time at the worker.
	Took time.Duration `json:"took"`
	// Failed is set when the backend server ran the call and the call ended with an error, which Body describes.
	Failed bool `json:"failed,omitempty"`
}

// CallState is the state of a call at a worker.
type CallState string

// The states of a call.
const (
	// CallNotStarted means that the worker, since its boot, has not started the call.
	// It is final once the worker's clock has passed the call's Before.
	CallNotStarted CallState = "never"
	CallRunning    CallState = "running"
	CallDone       CallState = "done"
)

// CallStatus is the answer to the lookup of a call.
type CallStatus struct {
	Boot   string        `json:"boot"`
	Clock  time.Duration `json:"clock"`
	State  CallState     `json:"state"`
	Answer *Answer       `json:"answer,omitempty"`
}
