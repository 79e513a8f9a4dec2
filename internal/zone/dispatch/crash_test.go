package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
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

// mayFail reports whether the job has a deadly task, or one that has failed too often.
func (sim *simulation) mayFail(id string) bool {
	for task := range sim.deadly {
		if strings.HasPrefix(task, id+".") {
			return true
		}
	}
	for task, n := range sim.failedRuns {
		if strings.HasPrefix(task, id+".") && n >= maxTaskAttempts {
			return true
		}
	}
	return false
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

// TestInnocentTasksSurviveDeadlyOnes guards against a crowd of suspects that start beside each other: an innocent one
// was blamed again and again for what the deadly ones did, until it was given up.
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

// crashScenario is a scheduler in which a job with one task has been started on the worker "w".
type crashScenario struct {
	s     *Scheduler
	now   time.Time
	task  *task
	order Order
}

// newCrashScenario returns a scenario in which the worker has confirmed the start at 1010 ms of its clock.
func newCrashScenario(step workflow.Step) *crashScenario {
	c := &crashScenario{s: newStopScheduler(simEpoch, 1), now: simEpoch}
	c.report("w", 1, 1000)
	c.s.Submit(c.now, Request{
		ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: c.now,
	})
	commitAll(c.s)
	c.order = c.s.Decide(c.now, c.now)[0]
	c.s.HandleStartAnswer(c.now, c.order, AnswerDone, 1010)
	c.task = c.s.findTask(c.order.Task)
	return c
}

// report hands over the answer of a worker that lists no runs.
func (c *crashScenario) report(id string, boot, clock int64) {
	c.s.HandleReport(c.now, Report{Worker: id, Boot: boot, Clock: clock})
}

// list adds a worker to the platform's list.
func (c *crashScenario) list(id string, boot int64, draining bool) {
	c.s.SetWorker(c.now, Registration{
		ID: id, Boot: boot, Service: "svc", Address: "w", Draining: draining,
		Capacity: fleet.Size{Cores: 8000, Memory: 8000},
	})
}

// lapse lets the leases of the worker lapse.
func (c *crashScenario) lapse() {
	c.s.HandleRenewalFailure(c.now, "w")
	c.now = c.now.Add(10 * time.Second)
	c.s.Decide(c.now, c.now)
}

// crashes returns the number of crashes blamed on the task.
func (c *crashScenario) crashes() int {
	c.s.Decide(c.now, c.now)
	if u := c.s.suspicionOf(c.task); u != nil {
		return len(u.crashes)
	}
	return 0
}

// TestWhichWorkersHaveCrashed guards against tasks that are blamed because their worker was cut off or left, and
// against crashes that go unnoticed because the worker is back under another ID.
func TestWhichWorkersHaveCrashed(t *testing.T) {
	Convey("A run is lost with its worker", t, func() {
		c := newCrashScenario(newStep(1, 1000, time.Second))
		Convey("which stays listed and answers again: not a crash", func() {
			c.lapse()
			So(c.crashes(), ShouldEqual, 0)
			c.report("w", 1, 12000)
			c.s.DropWorker(c.now, "w")
			So(c.crashes(), ShouldEqual, 0)
		})
		Convey("which drains and leaves: not a crash", func() {
			c.list("w", 1, true)
			c.s.DropWorker(c.now, "w")
			c.lapse()
			So(c.crashes(), ShouldEqual, 0)
		})
		Convey("which leaves the list, before or after: a crash, until the same boot answers", func() {
			c.s.DropWorker(c.now, "w")
			c.lapse()
			So(c.crashes(), ShouldEqual, 1)
			c.list("w", 1, false)
			So(c.crashes(), ShouldEqual, 1)
			c.report("w", 1, 12000)
			So(c.crashes(), ShouldEqual, 0)
		})
		Convey("in whose place another one answers later: a crash", func() {
			c.lapse()
			c.list("v", 2, false)
			c.report("v", 2, 1)
			So(c.crashes(), ShouldEqual, 1)
		})
		Convey("in whose place another one answers before: a crash", func() {
			c.list("v", 2, false)
			c.report("v", 2, 1)
			c.lapse()
			So(c.crashes(), ShouldEqual, 1)
		})
		Convey("at whose address another boot answers: a crash", func() {
			c.lapse()
			c.s.HandleRenewalRestart("w")
			So(c.crashes(), ShouldEqual, 1)
			c.report("w", 2, 10)
			So(c.crashes(), ShouldEqual, 1)
		})
		Convey("which answers as another boot at once: a crash", func() {
			c.report("w", 2, 10)
			So(c.crashes(), ShouldEqual, 1)
		})
		Convey("which has answered after the task survived", func() {
			answer := func(clock int64) {
				c.s.HandleReport(c.now, Report{Worker: "w", Boot: 1, Clock: clock, Running: []RunReport{
					{Task: c.order.Task, Number: c.order.Run},
				}})
			}
			answer(1600)
			Convey("for a short time: a late crash, which makes no suspect yet", func() {
				c.report("w", 2, 10)
				So(c.crashes(), ShouldEqual, 1)
				So(c.s.suspectOf(c.task), ShouldBeNil)
			})
			Convey("for long: a crash, but another task's", func() {
				answer(6100)
				c.report("w", 2, 10)
				So(c.crashes(), ShouldEqual, 0)
			})
		})
	})
}

// TestNextLeaderCountsTrials guards against a task that goes on crashing workers because each leader is lost before it
// has recorded the crash.
func TestNextLeaderCountsTrials(t *testing.T) {
	Convey("A suspect starts once the log says that it is on trial", t, func() {
		c := newCrashScenario(newStep(1, 1000, time.Second))
		records := commitAll(c.s)
		c.report("w", 2, 10)
		records = append(records, commitAll(c.s)...)
		So(startsOf(c.s, c.now), ShouldEqual, 0)
		c.now = c.now.Add(maxTrialHold / 2)
		So(startsOf(c.s, c.now), ShouldEqual, 0)
		records = append(records, commitAll(c.s)...)
		So(startsOf(c.s, c.now), ShouldEqual, 1)

		first := c.s
		records = append(records, first.jobs[jobID(1)].specRecord())
		c.s = newStopScheduler(c.now, 2)
		So(c.s.Restore(c.now, c.now, records, c.now), ShouldBeEmpty)
		c.task = c.s.findTask(c.order.Task)
		Convey("and the next leader counts the crash if the worker has restarted", func() {
			c.report("w", 3, 10)
			So(c.crashes(), ShouldEqual, 2)
			So(c.s.suspicionOf(c.task).alone(), ShouldEqual, 2)
		})
		Convey("or is gone", func() {
			c.s.DropWorker(c.now, "w")
			c.now = c.now.Add(time.Minute)
			So(c.crashes(), ShouldEqual, 2)
		})
		Convey("and counts none if the worker lives on, but still suspects the task", func() {
			c.report("w", 2, 3000)
			So(c.crashes(), ShouldEqual, 1)
		})
		Convey("and a cancelled job leaves no record", func() {
			c.s.Cancel(c.now, jobID(1), "")
			So(commitAll(c.s), ShouldContain, Record{Key: prefixCrashes + jobID(1)})
		})
	})
	Convey("A leader is lost while a worker is silent, and the next one counts the crash", t, func() {
		c := newCrashScenario(newStep(1, 1000, time.Second))
		c.s.HandleRenewalFailure(c.now, "w")
		c.s.HandleRenewalFailure(c.now, "w")
		records := append(commitAll(c.s), c.s.jobs[jobID(1)].specRecord())
		c.s = newStopScheduler(c.now, 2)
		So(c.s.Restore(c.now, c.now, records, c.now), ShouldBeEmpty)
		c.task = c.s.findTask(c.order.Task)
		So(c.crashes(), ShouldEqual, 0)
		Convey("unless the worker answers again", func() {
			c.report("w", 1, 3000)
			So(c.crashes(), ShouldEqual, 0)
			So(commitAll(c.s), ShouldContain, Record{Key: prefixCrashes + jobID(1)})
		})
		c.report("w", 2, 10)
		Convey("if another boot answers", func() { So(c.crashes(), ShouldEqual, 1) })
	})
	Convey("A trial that doesn't get into the log gives its worker back", t, func() {
		c := newCrashScenario(newStep(1, 1000, time.Second))
		c.report("w", 2, 10)
		commitAll(c.s)
		So(startsOf(c.s, c.now), ShouldEqual, 0)
		So(c.s.workers["w"].trials, ShouldEqual, 1)
		c.now = c.now.Add(maxTrialHold)
		So(startsOf(c.s, c.now), ShouldEqual, 0)
		So(c.s.workers["w"].trials, ShouldEqual, 0)
		commitAll(c.s)
		c.now = c.now.Add(trialRetryInterval)
		So(startsOf(c.s, c.now), ShouldEqual, 0)
		commitAll(c.s)
		So(startsOf(c.s, c.now), ShouldEqual, 1)
	})
}

// TestDeadlyTasksOfAllKinds guards against kinds of tasks whose crashes are counted wrongly or not at all.
func TestDeadlyTasksOfAllKinds(t *testing.T) {
	step := func(change func(*workflow.Step)) workflow.Spec {
		st := newStep(3, 1000, 300*time.Millisecond)
		change(&st)
		return workflow.Spec{Steps: []workflow.Step{st}}
	}
	recurring := step(func(*workflow.Step) {})
	recurring.OccurrenceCount, recurring.Interval = 3, 2*time.Second
	for name, spec := range map[string]workflow.Spec{
		"long-running":  step(func(st *workflow.Step) { st.LongRunning = true }),
		"best-effort":   step(func(st *workflow.Step) { st.BestEffort = true }),
		"checkpointing": step(func(st *workflow.Step) { st.Checkpointing = true }),
		"speculative":   step(func(st *workflow.Step) { st.Speculative = true }),
		"gang":          step(func(st *workflow.Step) { st.Gang, st.MaxPerWorker, st.Estimate = true, 1, 20*time.Second }),
		"limited":       step(func(st *workflow.Step) { st.MaxPerWorker, st.MaxUnavailable = 1, 1 }),
		"recurring":     recurring,
	} {
		Convey("A job with a deadly task fails: "+name, t, func() {
			sim := newSimulation(2, 5)
			sim.renames = true
			sim.run(300 * time.Millisecond)
			sim.deadly[jobID(1)+".0.0.1"] = deadlyDelay
			sim.submit(jobID(1), spec)
			others := sim.submitAll(2, 8, newStep(1, 1000, 300*time.Millisecond))
			sim.after(9*time.Second, sim.takeOver)
			sim.run(60 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.finalState(jobID(1)), ShouldEqual, StateFailed)
			for _, id := range others {
				So(sim.finalState(id), ShouldEqual, StateCompleted)
			}
		})
	}
}

// TestChanceCrashesGiveUpNoJob guards against innocent tasks that are given up because unrelated crashes hit their
// workers.
func TestChanceCrashesGiveUpNoJob(t *testing.T) {
	Convey("Each of six workers crashes once a minute on average, and no job fails", t, func() {
		for seed := range uint64(12) {
			sim := newSimulation(seed, 6)
			sim.renames = seed%2 == 0
			for n := range 600 {
				st := newStep(1, 1000, 400*time.Millisecond)
				st.LongRunning = n%50 == 0
				sim.after(time.Duration(n)*100*time.Millisecond, func() { sim.submitAll(n, 1, st) })
				if sim.rng.IntN(100) == 0 {
					sim.after(time.Duration(n)*100*time.Millisecond, func() {
						up := slices.DeleteFunc(slices.Clone(sim.workers), func(sw *simWorker) bool { return sw.down })
						sim.crashAndReturn(up[sim.rng.IntN(len(up))])
					})
				}
			}
			sim.run(80 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			for n := range 600 {
				want := StateCompleted
				if n%50 == 0 {
					want = ""
				}
				So(sim.finalState(jobID(n)), ShouldEqual, want)
			}
		}
	})
}

// TestLongRunningSuspectsRunAgainSoon guards against long-running tasks that wait for each other's trials for longer
// than the platform allows one to be away.
func TestLongRunningSuspectsRunAgainSoon(t *testing.T) {
	const maxAway = 9 * time.Second
	Convey("One of three workers crashes right after the starts of most long-running tasks", t, func() {
		sim := newSimulation(0, 3)
		sim.renames = true
		sim.run(300 * time.Millisecond)
		step := newStep(1, 600, time.Second)
		step.LongRunning = true
		ids := sim.submitAll(1, 18, step)
		sim.run(500 * time.Millisecond)
		sim.crashAndReturn(slices.MaxFunc(sim.workers, func(a, b *simWorker) int { return len(a.runs) - len(b.runs) }))
		sim.run(maxAway)
		running := map[string]bool{}
		for _, sw := range sim.workers {
			for k := range sw.runs {
				running[k.task] = true
			}
		}
		for _, id := range ids {
			So(running, ShouldContainKey, id+".0.0.0")
		}
		sim.run(10 * time.Second)
		So(sim.leader.s.suspects, ShouldBeEmpty)
	})
	Convey("Each of five deadly tasks and then a long-running one was the only suspect of a crash", t, func() {
		for seed := range uint64(4) {
			sim := newSimulation(seed, 8)
			sim.renames = true
			sim.run(300 * time.Millisecond)
			blame := func(n int, step workflow.Step) string {
				id := sim.submitAll(n, 1, step)[0]
				u := sim.leader.s.suspect(sim.leader.s.findTask(id + ".0.0.0"))
				u.crashes = []loss{{Worker: "x", Boot: 1, Alone: true}}
				return id
			}
			for n := range 5 {
				sim.deadly[blame(100+n, newStep(1, 1000, time.Second))+".0.0.0"] = deadlyDelay
			}
			sim.run(200 * time.Millisecond)
			step := newStep(1, 1000, time.Second)
			step.LongRunning = true
			id := blame(1, step)
			sim.run(maxAway - testLimits().MaxLease)
			So(slices.ContainsFunc(sim.workers, func(sw *simWorker) bool {
				return slices.ContainsFunc(sw.keys(), func(k runKey) bool { return k.task == id+".0.0.0" })
			}), ShouldBeTrue)
		}
	})
}

// TestLateDeadlyTaskIsGivenUp guards against a task that survives its start on trial and crashes its worker a second
// later, for which its neighbours were blamed.
func TestLateDeadlyTaskIsGivenUp(t *testing.T) {
	Convey("A task crashes each worker a second after its start, beside many short tasks", t, func() {
		for seed := range uint64(4) {
			sim := newSimulation(seed, 5)
			sim.renames = seed%2 == 0
			sim.run(300 * time.Millisecond)
			sim.deadly[jobID(1000)+".0.0.0"] = time.Second
			sim.submitAll(1000, 1, newStep(1, 1000, 4*time.Second))
			for n := range 600 {
				sim.after(time.Duration(n)*70*time.Millisecond, func() {
					sim.submitAll(n, 1, newStep(1, 1000, 300*time.Millisecond))
				})
			}
			sim.run(80 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.finalState(jobID(1000)), ShouldEqual, StateFailed)
			for n := range 600 {
				So(sim.finalState(jobID(n)), ShouldEqual, StateCompleted)
			}
		}
	})
}

// TestSuspectsHoldNothingBack guards against trials that take all workers while other jobs wait.
func TestSuspectsHoldNothingBack(t *testing.T) {
	Convey("One of two workers crashes right after many starts", t, func() {
		sim := newSimulation(5, 2)
		sim.run(300 * time.Millisecond)
		lost := sim.submitAll(1, 12, newStep(1, 1000, 800*time.Millisecond))
		sim.run(350 * time.Millisecond)
		sim.crashAndReturn(sim.workers[0])
		for len(sim.leader.s.suspects) == 0 {
			sim.advance()
		}
		Convey("and jobs that are submitted while there are many suspects are done in time", func() {
			So(len(sim.leader.s.suspects), ShouldBeGreaterThanOrEqualTo, 8)
			others := sim.submitAll(100, 8, newStep(1, 1000, 300*time.Millisecond))
			sim.run(time.Second)
			for _, id := range others {
				So(sim.finalState(id), ShouldEqual, StateCompleted)
			}
			sim.run(20 * time.Second)
			for _, id := range lost {
				So(sim.finalState(id), ShouldEqual, StateCompleted)
			}
		})
	})
}

// TestCrashCountsUnderManyLeaders guards against crashes that no leader counts because each is replaced while the
// leases of the crashed worker run.
func TestCrashCountsUnderManyLeaders(t *testing.T) {
	Convey("Leaders change every five seconds, and a task crashes its workers", t, func() {
		for seed := range uint64(20) {
			sim := newSimulation(seed, 6)
			sim.renames = seed%2 == 0
			sim.run(300 * time.Millisecond)
			for at := 4 * time.Second; at < 60*time.Second; at += 5 * time.Second {
				sim.after(at, sim.takeOver)
			}
			sim.deadly[jobID(1)+".0.0.0"] = deadlyDelay
			sim.submitAll(1, 8, newStep(1, 1000, 300*time.Millisecond))
			sim.run(80 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.finalState(jobID(1)), ShouldEqual, StateFailed)
		}
	})
}

// TestSuspectSharesNoCrashedWorker guards against a suspect that is put on trial beside another one which has just crashed
// the worker, so that the crash proves nothing.
func TestSuspectSharesNoCrashedWorker(t *testing.T) {
	Convey("A long-running suspect has waited while another one is on trial on the only worker", t, func() {
		now, clock := simEpoch, int64(1000)
		s := newStopScheduler(now, 1)
		answer := func() { s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: clock}) }
		answer()
		step := newStep(1, 1000, time.Second)
		step.LongRunning, step.MaxUnavailable = true, -1
		for n := 1; n <= 2; n++ {
			submitStep(s, now, n, step)
			s.suspect(s.findTask(jobID(n) + ".0.0.0")).crashes = []loss{{Worker: "x", Boot: 1, Run: n}}
		}
		commitAll(s)
		s.Decide(now, now)
		commitAll(s)
		So(startsOf(s, now), ShouldEqual, 1)
		wait := func(d time.Duration) { now, clock = now.Add(d), clock+d.Milliseconds() }
		wait(maxLongRunningTrialWait - survivalPeriod)
		Convey("and the worker answers: it shares the worker", func() {
			wait(survivalPeriod - 100*time.Millisecond)
			s.workers["w"].updateClock(now, clock)
			wait(2 * trialRetryInterval)
			s.Decide(now, now)
			So(s.workers["w"].trials, ShouldEqual, 2)
		})
		Convey("and the worker is silent: it waits", func() {
			wait(survivalPeriod + trialRetryInterval)
			s.Decide(now, now)
			So(s.workers["w"].trials, ShouldEqual, 1)
		})
	})
}
