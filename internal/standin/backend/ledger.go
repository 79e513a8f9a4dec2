package backend

import (
	"sync"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Violations counts what a correct scheduler never does.
type Violations struct {
	// Overload counts starts and calls beyond the resources or slots of a worker. The worker refuses them.
	Overload int `json:"overload"`
	// Tasks counts starts of a task while an attempt of it may still run at any worker of the ledger.
	Tasks int `json:"tasks"`
	// Calls counts executions of a request and attempt that was executed before at any worker of the ledger.
	Calls int `json:"calls"`
}

// Ledger records what runs on all workers that share it, in order to detect double execution.
// Its lock is taken after that of a worker.
type Ledger struct {
	mu         sync.Mutex
	violations Violations
	tasks      map[string][]runningAttempt
	calls      map[callKey]int
	requests   map[string]int
}

// runningAttempt is a running task attempt.
type runningAttempt struct {
	worker  string
	attempt int
	// leaseEnd is the end of the task lease in the clock that all workers share. The attempt doesn't run afterwards, even
	// if its worker has not noticed yet.
	leaseEnd time.Duration
}

type callKey struct {
	request string
	attempt int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{tasks: map[string][]runningAttempt{}, calls: map[callKey]int{}, requests: map[string]int{}}
}

// Violations returns the counts so far.
func (l *Ledger) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

// Executions returns how many attempts of a request were executed at all workers together.
func (l *Ledger) Executions(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[request]
}

// Repeated returns the requests of which more than one attempt was executed. For requests that are not idempotent
// each of them is a fault.
func (l *Ledger) Repeated() []string {
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

func (l *Ledger) countOverload() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations.Overload++
}

func (l *Ledger) recordTaskStart(worker string, ref fleet.TaskRef, now, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.tasks[ref.ID] {
		if now < c.leaseEnd {
			l.violations.Tasks++
			break
		}
	}
	l.tasks[ref.ID] = append(l.tasks[ref.ID], runningAttempt{worker: worker, attempt: ref.Attempt, leaseEnd: until})
}

func (l *Ledger) extendTaskLease(worker string, ref fleet.TaskRef, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range l.tasks[ref.ID] {
		if c.worker == worker && c.attempt == ref.Attempt {
			l.tasks[ref.ID][i].leaseEnd = until
		}
	}
}

func (l *Ledger) recordTaskEnd(worker string, ref fleet.TaskRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var left []runningAttempt
	for _, c := range l.tasks[ref.ID] {
		if c.worker != worker || c.attempt != ref.Attempt {
			left = append(left, c)
		}
	}
	if len(left) == 0 {
		delete(l.tasks, ref.ID)
		return
	}
	l.tasks[ref.ID] = left
}

func (l *Ledger) recordCall(request string, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := callKey{request: request, attempt: attempt}
	if l.calls[k] > 0 {
		l.violations.Calls++
	}
	l.calls[k]++
	l.requests[request]++
}
