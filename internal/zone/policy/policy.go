// Package policy decides which worker runs a batch task, which worker suits an urgent call, and when running
// batch tasks are throttled, checkpointed or stopped. It covers the workers that one entry host holds.
//
// The package is pure: the present time is an argument, the random source is injected, and the caller feeds
// events through Update and carries out the returned commands. A Policy is not safe for concurrent use.
package policy

import (
	"math/rand/v2"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Kind tells urgent classes from batch classes.
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
	// OutcomeEvicted covers every end that is neither the task's success nor its failure,
	// other than a cancellation.
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
		// P99 is the target of the 99th percentile of answer times of an urgent class.
		P99 time.Duration
		// Finished is the target of tasks finished per hour at this host, 0 for none.
		Finished float64
		// Evictions is the number of tolerable evictions per running task and day.
		Evictions float64
	}
	// TeamMsg sets the quota of a team at this host. A negative core count removes the team.
	TeamMsg struct {
		Name  string
		Quota fleet.Size
	}
	// WorkerMsg adds a held worker or changes its capacity.
	WorkerMsg struct {
		Name, Rack string
		Capacity   fleet.Size
		Slots      int
		// Closed is set for a worker that gets no new work, for example because it is leaving.
		Closed bool
	}
	// ReleaseMsg removes a worker that is no longer held, with all its tasks.
	ReleaseMsg struct{ Name string }
	// StartMsg reports that a task attempt occupies a worker. It is sent as soon as the placement is
	// used, and for each task found running on a worker that was taken over. A repeated message for the
	// same attempt is ignored.
	StartMsg struct {
		Worker, Task, Job, Class, Team string
		Attempt                        int
		// Declared is the size given by the job.
		Declared fleet.Size
		// Planned is the size returned by PlaceTask or reported by the worker.
		Planned fleet.Size
		// Share is the throttle in percent; 0 counts as 100.
		Share int
	}
	// EndMsg reports that a task attempt no longer occupies its worker.
	EndMsg struct {
		Worker, Task string
		Attempt      int
		Outcome      Outcome
	}
	// ElsewhereMsg reports the outcome of a task on a worker that another host holds, as read from the
	// zone's stream, so that faulty jobs and classes are recognized sooner.
	ElsewhereMsg struct {
		Worker, Job, Class string
		Outcome            Outcome
	}
	// UsageMsg holds the usage reports of one status of a worker.
	UsageMsg struct {
		Worker string
		Usage  []fleet.Usage
	}
	// CallMsg reports an answered urgent call.
	CallMsg struct {
		Worker, Class string
		// Took is the execution time at the worker, Total the answer time seen by the caller.
		Took, Total time.Duration
	}
	// ShapesMsg lists the distinct capacities of workers that other hosts hold, replacing the list before.
	// A task that fits one of them is not refused or parked for its size.
	ShapesMsg struct{ Capacities []fleet.Size }
	// ReturnMsg starts the capacity ramp after the zone was brought back in.
	ReturnMsg struct{}
)

func (ClassMsg) message()     {}
func (TeamMsg) message()      {}
func (WorkerMsg) message()    {}
func (ReleaseMsg) message()   {}
func (StartMsg) message()     {}
func (EndMsg) message()       {}
func (ElsewhereMsg) message() {}
func (UsageMsg) message()     {}
func (CallMsg) message()      {}
func (ShapesMsg) message()    {}
func (ReturnMsg) message()    {}

// Command asks the caller to act on a running task attempt.
type Command struct {
	Worker, Task string
	Attempt      int
	Action       fleet.Action
	// Share is in percent, for fleet.ActionThrottle; 100 removes the throttle.
	Share int
	// Reason is a short text for logs and operators.
	Reason string
}

// Option changes a default of New.
type Option func(*Policy)

// WithRand sets the random source. The default has a fixed seed.
func WithRand(r *rand.Rand) Option { return func(p *Policy) { p.rand = r } }

// WithHarm sets the largest predicted slowdown of an urgent class by the batch tasks of a worker, as a
// fraction of its undisturbed execution time. The default leaves a margin below the steady-state bound of
// 1.10 on the 99th percentile.
func WithHarm(f float64) Option { return func(p *Policy) { p.harm = f } }

// WithInterference replaces learning by a given slowdown per unit of worker cores used by the batch class.
func WithInterference(f func(urgent, batch string) float64) Option {
	return func(p *Policy) { p.given = f }
}

const defaultHarm = 0.08

// Policy is the scheduling state of one entry host.
type Policy struct {
	rand  *rand.Rand
	harm  float64
	given func(urgent, batch string) float64

	classes map[string]*class
	// list holds the classes by their index; indexes are never reused.
	list   []*class
	urgent []*class
	teams  map[string]*team
	jobs   map[string]*jobRecord
	// jobOrder holds jobs in the order of their first failure.
	jobOrder []*jobRecord

	workers map[string]*worker
	// order holds the workers for the round-robin scan of Tick.
	order []*worker
	next  int
	tasks map[string]*task

	plain, accelerated freeIndex
	// shapes counts the held workers by capacity, elsewhere holds the capacities of ShapesMsg.
	shapes, elsewhere shapeSet

	// live holds the active urgent classes and loads the loads of one worker, for the present decision.
	live  []*class
	loads []load
	// price is the mean harm per share of a worker's cores of recent placements.
	price float64

	host string
	// peers holds the newest knowledge of other hosts by name.
	peers []peer

	returned time.Time
	// starved is the team that found no room most recently.
	starved *team
	// reclaimed is when a borrower was last told to stop.
	reclaimed time.Time
}

// New returns a policy without workers or classes.
func New(opts ...Option) *Policy {
	p := &Policy{
		rand:    rand.New(rand.NewPCG(1, 2)),
		harm:    defaultHarm,
		classes: map[string]*class{},
		teams:   map[string]*team{},
		jobs:    map[string]*jobRecord{},
		workers: map[string]*worker{},
		tasks:   map[string]*task{},
		shapes:  shapeSet{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Workers returns the number of held workers.
func (p *Policy) Workers() int { return len(p.workers) }

// Running returns the number of task attempts on held workers.
func (p *Policy) Running() int { return len(p.tasks) }

// Update applies an event.
func (p *Policy) Update(now time.Time, msg Msg) {
	switch m := msg.(type) {
	case ClassMsg:
		p.setClass(now, m)
	case TeamMsg:
		p.setTeam(m)
	case WorkerMsg:
		p.setWorker(m)
	case ReleaseMsg:
		p.release(now, m.Name)
	case StartMsg:
		p.start(now, m)
	case EndMsg:
		p.end(now, m)
	case ElsewhereMsg:
		switch m.Outcome {
		case OutcomeDone:
			p.noteSuccess(now, m.Job, p.class(m.Class))
		case OutcomeFailed:
			p.noteFailure(now, m.Job, p.class(m.Class), m.Worker)
		}
	case UsageMsg:
		p.report(now, m)
	case CallMsg:
		p.answered(now, m)
	case ShapesMsg:
		p.elsewhere = shapeSet{}
		for _, c := range m.Capacities {
			p.elsewhere.add(c)
		}
	case LearnedMsg:
		p.takeIn(now, m)
	case ReturnMsg:
		p.returned = now
	}
}

// rampRate is the share of capacity regained per second after the zone returns (design section 5.4).
const rampRate = 0.10

// Ramp returns the share of capacity in use at now, below 1 only shortly after ReturnMsg.
func (p *Policy) Ramp(now time.Time) float64 {
	if p.returned.IsZero() {
		return 1
	}
	if f := rampRate * now.Sub(p.returned).Seconds(); f < 1 {
		return max(f, 0)
	}
	p.returned = time.Time{}
	return 1
}

func (p *Policy) setClass(now time.Time, m ClassMsg) {
	c := p.class(m.Name)
	was := c.kind
	c.kind, c.p99, c.target = m.Kind, m.P99, m.Finished
	c.budget.set(now, m.Evictions)
	if was != KindUrgent && m.Kind == KindUrgent {
		c.model = newModel()
		c.allow = p.harm
		p.urgent = append(p.urgent, c)
	}
	if was == KindUrgent && m.Kind != KindUrgent {
		for i, u := range p.urgent {
			if u == c {
				p.urgent = append(p.urgent[:i], p.urgent[i+1:]...)
				break
			}
		}
	}
}

// class returns the class of that name; a class not configured yet counts as batch with no tolerable eviction.
func (p *Policy) class(name string) *class {
	c := p.classes[name]
	if c == nil {
		c = &class{name: name, kind: KindBatch, index: len(p.list), size: newSizes(), own: newSizes()}
		p.classes[name] = c
		p.list = append(p.list, c)
	}
	return c
}

func (p *Policy) setWorker(m WorkerMsg) {
	w := p.workers[m.Name]
	if w == nil {
		w = &worker{name: m.Name, rack: m.Rack, tasks: map[string]*task{}, bucket: -1, order: len(p.order)}
		p.workers[m.Name] = w
		p.order = append(p.order, w)
	} else {
		p.shapes.remove(w.capacity)
		p.unindex(w)
	}
	w.capacity, w.slots, w.closed = m.Capacity, m.Slots, m.Closed
	p.shapes.add(w.capacity)
	p.reindex(w)
}

func (p *Policy) release(now time.Time, name string) {
	w := p.workers[name]
	if w == nil {
		return
	}
	for _, t := range w.tasks {
		p.forget(now, t)
	}
	p.unindex(w)
	p.shapes.remove(w.capacity)
	last := p.order[len(p.order)-1]
	p.order[w.order], last.order = last, w.order
	p.order = p.order[:len(p.order)-1]
	delete(p.workers, name)
}

func (p *Policy) start(now time.Time, m StartMsg) {
	w := p.workers[m.Worker]
	if w == nil {
		return
	}
	if old := p.tasks[m.Task]; old != nil {
		if old.attempt >= m.Attempt {
			return
		}
		p.forget(now, old)
	}
	if m.Share == 0 {
		m.Share = 100
	}
	t := &task{
		id: m.Task, job: m.Job, attempt: m.Attempt, class: p.class(m.Class), worker: w,
		team: p.team(m.Team), declared: m.Declared, planned: m.Planned, share: m.Share, since: now,
	}
	p.tasks[t.id] = t
	w.tasks[t.id] = t
	w.committed = w.committed.Add(t.planned)
	l := w.level(t.class)
	l.add(now, t.weight(), float64(t.declared.Memory))
	l.planned = l.planned.Add(t.planned)
	t.class.running++
	t.class.budget.advance(now, t.class.running)
	t.team.add(t)
	if m.Share < 100 {
		w.throttled++
	}
	w.young = append(w.young, t)
	p.reindex(w)
}

// forget removes a task attempt from all sums.
func (p *Policy) forget(now time.Time, t *task) {
	w := t.worker
	t.class.budget.advance(now, t.class.running)
	t.class.running--
	t.team.remove(t)
	w.committed = w.committed.Sub(t.planned)
	l := w.level(t.class)
	l.add(now, -t.weight(), -float64(t.declared.Memory))
	l.planned = l.planned.Sub(t.planned)
	if t.share < 100 {
		w.throttled--
	}
	if w.stopping == t {
		w.stopping = nil
	}
	delete(w.tasks, t.id)
	delete(p.tasks, t.id)
	p.reindex(w)
}

func (p *Policy) end(now time.Time, m EndMsg) {
	t := p.tasks[m.Task]
	if t == nil || t.attempt != m.Attempt || t.worker.name != m.Worker {
		return
	}
	p.forget(now, t)
	switch m.Outcome {
	case OutcomeDone:
		t.class.finished.add(now, 1)
		p.succeeded(now, t)
	case OutcomeFailed:
		p.failed(now, t)
	case OutcomeEvicted:
		p.neutral(t)
		if !t.charged {
			t.class.budget.charge(now, t.class.running)
		}
	case OutcomeCancelled:
		p.neutral(t)
	}
}
