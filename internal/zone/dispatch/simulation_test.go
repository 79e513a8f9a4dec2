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
	// failedRuns counts the failed runs of each task, lostFailures those among them whose worker has restarted, or whose
	// lease has expired, before their end was acknowledged: the platform doesn't count these.
	failedRuns, lostFailures map[string]int
	// cancelled holds the jobs whose cancellation is durable, with the time since when it is.
	cancelled map[string]time.Time
	// accepted holds the jobs whose acceptance is durable.
	accepted   map[string]bool
	violations []string
	// overlaps are the violations by two runs of a task at the same time.
	overlaps []string
	// maxSkew is the largest difference between a host's time of day and the simulated time.
	maxSkew time.Duration
	// outlives is set if calls that a worker carries out late outlive its restart.
	outlives bool
	// readsList is set if the leaders read the platform's list of workers periodically. The entry of a worker that is down or cut
	// off stays there for simUnlistDelay.
	readsList bool
	// storeDown is set while nothing can be written to the log, nor read from the list.
	storeDown bool
	// lossRate is the share of answers that are lost, delayRate the share of orders that arrive late.
	lossRate, delayRate float64
	// failRate is the share of runs that fail.
	failRate float64
	catalog  Catalog
	limits   Limits
	// deadly holds the tasks that crash their worker, with the time after which they do.
	deadly map[string]time.Duration
	// crashes counts the workers that have crashed under each deadly task, startsAfterCrashes the starts of the task after
	// maxTaskCrashes of them.
	crashes, startsAfterCrashes map[string]int
	// racks draws the data racks of steps, nil if there are none.
	racks *rand.Rand
	// renames is set if workers come back from such a crash under another ID.
	renames bool
	// teams holds the teams, nil if there are none.
	teams *simTeams
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
	total, remaining        time.Duration
	longRunning, bestEffort bool
	fails                   bool
	size                    fleet.Size
	stopping                bool
	stopAt                  time.Time
	decision                simDecision
}

// progress returns the share of the work that is done, in percent.
func (r *simRun) progress() int {
	if r.longRunning {
		return 50
	}
	return int(100 * (r.total - r.remaining) / r.total)
}

// simDecision is the decision to start a run: its time, and the capacity that the worker had in the leader's list.
type simDecision struct {
	at       time.Time
	capacity fleet.Size
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
	// lostSerial is that of the last end that loseFailures has counted.
	lostSerial int64
	down       bool
	draining   bool
	// leavesAt is the earliest time at which a draining worker leaves, the zero time if it doesn't say.
	leavesAt time.Time
	// unlisted is set while the worker is not in the list although it is not down.
	unlisted bool
	// cut is set while the worker is cut off from all others and goes on. silentSince is since when it is down or cut off.
	cut         bool
	silentSince time.Time
	// keepsCalls is set if calls that were in flight when the worker last restarted reach its next boot.
	keepsCalls bool
	// left is set once the worker accepts no connections any more, keepsOpen while it still serves those that were open. Its
	// runs go on until it is down, or their leases have expired.
	left, keepsOpen bool
	zone            string
	capacity        fleet.Size
	failsAll        bool
	// address is where the worker listens. successor is the worker that has taken its place there under another ID.
	address   string
	successor *simWorker
}

// simLeader is a simulated host that leads or has led.
type simLeader struct {
	s              *Scheduler
	token          int64
	renewalPending map[string]bool
	// connected holds the workers to which the leader has an open connection, renewedOn the boot that has answered its last
	// renewal there.
	connected map[string]bool
	renewedOn map[string]int64
	// listed holds the capacities of the workers as the leader last read them.
	listed map[string]fleet.Size
	// listReadAt is when the leader last read the list of workers.
	listReadAt time.Time
	writing    bool
	stopped    bool
	// skew is added to the simulated time in the host's time of day.
	skew time.Duration
	// deposedAt is when a later leader began its term, the zero time before.
	deposedAt time.Time
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
	return newLimitedSimulation(seed, workers, testLimits())
}

// newLimitedSimulation returns a simulated deployment of a platform with the limits, with a leader.
func newLimitedSimulation(seed uint64, workers int, limits Limits) *simulation {
	sim := &simulation{
		limits: limits,
		rng:    rand.New(rand.NewPCG(seed, 7)), now: simEpoch, log: map[string][]byte{}, jobs: map[string]workflow.Spec{},
		acknowledgedDone: map[string]bool{}, done: map[string]bool{}, failedRuns: map[string]int{},
		cancelled: map[string]time.Time{},
		accepted:  map[string]bool{},
		deadly:    map[string]time.Duration{}, crashes: map[string]int{}, startsAfterCrashes: map[string]int{},
		lostFailures: map[string]int{},
		catalog: Catalog{Version: 1, Queues: map[string]Queue{
			queueName: {Name: queueName, Service: "svc", Attempts: maxTaskAttempts, Slack: 2, Target: time.Second},
		}},
	}
	for i := range workers {
		id := "w" + strconv.Itoa(i)
		sim.workers = append(sim.workers, &simWorker{
			id: id, address: id, boot: 1, clockRate: 0.98 + 0.02*sim.rng.Float64(), startedAt: sim.now,
			runs: map[runKey]*simRun{}, barredRuns: map[string]int{}, zone: "z" + strconv.Itoa(i%2),
			capacity: fleet.Size{Cores: 8000, Memory: 8000},
		})
	}
	sim.takeOver()
	return sim
}

// recordViolation records the violation of an invariant with its simulated time.
func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(simEpoch))+fmt.Sprintf(format, args...))
}

// after calls the function after the given simulated time.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.events = append(sim.events, simEvent{sim.now.Add(d), fn})
}

// latency returns a random network delay.
func (sim *simulation) latency() time.Duration {
	return time.Duration(1+sim.rng.IntN(30)) * time.Millisecond
}

// takeOver makes another host the leader. The previous one goes on for less than Limits.MaxUnconfirmedTerm.
func (sim *simulation) takeOver() {
	if old := sim.leader; old != nil {
		sim.deposed = append(sim.deposed, old)
		old.deposedAt = sim.now
		sim.after(time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() { old.stopped = true })
	}
	sim.lead(sim.now.Add(sim.limits.MaxUnconfirmedTerm))
}

// confirmedAt returns the time of the newest renewal of the leader's term that the log has accepted.
func (l *simLeader) confirmedAt(now time.Time) time.Time {
	if !l.deposedAt.IsZero() {
		return l.deposedAt
	}
	return now
}

// handOver makes another host the leader after a planned stop of the present one, which first writes all its changes to
// the log.
func (sim *simulation) handOver() {
	old := sim.leader
	if old.writing {
		sim.after(10*time.Millisecond, sim.handOver)
		return
	}
	old.s.PrepareHandOver(sim.now)
	if b, ok := old.s.TakeBatch(); ok {
		sim.commit(old, b)
	}
	old.stopped = true
	sim.lead(sim.now)
}

// lead makes another host the leader. The previous one gives no order after ordersUntil.
func (sim *simulation) lead(ordersUntil time.Time) {
	sim.terms++
	l := &simLeader{
		s: New(sim.limits, int64(sim.terms), sim.terms), token: int64(sim.terms), renewalPending: map[string]bool{},
		connected: map[string]bool{},
		renewedOn: map[string]int64{},
		listed:    map[string]fleet.Size{},
	}
	sim.setFirstCatalog(l)
	records := make([]Record, 0, len(sim.log))
	for _, k := range slices.Sorted(maps.Keys(sim.log)) {
		records = append(records, Record{Key: k, Value: sim.log[k]})
	}
	if sim.maxSkew > 0 {
		l.skew = time.Duration(sim.rng.Int64N(int64(2*sim.maxSkew))) - sim.maxSkew
	}
	if errs := l.s.Restore(sim.now, sim.now.Add(l.skew), records, ordersUntil); len(errs) > 0 {
		sim.recordViolation("restore: %v", errs)
	}
	sim.leader = l
	sim.listWorkers(l)
}

// listWorkers gives the leader the platform's list of workers.
func (sim *simulation) listWorkers(l *simLeader) {
	for _, sw := range sim.workers {
		if sim.isMissing(sw) {
			l.s.DropWorker(sim.now, sw.id)
			continue
		}
		l.s.SetWorker(sim.now, Registration{
			ID: sw.id, Boot: sw.boot, Service: "svc", Address: sw.address, Zone: sw.zone, Rack: sw.zone, Capacity: sw.capacity,
			Draining: sw.draining, LeavesIn: max(0, sw.leavesAt.Sub(sim.now)),
		})
		l.listed[sw.id] = sw.capacity
	}
}

// isMissing reports whether the worker has no entry in the platform's list.
func (sim *simulation) isMissing(sw *simWorker) bool {
	if sim.readsList && (sw.down || sw.cut) {
		return sim.now.Sub(sw.silentSince) >= simUnlistDelay
	}
	return sw.down || sw.unlisted
}

// readList has the leader read the list of workers, if that is due.
func (sim *simulation) readList(l *simLeader) {
	if !sim.readsList || sim.now.Sub(l.listReadAt) < 500*time.Millisecond {
		return
	}
	l.listReadAt = sim.now
	if sim.storeDown {
		l.s.RecordListFailure()
		return
	}
	sim.listWorkers(l)
	l.s.RecordListRead(sim.now, sim.now)
}

// cutOff cuts a worker off from all others for a while. It goes on, also with the calls that it has taken before.
func (sim *simulation) cutOff(sw *simWorker, d time.Duration) {
	if sw.down || sw.cut {
		return
	}
	sw.cut, sw.silentSince = true, sim.now
	sim.after(d, func() { sw.cut = false })
}

// worker returns the worker with the ID.
func (sim *simulation) worker(id string) *simWorker {
	return sim.workers[slices.IndexFunc(sim.workers, func(s *simWorker) bool { return s.id == id })]
}

// clock returns the worker's clock in milliseconds.
func (sw *simWorker) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(sw.startedAt).Milliseconds())*sw.clockRate)
}

// keys returns the keys of the worker's runs in order.
func (sw *simWorker) keys() []runKey {
	return slices.SortedFunc(maps.Keys(sw.runs), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
}

// used returns the room that the worker's runs take.
func (sw *simWorker) used() fleet.Size {
	var sum fleet.Size
	for _, r := range sw.runs {
		size := r.size
		if r.bestEffort {
			size.Cores = 0
		}
		sum = sum.Add(size)
	}
	return sum
}

// advance advances the simulation by 10 ms.
func (sim *simulation) advance() {
	const tick = 10 * time.Millisecond
	sim.now = sim.now.Add(tick)
	due := sim.events
	sim.events = nil
	slices.SortStableFunc(due, func(a, b simEvent) int { return a.at.Compare(b.at) })
	for _, e := range due {
		if e.at.After(sim.now) {
			sim.events = append(sim.events, e)
		} else {
			e.fn()
		}
	}
	for _, sw := range sim.workers {
		sim.runTasks(sw, tick)
	}
	for _, l := range append([]*simLeader{sim.leader}, sim.deposed...) {
		sim.runLeader(l)
	}
}

// runTasks advances the runs of a worker by the given time.
func (sim *simulation) runTasks(sw *simWorker, tick time.Duration) {
	expired := sw.clock(sim.now) > sw.leaseUntil
	if expired {
		sim.loseFailures(sw)
	}
	for _, k := range sw.keys() {
		r := sw.runs[k]
		r.remaining -= tick
		switch {
		case expired:
			sw.end(k, r, EndLeaseExpired)
		case r.stopping && !sim.now.Before(r.stopAt):
			sw.end(k, r, EndStopped)
		case r.remaining <= 0 && !r.longRunning:
			reason := EndDone
			if r.fails {
				reason = EndFailed
				sim.failedRuns[r.task]++
			} else {
				sim.done[r.task] = true
			}
			sw.end(k, r, reason)
		}
	}
}

// loseFailures counts the failed runs of a worker that are not acknowledged as lost.
func (sim *simulation) loseFailures(sw *simWorker) {
	for _, e := range sw.ended {
		if e.Serial > sw.lostSerial && e.Reason == EndFailed {
			sim.lostFailures[e.Task]++
		}
	}
	sw.lostSerial = sw.serial
}

// end ends a run and lists its end.
func (sw *simWorker) end(k runKey, r *simRun, reason EndReason) {
	delete(sw.runs, k)
	sw.serial++
	sw.barredRuns[r.task] = max(sw.barredRuns[r.task], r.number)
	sw.ended = append(sw.ended, EndReport{Serial: sw.serial, Task: r.task, Number: r.number, Reason: reason})
}

// runLeader sends the due orders and lease renewals of a leader and starts to write its open batch.
func (sim *simulation) runLeader(l *simLeader) {
	if l.stopped {
		return
	}
	current := l == sim.leader
	sim.readList(l)
	for _, o := range l.s.Decide(sim.now, l.confirmedAt(sim.now)) {
		sim.sendOrder(l, o)
	}
	l.s.Events()
	for _, id := range l.s.WorkerIDs() {
		if !l.renewalPending[id] {
			sim.sendRenewal(l, id)
		}
	}
	if l.writing || sim.storeDown || !current {
		return
	}
	if b, ok := l.s.TakeBatch(); ok {
		l.writing = true
		sim.after(sim.latency(), func() { sim.commit(l, b) })
	}
}

// commit writes a batch to the log unless another leader has taken over.
func (sim *simulation) commit(l *simLeader, b Batch) {
	switch {
	case l != sim.leader:
		return
	case sim.storeDown:
		sim.after(100*time.Millisecond, func() { sim.commit(l, b) })
		return
	}
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			delete(sim.log, r.Key)
		} else {
			sim.log[r.Key] = r.Value
		}
	}
	l.writing = false
	l.s.MarkCommitted(b)
}

// sendOrder delivers an order to its worker; some orders arrive late, some answers are lost.
func (sim *simulation) sendOrder(l *simLeader, o Order) {
	sw := sim.worker(o.Worker)
	boot, decision := sw.boot, simDecision{sim.now, l.listed[o.Worker]}
	isSent := sw.serves(l)
	if sim.rng.Float64() < sim.delayRate {
		accepts := func() bool { return sw.takesCallsFor(boot) && sw.serves(l) }
		sim.executeLate(sw, accepts, func() { sim.executeOrder(sw, o, decision) })
		sim.after(900*time.Millisecond, func() { sim.deliverAnswer(l, o, AnswerMissing, 0) })
		return
	}
	sim.after(sim.latency(), func() {
		if sw.isTakenOverFrom(l) {
			sim.after(sim.latency(), func() { sim.deliverAnswer(l, o, AnswerRestarted, 0) })
			return
		}
		if sw.refuses(l) {
			a := AnswerNotSent
			if isSent {
				a = AnswerMissing
			}
			sim.after(sim.latency(), func() { sim.deliverAnswer(l, o, a, 0) })
			return
		}
		if sw.down || sw.cut || !sw.takesCallsFor(boot) {
			// The connection ended with the worker's process.
			sim.after(900*time.Millisecond, func() { sim.deliverAnswer(l, o, AnswerMissing, 0) })
			return
		}
		a, clock := sim.executeOrder(sw, o, decision)
		if sim.rng.Float64() < sim.lossRate {
			sim.after(900*time.Millisecond, func() { sim.deliverAnswer(l, o, AnswerMissing, 0) })
			return
		}
		sim.after(sim.latency(), func() { sim.deliverAnswer(l, o, a, clock) })
	})
}

// executeLate has the worker carry out a call some seconds after it has arrived, if accepts is true then. The next boot of
// the worker does so only if outlives is set.
func (sim *simulation) executeLate(sw *simWorker, accepts func() bool, execute func()) {
	sim.after(sim.latency(), func() {
		if sw.down || sw.cut || !accepts() {
			return
		}
		acceptedBy := sw.boot
		sim.after(time.Duration(2000+sim.rng.IntN(10000))*time.Millisecond, func() {
			if !sw.down && (sw.boot == acceptedBy || (sim.outlives && !sw.isReplaced())) {
				execute()
			}
		})
	})
}

// deliverAnswer hands the answer to an order to the leader.
func (sim *simulation) deliverAnswer(l *simLeader, o Order, a Answer, clock int64) {
	if l.stopped {
		return
	}
	switch o.Kind {
	case OrderStart:
		l.s.HandleStartAnswer(sim.now, o, a, clock)
	case OrderStop:
		l.s.HandleStopAnswer(sim.now, o, a, clock)
	case OrderPace:
		l.s.HandlePaceAnswer(sim.now, o, a, clock)
	}
}

// executeOrder carries out an order at a worker and returns the answer and the worker's clock.
func (sim *simulation) executeOrder(sw *simWorker, o Order, decision simDecision) (Answer, int64) {
	if sw.down {
		return AnswerMissing, 0
	}
	clock := sw.clock(sim.now)
	if o.Token < sw.fencingToken {
		return AnswerFenced, clock
	}
	sw.fencingToken = o.Token
	k := runKey{o.Task, o.Run}
	switch o.Kind {
	case OrderStop:
		sw.barredRuns[o.Task] = max(sw.barredRuns[o.Task], o.Run)
		if r := sw.runs[k]; r != nil && !r.stopping {
			r.stopping, r.stopAt = true, sim.now.Add(300*time.Millisecond)
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
		sim.startRun(sw, o, decision)
	}
	return AnswerDone, clock
}

// startRun starts a run on a worker and checks the invariants.
func (sim *simulation) startRun(sw *simWorker, o Order, decision simDecision) {
	id, _, step, _, ok := splitTaskName(o.Task)
	spec, known := sim.jobs[id]
	if !ok || !known || step >= len(spec.Steps) {
		sim.recordViolation("unknown task %s started", o.Task)
		return
	}
	st := spec.Steps[step]
	for _, other := range sim.workers {
		for k := range other.runs {
			if k.task == o.Task && !other.down && !st.Speculative {
				sim.recordViolation("%s runs on %s and %s", o.Task, other.id, sw.id)
				sim.overlaps = append(sim.overlaps, sim.violations[len(sim.violations)-1])
			}
		}
	}
	if sim.acknowledgedDone[o.Task] && !st.LongRunning {
		sim.recordViolation("%s started after its end was acknowledged", o.Task)
	}
	for _, a := range st.DependsOn {
		for n := range spec.Steps[a].Tasks {
			if !sim.done[fmt.Sprintf("%s.0.%d.%d", id, a, n)] {
				sim.recordViolation("%s started before step %d was done", o.Task, a)
			}
		}
	}
	if !st.LongRunning && sim.failedRuns[o.Task]-sim.lostFailures[o.Task] >= maxTaskAttempts {
		sim.recordViolation("%s started after %d failures", o.Task, maxTaskAttempts)
	}
	if at, ok := sim.cancelled[id]; ok && sim.now.Sub(at) > 3*time.Second {
		sim.recordViolation("%s started %v after the job was cancelled", o.Task, sim.now.Sub(at))
	}
	if sw.draining && sw.leavesAt.IsZero() {
		return
	}
	size := st.Size
	if st.BestEffort {
		size.Cores = 0
	}
	// An order may be carried out after others that were decided later, when the worker had more or less room.
	last := decision
	for _, r := range sw.runs {
		if r.decision.at.After(last.at) {
			last = r.decision
		}
	}
	if !sw.used().Add(size).Fits(last.capacity) {
		sim.recordViolation("%s does not fit on %s beside %+v", o.Task, sw.id, sw.used())
	}
	remaining := max(10*time.Millisecond, time.Duration(float64(st.Estimate)*(0.5+sim.rng.Float64())))
	sw.runs[runKey{o.Task, o.Run}] = &simRun{
		task: o.Task, number: o.Run, total: remaining, remaining: remaining,
		longRunning: st.LongRunning, bestEffort: st.BestEffort, size: st.Size,
		fails: sw.failsAll || sim.rng.Float64() < sim.failRate, decision: decision,
	}
	if sim.teams != nil {
		sim.checkQuota(o.Task, decision.at)
	}
	if !sw.left {
		sim.startDeadly(sw, o.Task)
	}
}

// sendRenewal sends a lease renewal and hands the answer to the leader.
func (sim *simulation) sendRenewal(l *simLeader, id string) {
	plan, ok := l.s.PlanRenewal(sim.now, id)
	if !ok {
		return
	}
	l.renewalPending[id] = true
	sw := sim.worker(id)
	boot := sw.boot
	if last := l.renewedOn[id]; last != 0 && last != boot && sw.keepsCalls {
		// Renewals share a connection, which has ended with the former boot.
		delete(l.renewedOn, id)
		sim.after(sim.latency(), func() {
			l.renewalPending[id] = false
			l.s.HandleRenewalFailure(sim.now, id)
		})
		return
	}
	if sim.rng.Float64() < sim.delayRate {
		accepts := func() bool { return sw.boot == boot && sw.serves(l) }
		sim.executeLate(sw, accepts, func() {
			if sw.boot == boot || sim.outlives {
				sim.executeRenewal(sw, plan)
			}
		})
		sim.after(900*time.Millisecond, func() {
			l.renewalPending[id] = false
			l.s.HandleRenewalFailure(sim.now, id)
		})
		return
	}
	sim.after(sim.latency(), func() {
		if sw.isTakenOverFrom(l) {
			l.renewalPending[id] = false
			l.s.HandleRenewalRestart(id)
			return
		}
		if sw.refuses(l) {
			sim.refuseRenewal(l, id)
			return
		}
		if sw.down || sw.cut || sw.boot != boot || sim.rng.Float64() < sim.lossRate {
			if !sw.down && !sw.cut && sw.boot == boot {
				sim.executeRenewal(sw, plan)
			}
			l.connected[id] = false
			sim.after(900*time.Millisecond, func() {
				l.renewalPending[id] = false
				l.s.HandleRenewalFailure(sim.now, id)
			})
			return
		}
		if !sim.executeRenewal(sw, plan) {
			sim.after(sim.latency(), func() { l.renewalPending[id] = false })
			return
		}
		rep := sw.report(sim.now)
		sim.after(sim.latency(), func() {
			l.renewalPending[id], l.connected[id], l.renewedOn[id] = false, true, boot
			if !l.stopped {
				l.s.HandleReport(sim.now, rep)
			}
		})
	})
}

// executeRenewal carries out a lease renewal at a worker. It returns false if the worker has seen a higher fencing
// token.
func (sim *simulation) executeRenewal(sw *simWorker, plan LeaseRenewal) bool {
	if plan.Token < sw.fencingToken {
		return false
	}
	sw.fencingToken = plan.Token
	clock := sw.clock(sim.now)
	if plan.LeaseUntil > 0 {
		sw.leaseUntil = max(sw.leaseUntil, min(plan.LeaseUntil, clock+sim.limits.MaxLease.Milliseconds()))
	}
	for len(sw.ended) > 0 && sw.ended[0].Serial <= plan.Acknowledged {
		if sw.ended[0].Reason == EndDone {
			sim.acknowledgedDone[sw.ended[0].Task] = true
		}
		sw.ended = sw.ended[1:]
	}
	return true
}

// report returns the worker's answer to a lease renewal.
func (sw *simWorker) report(now time.Time) Report {
	rep := Report{Worker: sw.id, Boot: sw.boot, Clock: sw.clock(now), Ended: slices.Clone(sw.ended)}
	for _, k := range sw.keys() {
		if sw.runs[k].stopping {
			// A run that is being stopped need not be listed, but keeps its room until its end is listed.
			continue
		}
		rep.Running = append(rep.Running, RunReport{Task: k.task, Number: k.number, Progress: sw.runs[k].progress()})
	}
	return rep
}

// crash stops a worker and restarts it after a while under the same ID, unless it was leaving.
func (sim *simulation) crash(sw *simWorker, down time.Duration) {
	if sw.down {
		return
	}
	sw.down, sw.keepsCalls = true, false
	if !sw.cut {
		sw.silentSince = sim.now
	}
	sim.loseState(sw)
	if sw.left {
		sim.after(simUnlistDelay, sim.relist)
		return
	}
	sim.after(down, func() {
		sw.down = false
		sim.beginBoot(sw)
		sim.listWorkers(sim.leader)
	})
}

// beginBoot begins the next boot of a worker under the same ID, which stays.
func (sim *simulation) beginBoot(sw *simWorker) {
	sw.boot++
	sw.startedAt, sw.leavesAt = sim.now, time.Time{}
	sw.draining, sw.unlisted = false, false
}

// loseState clears all that ends with a boot of a worker.
func (sim *simulation) loseState(sw *simWorker) {
	sim.loseFailures(sw)
	sw.runs, sw.ended, sw.barredRuns = map[runKey]*simRun{}, nil, map[string]int{}
	sw.serial, sw.lostSerial, sw.fencingToken, sw.leaseUntil = 0, 0, 0, 0
}

// restart restarts a worker at once, under the same ID. Calls that are in flight reach its next boot.
func (sim *simulation) restart(sw *simWorker) {
	if sw.down || sw.left {
		return
	}
	sim.loseState(sw)
	sw.keepsCalls = true
	if sw.draining || sw.unlisted {
		sim.relist()
	}
	sim.beginBoot(sw)
}

// takesCallsFor reports whether a call that was sent while the worker had the given boot reaches its present boot.
func (sw *simWorker) takesCallsFor(boot int64) bool { return sw.boot == boot || sw.keepsCalls }

// resize changes the capacity of a worker. The leaders learn of it when they next read the list.
func (sim *simulation) resize(sw *simWorker, capacity fleet.Size) {
	sw.capacity = capacity
	sim.relist()
}

// relist gives the list of workers to each leader when it next reads it.
func (sim *simulation) relist() {
	for _, l := range append([]*simLeader{sim.leader}, sim.deposed...) {
		sim.after(time.Duration(sim.rng.IntN(500))*time.Millisecond, func() { sim.listWorkers(l) })
	}
}

// submit submits a job, and again to the present leader while the answer is missing.
func (sim *simulation) submit(id string, spec workflow.Spec) {
	sim.jobs[id] = spec
	var try func(left int)
	try = func(left int) {
		l := sim.leader
		r := l.s.Submit(sim.now, Request{
			ID: id, Queue: queueName, Team: sim.teamOf(id), Spec: spec, WallTime: sim.now.Add(l.skew),
			CatalogVersion: sim.catalog.Version,
		})
		sim.after(300*time.Millisecond, func() {
			if l == sim.leader && r.Outcome == OutcomeAccepted && l.s.CommittedBatch() >= r.Batch {
				sim.accepted[id] = true
			} else if left > 0 {
				try(left - 1)
			}
		})
	}
	try(20)
}

// run advances the simulation by the given time.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.advance()
	}
}
