package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// loadSim simulates a deployment of many workers under more load than they have room for: short jobs, long ones of two
// steps, and long-running tasks. Each report of a worker is followed by a decision. It checks no invariants and has no
// faults: it measures what the scheduler costs its host.
type loadSim struct {
	s       *Scheduler
	rng     *rand.Rand
	now     time.Time
	pending loadSimQueue
	workers map[string]*loadSimWorker
	jobs    int
	// log holds what the leaders have written, terms counts the leaders.
	log   map[string][]byte
	terms int
	// rough draws the factors, from 0.4 to 2.5, by which tasks take longer than they would; nil stands for a factor of 1.
	rough *rand.Rand
	// starts counts the start orders, decisions the calls of Decide.
	starts, decisions int
}

// loadSimWorker is a simulated worker.
type loadSimWorker struct {
	id     string
	runs   map[runKey]loadSimRun
	ended  []EndReport
	serial int64
	// stopping holds the runs that are being stopped. answer answers the pending lease renewal.
	stopping map[runKey]bool
	answer   func()
	// slowdown is the factor by which tasks take longer here; 0 counts as 1.
	slowdown float64
	// silent is set while the worker answers nothing and starts nothing.
	silent bool
	// stalledAt is when the tasks began to stand still, the zero time while they do not.
	stalledAt time.Time
}

// stall lets the worker's tasks stand still for the given time. The worker still answers and starts tasks.
func (sim *loadSim) stall(w *loadSimWorker, d time.Duration) {
	w.stalledAt = sim.now
	sim.after(d, func() {
		for k, r := range w.runs {
			lost := sim.now.Sub(w.stalledAt)
			if r.startedAt.After(w.stalledAt) {
				lost = sim.now.Sub(r.startedAt)
			}
			r.startedAt, r.endsAt = r.startedAt.Add(lost), r.endsAt.Add(lost)
			w.runs[k] = r
		}
		w.stalledAt = time.Time{}
	})
}

// workTime returns the time up to which the worker's tasks have worked.
func (w *loadSimWorker) workTime(now time.Time) time.Time {
	if w.stalledAt.IsZero() {
		return now
	}
	return w.stalledAt
}

// stopTime is how long a simulated worker takes to stop a run.
const stopTime = 300 * time.Millisecond

// loadSimRun is a run on a simulated worker.
type loadSimRun struct {
	longRunning       bool
	startedAt, endsAt time.Time
}

// progress returns the progress of the run.
func (r loadSimRun) progress(now time.Time) int {
	if r.longRunning {
		return 100
	}
	return max(0, min(99, int(100*now.Sub(r.startedAt)/max(1, r.endsAt.Sub(r.startedAt)))))
}

// loadSimEvent is a function that is called at a simulated time.
type loadSimEvent struct {
	at time.Time
	fn func()
}

// loadSimQueue is a heap of events, the earliest first.
type loadSimQueue []loadSimEvent

func (q loadSimQueue) Len() int           { return len(q) }
func (q loadSimQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q loadSimQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *loadSimQueue) Push(x any)        { *q = append(*q, x.(loadSimEvent)) }
func (q *loadSimQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after calls the function after the given simulated time.
func (sim *loadSim) after(d time.Duration, fn func()) {
	heap.Push(&sim.pending, loadSimEvent{sim.now.Add(d), fn})
}

// loadMix is the load of a simulation in shares of the cores of its workers: short jobs, long ones of which half are
// best-effort tasks, and long-running tasks that are submitted within half a minute.
type loadMix struct{ short, long, longRunning float64 }

// newLoadSim returns a simulated deployment under the load.
func newLoadSim(seed uint64, workers int, load loadMix) *loadSim {
	sim := &loadSim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: simEpoch, workers: map[string]*loadSimWorker{},
		log: map[string][]byte{},
	}
	for i := range workers {
		id := "w" + strconv.Itoa(i)
		sim.workers[id] = &loadSimWorker{
			id: id, runs: map[runKey]loadSimRun{}, stopping: map[runKey]bool{}, answer: func() {},
		}
		sim.after(time.Duration(i)*time.Millisecond, func() { sim.sendRenewal(id) })
	}
	sim.lead(workers)
	sim.after(0, sim.decidePeriodically)
	// Each rate is the share of the cores divided by the core seconds of an average job: its steps, tasks, cores and
	// seconds. For long-running tasks the last factor is the time in which they are submitted.
	totalCores := float64(workers) * 32
	sim.submitAtRate("long-running", totalCores*load.longRunning/(6*6*30), func() workflow.Spec {
		return sim.spec(1, 6, 4000+sim.rng.Int64N(4000), 0, true)
	})
	sim.submitAtRate("short", totalCores*load.short/(1.5*10*5.4), func() workflow.Spec {
		return sim.spec(1+sim.rng.IntN(2), 10, 2400+sim.rng.Int64N(6000), time.Second, false)
	})
	sim.submitAtRate("long", totalCores*load.long/(2*20*2.2*3.5), func() workflow.Spec {
		return sim.spec(2, 20, 3500, 2200*time.Millisecond, false)
	})
	return sim
}

// lead makes another host the leader of the workers.
func (sim *loadSim) lead(workers int) {
	sim.terms++
	s := New(testLimits(), int64(sim.terms), sim.terms)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		"short":        {Name: "short", Service: "svc", Attempts: 4, Slack: 2, Target: time.Second},
		"long":         {Name: "long", Service: "svc", Priority: 2, Attempts: 2, Slack: 2, Target: time.Second},
		"long-running": {Name: "long-running", Service: "svc", Attempts: 4, Slack: 2, Target: time.Second},
	}})
	if sim.terms > 1 {
		records := make([]Record, 0, len(sim.log))
		for _, k := range slices.Sorted(maps.Keys(sim.log)) {
			records = append(records, Record{Key: k, Value: sim.log[k]})
		}
		if errs := s.Restore(sim.now, sim.now, records, sim.now); len(errs) > 0 {
			panic(fmt.Sprint("restore: ", errs))
		}
	}
	for i := range workers {
		id := "w" + strconv.Itoa(i)
		s.SetWorker(sim.now, Registration{
			ID: id, Boot: 1, Service: "svc", Address: id, Zone: "z" + strconv.Itoa(i%6), Rack: "r" + strconv.Itoa(i/12),
			Capacity: fleet.Size{Cores: 32000, Memory: 128000},
		})
	}
	sim.s = s
}

// handOver makes another host the leader after a planned stop of the present one.
func (sim *loadSim) handOver() {
	sim.s.PrepareHandOver(sim.now)
	if b, ok := sim.s.TakeBatch(); ok {
		sim.write(b)
	}
	sim.lead(len(sim.workers))
}

// write writes a batch to the log.
func (sim *loadSim) write(b Batch) {
	for _, r := range b.Records {
		if len(r.Value) == 0 {
			delete(sim.log, r.Key)
		} else {
			sim.log[r.Key] = r.Value
		}
	}
}

// submitAtRate submits jobs to the queue at the rate.
func (sim *loadSim) submitAtRate(queue string, perSecond float64, spec func() workflow.Spec) {
	if perSecond <= 0 {
		return
	}
	var submit func()
	submit = func() {
		sim.submit(queue, spec())
		sim.decide()
		sim.after(time.Duration((0.5+sim.rng.Float64())/perSecond*float64(time.Second)), submit)
	}
	sim.after(0, submit)
}

// submit submits a job to the queue.
func (sim *loadSim) submit(queue string, spec workflow.Spec) {
	sim.jobs++
	spec.Payload = fmt.Sprintf("%016x", sim.jobs)
	sim.s.Submit(sim.now, Request{ID: spec.Payload, Queue: queue, Spec: spec, WallTime: sim.now})
}

// spec returns a job of steps that follow each other.
func (sim *loadSim) spec(steps, tasks int, cores int64, estimate time.Duration, longRunning bool) workflow.Spec {
	var spec workflow.Spec
	for i := range steps {
		step := newStep(tasks, cores, estimate)
		step.Image = fmt.Sprintf("image-%d", sim.rng.IntN(4))
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		step.BestEffort = !longRunning && estimate > time.Second && sim.rng.IntN(2) == 0
		if longRunning {
			step.LongRunning, step.TargetLatency, step.Image = true, 50*time.Millisecond, "serve-"+strconv.Itoa(sim.rng.IntN(3))
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// decidePeriodically calls Decide also while nothing happens, as a host does.
func (sim *loadSim) decidePeriodically() {
	sim.decide()
	sim.after(250*time.Millisecond, sim.decidePeriodically)
}

// decide writes the open batch and executes the orders that are due.
func (sim *loadSim) decide() {
	s := sim.s
	if b, ok := s.TakeBatch(); ok {
		sim.write(b)
		sim.after(8*time.Millisecond, func() { s.MarkCommitted(b) })
	}
	sim.decisions++
	for _, o := range s.Decide(sim.now, sim.now) {
		sim.after(5*time.Millisecond, func() {
			if s == sim.s {
				sim.executeOrder(o)
			}
		})
	}
	sim.s.Events()
}

// executeOrder carries out an order at its worker and hands the answer to the scheduler.
func (sim *loadSim) executeOrder(o Order) {
	w := sim.workers[o.Worker]
	k := runKey{o.Task, o.Run}
	switch {
	case w.silent && o.Kind == OrderStart:
		sim.s.HandleStartAnswer(sim.now, o, AnswerMissing, 0)
		return
	case w.silent && o.Kind == OrderStop:
		sim.s.HandleStopAnswer(sim.now, o, AnswerMissing, 0)
		return
	}
	switch o.Kind {
	case OrderStart:
		sim.starts++
		step := sim.s.findTask(o.Task).step()
		took := float64(step.Estimate) * (0.5 + sim.rng.Float64()) * max(1, w.slowdown)
		if sim.rough != nil {
			took *= math.Exp2(sim.rough.Float64()*2.6 - 1.3)
		}
		isSpread := step.Gang && step.Colocated && sim.s.findTask(o.Task).stage.gangWait.remote
		if isSpread || (step.DataRack != "" && sim.s.workers[o.Worker].Rack != step.DataRack) {
			took *= sim.s.limits.RemoteFactor
		}
		r := loadSimRun{longRunning: step.LongRunning, startedAt: sim.now, endsAt: sim.now.Add(time.Duration(took))}
		w.runs[k] = r
		sim.s.HandleStartAnswer(sim.now, o, AnswerDone, sim.clock())
	case OrderStop:
		if _, ok := w.runs[k]; ok && !w.stopping[k] {
			w.stopping[k] = true
			sim.after(stopTime, func() {
				delete(w.stopping, k)
				if _, ok := w.runs[k]; ok {
					w.end(k, EndStopped)
					w.answer()
				}
			})
		}
		sim.s.HandleStopAnswer(sim.now, o, AnswerDone, sim.clock())
	case OrderPace:
		sim.s.HandlePaceAnswer(sim.now, o, AnswerDone, sim.clock())
	}
}

// clock returns the clock of all workers in milliseconds.
func (sim *loadSim) clock() int64 { return 1000 + sim.now.Sub(simEpoch).Milliseconds() }

// end ends a run and lists its end.
func (w *loadSimWorker) end(k runKey, reason EndReason) {
	delete(w.runs, k)
	w.serial++
	w.ended = append(w.ended, EndReport{Serial: w.serial, Task: k.task, Number: k.number, Reason: reason})
}

// sendRenewal answers a lease renewal after its wait or the worker's first end, and then sends the next.
func (sim *loadSim) sendRenewal(id string) {
	s := sim.s
	plan, ok := s.PlanRenewal(sim.now, id)
	if !ok {
		return
	}
	w := sim.workers[id]
	wait := max(plan.Wait, 2*time.Millisecond)
	for _, r := range w.runs {
		if !r.longRunning && w.stalledAt.IsZero() {
			wait = min(wait, max(2*time.Millisecond, r.endsAt.Sub(sim.now)))
		}
	}
	answered := false
	w.answer = func() {
		if answered {
			return
		}
		answered = true
		if s != sim.s {
			sim.sendRenewal(id)
			return
		}
		if w.silent {
			sim.s.HandleRenewalFailure(sim.now, id)
			sim.decide()
			sim.after(500*time.Millisecond, func() { sim.sendRenewal(id) })
			return
		}
		for len(w.ended) > 0 && w.ended[0].Serial <= plan.Acknowledged {
			w.ended = w.ended[1:]
		}
		rep := Report{Worker: id, Boot: 1, Clock: sim.clock()}
		for k, r := range w.runs {
			if !r.longRunning && !w.workTime(sim.now).Before(r.endsAt) {
				w.end(k, EndDone)
				continue
			}
			rep.Running = append(rep.Running, RunReport{
				Task: k.task, Number: k.number, Progress: r.progress(w.workTime(sim.now)), Reading: 10 + sim.rng.IntN(30),
			})
		}
		rep.Ended = append(rep.Ended, w.ended...)
		sim.s.HandleReport(sim.now, rep)
		sim.decide()
		sim.after(10*time.Millisecond, func() { sim.sendRenewal(id) })
	}
	sim.after(wait, w.answer)
}

// run advances the simulation by the given time.
func (sim *loadSim) run(d time.Duration) {
	for end := sim.now.Add(d); len(sim.pending) > 0 && sim.now.Before(end); {
		e := heap.Pop(&sim.pending).(loadSimEvent)
		sim.now = e.at
		e.fn()
	}
}

// BenchmarkCrowd measures the processor time that the decisions of one second cost in a deployment of 490 workers whose
// load is above what they have room for.
func BenchmarkCrowd(b *testing.B) {
	sim := newLoadSim(1, 490, loadMix{short: 0.2, long: 0.75, longRunning: 0.15})
	sim.run(10 * time.Second)
	starts, decisions := sim.starts, sim.decisions
	b.ResetTimer()
	for b.Loop() {
		sim.run(time.Second)
	}
	b.ReportMetric(float64(sim.starts-starts)/float64(b.N), "starts/op")
	b.ReportMetric(float64(sim.decisions-decisions)/float64(b.N), "decisions/op")
}

// TestDecideIsIndependentOfRunningTasks checks that a decision with nothing due doesn't look through the running tasks,
// which would show in its allocations. Hundreds of workers report and end tasks within each second.
func TestDecideIsIndependentOfRunningTasks(t *testing.T) {
	sim := newLoadSim(1, 490, loadMix{short: 0.1, long: 0.3, longRunning: 0.1})
	sim.run(3 * time.Second)
	if n := sim.s.Summary().Running; n < 500 {
		t.Fatalf("%d tasks run, want a busy deployment with at least 500", n)
	}
	sim.s.ready = nil
	allocs := testing.AllocsPerRun(20, func() {
		sim.s.Decide(sim.now, sim.now)
		sim.s.Events()
	})
	if allocs > 10 {
		t.Errorf("a decision without anything due allocates %v times, want at most 10", allocs)
	}
}

// shareInTime returns the share of a queue's jobs, submitted within a span, that were done within their objective.
func (sim *loadSim) shareInTime(queue string, from, to time.Duration) float64 {
	done, all := 0, 0
	for _, j := range sim.s.jobs {
		if at := j.acceptedAt.Sub(simEpoch); j.queue != queue || at < from || at >= to {
			continue
		}
		all++
		if j.finalState == StateCompleted && j.endedAt.Sub(j.acceptedAt) <= j.objective {
			done++
		}
	}
	return float64(done) / float64(max(1, all))
}

// TestShortJobsBesideLongRunningTasks guards against long-running tasks that take the room of short jobs. A steady load
// of short jobs uses a sixteenth of the room, beside more long-running tasks than there is room for.
func TestShortJobsBesideLongRunningTasks(t *testing.T) {
	const workers = 245
	for seed := range uint64(2) {
		sim := newLoadSim(seed, workers, loadMix{short: 0.06, longRunning: 2.5})
		sim.run(45 * time.Second)
		if share := sim.shareInTime("short", 15*time.Second, 40*time.Second); share < 0.77 {
			t.Errorf("seed %d: %.3f of the short jobs were in time, want at least 0.77", seed, share)
		}
		longRunning := int64(0)
		for _, w := range sim.s.workers {
			longRunning += w.longRunningCores
		}
		if share := float64(longRunning) / (workers * 32000); share < 0.8 {
			t.Errorf("seed %d: long-running tasks have %.3f of the room, want at least 0.8: short ones use 0.06",
				seed, share)
		}
	}
}

// TestShortJobsReclaimRoom guards against short jobs that find no room after a lull, in which long-running tasks have
// taken it all.
func TestShortJobsReclaimRoom(t *testing.T) {
	const workers = 245
	for seed := range uint64(2) {
		sim := newLoadSim(seed, workers, loadMix{longRunning: 2.5})
		sim.run(20 * time.Second)
		sim.submitAtRate("short", workers*32*0.06/(1.5*10*5.4), func() workflow.Spec {
			return sim.spec(1+sim.rng.IntN(2), 10, 2400+sim.rng.Int64N(12000), time.Second, false)
		})
		sim.run(25 * time.Second)
		if share := sim.shareInTime("short", 22*time.Second, 40*time.Second); share < 0.77 {
			t.Errorf("seed %d: %.3f of the short jobs were in time, want at least 0.77", seed, share)
		}
		longRunning := int64(0)
		for _, w := range sim.s.workers {
			longRunning += w.longRunningCores
		}
		if share := float64(longRunning) / (workers * 32000); share < 0.8 {
			t.Errorf("seed %d: long-running tasks have %.3f of the room, want at least 0.8: short ones use 0.1", seed, share)
		}
	}
}

// TestYieldedTaskReturns guards against a long-running task that waits on and on after its room was reclaimed, because
// short tasks are present. The platform allows nine seconds while there is room for two of its kind.
func TestYieldedTaskReturns(t *testing.T) {
	sim := newLoadSim(1, 4, loadMix{})
	longRunning := sim.spec(1, 2, 20000, 0, true)
	sim.submit("long-running", longRunning)
	sim.run(7 * time.Second)
	st := sim.s.jobs[jobID(1)].openOccurrences[0].stages[0]
	yielded := st.tasks[0]
	victim := yielded.runs[0]
	yielded.yieldsUntil, st.yieldedAt = sim.now.Add(maxYield), sim.now
	sim.s.stopRun(victim, "test")
	for stoppedAt := sim.now; sim.now.Sub(stoppedAt) < 9*time.Second; {
		// The demand of short tasks would hold back a new task, and there is never room for two for long.
		sim.s.shortDemand = map[string]float64{"svc": 128000}
		st.freeSlots = freeSlots{}
		sim.run(50 * time.Millisecond)
		if len(yielded.runs) > 0 && yielded.runs[0] != victim {
			return
		}
	}
	t.Error("the task has not started within nine seconds")
}

// TestLongRunningTaskStartsInFreeRoom guards against long-running tasks that wait for short ones which don't come.
// Short jobs come occasionally and then no more. A long-running task must not wait for more than three seconds while
// there is room for two of its kind; the platform allows no longer wait.
func TestLongRunningTaskStartsInFreeRoom(t *testing.T) {
	sim := newLoadSim(1, 3, loadMix{short: 0.02, longRunning: 3})
	previousRoomSince := map[*stage]time.Time{}
	for sim.now.Before(simEpoch.Add(30 * time.Second)) {
		sim.run(50 * time.Millisecond)
		roomSince := map[*stage]time.Time{}
		for _, st := range sim.s.ready {
			if !st.step().LongRunning || st.waiting == 0 {
				continue
			}
			slots := int64(0)
			for _, w := range sim.s.workers {
				slots += (w.Capacity.Cores - w.used.Cores) / st.step().Size.Cores
			}
			if slots >= 2 {
				roomSince[st] = conditionSince(previousRoomSince[st], sim.now, true)
			}
			if slots >= 2 && sim.now.Sub(roomSince[st]) > 3*time.Second {
				t.Fatalf("%v: a long-running task has waited since %v with room for %d",
					sim.now.Sub(simEpoch), roomSince[st].Sub(simEpoch), slots)
			}
		}
		previousRoomSince = roomSince
	}
}

// TestSlowWorkers guards against a few slow workers that delay most jobs: a job of many tasks is done when its last
// task is. One worker in twelve takes eight times as long, under a load that leaves room on the others.
func TestSlowWorkers(t *testing.T) {
	const workers = 120
	sim := newLoadSim(1, workers, loadMix{short: 0.2, long: 0.2, longRunning: 0.2})
	sim.run(10 * time.Second)
	for i := range workers / 12 {
		sim.workers["w"+strconv.Itoa(i*12)].slowdown = 8
	}
	sim.run(35 * time.Second)
	for _, queue := range []string{"short", "long"} {
		if share := sim.shareInTime(queue, 15*time.Second, 35*time.Second); share < 0.77 {
			t.Errorf("%.3f of the %s jobs were in time, want at least 0.77", share, queue)
		}
	}
}

// TestStalledWorkers guards against workers that answer and start tasks while their tasks stand still, for best-effort
// tasks as well as for others. One worker in seventeen stalls for six seconds, under a load that leaves room on the
// others.
func TestStalledWorkers(t *testing.T) {
	const workers = 119
	sim := newLoadSim(1, workers, loadMix{short: 0.15, long: 0.25, longRunning: 0.3})
	sim.run(12 * time.Second)
	for i := range workers / 17 {
		sim.stall(sim.workers["w"+strconv.Itoa(i*17)], 6200*time.Millisecond)
	}
	sim.run(30 * time.Second)
	for _, queue := range []string{"short", "long"} {
		if share := sim.shareInTime(queue, 9*time.Second, 18*time.Second); share < 0.77 {
			t.Errorf("%.3f of the %s jobs were in time, want at least 0.77", share, queue)
		}
	}
}

// TestOverrunningTasksDoNotMarkWorkersSlow checks that tasks which take a few times their estimate don't make a worker
// count as slow.
func TestOverrunningTasksDoNotMarkWorkersSlow(t *testing.T) {
	sim := newLoadSim(1, 120, loadMix{short: 0.2, long: 0.3, longRunning: 0.2})
	sim.run(30 * time.Second)
	for id, w := range sim.s.workers {
		if !w.health.slowUntil.IsZero() || !w.health.bestEffortAt.IsZero() {
			t.Errorf("worker %s was marked slow at %v or stalled at %v, want neither", id,
				w.health.slowUntil.Sub(simEpoch)-slowPause, w.health.bestEffortAt.Sub(simEpoch)-slowPause)
		}
	}
}

// TestLostLongRunningTaskRestartsBeforeNewOne checks that a lost task of a long-running job starts again at once, while
// a task that never ran waits for room that short tasks leave free.
func TestLostLongRunningTaskRestartsBeforeNewOne(t *testing.T) {
	sim := newLoadSim(1, 4, loadMix{})
	longRunning := sim.spec(1, 2, 20000, 0, true)
	longRunning.Payload = "0000000000000001"
	sim.s.Submit(sim.now, Request{ID: longRunning.Payload, Queue: "long-running", Spec: longRunning, WallTime: sim.now})
	sim.run(2 * time.Second)
	st := sim.s.jobs[longRunning.Payload].openOccurrences[0].stages[0]
	if st.waiting != 0 {
		t.Fatalf("%d tasks wait in an idle deployment, want 0", st.waiting)
	}
	// Both tasks are released. The first then counts as one that never ran, the second as one that was lost, while
	// short tasks are present.
	for _, task := range st.tasks {
		r := task.runs[0]
		delete(sim.workers[r.worker.ID].runs, runKey{task.name, r.number})
		sim.s.releaseRun(sim.now, r)
	}
	st.tasks[0].lastRun = sim.s.runNumberBase
	sim.s.shortDemand = map[string]float64{"svc": 128000}
	sim.s.Decide(sim.now, sim.now)
	if !st.tasks[0].queued || st.tasks[1].queued {
		t.Errorf("the new task waits: %v, the lost one waits: %v; want only the new one to wait",
			st.tasks[0].queued, st.tasks[1].queued)
	}
}
