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
		r := s.Cancel(simEpoch, jobID(1))
		So(r.Outcome, ShouldEqual, OutcomeUnknownJob)
		So(r.Batch, ShouldEqual, s.OpenBatch())
		commitTo(s, log)
		Convey("its submission is refused until the cancellation is forgotten", func() {
			refusal := submitSpec(s, 1, spec)
			So(refusal.Outcome, ShouldEqual, OutcomeRefused)
			So(refusal.RetryAfter, ShouldEqual, s.limits.JobRetention)
			So(s.HasJob(jobID(1)), ShouldBeFalse)
			So(s.JobStatus(jobID(1)).Outcome, ShouldEqual, OutcomeUnknownJob)
			So(s.Cancel(simEpoch, jobID(1)).Outcome, ShouldEqual, OutcomeUnknownJob)
			later := simEpoch.Add(s.limits.JobRetention + 2*time.Second)
			s.Decide(later, later)
			So(submitSpec(s, 1, spec).Outcome, ShouldEqual, OutcomeAccepted)
		})
		Convey("also by the next leader", func() {
			next := succeed(s, log)
			So(submitSpec(next, 1, spec).Outcome, ShouldEqual, OutcomeRefused)
			So(next.JobStatus(jobID(1)).Outcome, ShouldEqual, OutcomeUnknownJob)
		})
		Convey("and others beyond the limit are not cancelled", func() {
			for n := range maxDenied - 1 {
				So(s.Cancel(simEpoch, fmt.Sprintf("f%015x", n)).Outcome, ShouldEqual, OutcomeUnknownJob)
			}
			So(s.Cancel(simEpoch, "ffffffffffffffff").Outcome, ShouldEqual, OutcomeRefused)
		})
	})
}
