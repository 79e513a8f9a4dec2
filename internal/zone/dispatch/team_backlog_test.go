package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFloodIsBounded guards against a team whose jobs take the leader's memory from the others, or wait until nobody wants
// their results any more, and against refusals of the others.
func TestFloodIsBounded(t *testing.T) {
	Convey("One of 20 teams submits without end, and the leader has memory for 20000 tasks", t, func() {
		teams := make([]Team, 0, 20)
		for i := range 20 {
			teams = append(teams, Team{Name: fmt.Sprintf("t%02d", i), Weight: 1})
		}
		teams[19].Weight = 5
		sc := newTeamScenario(40, teams...)
		sc.s.limits.MaxTasks = 20_000
		sc.start()
		// flood submits jobs until one is refused.
		flood := func(submit func() Reply) (accepted int, refusal Reply) {
			for range 1000 {
				if refusal = submit(); refusal.Outcome != OutcomeAccepted {
					return accepted, refusal
				}
				accepted++
			}
			return accepted, refusal
		}
		submit := func(team string, tasks int, estimate time.Duration) func() Reply {
			return func() Reply { return sc.submit(team, newStep(tasks, 1000, estimate)) }
		}
		Convey("it gets half of the memory, and each other team its part by weight, or a thousand tasks", func() {
			accepted, refusal := flood(submit("t00", 100, 0))
			So(accepted, ShouldEqual, 100)
			So(refusal.Outcome, ShouldEqual, OutcomeRefused)
			So(refusal.RetryAfter, ShouldBeBetweenOrEqual, time.Second, time.Minute)
			for i := 1; i < 5; i++ {
				accepted, _ = flood(submit(teams[i].Name, 100, 0))
				So(accepted, ShouldEqual, 10)
			}
			long := newStep(100, 1000, 0)
			long.LongRunning = true
			accepted, _ = flood(func() Reply { return sc.submit("t19", long) })
			So(accepted, ShouldEqual, 40)
			So(sc.s.TeamStates()[0].Refused, ShouldEqual, 1)
		})
		Convey("a job that would be too late to be of use is refused, until the backlog has drained so far", func() {
			sc.s.SetCatalog(teamCatalog(2, append(teams[1:], Team{Name: "t00", Weight: 1, Quota: coreQuota(4000)})...))
			sc.start()
			// Four cores work through the 40 core-seconds of a job in ten seconds, and its objective are 21.
			accepted, refusal := flood(submit("t00", 4, 10*time.Second))
			So(accepted, ShouldEqual, 13)
			So(refusal.Outcome, ShouldEqual, OutcomeRefused)
			So(refusal.RetryAfter, ShouldAlmostEqual, 4*time.Second, time.Millisecond)
			Convey("and others, work that goes before it and long-running tasks are accepted", func() {
				So(submit("t01", 4, 10*time.Second)().Outcome, ShouldEqual, OutcomeAccepted)
				So(sc.submitTo("urgent", "t00", newStep(4, 1000, 10*time.Second)).Outcome, ShouldEqual, OutcomeAccepted)
				long := newStep(1, 1000, 0)
				long.LongRunning = true
				So(sc.submit("t00", long).Outcome, ShouldEqual, OutcomeAccepted)
				So(submit("t00", 1, 90*time.Second)().Outcome, ShouldEqual, OutcomeAccepted)
			})
			Convey("and it is accepted once the runs of one job have begun", func() {
				So(sc.start(), ShouldEqual, 4)
				So(submit("t00", 4, 10*time.Second)().Outcome, ShouldEqual, OutcomeAccepted)
				So(submit("t00", 4, 10*time.Second)().Outcome, ShouldEqual, OutcomeRefused)
			})
			Convey("and a new leader counts the same backlog, once it knows what runs", func() {
				sc.takeOver(2, sc.s.catalog)
				sc.answerAll()
				sc.s.Decide(sc.now, sc.now)
				sc.s.limits.MaxTasks = 20_000
				So(submit("t00", 4, 10*time.Second)().Outcome, ShouldEqual, OutcomeAccepted)
				So(submit("t00", 4, 10*time.Second)().Outcome, ShouldEqual, OutcomeRefused)
			})
			Convey("and nothing is left of it once the jobs are cancelled", func() {
				for id := range sc.s.jobs {
					sc.s.Cancel(sc.now, id, "")
				}
				for _, b := range sc.s.useOf(sc.s.accountOf("t00"), "svc").backlogs {
					So(*b, ShouldResemble, backlog{})
				}
				So(sc.s.accountOf("t00").openJobs, ShouldEqual, 0)
			})
		})
		Convey("while the service is full, the backlog drains at the rate of the entitlement", func() {
			sc.submit("t01", newStep(1000, 1000, time.Hour))
			sc.start()
			sc.submit("t00", newStep(1, 1000, time.Second))
			sc.start()
			accepted, _ := flood(submit("t00", 16, 10*time.Second))
			// Half of 320 cores work for 126 seconds at 160 core-seconds each, and on the one that waits already.
			So(accepted, ShouldEqual, 126)
		})
	})
}

// TestTeamStates guards against metrics whose number grows with that of the teams.
func TestTeamStates(t *testing.T) {
	Convey("More teams have jobs than are told apart", t, func() {
		teams := make([]Team, 0, maxNamedTeams+10)
		for i := range maxNamedTeams + 10 {
			teams = append(teams, Team{Name: fmt.Sprintf("t%02d", i), Weight: 1, Quota: coreQuota(1000)})
		}
		sc := newTeamScenario(40, teams...)
		for _, team := range teams {
			sc.submit(team.Name, newStep(3, 1000, time.Second))
		}
		sc.submit("", newStep(1, 1000, time.Second))
		sc.start()
		states := sc.s.TeamStates()
		So(states, ShouldHaveLength, maxNamedTeams+1)
		So(states[0], ShouldResemble, TeamState{
			Name: "t00", Running: 1, Waiting: 2, Used: newStep(1, 1000, 0).Size, Held: 2,
		})
		So(states[maxNamedTeams].Name, ShouldEqual, otherTeams)
		So(states[maxNamedTeams].Running, ShouldEqual, 10)
		So(states[maxNamedTeams].Waiting, ShouldEqual, 20)
	})
}
