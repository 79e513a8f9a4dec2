package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// cores returns the cores that the team has at work.
func (sc *teamScenario) cores(team string) int64 {
	return sc.s.useOf(sc.s.accountOf(team), "svc").used.Cores
}

// TestFloodLeavesOthersTheirShares guards against a team that fills a service while the others are idle and gets all room that
// becomes free after that, since its work waits longest or has a better priority.
func TestFloodLeavesOthersTheirShares(t *testing.T) {
	Convey("One of 20 teams has filled a service of 320 cores, and the others get work", t, func() {
		teams := make([]Team, 0, 20)
		for i := range 20 {
			teams = append(teams, Team{Name: fmt.Sprintf("t%02d", i), Weight: 1})
		}
		sc := newTeamScenario(40, teams...)
		for range 80 {
			sc.submitTo("urgent", "t00", newStep(10, 1000, time.Second))
		}
		So(sc.start(), ShouldEqual, 320)
		sc.now = sc.now.Add(500 * time.Millisecond)
		for i := 1; i < 20; i++ {
			sc.submit(teams[i].Name, newStep(20, 1000, time.Second))
		}
		share := func() {
			for range 40 {
				sc.now = sc.now.Add(50 * time.Millisecond)
				sc.answerAll()
				sc.end("t00", 8)
				So(sc.start(), ShouldEqual, 8)
			}
		}
		Convey("each of them gets its twentieth of the room that the first gives back", func() {
			share()
			for i := 1; i < 20; i++ {
				So(sc.cores(teams[i].Name), ShouldEqual, 16_000)
			}
			So(sc.cores("t00"), ShouldEqual, 16_000)
		})
		Convey("also under another leader, which learns from the workers what runs", func() {
			running := map[string][]RunReport{}
			for id, w := range sc.s.workers {
				for _, r := range sc.s.runsOf(w) {
					running[id] = append(running[id], RunReport{Task: r.task.name, Number: r.number})
				}
			}
			sc.takeOver(2, sc.s.catalog)
			for id, runs := range running {
				answer(sc.s, sc.now, id, runs...)
			}
			commitTo(sc.s, sc.log)
			So(sc.cores("t00"), ShouldEqual, 320_000)
			share()
			for i := 1; i < 20; i++ {
				So(sc.cores(teams[i].Name), ShouldEqual, 16_000)
			}
		})
	})
	Convey("Weights count, work without a team has one, and nobody waits while there is room", t, func() {
		sc := newTeamScenario(10, Team{Name: "a", Weight: 5}, Team{Name: "b", Weight: 2})
		for range 10 {
			sc.submit("a", newStep(10, 1000, time.Second))
			sc.submit("b", newStep(10, 1000, time.Second))
			sc.submit("", newStep(10, 1000, time.Second))
		}
		So(sc.start(), ShouldEqual, 80)
		So(sc.cores("a"), ShouldEqual, 50_000)
		So(sc.cores("b"), ShouldEqual, 20_000)
		So(sc.cores(""), ShouldEqual, 10_000)
		Convey("what a team doesn't use goes to the others", func() {
			for id, j := range sc.s.jobs {
				if j.team == "a" {
					sc.s.Cancel(sc.now, id, "")
				}
			}
			commitTo(sc.s, sc.log)
			sc.end("a", 50)
			So(sc.start(), ShouldEqual, 50)
			So(sc.cores("b")+sc.cores(""), ShouldEqual, 80_000)
		})
	})
	Convey("Room is not reclaimed for a team beyond its share", t, func() {
		sc := newTeamScenario(4, Team{Name: "a", Weight: 1}, Team{Name: "b", Weight: 1})
		serve := newStep(8, 4000, time.Second)
		serve.LongRunning = true
		sc.submit("b", serve)
		So(sc.start(), ShouldEqual, 8)
		sc.answerAll()
		sc.now = sc.now.Add(minRunBeforeReclaim + time.Second)
		sc.answerAll()
		sc.submit("a", newStep(30, 4000, 30*time.Second))
		sc.start()
		So(len(sc.s.stops), ShouldBeGreaterThan, 0)
		So(sc.s.mayReclaimFor(sc.s.jobs[jobID(2)].openOccurrences[0].stages[0], coreQuota(12_000)), ShouldBeTrue)
		So(sc.s.mayReclaimFor(sc.s.jobs[jobID(2)].openOccurrences[0].stages[0], coreQuota(16_000)), ShouldBeFalse)
	})
}

// TestSmallEntitlementAllowsOneStart guards against a team whose entitlement is smaller than one of its tasks or gangs, and which
// therefore waits until a team with earlier work has none left.
func TestSmallEntitlementAllowsOneStart(t *testing.T) {
	teams := make([]Team, 0, 40)
	for i := range 40 {
		teams = append(teams, Team{Name: fmt.Sprintf("t%02d", i), Weight: 1})
	}
	gang := newStep(2, 1000, time.Second)
	gang.Gang = true
	for _, c := range []struct {
		name string
		step workflow.Step
		ends int
	}{{"tasks", newStep(3, 1000, time.Second), 1}, {"gangs", gang, 2}} {
		Convey("One of 40 teams has filled a service of 16 cores, and the others have "+c.name, t, func() {
			sc := newTeamScenario(2, teams...)
			for range 80 {
				sc.submitTo("urgent", "t00", newStep(10, 1000, time.Second))
			}
			So(sc.start(), ShouldEqual, 16)
			for i := 1; i < 40; i++ {
				sc.submit(teams[i].Name, c.step)
			}
			for range 5 {
				sc.now = sc.now.Add(50 * time.Millisecond)
				sc.answerAll()
				sc.end("t00", c.ends)
				So(sc.start(), ShouldEqual, c.ends)
			}
			So(sc.cores("t00"), ShouldEqual, 16_000-5*1000*c.ends)
			for i := 1; i < 40; i++ {
				So(sc.cores(teams[i].Name), ShouldBeLessThanOrEqualTo, 1000*c.ends)
			}
			u := sc.s.useOf(sc.s.accountOf("t39"), "svc")
			u.used, u.running = fleet.Size{}, 0
			So(sc.s.mayPlanFor(u, coreQuota(1000), fleet.Size{}), ShouldBeTrue)
			So(sc.s.mayPlanFor(u, coreQuota(1000), coreQuota(1000)), ShouldBeFalse)
		})
	}
}

// TestCapacityOfNewService guards against the first jobs of a service that are taken for beyond the shares of their teams, since
// the capacity of the service has not been added up yet.
func TestCapacityOfNewService(t *testing.T) {
	Convey("The first workers and the first job of a service come right after a decision", t, func() {
		sc := newTeamScenario(0, Team{Name: "a", Weight: 1})
		sc.start()
		sc.now = sc.now.Add(10 * time.Millisecond)
		sc.workers = 2
		sc.answerAll()
		sc.submit("a", newStep(1, 1000, time.Second))
		So(sc.start(), ShouldEqual, 1)
		So(sc.s.useOf(sc.s.accountOf("a"), "svc").entitled.Cores, ShouldEqual, 16_000)
	})
}

// newTeamBench returns a scheduler of 490 full workers with 50000 waiting tasks of 50 queues, and a function that ends some
// runs, decides and returns the number of starts. With teams each queue's jobs belong to one, and quotaCores is the quota of each in thousandths.
func newTeamBench(withTeams bool, quotaCores int64) (decide func() int) {
	const teams, jobs, tasks = 50, 100, 10
	now := simEpoch
	s := New(testLimits(), 1, 1)
	c := Catalog{Version: 1, Queues: map[string]Queue{}, Teams: map[string]Team{}}
	for i := range teams {
		name := fmt.Sprintf("t%02d", i)
		c.Queues[name] = Queue{Name: name, Service: "svc", Priority: i % 3, Attempts: 2, Slack: 2}
		if withTeams {
			c.Teams[name] = Team{Name: name, Weight: float64(1 + i%5), Quota: coreQuota(quotaCores)}
		}
	}
	s.SetCatalog(c)
	const workers = 490
	serials := map[string]int64{}
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		s.SetWorker(now, Registration{
			ID: id, Boot: 1, Service: "svc", Address: id, Capacity: fleet.Size{Cores: 32_000, Memory: 128_000},
		})
		s.HandleReport(now, Report{Worker: id, Boot: 1, Clock: 1000})
	}
	for i := range teams * jobs {
		queue := fmt.Sprintf("t%02d", i%teams)
		r := Request{
			ID: jobID(i), Queue: queue, WallTime: now,
			Spec: workflow.Spec{Steps: []workflow.Step{newStep(tasks, int64(2000+100*(i%20)), time.Second)}},
		}
		if withTeams {
			r.Team = queue
		}
		s.Submit(now, r)
	}
	commitAll(s)
	confirm := func() int {
		orders := s.Decide(now, now)
		for _, o := range orders {
			s.HandleStartAnswer(now, o, AnswerDone, 1000+now.Sub(simEpoch).Milliseconds())
		}
		commitAll(s)
		s.Events()
		return len(orders)
	}
	confirm()
	// No room is reclaimed for late work, of which only the teams' own is looked for.
	now = now.Add(time.Minute)
	n := 0
	return func() int {
		now = now.Add(20 * time.Millisecond)
		for range 10 {
			id := fmt.Sprintf("w%03d", n%workers)
			n++
			report := Report{Worker: id, Boot: 1, Clock: 1000 + now.Sub(simEpoch).Milliseconds()}
			for i, r := range s.runsOf(s.workers[id]) {
				if i == 0 {
					serials[id]++
					report.Ended = []EndReport{{Serial: serials[id], Task: r.task.name, Number: r.number, Reason: EndStopped}}
					continue
				}
				report.Running = append(report.Running, RunReport{Task: r.task.name, Number: r.number, Progress: n % 99})
			}
			s.HandleReport(now, report)
		}
		return confirm()
	}
}

// BenchmarkTeams measures a decision with 50000 open tasks, with 50 teams and without: the former may cost 1.1 times the latter
// at most.
func BenchmarkTeams(b *testing.B) {
	bench := func(name string, withTeams bool, quotaCores int64) {
		b.Run(name, func(b *testing.B) {
			decide := newTeamBench(withTeams, quotaCores)
			b.ResetTimer()
			starts := 0
			for b.Loop() {
				starts += decide()
			}
			b.ReportMetric(float64(starts)/float64(b.N), "starts/op")
		})
	}
	bench("without teams", false, 0)
	bench("shares", true, 0)
	bench("shares and quotas", true, 320_000)
}
