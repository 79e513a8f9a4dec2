package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lose ends a worker for good without a word to anyone.
func (sim *simulation) lose(sw *simWorker) {
	sw.down = true
	sw.runs, sw.ended = map[runKey]*simRun{}, nil
	sim.after(time.Duration(sim.rng.IntN(500))*time.Millisecond, func() { sim.listWorkers(sim.leader) })
}

// drainAndLeave has a worker drain, and after the given time close its connections and leave.
func (sim *simulation) drainAndLeave(sw *simWorker, d time.Duration) {
	sw.draining = true
	sim.listWorkers(sim.leader)
	sim.after(d, func() {
		sw.left = true
		sim.lose(sw)
	})
}

// longestAbsence runs the simulation for the given time and returns the longest time for which a task of the
// long-running jobs ran on no worker.
func (sim *simulation) longestAbsence(d time.Duration, ids []string) time.Duration {
	var longest time.Duration
	away := map[string]time.Duration{}
	for end := sim.now.Add(d); sim.now.Before(end); {
		last := sim.now
		sim.advance()
		running := map[string]bool{}
		for _, sw := range sim.workers {
			for k := range sw.runs {
				running[k.task] = true
			}
		}
		for _, id := range ids {
			away[id] += sim.now.Sub(last)
			if running[id+".0.0.0"] {
				away[id] = 0
			}
			longest = max(longest, away[id])
		}
	}
	return longest
}

// newLongRunningSimulation returns a deployment whose platform allows leases of the given length, with one long-running
// task on each of six workers and room for as many on four others.
func newLongRunningSimulation(seed uint64, maxLease time.Duration) (*simulation, []string) {
	limits := testLimits()
	limits.MaxLease = maxLease
	sim := newLimitedSimulation(seed, 10, limits)
	sim.run(500 * time.Millisecond)
	step := newStep(1, 6000, 0)
	step.LongRunning = true
	ids := sim.submitAll(0, 6, step)
	sim.run(6 * time.Second)
	return sim, ids
}

// busyWorkers returns the workers that run a task.
func (sim *simulation) busyWorkers() []*simWorker {
	return slices.DeleteFunc(slices.Clone(sim.workers), func(sw *simWorker) bool { return len(sw.runs) == 0 })
}

// leaderChangeCases calls fn for simulations of platforms that allow leases of different lengths.
func leaderChangeCases(t *testing.T, title string, fn func(sim *simulation)) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second, 30 * time.Second} {
		for seed := range uint64(3) {
			Convey(fmt.Sprintf("With leases of at most %v, seed %d, %s", maxLease, seed, title), t, func() {
				sim, ids := newLongRunningSimulation(seed, maxLease)
				fn(sim)
				So(sim.longestAbsence(30*time.Second, ids), ShouldBeLessThan, maxLongRunningWait)
				So(sim.violations, ShouldBeEmpty)
			})
		}
	}
}

// TestLostWorkerBeforeChangesOfLeader guards against long-running tasks that wait for the longest lease of the platform,
// counted anew at each change of leader.
func TestLostWorkerBeforeChangesOfLeader(t *testing.T) {
	leaderChangeCases(t, "a worker is lost right before the leader is stopped, and the next one is stopped as well",
		func(sim *simulation) {
			sim.lose(sim.busyWorkers()[0])
			sim.after(200*time.Millisecond, sim.handOver)
			sim.after(6*time.Second, sim.handOver)
		})
}

// TestWorkersLeaveDuringChangesOfLeader guards against long-running tasks that wait for workers which leave one after the
// other while leaders change.
func TestWorkersLeaveDuringChangesOfLeader(t *testing.T) {
	leaderChangeCases(t, "workers leave one a second while the leader is stopped three times",
		func(sim *simulation) {
			for n, sw := range sim.busyWorkers()[:4] {
				sim.after(time.Duration(n)*time.Second, func() { sim.drainAndLeave(sw, 5*time.Second) })
			}
			for _, at := range []time.Duration{4900, 10900, 16900} {
				sim.after(at*time.Millisecond, sim.handOver)
			}
		})
}
