package dispatch

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// resize changes the capacity of the worker w of newStopScheduler.
func resize(s *Scheduler, now time.Time, cores, memory int64) {
	s.SetWorker(now, Registration{
		ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: cores, Memory: memory},
	})
}

// submitStep submits a job of one step.
func submitStep(s *Scheduler, now time.Time, n int, step workflow.Step) Reply {
	return s.Submit(now, Request{
		ID: jobID(n), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
	})
}

// newInterferenceScenario returns a scheduler whose worker runs a long-running and a best-effort task, and a function
// that reports the given readings of both.
func newInterferenceScenario(now time.Time) (s *Scheduler, report func(at time.Time, tail, use int)) {
	s = newStopScheduler(now, 1)
	s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
	longRunning, bestEffort := newStep(1, 2000, time.Second), newStep(1, 2000, time.Minute)
	longRunning.LongRunning, longRunning.Image, longRunning.TargetLatency = true, "serve", 50*time.Millisecond
	bestEffort.BestEffort, bestEffort.Image = true, "fill"
	submitStep(s, now, 1, longRunning)
	submitStep(s, now, 2, bestEffort)
	commitAll(s)
	s.Decide(now, now)
	commitAll(s)
	s.Decide(now, now)
	return s, func(at time.Time, tail, use int) {
		s.HandleReport(at, Report{
			Worker: "w", Boot: 1, Clock: 1000 + at.Sub(simEpoch).Milliseconds(), Running: []RunReport{
				{Task: jobID(1) + ".0.0.0", Number: 1, Progress: 100, Reading: tail},
				{Task: jobID(2) + ".0.0.0", Number: 1, Progress: 10, Reading: use},
			},
		})
	}
}

// TestResizeIsNoInterference guards against a change of a worker's capacity that is taken for one of its load, and
// against margins that were computed for the capacity before.
func TestResizeIsNoInterference(t *testing.T) {
	Convey("A long-running and a best-effort task share a worker", t, func() {
		now := simEpoch
		s, report := newInterferenceScenario(now)
		report(now.Add(500*time.Millisecond), 10, 2000)
		report(now.Add(time.Second), 10, 2000)
		w := s.workers["w"]
		before := s.margins(now, w)[0].margin
		resize(s, now, 4000, 4000)
		Convey("the pressure of a best-effort task counts against the new capacity at once", func() {
			So(s.margins(now, w)[0].margin, ShouldBeLessThan, before)
		})
		Convey("the same use of fewer cores teaches nothing", func() {
			report(now.Add(1500*time.Millisecond), 10, 2000)
			So(s.interference.coefficient("serve", "fill"), ShouldEqual, priorCoefficient)
			Convey("and a later change of the use does", func() {
				report(now.Add(2*time.Second), 20, 3000)
				So(s.interference.coefficient("serve", "fill"), ShouldNotEqual, priorCoefficient)
			})
		})
		Convey("a worker without cores teaches nothing either", func() {
			resize(s, now, 0, 8000)
			report(now.Add(1500*time.Millisecond), 10, 2000)
			report(now.Add(2*time.Second), 11, 1900)
			So(s.interference.coefficient("serve", "fill"), ShouldEqual, priorCoefficient)
		})
	})
}

// TestShrunkWorkerTakesOnlyWhatFits guards against a start for which a worker that has shrunk has no room, and against a
// task that doesn't notice that the room is back.
func TestShrunkWorkerTakesOnlyWhatFits(t *testing.T) {
	now := simEpoch
	Convey("A worker that runs 6 of 8 cores shrinks to 4", t, func() {
		s, running := newStopScenario(now)
		r := s.workers["w"].runs[runKey{running.Task, running.Number}]
		end := func(reason EndReason) {
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1100, Ended: []EndReport{
				{Serial: 1, Task: running.Task, Number: running.Number, Reason: reason},
			}})
		}
		resize(s, now, 4000, 8000)
		small, bestEffort := newStep(1, 1000, time.Second), newStep(1, 1000, time.Second)
		bestEffort.BestEffort = true
		submitStep(s, now, 2, small)
		submitStep(s, now, 3, bestEffort)
		commitAll(s)
		Convey("its task stays, and nothing starts beside it", func() {
			So(s.Decide(now, now), ShouldBeEmpty)
			So(s.stops, ShouldBeEmpty)
			Convey("until it is done", func() {
				end(EndDone)
				So(startsOf(s, now), ShouldEqual, 2)
			})
			Convey("or the worker has grown again", func() {
				resize(s, now, 8000, 8000)
				So(startsOf(s, now), ShouldEqual, 2)
			})
		})
		Convey("nothing starts while its task is being stopped", func() {
			s.stopRun(r, "test")
			commitAll(s)
			So(startsOf(s, now), ShouldEqual, 0)
			end(EndStopped)
			So(startsOf(s, now), ShouldEqual, 2)
		})
		Convey("nothing starts while a start has no answer", func() {
			r.phase, r.confirmed, r.confirmedClock = phaseUnanswered, false, 0
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: r.startUntil})
			So(startsOf(s, now), ShouldEqual, 0)
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: r.startUntil + 1})
			So(startsOf(s, now), ShouldEqual, 2)
		})
	})
	Convey("Less memory counts as fewer cores do", t, func() {
		s, _ := newStopScenario(now)
		submitStep(s, now, 2, newStep(1, 1000, time.Second))
		commitAll(s)
		resize(s, now, 8000, 999)
		So(startsOf(s, now), ShouldEqual, 0)
		resize(s, now, 8000, 1000)
		So(startsOf(s, now), ShouldEqual, 1)
	})
	Convey("A gang starts with all members once the workers together have room again", t, func() {
		s := newStopScheduler(now, 1)
		s.SetWorker(now, Registration{ID: "v", Boot: 1, Service: "svc", Capacity: fleet.Size{Cores: 8000, Memory: 8000}})
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		s.HandleReport(now, Report{Worker: "v", Boot: 1, Clock: 1000})
		resize(s, now, 4000, 8000)
		gang := newStep(4, 3000, time.Second)
		gang.Gang = true
		submitStep(s, now, 1, gang)
		commitAll(s)
		So(startsOf(s, now), ShouldEqual, 0)
		resize(s, now, 8000, 8000)
		So(startsOf(s, now), ShouldEqual, 4)
	})
	Convey("A worker with no room or less than none has scores, and takes nothing", t, func() {
		for _, capacity := range []fleet.Size{{}, {Cores: 1, Memory: 1}, {Cores: -8000, Memory: -8000}} {
			s, report := newInterferenceScenario(now)
			resize(s, now, capacity.Cores, capacity.Memory)
			report(now.Add(500*time.Millisecond), 40, 2000)
			report(now.Add(time.Second), 60, 1000)
			for n, kind := range []func(*workflow.Step){
				func(*workflow.Step) {}, func(st *workflow.Step) { st.BestEffort = true },
				func(st *workflow.Step) { st.LongRunning = true },
			} {
				step := newStep(1, 1000, time.Second)
				kind(&step)
				submitStep(s, now, 3+n, step)
				score := s.score(now, s.jobs[jobID(3+n)].openOccurrences[0].stages[0].tasks[0], s.workers["w"], nil)
				So(math.IsNaN(score), ShouldBeFalse)
			}
			commitAll(s)
			So(startsOf(s, now.Add(time.Second)), ShouldEqual, 0)
			So(s.workers["w"].scarcity, ShouldBeBetweenOrEqual, 0, maxScarcity)
		}
	})
}

// TestOnlyResizesAreLogged guards against a log line for each worker that a new leader lists for the first time.
func TestOnlyResizesAreLogged(t *testing.T) {
	Convey("A leader has restored a worker, whose capacity is not known until it is listed", t, func() {
		s := New(testLimits(), 2, 2)
		value := encode(&workerRecord{Boot: 1, Service: "svc"})
		So(s.Restore(simEpoch, simEpoch, []Record{{Key: prefixWorker + "w", Value: value}}, simEpoch), ShouldBeEmpty)
		resize(s, simEpoch, 8000, 8000)
		So(s.Events(), ShouldBeEmpty)
		resize(s, simEpoch, 8000, 4000)
		So(s.Events(), ShouldHaveLength, 1)
	})
}

// TestNoStartBringsResizedWorkerOverItsRoom changes the capacities of workers at random while orders are late or
// unanswered, and checks that no start that was decided after a report brings the worker over the reported room, and that
// all work is done once the workers have grown again.
func TestNoStartBringsResizedWorkerOverItsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		sim := newSimulation(seed, rapid.IntRange(1, 4).Draw(t, "workers"))
		full := sim.workers[0].capacity
		sim.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lossy")
		sim.delayRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "late")
		sim.submitJobs(rapid.IntRange(5, 25).Draw(t, "jobs"))
		at := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond
		})
		for range rapid.IntRange(1, 20).Draw(t, "resizes") {
			sw := sim.workers[rapid.IntRange(0, len(sim.workers)-1).Draw(t, "worker")]
			capacity := fleet.Size{
				Cores: rapid.Int64Range(0, full.Cores).Draw(t, "cores"), Memory: rapid.Int64Range(0, full.Memory).Draw(t, "memory"),
			}
			sim.after(at.Draw(t, "at"), func() { sim.resize(sw, capacity) })
		}
		for range rapid.IntRange(0, 3).Draw(t, "takeovers") {
			sim.after(at.Draw(t, "takeover"), sim.takeOver)
		}
		for range rapid.IntRange(0, 2).Draw(t, "crashes") {
			sw := sim.workers[rapid.IntRange(0, len(sim.workers)-1).Draw(t, "worker")]
			sim.after(at.Draw(t, "crash"), func() { sim.crash(sw, time.Second) })
		}
		sim.run(10 * time.Second)
		sim.lossRate, sim.delayRate = 0, 0
		for _, sw := range sim.workers {
			sim.resize(sw, full)
		}
		sim.run(5 * time.Second)
		// Also jobs whose acceptance no caller has seen: they keep their room as well.
		for id, j := range sim.leader.s.jobs {
			if j.spec.HasLongRunning() {
				sim.leader.s.Cancel(sim.now, id, "")
			}
		}
		sim.run(30 * time.Second)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(sim.violations), sim.violations[0])
		}
		for id := range sim.accepted {
			if j := sim.leader.s.jobs[id]; j == nil || !j.isFinal() {
				t.Fatalf("seed %d: job %s is not done: %s", seed, id, describe(sim, j))
			}
		}
	})
}
