package dispatch

// Callers choose the size of a specification regardless of its number of tasks, and jobs are kept for a while after they have
// ended. The loads that this answers: thousands of jobs of a single task, each with a payload and names of many kilobytes, and
// jobs that end as fast as they are submitted. Jobs count against Limits.MaxTasks like the tasks that would take the same
// memory, as long as they are kept.

// jobBytes is the memory in bytes that a job takes beside its specification and its tasks.
const jobBytes = 512

// overheadTasksOf returns the number of tasks that take the memory of the job with its specification, without its tasks.
func (s *Scheduler) overheadTasksOf(j *Job) int {
	if s.limits.TaskMemory == 0 {
		return 0
	}
	return (jobBytes + j.specBytes()) / s.limits.TaskMemory
}

// countOverhead counts what the job takes now, beside its tasks.
func (s *Scheduler) countOverhead(j *Job) {
	before := j.overheadTasks
	j.overheadTasks = s.overheadTasksOf(j)
	s.countTasks(j, j.overheadTasks-before)
}

// dropPayload frees the payload of a job that has ended, of which no task starts any more.
func (s *Scheduler) dropPayload(j *Job) {
	j.spec.Payload = ""
	s.countOverhead(j)
}

// admissionTasks returns the number of open tasks that the job adds when it is accepted.
func (s *Scheduler) admissionTasks(j *Job) int {
	return j.occurrenceFootprint().tasks + s.overheadTasksOf(j)
}
