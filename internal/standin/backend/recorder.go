package backend

import (
	"sync"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Violations counts messages that a correct scheduler never sends. Command load prints the fields under their Go names.
type Violations struct {
	// Overload counts starts and calls that exceed the resources or slots of a worker. The worker refuses them.
	Overload int `json:"overload"`
	// Tasks counts duplicate tasks: starts of a task while an attempt of it, the same or another one, may still run on
	// any worker that shares the recorder.
	Tasks int `json:"tasks"`
	// Calls counts duplicate calls: executions of a request and attempt that was already executed on any worker that
	// shares the recorder.
	Calls int `json:"calls"`
}

// ExecutionRecorder records the tasks and calls of all workers that share it, in order to detect duplicate execution.
// Its lock is always taken after the lock of a worker.
type ExecutionRecorder struct {
	mu         sync.Mutex
	violations Violations
	// tasks holds the attempts of each task that have not ended, by task ID.
	tasks map[string][]runningAttempt
	// calls counts the executions of each attempt of a request and requests those of all attempts together.
	calls    map[callKey]int
	requests map[string]int
}

// runningAttempt is a task attempt that its worker has started and not ended yet.
type runningAttempt struct {
	worker  string
	attempt int
	// leaseEnd is the end of the task lease on the clock that all workers share. The attempt doesn't run afterwards, even
	// if its worker has not stopped it yet.
	leaseEnd time.Duration
}

// callKey identifies one attempt of a request.
type callKey struct {
	request string
	attempt int
}

// NewExecutionRecorder returns an empty recorder.
func NewExecutionRecorder() *ExecutionRecorder {
	return &ExecutionRecorder{tasks: map[string][]runningAttempt{}, calls: map[callKey]int{}, requests: map[string]int{}}
}

// Violations returns the violations counted so far.
func (r *ExecutionRecorder) Violations() Violations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// Executions returns how often a request was executed, over all attempts and workers.
func (r *ExecutionRecorder) Executions(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[request]
}

// RepeatedRequests returns the requests that were executed more than once, in no particular order. A repeated request
// that is not idempotent is a fault.
func (r *ExecutionRecorder) RepeatedRequests() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for request, n := range r.requests {
		if n > 1 {
			out = append(out, request)
		}
	}
	return out
}

// countOverload counts a start or call that the worker refused for lack of resources or slots.
func (r *ExecutionRecorder) countOverload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations.Overload++
}

// recordTaskStart records a started task attempt and its lease, which ends at until, and counts a violation if an
// attempt of the task may still run. Both times are on the clock that all workers share.
func (r *ExecutionRecorder) recordTaskStart(worker string, ref fleet.TaskRef, now, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.tasks[ref.ID] {
		if now < a.leaseEnd {
			r.violations.Tasks++
			break
		}
	}
	r.tasks[ref.ID] = append(r.tasks[ref.ID], runningAttempt{worker: worker, attempt: ref.Attempt, leaseEnd: until})
}

// extendTaskLease sets the end of the lease of a running task attempt, on the clock that all workers share.
func (r *ExecutionRecorder) extendTaskLease(worker string, ref fleet.TaskRef, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, a := range r.tasks[ref.ID] {
		if a.worker == worker && a.attempt == ref.Attempt {
			r.tasks[ref.ID][i].leaseEnd = until
		}
	}
}

// recordTaskEnd removes a task attempt that has ended.
func (r *ExecutionRecorder) recordTaskEnd(worker string, ref fleet.TaskRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var remaining []runningAttempt
	for _, a := range r.tasks[ref.ID] {
		if a.worker != worker || a.attempt != ref.Attempt {
			remaining = append(remaining, a)
		}
	}
	if len(remaining) == 0 {
		delete(r.tasks, ref.ID)
		return
	}
	r.tasks[ref.ID] = remaining
}

// recordCall records a started call and counts a violation if the same request and attempt was started before.
func (r *ExecutionRecorder) recordCall(request string, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := callKey{request: request, attempt: attempt}
	if r.calls[k] > 0 {
		r.violations.Calls++
	}
	r.calls[k]++
	r.requests[request]++
}
