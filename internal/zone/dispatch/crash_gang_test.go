package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// gangBed is a simulation with two racks and one gang that is confined to one of them, with one member on each worker.
type gangBed struct {
	*simulation
	id string
}

// newGangBed returns a gang that has started with as many members as each rack has workers.
func newGangBed(members int) *gangBed {
	b := &gangBed{simulation: newSimulation(1, 2*members), id: jobID(1)}
	b.run(300 * time.Millisecond)
	step := newStep(members, 4000, 6*time.Second)
	step.Gang, step.Colocated, step.MaxPerWorker = true, true, 1
	b.submit(b.id, workflow.Spec{Steps: []workflow.Step{step}})
	b.awaitStart()
	return b
}

// awaitStart advances until all members run.
func (b *gangBed) awaitStart() {
	for limit := b.now.Add(20 * time.Second); b.running() < len(b.workers)/2 && b.now.Before(limit); {
		b.advance()
	}
}

// running returns the number of workers on which a member runs.
func (b *gangBed) running() int {
	n := 0
	for _, sw := range b.workers {
		if len(sw.runs) > 0 {
			n++
		}
	}
	return n
}

// losePower crashes all workers of the rack in which the gang runs. They are back after two seconds.
func (b *gangBed) losePower() {
	for _, sw := range b.workers {
		if sw.zone == b.rack() && !sw.down {
			b.crash(sw, 2*time.Second)
		}
	}
}

// rack returns the rack in which the gang runs.
func (b *gangBed) rack() string {
	for _, sw := range b.workers {
		if len(sw.runs) > 0 {
			return sw.zone
		}
	}
	return ""
}

// TestLossOfRackFailsNoGang guards against a gang that is given up because the loss of its rack was blamed on it once for
// each member.
func TestLossOfRackFailsNoGang(t *testing.T) {
	for _, after := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		for _, members := range []int{3, 5, 8} {
			Convey("A rack loses its power after the start of a gang of its size: "+after.String(), t, func() {
				b := newGangBed(members)
				So(b.running(), ShouldEqual, members)
				b.run(after)
				rack := b.rack()
				b.losePower()
				Convey("and the gang is done", func() {
					b.run(40 * time.Second)
				})
				Convey("also if its rack is lost once more, the other or the same", func() {
					b.awaitStart()
					So(b.running(), ShouldEqual, members)
					b.run(after)
					b.losePower()
					b.run(40 * time.Second)
				})
				Convey("also under the next leader, which learns of it first", func() {
					b.run(100 * time.Millisecond)
					b.takeOver()
					b.run(60 * time.Second)
				})
				Convey("also under one that follows after the crashes were recorded", func() {
					b.awaitStart()
					b.takeOver()
					b.run(60 * time.Second)
				})
				So(rack, ShouldNotBeEmpty)
				So(b.violations, ShouldBeEmpty)
				So(b.finalState(b.id), ShouldEqual, StateCompleted)
			})
		}
	}
}

// TestDeadlyGangIsGivenUp guards against a gang that goes on crashing all its workers because they count as one crash.
func TestDeadlyGangIsGivenUp(t *testing.T) {
	const members = 5
	for _, delay := range []time.Duration{deadlyDelay, time.Second} {
		Convey("Each member of a gang crashes its worker after "+delay.String(), t, func() {
			sim := newSimulation(1, 2*members)
			sim.run(300 * time.Millisecond)
			step := newStep(members, 4000, 20*time.Second)
			step.Gang, step.MaxPerWorker = true, 1
			for n := range members {
				sim.deadly[jobID(1)+".0.0."+string(rune('0'+n))] = delay
			}
			sim.submit(jobID(1), workflow.Spec{Steps: []workflow.Step{step}})
			sim.run(100 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.finalState(jobID(1)), ShouldEqual, StateFailed)
			crashes := 0
			for _, n := range sim.crashes {
				So(n, ShouldBeLessThanOrEqualTo, maxCrashes)
				crashes += n
			}
			t.Logf("%d workers crashed before the gang was given up", crashes)
		})
	}
	Convey("One member crashes its worker late each time", t, func() {
		sim := newSimulation(1, members)
		sim.run(300 * time.Millisecond)
		step := newStep(members, 4000, 20*time.Second)
		step.Gang, step.MaxPerWorker = true, 1
		sim.deadly[jobID(1)+".0.0.2"] = time.Second
		sim.submit(jobID(1), workflow.Spec{Steps: []workflow.Step{step}})
		sim.run(100 * time.Second)
		So(sim.finalState(jobID(1)), ShouldEqual, StateFailed)
		So(sim.crashes[jobID(1)+".0.0.2"], ShouldBeLessThanOrEqualTo, maxCrashes)
	})
}

// TestRestoredLossesOfGangCountOnce guards against a gang that the next leader gives up for crashes that the former one has
// recorded for each of its workers, as earlier versions count them.
func TestRestoredLossesOfGangCountOnce(t *testing.T) {
	Convey("A record blames five workers of one start and one of another on a gang", t, func() {
		s := newStopScheduler(simEpoch, 1)
		step := newStep(5, 1000, time.Second)
		step.Gang = true
		submitStep(s, simEpoch, 1, step)
		rec := crashesRecord{Suspects: []suspectRecord{{Crashes: []loss{
			{Worker: "a", Boot: 1, Run: 1, Alone: true}, {Worker: "b", Boot: 1, Run: 1, Late: true},
			{Worker: "c", Boot: 1, Run: 1, Alone: true}, {Worker: "d", Boot: 1, Run: 1, Alone: true},
			{Worker: "e", Boot: 1, Run: 1, Alone: true}, {Worker: "a", Boot: 2, Run: 2, Late: true},
		}}}}
		records := append(commitAll(s), Record{Key: prefixCrashes + jobID(1), Value: encode(&rec)})
		next := newStopScheduler(simEpoch, 2)
		So(next.Restore(simEpoch, simEpoch, records, simEpoch), ShouldBeEmpty)
		u := next.suspicionOf(next.findTask(jobID(1) + ".0.0.0"))
		So(u.count(), ShouldEqual, 2)
		So(u.alone(), ShouldEqual, 1)
		So(u.late(), ShouldEqual, 1)
		So(u.isSuspect(), ShouldBeTrue)
		So(u.isProven(), ShouldBeFalse)
	})
	Convey("The crashes of a task that is no member of a gang count one by one", t, func() {
		s := newStopScheduler(simEpoch, 1)
		submitStep(s, simEpoch, 1, newStep(1, 1000, time.Second))
		u := s.suspect(s.findTask(jobID(1) + ".0.0.0"))
		u.crashes = []loss{{Worker: "a", Boot: 1, Run: 1, Alone: true}, {Worker: "a", Boot: 2, Run: 1, Alone: true}, {Worker: "b", Run: 2}}
		So(u.count(), ShouldEqual, 3)
		So(u.isProven(), ShouldBeTrue)
	})
}
