package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestTaskIsNotStartedTwiceAfterStop repeats histories in which a leader ordered a stop right before it was replaced. The
// next leader started the task again while the worker was still stopping it.
func TestTaskIsNotStartedTwiceAfterStop(t *testing.T) {
	Convey("The next leader doesn't start a task again that is being stopped", t, func() {
		Convey("with lost answers and two takeovers in a row", func() {
			sim := newSimulation(0, 2)
			sim.lossRate, sim.delayRate = 0.2, 0.05
			sim.submitJobs(21)
			for _, outage := range []struct{ at, long time.Duration }{
				{545 * time.Millisecond, 226 * time.Millisecond}, {27 * time.Millisecond, 1266 * time.Millisecond},
			} {
				sim.after(outage.at, func() { sim.storeDown = true })
				sim.after(outage.at+outage.long, func() { sim.storeDown = false })
			}
			sim.after(777*time.Millisecond, sim.takeOver)
			sim.after(6971*time.Millisecond, func() { sim.takeOver(); sim.after(50*time.Millisecond, sim.takeOver) })
			sim.run(9 * time.Second)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("or on a worker that has restarted and carries out an order of the leader before", func() {
			sim := newSimulation(0x60, 2)
			sim.lossRate = 0.02
			sim.submitJobs(23)
			sim.after(9*time.Second, sim.takeOver)
			sim.after(44*time.Millisecond, sim.takeOver)
			sim.after(9*time.Second, func() { sim.crash(sim.workers[1], 100*time.Millisecond) })
			sim.after(991*time.Millisecond, func() { sim.takeOver(); sim.after(50*time.Millisecond, sim.takeOver) })
			sim.after(0, sim.takeOver)
			sim.after(2*time.Millisecond, func() { sim.storeDown = true })
			sim.after(2537*time.Millisecond, func() { sim.storeDown = false })
			sim.run(11 * time.Second)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("with late orders and one takeover", func() {
			sim := newSimulation(0x8f9cad09da6, 2)
			sim.delayRate = 0.05
			sim.submitJobs(16)
			sim.after(41*time.Millisecond, func() { sim.takeOver(); sim.after(50*time.Millisecond, sim.takeOver) })
			sim.after(116*time.Millisecond, sim.takeOver)
			sim.after(8477*time.Millisecond, sim.takeOver)
			sim.run(10 * time.Second)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// newStopScenario returns a scheduler with one worker, and one of its runs, which takes 6 of the worker's 8 cores.
func newStopScenario(now time.Time) (*Scheduler, RunReport) {
	s := newStopScheduler(now, 1)
	s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
	s.Submit(now, Request{
		ID: jobID(1), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 6000, time.Second)}},
		WallTime: now,
	})
	commitAll(s)
	o := s.Decide(now, now)[0]
	s.HandleStartAnswer(now, o, AnswerDone, 1010)
	return s, RunReport{Task: o.Task, Number: o.Run}
}

// newStopScheduler returns a scheduler of the term with the serial and one listed worker.
func newStopScheduler(now time.Time, serial int) *Scheduler {
	s := New(testLimits(), int64(serial), serial)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2},
	}})
	s.SetWorker(now, Registration{
		ID: "w", Boot: 1, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
	})
	return s
}

// commitAll makes all changes durable and returns their records.
func commitAll(s *Scheduler) []Record {
	b, _ := s.TakeBatch()
	s.MarkCommitted(b)
	return b.Records
}

// startsOf returns the number of start orders that are due.
func startsOf(s *Scheduler, now time.Time) int {
	n := 0
	for _, o := range s.Decide(now, now) {
		if o.Kind == OrderStart {
			n++
		}
	}
	return n
}

// recordedStartsOf returns the number of start orders that are due, with those that wait only for the record of their worker.
func recordedStartsOf(s *Scheduler, now time.Time) int {
	n := startsOf(s, now)
	commitAll(s)
	return n + startsOf(s, now)
}

func TestStopIsDurableBeforeItsOrder(t *testing.T) {
	Convey("An order to stop is sent once its record is durable", t, func() {
		now := simEpoch
		s, _ := newStopScenario(now)
		s.Cancel(now, jobID(1), "")
		So(s.Decide(now, now), ShouldBeEmpty)
		commitAll(s)
		orders := s.Decide(now, now)
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Kind, ShouldEqual, OrderStop)
		Convey("and again while the run is listed", func() {
			So(s.Decide(now.Add(stopResendInterval), now.Add(stopResendInterval)), ShouldBeEmpty)
			So(s.Decide(now.Add(stopResendInterval+time.Millisecond), now.Add(stopResendInterval+time.Millisecond)), ShouldHaveLength, 1)
		})
	})
}

func TestRestoredStopKeepsItsRoom(t *testing.T) {
	Convey("A leader ordered a stop, and the next one reads its records", t, func() {
		now := simEpoch
		first, running := newStopScenario(now)
		r := first.workers["w"].runs[runKey{running.Task, running.Number}]
		first.stopRun(r, "test")
		records := commitAll(first)
		records = append(records, Record{Key: prefixWorker + "w", Value: encode(&workerRecord{Boot: 1, Service: "svc"})})
		records = append(records, first.jobs[jobID(1)].specRecord())
		s := newStopScheduler(now, 2)
		So(s.Restore(now, now, records, now), ShouldBeEmpty)
		Convey("a report without the run leaves its room taken and its task unstarted until its end is listed", func() {
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1500})
			commitAll(s)
			So(startsOf(s, now), ShouldEqual, 0)
			So(s.workers["w"].used.Cores, ShouldEqual, 6000)
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1700, Ended: []EndReport{
				{Serial: 1, Task: running.Task, Number: running.Number, Reason: EndStopped},
			}})
			So(startsOf(s, now), ShouldEqual, 1)
			Convey("and the record of the stop is removed with the end", func() {
				So(commitAll(s), ShouldContain, Record{Key: prefixStops + "w"})
			})
		})
		Convey("a report of another boot frees it", func() {
			s.HandleReport(now, Report{Worker: "w", Boot: 2, Clock: 10})
			commitAll(s)
			So(startsOf(s, now), ShouldEqual, 1)
		})
		Convey("a run that is listed again goes on", func() {
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1500, Running: []RunReport{running}})
			commitAll(s)
			So(startsOf(s, now), ShouldEqual, 0)
			So(s.workers["w"].runs, ShouldHaveLength, 1)
		})
	})
	Convey("A stop of a worker that is not recorded any more is removed", t, func() {
		s := newStopScheduler(simEpoch, 2)
		value := encode(&stopsRecord{Boot: 1, Runs: []stoppedRun{{Task: jobID(1) + ".0.0.0", Number: 1}}})
		So(s.Restore(simEpoch, simEpoch, []Record{{Key: prefixStops + "gone", Value: value}}, simEpoch), ShouldBeEmpty)
		So(commitAll(s), ShouldContain, Record{Key: prefixStops + "gone"})
	})
	Convey("A malformed record is reported", t, func() {
		s := newStopScheduler(simEpoch, 2)
		So(s.Restore(simEpoch, simEpoch, []Record{{Key: prefixStops + "w", Value: []byte{1}}}, simEpoch), ShouldHaveLength, 1)
	})
}

// TestRepeatedStopReleasesItsRoom guards against a run that is never listed and keeps its room for ever because each
// answer to the repeated order to stop it put off its release.
func TestRepeatedStopReleasesItsRoom(t *testing.T) {
	Convey("A start never arrives, and its job is cancelled before that is known", t, func() {
		now, clock := simEpoch, int64(1000)
		s := newStopScheduler(now, 1)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: clock})
		submit := func(n int) {
			s.Submit(now, Request{
				ID: jobID(n), Queue: queueName, Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 6000, time.Second)}},
				WallTime: now,
			})
			commitAll(s)
		}
		submit(1)
		s.HandleStartAnswer(now, s.Decide(now, now)[0], AnswerMissing, 0)
		s.Cancel(now, jobID(1), "")
		submit(2)
		Convey("its room is free once the worker has answered the stop and could have listed the end", func() {
			started := func() (started bool) {
				for _, o := range s.Decide(now, now) {
					if o.Kind == OrderStop {
						s.HandleStopAnswer(now, o, AnswerDone, clock)
					}
					started = started || o.Kind == OrderStart
				}
				return started
			}
			for !started() {
				So(now.Sub(simEpoch), ShouldBeLessThan, startOrderValidity+unlistedTimeout+time.Second)
				now, clock = now.Add(50*time.Millisecond), clock+50
				s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: clock})
				commitAll(s)
			}
			So(now.Sub(simEpoch), ShouldBeGreaterThan, unlistedTimeout)
		})
	})
}
