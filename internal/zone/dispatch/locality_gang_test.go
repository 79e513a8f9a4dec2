package dispatch

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/locality"
)

// colocated returns a step with a colocated gang that takes two seconds in one rack.
func colocated(members int) workflow.Step {
	step := newStep(members, 8000, 2*time.Second)
	step.Gang, step.Colocated = true, true
	return step
}

// racksOfStarts returns the number of racks among the workers.
func racksOfStarts(workers []string) int {
	racks := map[string]bool{}
	for _, w := range workers {
		racks[w[:2]] = true
	}
	return len(racks)
}

// TestColocatedGangWaits guards against a gang that is spread over racks although one has room soon, and against one that waits
// for a rack without end.
func TestColocatedGangWaits(t *testing.T) {
	Convey("One of two workers in each of two racks runs a task that ends in 2 s", t, func() {
		b := newRackBed(testLimits(), 2, 2)
		for _, rack := range []string{"r0", "r1"} {
			step := near(1, 8000)
			step.DataRack = rack
			b.submit(step)
		}
		starts, _ := b.decide(0)
		So(starts, ShouldResemble, []string{"r0w0", "r1w0"})
		Convey("A gang of two is spread while that ends no later", func() {
			st := b.submit(colocated(2))
			starts, events := b.decide(0)
			So(starts, ShouldResemble, []string{"r0w1", "r1w1"})
			remote := findEvent(events, EventRemoteStart)
			So(remote.Reason, ShouldEqual, string(locality.ReasonWaitIsLonger))
			So(remote.Run, ShouldEqual, st.tasks[0].lastRun)
			places := 0
			for _, e := range events {
				if e.Kind == EventStart && e.Place != "" {
					So(e.Place, ShouldEqual, PlaceRemote)
					places++
				}
			}
			So(places, ShouldEqual, 1)
		})
		Convey("A gang of two that comes one second later waits", func() {
			b.now = b.now.Add(time.Second)
			st := b.submit(colocated(2))
			starts, _ := b.decide(0)
			So(starts, ShouldBeEmpty)
			Convey("and takes the rack that is free first", func() {
				b.end("r1w0")
				starts, events := b.decide(10 * time.Millisecond)
				So(starts, ShouldHaveLength, 2)
				So(racksOfStarts(starts), ShouldEqual, 1)
				So(findEvent(events, EventRemoteStart).Kind, ShouldBeEmpty)
				So(findEvent(events, EventStart).Place, ShouldEqual, PlaceNear)
			})
			Convey("and is spread after 2 s at most", func() {
				for len(starts) == 0 && b.now.Before(simEpoch.Add(6*time.Second)) {
					starts, _ = b.decide(50 * time.Millisecond)
				}
				So(racksOfStarts(starts), ShouldEqual, 2)
				So(b.now.Sub(simEpoch), ShouldBeLessThanOrEqualTo, 3*time.Second)
			})
			Convey("and is spread once no rack has two usable workers", func() {
				b.s.HandleRenewalFailure(b.now, "r0w0")
				starts, _ = b.decide(gangJudgeInterval)
				So(starts, ShouldBeEmpty)
				b.s.HandleRenewalFailure(b.now, "r1w0")
				starts, events := b.decide(gangJudgeInterval)
				So(starts, ShouldResemble, []string{"r0w1", "r1w1"})
				So(findEvent(events, EventRemoteStart).Reason, ShouldEqual, string(locality.ReasonNoNearPlace))
			})
			Convey("and starts again in one rack after a refused start of one member", func() {
				b.end("r0w0")
				b.now = b.now.Add(10 * time.Millisecond)
				orders := b.s.Decide(b.now, b.now)
				So(orders, ShouldHaveLength, 2)
				b.s.HandleStartAnswer(b.now, orders[0], AnswerDone, 2010)
				b.end("r1w0")
				b.s.HandleStartAnswer(b.now, orders[1], AnswerFull, 2010)
				b.now = b.now.Add(refusalPause)
				orders = b.s.Decide(b.now, b.now)
				So(orders, ShouldHaveLength, 1)
				So(strings.HasPrefix(orders[0].Worker, "r0"), ShouldBeTrue)
				So(st.waiting, ShouldEqual, 0)
			})
		})
		Convey("A gang of three, for which no rack is large enough, doesn't wait", func() {
			b.now = b.now.Add(1900 * time.Millisecond)
			b.end("r1w0")
			b.submit(colocated(3))
			starts, _ := b.decide(0)
			So(racksOfStarts(starts), ShouldEqual, 2)
		})
		Convey("A gang that isn't colocated doesn't wait", func() {
			b.now = b.now.Add(time.Second)
			step := colocated(2)
			step.Colocated = false
			b.submit(step)
			starts, events := b.decide(0)
			So(starts, ShouldResemble, []string{"r0w1", "r1w1"})
			So(findEvent(events, EventStart).Place, ShouldBeEmpty)
		})
		Convey("A gang with a data rack waits for that one", func() {
			b.now = b.now.Add(time.Second)
			b.end("r1w0")
			step := colocated(2)
			step.Colocated, step.DataRack = false, "r0"
			b.submit(step)
			starts, _ := b.decide(0)
			So(starts, ShouldBeEmpty)
			b.end("r0w0")
			starts, _ = b.decide(500 * time.Millisecond)
			So(starts, ShouldResemble, []string{"r0w0", "r0w1"})
		})
	})
}
