package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// leavingScenario is a scheduler with two workers and a task on one of them, which has announced that it leaves.
type leavingScenario struct {
	s       *Scheduler
	start   Order
	leaveAt time.Time
}

// newLeavingScenario starts one task of the step, which reports the progress in percent, and has its worker announce
// that it leaves in three seconds at the earliest.
func newLeavingScenario(step workflow.Step, progress int) *leavingScenario {
	s := newBoundedScheduler(1, 0, 0)
	for _, id := range []string{"v", "w"} {
		answer(s, simEpoch, id)
	}
	commitAll(s)
	submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{step}})
	commitAll(s)
	// The start of a long-running task is ordered once its worker is recorded.
	orders := s.Decide(simEpoch, simEpoch)
	commitAll(s)
	orders = append(orders, s.Decide(simEpoch, simEpoch)...)
	c := &leavingScenario{s: s, start: orders[0], leaveAt: simEpoch.Add(3 * time.Second)}
	s.HandleStartAnswer(simEpoch, c.start, AnswerDone, 1000)
	c.report(simEpoch, RunReport{Task: c.start.Task, Number: c.start.Run, Progress: progress})
	r := s.workers[c.start.Worker].Registration
	r.Draining, r.LeavesIn = true, 3*time.Second
	s.SetWorker(simEpoch, r)
	return c
}

// report has the worker of the task answer a lease renewal.
func (c *leavingScenario) report(now time.Time, running ...RunReport) {
	c.s.HandleReport(now, Report{
		Worker: c.start.Worker, Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds(), Running: running,
	})
	commitAll(c.s)
}

// stopsAt returns the number of stops that are ordered after a report at the time, with the progress in percent.
func (c *leavingScenario) stopsAt(now time.Time, progress int) int {
	c.report(now, RunReport{Task: c.start.Task, Number: c.start.Run, Progress: progress, Checkpoint: "saved"})
	return stopsOrdered(c.s, now, now)
}

// stopsOrdered returns the number of stops that are decided at a time and ordered once they are recorded.
func stopsOrdered(s *Scheduler, now, confirmedAt time.Time) int {
	orders := s.Decide(now, confirmedAt)
	commitAll(s)
	n := 0
	for _, o := range append(orders, s.Decide(now, confirmedAt)...) {
		if o.Kind == OrderStop {
			n++
		}
	}
	return n
}

// TestTaskOfLeavingWorkerIsMoved guards against a task that is killed with its worker, and away until the leases have lapsed,
// although the worker has announced that it leaves and another one has room.
func TestTaskOfLeavingWorkerIsMoved(t *testing.T) {
	longRunning, checkpointing, plain := newStep(1, 6000, 0), newStep(1, 6000, 20*time.Second), newStep(1, 6000, 20*time.Second)
	longRunning.LongRunning, checkpointing.Checkpointing = true, true
	Convey("A long-running task is stopped right before its worker may leave, and starts elsewhere once its end is listed", t, func() {
		c := newLeavingScenario(longRunning, 100)
		So(c.stopsAt(c.leaveAt.Add(-moveLeadTime-time.Millisecond), 100), ShouldEqual, 0)
		now := c.leaveAt.Add(-moveLeadTime)
		So(c.stopsAt(now, 100), ShouldEqual, 1)
		So(startsOf(c.s, now), ShouldEqual, 0)
		now = now.Add(300 * time.Millisecond)
		c.s.HandleReport(now, Report{Worker: c.start.Worker, Boot: 1, Clock: 4000, Ended: []EndReport{
			{Serial: 1, Task: c.start.Task, Number: c.start.Run, Reason: EndStopped},
		}})
		So(recordedStartsOf(c.s, now), ShouldEqual, 1)
	})
	Convey("It goes on while no other worker has room", t, func() {
		c := newLeavingScenario(longRunning, 100)
		c.s.DropWorker(simEpoch, otherWorker(c.start))
		So(c.stopsAt(c.leaveAt, 100), ShouldEqual, 0)
		Convey("and room is looked for again later", func() {
			answer(c.s, c.leaveAt, otherWorker(c.start))
			So(c.stopsAt(c.leaveAt.Add(moveRetryInterval-time.Millisecond), 100), ShouldEqual, 0)
			So(c.stopsAt(c.leaveAt.Add(moveRetryInterval), 100), ShouldEqual, 1)
		})
	})
	Convey("It goes on while the leader may give no orders, or the store has not confirmed the term lately", t, func() {
		c := newLeavingScenario(longRunning, 100)
		c.s.SetHalted(true)
		So(c.stopsAt(c.leaveAt, 100), ShouldEqual, 0)
		c.s.SetHalted(false)
		So(stopsOrdered(c.s, c.leaveAt, c.leaveAt.Add(-maxMoveConfirmationAge-time.Millisecond)), ShouldEqual, 0)
		So(stopsOrdered(c.s, c.leaveAt, c.leaveAt), ShouldEqual, 1)
	})
	Convey("A task that waits for the only room elsewhere goes first", t, func() {
		c := newLeavingScenario(longRunning, 100)
		submitSpec(c.s, 2, workflow.Spec{Steps: []workflow.Step{newStep(1, 6000, time.Minute)}})
		commitAll(c.s)
		So(c.stopsAt(c.leaveAt, 100), ShouldEqual, 0)
	})
	Convey("A member of a gang goes on, and so does a speculative copy", t, func() {
		for _, change := range []func(*workflow.Step){
			func(step *workflow.Step) { step.Gang = true },
			func(step *workflow.Step) { step.Speculative = true },
		} {
			step := longRunning
			change(&step)
			r := &run{task: &task{stage: &stage{spec: &step}}, phase: phaseRunning}
			r.task.runs = []*run{r}
			So(r.isMovable(), ShouldBeFalse)
		}
	})
	Convey("A short task that keeps its progress is moved", t, func() {
		So(newLeavingScenario(checkpointing, 10).stopsAt(simEpoch.Add(3*time.Second), 20), ShouldEqual, 1)
	})
	Convey("One that is almost done goes on", t, func() {
		So(newLeavingScenario(checkpointing, 90).stopsAt(simEpoch.Add(3*time.Second), 97), ShouldEqual, 0)
	})
	Convey("One that would lose its work goes on", t, func() {
		So(newLeavingScenario(plain, 10).stopsAt(simEpoch.Add(3*time.Second), 20), ShouldEqual, 0)
	})
}

// TestLeavingWorkersShareRoom guards against tasks of leaving workers that are stopped for one and the same room, so that
// all but one are away although they could have gone on.
func TestLeavingWorkersShareRoom(t *testing.T) {
	Convey("Three workers with a long-running task each leave, and one other has room for one", t, func() {
		s := newBoundedScheduler(1, 0, 0)
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			answer(s, simEpoch, id)
		}
		commitAll(s)
		step := newStep(3, 6000, 0)
		step.LongRunning = true
		submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{step}})
		commitAll(s)
		orders := s.Decide(simEpoch, simEpoch)
		commitAll(s)
		orders = append(orders, s.Decide(simEpoch, simEpoch)...)
		So(orders, ShouldHaveLength, 3)
		report := func(now time.Time) {
			for _, o := range orders {
				s.HandleReport(now, Report{
					Worker: o.Worker, Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds(),
					Running: []RunReport{{Task: o.Task, Number: o.Run, Progress: 100}},
				})
			}
			commitAll(s)
		}
		for _, o := range orders {
			s.HandleStartAnswer(simEpoch, o, AnswerDone, 1000)
		}
		report(simEpoch)
		answer(s, simEpoch, "z")
		commitAll(s)
		for _, id := range ids {
			r := s.workers[id].Registration
			r.Draining = true
			s.SetWorker(simEpoch, r)
		}
		So(stopsOrdered(s, simEpoch, simEpoch), ShouldEqual, 1)
		later := simEpoch.Add(moveRetryInterval)
		answer(s, later, "z")
		report(later)
		So(stopsOrdered(s, later, later), ShouldEqual, 0)
	})
}
