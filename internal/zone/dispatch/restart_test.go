package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestEndsOfRestartedWorkerAreKept guards against a task that runs again because the end of its first run was acknowledged
// unseen: by a renewal that was meant for the worker's former boot, whose ends had the same serials.
func TestEndsOfRestartedWorkerAreKept(t *testing.T) {
	Convey("A worker's first end is durable", t, func() {
		s := newBoundedScheduler(2, 0, 0)
		answer(s, simEpoch, "w")
		s.HandleReport(simEpoch, Report{Worker: "w", Boot: 1, Clock: 1000, Ended: []EndReport{
			{Serial: 1, Task: jobID(1) + ".0.0.0", Number: 1, Reason: EndDone},
		}})
		commitAll(s)
		acknowledged := func() int64 {
			plan, ok := s.PlanRenewal(simEpoch, "w")
			So(ok, ShouldBeTrue)
			return plan.Acknowledged
		}
		So(acknowledged(), ShouldEqual, 1)
		Convey("and it may have restarted since: the next renewal acknowledges nothing", func() {
			s.HandleRenewalFailure(simEpoch, "w")
			So(acknowledged(), ShouldEqual, 0)
			answer(s, simEpoch, "w")
			So(acknowledged(), ShouldEqual, 1)
		})
	})
}

// newRestartScenario returns a scheduler that has ordered the start of a task on one of two workers, and the order.
func newRestartScenario(limits Limits) (*Scheduler, Order) {
	s := New(limits, 1, 1)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2},
	}})
	now := simEpoch.Add(10 * time.Second)
	answer(s, now, "v")
	answer(s, now, "w")
	submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{newStep(1, 6000, time.Minute)}})
	commitAll(s)
	return s, s.Decide(now, now)[0]
}

// TestStartInFlightAtRestartRunsOnce guards against two runs of a task of which one was started by an order that reached
// the next boot of its worker.
func TestStartInFlightAtRestartRunsOnce(t *testing.T) {
	Convey("A worker restarts under its ID while the order to start a task is on its way", t, func() {
		s, start := newRestartScenario(testLimits())
		now := simEpoch.Add(11 * time.Second)
		answer(s, now, otherWorker(start))
		// restartedReport returns a report of the next boot, which has run for the given time.
		restartedReport := func(age time.Duration, running ...RunReport) Report {
			return Report{Worker: start.Worker, Boot: 2, Clock: age.Milliseconds(), Running: running}
		}
		run := RunReport{Task: start.Task, Number: start.Run}
		Convey("and the next boot lists the run: it goes on", func() {
			s.HandleReport(now, restartedReport(100*time.Millisecond, run))
			commitAll(s)
			So(s.Decide(now, now), ShouldBeEmpty)
		})
		Convey("and the next boot answers the order: the run is not taken for gone", func() {
			s.HandleStartAnswer(now, start, AnswerDone, 50)
			So(s.workers[start.Worker].isUsable(), ShouldBeFalse)
			s.HandleReport(now, Report{Worker: start.Worker, Boot: 1, Clock: 12_000})
			So(s.findTask(start.Task).runs, ShouldHaveLength, 1)
		})
		Convey("and the next boot doesn't list the run: the order is repeated there and the task starts nowhere else", func() {
			s.HandleReport(now, restartedReport(100*time.Millisecond))
			commitAll(s)
			orders := s.Decide(now, now)
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Kind, ShouldEqual, OrderStart)
			So(orders[0].Worker, ShouldEqual, start.Worker)
			So(orders[0].Boot, ShouldEqual, 2)
			So(orders[0].Run, ShouldEqual, start.Run)
			Convey("also if the worker refuses it for want of room", func() {
				s.HandleStartAnswer(now, orders[0], AnswerFull, 150)
				later := now.Add(time.Second)
				answer(s, later, otherWorker(start))
				s.HandleReport(later, restartedReport(time.Second))
				So(startsOf(s, later), ShouldEqual, 0)
			})
			Convey("and once no order arrives any more the task may start elsewhere", func() {
				later := now.Add(maxCallDelay + time.Second)
				s.HandleReport(later, restartedReport(maxCallDelay+time.Second))
				answer(s, later, otherWorker(start))
				commitAll(s)
				So(recordedStartsOf(s, later), ShouldEqual, 1)
			})
		})
		Convey("and the next boot is drained: it is told to refuse the run", func() {
			r := s.workers[start.Worker].Registration
			r.Boot, r.Draining = 2, true
			s.SetWorker(now, r)
			s.HandleReport(now, restartedReport(100*time.Millisecond))
			s.Decide(now, now)
			commitAll(s)
			orders := s.Decide(now, now)
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Kind, ShouldEqual, OrderStop)
			So(orders[0].Boot, ShouldEqual, 2)
			So(orders[0].Run, ShouldEqual, start.Run)
		})
	})
}

// TestExpiredStartStaysWithItsWorker guards against two runs of a task of which one was started by an order that got no
// answer, had expired, and was carried out by the next boot of its worker.
func TestExpiredStartStaysWithItsWorker(t *testing.T) {
	Convey("A start gets no answer, and a report after its validity doesn't list the run", t, func() {
		s, start := newRestartScenario(testLimits())
		now := simEpoch.Add(12 * time.Second)
		s.HandleStartAnswer(now.Add(-time.Second), start, AnswerMissing, 0)
		answer(s, now, otherWorker(start))
		answer(s, now, start.Worker)
		orders := s.Decide(now, now)
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Kind, ShouldEqual, OrderStart)
		So(orders[0].Worker, ShouldEqual, start.Worker)
		So(orders[0].Run, ShouldEqual, start.Run)
		s.HandleStartAnswer(now, orders[0], AnswerDone, 13_010)
		Convey("the run that is lost with the boot goes on in the next one", func() {
			now = now.Add(time.Second)
			answer(s, now, otherWorker(start))
			s.HandleReport(now, Report{Worker: start.Worker, Boot: 2, Clock: 100})
			commitAll(s)
			again := s.Decide(now, now)
			So(again, ShouldHaveLength, 1)
			So(again[0].Kind, ShouldEqual, OrderStart)
			So(again[0].Worker, ShouldEqual, start.Worker)
			So(again[0].Run, ShouldEqual, start.Run)
		})
		Convey("and the next boot is told to refuse the run of a task that is done", func() {
			now = now.Add(time.Second)
			s.HandleReport(now, Report{Worker: start.Worker, Boot: 1, Clock: 14_000, Ended: []EndReport{
				{Serial: 1, Task: start.Task, Number: start.Run, Reason: EndDone},
			}})
			commitAll(s)
			s.HandleReport(now, Report{Worker: start.Worker, Boot: 2, Clock: 100})
			orders := s.Decide(now, now)
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Kind, ShouldEqual, OrderStop)
			So(orders[0].Boot, ShouldEqual, 2)
			So(orders[0].Run, ShouldEqual, start.Run)
		})
	})
}

// TestStartOfReplacedWorkerIsGivenUp guards against a task that is away for as long as the platform's longest lease because of a
// start that can't arrive any more.
func TestStartOfReplacedWorkerIsGivenUp(t *testing.T) {
	Convey("A start gets no answer on a platform that allows leases of 30 s, and the worker is lost", t, func() {
		limits := testLimits()
		limits.MaxLease = 30 * time.Second
		s, start := newRestartScenario(limits)
		now := simEpoch.Add(11 * time.Second)
		s.HandleStartAnswer(now, start, AnswerMissing, 0)
		s.HandleRenewalFailure(now, start.Worker)
		s.HandleRenewalFailure(now, start.Worker)
		// restartAt returns when the task starts again, at most a minute later.
		restartAt := func() time.Duration {
			for at := now; at.Sub(now) < time.Minute; at = at.Add(100 * time.Millisecond) {
				answer(s, at, otherWorker(start))
				if recordedStartsOf(s, at) > 0 {
					return at.Sub(now)
				}
			}
			return time.Minute
		}
		Convey("for good: the task waits for the leases that its calls can grant", func() {
			granted := time.Duration(start.ValidUntil) * time.Millisecond
			So(restartAt(), ShouldBeBetween, maxCallDelay+granted-time.Second, maxCallDelay+granted+time.Second)
		})
		Convey("and another one has its address: no order arrives any more", func() {
			at := now.Add(4 * time.Second)
			s.SetWorker(at, Registration{
				ID: "x", Boot: 2, Service: "svc", Address: s.workers[start.Worker].Address, Capacity: s.workers[start.Worker].Capacity,
			})
			s.HandleReport(at, Report{Worker: "x", Boot: 2, Clock: 100})
			granted := time.Duration(start.ValidUntil) * time.Millisecond
			So(restartAt(), ShouldBeLessThan, 5*time.Second+granted)
		})
	})
}

// TestConfirmedStartIsNotRecordedAsUnanswered guards against a task that is away for longer after a change of leader because the
// log still holds that its start, confirmed long ago, got no answer.
func TestConfirmedStartIsNotRecordedAsUnanswered(t *testing.T) {
	Convey("A start gets no answer, and its worker lists the run", t, func() {
		s, start := newRestartScenario(testLimits())
		log := map[string]Record{}
		now := simEpoch.Add(11 * time.Second)
		s.HandleStartAnswer(now, start, AnswerMissing, 0)
		commitTo(s, log)
		So(log[prefixUnanswered+start.Task].Value, ShouldNotBeEmpty)
		answer(s, now, start.Worker, RunReport{Task: start.Task, Number: start.Run})
		commitTo(s, log)
		So(log[prefixUnanswered+start.Task].Value, ShouldBeEmpty)
	})
}

// TestListedStrayIsNotStopped guards against a run that is stopped although its task waits: a late order has started it on the
// next boot of its worker.
func TestListedStrayIsNotStopped(t *testing.T) {
	Convey("A start is repeated, its run fails, and the first order reaches the next boot", t, func() {
		s, start := newRestartScenario(testLimits())
		now := simEpoch.Add(12 * time.Second)
		s.HandleStartAnswer(now.Add(-time.Second), start, AnswerMissing, 0)
		answer(s, now, otherWorker(start))
		answer(s, now, start.Worker)
		So(s.Decide(now, now), ShouldHaveLength, 1)
		now = now.Add(time.Second)
		s.HandleReport(now, Report{Worker: start.Worker, Boot: 1, Clock: 14_000, Ended: []EndReport{
			{Serial: 1, Task: start.Task, Number: start.Run, Reason: EndFailed},
		}})
		commitAll(s)
		So(s.Decide(now, now), ShouldBeEmpty)
		s.HandleReport(now, Report{Worker: start.Worker, Boot: 2, Clock: 100, Running: []RunReport{
			{Task: start.Task, Number: start.Run},
		}})
		commitAll(s)
		So(s.Decide(now, now), ShouldBeEmpty)
		So(s.findTask(start.Task).runs, ShouldHaveLength, 1)
	})
}

// TestUnansweredStartOutlivesItsLeader guards against two runs of a task of which one was started by an order of a former
// leader that got no answer and was carried out by the next boot of its worker.
func TestUnansweredStartOutlivesItsLeader(t *testing.T) {
	Convey("A start gets no answer, and another leader follows", t, func() {
		s := New(testLimits(), 1, 1)
		s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
			queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2},
		}})
		log := map[string]Record{}
		now := simEpoch
		answer(s, now, "v")
		answer(s, now, "w")
		submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{newStep(1, 6000, time.Minute)}})
		commitTo(s, log)
		start := s.Decide(now, now)[0]
		now = now.Add(time.Second)
		s.HandleStartAnswer(now, start, AnswerMissing, 0)
		commitTo(s, log)
		next := New(testLimits(), 2, 2)
		next.SetCatalog(s.catalog)
		So(next.Restore(now, now, slices.Collect(maps.Values(log)), now), ShouldBeEmpty)
		Convey("it repeats the order at the same worker, on whichever boot", func() {
			answer(next, now, otherWorker(start))
			next.SetWorker(now, Registration{
				ID: start.Worker, Boot: 2, Service: "svc", Address: start.Worker, Capacity: s.workers[start.Worker].Capacity,
			})
			next.HandleReport(now, Report{Worker: start.Worker, Boot: 2, Clock: 100})
			commitTo(next, log)
			orders := next.Decide(now, now)
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Kind, ShouldEqual, OrderStart)
			So(orders[0].Worker, ShouldEqual, start.Worker)
			So(orders[0].Run, ShouldEqual, start.Run)
			So(orders[0].Token, ShouldEqual, 2)
		})
		Convey("and a worker that it hasn't reached has leases even if it has answered an order", func() {
			answer(next, now, otherWorker(start))
			next.Cancel(now, jobID(1), "")
			commitTo(next, log)
			stop := next.Decide(now, now)[0]
			next.HandleStopAnswer(now, stop, AnswerDone, 12_000)
			next.HandleRenewalFailure(now, start.Worker)
			next.HandleRenewalFailure(now, start.Worker)
			later := now.Add(time.Second)
			next.Decide(later, later)
			So(next.workers[start.Worker].leasesExpired, ShouldBeFalse)
		})
	})
}

// TestStopOutlivesRestart guards against a run that was to be stopped and goes on in the next boot of its worker.
func TestStopOutlivesRestart(t *testing.T) {
	Convey("A job is cancelled before its worker has confirmed a start, and the next boot lists the run", t, func() {
		s, start := newRestartScenario(testLimits())
		now := simEpoch.Add(11 * time.Second)
		s.Cancel(now, jobID(1), "")
		commitAll(s)
		s.Decide(now, now)
		s.HandleReport(now, Report{Worker: start.Worker, Boot: 2, Clock: 100, Running: []RunReport{
			{Task: start.Task, Number: start.Run},
		}})
		commitAll(s)
		orders := s.Decide(now, now)
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Kind, ShouldEqual, OrderStop)
		So(orders[0].Boot, ShouldEqual, 2)
	})
}

// TestAnswerWithoutClockConfirmsNothing guards against a run that is taken for gone because an answer to its start held
// no reading of the worker's clock.
func TestAnswerWithoutClockConfirmsNothing(t *testing.T) {
	Convey("A start is answered without a clock, and a report made before doesn't list the run", t, func() {
		s, start := newRestartScenario(testLimits())
		now := simEpoch.Add(10*time.Second + 50*time.Millisecond)
		s.HandleStartAnswer(now, start, AnswerDone, 0)
		answer(s, now, start.Worker)
		So(s.findTask(start.Task).runs, ShouldHaveLength, 1)
	})
}

// TestWorkerOfEarlierBootIsUsedAgain guards against a worker whose reports are ignored for ever, with the tasks of its
// former boot, because it has restarted after its time of day was put back.
func TestWorkerOfEarlierBootIsUsedAgain(t *testing.T) {
	Convey("A worker with a task restarts as an earlier boot", t, func() {
		s, start := newRestartScenario(testLimits())
		now := simEpoch.Add(11 * time.Second)
		s.HandleStartAnswer(now, start, AnswerDone, 12_000)
		report := func() {
			s.HandleReport(now, Report{Worker: start.Worker, Boot: 0, Clock: now.Sub(simEpoch).Milliseconds()})
			answer(s, now, otherWorker(start))
			commitAll(s)
		}
		report()
		So(s.workers[start.Worker].isUsable(), ShouldBeFalse)
		So(s.findTask(start.Task).runs, ShouldHaveLength, 1)
		Convey("its task starts again once the leases have expired, and it is used again", func() {
			now = now.Add(10 * time.Second)
			report()
			So(recordedStartsOf(s, now), ShouldEqual, 1)
			report()
			So(s.workers[start.Worker].isUsable(), ShouldBeTrue)
		})
	})
}

// TestLateRenewalExtendsLeasesOfNextBoot guards against a task that starts elsewhere while its worker, which has restarted and
// was lost, runs it under a lease that a renewal for the former boot has extended after the first report.
func TestLateRenewalExtendsLeasesOfNextBoot(t *testing.T) {
	Convey("A renewal gets no answer, and the next boot of the worker runs a task and is lost", t, func() {
		s, start := newRestartScenario(leaseLimits())
		now := simEpoch.Add(11 * time.Second)
		s.PlanRenewal(now, start.Worker)
		s.HandleRenewalFailure(now, start.Worker)
		s.PlanRenewal(now, start.Worker)
		s.HandleReport(now, Report{
			Worker: start.Worker, Boot: 2, Clock: 100, Running: []RunReport{{Task: start.Task, Number: start.Run}},
		})
		for range 2 {
			s.PlanRenewal(now, start.Worker)
			s.HandleRenewalFailure(now, start.Worker)
		}
		commitAll(s)
		// The renewal may be carried out at the last moment, and is shortened to the longest lease.
		ends := maxCallDelay + leaseLimits().MaxLease
		later := now.Add(ends)
		answer(s, later, otherWorker(start))
		So(recordedStartsOf(s, later), ShouldEqual, 0)
		later = later.Add(time.Second)
		answer(s, later, otherWorker(start))
		So(recordedStartsOf(s, later), ShouldEqual, 1)
	})
}

// TestStartOnUnseenBootOutlastsFormerLeases guards against a second run of a task whose start was carried out by a boot of its
// worker that the leader had not noticed, and that is cut off before it has reported: its leases last longer than those of the
// former boot.
func TestStartOnUnseenBootOutlastsFormerLeases(t *testing.T) {
	Convey("A worker restarts unnoticed, carries out a start and is cut off", t, func() {
		at := func(d time.Duration) time.Time { return simEpoch.Add(10*time.Second + d) }
		s, start := newRestartScenario(testLimits())
		former := func(d time.Duration) Report {
			return Report{Worker: start.Worker, Boot: 1, Clock: 11_000 + d.Milliseconds()}
		}
		s.PlanRenewal(at(0), start.Worker)
		s.HandleReport(at(10*time.Millisecond), former(10*time.Millisecond))
		s.PlanRenewal(at(10*time.Millisecond), start.Worker)
		// The next boot has been up for 280 ms when the order arrives.
		lapses := at(time.Second + testLimits().MaxLease)
		s.HandleStartAnswer(at(time.Second), start, AnswerDone, 280)
		for n := range 3 {
			s.HandleRenewalFailure(at(time.Duration(n+2)*time.Second), start.Worker)
			s.PlanRenewal(at(time.Duration(n+2)*time.Second), start.Worker)
		}
		So(restarts(s, start, lapses), ShouldEqual, 0)
		Convey("and lists the end of the run when it is back", func() {
			s.HandleReport(lapses, Report{Worker: start.Worker, Boot: 2, Clock: 6300, Ended: []EndReport{
				{Serial: 1, Task: start.Task, Number: start.Run, Reason: EndLeaseExpired},
			}})
			commitAll(s)
			So(restarts(s, start, lapses), ShouldEqual, 1)
		})
	})
}

// TestLeaseOfRestartedWorkerIsWaitedFor guards against a task that starts elsewhere while its worker, which has restarted
// and was lost, runs it under a lease that was meant for the former boot.
func TestLeaseOfRestartedWorkerIsWaitedFor(t *testing.T) {
	Convey("A restarted worker runs a task on a platform that allows leases of ten seconds, and is lost", t, func() {
		s, start := newRestartScenario(leaseLimits())
		now := simEpoch.Add(11 * time.Second)
		s.PlanRenewal(now, start.Worker)
		s.HandleReport(now, Report{
			Worker: start.Worker, Boot: 2, Clock: 100, Running: []RunReport{{Task: start.Task, Number: start.Run}},
		})
		s.PlanRenewal(now, start.Worker)
		s.HandleRenewalFailure(now, start.Worker)
		s.HandleRenewalFailure(now, start.Worker)
		commitAll(s)
		later := now.Add(leaseLimits().MaxLease)
		answer(s, later, otherWorker(start))
		So(recordedStartsOf(s, later), ShouldEqual, 0)
		later = later.Add(time.Second)
		answer(s, later, otherWorker(start))
		commitAll(s)
		So(recordedStartsOf(s, later), ShouldEqual, 1)
	})
}
