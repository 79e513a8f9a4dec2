package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
	s.Decide(now)
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
