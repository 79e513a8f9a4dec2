package dispatch

import (
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

const testMaxRecord = 256 << 10

// newBoundedScheduler returns a scheduler with the given limits and a queue.
func newBoundedScheduler(attempts, maxRecord, maxTasks int) *Scheduler {
	limits := testLimits()
	limits.MaxRecord, limits.MaxTasks = maxRecord, maxTasks
	s := New(limits, 1, 1)
	s.SetCatalog(Catalog{Version: 1, Queues: map[string]Queue{
		"q": {Name: "q", Service: "svc", Attempts: attempts, Slack: 2},
	}})
	return s
}

// overdueSpec returns a job with the given number of occurrences, all of which are due.
func overdueSpec(occurrences int, steps ...workflow.Step) workflow.Spec {
	return workflow.Spec{
		Steps: steps, OccurrenceCount: occurrences, Interval: time.Second,
		FirstDue: simEpoch.Add(-time.Duration(occurrences) * time.Second),
	}
}

func submitSpec(s *Scheduler, n int, spec workflow.Spec) Reply {
	return s.Submit(simEpoch, Request{ID: jobID(n), Queue: "q", Spec: spec, WallTime: simEpoch})
}

// failAll has each task of the job fail the given number of times.
func failAll(s *Scheduler, j *Job, failures int) {
	w := s.workers["w"]
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			for _, t := range st.tasks {
				for n := range failures {
					s.recordFailure(simEpoch, t, t.lastRun+n+1, w)
				}
			}
		}
	}
}

// TestRecordsFitIntoLog guards against a job whose specification or progress is larger than a record of the log, which
// the log never takes, so that nothing becomes durable any more.
func TestRecordsFitIntoLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, 5).Draw(t, "attempts")
		s := newBoundedScheduler(attempts, testMaxRecord, 0)
		answer(s, simEpoch, "w")
		steps := make([]workflow.Step, rapid.IntRange(1, 8).Draw(t, "steps"))
		for i := range steps {
			steps[i] = newStep(rapid.SampledFrom([]int{1, 7, 100, 3000}).Draw(t, "tasks"), 1, time.Hour)
			steps[i].LongRunning = rapid.IntRange(0, 9).Draw(t, "long-running") == 0
			steps[i].Image = strings.Repeat("x", rapid.IntRange(0, workflow.MaxNameBytes).Draw(t, "image"))
		}
		spec := overdueSpec(rapid.SampledFrom([]int{1, 50, 50400}).Draw(t, "occurrences"), steps...)
		spec.Payload = strings.Repeat("y", rapid.IntRange(0, workflow.MaxPayloadBytes).Draw(t, "payload"))
		if submitSpec(s, 1, spec).Outcome != OutcomeAccepted {
			return
		}
		failAll(s, s.jobs[jobID(1)], attempts-1)
		b, _ := s.TakeBatch()
		for _, r := range b.Records {
			if n := len(r.Key) + len(r.Value) + 1; n > testMaxRecord {
				t.Fatalf("record %s has %d bytes, more than the %d that the log takes", r.Key, n, testMaxRecord)
			}
		}
		if s.taskCount > maxOpenTasks {
			t.Fatalf("one job has %d open tasks, more than %d", s.taskCount, maxOpenTasks)
		}
	})
}

// TestOverdueOccurrencesOpenInTurn guards against a job that opens all its overdue occurrences at once, and against
// occurrences that are never opened because others came first.
func TestOverdueOccurrencesOpenInTurn(t *testing.T) {
	Convey("A job with 1000 overdue occurrences is submitted to a leader with room for 64 tasks", t, func() {
		const occurrences, room = 1000, 64
		s := newBoundedScheduler(2, testMaxRecord, room)
		answer(s, simEpoch, "w")
		So(submitSpec(s, 1, overdueSpec(occurrences, newStep(2, 1, time.Second))).Outcome, ShouldEqual, OutcomeAccepted)
		j := s.jobs[jobID(1)]
		seen := map[int]bool{}
		now, rng := simEpoch, rand.New(rand.NewPCG(1, 1))
		for round := 0; !j.isFinal(); round++ {
			So(round, ShouldBeLessThan, 10*occurrences)
			So(s.taskCount, ShouldBeBetweenOrEqual, 1, room)
			for index, o := range j.openOccurrences {
				seen[index] = true
				if rng.IntN(2) == 0 {
					for _, t := range o.stages[0].tasks {
						s.finishTask(now, t)
					}
				}
			}
			now = now.Add(100 * time.Millisecond)
			s.Decide(now, now)
		}
		So(j.finalState, ShouldEqual, StateCompleted)
		So(seen, ShouldHaveLength, occurrences)
		So(s.taskCount, ShouldEqual, 0)
	})
}

// TestOversizedJobIsRejected guards against a job that is accepted although it exceeds a limit by itself, and against a
// caller that is told to try such a job again.
func TestOversizedJobIsRejected(t *testing.T) {
	Convey("A leader whose log takes records of 256 KiB", t, func() {
		s := newBoundedScheduler(3, testMaxRecord, 100000)
		rejects := func(spec workflow.Spec, reason string) {
			r := submitSpec(s, 1, spec)
			So(r.Outcome, ShouldEqual, OutcomeRejected)
			So(r.Reason, ShouldContainSubstring, reason)
			So(s.HasJob(jobID(1)), ShouldBeFalse)
			So(s.taskCount, ShouldEqual, 0)
		}
		many := func(n int) []workflow.Step {
			steps := make([]workflow.Step, n)
			for i := range steps {
				steps[i] = newStep(workflow.MaxTasks, 1, time.Second)
			}
			return steps
		}
		Convey("rejects a job with more open tasks than are allowed", func() {
			rejects(workflow.Spec{Steps: many(3)}, "30000 tasks")
		})
		Convey("rejects a job whose failures may not fit into a record", func() {
			s.SetCatalog(Catalog{Version: 2, Queues: map[string]Queue{"q": {Name: "q", Service: "svc", Attempts: 9}}})
			rejects(workflow.Spec{Steps: many(1)}, "bytes of progress")
		})
		Convey("rejects a job whose specification is larger than a record", func() {
			steps := make([]workflow.Step, workflow.MaxSteps)
			for i := range steps {
				steps[i] = newStep(1, 1, time.Second)
				for dependency := range i {
					steps[i].DependsOn = append(steps[i].DependsOn, dependency)
				}
			}
			rejects(workflow.Spec{Steps: steps}, "specification")
		})
		Convey("rejects a job with too many occurrences that never end", func() {
			step := newStep(6, 1, time.Second)
			step.LongRunning = true
			rejects(overdueSpec(workflow.MaxOccurrences, step), "never end")
		})
		Convey("accepts the largest jobs that fit", func() {
			So(submitSpec(s, 1, workflow.Spec{Steps: many(1)}).Outcome, ShouldEqual, OutcomeAccepted)
		})
	})
	Convey("A leader without room for further tasks refuses a job for now", t, func() {
		s := newBoundedScheduler(3, testMaxRecord, 100)
		So(submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{newStep(80, 1, time.Second)}}).Outcome,
			ShouldEqual, OutcomeAccepted)
		small := workflow.Spec{Steps: []workflow.Step{newStep(40, 1, time.Second)}}
		r := submitSpec(s, 2, small)
		So(r.Outcome, ShouldEqual, OutcomeRefused)
		So(r.RetryAfter, ShouldBeGreaterThan, 0)
		commitAll(s)
		s.Cancel(simEpoch, jobID(1), "")
		commitAll(s)
		s.Decide(simEpoch.Add(testLimits().JobRetention+time.Minute), simEpoch.Add(testLimits().JobRetention+time.Minute))
		So(submitSpec(s, 2, small).Outcome, ShouldEqual, OutcomeAccepted)
	})
}

// TestStopsOfOneWorkerFitIntoLog guards against a worker with so many tiny tasks that the record of their stops is larger
// than the log takes.
func TestStopsOfOneWorkerFitIntoLog(t *testing.T) {
	Convey("A job of 10000 tasks without any size runs on one worker and is cancelled", t, func() {
		s := newBoundedScheduler(2, testMaxRecord, 0)
		answer(s, simEpoch, "w")
		commitAll(s)
		step := newStep(workflow.MaxTasks, 0, time.Hour)
		step.Size.Memory = 0
		So(submitSpec(s, 1, workflow.Spec{Steps: []workflow.Step{step}}).Outcome, ShouldEqual, OutcomeAccepted)
		commitAll(s)
		So(startsOf(s, simEpoch), ShouldBeBetweenOrEqual, 1, maxRunsPerWorker)
		s.Cancel(simEpoch, jobID(1), "")
		for _, r := range commitAll(s) {
			So(len(r.Key)+len(r.Value), ShouldBeLessThan, testMaxRecord)
		}
	})
}

// TestSuspectsOfOneJobFitIntoLog guards against a job with so many suspected tasks that the record of them is larger than
// the log takes.
func TestSuspectsOfOneJobFitIntoLog(t *testing.T) {
	Convey("Each task of a job of 10000 is suspected of a crash", t, func() {
		rec := &crashesRecord{}
		address := strings.Repeat("a", 40)
		for i := range workflow.MaxTasks {
			x := loss{Worker: "i-" + strconv.Itoa(i), Boot: 1 << 40, Address: address, Run: 1}
			rec.Suspects = append(rec.Suspects, suspectRecord{Task: i, Pending: []loss{x}})
		}
		rec.Suspects[workflow.MaxTasks-1].Crashes = []loss{{Worker: "w"}}
		j := &Job{id: jobID(1)}
		out := j.appendCrashes(nil, rec)
		So(out, ShouldHaveLength, 1)
		So(len(out[0].Value), ShouldBeLessThan, testMaxRecord)
		So(rec.Suspects[len(rec.Suspects)-1].Task, ShouldEqual, workflow.MaxTasks-1)
	})
}

// TestRejectedRecord guards against a job that counts as accepted although the log did not take its specification, and
// against one that goes on although its progress can't be stored.
func TestRejectedRecord(t *testing.T) {
	Convey("The log permanently rejects a record of a job", t, func() {
		s := newBoundedScheduler(2, 0, 0)
		answer(s, simEpoch, "w")
		commitAll(s)
		So(submitSpec(s, 1, overdueSpec(3, newStep(2, 1, time.Second))).Outcome, ShouldEqual, OutcomeAccepted)
		b, _ := s.TakeBatch()
		Convey("the job was never accepted if that is its specification", func() {
			s.RejectRecord(simEpoch, prefixJob+jobID(1))
			s.MarkCommitted(b)
			So(s.HasJob(jobID(1)), ShouldBeFalse)
			So(startsOf(s, simEpoch), ShouldEqual, 0)
			So(commitAll(s), ShouldContain, Record{Key: prefixProgress + jobID(1)})
		})
		Convey("the job fails if that is its progress", func() {
			s.RejectRecord(simEpoch, prefixProgress+jobID(1))
			s.MarkCommitted(b)
			commitAll(s)
			So(s.JobStatus(jobID(1)).State, ShouldEqual, StateFailed)
			So(startsOf(s, simEpoch), ShouldEqual, 0)
		})
	})
}

// BenchmarkTaskMemory measures the heap of an open task, in bytes, of jobs with one task and with sixteen.
func BenchmarkTaskMemory(b *testing.B) {
	const tasks = 20000
	for _, width := range []int{1, 16} {
		b.Run(strconv.Itoa(width), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				s := newBoundedScheduler(2, 0, 0)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range tasks / width {
					submitSpec(s, i, workflow.Spec{Payload: "x", Steps: []workflow.Step{newStep(width, 1, time.Second)}})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/tasks, "B/task")
		})
	}
}
