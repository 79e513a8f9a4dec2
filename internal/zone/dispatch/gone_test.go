package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// goneScenario is a scheduler that has ordered the start of a long-running task on the worker "w", which leaves the order
// unanswered. Another worker has room.
type goneScenario struct {
	s     *Scheduler
	now   time.Time
	order Order
	// readFails is set while the list of workers can't be read.
	readFails bool
	records   map[string]Record
}

// newGoneScenario returns a scenario in which "w" has left the list after the given time.
func newGoneScenario(unlistedAfter time.Duration) *goneScenario {
	c := &goneScenario{s: newStopScheduler(simEpoch, 1), now: simEpoch, records: map[string]Record{}}
	c.s.HandleReport(c.now, Report{Worker: "w", Boot: 1, Clock: 1000})
	step := newStep(1, 1000, time.Second)
	step.LongRunning = true
	submitStep(c.s, c.now, 1, step)
	c.commit()
	c.s.Decide(c.now, c.now)
	c.commit()
	c.order = c.s.Decide(c.now, c.now)[0]
	_, isPlanned := c.s.PlanRenewal(c.now, "w")
	So(isPlanned, ShouldBeTrue)
	c.listSpare(c.s)
	c.advance(900*time.Millisecond, nil)
	c.s.HandleStartAnswer(c.now, c.order, AnswerMissing, 0)
	c.advance(unlistedAfter-900*time.Millisecond, nil)
	c.s.DropWorker(c.now, "w")
	return c
}

// listSpare lists the worker "v".
func (c *goneScenario) listSpare(s *Scheduler) {
	s.SetWorker(c.now, Registration{
		ID: "v", Boot: 1, Service: "svc", Address: "v", Capacity: fleet.Size{Cores: 8000, Memory: 8000},
	})
}

// commit makes all changes durable.
func (c *goneScenario) commit() {
	for _, r := range commitAll(c.s) {
		c.records[r.Key] = r
	}
}

// nextLeader returns a scheduler of the next term, which gave no order before the present time.
func (c *goneScenario) nextLeader() *Scheduler {
	next := New(testLimits(), 2, 2)
	next.SetCatalog(c.s.catalog)
	records := make([]Record, 0, len(c.records))
	for _, r := range c.records {
		records = append(records, r)
	}
	So(next.Restore(c.now, c.now, records, c.now), ShouldBeEmpty)
	return next
}

// advance plays the given time, in which "v" answers and "w" doesn't, until done returns true.
func (c *goneScenario) advance(d time.Duration, done func() bool) {
	const tick = 100 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end) && (done == nil || !done()); {
		c.now = c.now.Add(tick)
		c.s.HandleReport(c.now, Report{Worker: "v", Boot: 1, Clock: 1000 + c.now.Sub(simEpoch).Milliseconds()})
		if elapsed := c.now.Sub(simEpoch); elapsed > 2600*time.Millisecond && elapsed%(500*time.Millisecond) == 0 {
			c.s.HandleRenewalFailure(c.now, "w")
		}
		if c.readFails {
			c.s.RecordListFailure()
		} else {
			c.s.RecordListRead(c.now, c.now)
		}
		c.s.Decide(c.now, c.now)
		c.commit()
	}
}

// restartedAfter returns how long after the first order the task starts on "v".
func (c *goneScenario) restartedAfter() time.Duration {
	c.advance(30*time.Second, func() bool {
		t := c.s.findTask(c.order.Task)
		return len(t.runs) > 0 && t.runs[0].worker.ID == "v" && !t.runs[0].awaitsRecord
	})
	return c.now.Sub(simEpoch)
}

// TestStartOnGoneWorkerKeepsNoTask guards against a task that starts nowhere for the time in which a late order may be carried
// out by a next boot of a worker that is gone for good.
func TestStartOnGoneWorkerKeepsNoTask(t *testing.T) {
	// leasesEnd is when the leases of the known boot have certainly expired, and lateOrdersEnd until when an unseen one may carry out
	// the order.
	const leasesEnd, lateOrdersEnd = 8 * time.Second, maxCallDelay
	Convey("A worker leaves an order to start a task unanswered, and then the list", t, func() {
		c := newGoneScenario(3300 * time.Millisecond)
		Convey("and is gone: the task starts elsewhere once its leases have expired", func() {
			So(c.restartedAfter(), ShouldBeLessThan, leasesEnd)
			Convey("and a next boot that is there after all is told to refuse the start", func() {
				c.s.SetWorker(c.now, Registration{ID: "w", Boot: 2, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000}})
				c.s.HandleReport(c.now, Report{Worker: "w", Boot: 2, Clock: 1000})
				orders := c.s.Decide(c.now, c.now)
				So(orders, ShouldNotBeEmpty)
				So(orders[0].Kind, ShouldEqual, OrderStop)
				So(orders[0].Run, ShouldEqual, c.order.Run)
			})
		})
		Convey("and the list can't be read for a moment: the time counts anew", func() {
			c.advance(2*time.Second, nil)
			c.readFails = true
			c.advance(500*time.Millisecond, nil)
			c.readFails = false
			after := c.restartedAfter()
			So(after, ShouldBeGreaterThan, 5800*time.Millisecond+goneDelay)
			So(after, ShouldBeLessThan, 5800*time.Millisecond+goneDelay+time.Second)
		})
		Convey("and the list can't be read any more: the task waits", func() {
			c.readFails = true
			So(c.restartedAfter(), ShouldBeGreaterThan, lateOrdersEnd)
		})
		Convey("and this host is suspended, so that the list is not read for long: the time counts anew", func() {
			c.now = c.now.Add(7 * time.Second)
			So(c.restartedAfter(), ShouldBeGreaterThan, 10300*time.Millisecond+goneDelay)
		})
		Convey("and is back in the list: the task waits", func() {
			c.advance(2*time.Second, nil)
			c.s.SetWorker(c.now, Registration{ID: "w", Boot: 1, Service: "svc", Address: "w"})
			So(c.restartedAfter(), ShouldBeGreaterThan, lateOrdersEnd)
		})
		Convey("and another boot of it answers: the task waits", func() {
			c.s.HandleRenewalRestart("w")
			So(c.restartedAfter(), ShouldBeGreaterThan, lateOrdersEnd)
		})
		Convey("and the next leader begins its term", func() {
			next := c.nextLeader()
			c.listSpare(next)
			c.s = next
			Convey("which finds the worker gone as well", func() {
				So(c.restartedAfter(), ShouldBeLessThan, 3300*time.Millisecond+testLimits().MaxUnconfirmedTerm+leasesEnd)
			})
			Convey("but not where the start may have been ordered for a former boot", func() {
				for _, r := range next.runsOf(next.workers["w"]) {
					r.outlivedBoot = true
				}
				So(c.restartedAfter(), ShouldBeGreaterThan, lateOrdersEnd)
			})
		})
	})
}

// TestStartOnEndedWorkerIsRestored guards against a task that the next leader starts while a next boot of its worker may carry out an
// order to start it, because the worker's leases had lapsed in the term before.
func TestStartOnEndedWorkerIsRestored(t *testing.T) {
	Convey("A worker's leases lapse while the list can't be read, and an order to start a task there has no answer", t, func() {
		c := newGoneScenario(3300 * time.Millisecond)
		c.readFails = true
		c.advance(5*time.Second, nil)
		So(c.s.workers["w"].leasesExpired, ShouldBeTrue)
		c.s = c.nextLeader()
		c.listSpare(c.s)
		Convey("and the next leader waits for the order", func() {
			So(c.restartedAfter(), ShouldBeGreaterThan, maxCallDelay)
		})
		Convey("and the next leader can read the list: it waits until the worker is gone", func() {
			c.readFails = false
			So(c.restartedAfter(), ShouldBeBetween, 8300*time.Millisecond+goneDelay, maxCallDelay)
		})
		Convey("and the worker is back under the next leader, which repeats the order there", func() {
			c.readFails = false
			c.s.SetWorker(c.now, Registration{ID: "w", Boot: 2, Service: "svc", Address: "w", Capacity: fleet.Size{Cores: 8000, Memory: 8000}})
			c.s.HandleReport(c.now, Report{Worker: "w", Boot: 2, Clock: 1000})
			c.commit()
			orders := c.s.Decide(c.now, c.now)
			So(orders, ShouldHaveLength, 1)
			So([]any{orders[0].Worker, orders[0].Run}, ShouldResemble, []any{"w", c.order.Run})
		})
	})
}

// TestStartForFormerBootIsRecorded guards against a next leader that takes an order for a former boot of a worker, which the present
// one may carry out at any time, for one whose validity the present one knows.
func TestStartForFormerBootIsRecorded(t *testing.T) {
	Convey("A worker has restarted after an order to start a task got no answer", t, func() {
		c := newGoneScenario(3300 * time.Millisecond)
		c.s.SetWorker(c.now, Registration{ID: "w", Boot: 2, Service: "svc", Address: "w", Draining: true})
		c.s.HandleReport(c.now, Report{Worker: "w", Boot: 2, Clock: 1000})
		c.commit()
		runs := c.nextLeader().findTask(c.order.Task).runs
		So(runs, ShouldHaveLength, 1)
		So(runs[0].outlivedBoot, ShouldBeTrue)
	})
}

// drawLosses draws workers that are lost for good, and others that are cut off for a while.
func (sim *simulation) drawLosses(t *rapid.T) {
	sim.readsList = true
	for range rapid.IntRange(1, 4).Draw(t, "losses") {
		sw := sim.workers[rapid.IntRange(0, len(sim.workers)-1).Draw(t, "lost")]
		at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "lost at")) * time.Millisecond
		cut := time.Duration(rapid.IntRange(1000, 14000).Draw(t, "cut")) * time.Millisecond
		if rapid.Bool().Draw(t, "for good") && len(sim.workers) > 2 && sw != sim.workers[0] {
			sim.after(at, func() { sim.crash(sw, time.Hour) })
		} else {
			sim.after(at, func() { sim.cutOff(sw, cut) })
		}
	}
}

// TestNoOverlapUnderLosses guards against two runs of a task of which one goes on, or is started late, on a worker that is cut off
// from the store and from the leader: it leaves the list like one that is lost for good.
func TestNoOverlapUnderLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim, seed := playFaults(t, faultOptions{outlives: true, losses: true})
		if len(sim.overlaps) > 0 {
			t.Fatalf("seed %d: %d overlaps, first: %s", seed, len(sim.overlaps), sim.overlaps[0])
		}
	})
}
