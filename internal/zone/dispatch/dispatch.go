// Package dispatch decides what the workers of a deployment run: which task of which job starts on which worker, in
// which order work waits, and what is stopped, slowed down or given up.
//
// There are three kinds of tasks. A long-running task (workflow.Step.LongRunning) runs until its job is cancelled. A
// best-effort task (workflow.Step.BestEffort) uses the processor time that the others on its worker leave unused, and
// is throttled first. A short task is any other: it ends by itself and needs cores of its own.
//
// A Scheduler belongs to the host that leads the deployment. The package is pure: the present time is an argument,
// orders to workers and records for the store (ledger.Store) are results, and the answers of workers are inputs. Times
// are those of the host's boot clock, which also counts while the host is suspended.
package dispatch

import (
	"slices"
	"strconv"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/zone/locality"
)

// Limits holds the platform's bounds and the scheduler's own settings.
type Limits struct {
	// MaxLease is the longest lease of what runs on a worker; the worker shortens a longer one.
	MaxLease time.Duration
	// JobRetention is how long the state of a finished job is kept.
	JobRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer away from its data or from its colocated peers.
	RemoteFactor float64
	// MaxEarlyStart is the longest time before its due time at which an occurrence may start.
	MaxEarlyStart time.Duration
	// MaxUnconfirmedTerm is how long a leader that can't confirm its term goes on giving orders.
	MaxUnconfirmedTerm time.Duration
	// MaxOverTarget is how long best-effort tasks may keep a long-running task over its latency target.
	MaxOverTarget time.Duration
	// MaxRecord is the size in bytes of the largest record that the log takes, with its key; 0 means no limit.
	MaxRecord int
	// MaxTasks is the largest number of open tasks of all jobs for which the host has memory; 0 means no limit.
	MaxTasks int
	// TaskMemory is the memory in bytes that MaxTasks allows for each task. A job with its specification counts like the tasks
	// that take the same memory; 0 means that only tasks are counted.
	TaskMemory int
}

const (
	// renewalsPerLease is the number of renewals that are sent during one lease, so that one may be lost without losing
	// the tasks.
	renewalsPerLease = 3
	// startOrderValidity is how long an order to start stays valid at the worker, by the worker's clock. It covers two
	// round trips between regions and a worker that is slow to answer, and bounds how long an order without an answer
	// counts as a possible start.
	startOrderValidity = 1500 * time.Millisecond
	// minWorkerClockRate is the slowest rate of a worker's clock relative to the host's, as stated by the platform.
	minWorkerClockRate = 0.98
	// clockMargin is added to the time at which a lease is taken to have expired. It covers the rounding of clocks and
	// late timers.
	clockMargin = 100 * time.Millisecond
	// runNumbersPerTerm is the number of run numbers reserved for each term. A new leader doesn't know which numbers
	// the previous leader used, and a run must have a higher number than all earlier runs of its task.
	runNumbersPerTerm = 64
)

// Queue is a queue to which callers submit jobs.
type Queue struct {
	Name string
	// Service names the pool of workers that runs the jobs.
	Service string
	// Priority orders the queues; 0 comes first.
	Priority int
	// Attempts is the number of failed runs of a task or gang after which its job fails. Long-running tasks are restarted
	// without limit.
	Attempts int
	// Slack and Target set the time in which a job should be done: Slack times the longest dependency chain of the job,
	// plus Target.
	Slack  float64
	Target time.Duration
	// Advised is set if the jobs may run only on workers for which an adviser has given a ticket. An adviser is a
	// service of the platform that selects the workers for a stage.
	Advised bool
	// Class is the name under which metrics count the jobs, empty for that of the queue. Several queues may have the same.
	Class string
}

// Catalog is the scheduler's part of the manifest, the operators' configuration (entry.Manifest).
type Catalog struct {
	Version uint64
	// Queues holds the queues by name.
	Queues map[string]Queue
	// Teams holds the teams by name. Without teams, jobs belong to none and nothing is limited or shared by team.
	Teams map[string]Team
	// Guarded names the services whose workers refuse tasks for which they have no room.
	Guarded map[string]bool
	// Evacuated names the zones that get no new tasks. It is not read from the manifest; SetEvacuated sets it.
	Evacuated map[string]bool
}

// Scheduler holds the state of all jobs and workers of a deployment during one term of leadership. It is not safe for
// concurrent use.
type Scheduler struct {
	limits  Limits
	catalog Catalog
	// keptQueues holds the last known settings of the queues that have accepted jobs, also of removed queues.
	keptQueues map[string]Queue
	// token is the fencing token of the term. runNumberBase is the number above which the runs of this term are
	// numbered.
	token         int64
	runNumberBase int

	jobs map[string]*Job
	// denied is the number of the jobs that were cancelled before they were submitted.
	denied int
	// wallOffset is the host's wall clock minus the time of the boot clock, when the state was restored.
	wallOffset time.Duration
	// taskCount is the number of tasks of all jobs in memory, with those for which the jobs themselves count.
	taskCount int
	workers   map[string]*Worker
	// byService lists the workers of each service, ordered by ID.
	byService map[string][]*Worker
	// rackIndex holds the racks of the services for which somebody has asked since their workers changed, see racksOf.
	rackIndex map[string][]rack
	// nearRule decides about waits for a near place. Tests compare locality.Decide with other rules.
	nearRule func(time.Time, locality.Input) locality.Decision
	// near holds what the present decision knows of the racks for which tasks wait.
	near nearState
	// nearChoice is the memory for that of the stage with a data rack that is being started, nil before the first.
	nearChoice *nearChoice
	// capacities lists the worker capacities of each service, without those that fit into another one of the list.
	capacities map[string][]fleet.Size
	// draining holds the workers that drain, moving the runs that were stopped because their workers leave, and maybe others
	// that have ended.
	draining map[*Worker]struct{}
	moving   []*run
	// silent holds the workers whose last lease renewal failed, and maybe others.
	silent map[*Worker]struct{}
	// listReads are the latest reads of the platform's list of workers.
	listReads listReads
	// ready lists the stages that have waiting tasks and no open dependencies.
	ready []*stage
	// recurring holds the recurring jobs that have occurrences to come.
	recurring map[*Job]struct{}

	// changedWorkers holds the workers that have changed since the last decision, decisions counts these, and scanEpoch
	// changes when all workers may have changed.
	changedWorkers       []*Worker
	decisions, scanEpoch uint64

	// suspects holds the suspicions against tasks, by suspectKey. lapses holds the workers whose runs were lost lately.
	suspects map[*task]*suspicion
	lapses   map[bootID]*lapse
	// trials holds the present trials. No further one begins before trialBarrier is committed.
	trials       []*trial
	trialBarrier BatchID

	// reclaimedAt is when room was last to be reclaimed for short tasks, shortWaitedAt when one that could still be in time
	// last had none.
	reclaimedAt, shortWaitedAt time.Time
	// holds lists the workers that are held for long-running tasks. heldAt is when further ones were last chosen.
	holds  []*hold
	heldAt time.Time

	orders []Order
	// recordedStarts lists the runs whose start waits for the record of their worker.
	recordedStarts []*run
	// repeats lists the runs whose orders to start are to be repeated, and maybe others.
	repeats []*run
	// bars lists the orders to refuse runs that have no answer yet.
	bars []*bar
	// stops lists the orders to stop runs whose ends have not been listed yet.
	stops []*stop
	// restoredStops holds the stops of earlier leaders, by worker, until the worker has reported.
	restoredStops map[string]stopsRecord
	// halted is set while the leader may not give orders.
	halted bool
	// confirmedAt is when the term was last confirmed, as of the last decision.
	confirmedAt time.Time
	// unaccounted holds the workers on which an earlier leader may have left tasks and from which this term has had no
	// report, each with the time from which its leases have certainly expired. Restored tasks without a record of their
	// worker don't start until it and backlogged are empty.
	unaccounted map[string]time.Time
	// backlogged holds the workers on which an earlier leader may have left tasks and that have more ends to list.
	backlogged map[*Worker]struct{}
	// earlierLeasesUntil is the time from which the leases of earlier terms have certainly expired on all workers for
	// which unaccounted holds no other.
	earlierLeasesUntil time.Time
	// previousLease is the longest lease of the previous term, and olderLeasesUntil the time from which those of the terms
	// before it have certainly expired. otherOrdersUntil is until when a leader before the previous one may give orders, the
	// zero time if none may.
	previousLease    time.Duration
	olderLeasesUntil time.Time
	otherOrdersUntil time.Time
	// silentInRecord holds the workers that the newest record of leases lists, leasesRecordedAt is the time of that
	// record.
	silentInRecord   map[*Worker]struct{}
	leasesRecordedAt time.Time
	// placementsSince is the fencing token of the first of the consecutive terms, up to this one, that recorded the workers
	// of long-running tasks.
	placementsSince int64
	// handingOver is set once a planned end of the term is being prepared.
	handingOver bool

	// accounts holds what is counted for each team, keptTeams the recorded terms of the teams with open jobs.
	// namedTeams is the number of accounts with isNamed.
	accounts   map[string]*teamAccount
	namedTeams int
	keptTeams  map[string]teamRecord
	// countedStrays holds the orders that count although their runs are over. They are looked at from strayExpiry on.
	countedStrays map[strayKey]*countedStray
	strayExpiry   time.Time
	// countedStops holds the runs of ended jobs that count. hasUnknownRuns is set while a worker may have unknown runs.
	countedStops     []countedStop
	hasUnknownRuns   bool
	unaccountedTasks unaccountedTasks
	// shares holds what teams share of each service. Their capacities were last added up at capacityAt. withinShares is set
	// during the first pass of a decision, see startInPasses.
	shares       map[string]*serviceShares
	capacityAt   time.Time
	withinShares bool
	// beyondShares is the memory of the stages that are left to the second pass.
	beyondShares []*stage

	journal journal
	events  []Event
	// lastMaintenanceAt is when the periodic work of Decide was last done, see maintenanceInterval.
	lastMaintenanceAt time.Time

	interference *interferenceModel
	// fleetSpeed is the speed of all workers together.
	fleetSpeed speedEstimate
	// learnedWrittenAt is when the learned interference was last written to the log.
	learnedWrittenAt time.Time
	// shortDemand is the number of cores that short tasks use and wait for in each service, in thousandths. It falls
	// slowly after a peak, see shortDemandDecay.
	shortDemand map[string]float64
	// longRunningWaiting names the services in which long-running tasks wait for room.
	longRunningWaiting map[string]bool

	outcomes Outcomes
}

// New returns a scheduler without jobs and workers. The token fences off the orders of earlier terms. The serial counts
// the terms from 1.
func New(limits Limits, token int64, serial int) *Scheduler {
	return &Scheduler{
		limits:          limits,
		token:           token,
		placementsSince: 1,
		runNumberBase:   max(0, serial-1) * runNumbersPerTerm,
		keptQueues:      map[string]Queue{},
		accounts:        map[string]*teamAccount{},
		keptTeams:       map[string]teamRecord{},
		shares:          map[string]*serviceShares{},
		countedStrays:   map[strayKey]*countedStray{},
		jobs:            map[string]*Job{},
		workers:         map[string]*Worker{},
		draining:        map[*Worker]struct{}{},
		byService:       map[string][]*Worker{},
		rackIndex:       map[string][]rack{},
		nearRule:        locality.Decide,
		capacities:      map[string][]fleet.Size{},
		silent:          map[*Worker]struct{}{},
		recurring:       map[*Job]struct{}{},
		unaccounted:     map[string]time.Time{},
		backlogged:      map[*Worker]struct{}{},
		restoredStops:   map[string]stopsRecord{},
		journal:         newJournal(),
		suspects:        map[*task]*suspicion{},
		lapses:          map[bootID]*lapse{},

		interference: newInterferenceModel(),
	}
}

// SetHalted sets whether the leader may not give orders at present. A halted scheduler starts no tasks.
func (s *Scheduler) SetHalted(halted bool) {
	if halted != s.halted {
		s.recordEvent(Event{Kind: "halt", Reason: strconv.FormatBool(halted)})
	}
	s.halted = halted
}

// SetCatalog replaces the configuration. It ignores an older version than the present one.
func (s *Scheduler) SetCatalog(c Catalog) {
	if c.Version < s.catalog.Version {
		return
	}
	s.noteRemovedTeams(c)
	s.catalog = c
	s.applyTeams()
	for name := range s.keptQueues {
		if q, ok := c.Queues[name]; ok {
			s.keepQueue(q)
		}
	}
	s.markAllChanged()
	for _, j := range s.jobs {
		s.applyQueue(j)
	}
	s.rebuildBacklogs()
}

// SetEvacuated replaces the set of zones that get no new tasks.
func (s *Scheduler) SetEvacuated(zones map[string]bool) {
	s.catalog.Evacuated = zones
	s.markAllChanged()
}

// applyQueue copies the settings of the job's queue from the catalog into the job. A job whose queue was removed has
// the last settings of the queue.
func (s *Scheduler) applyQueue(j *Job) {
	q, ok := s.catalog.Queues[j.queue]
	if !ok {
		q, ok = s.keptQueues[j.queue]
	}
	if !ok {
		return
	}
	j.service, j.priority, j.maxAttempts, j.needsTicket = q.Service, q.Priority, max(1, q.Attempts), q.Advised
	j.objective = time.Duration(q.Slack*float64(s.criticalPath(j))) + q.Target
	j.use = s.useOf(j.use.account, j.service)
}

// The kinds of the most frequent events.
const (
	// EventStart is the start of a run. The event's Age is how long the task has waited.
	EventStart = "start"
	// EventEnd is the end of a run. The event's Reason is how the run ended.
	EventEnd = "end"
)

// The kinds of the events that explain why a task was started again.
const (
	// EventWorkerEnded means that nothing runs on a worker any more, so that its tasks are taken back. The event's Age is
	// the time since the worker's last report, its ConfirmationAge that since the term was last confirmed.
	EventWorkerEnded = "worker ended"
	// EventDuplicateRun means that a worker reports a run of a task that was started again elsewhere. The event's Reason
	// names the other run, and why the reported one was taken for ended.
	EventDuplicateRun = "duplicate run"
	// EventLateEnd means that a worker whose leases had lapsed lists a run as done, of a task that was started again
	// elsewhere. The run ended before the leases did, so that the two were not at work at the same time.
	EventLateEnd = "late end"
)

// Event is a decision or finding to be logged.
type Event struct {
	Kind   string
	Job    string
	Task   string
	Run    int
	Worker string
	Reason string
	// Place says for an EventStart whether a task runs near its data or remotely, and a colocated gang in one rack or not:
	// PlaceNear or PlaceRemote. It is empty for other tasks and for repeated orders.
	Place string
	// Age is the age of the input on which the decision rests, 0 if it was current. It is never negative.
	Age time.Duration
	// ConfirmationAge is the time since the term was last confirmed, for EventWorkerEnded only. It is never negative.
	ConfirmationAge time.Duration
}

// maxEvents bounds the events that are kept between two calls of Events. Further events are dropped; the caller's
// sampling would drop them anyway.
const maxEvents = 512

// recordEvent adds an event, unless maxEvents are kept already. Input may be newer than the time of a decision, which the
// caller reads before it takes its lock.
func (s *Scheduler) recordEvent(e Event) {
	e.Age, e.ConfirmationAge = max(0, e.Age), max(0, e.ConfirmationAge)
	if len(s.events) < maxEvents {
		s.events = append(s.events, e)
	}
}

// Events returns the events since the last call.
func (s *Scheduler) Events() []Event {
	out := s.events
	s.events = nil
	return out
}

// Summary holds the numbers of jobs, tasks and workers for metrics and status pages.
type Summary struct {
	// Jobs counts the jobs that have not ended, Waiting the tasks that wait for a start and whose dependencies are
	// done, Running the runs on all workers. Workers counts the known workers, Reachable those on which tasks may be
	// started.
	Jobs, Waiting, Running, Workers, Reachable int
	// Unaccounted is the number of workers that an earlier term used and from which this term has had no report.
	Unaccounted int
}

// Summary returns the numbers of the present state.
func (s *Scheduler) Summary() Summary {
	summary := Summary{Unaccounted: len(s.unaccounted), Workers: len(s.workers)}
	for _, j := range s.jobs {
		if !j.isFinal() {
			summary.Jobs++
		}
	}
	for _, st := range s.ready {
		summary.Waiting += st.waiting
	}
	for _, w := range s.workers {
		summary.Running += len(w.runs)
		if w.isUsable() {
			summary.Reachable++
		}
	}
	return summary
}

// removeFirst deletes the first element equal to v and keeps the order of the others.
func removeFirst[T comparable](list []T, v T) []T {
	if i := slices.Index(list, v); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
