package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// suspectScenario is a worker with three long-running tasks, of which one is at work and two have failed at their start.
type suspectScenario struct {
	s       *Scheduler
	now     time.Time
	running []RunReport
}

// newSuspectScenario returns a scenario at the moment at which the worker comes under suspicion.
func newSuspectScenario() *suspectScenario {
	sc := &suspectScenario{s: newStopScheduler(simEpoch, 1), now: simEpoch}
	sc.report()
	step := newStep(3, 2000, 0)
	step.LongRunning, step.MaxUnavailable = true, -1
	sc.s.Submit(sc.now, Request{
		ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: sc.now,
	})
	commitAll(sc.s)
	sc.start()
	failed := sc.running[1:]
	sc.running = sc.running[:1]
	ends := make([]EndReport, 0, len(failed))
	for i, r := range failed {
		ends = append(ends, EndReport{Serial: int64(i + 1), Task: r.Task, Number: r.Number, Reason: EndFailed})
	}
	sc.report(ends...)
	return sc
}

// report has the worker report its runs as ready, and the ends.
func (sc *suspectScenario) report(ends ...EndReport) {
	for i := range sc.running {
		sc.running[i].Progress = 100
	}
	sc.s.HandleReport(sc.now, Report{
		Worker: "w", Boot: 1, Clock: 1000 + sc.now.Sub(simEpoch).Milliseconds(), Running: sc.running, Ended: ends,
	})
	commitAll(sc.s)
}

// start has the worker carry out all starts that are due, and returns their number.
func (sc *suspectScenario) start() int {
	orders := sc.s.Decide(sc.now, sc.now)
	commitAll(sc.s)
	n := 0
	for _, o := range append(orders, sc.s.Decide(sc.now, sc.now)...) {
		if o.Kind == OrderStart {
			n++
			sc.s.HandleStartAnswer(sc.now, o, AnswerDone, 1000+sc.now.Sub(simEpoch).Milliseconds())
			sc.running = append(sc.running, RunReport{Task: o.Task, Number: o.Run})
		}
	}
	return n
}

// TestSuspicionEndsBesideLongRunningTask guards against a worker that gets no task ever again once it was suspected while
// a long-running task was at work on it.
func TestSuspicionEndsBesideLongRunningTask(t *testing.T) {
	Convey("A suspected worker with a long-running task", t, func() {
		sc := newSuspectScenario()
		Convey("is left alone at first", func() {
			sc.now = sc.now.Add(maxAvoidance - time.Millisecond)
			So(sc.start(), ShouldEqual, 0)
		})
		Convey("stays suspected while only a task that was started before the failures is at work", func() {
			sc.now = sc.now.Add(2 * minReadyTime)
			sc.report()
			So(sc.s.workers["w"].health.consecutiveFailures, ShouldEqual, suspectFailures)
		})
		Convey("gets no short task for suspectPeriod", func() {
			sc.s.Submit(sc.now, Request{
				ID: jobID(2), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second)}},
				WallTime: sc.now,
			})
			commitAll(sc.s)
			sc.now = sc.now.Add(maxProbeWait - time.Millisecond)
			So(sc.start(), ShouldEqual, 1)
			sc.now = sc.now.Add(suspectPeriod - maxProbeWait)
			So(sc.start(), ShouldEqual, 1)
			for _, r := range sc.running {
				So(r.Task, ShouldStartWith, jobID(1))
			}
		})
		Convey("is probed with one long-running task that has waited for long enough", func() {
			sc.now = sc.now.Add(maxAvoidance + fullScanInterval)
			So(sc.start(), ShouldEqual, 1)
			So(sc.start(), ShouldEqual, 0)
			So(sc.running[1].Task, ShouldStartWith, jobID(1))
			Convey("and gets others once the probe is at work", func() {
				sc.report()
				sc.now = sc.now.Add(fullScanInterval)
				sc.report()
				So(sc.start(), ShouldEqual, 0)
				sc.now = sc.now.Add(minReadyTime)
				sc.report()
				So(sc.start(), ShouldEqual, 1)
			})
		})
	})
}

// TestFailingLongRunningTasksDontHoldBackShortOnes guards against long-running tasks that fail wherever they start and
// renew the suspicion of all workers before it ends, so that no short task starts any more.
func TestFailingLongRunningTasksDontHoldBackShortOnes(t *testing.T) {
	Convey("Beside long-running tasks that always fail, each short task starts after a pause and a probe", t, func() {
		for _, tasks := range []int{1, 4, 16} {
			now, clock, serial := simEpoch, int64(1000), int64(0)
			s := newStopScheduler(now, 1)
			submit := func(n int, step workflow.Step) {
				s.Submit(now, Request{
					ID: jobID(n), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now,
				})
			}
			step := newStep(tasks, 500, 0)
			step.LongRunning, step.MaxUnavailable = true, -1
			submit(0, step)
			var ended []EndReport
			waitingSince := map[string]time.Time{}
			for n := 1; n < 600; n++ {
				now, clock = now.Add(100*time.Millisecond), clock+100
				if n%20 == 0 {
					submit(n, newStep(1, 500, time.Second))
					waitingSince[jobID(n)+".0.0.0"] = now
				}
				s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: clock, Ended: ended})
				commitAll(s)
				ended = ended[:0]
				for _, o := range s.Decide(now, now) {
					s.HandleStartAnswer(now, o, AnswerDone, clock)
					reason := EndFailed
					if _, ok := waitingSince[o.Task]; ok {
						reason = EndDone
						delete(waitingSince, o.Task)
					}
					serial++
					ended = append(ended, EndReport{Serial: serial, Task: o.Task, Number: o.Run, Reason: reason})
				}
				for _, since := range waitingSince {
					So(now.Sub(since), ShouldBeLessThan, 2*suspectPeriod)
				}
			}
		}
	})
}

// TestOpenProbeDoesNotBlockForEver guards against a suspected worker that gets no task because a probe on it never ends.
func TestOpenProbeDoesNotBlockForEver(t *testing.T) {
	newTask := func(step workflow.Step) *task {
		j := &Job{spec: workflow.Spec{Steps: []workflow.Step{step}}}
		return &task{name: "probe", stage: &stage{occurrence: &occurrence{job: j}, spec: &j.spec.Steps[0]}}
	}
	short, longRunning, bestEffort := newStep(1, 1000, time.Second), newStep(1, 1000, 0), newStep(1, 1000, time.Second)
	longRunning.LongRunning, bestEffort.BestEffort = true, true
	probedBy := func(step workflow.Step) *Worker {
		w := &Worker{runs: map[runKey]*run{}}
		w.addRun(&run{task: newTask(step), worker: w, startedAt: simEpoch})
		return w
	}
	Convey("A probe keeps other tasks away for suspectPeriod", t, func() {
		for _, step := range []workflow.Step{short, longRunning} {
			for _, waiting := range []workflow.Step{short, longRunning} {
				w := probedBy(step)
				So(w.hasProbe(simEpoch.Add(suspectPeriod-time.Millisecond), newTask(waiting)), ShouldBeTrue)
				So(w.hasProbe(simEpoch.Add(suspectPeriod), newTask(waiting)), ShouldBeFalse)
			}
		}
	})
	Convey("A best-effort probe keeps no long-running task away", t, func() {
		So(probedBy(bestEffort).hasProbe(simEpoch, newTask(short)), ShouldBeTrue)
		So(probedBy(bestEffort).hasProbe(simEpoch, newTask(longRunning)), ShouldBeFalse)
	})
}
