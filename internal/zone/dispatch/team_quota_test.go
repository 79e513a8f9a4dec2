package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// teamScenario is a scheduler with workers of eight cores that answer at once, and the log that it has written.
type teamScenario struct {
	s       *Scheduler
	now     time.Time
	workers int
	log     map[string]Record
	jobs    int
	reports int
	serials map[string]int64
}

// newTeamScenario returns a scenario with the teams.
func newTeamScenario(workers int, teams ...Team) *teamScenario {
	sc := &teamScenario{now: simEpoch, workers: workers, log: map[string]Record{}, serials: map[string]int64{}}
	sc.s = New(testLimits(), 1, 1)
	sc.s.SetCatalog(teamCatalog(1, teams...))
	sc.answerAll()
	return sc
}

// teamCatalog returns a catalog of a version with the teams.
func teamCatalog(version uint64, teams ...Team) Catalog {
	c := Catalog{Version: version, Teams: map[string]Team{}, Queues: map[string]Queue{
		queueName: {Name: queueName, Service: "svc", Attempts: 2, Slack: 2, Target: time.Second},
		"urgent":  {Name: "urgent", Service: "svc", Attempts: 2, Slack: 1, Priority: -1},
	}}
	for _, t := range teams {
		c.Teams[t.Name] = t
	}
	return c
}

// answerAll has all workers answer with what they run according to the scheduler, and makes all changes durable.
func (sc *teamScenario) answerAll() {
	sc.reports++ // Tasks without progress would be taken for stalled.
	for i := range sc.workers {
		id := fmt.Sprintf("w%03d", i)
		var running []RunReport
		if w := sc.s.workers[id]; w != nil {
			for _, r := range sc.s.runsOf(w) {
				progress := 50 + sc.reports%2
				if r.task.step().LongRunning {
					progress = 100
				}
				running = append(running, RunReport{Task: r.task.name, Number: r.number, Progress: progress})
			}
		}
		answer(sc.s, sc.now, id, running...)
	}
	commitTo(sc.s, sc.log)
}

// submit submits a job of one step for a team.
func (sc *teamScenario) submit(team string, step workflow.Step) Reply {
	return sc.submitTo(queueName, team, step)
}

// submitTo submits a job of one step for a team to a queue.
func (sc *teamScenario) submitTo(queue, team string, step workflow.Step) Reply {
	sc.jobs++
	reply := sc.s.Submit(sc.now, Request{
		ID: jobID(sc.jobs), Queue: queue, Team: team, Spec: workflow.Spec{Steps: []workflow.Step{step}}, WallTime: sc.now,
	})
	commitTo(sc.s, sc.log)
	return reply
}

// decide returns the start orders that are due, without answers.
func (sc *teamScenario) decide() []Order {
	var out []Order
	for range 2 {
		for _, o := range sc.s.Decide(sc.now, sc.now) {
			if o.Kind == OrderStart {
				out = append(out, o)
			}
		}
		commitTo(sc.s, sc.log)
	}
	return out
}

// start decides, and has the workers confirm the starts. It returns the number of starts.
func (sc *teamScenario) start() int {
	orders := sc.decide()
	for _, o := range orders {
		sc.s.HandleStartAnswer(sc.now, o, AnswerDone, 1000+sc.now.Sub(simEpoch).Milliseconds())
	}
	return len(orders)
}

// end has the oldest runs of a team end as done, at most n.
func (sc *teamScenario) end(team string, n int) {
	for _, id := range sc.s.WorkerIDs() {
		for _, r := range sc.s.runsOf(sc.s.workers[id]) {
			if n == 0 || r.task.job().team != team {
				continue
			}
			n--
			sc.serials[id]++
			sc.s.HandleReport(sc.now, Report{
				Worker: id, Boot: 1, Clock: 1000 + sc.now.Sub(simEpoch).Milliseconds(),
				Running: sc.others(r), Ended: []EndReport{{Serial: sc.serials[id], Task: r.task.name, Number: r.number, Reason: EndDone}},
			})
		}
	}
	commitTo(sc.s, sc.log)
}

// others returns the reports of the other runs on the worker of a run.
func (sc *teamScenario) others(ended *run) []RunReport {
	var out []RunReport
	for _, r := range sc.s.runsOf(ended.worker) {
		if r != ended {
			out = append(out, RunReport{Task: r.task.name, Number: r.number})
		}
	}
	return out
}

// takeOver has another host restore the log, with the catalog.
func (sc *teamScenario) takeOver(serial int, c Catalog) {
	sc.s = New(testLimits(), int64(serial), serial)
	sc.s.SetCatalog(c)
	So(sc.s.Restore(sc.now, sc.now, slices.Collect(maps.Values(sc.log)), sc.now), ShouldBeEmpty)
}

// events returns the kinds and reasons of the events about quotas since the last call.
func (sc *teamScenario) events() []string {
	var out []string
	for _, e := range sc.s.Events() {
		if strings.HasPrefix(e.Kind, "quota") {
			out = append(out, e.Kind+" "+e.Reason)
		}
	}
	return out
}

func coreQuota(cores int64) fleet.Size { return fleet.Size{Cores: cores} }

// TestFloodStaysWithinQuota guards against a team that takes the room of the others with many times the tasks that its quota
// allows, and against starts of others that are held back because of it.
func TestFloodStaysWithinQuota(t *testing.T) {
	Convey("One of 20 teams floods a service that has room for all", t, func() {
		teams := make([]Team, 0, 20)
		for i := range 20 {
			teams = append(teams, Team{Name: fmt.Sprintf("t%02d", i), Weight: 1, Quota: coreQuota(10_000)})
		}
		sc := newTeamScenario(40, teams...)
		for range 100 {
			sc.submit("t00", newStep(10, 1000, time.Second))
		}
		for i := 1; i < 20; i++ {
			sc.submit(teams[i].Name, newStep(5, 1000, time.Second))
		}
		So(sc.start(), ShouldEqual, 10+19*5)
		So(sc.s.accountOf("t00").Used().Cores, ShouldEqual, 10_000)
		So(sc.events(), ShouldResemble, []string{"quota reached t00"})
		Convey("its next tasks start as others of its own end, and the others' do at once", func() {
			for range 30 {
				sc.now = sc.now.Add(100 * time.Millisecond)
				sc.answerAll()
				sc.end("t00", 3)
				sc.submit("t07", newStep(1, 1000, time.Second))
				So(sc.start(), ShouldEqual, 4)
				So(sc.s.accountOf("t00").Used().Cores, ShouldEqual, 10_000)
				sc.end("t07", 1)
			}
			So(sc.events(), ShouldBeEmpty)
		})
		Convey("it is reported once that nothing was held back for a while", func() {
			for id, j := range sc.s.jobs {
				if j.team == "t00" {
					sc.s.Cancel(sc.now, id, "")
				}
			}
			sc.now = sc.now.Add(quotaClearDelay)
			sc.answerAll()
			sc.start()
			So(sc.events(), ShouldResemble, []string{"quota cleared t00"})
		})
	})
}

// TestWhatCountsAgainstQuota guards against runs, orders and members of gangs that are left out of what a team has running.
func TestWhatCountsAgainstQuota(t *testing.T) {
	Convey("A team may have four cores", t, func() {
		sc := newTeamScenario(2, Team{Name: "a", Weight: 1, Quota: coreQuota(4000)})
		Convey("a best-effort task counts with its cores", func() {
			step := newStep(4, 2000, time.Second)
			step.BestEffort = true
			sc.submit("a", step)
			So(sc.start(), ShouldEqual, 2)
		})
		Convey("a long-running task that is held back starts once there is quota, however long it has waited", func() {
			sc.submit("a", newStep(1, 4000, time.Second))
			So(sc.start(), ShouldEqual, 1)
			step := newStep(1, 1000, time.Second)
			step.LongRunning = true
			sc.submit("a", step)
			sc.now = sc.now.Add(5 * time.Second)
			sc.answerAll()
			So(sc.start(), ShouldEqual, 0)
			So(sc.s.holds, ShouldBeEmpty)
			sc.end("a", 1)
			starts := 0
			for range 25 {
				starts += sc.start()
				sc.now = sc.now.Add(100 * time.Millisecond)
				sc.answerAll()
			}
			So(starts, ShouldEqual, 1)
		})
		Convey("an overdue task that is held back doesn't have all workers looked at in each decision", func() {
			step := newStep(5, 1000, time.Second)
			step.LongRunning = true
			sc.submit("a", step)
			So(sc.start(), ShouldEqual, 4)
			sc.now = sc.now.Add(5 * time.Second)
			sc.answerAll()
			So(sc.start(), ShouldEqual, 0)
			So(sc.s.jobs[jobID(1)].openOccurrences[0].stages[0].overdueScanAt, ShouldEqual, sc.now)
		})
		Convey("a gang counts as a whole", func() {
			gang := newStep(3, 1000, time.Second)
			gang.Gang = true
			sc.submit("a", newStep(2, 1000, time.Second))
			So(sc.start(), ShouldEqual, 2)
			sc.submit("a", gang)
			So(sc.start(), ShouldEqual, 0)
			sc.end("a", 1)
			orders := sc.decide()
			So(orders, ShouldHaveLength, 3)
			Convey("and a member whose start is refused keeps its part", func() {
				sc.submit("a", newStep(5, 1000, time.Second))
				sc.s.HandleStartAnswer(sc.now, orders[0], AnswerFull, 1000)
				So(sc.s.accountOf("a").Used().Cores, ShouldEqual, 4000)
				sc.now = sc.now.Add(10 * time.Second)
				sc.s.HandleStartAnswer(sc.now, orders[1], AnswerDone, 11_000)
				sc.s.HandleStartAnswer(sc.now, orders[2], AnswerDone, 11_000)
				sc.answerAll()
				again := sc.decide()
				So(again, ShouldHaveLength, 1)
				So(again[0].Task, ShouldEqual, orders[0].Task)
			})
		})
		Convey("a gang member whose order got no answer counts once, until the order ends and after that", func() {
			gang := newStep(3, 1000, time.Second)
			gang.Gang = true
			sc.submit("a", gang)
			orders := sc.decide()
			So(orders, ShouldHaveLength, 3)
			for _, o := range orders[1:] {
				sc.s.HandleStartAnswer(sc.now, o, AnswerDone, 1000)
			}
			sc.s.HandleStartAnswer(sc.now, orders[0], AnswerMissing, 0)
			lost := sc.s.findTask(orders[0].Task)
			start := sc.now
			for len(lost.runs) > 0 && sc.now.Before(start.Add(time.Minute)) {
				sc.now = sc.now.Add(500 * time.Millisecond)
				for i := range sc.workers {
					id := fmt.Sprintf("w%03d", i)
					var running []RunReport
					for _, o := range orders[1:] {
						if o.Worker == id {
							running = append(running, RunReport{Task: o.Task, Number: o.Run, Progress: 50})
						}
					}
					answer(sc.s, sc.now, id, running...)
				}
				commitTo(sc.s, sc.log)
				So(sc.s.accountOf("a").Used().Cores, ShouldEqual, 3000)
			}
			So(lost.runs, ShouldBeEmpty)
			So(len(sc.s.countedStrays), ShouldEqual, 1)
			So(lost.stage.gangRuns, ShouldEqual, 2)
			for k := range sc.s.countedStrays {
				sc.s.uncountStray(k)
			}
			So(sc.s.accountOf("a").Used().Cores, ShouldEqual, 3000)
			So(lost.stage.gangReserved, ShouldEqual, 1)
		})
		Convey("a run that is being stopped counts until its end is listed", func() {
			sc.submit("a", newStep(1, 4000, time.Second))
			sc.start()
			sc.s.Cancel(sc.now, jobID(1), "")
			sc.submit("a", newStep(1, 1000, time.Second))
			So(sc.start(), ShouldEqual, 0)
			sc.end("a", 1)
			So(sc.start(), ShouldEqual, 1)
		})
		Convey("an order without an answer counts for as long as it may be carried out, although the run was given up", func() {
			step := newStep(1, 4000, time.Second)
			step.Speculative = true
			sc.submit("a", step)
			orders := sc.decide()
			sc.s.HandleStartAnswer(sc.now, orders[0], AnswerMissing, 0)
			sc.s.Cancel(sc.now, jobID(1), "")
			sc.submit("a", newStep(1, 1000, time.Second))
			start := sc.now
			for sc.now = start; sc.now.Before(start.Add(maxCallDelay)); sc.now = sc.now.Add(500 * time.Millisecond) {
				for i := range sc.workers {
					answer(sc.s, sc.now, fmt.Sprintf("w%03d", i))
				}
				commitTo(sc.s, sc.log)
				So(sc.decide(), ShouldBeEmpty)
			}
			So(sc.s.findTask(jobID(1)+".0.0.0").runs, ShouldBeEmpty)
			So(sc.decide(), ShouldHaveLength, 1)
		})
		Convey("a quota that shrinks stops nothing, and nothing starts until the use fits", func() {
			sc.submit("a", newStep(6, 1000, time.Second))
			So(sc.start(), ShouldEqual, 4)
			sc.s.SetCatalog(teamCatalog(2, Team{Name: "a", Weight: 1, Quota: coreQuota(2000)}))
			So(sc.start(), ShouldEqual, 0)
			So(sc.s.stops, ShouldBeEmpty)
			sc.end("a", 2)
			So(sc.start(), ShouldEqual, 0)
			sc.end("a", 1)
			So(sc.start(), ShouldEqual, 1)
		})
		Convey("a job with a larger task, or gang, is refused at once", func() {
			reply := sc.submit("a", newStep(1, 4001, time.Second))
			So(reply.Outcome, ShouldEqual, OutcomeRefused)
			So(reply.RetryAfter, ShouldEqual, tooLargeRetryAfter)
			gang := newStep(5, 1000, time.Second)
			gang.Gang = true
			So(sc.submit("a", gang).Outcome, ShouldEqual, OutcomeRefused)
		})
		Convey("a job of a team that is not known is refused, unless its host has a newer manifest", func() {
			reply := sc.submit("b", newStep(1, 1000, time.Second))
			So(reply.Outcome, ShouldEqual, OutcomeRefused)
			So(reply.RetryAfter, ShouldEqual, time.Second)
			So(sc.s.accounts, ShouldNotContainKey, "b")
			request := Request{
				ID: jobID(9), Queue: queueName, Team: "b", CatalogVersion: 1, WallTime: sc.now,
				Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second)}},
			}
			So(sc.s.Submit(sc.now, request).Outcome, ShouldEqual, OutcomeRefused)
			request.CatalogVersion = 2
			So(sc.s.Submit(sc.now, request).Outcome, ShouldEqual, OutcomeAccepted)
			commitTo(sc.s, sc.log)
			So(sc.start(), ShouldEqual, 0)
			sc.s.SetCatalog(teamCatalog(2, Team{Name: "b", Weight: 1}))
			So(sc.start(), ShouldEqual, 1)
		})
		Convey("the last terms of a team that leaves are those of the last manifest, also if it had no open jobs then", func() {
			sc.submit("a", newStep(1, 1000, time.Second))
			sc.start()
			sc.end("a", 1)
			sc.s.SetCatalog(teamCatalog(2, Team{Name: "a", Weight: 1, Quota: coreQuota(2000)}))
			sc.s.SetCatalog(teamCatalog(3))
			sc.submit("a", newStep(5, 1000, time.Second))
			So(sc.start(), ShouldEqual, 2)
		})
		Convey("which a leader records that has newer ones than the log, also without open jobs", func() {
			sc.submit("a", newStep(1, 1000, time.Second))
			sc.s.Cancel(sc.now, jobID(1), "")
			commitTo(sc.s, sc.log)
			sc.takeOver(2, teamCatalog(2, Team{Name: "a", Weight: 1, Quota: coreQuota(2000)}))
			commitTo(sc.s, sc.log)
			sc.takeOver(3, teamCatalog(3))
			sc.answerAll()
			sc.submit("a", newStep(5, 1000, time.Second))
			So(sc.start(), ShouldEqual, 2)
		})
		Convey("a job that a host forwards after its team has left the manifest runs under the last terms", func() {
			sc.s.SetCatalog(teamCatalog(2))
			So(sc.submit("a", newStep(5, 1000, time.Second)).Outcome, ShouldEqual, OutcomeAccepted)
			So(sc.start(), ShouldEqual, 4)
			Convey("also under a leader that never knew the team", func() {
				sc.takeOver(2, teamCatalog(2))
				sc.answerAll()
				So(sc.s.accountOf("a").isKnown, ShouldBeTrue)
				So(sc.start(), ShouldEqual, 4)
				Convey("and the record of the terms goes with the job", func() {
					sc.s.Cancel(sc.now, jobID(1), "")
					sc.now = sc.now.Add(2 * maintenanceInterval)
					sc.decide()
					So(sc.log[prefixTeam+"a"].Value, ShouldBeEmpty)
				})
			})
		})
	})
}

// TestSmallTasksLeaveQuotaToLargeOnes guards against a large task, or a gang, that never starts since small tasks of its team take
// each part of the quota that becomes free, and against small tasks that wait for one which can't start beside long-running tasks.
func TestSmallTasksLeaveQuotaToLargeOnes(t *testing.T) {
	gang := newStep(4, 1000, 4*time.Second)
	gang.Gang = true
	for _, c := range []struct {
		name  string
		large workflow.Step
	}{{"task", newStep(1, 4000, 4*time.Second)}, {"gang", gang}} {
		Convey("A team has used its quota of four cores, and small tasks and a large "+c.name+" wait", t, func() {
			sc := newTeamScenario(2, Team{Name: "a", Weight: 1, Quota: coreQuota(4000)})
			// flow ends one small task and submits another, until none starts or the time is over, which it returns. New small
			// tasks rank behind the large one from 3 s on.
			flow := func() time.Duration {
				start := sc.now
				for sc.now.Before(start.Add(3 * quotaPatience)) {
					sc.now = sc.now.Add(100 * time.Millisecond)
					sc.answerAll()
					sc.end("a", 1)
					sc.submit("a", newStep(1, 1000, time.Second))
					if sc.start() == 0 {
						break
					}
				}
				return sc.now.Sub(start)
			}
			Convey("which starts once it has waited for some time", func() {
				sc.submit("a", newStep(4, 1000, time.Second))
				So(sc.start(), ShouldEqual, 4)
				sc.submit("a", c.large)
				So(flow(), ShouldBeBetween, quotaPatience, 2*quotaPatience)
				sc.end("a", 3)
				sc.start()
				So(sc.s.jobs[jobID(2)].openOccurrences[0].stages[0].waiting, ShouldEqual, 0)
				So(sc.s.accountOf("a").Used().Cores, ShouldEqual, 4000)
			})
			Convey("which can't start beside a long-running task: the small ones go on", func() {
				serve := newStep(1, 1000, time.Second)
				serve.LongRunning = true
				sc.submit("a", serve)
				So(sc.start(), ShouldEqual, 1)
				sc.submit("a", newStep(3, 1000, time.Second))
				So(sc.start(), ShouldEqual, 3)
				sc.submit("a", c.large)
				start := sc.now
				for sc.now.Before(start.Add(2 * quotaPatience)) {
					sc.now = sc.now.Add(100 * time.Millisecond)
					sc.answerAll()
					sc.submit("a", newStep(1, 1000, time.Second))
					ended := false
					for _, w := range sc.s.WorkerIDs() {
						for _, r := range sc.s.runsOf(sc.s.workers[w]) {
							if ended || r.task.step().LongRunning {
								continue
							}
							ended = true
							sc.serials[w]++
							sc.s.HandleReport(sc.now, Report{
								Worker: w, Boot: 1, Clock: 1000 + sc.now.Sub(simEpoch).Milliseconds(), Running: sc.others(r),
								Ended: []EndReport{{Serial: sc.serials[w], Task: r.task.name, Number: r.number, Reason: EndDone}},
							})
						}
					}
					commitTo(sc.s, sc.log)
					So(sc.start(), ShouldEqual, 1)
				}
			})
		})
	}
}

// TestQuotaHoldsAfterChangeOfLeader guards against a team that gets its quota a second time from a new leader, which doesn't
// know yet what the earlier one has started, or has a manifest without the team or with other terms.
func TestQuotaHoldsAfterChangeOfLeader(t *testing.T) {
	Convey("A team has used its quota, and the starts have no answer, when another host takes over", t, func() {
		team := Team{Name: "a", Weight: 1, Quota: coreQuota(4000)}
		sc := newTeamScenario(2, team)
		sc.submit("a", newStep(4, 1000, time.Minute))
		orders := sc.decide()
		So(orders, ShouldHaveLength, 4)
		on := func(id string) []RunReport {
			var out []RunReport
			for _, o := range orders {
				if o.Worker == id {
					out = append(out, RunReport{Task: o.Task, Number: o.Run})
				}
			}
			return out
		}
		for _, c := range []Catalog{teamCatalog(1, team), teamCatalog(2)} {
			Convey(fmt.Sprintf("with version %d of the manifest", c.Version), func() {
				sc.takeOver(2, c)
				So(sc.s.accountOf("a").Used().Cores, ShouldEqual, 4000)
				sc.submit("a", newStep(4, 1000, time.Second))
				answer(sc.s, sc.now, "w000", on("w000")...)
				commitTo(sc.s, sc.log)
				So(sc.decide(), ShouldBeEmpty)
				answer(sc.s, sc.now, "w001", on("w001")...)
				commitTo(sc.s, sc.log)
				So(sc.s.accountOf("a").Used().Cores, ShouldEqual, 4000)
				So(sc.decide(), ShouldBeEmpty)
				sc.end("a", 1)
				So(sc.decide(), ShouldHaveLength, 1)
			})
		}
		Convey("and tasks that only may run don't keep it from repeating orders and moving runs", func() {
			sc.submit("a", newStep(8, 1000, time.Minute))
			sc.takeOver(2, teamCatalog(1, team))
			answer(sc.s, sc.now, "w000", on("w000")...)
			commitTo(sc.s, sc.log)
			So(sc.s.accountOf("a").Used().Cores, ShouldBeGreaterThan, 4000)
			st := sc.s.findTask(orders[0].Task).stage
			So(sc.s.mayRestart(st), ShouldBeTrue)
			sc.s.SetCatalog(teamCatalog(2, Team{Name: "a", Weight: 1, Quota: coreQuota(1000)}))
			So(sc.s.mayRestart(st), ShouldBeFalse)
		})
		Convey("and the starts have not arrived", func() {
			sc.takeOver(2, teamCatalog(1, team))
			sc.submit("a", newStep(4, 1000, time.Second))
			sc.answerAll()
			So(sc.decide(), ShouldHaveLength, 4)
		})
		Convey("with a manifest from before the quota was lowered", func() {
			sc.s.SetCatalog(teamCatalog(3, team))
			sc.takeOver(2, teamCatalog(1, Team{Name: "a", Weight: 1, Quota: coreQuota(8000)}))
			sc.s.SetCatalog(teamCatalog(2, Team{Name: "a", Weight: 1, Quota: coreQuota(8000)}))
			So(sc.s.accountOf("a").terms.Quota.Cores, ShouldEqual, 8000)
			Convey("which the log says", func() {
				sc.s.SetCatalog(teamCatalog(3, team))
				commitTo(sc.s, sc.log)
				sc.takeOver(3, teamCatalog(2, Team{Name: "a", Weight: 1, Quota: coreQuota(8000)}))
				So(sc.s.accountOf("a").terms.Quota.Cores, ShouldEqual, 4000)
			})
		})
		Convey("and the job was cancelled before", func() {
			sc.s.Cancel(sc.now, jobID(1), "")
			commitTo(sc.s, sc.log)
			sc.takeOver(2, teamCatalog(1, team))
			sc.submit("a", newStep(4, 1000, time.Second))
			So(sc.decide(), ShouldBeEmpty)
			answer(sc.s, sc.now, "w000")
			answer(sc.s, sc.now, "w001", on("w001")...)
			commitTo(sc.s, sc.log)
			So(sc.decide(), ShouldBeEmpty)
			Convey("it counts until the runs are over", func() {
				sc.now = sc.now.Add(2 * unlistedTimeout)
				for range 2 {
					answer(sc.s, sc.now, "w000")
					answer(sc.s, sc.now, "w001")
					commitTo(sc.s, sc.log)
					sc.now = sc.now.Add(2 * unlistedTimeout)
				}
				So(sc.decide(), ShouldHaveLength, 4)
			})
		})
		Convey("the record of the terms goes once the team has left and has no open jobs", func() {
			So(sc.log, ShouldContainKey, prefixTeam+"a")
			sc.s.Cancel(sc.now, jobID(1), "")
			sc.s.SetCatalog(teamCatalog(2))
			sc.now = sc.now.Add(2 * maintenanceInterval)
			sc.decide()
			So(sc.log[prefixTeam+"a"].Value, ShouldBeEmpty)
		})
	})
}
