// Package dispatch decides what the workers of a deployment run: which tasks of which jobs start where, in which
// order work waits, what is stopped, slowed down or given up.
//
// A Scheduler belongs to the host that leads the deployment. The package is pure: the present time is an argument,
// orders to workers and records for the platform's log are results, and the answers of workers are inputs. Times are
// those of the host's boot clock, which also counts while the host is suspended.
package dispatch

import (
	"slices"
	"strconv"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Limits are the platform's bounds and the scheduler's own settings.
type Limits struct {
	// MaxLease is the longest lease of what runs on a worker; the worker shortens a longer one.
	MaxLease time.Duration
	// JobRetention is how long the state of a finished job is kept.
	JobRetention time.Duration
	// RemoteFactor is how many times as long a task takes away from its data or from its colocated peers.
	RemoteFactor float64
	// MaxEarlyStart is how long before its due time an occurrence may start at most.
	MaxEarlyStart time.Duration
	// MaxUnconfirmedTerm is how long a leader that can't confirm its term goes on giving orders.
	MaxUnconfirmedTerm time.Duration
	// MaxOverTarget is how long a lasting task may stay over its target because of tasks that fill.
	MaxOverTarget time.Duration
}

const (
	// renewalsPerLease is the number of renewalsPerLease that fit into a lease: one may be lost without losing the tasks.
	renewalsPerLease = 3
	// startOrderValidity is how long an order to start stays valid at the worker, in its clock. It covers two round trips
	// between regions and a worker that is slow to answer, and bounds how long an order without an answer counts.
	startOrderValidity = 1500 * time.Millisecond
	// minWorkerClockRate is the slowest rate of a worker's clock against the host's, as the platform states it.
	minWorkerClockRate = 0.98
	// clockMargin covers the rounding of clocks and late timers when a lease is taken for lapsed.
	clockMargin = 100 * time.Millisecond
	// runNumbersPerTerm is the range of run numbers of one term: a new leader doesn't know what the one before it
	// numbered, and a run must have a higher number than all before it.
	runNumbersPerTerm = 64
)

// Queue is where callers hand in jobs.
type Queue struct {
	Name string
	// Service names the pool of workers that runs the jobs.
	Service string
	// Priority orders the queues, 0 first.
	Priority int
	// Attempts is the number of failed runs after which a task is given up.
	Attempts int
	// Slack times the longest chain of a job plus Target is the time in which the job should be done.
	Slack  float64
	Target time.Duration
	// Advised is set if only workers that an adviser names may run the jobs.
	Advised bool
}

// Catalog is the configuration in force.
type Catalog struct {
	Version uint64
	// Queues are keyed by name.
	Queues map[string]Queue
	// Guarded services have workers that refuse what does not fit.
	Guarded map[string]bool
	// Evacuated zones get no new tasks.
	Evacuated map[string]bool
}

// Scheduler is the state of all jobs and workers of a deployment under one term of leadership. It is not safe for
// concurrent use.
type Scheduler struct {
	limits  Limits
	catalog Catalog
	// token is the fencing token of the term, floor the run number above which the term's runs are numbered.
	token         int64
	runNumberBase int

	jobs    map[string]*Job
	workers map[string]*Worker
	// byService lists the workers of each service, ordered by id.
	byService map[string][]*Worker
	// capacities holds for each service the capacities of its workers of which none fits into another.
	capacities map[string][]fleet.Size
	// ready holds the stages with waiting tasks whose dependencies are done.
	ready []*stage
	// recurring holds the recurring jobs with occurrences to come.
	recurring map[*Job]struct{}

	orders []Order
	// stopping holds the runs that were told to stop, until their ends are listed.
	stopping []*run
	// halted is set while the leader may not give orders.
	halted bool
	// unaccounted names the workers on which the leader before may have left tasks that this one has not seen.
	// Restored tasks don't start until it is empty or settleAt has passed.
	unaccounted        map[string]struct{}
	accountingDeadline time.Time

	journal         journal
	events          []Event
	lastMaintenance time.Time

	interference *interferenceModel
	// fleetSpeed is that of all workers.
	fleetSpeed speedEstimate
	// learnedWrittenAt is when what was learnedWrittenAt of interference was last written.
	learnedWrittenAt time.Time
	// shortDemand is what short tasks use and wait for in each service, in thousandths of a core.
	shortDemand map[string]float64
	// longRunningWaiting names the services in which lasting tasks wait for room.
	longRunningWaiting map[string]bool
}

// New returns a scheduler without jobs and workers. The token fences the orders of earlier terms, the serial counts
// the terms from 1.
func New(limits Limits, token int64, serial int) *Scheduler {
	return &Scheduler{
		limits:        limits,
		token:         token,
		runNumberBase: max(0, serial-1) * runNumbersPerTerm,
		jobs:          map[string]*Job{},
		workers:       map[string]*Worker{},
		byService:     map[string][]*Worker{},
		capacities:    map[string][]fleet.Size{},
		recurring:     map[*Job]struct{}{},
		unaccounted:   map[string]struct{}{},
		journal:       newJournal(),

		interference: newInterference(),
	}
}

// SetHalted keeps tasks from being started while the leader may not give orders.
func (s *Scheduler) SetHalted(halted bool) {
	if halted != s.halted {
		s.recordEvent(Event{Kind: "halt", Reason: strconv.FormatBool(halted)})
	}
	s.halted = halted
}

// SetCatalog takes over a newer configuration. An older one is ignored.
func (s *Scheduler) SetCatalog(c Catalog) {
	if c.Version < s.catalog.Version {
		return
	}
	s.catalog = c
	for _, j := range s.jobs {
		s.applyQueue(j)
	}
}

// SetEvacuated replaces the zones that get no new tasks.
func (s *Scheduler) SetEvacuated(zones map[string]bool) { s.catalog.Evacuated = zones }

// applyQueue takes the terms of the job's queue from the catalog. A job whose queue was removed keeps the terms it had.
func (s *Scheduler) applyQueue(j *Job) {
	q, ok := s.catalog.Queues[j.queue]
	if !ok {
		return
	}
	j.service, j.priority, j.maxAttempts, j.needsTicket = q.Service, q.Priority, max(1, q.Attempts), q.Advised
	j.objective = time.Duration(q.Slack*float64(s.criticalPath(j))) + q.Target
}

// The kinds of the most frequent events.
const (
	// EventStart is the start of a run. Its age is how long the task has waited.
	EventStart = "start"
	// EventEnd is the end of a run. Its reason is how it ended.
	EventEnd = "end"
)

// Event is a decision or finding that is worth a log line.
type Event struct {
	Kind   string
	Job    string
	Task   string
	Run    int
	Worker string
	Reason string
	// Age is how old the input was that decided, 0 if it was current.
	Age time.Duration
}

// maxEvents bounds the events between two calls of Events; further ones are dropped by the caller's sampling anyway.
const maxEvents = 512

func (s *Scheduler) recordEvent(e Event) {
	if len(s.events) < maxEvents {
		s.events = append(s.events, e)
	}
}

// Events returns what happened since the last call.
func (s *Scheduler) Events() []Event {
	out := s.events
	s.events = nil
	return out
}

// Summary summarises the state for metrics and status pages.
type Summary struct {
	Jobs, Waiting, Running, Workers, Reachable int
	// Unaccounted is the number of workers that this term has not heard of yet but that the one before used.
	Unaccounted int
}

// Summary returns a summary of the present state.
func (s *Scheduler) Summary() Summary {
	l := Summary{Unaccounted: len(s.unaccounted), Workers: len(s.workers)}
	for _, j := range s.jobs {
		if !j.isFinal() {
			l.Jobs++
		}
	}
	for _, st := range s.ready {
		l.Waiting += st.waiting
	}
	for _, w := range s.workers {
		l.Running += len(w.runs)
		if w.isUsable() {
			l.Reachable++
		}
	}
	return l
}

// removeFirst deletes the first element equal to v and keeps the order of the others.
func removeFirst[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
