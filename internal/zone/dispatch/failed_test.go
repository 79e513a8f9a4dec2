package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestFailedJobHasUsedUpItsAttempts plays runs that fail beside faults, and checks that each job which is shown as failed
// has a task that has failed as often as it may.
func TestFailedJobHasUsedUpItsAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		sim := newSimulation(seed, rapid.IntRange(1, 4).Draw(t, "workers"))
		sim.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lossy")
		sim.delayRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late")
		sim.failRate = rapid.SampledFrom([]float64{0.1, 0.4}).Draw(t, "failures")
		sim.submitJobs(rapid.IntRange(1, 15).Draw(t, "jobs"))
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond
			sw := sim.workers[rapid.IntRange(0, len(sim.workers)-1).Draw(t, "worker")]
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				sim.after(at, sim.takeOver)
			case 1:
				sim.after(at, func() { sim.crash(sw, time.Second) })
			case 2:
				sim.after(at, func() { sw.failsAll = !sw.failsAll })
			case 3:
				sim.after(at, func() { sim.storeDown = true })
				sim.after(at+time.Second, func() { sim.storeDown = false })
			}
		}
		sim.run(20 * time.Second)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(sim.violations), sim.violations[0])
		}
		used := map[string]bool{}
		for name, n := range sim.failedRuns {
			if id, _, _, _, _ := splitTaskName(name); n >= maxTaskAttempts {
				used[id] = true
			}
		}
		for id := range sim.accepted {
			if s := sim.leader.s; s.JobStatus(id).State == StateFailed && !used[id] {
				t.Fatalf("seed %d: job %s is failed: %s", seed, id, describe(sim, s.jobs[id]))
			}
		}
	})
}

// endsOf returns the report of a worker with ends of the members of the gang of jobID(1), in order.
func endsOf(clock, serial int64, number int, reasons ...EndReason) Report {
	rep := Report{Worker: "w", Boot: 1, Clock: clock}
	for i, reason := range reasons {
		rep.Ended = append(rep.Ended, EndReport{
			Serial: serial + int64(i), Task: fmt.Sprintf("%s.0.0.%d", jobID(1), i), Number: number, Reason: reason,
		})
	}
	return rep
}

// TestGangFailureCountsOnce guards against a gang that uses up its attempts by one run, because several members of it
// failed or because its ends were listed again, also to a later leader.
func TestGangFailureCountsOnce(t *testing.T) {
	Convey("All members of a gang fail in its first run, of two that it may fail", t, func() {
		now := simEpoch
		s := newStopScheduler(now, 1)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		gang := newStep(3, 1000, time.Second)
		gang.Gang = true
		submitStep(s, now, 1, gang)
		log := map[string]Record{}
		commitTo(s, log)
		So(startsOf(s, now), ShouldEqual, 3)
		first := endsOf(1100, 1, 1, EndFailed, EndFailed, EndGangBroken)
		s.HandleReport(now, first)
		s.HandleReport(now, first)
		commitTo(s, log)
		So(s.JobStatus(jobID(1)).State, ShouldNotEqual, StateFailed)
		s = restoreFrom(now, 2, s.catalog, log)
		s.HandleReport(now, first)
		commitTo(s, log)
		So(s.JobStatus(jobID(1)).State, ShouldNotEqual, StateFailed)
		Convey("the members that the first member's failure breaks in its second run don't count", func() {
			now = now.Add(avoidPeriod + suspectPeriod)
			s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 9000})
			So(startsOf(s, now), ShouldEqual, 3)
			number := runNumbersPerTerm + 1
			s.HandleReport(now, endsOf(9100, 4, number, EndGangIncomplete, EndGangBroken, EndLeaseExpired))
			commitTo(s, log)
			So(s.JobStatus(jobID(1)).State, ShouldNotEqual, StateFailed)
			Convey("and another failure does", func() {
				s.HandleReport(now, endsOf(9200, 7, number+1, EndFailed))
				commitTo(s, log)
				So(s.JobStatus(jobID(1)).State, ShouldEqual, StateFailed)
			})
		})
	})
}

// TestFailureAfterManyRunsCounts guards against a failed run that is not counted because a term that has used more run
// numbers than are set aside for it has used its number for a failed run before.
func TestFailureAfterManyRunsCounts(t *testing.T) {
	Convey("The last failed run of a task has a number of the next term", t, func() {
		now := simEpoch
		s := newStopScheduler(now, 1)
		submitStep(s, now, 1, newStep(1, 1000, time.Second))
		s.findTask(jobID(1) + ".0.0.0").failedRuns = []int{runNumbersPerTerm + 1}
		log := map[string]Record{}
		commitTo(s, log)
		s = restoreFrom(now, 2, s.catalog, log)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		commitTo(s, log)
		orders := s.Decide(now, now)
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Run, ShouldEqual, runNumbersPerTerm+2)
	})
}

// TestFailuresOfLongRunningTaskStaySmall guards against a job that lasts for weeks and whose record grows with each
// failure until the log refuses it.
func TestFailuresOfLongRunningTaskStaySmall(t *testing.T) {
	Convey("A long-running task fails a thousand times", t, func() {
		now := simEpoch
		s := newStopScheduler(now, 1)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		step := newStep(1, 1000, time.Second)
		step.LongRunning = true
		submitStep(s, now, 1, step)
		log := map[string]Record{}
		commitTo(s, log)
		s.Decide(now, now)
		for n := range 1000 {
			s.HandleReport(now, endsOf(1100, int64(n+1), n+1, EndFailed))
			commitTo(s, log)
		}
		Convey("and its record stays small", func() {
			So(len(log[prefixProgress+jobID(1)].Value), ShouldBeLessThan, 100)
			So(s.jobs[jobID(1)].isFinal(), ShouldBeFalse)
		})
		Convey("and a repeated report of an earlier failure is no new one", func() {
			s = restoreFrom(now, 2, s.catalog, log)
			task := s.findTask(jobID(1) + ".0.0.0")
			s.HandleReport(now, endsOf(1200, 1, 999, EndFailed))
			So(task.notBefore.IsZero(), ShouldBeTrue)
			s.HandleReport(now, endsOf(1200, 2, 1001, EndFailed))
			So(task.notBefore.IsZero(), ShouldBeFalse)
		})
	})
}
