package dispatch

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// A job may be cancelled before it is submitted: its caller has given the submission up, which a host hands in seconds later.
// The caller is told that there is no such job, so that it must not run from then on. So the cancellation is kept as long as the
// state of a finished job.

// stateDenied is the final state of a job that was cancelled before it was submitted. Callers are told that there is no such
// job.
const stateDenied State = "denied"

// maxDenied is the largest number of such jobs that are kept.
const maxDenied = 4096

// isDenied reports whether the job was cancelled before it was submitted.
func (j *Job) isDenied() bool { return j.finalState == stateDenied }

// denies reports whether the job was cancelled before it was submitted, by a caller that may have been the submitting team's. A
// team can't have the job of another one refused by cancelling its ID first.
func (j *Job) denies(team string) bool {
	return j.isDenied() && (j.team == "" || team == "" || j.team == team)
}

// widenDenial has the cancellation hold for all teams once callers of different ones have cancelled the ID: neither's job may
// run.
func (s *Scheduler) widenDenial(j *Job, team string) {
	if j.team != "" && j.team != team {
		s.setTeam(j, "")
		j.finalBatch = s.journal.markDirty(j)
	}
}

// deny keeps the cancellation of a job that is not known by a caller of the team. The answer may be given
// once the reply's batch is committed.
func (s *Scheduler) deny(now time.Time, id, team string) Reply {
	if s.denied >= maxDenied {
		return Reply{
			Outcome: OutcomeRefused, RetryAfter: overloadRetryAfter, Reason: "too many unknown jobs were cancelled",
		}
	}
	j := s.newJob(id, "", workflow.Spec{}, now, now.Add(s.wallOffset))
	s.setTeam(j, team)
	s.jobs[id] = j
	s.denied++
	s.close(now, j, stateDenied)
	s.recordEvent(Event{Kind: "cancel", Job: id, Reason: "not submitted yet"})
	return Reply{Outcome: OutcomeUnknownJob, Batch: j.finalBatch}
}

// refuseDenied refuses a job that was cancelled before it was submitted.
func (s *Scheduler) refuseDenied(now time.Time, j *Job) Reply {
	s.recordEvent(Event{Kind: "refuse", Job: j.id, Reason: "cancelled before"})
	return Reply{
		Outcome: OutcomeRefused, RetryAfter: max(time.Second, j.endedAt.Add(s.limits.JobRetention).Sub(now)),
		Reason: "the job was cancelled before it was submitted",
	}
}
