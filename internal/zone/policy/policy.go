// Package policy decides which worker runs a batch task, which worker suits an urgent call, and when running
// batch tasks are throttled, checkpointed or stopped. It covers the workers that one entry host holds.
//
// The package does no input or output: the present time is an argument, the random source is injected, and the
// caller passes events to Update and carries out the returned commands. A Policy is not safe for concurrent use.
package policy

import (
	"math/rand/v2"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Kind distinguishes urgent classes from batch classes.
type Kind string

// The kinds of classes.
const (
	KindUrgent Kind = "urgent"
	KindBatch  Kind = "batch"
)

// Outcome is how a task attempt ended.
type Outcome string

// The outcomes of a task attempt.
const (
	OutcomeDone   Outcome = "done"
	OutcomeFailed Outcome = "failed"
	// OutcomeEvicted covers every end other than success, failure of the task itself and cancellation, such as a stop
	// by the scheduler or the loss of the worker.
	OutcomeEvicted   Outcome = "evicted"
	OutcomeCancelled Outcome = "cancelled"
)

// Msg is an event for Update.
type Msg interface{ message() }

type (
	// ClassMsg sets the targets of a class.
	ClassMsg struct {
		Name string
		Kind Kind
		// P99Latency is the target for the 99th percentile of the latency of an urgent class.
		P99Latency time.Duration
		// FinishedPerHour is the target number of tasks that this host finishes per hour, 0 for none.
		FinishedPerHour float64
		// EvictionsPerTaskDay is the number of tolerable evictions per running task and day.
		EvictionsPerTaskDay float64
	}
	// TeamMsg sets the quota of a team at this host. A negative number of cores removes the quota.
	TeamMsg struct {
		Name  string
		Quota fleet.Size
	}
	// WorkerMsg adds a held worker or changes its capacity.
	WorkerMsg struct {
		Name, Rack string
		Capacity   fleet.Size
		Slots      int
		// Unschedulable is set for a worker that gets no new work, for example because it is leaving.
		Unschedulable bool
	}
	// RemoveWorkerMsg removes a worker that is no longer held, with all its tasks.
	RemoveWorkerMsg struct{ Name string }
	// StartMsg reports that a task attempt occupies a worker. It is sent as soon as a placement is used and
	// for each task found running on a worker taken over from another holder. A repeated message for the
	// same attempt is ignored.
	StartMsg struct {
		Worker, Task, Job, Class, Team string
		Attempt                        int
		// Declared is the size given by the job.
		Declared fleet.Size
		// Planned is the size returned by PlaceTask or reported by the worker.
		Planned fleet.Size
		// CPUPercent is the CPU limit of the task in percent of its declared cores; 0 counts as 100.
		CPUPercent int
	}
	// EndMsg reports that a task attempt no longer occupies its worker.
	EndMsg struct {
		Worker, Task string
		Attempt      int
		Outcome      Outcome
	}
	// RemoteOutcomeMsg reports the outcome of a task on a worker that another host holds, as read from the
	// zone's stream, so that faulty jobs and classes are recognized sooner.
	RemoteOutcomeMsg struct {
		Worker, Job, Class string
		Outcome            Outcome
	}
	// UsageMsg holds the usage reports from one status message of a worker.
	UsageMsg struct {
		Worker string
		Usage  []fleet.Usage
	}
	// CallMsg reports that an urgent call was answered.
	CallMsg struct {
		Worker, Class string
		// Took is the execution time at the worker, Latency the time from the request's arrival at the host to its reply.
		Took, Latency time.Duration
	}
	// RemoteCapacitiesMsg lists the distinct capacities of workers that other hosts hold and replaces the
	// previous list. A task that fits one of them is not refused or parked because of its size.
	RemoteCapacitiesMsg struct{ Capacities []fleet.Size }
	// ZoneReturnMsg starts the capacity ramp after the zone has been brought back into service.
	ZoneReturnMsg struct{}
)

func (ClassMsg) message()            {}
func (TeamMsg) message()             {}
func (WorkerMsg) message()           {}
func (RemoveWorkerMsg) message()     {}
func (StartMsg) message()            {}
func (EndMsg) message()              {}
func (RemoteOutcomeMsg) message()    {}
func (UsageMsg) message()            {}
func (CallMsg) message()             {}
func (RemoteCapacitiesMsg) message() {}
func (ZoneReturnMsg) message()       {}

// Command asks the caller to act on a running task attempt.
type Command struct {
	Worker, Task string
	Attempt      int
	Action       fleet.Action
	// CPUPercent is the new CPU limit in percent, for fleet.ActionThrottle; 100 removes the limit.
	CPUPercent int
	// Reason is a short text for logs and operators.
	Reason string
}

// Option changes a default of New.
type Option func(*Policy)

// WithRand sets the random source. The default has a fixed seed.
func WithRand(r *rand.Rand) Option { return func(p *Policy) { p.rand = r } }

// WithMaxSlowdown sets the largest predicted slowdown of an urgent class by the batch tasks of a worker, as a
// fraction of its undisturbed execution time. The default leaves a margin below the steady-state bound of
// 1.10 on the 99th percentile.
func WithMaxSlowdown(fraction float64) Option { return func(p *Policy) { p.maxSlowdown = fraction } }

// WithFixedInterference replaces the learned interference by a given function. It returns the slowdown of the urgent
// class per unit of load by the batch class, where a load of 1 uses all cores of a worker.
func WithFixedInterference(f func(urgent, batch string) float64) Option {
	return func(p *Policy) { p.fixedSlowdown = f }
}

// defaultMaxSlowdown is the default of WithMaxSlowdown.
const defaultMaxSlowdown = 0.08

// Policy is the scheduling state of one entry host.
type Policy struct {
	rand          *rand.Rand
	maxSlowdown   float64
	fixedSlowdown func(urgent, batch string) float64

	classes map[string]*class
	// classesByIndex holds the classes by their index; indexes are never reused.
	classesByIndex []*class
	urgentClasses  []*class
	teams          map[string]*team
	jobs           map[string]*jobRecord
	// jobsByFirstFailure holds the records of jobs in the order of their first failure.
	jobsByFirstFailure []*jobRecord

	workers map[string]*worker
	// workersInScan holds the workers in the order in which Tick scans them, round robin.
	workersInScan []*worker
	scanPosition  int
	tasks         map[string]*task

	plainWorkers, acceleratorWorkers freeIndex
	// heldCapacities counts the held workers by capacity; remoteCapacities holds the capacities of
	// RemoteCapacitiesMsg.
	heldCapacities, remoteCapacities capacitySet

	// activeUrgent and workerLoads are buffers for the current decision: the active urgent classes, and the loads
	// of one worker by batch class.
	activeUrgent []*class
	workerLoads  []classLoad
	// meanCost is the running mean of the cost of recent placements: the increase of the slowdown ratio per
	// fraction of a worker's cores.
	meanCost float64

	host string
	// remoteHosts holds the newest estimates of the other hosts, sorted by host name.
	remoteHosts []remoteHost

	zoneReturnedAt time.Time
	// starvedTeam is the team that most recently found no room for a task within its quota.
	starvedTeam *team
	// reclaimedAt is when a task of a team above its quota was last told to stop.
	reclaimedAt time.Time
}

// New returns a policy without workers or classes.
func New(opts ...Option) *Policy {
	p := &Policy{
		rand:           rand.New(rand.NewPCG(1, 2)),
		maxSlowdown:    defaultMaxSlowdown,
		classes:        map[string]*class{},
		teams:          map[string]*team{},
		jobs:           map[string]*jobRecord{},
		workers:        map[string]*worker{},
		tasks:          map[string]*task{},
		heldCapacities: capacitySet{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// WorkerCount returns the number of held workers.
func (p *Policy) WorkerCount() int { return len(p.workers) }

// RunningAttempts returns the number of task attempts on held workers.
func (p *Policy) RunningAttempts() int { return len(p.tasks) }

// Update applies an event.
func (p *Policy) Update(now time.Time, msg Msg) {
	switch m := msg.(type) {
	case ClassMsg:
		p.setClass(now, m)
	case TeamMsg:
		p.setTeam(m)
	case WorkerMsg:
		p.setWorker(m)
	case RemoveWorkerMsg:
		p.removeWorker(now, m.Name)
	case StartMsg:
		p.startAttempt(now, m)
	case EndMsg:
		p.endAttempt(now, m)
	case RemoteOutcomeMsg:
		switch m.Outcome {
		case OutcomeDone:
			p.recordSuccess(now, m.Job, p.class(m.Class))
		case OutcomeFailed:
			p.recordFailure(now, m.Job, p.class(m.Class), m.Worker)
		}
	case UsageMsg:
		p.applyUsage(now, m)
	case CallMsg:
		p.recordCall(now, m)
	case RemoteCapacitiesMsg:
		p.remoteCapacities = capacitySet{}
		for _, c := range m.Capacities {
			p.remoteCapacities.add(c)
		}
	case RemoteEstimatesMsg:
		p.addRemoteEstimates(now, m)
	case ZoneReturnMsg:
		p.zoneReturnedAt = now
	}
}

// rampPerSecond is the fraction of capacity regained per second after the zone returns (design section 5.4).
const rampPerSecond = 0.10

// UsableFraction returns the fraction of each worker's cores that tasks may be planned on at now. It is below 1 only
// shortly after ZoneReturnMsg.
func (p *Policy) UsableFraction(now time.Time) float64 {
	if p.zoneReturnedAt.IsZero() {
		return 1
	}
	if f := rampPerSecond * now.Sub(p.zoneReturnedAt).Seconds(); f < 1 {
		return max(f, 0)
	}
	p.zoneReturnedAt = time.Time{}
	return 1
}

func (p *Policy) setClass(now time.Time, m ClassMsg) {
	c := p.class(m.Name)
	previousKind := c.kind
	c.kind, c.p99Target, c.hourlyTarget = m.Kind, m.P99Latency, m.FinishedPerHour
	c.budget.set(now, m.EvictionsPerTaskDay)
	if previousKind != KindUrgent && m.Kind == KindUrgent {
		c.interference = newInterferenceModel()
		c.acceptedSlowdown = p.maxSlowdown
		p.urgentClasses = append(p.urgentClasses, c)
	}
	if previousKind == KindUrgent && m.Kind != KindUrgent {
		for i, u := range p.urgentClasses {
			if u == c {
				p.urgentClasses = append(p.urgentClasses[:i], p.urgentClasses[i+1:]...)
				break
			}
		}
	}
}

// class returns the class of that name. A class not configured yet counts as a batch class without tolerable evictions.
func (p *Policy) class(name string) *class {
	c := p.classes[name]
	if c == nil {
		c = &class{
			name: name, kind: KindBatch, index: len(p.classesByIndex), size: newSizeEstimates(),
			localSize: newSizeEstimates()}
		p.classes[name] = c
		p.classesByIndex = append(p.classesByIndex, c)
	}
	return c
}

func (p *Policy) setWorker(m WorkerMsg) {
	w := p.workers[m.Name]
	if w == nil {
		w = &worker{name: m.Name, rack: m.Rack, tasks: map[string]*task{}, bucket: -1, scanIndex: len(p.workersInScan)}
		p.workers[m.Name] = w
		p.workersInScan = append(p.workersInScan, w)
	} else {
		p.heldCapacities.remove(w.capacity)
		p.removeFromIndex(w)
	}
	w.capacity, w.slots, w.unschedulable = m.Capacity, m.Slots, m.Unschedulable
	p.heldCapacities.add(w.capacity)
	p.updateIndex(w)
}

func (p *Policy) removeWorker(now time.Time, name string) {
	w := p.workers[name]
	if w == nil {
		return
	}
	for _, t := range w.tasks {
		p.removeAttempt(now, t)
	}
	p.removeFromIndex(w)
	p.heldCapacities.remove(w.capacity)
	last := p.workersInScan[len(p.workersInScan)-1]
	p.workersInScan[w.scanIndex], last.scanIndex = last, w.scanIndex
	p.workersInScan = p.workersInScan[:len(p.workersInScan)-1]
	delete(p.workers, name)
}

func (p *Policy) startAttempt(now time.Time, m StartMsg) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	if old := p.tasks[m.Task]; old != nil {
		if old.attempt >= m.Attempt {
			return
		}
		p.removeAttempt(now, old)
	}
	if m.CPUPercent == 0 {
		m.CPUPercent = 100
	}
	t := &task{
		id: m.Task, job: m.Job, attempt: m.Attempt, class: p.class(m.Class), worker: w,
		team: p.team(m.Team), declared: m.Declared, planned: m.Planned, cpuPercent: m.CPUPercent, startedAt: now,
	}
	p.tasks[t.id] = t
	w.tasks[t.id] = t
	w.committed = w.committed.Add(t.planned)
	hist := w.history(t.class)
	hist.addChange(now, t.allowedCores(), float64(t.declared.Memory))
	hist.planned = hist.planned.Add(t.planned)
	t.class.running++
	t.class.budget.refill(now, t.class.running)
	t.team.add(t)
	if m.CPUPercent < 100 {
		w.throttledTasks++
	}
	w.unproven = append(w.unproven, t)
	p.updateIndex(w)
}

// removeAttempt removes a task attempt from all sums and indexes.
func (p *Policy) removeAttempt(now time.Time, t *task) {
	w := t.worker
	t.class.budget.refill(now, t.class.running)
	t.class.running--
	t.team.remove(t)
	w.committed = w.committed.Sub(t.planned)
	hist := w.history(t.class)
	hist.addChange(now, -t.allowedCores(), -float64(t.declared.Memory))
	hist.planned = hist.planned.Sub(t.planned)
	if t.cpuPercent < 100 {
		w.throttledTasks--
	}
	if w.stopping == t {
		w.stopping = nil
	}
	delete(w.tasks, t.id)
	delete(p.tasks, t.id)
	p.updateIndex(w)
}

func (p *Policy) endAttempt(now time.Time, m EndMsg) {
	t := p.tasks[m.Task]
	if t == nil || t.attempt != m.Attempt || t.worker.name != m.Worker {
		return
	}
	p.removeAttempt(now, t)
	switch m.Outcome {
	case OutcomeDone:
		t.class.finished.add(now, 1)
		p.taskSucceeded(now, t)
	case OutcomeFailed:
		p.taskFailed(now, t)
	case OutcomeEvicted:
		p.taskEndedNeutrally(t)
		if !t.evictionCharged {
			t.class.budget.charge(now, t.class.running)
		}
	case OutcomeCancelled:
		p.taskEndedNeutrally(t)
	}
}
