package dispatch

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// holdScenario is a long-running task of eight cores whose run was lost, on two workers that are full of short tasks.
type holdScenario struct {
	sim  *loadSim
	lost *task
}

// newHoldScenario returns a scenario whose short tasks take as long as the estimate says times the slowdown.
func newHoldScenario(slowdown float64) *holdScenario {
	sim := newLoadSim(1, 2, loadMix{})
	sim.submit("long-running", sim.spec(1, 1, 8000, 0, true))
	sim.run(2 * time.Second)
	for _, w := range sim.workers {
		w.slowdown = slowdown
	}
	sc := &holdScenario{sim: sim, lost: sim.s.findTask(jobID(1) + ".0.0.0")}
	sim.submitAtRate("short", 10, func() workflow.Spec { return sim.spec(1, 4, 4000, time.Second, false) })
	sim.run(time.Second)
	// Room of its stage was reclaimed lately, so that short tasks come first.
	sc.lost.stage.yieldedAt = sim.now
	r := sc.lost.runs[0]
	delete(sim.workers[r.worker.ID].runs, runKey{r.task.name, r.number})
	sim.s.releaseRun(sim.now, r)
	// Its worker was silent until the leases had lapsed.
	sc.lost.awaySince = sim.now.Add(-lapseTime)
	sim.run(100 * time.Millisecond)
	return sc
}

// lapseTime is how long a task whose worker is lost is away until its leases have lapsed.
const lapseTime = 6200 * time.Millisecond

// TestLostTaskIsNotStarved guards against a long-running task that was lost with its worker, which has taken most of the
// nine seconds, and that then waits for short tasks.
func TestLostTaskIsNotStarved(t *testing.T) {
	Convey("A lost task starts again within the rest of nine seconds after its leases have lapsed", t, func() {
		sc := newHoldScenario(1)
		So(sc.lost.queued, ShouldBeTrue)
		sc.sim.run(maxLongRunningWait - lapseTime)
		So(sc.lost.queued, ShouldBeFalse)
	})
}

// TestAwayCountsFromLastReport guards against a lost task whose nine seconds are counted from the moment at which its leases
// have lapsed.
func TestAwayCountsFromLastReport(t *testing.T) {
	Convey("A lost task is away since its worker last listed it", t, func() {
		sim := newLoadSim(1, 1, loadMix{})
		sim.submit("long-running", sim.spec(1, 1, 8000, 0, true))
		sim.run(4 * time.Second)
		lost := sim.s.findTask(jobID(1) + ".0.0.0")
		seenAt := lost.runs[0].worker.clockAt
		sim.s.releaseRun(seenAt.Add(lapseTime), lost.runs[0])
		So(lost.awaySince, ShouldEqual, seenAt)
	})
}

// TestHoldEnds guards against a worker that is held without end for a task that never fits.
func TestHoldEnds(t *testing.T) {
	Convey("While short tasks take far longer than estimated, no worker is held for longer than maxRoomWait", t, func() {
		sc := newHoldScenario(40)
		So(sc.lost.queued, ShouldBeTrue)
		held, heldSince := false, map[*Worker]time.Time{}
		for end := sc.sim.now.Add(6 * time.Second); sc.sim.now.Before(end); sc.sim.run(20 * time.Millisecond) {
			for _, w := range sc.sim.s.workers {
				heldSince[w] = conditionSince(heldSince[w], sc.sim.now, w.heldFor != nil)
				held = held || w.heldFor != nil
				if w.heldFor != nil {
					So(sc.sim.now.Sub(heldSince[w]), ShouldBeLessThan, maxRoomWait+300*time.Millisecond)
				}
			}
			So(len(sc.sim.s.holds), ShouldBeLessThanOrEqualTo, 1)
		}
		So(held, ShouldBeTrue)
	})
}

// TestHeldWorkerTakesNothingElse guards against short tasks that fill the room on a worker that is held.
func TestHeldWorkerTakesNothingElse(t *testing.T) {
	Convey("While a worker is held for a task", t, func() {
		sc := newHoldScenario(1)
		s := sc.sim.s
		for range 100 {
			if len(s.holds) > 0 {
				break
			}
			sc.sim.run(20 * time.Millisecond)
		}
		So(s.holds, ShouldHaveLength, 1)
		h := s.holds[0]
		So(h.task, ShouldEqual, sc.lost)
		Convey("no short task may start there, but the task may", func() {
			for _, st := range s.ready {
				if st.isShort() {
					So(s.isEligible(sc.sim.now, st.tasks[0], h.worker), ShouldBeFalse)
				}
			}
			So(s.isEligible(sc.sim.now, sc.lost, h.worker), ShouldBeTrue)
		})
		Convey("it is free again once the task's job is cancelled", func() {
			s.Cancel(sc.sim.now, jobID(1), "")
			s.endHolds(sc.sim.now)
			So(s.holds, ShouldBeEmpty)
			So(h.worker.heldFor, ShouldBeNil)
			So(sc.lost.hold, ShouldBeNil)
		})
	})
}

// TestTasksOfManyLeavingWorkersReturn guards against tasks of which many lose their workers at once and each waits for the
// room of the one before it.
func TestTasksOfManyLeavingWorkersReturn(t *testing.T) {
	for seed := range uint64(3) {
		Convey("A fifth of the workers leaves under too many short tasks, seed "+strconv.Itoa(int(seed)), t, func() {
			const workers = 60
			sim := saturate(seed, workers)
			sim.run(5 * time.Second)
			sim.after(100*time.Millisecond, func() {
				for i := range workers / 5 {
					id := "w" + strconv.Itoa(i*5)
					clear(sim.workers[id].runs)
					sim.s.DropWorker(sim.now, id)
					for _, r := range sim.s.runsOf(sim.s.workers[id]) {
						sim.s.loseRun(sim.now, r, "left")
					}
				}
			})
			for _, away := range sim.absences(25 * time.Second) {
				So(away, ShouldBeLessThan, maxLongRunningWait)
			}
		})
	}
}
