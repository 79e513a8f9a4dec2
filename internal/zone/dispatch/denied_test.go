package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestCancelBeforeSubmission guards against a job that runs although its caller was told that it doesn't exist: its submission lay
// unread in a host when it was cancelled.
func TestCancelBeforeSubmission(t *testing.T) {
	Convey("A job that is not known is cancelled", t, func() {
		s := newBoundedScheduler(2, 0, 0)
		answer(s, simEpoch, "w")
		log := map[string]Record{}
		spec := workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second)}}
		r := s.Cancel(simEpoch, jobID(1), "")
		So(r.Outcome, ShouldEqual, OutcomeUnknownJob)
		So(r.Batch, ShouldEqual, s.OpenBatch())
		commitTo(s, log)
		Convey("its submission is refused until the cancellation is forgotten", func() {
			refusal := submitSpec(s, 1, spec)
			So(refusal.Outcome, ShouldEqual, OutcomeRefused)
			So(refusal.RetryAfter, ShouldEqual, s.limits.JobRetention)
			So(s.HasJob(jobID(1)), ShouldBeFalse)
			So(s.JobStatus(jobID(1)).Outcome, ShouldEqual, OutcomeUnknownJob)
			So(s.Cancel(simEpoch, jobID(1), "").Outcome, ShouldEqual, OutcomeUnknownJob)
			later := simEpoch.Add(s.limits.JobRetention + 2*time.Second)
			s.Decide(later, later)
			So(submitSpec(s, 1, spec).Outcome, ShouldEqual, OutcomeAccepted)
		})
		Convey("also by the next leader", func() {
			next := succeed(s, log)
			So(submitSpec(next, 1, spec).Outcome, ShouldEqual, OutcomeRefused)
			So(next.JobStatus(jobID(1)).Outcome, ShouldEqual, OutcomeUnknownJob)
		})
		Convey("for all teams, since that of the caller is unknown", func() {
			So(s.Submit(simEpoch, Request{ID: jobID(1), Queue: queueName, Team: "a", Spec: spec, WallTime: simEpoch}).Outcome,
				ShouldEqual, OutcomeRefused)
		})
		Convey("and others beyond the limit are not cancelled", func() {
			for n := range maxDenied - 1 {
				So(s.Cancel(simEpoch, fmt.Sprintf("f%015x", n), "").Outcome, ShouldEqual, OutcomeUnknownJob)
			}
			So(s.Cancel(simEpoch, "ffffffffffffffff", "").Outcome, ShouldEqual, OutcomeRefused)
		})
	})
}

// TestCancellationByAnotherTeam guards against a team that has the jobs of another one refused, since it cancels their IDs before
// they are submitted.
func TestCancellationByAnotherTeam(t *testing.T) {
	Convey("A team has cancelled a job that is not known", t, func() {
		sc := newTeamScenario(1, Team{Name: "a", Weight: 1}, Team{Name: "b", Weight: 1}, Team{Name: "c", Weight: 1})
		id := jobID(1)
		request := Request{
			ID: id, Queue: queueName, WallTime: sc.now, Spec: workflow.Spec{Steps: []workflow.Step{newStep(1, 1000, time.Second)}},
		}
		submit := func(team string) Outcome {
			request.Team = team
			o := sc.s.Submit(sc.now, request).Outcome
			commitTo(sc.s, sc.log)
			return o
		}
		So(sc.s.Cancel(sc.now, id, "a").Outcome, ShouldEqual, OutcomeUnknownJob)
		for _, committed := range []bool{false, true} {
			Convey(fmt.Sprintf("that of another team runs as if nothing had been cancelled, committed %v", committed), func() {
				if committed {
					commitTo(sc.s, sc.log)
				}
				So(sc.s.IsVisible(id, "b"), ShouldBeTrue)
				So(submit("b"), ShouldEqual, OutcomeAccepted)
				So(sc.s.denied, ShouldEqual, 0)
				So(sc.s.JobStatus(id).Outcome, ShouldEqual, OutcomeAccepted)
				So(submit("a"), ShouldEqual, OutcomeTaken)
				sc.takeOver(2, sc.s.catalog)
				sc.answerAll()
				So(submit("b"), ShouldEqual, OutcomeAccepted)
				So(sc.start(), ShouldEqual, 1)
			})
		}
		Convey("its own is refused, and one without a team, also by the next leader", func() {
			So(submit("a"), ShouldEqual, OutcomeRefused)
			So(submit(""), ShouldEqual, OutcomeRefused)
			sc.takeOver(2, sc.s.catalog)
			So(submit("a"), ShouldEqual, OutcomeRefused)
			So(submit("b"), ShouldEqual, OutcomeAccepted)
		})
		Convey("and another one too: neither's runs", func() {
			So(sc.s.Cancel(sc.now, id, "b").Outcome, ShouldEqual, OutcomeUnknownJob)
			So(submit("a"), ShouldEqual, OutcomeRefused)
			So(submit("b"), ShouldEqual, OutcomeRefused)
			sc.takeOver(2, sc.s.catalog)
			So(submit("b"), ShouldEqual, OutcomeRefused)
		})
	})
}
