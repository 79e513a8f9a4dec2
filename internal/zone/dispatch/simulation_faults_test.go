package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// newStep returns a step of short tasks.
func newStep(tasks int, cores int64, estimate time.Duration, after ...int) workflow.Step {
	return workflow.Step{
		Tasks: tasks, Size: fleet.Size{Cores: cores, Memory: 500}, Estimate: estimate, DependsOn: after, MaxUnavailable: -1,
	}
}

// jobID returns the ID of the job with the number.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// submitJobs submits a mix of jobs over some seconds and cancels some of them.
func (sim *simulation) submitJobs(jobs int) {
	for i := range jobs {
		spec := workflow.Spec{Payload: "x", Steps: []workflow.Step{
			newStep(1+sim.rng.IntN(6), 500+int64(sim.rng.IntN(2000)), time.Duration(100+sim.rng.IntN(900))*time.Millisecond),
		}}
		switch sim.rng.IntN(4) {
		case 0:
			spec.Steps = append(spec.Steps, newStep(1+sim.rng.IntN(4), 1000, 300*time.Millisecond, 0))
		case 1:
			spec.Steps[0].BestEffort = true
		case 2:
			spec.Steps[0].LongRunning = sim.rng.IntN(3) == 0
		}
		if sim.racks != nil {
			sim.drawRacks(&spec)
		}
		id := jobID(i)
		sim.after(time.Duration(sim.rng.IntN(6000))*time.Millisecond, func() { sim.submit(id, spec) })
		if sim.rng.IntN(10) == 0 {
			sim.after(time.Duration(6000+sim.rng.IntN(3000))*time.Millisecond, func() {
				if r := sim.leader.s.Cancel(sim.now, id, ""); r.Outcome == OutcomeAccepted {
					sim.confirmCancel(sim.leader, id, r.Batch)
				}
			})
		}
	}
}

// drawRacks gives most steps a data rack: one of those of the workers, or one without any.
func (sim *simulation) drawRacks(spec *workflow.Spec) {
	for i := range spec.Steps {
		spec.Steps[i].DataRack = []string{"", "z0", "z0", "z1", "none"}[sim.racks.IntN(5)]
	}
}

// confirmCancel notes the cancellation of a job once it is durable.
func (sim *simulation) confirmCancel(l *simLeader, id string, k BatchID) {
	switch {
	case l != sim.leader:
		return
	case l.s.CommittedBatch() >= k:
		sim.cancelled[id] = sim.now
	default:
		sim.after(50*time.Millisecond, func() { sim.confirmCancel(l, id, k) })
	}
}

func TestJobDoesNotStartBeforeItsAcceptanceIsDurable(t *testing.T) {
	Convey("While the log is unavailable, an accepted job waits", t, func() {
		sim := newSimulation(1, 3)
		sim.run(500 * time.Millisecond)
		sim.storeDown = true
		sim.submit(jobID(1), workflow.Spec{Steps: []workflow.Step{newStep(2, 1000, time.Second)}})
		sim.run(time.Second)
		for _, sw := range sim.workers {
			So(sw.runs, ShouldBeEmpty)
		}
		Convey("and starts once when the log is available again, under another leader", func() {
			sim.storeDown = false
			sim.takeOver()
			sim.run(4 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.done, ShouldHaveLength, 2)
		})
	})
}

// firstLongTask is the number of the first job of long tasks, which is higher than those of all others.
const firstLongTask = 100

// firstRecurring is the number of the first recurring job.
const firstRecurring = 200

// faultOptions says what playFaults adds to its faults.
type faultOptions struct {
	// outlives is set if calls that a worker carries out late outlive its restart.
	outlives bool
	// recurring is set if there are recurring jobs, and hosts whose times of day differ. A record of the log then holds only
	// a few occurrences.
	recurring bool
	// racks is set if steps have their data in racks.
	racks bool
	// losses is set if leaders read the list of workers, and some workers are lost for good or cut off for a while.
	losses bool
}

// smallRecord is the size in bytes of a record that holds the progress of a few occurrences and the specification of any job.
const smallRecord = 1100

// playFaults plays a random mix of faults.
func playFaults(t *rapid.T, opts faultOptions) (sim *simulation, seed uint64) {
	seed = rapid.Uint64().Draw(t, "seed")
	limits := testLimits()
	limits.MaxLease = time.Duration(rapid.SampledFrom([]int{6, 10, 30}).Draw(t, "lease")) * time.Second
	if opts.recurring {
		limits.MaxRecord = smallRecord
	}
	sim = newLimitedSimulation(seed, rapid.IntRange(2, 6).Draw(t, "workers"), limits)
	sim.outlives = opts.outlives
	if opts.racks {
		sim.racks = rand.New(rand.NewPCG(seed, 8))
	}
	sim.drawTeams(seed)
	if opts.recurring {
		sim.maxSkew = time.Duration(rapid.SampledFrom([]int{0, 200, 400}).Draw(t, "skew")) * time.Millisecond
		sim.submitRecurring(firstRecurring, rapid.IntRange(1, 4).Draw(t, "recurring"))
	}
	sim.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "lossy")
	sim.delayRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "late")
	sim.failRate = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "failures")
	sim.submitJobs(rapid.IntRange(1, 25).Draw(t, "jobs"))
	sim.submitLongTasks(firstLongTask, rapid.SampledFrom([]int{0, 2, 4}).Draw(t, "long tasks"))
	sim.renames = rapid.Bool().Draw(t, "renames")
	for range rapid.IntRange(0, 2).Draw(t, "deadly") {
		sim.deadly[jobID(rapid.IntRange(0, 24).Draw(t, "job"))+".0.0.0"] = deadlyDelay
	}
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		at := time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond
		long := time.Duration(rapid.IntRange(100, 5000).Draw(t, "long")) * time.Millisecond
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			sim.after(at, sim.takeOver)
		case 1:
			sw := sim.workers[rapid.IntRange(0, len(sim.workers)-1).Draw(t, "worker")]
			sim.after(at, func() { sim.crash(sw, long) })
		case 2:
			sim.after(at, func() { sim.storeDown = true })
			sim.after(at+long, func() { sim.storeDown = false })
		case 3:
			sim.after(at, func() {
				sim.takeOver()
				sim.after(50*time.Millisecond, sim.takeOver)
			})
		case 4:
			sim.after(at, sim.handOver)
			sim.after(at+long, sim.handOver)
		case 5:
			sw := sim.workers[rapid.IntRange(0, len(sim.workers)-1).Draw(t, "worker")]
			sim.after(at, func() { sim.restart(sw) })
		}
	}
	if opts.losses {
		sim.drawLosses(t)
	}
	sim.drawDepartures(t)
	sim.run(16 * time.Second)
	sim.lossRate, sim.delayRate, sim.storeDown, sim.failRate = 0, 0, false, 0
	sim.liftQuotas()
	sim.run(20 * time.Second)
	// Long-running jobs may leave no room for the others.
	for id := range sim.accepted {
		if j := sim.leader.s.jobs[id]; j != nil && j.spec.HasLongRunning() {
			sim.leader.s.Cancel(sim.now, id, "")
		}
	}
	sim.run(25 * time.Second)
	sim.run(time.Duration(len(sim.deadly)) * 25 * time.Second)
	return sim, seed
}

// TestInvariantsUnderFaults plays random mixes of faults and checks that no invariant is violated and all work is done.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkInvariants(t, faultOptions{}) })
}

// TestRecurringJobsUnderFaults guards against tasks of recurring jobs that run again under the next leader, which doesn't know
// that their occurrences have begun, or whose time of day is behind that of the former one.
func TestRecurringJobsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkInvariants(t, faultOptions{recurring: true}) })
}

// TestDataRacksUnderFaults guards against tasks with a data rack that are lost, wait without end or run twice when the workers of
// the rack or the leader fail.
func TestDataRacksUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkInvariants(t, faultOptions{racks: true}) })
}

// checkInvariants plays a random mix of faults and checks that no invariant is violated and all work is done.
func checkInvariants(t *rapid.T, opts faultOptions) {
	sim, seed := playFaults(t, opts)
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d: %d violations, first: %s", seed, len(sim.violations), sim.violations[0])
	}
	for id := range sim.accepted {
		j := sim.leader.s.jobs[id]
		if j == nil {
			t.Fatalf("seed %d: accepted job %s is not known", seed, id)
		}
		if j.finalState == StateFailed && !sim.mayFail(id) {
			t.Fatalf("seed %d: job %s was given up", seed, id)
		}
		if !j.isFinal() && !j.spec.HasLongRunning() {
			t.Fatalf("seed %d: job %s is not done: %s", seed, id, describe(sim, j))
		}
	}
}

// TestNoOverlapUnderLateCalls guards against two runs of a task of which one was started by an order that got no answer and
// was carried out by the next boot of its worker.
func TestNoOverlapUnderLateCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if sim, seed := playFaults(t, faultOptions{outlives: true}); len(sim.overlaps) > 0 {
			t.Fatalf("seed %d: %d overlaps, first: %s", seed, len(sim.overlaps), sim.overlaps[0])
		}
	})
}

// TestInvariantsUnderLateCalls guards against a run of a task that is done or cancelled which was started by an order that
// got no answer and was carried out by the next boot of its worker, before the worker was told to refuse it.
func TestInvariantsUnderLateCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if sim, seed := playFaults(t, faultOptions{outlives: true}); len(sim.violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(sim.violations), sim.violations[0])
		}
	})
}

// describe returns the state of a job's stages and of the workers for a failure message.
func describe(sim *simulation, j *Job) string {
	out := ""
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			out += fmt.Sprintf("[step %d of %d tasks: waiting %d done %d open dependencies %d in ready list %v]",
				st.index, len(st.tasks), st.waiting, st.done, st.openDependencies, st.inReady)
		}
	}
	for _, wk := range sim.leader.s.workers {
		out += fmt.Sprintf(" %s(usable %v used %+v runs %d failed %d)",
			wk.ID, wk.isUsable(), wk.used, len(wk.runs), wk.health.consecutiveFailures)
	}
	return out
}

func TestHaltedSchedulerStartsNothing(t *testing.T) {
	Convey("A leader that may not give orders uses no run numbers, and starts tasks when it may again", t, func() {
		sim := newSimulation(3, 2)
		sim.run(300 * time.Millisecond)
		s := sim.leader.s
		s.SetHalted(true)
		sim.submit(jobID(1), workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second)}})
		sim.run(time.Second)
		So(s.findTask(jobID(1)+".0.0.0").lastRun, ShouldEqual, 0)
		s.SetHalted(false)
		sim.run(3 * time.Second)
		So(sim.done, ShouldHaveLength, 1)
	})
}

func TestWithdraw(t *testing.T) {
	Convey("A job that was not handed to the log can be withdrawn and then never runs", t, func() {
		sim := newSimulation(4, 2)
		sim.run(300 * time.Millisecond)
		sim.storeDown = true
		s := sim.leader.s
		spec := workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, 100*time.Millisecond)}}
		s.Submit(sim.now, Request{ID: jobID(1), Queue: queueName, Spec: spec, WallTime: sim.now})
		So(s.Withdraw(jobID(1)), ShouldBeTrue)
		So(s.HasJob(jobID(1)), ShouldBeFalse)
		sim.storeDown = false
		sim.run(time.Second)
		So(sim.log, ShouldNotContainKey, prefixJob+jobID(1))
	})
	Convey("A job in a batch that is being written can't be withdrawn", t, func() {
		sim := newSimulation(4, 2)
		sim.run(300 * time.Millisecond)
		s := sim.leader.s
		s.Submit(sim.now, Request{
			ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 1, 1)}},
			WallTime: sim.now,
		})
		_, ok := s.TakeBatch()
		So(ok, ShouldBeTrue)
		So(s.Withdraw(jobID(1)), ShouldBeFalse)
	})
}

func TestStoppedTaskKeepsItsRoomUntilItsEndIsListed(t *testing.T) {
	Convey("A worker that lists a stopping run neither as running nor as ended gets no task in its place", t, func() {
		for seed := range uint64(5) {
			sim := newSimulation(seed, 1)
			sim.run(300 * time.Millisecond)
			for n := range 30 {
				id := jobID(n)
				at := time.Duration(n) * 200 * time.Millisecond
				sim.after(at, func() {
					sim.submit(id, workflow.Spec{Steps: []workflow.Step{newStep(2, 3000, 5*time.Second)}})
				})
				sim.after(at+700*time.Millisecond, func() { sim.leader.s.Cancel(sim.now, id, "") })
			}
			sim.run(12 * time.Second)
			So(sim.violations, ShouldBeEmpty)
		}
	})
}
