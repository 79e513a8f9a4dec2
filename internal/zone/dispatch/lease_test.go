package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// leaseLimits returns the limits of a platform that allows long leases.
func leaseLimits() Limits {
	limits := testLimits()
	limits.MaxLease = 10 * time.Second
	return limits
}

// newLeaseScheduler returns a scheduler on a platform that allows long leases, with a long-running task on one of two
// workers, and the records in its log.
func newLeaseScheduler(now time.Time) (s *Scheduler, start Order, log map[string]Record) {
	s = New(leaseLimits(), 1, 1)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2},
	}})
	s.Restore(now, now, nil, now)
	for _, id := range []string{"v", "w"} {
		answer(s, now, id)
	}
	step := newStep(1, 6000, 0)
	step.LongRunning, step.MaxUnavailable = true, -1
	submitStep(s, now, 1, step)
	log = map[string]Record{}
	commitTo(s, log)
	s.Decide(now, now)
	commitTo(s, log)
	start = s.Decide(now, now)[0]
	s.HandleStartAnswer(now, start, AnswerDone, 1000)
	return s, start, log
}

// answer lists a worker of the lease scheduler and has it answer a lease renewal.
func answer(s *Scheduler, now time.Time, id string, running ...RunReport) {
	s.SetWorker(now, Registration{
		ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: 8000, Memory: 8000},
	})
	s.HandleReport(now, Report{Worker: id, Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds(), Running: running})
}

// otherWorker returns the worker of the lease scheduler that doesn't run the task.
func otherWorker(start Order) string {
	if start.Worker == "w" {
		return "v"
	}
	return "w"
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
		s, start, _ := newLeaseScheduler(simEpoch)
		leftAt := renewUntil(s, start, simEpoch, simEpoch.Add(12*time.Second))
		s.PlanRenewal(leftAt, start.Worker)
		s.HandleRenewalFailure(leftAt.Add(500*time.Millisecond), start.Worker)
		s.DropWorker(leftAt.Add(500*time.Millisecond), start.Worker)
		Convey("its long-running task starts on another one within nine seconds", func() {
			for now := leftAt; ; now = now.Add(50 * time.Millisecond) {
				So(now.Sub(leftAt), ShouldBeLessThan, maxLongRunningWait)
				if recordedStartsOf(s, now) > 0 {
					break
				}
			}
		})
	})
}

// startAfter returns how long after the given time the scheduler starts a task, while only the other worker answers.
func startAfter(s *Scheduler, now time.Time, start Order) time.Duration {
	for at := now; ; at = at.Add(50 * time.Millisecond) {
		answer(s, at, otherWorker(start))
		commitAll(s)
		if recordedStartsOf(s, at) > 0 || at.Sub(now) > time.Minute {
			return at.Sub(now)
		}
	}
}

// TestLeasesOfEarlierTermsAreWaitedFor guards against a task that a new leader starts while it may still run under a lease
// of an earlier one, and against one that waits for longer leases than were granted.
func TestLeasesOfEarlierTermsAreWaitedFor(t *testing.T) {
	Convey("Another leader follows, and a worker with a task is lost", t, func() {
		now := simEpoch
		s, start, log := newLeaseScheduler(now)
		unknown := leaseLimits().MaxUnconfirmedTerm + leaseLimits().MaxLease
		lead := func(token int64) *Scheduler {
			next := New(leaseLimits(), token, int(token))
			next.SetCatalog(s.catalog)
			So(next.Restore(now, now, slices.Collect(maps.Values(log)), now), ShouldBeEmpty)
			return next
		}
		lose := func(next *Scheduler) {
			answer(next, now, start.Worker, RunReport{Task: start.Task, Number: start.Run})
			commitTo(next, log)
			next.HandleRenewalFailure(now, start.Worker)
		}
		Convey("without a record of leases: the longest of the platform", func() {
			delete(log, leasesKey)
			Convey("on a worker that has never answered, after the last order that is possible", func() {
				So(startAfter(lead(2), now, start), ShouldBeBetween, unknown, unknown+500*time.Millisecond)
			})
			Convey("on a worker that has answered", func() {
				next := lead(2)
				lose(next)
				So(startAfter(next, now, start), ShouldBeBetween, leaseLimits().MaxLease, 10500*time.Millisecond)
			})
		})
		Convey("with the record of another term than the one before: the longest of the platform", func() {
			So(startAfter(lead(3), now, start), ShouldBeBetween, unknown, unknown+500*time.Millisecond)
		})
		Convey("with the record of the term before: those that were granted", func() {
			Convey("on a worker that has never answered", func() {
				So(startAfter(lead(2), now, start), ShouldBeBetween, maxGrantedLease, 6500*time.Millisecond)
			})
			Convey("on a worker that has answered", func() {
				next := lead(2)
				lose(next)
				So(startAfter(next, now, start), ShouldBeBetween, maxGrantedLease, 7*time.Second)
			})
		})
		Convey("after three terms: the longest of all that are recorded", func() {
			delete(log, leasesKey)
			commitTo(lead(2), log)
			So(startAfter(lead(3), now, start), ShouldBeBetween, unknown, unknown+500*time.Millisecond)
		})
	})
}

// TestLeasesOfSilentWorkerAreRecorded guards against a task that waits for the leases of a lost worker anew after each
// change of leader, and against one that runs twice because a recorded lease was extended.
func TestLeasesOfSilentWorkerAreRecorded(t *testing.T) {
	Convey("A worker with a task has been silent for four seconds when the leader stops as planned", t, func() {
		now := simEpoch
		s, start, log := newLeaseScheduler(now)
		run := RunReport{Task: start.Task, Number: start.Run}
		answer(s, now, start.Worker, run)
		s.PlanRenewal(now, start.Worker)
		for range minSilentRenewals {
			s.HandleRenewalFailure(now, start.Worker)
		}
		s.Decide(now, now)
		commitTo(s, log)
		now = now.Add(4 * time.Second)
		Convey("under the next leader, which reads the state four seconds later, its task starts at once", func() {
			s.PrepareHandOver(now)
			commitTo(s, log)
			next := New(leaseLimits(), 2, 2)
			next.SetCatalog(s.catalog)
			later := now.Add(8 * time.Second)
			So(next.Restore(later, later, slices.Collect(maps.Values(log)), now), ShouldBeEmpty)
			So(startAfter(next, later, start), ShouldBeLessThan, 500*time.Millisecond)
		})
		Convey("under the next leader its task starts two seconds later", func() {
			s.PrepareHandOver(now)
			commitTo(s, log)
			next := New(leaseLimits(), 2, 2)
			next.SetCatalog(s.catalog)
			So(next.Restore(now, now, slices.Collect(maps.Values(log)), now), ShouldBeEmpty)
			So(startAfter(next, now, start), ShouldBeBetween, 2*time.Second, 2500*time.Millisecond)
		})
		Convey("and has come back: its leases are extended once the record without it is durable", func() {
			answer(s, now, start.Worker, run)
			plan, ok := s.PlanRenewal(now, start.Worker)
			So(ok, ShouldBeTrue)
			So(plan.LeaseUntil, ShouldEqual, 0)
			b, ok := s.TakeBatch()
			So(ok, ShouldBeTrue)
			plan, _ = s.PlanRenewal(now, start.Worker)
			So(plan.LeaseUntil, ShouldEqual, 0)
			s.MarkCommitted(b)
			plan, _ = s.PlanRenewal(now, start.Worker)
			So(plan.LeaseUntil, ShouldBeGreaterThan, 0)
		})
		Convey("and has come back and is silent again: its leases are not extended", func() {
			answer(s, now, start.Worker, run)
			b, _ := s.TakeBatch()
			for range minSilentRenewals {
				s.HandleRenewalFailure(now, start.Worker)
			}
			s.Decide(now, now)
			silent, _ := s.TakeBatch()
			answer(s, now, start.Worker, run)
			s.MarkCommitted(b)
			plan, _ := s.PlanRenewal(now, start.Worker)
			So(plan.LeaseUntil, ShouldEqual, 0)
			s.MarkCommitted(silent)
			plan, _ = s.PlanRenewal(now, start.Worker)
			So(plan.LeaseUntil, ShouldEqual, 0)
		})
	})
}

// TestRunsOfLeavingWorkerCountUntilTheirLeasesLapse guards against a task that runs twice because its worker, which ends
// what it runs after all else, is taken for gone by the signs of its leaving.
func TestRunsOfLeavingWorkerCountUntilTheirLeasesLapse(t *testing.T) {
	Convey("A worker runs a task", t, func() {
		now := simEpoch
		s, start, _ := newLeaseScheduler(now)
		answer(s, now, start.Worker, RunReport{Task: start.Task, Number: start.Run})
		commitAll(s)
		plan, _ := s.PlanRenewal(now, start.Worker)
		at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
		drain := func() {
			r := s.workers[start.Worker].Registration
			r.Draining = true
			s.SetWorker(now, r)
		}
		unlist := func(ms int) { s.DropWorker(at(ms), start.Worker) }
		fail := func(ms int) { s.HandleRenewalFailure(at(ms), start.Worker) }
		// startsOnceLapsed checks that the task starts once the leases have lapsed by the slowest clock, and not before.
		startsOnceLapsed := func() {
			lapsed := int(float64(plan.LeaseUntil-1000) / minWorkerClockRate)
			// The margin for the rounding of clocks.
			const margin = 100
			So(recordedStartsOf(s, at(lapsed+margin-2)), ShouldEqual, 0)
			So(recordedStartsOf(s, at(lapsed+margin+2)), ShouldEqual, 1)
		}
		Convey("and drains, answers no renewal and is removed from the list", func() {
			drain()
			fail(0)
			fail(750)
			unlist(900)
			startsOnceLapsed()
		})
		Convey("and drains, is removed from the list and answers no renewal", func() {
			drain()
			unlist(0)
			fail(100)
			fail(850)
			startsOnceLapsed()
		})
		Convey("and answers no renewal and is removed from the list without draining", func() {
			fail(0)
			fail(750)
			unlist(900)
			startsOnceLapsed()
		})
		Convey("and drains, and answers once more before it is cut off", func() {
			drain()
			fail(0)
			s.HandleReport(at(10), Report{
				Worker: start.Worker, Boot: 1, Clock: 1010,
				Running: []RunReport{{Task: start.Task, Number: start.Run}},
			})
			fail(100)
			fail(850)
			unlist(900)
			startsOnceLapsed()
		})
		Convey("and drains, is cut off, and its entry expires later", func() {
			drain()
			fail(0)
			fail(750)
			fail(1500)
			unlist(2000)
			startsOnceLapsed()
		})
		Convey("and drains, and its entry has expired before it is cut off", func() {
			drain()
			unlist(0)
			fail(2000)
			fail(2750)
			startsOnceLapsed()
		})
	})
}

// TestLeasesOfDrainingWorkerAreShort guards against tasks that wait for long leases of a worker that has left, and against
// leases that lapse because one renewal of such a worker gets no answer.
func TestLeasesOfDrainingWorkerAreShort(t *testing.T) {
	Convey("A worker with a task announces that it leaves in four seconds at the earliest", t, func() {
		now := simEpoch
		s, start, _ := newLeaseScheduler(now)
		run := RunReport{Task: start.Task, Number: start.Run}
		answer(s, now, start.Worker, run)
		commitAll(s)
		r := s.workers[start.Worker].Registration
		r.Draining, r.LeavesIn = true, 4*time.Second
		s.SetWorker(now, r)
		// renew returns how long after the given time the leases last that the next renewal grants, and its wait.
		renew := func(after time.Duration) (lease, wait time.Duration) {
			clock := 1000 + after.Milliseconds()
			s.HandleReport(now.Add(after), Report{Worker: start.Worker, Boot: 1, Clock: clock, Running: []RunReport{run}})
			plan, ok := s.PlanRenewal(now.Add(after), start.Worker)
			So(ok, ShouldBeTrue)
			return time.Duration(plan.LeaseUntil-clock) * time.Millisecond, plan.Wait
		}
		Convey("its leases last until it may leave", func() {
			lease, _ := renew(500 * time.Millisecond)
			So(lease, ShouldEqual, 3500*time.Millisecond)
		})
		Convey("and are short from then on", func() {
			for _, after := range []time.Duration{2 * time.Second, 4 * time.Second, 10 * time.Second} {
				lease, _ := renew(after)
				So(lease, ShouldEqual, drainingLease)
			}
		})
		Convey("an entry that is read again doesn't put that off", func() {
			s.SetWorker(now.Add(3*time.Second), r)
			lease, _ := renew(3 * time.Second)
			So(lease, ShouldEqual, drainingLease)
		})
		Convey("and one of its next boot, which doesn't leave, ends it", func() {
			r.Boot, r.Draining = 2, false
			s.SetWorker(now.Add(3*time.Second), r)
			r.Draining = true
			s.SetWorker(now.Add(3*time.Second), r)
			So(s.workers[start.Worker].leaveAt, ShouldEqual, now.Add(7*time.Second))
		})
		Convey("the leases outlast a renewal without an answer, after which one call only asks", func() {
			lease, wait := renew(4 * time.Second)
			// A call without an answer is given up 0.6 s after its wait, and the next one, which only asks, follows 0.15 s later.
			const margin, pause, roundTrip = 600 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond
			answered := wait + roundTrip
			asked := answered + wait + margin + pause + roundTrip
			So(asked+roundTrip/2, ShouldBeLessThan, lease)
		})
		Convey("and are renewed less often while it runs nothing", func() {
			s.HandleReport(now.Add(4*time.Second), Report{Worker: start.Worker, Boot: 1, Clock: 5000, Ended: []EndReport{
				{Serial: 1, Task: start.Task, Number: start.Run, Reason: EndStopped},
			}})
			commitAll(s)
			plan, _ := s.PlanRenewal(now.Add(4*time.Second), start.Worker)
			So(plan.LeaseUntil, ShouldEqual, 5000+drainingLease.Milliseconds())
			So(plan.Wait, ShouldEqual, drainingLease/renewalsPerLease)
		})
		Convey("and when it has left, its task starts elsewhere once the short leases have lapsed", func() {
			leftAt := 5 * time.Second
			renew(leftAt)
			s.HandleRenewalFailure(now.Add(leftAt+time.Second), start.Worker)
			s.DropWorker(now.Add(leftAt+time.Second), start.Worker)
			lapse := leaseEnd(now, drainingLease).Sub(now)
			away := startAfter(s, now.Add(leftAt), start)
			So(away, ShouldBeBetweenOrEqual, lapse, lapse+100*time.Millisecond)
		})
	})
}

// TestLateFirstReportEndsNoLease guards against a task that runs twice because the first report of its worker was read
// late: the worker's clock is then older than it seems.
func TestLateFirstReportEndsNoLease(t *testing.T) {
	Convey("A worker's leases are silent to the next leader, its first report is read two seconds late", t, func() {
		now := simEpoch
		s, start, log := newLeaseScheduler(now)
		run := RunReport{Task: start.Task, Number: start.Run}
		answer(s, now, start.Worker, run)
		plan, _ := s.PlanRenewal(now, start.Worker)
		commitTo(s, log)
		next := New(leaseLimits(), 2, 2)
		next.SetCatalog(s.catalog)
		So(next.Restore(now, now, slices.Collect(maps.Values(log)), now), ShouldBeEmpty)
		next.SetWorker(now, s.workers[start.Worker].Registration)
		for range minSilentRenewals {
			next.HandleRenewalFailure(now.Add(time.Second), start.Worker)
		}
		next.Decide(now.Add(time.Second), now.Add(time.Second))
		_, ok := next.TakeBatch()
		So(ok, ShouldBeTrue)
		clock := func(at time.Duration) int64 { return 1000 + int64(minWorkerClockRate*float64(at.Milliseconds())) }
		report := func(clockAt, readAt time.Duration) {
			next.HandleReport(now.Add(readAt), Report{
				Worker: start.Worker, Boot: 1, Clock: clock(clockAt), Running: []RunReport{run},
			})
		}
		report(time.Second, 3*time.Second)
		held, _ := next.PlanRenewal(now.Add(3*time.Second), start.Worker)
		So(held.LeaseUntil, ShouldEqual, 0)
		report(3100*time.Millisecond, 3100*time.Millisecond)
		end := now.Add(time.Duration(float64(plan.LeaseUntil-1000)/minWorkerClockRate) * time.Millisecond)
		So(next.workers[start.Worker].leasesEndAt(), ShouldHappenOnOrAfter, end)
	})
}

// TestPreviousLeaderConfirmsItsEnd guards against tasks that wait for leases which the previous leader can't have
// granted, since it has answered that it has ended, and against a shorter wait where older leases may last.
func TestPreviousLeaderConfirmsItsEnd(t *testing.T) {
	Convey("The previous leader may go on for two seconds, and a worker with a task is lost", t, func() {
		now := simEpoch
		s, start, log := newLeaseScheduler(now)
		ordersUntil := now.Add(leaseLimits().MaxUnconfirmedTerm)
		lead := func(token int64) *Scheduler {
			next := New(leaseLimits(), token, int(token))
			next.SetCatalog(s.catalog)
			So(next.Restore(now, now, slices.Collect(maps.Values(log)), ordersUntil), ShouldBeEmpty)
			return next
		}
		longest := leaseLimits().MaxUnconfirmedTerm + maxGrantedLease
		Convey("the task waits for leases that are granted until then", func() {
			So(startAfter(lead(2), now, start), ShouldBeBetween, longest, longest+500*time.Millisecond)
		})
		Convey("the task waits for leases that are granted until the leader has confirmed its end", func() {
			next := lead(2)
			next.EndPreviousOrders(now.Add(200 * time.Millisecond))
			So(startAfter(next, now, start), ShouldBeBetween, maxGrantedLease+200*time.Millisecond, 7*time.Second)
		})
		Convey("an end after that time changes nothing", func() {
			next := lead(2)
			next.EndPreviousOrders(now.Add(time.Minute))
			So(startAfter(next, now, start), ShouldBeBetween, longest, longest+500*time.Millisecond)
		})
		Convey("the task waits for the leader before that if the previous one has recorded nothing", func() {
			ordersUntil = now.Add(30 * time.Second)
			next := lead(3)
			next.EndPreviousOrders(now)
			longest := leaseLimits().MaxUnconfirmedTerm + leaseLimits().MaxLease
			So(startAfter(next, now, start), ShouldBeBetween, longest, longest+500*time.Millisecond)
		})
	})
}

// TestExpiredLeaseNeedsConfirmation guards against a task that a leader starts again because it can't reach the worker,
// although a later leader reaches it and has extended the leases there.
func TestExpiredLeaseNeedsConfirmation(t *testing.T) {
	Convey("A worker with a task does not answer the leader until its leases have ended", t, func() {
		now := simEpoch
		s, start, log := newLeaseScheduler(now)
		run := RunReport{Task: start.Task, Number: start.Run}
		answer(s, now, start.Worker, run)
		s.PlanRenewal(now, start.Worker)
		lost := now.Add(10 * time.Second)
		starts := func(s *Scheduler, confirmedAt time.Time) int {
			answer(s, lost, otherWorker(start))
			commitAll(s)
			orders := s.Decide(lost, confirmedAt)
			commitAll(s)
			return len(append(orders, s.Decide(lost, confirmedAt)...))
		}
		Convey("and the store has not confirmed the term since", func() {
			for range minSilentRenewals {
				s.HandleRenewalFailure(now, start.Worker)
			}
			So(s.WantsConfirmation(now), ShouldBeFalse)
			So(starts(s, now.Add(2*time.Second)), ShouldEqual, 0)
			So(s.WantsConfirmation(lost), ShouldBeTrue)
			Convey("the task starts once it has", func() {
				So(starts(s, lost), ShouldEqual, 1)
				So(s.WantsConfirmation(lost), ShouldBeFalse)
			})
		})
		Convey("under the next leader, which the store has not confirmed since either", func() {
			next := New(leaseLimits(), 2, 2)
			next.SetCatalog(s.catalog)
			So(next.Restore(now, now, slices.Collect(maps.Values(log)), now), ShouldBeEmpty)
			So(starts(next, now.Add(2*time.Second)), ShouldEqual, 0)
			So(next.WantsConfirmation(lost), ShouldBeTrue)
			Convey("the task starts once it has", func() {
				So(starts(next, lost), ShouldEqual, 1)
			})
		})
	})
}
