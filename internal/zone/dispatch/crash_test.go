package dispatch

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// The platform allows fewer than maxStartsAfterCrashes starts of a task after maxTaskCrashes workers have crashed under
// it.
const maxTaskCrashes, maxStartsAfterCrashes = 3, 3

// deadlyDelay is how long a deadly task runs before its worker crashes.
const deadlyDelay = 10 * time.Millisecond

const (
	// simUnlistDelay is how long a crashed worker stays listed, simRestartDelay after what time it is back.
	simUnlistDelay  = 2700 * time.Millisecond
	simRestartDelay = 5 * time.Second
)

// isReplaced reports whether another worker listens at the worker's address.
func (sw *simWorker) isReplaced() bool { return sw.successor != nil && !sw.successor.down }

// startDeadly crashes the worker after a while if the task that it has started is deadly.
func (sim *simulation) startDeadly(sw *simWorker, task string) {
	delay, ok := sim.deadly[task]
	if !ok {
		return
	}
	if sim.crashes[task] >= maxTaskCrashes {
		sim.startsAfterCrashes[task]++
		if sim.startsAfterCrashes[task] == maxStartsAfterCrashes {
			sim.recordViolation("%s started %d times after %d crashes", task, maxStartsAfterCrashes, maxTaskCrashes)
		}
	}
	boot := sw.boot
	sim.after(delay, func() {
		running := func(k runKey) bool { return k.task == task }
		for _, k := range sw.keys() {
			if !sw.down && sw.boot == boot && running(k) {
				sim.crashes[task]++
				sim.crashAndReturn(sw)
			}
		}
	})
}

// crashAndReturn crashes a worker, which leaves the list and comes back at its address.
func (sim *simulation) crashAndReturn(sw *simWorker) {
	if sw.down {
		return
	}
	sim.after(simUnlistDelay, func() { sim.listWorkers(sim.leader) })
	if !sim.renames {
		sim.crash(sw, simRestartDelay)
		return
	}
	sim.crash(sw, time.Hour)
	sim.after(simRestartDelay, func() {
		sw.successor = &simWorker{
			id: sw.id + "'", address: sw.address, boot: sw.boot + 1, clockRate: sw.clockRate, startedAt: sim.now,
			runs: map[runKey]*simRun{}, barredRuns: map[string]int{}, zone: sw.zone, capacity: sw.capacity,
		}
		sim.workers = append(sim.workers, sw.successor)
		sim.listWorkers(sim.leader)
	})
}

// submitAll submits jobs of one step and returns their IDs.
func (sim *simulation) submitAll(first, n int, step workflow.Step) []string {
	out := make([]string, 0, n)
	for i := range n {
		id := jobID(first + i)
		sim.submit(id, workflow.Spec{Steps: []workflow.Step{step}})
		out = append(out, id)
	}
	return out
}

// finalState returns the state in which the job has ended, empty if it has not.
func (sim *simulation) finalState(id string) State { return sim.leader.s.jobs[id].finalState }

// TestDeadlyTaskIsGivenUp guards against a task that crashes each worker that starts it, without end.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	for _, renames := range []bool{false, true} {
		Convey("A task crashes its workers, which come back under another ID: "+strconv.FormatBool(renames), t, func() {
			sim := newSimulation(1, 4)
			sim.renames = renames
			sim.run(300 * time.Millisecond)
			innocent := sim.submitAll(1, 12, newStep(1, 1000, 300*time.Millisecond))
			sim.deadly[jobID(100)+".0.0.0"] = deadlyDelay
			deadly := sim.submitAll(100, 1, newStep(1, 1000, 300*time.Millisecond))[0]
			Convey("its job fails and the others are done", func() {
				sim.run(60 * time.Second)
				So(sim.finalState(deadly), ShouldEqual, StateFailed)
			})
			Convey("also under several leaders", func() {
				for at := 5 * time.Second; at < 40*time.Second; at += 7 * time.Second {
					sim.after(at, sim.takeOver)
				}
				sim.run(90 * time.Second)
				So(sim.finalState(deadly), ShouldEqual, StateFailed)
			})
			So(sim.violations, ShouldBeEmpty)
			for _, id := range innocent {
				So(sim.finalState(id), ShouldEqual, StateCompleted)
			}
		})
	}
}

// TestInnocentTasksSurviveDeadlyOnes guards against a crowd of suspects that start beside each other: an innocent one was
// blamed again and again for what the deadly ones did, until it was given up.
func TestInnocentTasksSurviveDeadlyOnes(t *testing.T) {
	Convey("Of 400 jobs on four workers, ten crash their workers", t, func() {
		for seed := range uint64(2) {
			sim := newSimulation(seed, 4)
			sim.renames = seed == 0
			sim.run(300 * time.Millisecond)
			for n := range 400 {
				if n >= 100 && n < 300 && n%20 == 0 {
					sim.deadly[jobID(n)+".0.0.0"] = deadlyDelay
				}
				sim.after(time.Duration(n)*50*time.Millisecond, func() {
					sim.submitAll(n, 1, newStep(1, 1000, 300*time.Millisecond))
				})
			}
			sim.run(100 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			for n := range 400 {
				want := StateCompleted
				if _, ok := sim.deadly[jobID(n)+".0.0.0"]; ok {
					want = StateFailed
				}
				So(sim.finalState(jobID(n)), ShouldEqual, want)
			}
		}
	})
}
