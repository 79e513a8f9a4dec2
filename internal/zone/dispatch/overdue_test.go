package dispatch

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// maxLongRunningWait is how long a long-running task may be away while there is room for two of its kind: six seconds
// from the end of its last run, and three more.
const maxLongRunningWait = 9 * time.Second

// overdueScenario is a long-running task of four cores, the only worker with room for two of its kind, and workers
// without any room.
type overdueScenario struct {
	sim  *loadSim
	st   *stage
	task *task
	free *Worker
}

// newOverdueScenario returns a scenario in which the task is at work.
func newOverdueScenario() *overdueScenario {
	sim := newLoadSim(1, 3, loadMix{})
	spec := sim.spec(1, 1, 4000, 0, true)
	sim.submit("long-running", spec)
	sim.run(7 * time.Second)
	sc := &overdueScenario{sim: sim, st: sim.s.jobs[jobID(1)].openOccurrences[0].stages[0]}
	sc.task = sc.st.tasks[0]
	sc.free = sc.task.runs[0].worker
	sim.submit("long-running", sim.spec(1, 2, 32000, 0, true))
	sim.run(2 * time.Second)
	return sc
}

// restartAfter stops the task while the rules apply, and returns how long it is away and the worker on which it starts
// again.
func (sc *overdueScenario) restartAfter(rules ...func(*overdueScenario)) (time.Duration, *Worker) {
	victim := sc.task.runs[0]
	sc.sim.s.stopRun(victim, "test")
	// A smaller task that waits as well.
	sc.sim.submit("long-running", sc.sim.spec(1, 1, 3000, 0, true))
	for stoppedAt := sc.sim.now; ; {
		for _, apply := range rules {
			apply(sc)
		}
		sc.sim.run(50 * time.Millisecond)
		away := sc.sim.now.Sub(stoppedAt)
		if len(sc.task.runs) > 0 && sc.task.runs[0] != victim {
			return away, sc.task.runs[0].worker
		}
		if away > 2*maxLongRunningWait {
			return away, nil
		}
	}
}

// TestLongRunningTaskIsNotAvoidedForEver guards against rules that keep a long-running task from the only room, each of
// which applies again before it ends.
func TestLongRunningTaskIsNotAvoidedForEver(t *testing.T) {
	rules := map[string]func(*overdueScenario){
		"its worker is suspected again and again": func(sc *overdueScenario) {
			h := &sc.free.health
			h.consecutiveFailures, h.failedAt, h.suspectUntil = suspectFailures, sc.sim.now, sc.sim.now.Add(suspectPeriod)
		},
		"its worker is slow": func(sc *overdueScenario) { sc.free.health.slowUntil = sc.sim.now.Add(slowPause) },
		"its room is reserved": func(sc *overdueScenario) {
			sc.free.reservedUntil = sc.sim.now.Add(reclaimReservation)
		},
		"a smaller task finds no room": func(sc *overdueScenario) {
			// The free worker is reserved from the new task, which comes first because the other one has yielded.
			sc.free.reservedUntil = sc.sim.now.Add(reclaimReservation)
			sc.st.yieldedAt = sc.sim.now
			for _, st := range sc.sim.s.ready {
				if st != sc.st {
					st.tasks[0].waitingSince = sc.sim.now
				}
			}
		},
	}
	Convey("A long-running task starts on the only worker with room although", t, func() {
		sc := newOverdueScenario()
		isInTime := func(rules ...func(*overdueScenario)) {
			away, w := sc.restartAfter(rules...)
			So(away, ShouldBeLessThan, maxLongRunningWait)
			So(w, ShouldEqual, sc.free)
		}
		for name, apply := range rules {
			Convey(name, func() { isInTime(apply) })
		}
		Convey("all of these come together, and it yields to short tasks", func() {
			sc.task.yieldsUntil = sc.sim.now.Add(maxYield)
			isInTime(func(sc *overdueScenario) {
				sc.sim.s.shortDemand = map[string]float64{"svc": 96000}
				sc.st.freeSlots = freeSlots{}
				for _, apply := range rules {
					apply(sc)
				}
			})
		})
	})
}

// TestRefusedStartDoesNotRestartTheWait guards against a long-running task that never takes the room of a suspected worker
// because another worker refuses it again and again.
func TestRefusedStartDoesNotRestartTheWait(t *testing.T) {
	Convey("A long-running task that one worker refuses starts on the suspected one beside it", t, func() {
		now, clock := simEpoch, int64(1000)
		s := newStopScheduler(now, 1)
		s.SetWorker(now, Registration{
			ID: "suspected", Boot: 1, Service: "svc", Address: "v", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
		})
		step := newStep(1, 6000, 0)
		step.LongRunning, step.MaxUnavailable = true, -1
		s.Submit(now, Request{
			ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
		})
		h := &s.workers["suspected"].health
		for started := ""; started != "suspected"; {
			So(now.Sub(simEpoch), ShouldBeLessThan, maxLongRunningWait)
			now, clock = now.Add(50*time.Millisecond), clock+50
			h.consecutiveFailures, h.failedAt, h.suspectUntil = suspectFailures, now, now.Add(suspectPeriod)
			for _, id := range s.WorkerIDs() {
				s.HandleReport(now, Report{Worker: id, Boot: 1, Clock: clock})
			}
			commitAll(s)
			for _, o := range s.Decide(now, now) {
				started = o.Worker
				s.HandleStartAnswer(now, o, AnswerFull, clock)
			}
		}
	})
}

// TestFirstStartIsNotAvoidedForLong guards against a long-running task that has not run yet and waits first for a sound
// worker and then for the free room that it leaves to short tasks.
func TestFirstStartIsNotAvoidedForLong(t *testing.T) {
	const maxFirstWait = 3 * time.Second
	Convey("A long-running task starts for the first time on the only worker with room although", t, func() {
		now, clock := simEpoch, int64(1000)
		s := newStopScheduler(now, 1)
		w := s.workers["w"]
		step := newStep(1, 3000, 0)
		step.LongRunning, step.MaxUnavailable = true, -1
		s.Submit(now, Request{
			ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
		})
		startsInTime := func(demand float64, avoid func()) {
			for startsOf(s, now) == 0 {
				now, clock = now.Add(50*time.Millisecond), clock+50
				So(now.Sub(simEpoch), ShouldBeLessThan, maxFirstWait)
				avoid()
				s.shortDemand = map[string]float64{"svc": demand}
				s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: clock})
				commitAll(s)
			}
		}
		for _, demand := range []float64{0, 10000} {
			Convey("it is suspected, with short demand "+strconv.Itoa(int(demand)), func() {
				startsInTime(demand, func() {
					w.health.consecutiveFailures, w.health.failedAt, w.health.suspectUntil = suspectFailures, now, now.Add(suspectPeriod)
				})
			})
			Convey("it is slow, with short demand "+strconv.Itoa(int(demand)), func() {
				startsInTime(demand, func() { w.health.slowUntil = now.Add(slowPause) })
			})
			Convey("it is reserved, with short demand "+strconv.Itoa(int(demand)), func() {
				startsInTime(demand, func() { w.reservedUntil = now.Add(reclaimReservation) })
			})
		}
	})
}

// TestOverdueTaskPrefersSoundWorkers guards against overdue tasks that go to failing workers while others have room.
func TestOverdueTaskPrefersSoundWorkers(t *testing.T) {
	Convey("An overdue task takes a sound worker although a suspected one fits more tightly", t, func() {
		s := newStopScheduler(simEpoch, 1)
		s.SetWorker(simEpoch, Registration{
			ID: "suspected", Boot: 1, Service: "svc", Address: "v", Capacity: fleet.Size{Cores: 6000, Memory: 8000},
		})
		step := newStep(1, 6000, 0)
		step.LongRunning, step.MaxUnavailable = true, -1
		s.Submit(simEpoch, Request{
			ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: simEpoch,
		})
		for _, id := range s.WorkerIDs() {
			s.HandleReport(simEpoch, Report{Worker: id, Boot: 1, Clock: 1000})
		}
		commitAll(s)
		task := s.findTask(jobID(1) + ".0.0.0")
		So(s.findWorker(simEpoch, task, nil).ID, ShouldEqual, "suspected")
		h := &s.workers["suspected"].health
		h.consecutiveFailures, h.failedAt, h.suspectUntil = suspectFailures, simEpoch, simEpoch.Add(suspectPeriod)
		So(s.findWorker(simEpoch.Add(maxAvoidance), task, nil).ID, ShouldEqual, "w")
	})
}

// TestFailedLongRunningPlacementSaysNothingOfOthers guards against short tasks that aren't tried because a smaller
// long-running one found no room that it may take.
func TestFailedLongRunningPlacementSaysNothingOfOthers(t *testing.T) {
	Convey("A failed placement implies that larger ones fail", t, func() {
		small, large := fleet.Size{Cores: 1000}, fleet.Size{Cores: 2000}
		short, longRunning := failedPlacement{size: small}, failedPlacement{size: small, longRunning: true}
		So(short.implies(failedPlacement{size: large}), ShouldBeTrue)
		So(short.implies(failedPlacement{size: large, longRunning: true}), ShouldBeTrue)
		So(longRunning.implies(failedPlacement{size: large, longRunning: true}), ShouldBeTrue)
		Convey("but that of a long-running task only for its kind", func() {
			So(longRunning.implies(failedPlacement{size: large}), ShouldBeFalse)
		})
		Convey("and not that smaller ones do", func() {
			So(failedPlacement{size: large}.implies(short), ShouldBeFalse)
		})
	})
}

// TestProbesDontKeepLongRunningTaskAwayForEver guards against a suspected worker that is probed by one failing task after
// the other, so that the task that would work never gets its turn.
func TestProbesDontKeepLongRunningTaskAwayForEver(t *testing.T) {
	Convey("A long-running task starts again on a worker on which sixteen others always fail", t, func() {
		now, clock, serial := simEpoch, int64(1000), int64(0)
		s := newStopScheduler(now, 1)
		submit := func(n, tasks int) {
			step := newStep(tasks, 200, 0)
			step.LongRunning, step.MaxUnavailable = true, -1
			s.Submit(now, Request{
				ID: jobID(n), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
			})
		}
		submit(1, 16)
		submit(2, 1)
		working, good := s.findTask(jobID(2)+".0.0.0"), []RunReport(nil)
		changedAt, failed := now, []RunReport(nil)
		for now.Sub(simEpoch) < time.Minute {
			now, clock = now.Add(100*time.Millisecond), clock+100
			if len(good) > 0 && now.Sub(changedAt) > 3*time.Second {
				failed, good, changedAt = append(failed, good...), nil, now
			}
			ended := make([]EndReport, 0, len(failed))
			for _, r := range failed {
				serial++
				ended = append(ended, EndReport{Serial: serial, Task: r.Task, Number: r.Number, Reason: EndFailed})
			}
			failed = nil
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: clock, Running: good, Ended: ended})
			commitAll(s)
			for _, o := range s.Decide(now, now) {
				s.HandleStartAnswer(now, o, AnswerDone, clock)
				r := RunReport{Task: o.Task, Number: o.Run, Progress: 100}
				if o.Task == working.name {
					good, changedAt = []RunReport{r}, now
				} else {
					failed = append(failed, r)
				}
			}
			if len(good) == 0 {
				So(now.Sub(changedAt), ShouldBeLessThan, maxLongRunningWait)
			}
		}
	})
}
