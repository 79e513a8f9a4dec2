package dispatch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// sumOf returns the sum of the numbers.
func sumOf[T uint64 | float64](numbers ...T) T {
	var sum T
	for _, n := range numbers {
		sum += n
	}
	return sum
}

// TestOutcomesUnderLoad guards against jobs and runs that are counted twice, under another class or not at all while a
// deployment has more work than room, and against useful work that is reported as wasted.
func TestOutcomesUnderLoad(t *testing.T) {
	sim := newLoadSim(1, 49, loadMix{short: 0.3, long: 1, longRunning: 0.2})
	sim.run(20 * time.Second)
	classes := sim.s.Outcomes().Classes
	if len(classes.List) != 3 {
		t.Fatalf("%d classes, want those of the 3 queues", len(classes.List))
	}
	for _, g := range classes.List {
		var accepted, started, completed, inTime uint64
		for _, j := range sim.s.jobs {
			if j.queue != g.Name {
				continue
			}
			accepted++
			if j.isFinal() {
				completed++
				if j.endedAt.Sub(j.acceptedAt) <= j.objective {
					inTime++
				}
			}
			if j.started {
				started++
			}
		}
		ends := g.Ends[JobCompleted]
		if g.Accepted != accepted || sumOf(ends[:]...) != completed || ends[InTime] != inTime {
			t.Errorf("%s: %d accepted, ends %v, want %d accepted, %d completed, %d in time",
				g.Name, g.Accepted, ends, accepted, completed, inTime)
		}
		// The answers of some starts are still on their way.
		if n := g.Wait.Count(); n < started || n > started+started/10+5 {
			t.Errorf("%s: waits of %d jobs, want those of the %d that have started", g.Name, n, started)
		}
		if g.Duration.Count() != completed || g.Ratio.Count() != completed {
			t.Errorf("%s: durations of %d and ratios of %d jobs, want %d", g.Name, g.Duration.Count(), g.Ratio.Count(), completed)
		}
		if g.Runs[RunDone] < completed {
			t.Errorf("%s: %d runs are done, less than the %d jobs", g.Name, g.Runs[RunDone], completed)
		}
		wasted := sumOf(g.Wasted[:]...)
		// Long-running tasks serve until they are stopped, and nothing else ends a run early here.
		isWasted := g.Name != "long-running" && g.Runs[RunStopped] > 0
		if wasted > g.CoreSeconds || (wasted > 0) != isWasted || wasted != g.Wasted[WasteStopped] {
			t.Errorf("%s: %d runs were stopped, and %v of %v core-seconds wasted",
				g.Name, g.Runs[RunStopped], g.Wasted, g.CoreSeconds)
		}
	}
}

// TestOutcomesAreBounded guards against a deployment with many queues, or refusals with changing texts, whose metrics grow
// without bound, and against sums that lose what they don't name.
func TestOutcomesAreBounded(t *testing.T) {
	Convey("Jobs of 200 queues and teams are refused for want of memory", t, func() {
		limits := testLimits()
		limits.MaxTasks = 1
		s := New(limits, 1, 1)
		queues, teams := map[string]Queue{}, map[string]Team{}
		for i := range 200 {
			queues["q"+strconv.Itoa(i)] = Queue{Name: "q" + strconv.Itoa(i), Service: "svc", Attempts: 1, Slack: 2}
			teams["t"+strconv.Itoa(i)] = Team{Name: "t" + strconv.Itoa(i), Weight: 1}
		}
		s.SetCatalog(Catalog{Version: 1, Queues: queues, Teams: teams})
		submit := func(i, tasks int) Reply {
			return s.Submit(simEpoch, Request{
				ID: jobID(i), Queue: "q" + strconv.Itoa(i%200), Team: "t" + strconv.Itoa(i%200), WallTime: simEpoch,
				Spec: workflow.Spec{Steps: []workflow.Step{newStep(tasks, 1000, time.Second)}},
			})
		}
		So(submit(0, 1).Outcome, ShouldEqual, OutcomeAccepted)
		for i := range 400 {
			submit(i+1, 1)
			submit(i+1001, 2+i)
		}
		for _, groups := range []Groups{s.Outcomes().Classes, s.Outcomes().Teams} {
			So(groups.List, ShouldHaveLength, MaxNamedGroups+1)
			var refused uint64
			for _, g := range groups.List {
				So(len(g.Refused), ShouldBeLessThanOrEqualTo, 2)
				for _, r := range g.Refused {
					refused += r.Count
				}
			}
			So(refused, ShouldEqual, 800)
		}
		Convey("also after the sums of several terms were added up", func() {
			var total Outcomes
			for range 3 {
				total.Merge(s.Outcomes())
			}
			So(total.Classes.List, ShouldHaveLength, MaxNamedGroups+1)
			So(total.Classes.get("q0").Accepted, ShouldEqual, 3)
			So(s.Outcomes().Classes.get("q0").Accepted, ShouldEqual, 1)
		})
	})
	Convey("Many reasons leave the sum of refusals as it is", t, func() {
		g := newGroupOutcomes("q")
		for i := range 100 {
			g.addRefusals(fmt.Sprint("reason ", i), 1)
		}
		So(g.Refused, ShouldHaveLength, maxRefusalReasons)
		So(g.Refused[maxRefusalReasons-1], ShouldResemble, Refusals{Reason: OtherGroup, Count: 100 - (maxRefusalReasons - 1)})
	})
}

// TestOutcomesOfFailures guards against work whose loss is not reported, or under another cause, and against work that a
// checkpoint has saved and that is reported as lost.
func TestOutcomesOfFailures(t *testing.T) {
	Convey("A run of two cores and ten seconds on one of two workers", t, func() {
		now := simEpoch
		s := newBoundedScheduler(2, 0, 0)
		s.SetCatalog(Catalog{Version: 2, Queues: s.catalog.Queues, Teams: map[string]Team{"desk": {Name: "desk", Weight: 1}}})
		answer(s, now, "v")
		answer(s, now, "w")
		commitAll(s)
		step := newStep(1, 2000, 20*time.Second)
		step.Checkpointing = true
		s.Submit(now, Request{ID: jobID(1), Queue: "q", Team: "desk", Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now})
		commitAll(s)
		now = now.Add(time.Second)
		start := s.Decide(now, now)[0]
		s.HandleStartAnswer(now, start, AnswerDone, 2000)
		listed := RunReport{Task: start.Task, Number: start.Run}
		serial := int64(0)
		report := func(r Report) {
			r.Worker, r.Boot, r.Clock = start.Worker, 1, 1000+now.Sub(simEpoch).Milliseconds()
			s.HandleReport(now, r)
		}
		end := func(reason EndReason, checkpoint string) {
			serial++
			report(Report{Ended: []EndReport{
				{Serial: serial, Task: start.Task, Number: start.Run, Reason: reason, Checkpoint: checkpoint},
			}})
		}
		class, team := s.Outcomes().Classes.get("q"), s.Outcomes().Teams.get("desk")
		So(class.Wait.Sum, ShouldEqual, 1)
		wasted := func(cause WasteCause) float64 {
			So(sumOf(class.Wasted[:]...), ShouldEqual, class.Wasted[cause])
			So(team.Wasted, ShouldResemble, class.Wasted)
			So(team.Runs, ShouldResemble, class.Runs)
			return class.Wasted[cause]
		}
		now = now.Add(10 * time.Second)
		Convey("that is done wastes nothing", func() {
			end(EndDone, "")
			So(class.Runs[RunDone], ShouldEqual, 1)
			So(class.CoreSeconds, ShouldEqual, 20)
			So(wasted(WasteDuplicate), ShouldEqual, 0)
			So(class.Ends[JobCompleted], ShouldResemble, [NumLateness]uint64{InTime: 1})
			So(class.Duration.Sum, ShouldEqual, 11)
		})
		Convey("that fails wastes its work, and its job ends when its attempts are used up", func() {
			end(EndFailed, "")
			So(wasted(WasteFailed), ShouldEqual, 20)
			So(class.Ends[JobFailed], ShouldResemble, [NumLateness]uint64{})
			s.recordFailure(now.Add(time.Minute), s.findTask(start.Task), start.Run+1, s.workers["w"])
			So(class.Ends[JobFailed], ShouldResemble, [NumLateness]uint64{Late: 1})
		})
		Convey("that is stopped wastes its work", func() {
			end(EndStopped, "")
			So(wasted(WasteStopped), ShouldEqual, 20)
			So(class.Runs[RunStopped], ShouldEqual, 1)
		})
		Convey("that is stopped with a checkpoint wastes nothing", func() {
			end(EndStopped, "c")
			So(wasted(WasteStopped), ShouldEqual, 0)
		})
		Convey("that is cancelled wastes its work also with a checkpoint, and the job counts once", func() {
			s.Cancel(now, jobID(1), "")
			end(EndStopped, "c")
			So(wasted(WasteCancelled), ShouldEqual, 20)
			So(class.Ends[JobCancelled], ShouldResemble, [NumLateness]uint64{InTime: 1})
			So(class.Duration.Count(), ShouldEqual, 0)
		})
		Convey("whose worker falls silent wastes what it did after its last checkpoint, as far as the worker has confirmed it", func() {
			now = simEpoch.Add(7 * time.Second)
			listed.Checkpoint, listed.Progress = "c", 30
			report(Report{Running: []RunReport{listed}})
			now = simEpoch.Add(11 * time.Second)
			listed.Progress = 50
			report(Report{Running: []RunReport{listed}})
			s.HandleRenewalFailure(now, start.Worker)
			now = now.Add(10 * time.Second)
			answer(s, now, otherWorker(start))
			second := s.Decide(now, now)
			So(second, ShouldHaveLength, 1)
			So(class.Runs[RunLost], ShouldEqual, 1)
			So(class.CoreSeconds, ShouldEqual, 20)
			So(wasted(WasteLost), ShouldEqual, 8)
			So(class.Wait.Count(), ShouldEqual, 1)
			Convey("and all of it if it then turns out to be done, beside its successor", func() {
				s.HandleStartAnswer(now, second[0], AnswerDone, 1000+now.Sub(simEpoch).Milliseconds())
				end(EndDone, "")
				So(class.Runs[RunDone], ShouldEqual, 1)
				now = now.Add(time.Second)
				s.HandleReport(now, Report{Worker: second[0].Worker, Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds(), Ended: []EndReport{
					{Serial: 1, Task: start.Task, Number: second[0].Run, Reason: EndStopped},
				}})
				So(class.Wasted[WasteDuplicate], ShouldEqual, 2)
			})
		})
		Convey("whose start is refused wastes nothing", func() {
			s.Submit(now, Request{ID: jobID(2), Queue: "q", Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: now})
			commitAll(s)
			o := s.Decide(now, now)[0]
			s.HandleStartAnswer(now, o, AnswerFull, 12_000)
			So(class.Runs[RunNotStarted], ShouldEqual, 1)
			So(class.CoreSeconds, ShouldEqual, 0)
		})
		Convey("counts once for its job after a change of leader", func() {
			log := map[string]Record{}
			b, _ := s.TakeBatch()
			s.MarkCommitted(b)
			for _, r := range append(b.Records, s.jobs[jobID(1)].specRecord()) {
				log[r.Key] = r
			}
			next := restoreFrom(now, 2, s.catalog, log)
			next.SetWorker(now, Registration{
				ID: start.Worker, Boot: 1, Service: "svc", Address: start.Worker, Capacity: fleet.Size{Cores: 8000, Memory: 8000},
			})
			next.HandleReport(now, Report{Worker: start.Worker, Boot: 1, Clock: 12_000, Running: []RunReport{listed}})
			now = now.Add(time.Second)
			next.HandleReport(now, Report{Worker: start.Worker, Boot: 1, Clock: 13_000, Ended: []EndReport{
				{Serial: 1, Task: start.Task, Number: start.Run, Reason: EndDone},
			}})
			class := next.Outcomes().Classes.get("q")
			So(class.Wait.Count(), ShouldEqual, 0)
			So(class.Ends[JobCompleted], ShouldResemble, [NumLateness]uint64{InTime: 1})
			So(next.Outcomes().Teams.get("desk").Ends, ShouldResemble, class.Ends)
			So(class.Duration.Sum, ShouldEqual, 12)
			So(class.CoreSeconds, ShouldEqual, 2)
		})
	})
}

// TestClassOfQueueInLog guards against settings of a queue that a host of the previous version can't read, or whose records a
// host of this version can't: an array of another length can't be decoded. It also guards against a record for each decision.
func TestClassOfQueueInLog(t *testing.T) {
	Convey("The settings of a queue with a class are stored as those of one without", t, func() {
		type previousQueue struct {
			Name, Service      string
			Priority, Attempts int
			Slack              float64
			Target             time.Duration
			Advised            bool
		}
		want := previousQueue{"h/p/", "svc", 1, 2, 1.5, time.Second, true}
		q := Queue{Name: "h/p/", Service: "svc", Priority: 1, Attempts: 2, Slack: 1.5, Target: time.Second, Advised: true, Class: "c"}
		s := New(testLimits(), 1, 1)
		s.keepQueue(q)
		records := commitAll(s)
		So(records, ShouldHaveLength, 1)
		var previous previousQueue
		So(msgpack.Unmarshal(records[0].Value, &previous), ShouldBeNil)
		So(previous, ShouldResemble, want)
		So(s.className("h/p/"), ShouldEqual, "c")
		s.keepQueue(q)
		So(commitAll(s), ShouldBeEmpty)
		Convey("and are read by the next leader, for which the name is the class until the manifest has it", func() {
			next := New(testLimits(), 2, 2)
			So(next.restoreQueue("h/p/", encode(&want)), ShouldBeNil)
			So(next.className("h/p/"), ShouldEqual, "h/p/")
			next.keepQueue(q)
			So(commitAll(next), ShouldBeEmpty)
			So(next.className("h/p/"), ShouldEqual, "c")
		})
	})
}
