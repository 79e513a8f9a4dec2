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
func (l *ExecutionRecorder) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

// Executions returns how often a request was executed, over all attempts and workers.
func (l *ExecutionRecorder) Executions(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[request]
}

// RepeatedRequests returns the requests that were executed more than once, in no particular order. A repeated request
// that is not idempotent is a fault.
func (l *ExecutionRecorder) RepeatedRequests() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for r, n := range l.requests {
		if n > 1 {
			out = append(out, r)
		}
	}
	return out
}

// countOverload counts a start or call that the worker refused for lack of resources or slots.
func (l *ExecutionRecorder) countOverload() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations.Overload++
}

// recordTaskStart records a started task attempt and its lease, which ends at until, and counts a violation if an
// attempt of the task may still run. Both times are on the clock that all workers share.
func (l *ExecutionRecorder) recordTaskStart(worker string, ref fleet.TaskRef, now, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.tasks[ref.ID] {
		if now < a.leaseEnd {
			l.violations.Tasks++
			break
		}
	}
	l.tasks[ref.ID] = append(l.tasks[ref.ID], runningAttempt{worker: worker, attempt: ref.Attempt, leaseEnd: until})
}

// extendTaskLease sets the end of the lease of a running task attempt, on the clock that all workers share.
func (l *ExecutionRecorder) extendTaskLease(worker string, ref fleet.TaskRef, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range l.tasks[ref.ID] {
		if a.worker == worker && a.attempt == ref.Attempt {
			l.tasks[ref.ID][i].leaseEnd = until
		}
	}
}

// recordTaskEnd removes a task attempt that has ended.
func (l *ExecutionRecorder) recordTaskEnd(worker string, ref fleet.TaskRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var remaining []runningAttempt
	for _, a := range l.tasks[ref.ID] {
		if a.worker != worker || a.attempt != ref.Attempt {
			remaining = append(remaining, a)
		}
	}
	if len(remaining) == 0 {
		delete(l.tasks, ref.ID)
		return
	}
	l.tasks[ref.ID] = remaining
}

// recordCall records a started call and counts a violation if the same request and attempt was started before.
func (l *ExecutionRecorder) recordCall(request string, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := callKey{request: request, attempt: attempt}
	if l.calls[k] > 0 {
		l.violations.Calls++
	}
	l.calls[k]++
	l.requests[request]++
}
