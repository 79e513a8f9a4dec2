package dispatch

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// TestLargeSpecificationsFillMemory guards against callers who fill the memory of the leader with jobs of few tasks and large
// specifications: they are accepted without end, or what they take is not given back, or unknown to the next leader.
func TestLargeSpecificationsFillMemory(t *testing.T) {
	Convey("With memory for a hundred tasks of 1,000 bytes each", t, func() {
		limits := Limits{MaxLease: 6 * time.Second, JobRetention: time.Minute, MaxTasks: 100, TaskMemory: 1000}
		now := time.Unix(1000, 0)
		newScheduler := func() *Scheduler {
			s := New(limits, 1, 1)
			s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{queueName: {Name: queueName, Service: "pool", Attempts: 1}}})
			return s
		}
		s := newScheduler()
		submit := func(n, payload int) Reply {
			return s.Submit(now, Request{
				ID: jobID(n), Queue: queueName, WallTime: now,
				Spec: workflow.Spec{Payload: strings.Repeat("a", payload), Steps: workflow.Steps{newStep(1, 1, time.Second)}},
			})
		}
		accepted := 0
		var last Reply
		for last = submit(0, 9000); last.Outcome == OutcomeAccepted && accepted < 100; last = submit(accepted, 9000) {
			accepted++
		}
		Convey("jobs are accepted only as long as their specifications fit, and refused to come back later", func() {
			So(accepted, ShouldBeBetween, 5, 11)
			So(last.Outcome, ShouldEqual, OutcomeRefused)
			So(last.RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("a job that never fits is rejected", func() {
			So(submit(100, 120_000).Outcome, ShouldEqual, OutcomeRejected)
		})
		Convey("a cancelled job gives the room of its payload back", func() {
			s.Cancel(now, jobID(0), "")
			So(submit(101, 7000).Outcome, ShouldEqual, OutcomeAccepted)
		})
		Convey("the next leader counts the same", func() {
			s.Cancel(now, jobID(0), "")
			b, _ := s.TakeBatch()
			next := newScheduler()
			So(next.Restore(now, now, b.Records, now), ShouldBeEmpty)
			// The log doesn't hold the tasks of the job that was cancelled.
			So(next.taskCount, ShouldEqual, s.taskCount-1)
		})
		Convey("jobs that are done are counted until they are forgotten", func() {
			for _, j := range s.jobs {
				for _, t := range j.openOccurrences[0].stages[0].tasks {
					s.finishTask(now, t)
				}
			}
			So(s.taskCount, ShouldEqual, accepted)
			b, _ := s.TakeBatch()
			s.MarkCommitted(b)
			s.expireJobs(now.Add(2 * limits.JobRetention))
			So(s.taskCount, ShouldEqual, 0)
		})
	})
}
