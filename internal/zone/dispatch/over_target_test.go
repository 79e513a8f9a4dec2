package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// overTargetScenario is a large worker with a long-running task and small best-effort tasks of one image.
type overTargetScenario struct {
	s     *Scheduler
	now   time.Time
	paces map[string]int
}

// newOverTargetScenario returns a scenario in which the best-effort image is known to disturb the long-running one with the
// coefficient.
func newOverTargetScenario(coefficient float64) *overTargetScenario {
	sc := &overTargetScenario{s: newStopScheduler(simEpoch, 1), now: simEpoch, paces: map[string]int{}}
	s := sc.s
	s.interference.observe("serve", 0, map[string]float64{"fill": 0.1})
	s.interference.models["serve"].coefficients[0] = coefficient
	s.interference.headroom("serve", 10)
	s.SetWorker(sc.now, Registration{
		ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 100000, Memory: 100000},
	})
	s.HandleReport(sc.now, Report{Worker: "w", Boot: 1, Clock: 1000})
	longRunning := newStep(1, 4000, 0)
	longRunning.LongRunning, longRunning.Image, longRunning.TargetLatency = true, "serve", 50*time.Millisecond
	longRunning.MaxUnavailable = -1
	submitStep(s, sc.now, 1, longRunning)
	commitAll(s)
	sc.decide()
	return sc
}

// submit submits best-effort tasks.
func (sc *overTargetScenario) submit(job, tasks int) {
	step := newStep(tasks, 2000, time.Minute)
	step.BestEffort, step.Image, step.MaxUnavailable = true, "fill", -1
	submitStep(sc.s, sc.now, job, step)
	commitAll(sc.s)
}

// decide has the worker carry out the orders, and returns the number of starts.
func (sc *overTargetScenario) decide() int {
	starts := 0
	clock := 1000 + sc.now.Sub(simEpoch).Milliseconds()
	for range 2 {
		for _, o := range sc.s.Decide(sc.now, sc.now) {
			switch o.Kind {
			case OrderStart:
				starts++
				sc.paces[o.Task] = 100
				sc.s.HandleStartAnswer(sc.now, o, AnswerDone, clock)
			case OrderPace:
				sc.paces[o.Task] = o.Pace
				sc.s.HandlePaceAnswer(sc.now, o, AnswerDone, clock)
			}
		}
		commitAll(sc.s)
	}
	return starts
}

// report has the worker report half a second later, with the given latency of the long-running task.
func (sc *overTargetScenario) report(latency int) {
	sc.now = sc.now.Add(readingInterval)
	rep := Report{Worker: "w", Boot: 1, Clock: 1000 + sc.now.Sub(simEpoch).Milliseconds()}
	for _, r := range sc.s.runsOf(sc.s.workers["w"]) {
		reading := 20 * sc.paces[r.task.name]
		if r.task.step().LongRunning {
			reading = latency
		}
		rep.Running = append(rep.Running, RunReport{Task: r.task.name, Number: r.number, Progress: 50, Reading: reading})
	}
	sc.s.HandleReport(sc.now, rep)
}

// bestEffortPace returns the sum of the paces of the best-effort tasks, in percent.
func (sc *overTargetScenario) bestEffortPace() int {
	sum := 0
	for _, r := range sc.s.workers["w"].bestEffortRuns() {
		sum += sc.paces[r.task.name]
	}
	return sum
}

// TestNoStartBesideTaskOverTarget guards against best-effort tasks that keep a long-running task over its target although
// those that ran there are paused: others, which are taken to be harmless, start there one after the other.
func TestNoStartBesideTaskOverTarget(t *testing.T) {
	Convey("A long-running task is over its target beside best-effort tasks that are taken to be harmless", t, func() {
		sc := newOverTargetScenario(0)
		sc.submit(2, 10)
		sc.report(20)
		So(sc.decide(), ShouldEqual, 10)
		// Latencies this high teach nothing.
		for sc.report(200); sc.bestEffortPace() > 0; sc.report(200) {
			So(sc.now.Sub(simEpoch), ShouldBeLessThan, sc.s.limits.MaxOverTarget)
			sc.decide()
		}
		sc.submit(3, 10)
		Convey("no other one starts there", func() {
			So(sc.decide(), ShouldEqual, 0)
			Convey("until the task is below its target again", func() {
				sc.report(30)
				sc.report(30)
				So(sc.decide(), ShouldBeGreaterThan, 0)
			})
		})
	})
}
