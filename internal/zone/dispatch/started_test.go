package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEndBeforeAnswerCountsAsStart guards against a job that is shown as queued although one of its tasks has run, because
// the task's end was listed before the answer to its start arrived.
func TestEndBeforeAnswerCountsAsStart(t *testing.T) {
	Convey("A worker lists the end of a run whose start has no answer yet", t, func() {
		now := simEpoch
		s := newStopScheduler(now, 1)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1000})
		submitStep(s, now, 1, newStep(2, 5000, time.Second))
		commitAll(s)
		o := s.Decide(now, now)[0]
		So(s.QueuedJobs(queueName), ShouldEqual, 1)
		s.HandleReport(now, Report{Worker: "w", Boot: 1, Clock: 1100, Ended: []EndReport{
			{Serial: 1, Task: o.Task, Number: o.Run, Reason: EndDone},
		}})
		s.HandleStartAnswer(now, o, AnswerDone, 1050)
		So(s.JobStatus(jobID(1)).State, ShouldEqual, StateRunning)
		So(s.QueuedJobs(queueName), ShouldEqual, 0)
	})
}
