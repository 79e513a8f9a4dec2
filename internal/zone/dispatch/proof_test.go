package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// newProofScenario returns a scheduler of two workers of which one runs a task and has last listed it 100 ms after the
// given time, and that run.
func newProofScenario() (s *Scheduler, start Order, listed RunReport, at func(time.Duration) time.Time) {
	s, start = newRestartScenario(testLimits())
	at = func(d time.Duration) time.Time { return simEpoch.Add(10*time.Second + d) }
	s.PlanRenewal(at(0), start.Worker)
	s.HandleStartAnswer(at(0), start, AnswerDone, 11_000)
	listed = RunReport{Task: start.Task, Number: start.Run}
	answer(s, at(100*time.Millisecond), start.Worker, listed)
	commitAll(s)
	return s, start, listed, at
}

// restarts reports whether the task starts elsewhere at the given time, at which the other worker answers.
func restarts(s *Scheduler, start Order, now time.Time) int {
	answer(s, now, otherWorker(start))
	commitAll(s)
	return recordedStartsOf(s, now)
}

// TestRunThatBeginsToStopIsNotGone guards against a second run of a task whose first one its worker has just begun to stop:
// it lists such a run nowhere, and the last report before is some seconds old.
func TestRunThatBeginsToStopIsNotGone(t *testing.T) {
	Convey("A run is to be stopped, and its worker doesn't answer for a while", t, func() {
		s, start, _, at := newProofScenario()
		s.stopRun(s.workers[start.Worker].runs[runKey{start.Task, start.Run}], "room for a short task")
		commitAll(s)
		orders := s.Decide(at(200*time.Millisecond), at(200*time.Millisecond))
		So(orders, ShouldHaveLength, 1)
		s.HandleStopAnswer(at(1100*time.Millisecond), orders[0], AnswerMissing, 0)
		s.HandleRenewalFailure(at(2*time.Second), start.Worker)
		Convey("the order is carried out late, and the next report lists the run nowhere: the task doesn't start yet", func() {
			answer(s, at(3300*time.Millisecond), start.Worker)
			So(restarts(s, start, at(3300*time.Millisecond)), ShouldEqual, 0)
		})
	})
}

// TestStopAnswerWithoutClockReleasesNothing guards against a second run of a task because an answer to the order to stop
// the first one held no reading of the worker's clock.
func TestStopAnswerWithoutClockReleasesNothing(t *testing.T) {
	Convey("A start has no answer, and the order to stop the run is answered without a clock", t, func() {
		s, start := newRestartScenario(testLimits())
		at := func(d time.Duration) time.Time { return simEpoch.Add(10*time.Second + d) }
		s.HandleStartAnswer(at(900*time.Millisecond), start, AnswerMissing, 0)
		s.stopRun(s.workers[start.Worker].runs[runKey{start.Task, start.Run}], "room for a short task")
		commitAll(s)
		orders := s.Decide(at(time.Second), at(time.Second))
		So(orders, ShouldHaveLength, 1)
		s.HandleStopAnswer(at(1010*time.Millisecond), orders[0], AnswerDone, 0)
		answer(s, at(1020*time.Millisecond), start.Worker)
		So(restarts(s, start, at(1020*time.Millisecond)), ShouldEqual, 0)
	})
}

// TestLeasesOfUnseenBootAreWaitedFor guards against a second run of a task whose start the next boot of its worker has
// carried out, which then doesn't answer: its leases end by its own clock, and the platform shortens them to its longest.
func TestLeasesOfUnseenBootAreWaitedFor(t *testing.T) {
	Convey("A start reaches the next boot of its worker, which is cut off before it has answered", t, func() {
		s, start := newRestartScenario(testLimits())
		at := func(d time.Duration) time.Time { return simEpoch.Add(10*time.Second + d) }
		s.PlanRenewal(at(-time.Second), start.Worker)
		s.HandleStartAnswer(at(900*time.Millisecond), start, AnswerMissing, 0)
		for n := range 3 {
			s.HandleRenewalFailure(at(time.Duration(n+1)*time.Second), start.Worker)
		}
		// The next boot has carried the start out at once, by its clock at 100 ms.
		leaseUntil := min(start.ValidUntil, 100+s.limits.MaxLease.Milliseconds())
		ends := time.Duration(leaseUntil-100) * time.Millisecond
		So(ends, ShouldEqual, 6*time.Second)
		Convey("and the list doesn't name it", func() {
			So(restarts(s, start, at(ends-100*time.Millisecond)), ShouldEqual, 0)
		})
		Convey("and the list names it", func() {
			r := s.workers[start.Worker].Registration
			r.Boot = 2
			s.SetWorker(at(time.Second), r)
			So(restarts(s, start, at(ends-100*time.Millisecond)), ShouldEqual, 0)
		})
	})
}
