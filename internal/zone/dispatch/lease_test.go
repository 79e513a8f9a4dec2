package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// newLeaseScheduler returns a scheduler on a platform that allows long leases, with a long-running task on one of two
// workers.
func newLeaseScheduler(now time.Time) (s *Scheduler, start Order) {
	limits := testLimits()
	limits.MaxLease = 10 * time.Second
	s = New(limits, 1, 1)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2},
	}})
	for _, id := range []string{"v", "w"} {
		s.SetWorker(now, Registration{
			ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: 8000, Memory: 8000},
		})
		s.HandleReport(now, Report{Worker: id, Boot: 1, Clock: 1000})
	}
	step := newStep(1, 6000, 0)
	step.LongRunning, step.MaxUnavailable = true, -1
	submitStep(s, now, 1, step)
	commitAll(s)
	start = s.Decide(now)[0]
	s.HandleStartAnswer(now, start, AnswerDone, 1000)
	return s, start
}

// renewUntil has the workers renew their leases every half second until the given time, and returns it.
func renewUntil(s *Scheduler, start Order, from, until time.Time) time.Time {
	for now := from; ; now = now.Add(500 * time.Millisecond) {
		for _, id := range s.WorkerIDs() {
			s.PlanRenewal(now, id)
			rep := Report{Worker: id, Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds()}
			if id == start.Worker {
				rep.Running = []RunReport{{Task: start.Task, Number: start.Run, Progress: 100}}
			}
			s.HandleReport(now, rep)
		}
		commitAll(s)
		if !now.Before(until) {
			return now
		}
	}
}

// TestTaskOfLeavingWorkerIsNotAwayForLong guards against a long-running task that waits for a long lease of a worker
// that has left.
func TestTaskOfLeavingWorkerIsNotAwayForLong(t *testing.T) {
	Convey("A worker leaves, on a platform that allows leases of ten seconds", t, func() {
		s, start := newLeaseScheduler(simEpoch)
		leftAt := renewUntil(s, start, simEpoch, simEpoch.Add(12*time.Second))
		s.PlanRenewal(leftAt, start.Worker)
		s.HandleRenewalFailure(leftAt.Add(500*time.Millisecond), start.Worker)
		s.DropWorker(leftAt.Add(500*time.Millisecond), start.Worker)
		Convey("its long-running task starts on another one within nine seconds", func() {
			for now := leftAt; ; now = now.Add(50 * time.Millisecond) {
				So(now.Sub(leftAt), ShouldBeLessThan, maxLongRunningWait)
				if startsOf(s, now) > 0 {
					break
				}
			}
		})
	})
	Convey("A lease that an earlier leader may have granted is waited for", t, func() {
		s, start := newLeaseScheduler(simEpoch)
		s.HandleRenewalFailure(simEpoch, start.Worker)
		So(startsOf(s, simEpoch.Add(s.limits.MaxLease)), ShouldEqual, 0)
		So(startsOf(s, simEpoch.Add(s.limits.MaxLease+time.Second)), ShouldEqual, 1)
	})
}
