package dispatch

import (
	"fmt"
	"time"
)

// The progress of a job is one record of the log, whose size is limited, and all open tasks are in the memory of the
// leader. A job opens only as many due occurrences at once as fit into both, the others follow as these end. A job of which
// not even one fits is rejected when it is submitted.

const (
	// maxOpenTasks is the largest number of open tasks of one job.
	maxOpenTasks = 20000
	// maxRunsPerWorker is the largest number of runs on one worker: all of them may be stopped at once, and their stops
	// are one record.
	maxRunsPerWorker = 4096
	// maxRecordedSuspects is the largest number of tasks of one job in the record of its crashes.
	maxRecordedSuspects = 1000
	// maxCountedFailures is the largest number of failed runs of a task for which a job's progress reserves space.
	maxCountedFailures = 100
	// overloadRetryAfter is the time after which callers of jobs that were refused for want of memory should retry: a few
	// short tasks end within it.
	overloadRetryAfter = 2 * time.Second
)

// Upper bounds of the encoded sizes in bytes of a job's progress and specification.
const (
	recordBytes     = 512
	occurrenceBytes = 16
	stepBytes       = 6
	failedRunBytes  = 11
	// stepSpecBytes is that of a step of the specification without its texts and dependencies.
	stepSpecBytes   = 256
	dependencyBytes = 9
)

// footprint is what open occurrences take.
type footprint struct {
	// tasks is the number of their tasks.
	tasks int
	// progress is the size of their progress in bytes.
	progress int
}

// times returns the footprint of n times as many occurrences.
func (f footprint) times(n int) footprint { return footprint{f.tasks * n, f.progress * n} }

// occurrenceFootprint returns the largest footprint of one occurrence of the job.
func (j *Job) occurrenceFootprint() footprint {
	f := footprint{progress: occurrenceBytes}
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		failures := min(j.maxAttempts-1, maxCountedFailures)
		if step.LongRunning {
			failures = 1
		}
		f.tasks += step.Tasks
		f.progress += stepBytes + (step.Tasks+7)/8 + step.Tasks*failures*failedRunBytes
	}
	return f
}

// fitsLimits reports whether a job may have occurrences with the footprint open at once.
func (s *Scheduler) fitsLimits(f footprint) bool {
	return f.tasks <= maxOpenTasks && (s.limits.MaxRecord == 0 || recordBytes+f.progress <= s.limits.MaxRecord)
}

// mayOpenOccurrence reports whether the job may have another occurrence open beside the present ones. One is always allowed.
func (s *Scheduler) mayOpenOccurrence(j *Job) bool {
	open := len(j.openOccurrences)
	if open == 0 {
		return true
	}
	f := j.occurrenceFootprint()
	return s.fitsLimits(f.times(open+1)) && (s.limits.MaxTasks == 0 || s.taskCount+f.tasks <= s.limits.MaxTasks) &&
		s.fitsTeamTasks(j.use.account, f.tasks)
}

// rejectOversized rejects a job that exceeds a limit by itself, with the reason. It returns false if the job exceeds none.
func (s *Scheduler) rejectOversized(j *Job) (Reply, bool) {
	f := j.occurrenceFootprint()
	occurrences := "an occurrence"
	if j.spec.HasLongRunning() {
		// No occurrence ever ends.
		f = f.times(j.spec.Occurrences())
		occurrences = "the occurrences, which never end,"
	}
	size := j.specBytes()
	switch {
	case s.limits.MaxRecord > 0 && size > s.limits.MaxRecord:
		return reject("the specification takes up to %d bytes of the log, at most %d are allowed", size, s.limits.MaxRecord)
	case !s.fitsLimits(f):
		return reject("%s of %d tasks and up to %d bytes of progress, at most %d and %d are allowed",
			occurrences, f.tasks, f.progress, maxOpenTasks, s.limits.MaxRecord-recordBytes)
	case s.limits.MaxTasks > 0 && f.tasks+s.overheadTasksOf(j) > s.limits.MaxTasks:
		return reject("%s of %d tasks and a specification of up to %d bytes, at most %d tasks are allowed",
			occurrences, f.tasks, size, s.limits.MaxTasks)
	}
	return Reply{}, false
}

// reject returns the reply to a job that can never be accepted.
func reject(format string, args ...any) (Reply, bool) {
	return Reply{Outcome: OutcomeRejected, Reason: fmt.Sprintf(format, args...)}, true
}

// refuseOverload refuses a job for which there is no memory at present. It returns false if there is.
func (s *Scheduler) refuseOverload(j *Job) (Reply, bool) {
	if s.limits.MaxTasks == 0 || s.taskCount+s.admissionTasks(j) <= s.limits.MaxTasks {
		return Reply{}, false
	}
	return Reply{Outcome: OutcomeRefused, RetryAfter: overloadRetryAfter, Reason: "too many tasks are open"}, true
}

// specBytes returns an upper bound of the size of the job's specification in the log.
func (j *Job) specBytes() int {
	n := recordBytes + len(j.queue) + len(j.spec.Payload)
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		n += stepSpecBytes + len(step.Label) + len(step.DataRack) + len(step.Image) + dependencyBytes*len(step.DependsOn)
	}
	return n
}

// taskCount returns the number of the job's tasks in memory, with those for which the job itself counts.
func (j *Job) taskCount() int {
	n := j.overheadTasks
	for _, o := range j.openOccurrences {
		n += o.taskCount()
	}
	return n
}

// taskCount returns the number of tasks of the occurrence.
func (o *occurrence) taskCount() int {
	n := 0
	for _, st := range o.stages {
		n += len(st.tasks)
	}
	return n
}

// countTasks adds tasks of the job to those in memory, or takes them away if n is negative.
func (s *Scheduler) countTasks(j *Job, n int) {
	s.taskCount += n
	j.use.account.openTasks += n
}

// removeJob forgets a job with all its tasks.
func (s *Scheduler) removeJob(j *Job) {
	s.countTasks(j, -j.taskCount())
	if j.isDenied() {
		s.denied--
	}
	s.closeJob(j)
	delete(s.jobs, j.id)
	delete(s.recurring, j)
}

// RejectRecord handles a record of a batch that the log rejects permanently. It must be called before the batch is marked as
// committed. A job whose specification can't be stored was never accepted; one whose progress can't be stored fails.
func (s *Scheduler) RejectRecord(now time.Time, key string) {
	if id, ok := cutPrefix(key, prefixJob); ok {
		if j := s.jobs[id]; j != nil && !j.isFinal() && j.acceptedBatch > s.journal.committed {
			s.removeJob(j)
			j.finalState = StateCancelled
			s.journal.dirtyJobs = removeFirst(s.journal.dirtyJobs, j)
			s.journal.records = append(s.journal.records, Record{Key: prefixProgress + id})
			s.recordEvent(Event{Kind: "withdraw", Job: id, Reason: "the log does not take its specification"})
		}
	}
	if id, ok := cutPrefix(key, prefixProgress); ok {
		if j := s.jobs[id]; j != nil && !j.isFinal() {
			s.recordEvent(Event{Kind: "job failed", Job: id, Reason: "the log does not take its progress"})
			s.close(now, j, StateFailed)
		}
	}
}
