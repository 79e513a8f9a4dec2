package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// simulation is a deployment in simulated time: workers that follow the platform's rules, a log, and one leader at a
// time. It records each violation of an invariant.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	workers []*simWorker
	log     map[string][]byte
	leader  *simLeader
	// deposed holds former leaders, which go on giving orders for a while like a host that has not noticed its loss.
	deposed []*simLeader
	terms   int
	events  []simEvent
	jobs    map[string]workflow.Spec
	// acknowledgedDone holds the tasks whose end as done was acknowledged, done those that a worker has done.
	acknowledgedDone map[string]bool
	done             map[string]bool
	failedRuns       map[string]int
	// cancelled holds the jobs whose cancellation is durable, with the time since when it is.
	cancelled map[string]time.Time
	// accepted holds the jobs whose acceptance is durable.
	accepted   map[string]bool
	violations []string
	// storeDown is set while nothing can be written to the log.
	storeDown bool
	// lossRate is the share of answers that are lost, delayRate the share of orders that arrive late.
	lossRate, delayRate float64
	// failRate is the share of runs that fail.
	failRate float64
	catalog  Catalog
}

// simEvent is a function that is called at a simulated time.
type simEvent struct {
	at time.Time
	fn func()
}

// simRun is a run on a simulated worker.
type simRun struct {
	task                    string
	number                  int
	remaining               time.Duration
	longRunning, bestEffort bool
	fails                   bool
	size                    fleet.Size
	stopping                bool
	stopAt                  time.Time
}

// simWorker is a simulated worker.
type simWorker struct {
	id           string
	boot         int64
	clockRate    float64
	startedAt    time.Time
	leaseUntil   int64
	fencingToken int64
	runs         map[runKey]*simRun
	barredRuns   map[string]int
	ended        []EndReport
	serial       int64
	down         bool
	draining     bool
	zone         string
	capacity     fleet.Size
	failsAll     bool
}

// simLeader is a simulated host that leads or has led.
type simLeader struct {
	s              *Scheduler
	token          int64
	renewalPending map[string]bool
	writing        bool
	stopped        bool
}

var simEpoch = time.Unix(5_000_000, 0)

// queueName is the only queue of the simulated catalog. Its tasks may fail maxTaskAttempts-1 times.
const (
	queueName       = "q"
	maxTaskAttempts = 3
)

// testLimits returns the limits used by the tests.
func testLimits() Limits {
	return Limits{
		MaxLease: 6 * time.Second, JobRetention: 120 * time.Second, RemoteFactor: 2,
		MaxUnconfirmedTerm: 2 * time.Second, MaxOverTarget: 4 * time.Second,
	}
}

// newSimulation returns a simulated deployment with a leader.
func newSimulation(seed uint64, workers int) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: simEpoch, log: map[string][]byte{}, jobs: map[string]workflow.Spec{},
		acknowledgedDone: map[string]bool{}, done: map[string]bool{}, failedRuns: map[string]int{},
		cancelled: map[string]time.Time{},
		accepted:  map[string]bool{},
		catalog: Catalog{Version: 1, Queues: map[string]Queue{
			queueName: {Name: queueName, Service: "svc", Attempts: maxTaskAttempts, Slack: 2, Target: time.Second},
		}},
	}
	for i := range workers {
		w.workers = append(w.workers, &simWorker{
			id: "w" + strconv.Itoa(i), boot: 1, clockRate: 0.98 + 0.02*w.rng.Float64(), startedAt: w.now,
			runs: map[runKey]*simRun{}, barredRuns: map[string]int{}, zone: "z" + strconv.Itoa(i%2),
			capacity: fleet.Size{Cores: 8000, Memory: 8000},
		})
	}
	w.takeOver()
	return w
}

// recordViolation records the violation of an invariant with its simulated time.
func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(simEpoch))+fmt.Sprintf(format, args...))
}

// after calls the function after the given simulated time.
func (w *simulation) after(d time.Duration, fn func()) {
	w.events = append(w.events, simEvent{w.now.Add(d), fn})
}

// latency returns a random network delay.
func (w *simulation) latency() time.Duration {
	return time.Duration(1+w.rng.IntN(30)) * time.Millisecond
}

// takeOver makes another host the leader. The previous one goes on for less than Limits.MaxUnconfirmedTerm.
func (w *simulation) takeOver() {
	if old := w.leader; old != nil {
		w.deposed = append(w.deposed, old)
		w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { old.stopped = true })
	}
	w.terms++
	l := &simLeader{
		s: New(testLimits(), int64(w.terms), w.terms), token: int64(w.terms), renewalPending: map[string]bool{},
	}
	l.s.SetCatalog(w.catalog)
	records := make([]Record, 0, len(w.log))
	for _, k := range slices.Sorted(maps.Keys(w.log)) {
		records = append(records, Record{Key: k, Value: w.log[k]})
	}
	if errs := l.s.Restore(w.now, w.now, records, w.now.Add(testLimits().MaxUnconfirmedTerm)); len(errs) > 0 {
		w.recordViolation("restore: %v", errs)
	}
	w.leader = l
	w.listWorkers(l)
}

// listWorkers gives the leader the platform's list of workers.
func (w *simulation) listWorkers(l *simLeader) {
	for _, sw := range w.workers {
		if sw.down {
			l.s.DropWorker(w.now, sw.id)
			continue
		}
		l.s.SetWorker(w.now, Registration{
			ID: sw.id, Boot: sw.boot, Service: "svc", Address: sw.id, Zone: sw.zone, Capacity: sw.capacity,
			Draining: sw.draining,
		})
	}
}

// worker returns the worker with the ID.
func (w *simulation) worker(id string) *simWorker {
	return w.workers[slices.IndexFunc(w.workers, func(s *simWorker) bool { return s.id == id })]
}

// clock returns the worker's clock in milliseconds.
func (s *simWorker) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(s.startedAt).Milliseconds())*s.clockRate)
}

// keys returns the keys of the worker's runs in order.
func (s *simWorker) keys() []runKey {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
}

// used returns the room that the worker's runs take.
func (s *simWorker) used() fleet.Size {
	var sum fleet.Size
	for _, r := range s.runs {
		size := r.size
		if r.bestEffort {
			size.Cores = 0
		}
		sum = sum.Add(size)
	}
	return sum
}

// advance advances the simulation by 10 ms.
func (w *simulation) advance() {
	const tick = 10 * time.Millisecond
	w.now = w.now.Add(tick)
	due := w.events
	w.events = nil
	slices.SortStableFunc(due, func(a, b simEvent) int { return a.at.Compare(b.at) })
	for _, e := range due {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
		} else {
			e.fn()
		}
	}
	for _, sw := range w.workers {
		w.runTasks(sw, tick)
	}
	for _, l := range append([]*simLeader{w.leader}, w.deposed...) {
		w.runLeader(l)
	}
}

// runTasks advances the runs of a worker by the given time.
func (w *simulation) runTasks(sw *simWorker, tick time.Duration) {
	expired := sw.clock(w.now) > sw.leaseUntil
	for _, k := range sw.keys() {
		r := sw.runs[k]
		r.remaining -= tick
		switch {
		case expired:
			sw.end(k, r, EndLeaseExpired)
		case r.stopping && !w.now.Before(r.stopAt):
			sw.end(k, r, EndStopped)
		case r.remaining <= 0 && !r.longRunning:
			reason := EndDone
			if r.fails {
				reason = EndFailed
				w.failedRuns[r.task]++
			} else {
				w.done[r.task] = true
			}
			sw.end(k, r, reason)
		}
	}
}

// end ends a run and lists its end.
func (s *simWorker) end(k runKey, r *simRun, reason EndReason) {
	delete(s.runs, k)
	s.serial++
	s.barredRuns[r.task] = max(s.barredRuns[r.task], r.number)
	s.ended = append(s.ended, EndReport{Serial: s.serial, Task: r.task, Number: r.number, Reason: reason})
}

// runLeader sends the due orders and lease renewals of a leader and starts to write its open batch.
func (w *simulation) runLeader(l *simLeader) {
	if l.stopped {
		return
	}
	current := l == w.leader
	for _, o := range l.s.Decide(w.now) {
		w.sendOrder(l, o)
	}
	l.s.Events()
	for _, id := range l.s.WorkerIDs() {
		if !l.renewalPending[id] {
			w.sendRenewal(l, id)
		}
	}
	if l.writing || w.storeDown || !current {
		return
	}
	if b, ok := l.s.TakeBatch(); ok {
		l.writing = true
		w.after(w.latency(), func() { w.commit(l, b) })
	}
}

// commit writes a batch to the log unless another leader has taken over.
func (w *simulation) commit(l *simLeader, b Batch) {
	switch {
	case l != w.leader:
		return
	case w.storeDown:
		w.after(100*time.Millisecond, func() { w.commit(l, b) })
		return
	}
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			delete(w.log, r.Key)
		} else {
			w.log[r.Key] = r.Value
		}
	}
	l.writing = false
	l.s.MarkCommitted(b)
}

// sendOrder delivers an order to its worker; some orders arrive late, some answers are lost.
func (w *simulation) sendOrder(l *simLeader, o Order) {
	sw := w.worker(o.Worker)
	boot := sw.boot
	if w.rng.Float64() < w.delayRate {
		w.after(time.Duration(2000+w.rng.IntN(4000))*time.Millisecond, func() {
			if sw.boot == boot {
				w.executeOrder(sw, o)
			}
		})
		w.after(900*time.Millisecond, func() { w.deliverAnswer(l, o, AnswerMissing, 0) })
		return
	}
	w.after(w.latency(), func() {
		if sw.down || sw.boot != boot {
			// The connection ended with the worker's process.
			w.after(900*time.Millisecond, func() { w.deliverAnswer(l, o, AnswerMissing, 0) })
			return
		}
		a, clock := w.executeOrder(sw, o)
		if w.rng.Float64() < w.lossRate {
			w.after(900*time.Millisecond, func() { w.deliverAnswer(l, o, AnswerMissing, 0) })
			return
		}
		w.after(w.latency(), func() { w.deliverAnswer(l, o, a, clock) })
	})
}

// deliverAnswer hands the answer to an order to the leader.
func (w *simulation) deliverAnswer(l *simLeader, o Order, a Answer, clock int64) {
	if l.stopped {
		return
	}
	switch o.Kind {
	case OrderStart:
		l.s.HandleStartAnswer(w.now, o, a, clock)
	case OrderStop:
		l.s.HandleStopAnswer(w.now, o, a, clock)
	case OrderPace:
		l.s.HandlePaceAnswer(w.now, o, a, clock)
	}
}

// executeOrder carries out an order at a worker and returns the answer and the worker's clock.
func (w *simulation) executeOrder(sw *simWorker, o Order) (Answer, int64) {
	if sw.down {
		return AnswerMissing, 0
	}
	clock := sw.clock(w.now)
	if o.Token < sw.fencingToken {
		return AnswerFenced, clock
	}
	sw.fencingToken = o.Token
	k := runKey{o.Task, o.Run}
	switch o.Kind {
	case OrderStop:
		sw.barredRuns[o.Task] = max(sw.barredRuns[o.Task], o.Run)
		if r := sw.runs[k]; r != nil && !r.stopping {
			r.stopping, r.stopAt = true, w.now.Add(300*time.Millisecond)
		}
		return AnswerDone, clock
	case OrderStart:
		if sw.runs[k] != nil {
			return AnswerDone, clock
		}
		if o.Run <= sw.barredRuns[o.Task] {
			return AnswerOldRun, clock
		}
		if clock > o.ValidUntil {
			return AnswerLate, clock
		}
		sw.leaseUntil = max(sw.leaseUntil, o.ValidUntil)
		w.startRun(sw, o)
	}
	return AnswerDone, clock
}

// startRun starts a run on a worker and checks the invariants.
func (w *simulation) startRun(sw *simWorker, o Order) {
	id, _, step, _, ok := splitTaskName(o.Task)
	spec, known := w.jobs[id]
	if !ok || !known || step >= len(spec.Steps) {
		w.recordViolation("unknown task %s started", o.Task)
		return
	}
	st := spec.Steps[step]
	for _, other := range w.workers {
		for k := range other.runs {
			if k.task == o.Task && !other.down && !st.Speculative {
				w.recordViolation("%s runs on %s and %s", o.Task, other.id, sw.id)
			}
		}
	}
	if w.acknowledgedDone[o.Task] && !st.LongRunning {
		w.recordViolation("%s started after its end was acknowledged", o.Task)
	}
	for _, a := range st.DependsOn {
		for n := range spec.Steps[a].Tasks {
			if !w.done[fmt.Sprintf("%s.0.%d.%d", id, a, n)] {
				w.recordViolation("%s started before step %d was done", o.Task, a)
			}
		}
	}
	if !st.LongRunning && w.failedRuns[o.Task] >= maxTaskAttempts {
		w.recordViolation("%s started after %d failures", o.Task, maxTaskAttempts)
	}
	if at, ok := w.cancelled[id]; ok && w.now.Sub(at) > 3*time.Second {
		w.recordViolation("%s started %v after the job was cancelled", o.Task, w.now.Sub(at))
	}
	if sw.draining {
		return
	}
	size := st.Size
	if st.BestEffort {
		size.Cores = 0
	}
	if !sw.used().Add(size).Fits(sw.capacity) {
		w.recordViolation("%s does not fit on %s beside %+v", o.Task, sw.id, sw.used())
	}
	remaining := max(10*time.Millisecond, time.Duration(float64(st.Estimate)*(0.5+w.rng.Float64())))
	sw.runs[runKey{o.Task, o.Run}] = &simRun{
		task: o.Task, number: o.Run, remaining: remaining,
		longRunning: st.LongRunning, bestEffort: st.BestEffort, size: st.Size,
		fails: sw.failsAll || w.rng.Float64() < w.failRate,
	}
}

// sendRenewal sends a lease renewal and hands the answer to the leader.
func (w *simulation) sendRenewal(l *simLeader, id string) {
	plan, ok := l.s.PlanRenewal(w.now, id)
	if !ok {
		return
	}
	l.renewalPending[id] = true
	sw := w.worker(id)
	boot := sw.boot
	w.after(w.latency(), func() {
		if sw.down || sw.boot != boot || w.rng.Float64() < w.lossRate {
			if !sw.down && sw.boot == boot {
				w.executeRenewal(sw, plan)
			}
			w.after(900*time.Millisecond, func() {
				l.renewalPending[id] = false
				l.s.HandleRenewalFailure(w.now, id)
			})
			return
		}
		if !w.executeRenewal(sw, plan) {
			w.after(w.latency(), func() { l.renewalPending[id] = false })
			return
		}
		rep := sw.report(w.now)
		w.after(w.latency(), func() {
			l.renewalPending[id] = false
			if !l.stopped {
				l.s.HandleReport(w.now, rep)
			}
		})
	})
}

// executeRenewal carries out a lease renewal at a worker. It returns false if the worker has seen a higher fencing
// token.
func (w *simulation) executeRenewal(sw *simWorker, plan LeaseRenewal) bool {
	if plan.Token < sw.fencingToken {
		return false
	}
	sw.fencingToken = plan.Token
	clock := sw.clock(w.now)
	if plan.LeaseUntil > 0 {
		sw.leaseUntil = max(sw.leaseUntil, min(plan.LeaseUntil, clock+testLimits().MaxLease.Milliseconds()))
	}
	for len(sw.ended) > 0 && sw.ended[0].Serial <= plan.Acknowledged {
		if sw.ended[0].Reason == EndDone {
			w.acknowledgedDone[sw.ended[0].Task] = true
		}
		sw.ended = sw.ended[1:]
	}
	return true
}

// report returns the worker's answer to a lease renewal.
func (s *simWorker) report(now time.Time) Report {
	rep := Report{Worker: s.id, Boot: s.boot, Clock: s.clock(now), Ended: slices.Clone(s.ended)}
	for _, k := range s.keys() {
		if s.runs[k].stopping {
			// A run that is being stopped need not be listed, but keeps its room until its end is listed.
			continue
		}
		rep.Running = append(rep.Running, RunReport{Task: k.task, Number: k.number, Percent: 50})
	}
	return rep
}

// crash stops a worker and restarts it after a while under the same ID.
func (w *simulation) crash(sw *simWorker, down time.Duration) {
	if sw.down {
		return
	}
	sw.down = true
	sw.runs, sw.ended, sw.barredRuns = map[runKey]*simRun{}, nil, map[string]int{}
	sw.serial, sw.fencingToken, sw.leaseUntil = 0, 0, 0
	w.after(down, func() {
		sw.down = false
		sw.boot++
		sw.startedAt = w.now
		w.listWorkers(w.leader)
	})
}

// submit submits a job, and again to the present leader while the answer is missing.
func (w *simulation) submit(id string, spec workflow.Spec) {
	w.jobs[id] = spec
	var try func(left int)
	try = func(left int) {
		l := w.leader
		r := l.s.Submit(w.now, Request{ID: id, Queue: queueName, Spec: spec, WallTime: w.now})
		w.after(300*time.Millisecond, func() {
			if l == w.leader && l.s.CommittedBatch() >= r.Batch {
				w.accepted[id] = true
			} else if left > 0 {
				try(left - 1)
			}
		})
	}
	try(20)
}

// run advances the simulation by the given time.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
	}
}
