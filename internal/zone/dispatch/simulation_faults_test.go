package dispatch

import (
	"fmt"
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
func (w *simulation) submitJobs(jobs int) {
	for i := range jobs {
		spec := workflow.Spec{Payload: "x", Steps: []workflow.Step{
			newStep(1+w.rng.IntN(6), 500+int64(w.rng.IntN(2000)), time.Duration(100+w.rng.IntN(900))*time.Millisecond),
		}}
		switch w.rng.IntN(4) {
		case 0:
			spec.Steps = append(spec.Steps, newStep(1+w.rng.IntN(4), 1000, 300*time.Millisecond, 0))
		case 1:
			spec.Steps[0].BestEffort = true
		case 2:
			spec.Steps[0].LongRunning = w.rng.IntN(3) == 0
		}
		id := jobID(i)
		w.after(time.Duration(w.rng.IntN(6000))*time.Millisecond, func() { w.submit(id, spec) })
		if w.rng.IntN(10) == 0 {
			w.after(time.Duration(6000+w.rng.IntN(3000))*time.Millisecond, func() {
				if r := w.leader.s.Cancel(w.now, id); r.Outcome == OutcomeAccepted {
					w.confirmCancel(w.leader, id, r.Batch)
				}
			})
		}
	}
}

// confirmCancel notes the cancellation of a job once it is durable.
func (w *simulation) confirmCancel(l *simLeader, id string, k BatchID) {
	switch {
	case l != w.leader:
		return
	case l.s.CommittedBatch() >= k:
		w.cancelled[id] = w.now
	default:
		w.after(50*time.Millisecond, func() { w.confirmCancel(l, id, k) })
	}
}

func TestJobDoesNotStartBeforeItsAcceptanceIsDurable(t *testing.T) {
	Convey("While the log is unavailable, an accepted job waits", t, func() {
		w := newSimulation(1, 3)
		w.run(500 * time.Millisecond)
		w.storeDown = true
		w.submit(jobID(1), workflow.Spec{Steps: []workflow.Step{newStep(2, 1000, time.Second)}})
		w.run(time.Second)
		for _, sw := range w.workers {
			So(sw.runs, ShouldBeEmpty)
		}
		Convey("and starts once when the log is available again, under another leader", func() {
			w.storeDown = false
			w.takeOver()
			w.run(4 * time.Second)
			So(w.violations, ShouldBeEmpty)
			So(w.done, ShouldHaveLength, 2)
		})
	})
}

// TestInvariantsUnderFaults plays random mixes of faults and checks that no invariant is violated and all work is done.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newSimulation(seed, rapid.IntRange(2, 6).Draw(t, "workers"))
		w.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "lossy")
		w.delayRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "late")
		w.failRate = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "failures")
		w.submitJobs(rapid.IntRange(1, 25).Draw(t, "jobs"))
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond
			long := time.Duration(rapid.IntRange(100, 5000).Draw(t, "long")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				w.after(at, w.takeOver)
			case 1:
				sw := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")]
				w.after(at, func() { w.crash(sw, long) })
			case 2:
				w.after(at, func() { w.storeDown = true })
				w.after(at+long, func() { w.storeDown = false })
			case 3:
				w.after(at, func() {
					w.takeOver()
					w.after(50*time.Millisecond, w.takeOver)
				})
			}
		}
		w.run(16 * time.Second)
		w.lossRate, w.delayRate, w.storeDown, w.failRate = 0, 0, false, 0
		w.run(20 * time.Second)
		// Long-running jobs may leave no room for the others.
		for id := range w.accepted {
			if j := w.leader.s.jobs[id]; j != nil && j.spec.HasLongRunning() {
				w.leader.s.Cancel(w.now, id)
			}
		}
		w.run(25 * time.Second)
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(w.violations), w.violations[0])
		}
		for id := range w.accepted {
			j := w.leader.s.jobs[id]
			if j == nil {
				t.Fatalf("seed %d: accepted job %s is not known", seed, id)
			}
			if !j.isFinal() && !j.spec.HasLongRunning() {
				t.Fatalf("seed %d: job %s is not done: %s", seed, id, describe(w, j))
			}
		}
	})
}

// describe returns the state of a job's stages and of the workers for a failure message.
func describe(w *simulation, j *Job) string {
	out := ""
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			out += fmt.Sprintf("[step %d of %d tasks: waiting %d done %d open dependencies %d in ready list %v]",
				st.index, len(st.tasks), st.waiting, st.done, st.openDependencies, st.inReady)
		}
	}
	for _, wk := range w.leader.s.workers {
		out += fmt.Sprintf(" %s(usable %v used %+v runs %d failed %d)",
			wk.ID, wk.isUsable(), wk.used, len(wk.runs), wk.health.consecutiveFailures)
	}
	return out
}

func TestHaltedSchedulerStartsNothing(t *testing.T) {
	Convey("A leader that may not give orders uses no run numbers, and starts tasks when it may again", t, func() {
		w := newSimulation(3, 2)
		w.run(300 * time.Millisecond)
		s := w.leader.s
		s.SetHalted(true)
		w.submit(jobID(1), workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second)}})
		w.run(time.Second)
		So(s.findTask(jobID(1)+".0.0.0").lastRun, ShouldEqual, 0)
		s.SetHalted(false)
		w.run(3 * time.Second)
		So(w.done, ShouldHaveLength, 1)
	})
}

func TestWithdraw(t *testing.T) {
	Convey("A job that was not handed to the log can be withdrawn and then never runs", t, func() {
		w := newSimulation(4, 2)
		w.run(300 * time.Millisecond)
		w.storeDown = true
		s := w.leader.s
		spec := workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, 100*time.Millisecond)}}
		s.Submit(w.now, Request{ID: jobID(1), Queue: queueName, Spec: spec, WallTime: w.now})
		So(s.Withdraw(jobID(1)), ShouldBeTrue)
		So(s.HasJob(jobID(1)), ShouldBeFalse)
		w.storeDown = false
		w.run(time.Second)
		So(w.log, ShouldNotContainKey, prefixJob+jobID(1))
	})
	Convey("A job in a batch that is being written can't be withdrawn", t, func() {
		w := newSimulation(4, 2)
		w.run(300 * time.Millisecond)
		s := w.leader.s
		s.Submit(w.now, Request{
			ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 1, 1)}},
			WallTime: w.now,
		})
		_, ok := s.TakeBatch()
		So(ok, ShouldBeTrue)
		So(s.Withdraw(jobID(1)), ShouldBeFalse)
	})
}

func TestStoppedTaskKeepsItsRoomUntilItsEndIsListed(t *testing.T) {
	Convey("A worker that lists a stopping run neither as running nor as ended gets no task in its place", t, func() {
		for seed := range uint64(5) {
			w := newSimulation(seed, 1)
			w.run(300 * time.Millisecond)
			for n := range 30 {
				id := jobID(n)
				at := time.Duration(n) * 200 * time.Millisecond
				w.after(at, func() {
					w.submit(id, workflow.Spec{Steps: []workflow.Step{newStep(2, 3000, 5*time.Second)}})
				})
				w.after(at+700*time.Millisecond, func() { w.leader.s.Cancel(w.now, id) })
			}
			w.run(12 * time.Second)
			So(w.violations, ShouldBeEmpty)
		}
	})
}
