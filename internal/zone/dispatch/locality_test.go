package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
	"sassafraswind.example/sassafraswind/internal/zone/locality"
)

// rackBed is a scheduler with racks r0, r1, ... of workers that have eight cores each.
type rackBed struct {
	s        *Scheduler
	now      time.Time
	perRack  int
	jobs     int
	queue    Queue
	draining map[string]bool
	ended    map[string][]EndReport
}

// newRackBed returns a scheduler whose workers have all reported.
func newRackBed(limits Limits, racks, perRack int) *rackBed {
	b := &rackBed{
		now: simEpoch, perRack: perRack, queue: Queue{Name: "q", Service: "svc", Attempts: 4, Slack: 20},
		draining: map[string]bool{}, ended: map[string][]EndReport{},
	}
	b.lead(limits, 1, nil)
	for r := range racks {
		for i := range perRack {
			b.report(fmt.Sprintf("r%dw%d", r, i))
		}
	}
	commitAll(b.s)
	return b
}

// lead makes a new scheduler of the records.
func (b *rackBed) lead(limits Limits, serial int, records []Record) {
	b.s = New(limits, int64(serial), serial)
	b.s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{"q": b.queue}})
	if records != nil {
		b.s.Restore(b.now, b.now, records, b.now)
	}
}

// report registers the worker, whose ID begins with its rack, and hands in its report.
func (b *rackBed) report(id string, running ...RunReport) {
	b.s.SetWorker(b.now, Registration{
		ID: id, Boot: 1, Service: "svc", Address: id, Zone: "z" + id[1:2], Rack: id[:2], Draining: b.draining[id],
		Capacity: fleet.Size{Cores: 8000, Memory: 8000},
	})
	b.s.HandleReport(b.now, Report{
		Worker: id, Boot: 1, Clock: 1000 + b.now.Sub(simEpoch).Milliseconds(), Running: running, Ended: b.ended[id],
	})
}

// submit submits a job of one step and returns its stage.
func (b *rackBed) submit(step workflow.Step) *stage {
	b.jobs++
	b.s.Submit(b.now, Request{
		ID: jobID(b.jobs), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: b.now,
	})
	commitAll(b.s)
	return b.s.jobs[jobID(b.jobs)].openOccurrences[0].stages[0]
}

// near returns a step of tasks that take two seconds in rack r0 and half of a worker's memory.
func near(tasks int, cores int64) workflow.Step {
	step := newStep(tasks, cores, 2*time.Second)
	step.DataRack = "r0"
	return step
}

// decide advances the time, makes a decision and returns the workers of the starts, with the events.
func (b *rackBed) decide(d time.Duration) (workers []string, events []Event) {
	b.now = b.now.Add(d)
	for _, o := range b.s.Decide(b.now, b.now) {
		if o.Kind == OrderStart {
			b.s.HandleStartAnswer(b.now, o, AnswerDone, 1000+b.now.Sub(simEpoch).Milliseconds())
			workers = append(workers, o.Worker)
		}
	}
	return workers, b.s.Events()
}

// end lists the only run of the worker as done.
func (b *rackBed) end(id string) {
	for k := range b.s.workers[id].runs {
		b.ended[id] = append(b.ended[id], EndReport{Serial: int64(len(b.ended[id]) + 1), Task: k.task, Number: k.number, Reason: EndDone})
	}
	b.report(id)
}

// TestNearWait guards against tasks that run remotely although near room is free sooner than that costs, against tasks that
// wait for room which others take before them, and against waits without an end.
func TestNearWait(t *testing.T) {
	Convey("Two workers in the rack run tasks that end in 2 s", t, func() {
		b := newRackBed(testLimits(), 2, 2)
		b.submit(near(2, 8000))
		starts, events := b.decide(0)
		So(starts, ShouldResemble, []string{"r0w0", "r0w1"})
		So(findEvent(events, EventStart).Place, ShouldEqual, PlaceNear)
		So(findEvent(events, EventRemoteStart).Kind, ShouldBeEmpty)
		Convey("A task runs remotely at once while that ends no later", func() {
			b.submit(near(1, 8000))
			starts, events := b.decide(0)
			So(starts, ShouldResemble, []string{"r1w0"})
			remote := findEvent(events, EventRemoteStart)
			So(remote.Reason, ShouldEqual, string(locality.ReasonWaitIsLonger))
			So(remote.Worker, ShouldEqual, "r1w0")
			So(findEvent(events, EventStart).Place, ShouldEqual, PlaceRemote)
		})
		Convey("Of three tasks that come one second later, two wait for the workers and one does not", func() {
			b.now = b.now.Add(time.Second)
			st := b.submit(near(3, 8000))
			starts, _ := b.decide(0)
			So(starts, ShouldResemble, []string{"r1w0"})
			So(st.waiting, ShouldEqual, 2)
			starts, _ = b.decide(900 * time.Millisecond)
			So(starts, ShouldBeEmpty)
			Convey("and take them when they are free", func() {
				b.end("r0w0")
				b.end("r0w1")
				starts, events := b.decide(50 * time.Millisecond)
				So(starts, ShouldResemble, []string{"r0w0", "r0w1"})
				start := findEvent(events, EventStart)
				So(start.Place, ShouldEqual, PlaceNear)
				So(start.Age, ShouldEqual, 950*time.Millisecond)
			})
			Convey("and run remotely if these take longer and longer, after 2 s at most", func() {
				var starts []string
				var events []Event
				for b.now.Before(simEpoch.Add(3*time.Second)) && len(starts) == 0 {
					until, ok := b.s.UntilWaitEnds(b.now)
					So(ok, ShouldBeTrue)
					starts, events = b.decide(min(until, 100*time.Millisecond))
				}
				So(b.now.Sub(simEpoch), ShouldBeBetweenOrEqual, 2*time.Second, 3*time.Second)
				So(starts, ShouldResemble, []string{"r1w1"})
				So(findEvent(events, EventRemoteStart).Age, ShouldEqual, b.now.Sub(simEpoch)-time.Second)
			})
		})
		Convey("A task behind those of another job counts them", func() {
			b.now = b.now.Add(time.Second)
			b.submit(near(2, 8000))
			b.submit(near(1, 8000))
			starts, _ := b.decide(0)
			So(starts, ShouldResemble, []string{"r1w0"})
			So(b.s.jobs[jobID(2)].openOccurrences[0].stages[0].waiting, ShouldEqual, 2)
		})
		Convey("A task that finds a near place is not kept from it by one that finds none", func() {
			b.now = b.now.Add(time.Second)
			b.end("r0w0")
			st := b.submit(near(2, 8000))
			b.s.recordFailure(b.now, st.tasks[0], st.tasks[0].lastRun, b.s.workers["r0w0"])
			starts, _ := b.decide(0)
			So(starts, ShouldResemble, []string{"r0w0"})
			So(st.tasks[0].queued, ShouldBeTrue)
		})
	})
	Convey("A remote run that takes no longer is not waited for", t, func() {
		limits := testLimits()
		limits.RemoteFactor = 1
		b := newRackBed(limits, 2, 1)
		b.submit(near(2, 8000))
		starts, events := b.decide(0)
		So(starts, ShouldResemble, []string{"r0w0", "r1w0"})
		So(findEvent(events, EventRemoteStart).Kind, ShouldBeEmpty)
		So(findEvent(events, EventStart).Place, ShouldBeEmpty)
	})
	Convey("A task waits for a worker that pauses", t, func() {
		b := newRackBed(testLimits(), 2, 1)
		b.s.workers["r0w0"].health.recordRefusal(b.now)
		b.submit(near(1, 8000))
		starts, _ := b.decide(0)
		So(starts, ShouldBeEmpty)
		starts, _ = b.decide(refusalPause)
		So(starts, ShouldResemble, []string{"r0w0"})
	})
	Convey("One that is not large enough is not waited for", t, func() {
		b := newRackBed(testLimits(), 2, 1)
		b.s.SetWorker(b.now, Registration{
			ID: "r0w0", Boot: 1, Service: "svc", Address: "r0w0", Rack: "r0", Capacity: fleet.Size{Cores: 4000, Memory: 8000},
		})
		b.submit(near(1, 8000))
		starts, events := b.decide(0)
		So(starts, ShouldResemble, []string{"r1w0"})
		So(findEvent(events, EventRemoteStart).Reason, ShouldEqual, string(locality.ReasonNoNearPlace))
	})
}

// TestNearWaitEndsWithTheRack guards against tasks that wait on for a rack whose workers are all gone.
func TestNearWaitEndsWithTheRack(t *testing.T) {
	losses := map[string]func(b *rackBed, id string){
		"silent":   func(b *rackBed, id string) { b.s.HandleRenewalFailure(b.now, id) },
		"draining": func(b *rackBed, id string) { b.draining[id] = true; b.report(id) },
		"unlisted": func(b *rackBed, id string) { b.s.DropWorker(b.now, id) },
		"evacuated": func(b *rackBed, id string) {
			b.s.SetEvacuated(map[string]bool{b.s.workers[id].Zone: true})
		},
	}
	for name, lose := range losses {
		Convey("Tasks wait for two workers that become "+name, t, func() {
			b := newRackBed(testLimits(), 2, 2)
			b.submit(near(2, 8000))
			b.decide(0)
			b.now = b.now.Add(1500 * time.Millisecond)
			st := b.submit(near(2, 8000))
			starts, _ := b.decide(0)
			So(starts, ShouldBeEmpty)
			lose(b, "r0w0")
			if name != "evacuated" {
				// One wait still pays, the other does not: one place is left for both.
				starts, _ = b.decide(10 * time.Millisecond)
				So(starts, ShouldResemble, []string{"r1w0"})
			}
			lose(b, "r0w1")
			b.decide(10 * time.Millisecond)
			So(st.waiting, ShouldEqual, 0)
		})
	}
}

// TestNearWaitAfterLeaderChange guards against tasks that the next leader doesn't start, or for which it doesn't wait.
func TestNearWaitAfterLeaderChange(t *testing.T) {
	Convey("A task waits for the only worker of its rack when the leader changes", t, func() {
		b := newRackBed(testLimits(), 2, 1)
		records := map[string]Record{}
		keep := func() {
			batch, _ := b.s.TakeBatch()
			b.s.MarkCommitted(batch)
			for _, r := range batch.Records {
				records[r.Key] = r
			}
		}
		b.s.Submit(b.now, Request{ID: jobID(1), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{near(1, 8000)}}, WallTime: b.now})
		keep()
		b.decide(0)
		b.now = b.now.Add(1500 * time.Millisecond)
		b.s.Submit(b.now, Request{ID: jobID(2), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{near(1, 8000)}}, WallTime: b.now})
		keep()
		starts, _ := b.decide(0)
		So(starts, ShouldBeEmpty)
		running := make([]RunReport, 0, 1)
		for k := range b.s.workers["r0w0"].runs {
			running = append(running, RunReport{Task: k.task, Number: k.number, Progress: 80})
		}
		b.s.PrepareHandOver(b.now)
		keep()
		var all []Record
		for _, r := range records {
			if len(r.Value) > 0 {
				all = append(all, r)
			}
		}
		b.lead(testLimits(), 2, all)
		b.report("r0w0", running...)
		b.report("r1w0")
		commitAll(b.s)
		starts, _ = b.decide(10 * time.Millisecond)
		So(starts, ShouldBeEmpty)
		st := b.s.jobs[jobID(2)].openOccurrences[0].stages[0]
		So(st.tasks[0].nearWait, ShouldBeGreaterThan, 0)
		Convey("and gets it from the next one", func() {
			b.end("r0w0")
			starts, _ = b.decide(100 * time.Millisecond)
			So(starts, ShouldResemble, []string{"r0w0"})
		})
		Convey("and runs remotely at the end of the wait at the latest", func() {
			for len(starts) == 0 && b.now.Before(simEpoch.Add(6*time.Second)) {
				starts, _ = b.decide(100 * time.Millisecond)
			}
			So(starts, ShouldResemble, []string{"r1w0"})
			So(b.now.Sub(simEpoch), ShouldBeLessThanOrEqualTo, 3700*time.Millisecond)
		})
	})
}
