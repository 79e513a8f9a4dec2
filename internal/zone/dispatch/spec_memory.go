package dispatch

// Callers choose the size of a specification regardless of its number of tasks, and jobs are kept for a while after they have
// ended. The loads that this answers: thousands of jobs of a single task, each with a payload and names of many kilobytes, and
// jobs that end as fast as they are submitted. Jobs count against Limits.MaxTasks like the tasks that would take the same
// memory, as long as they are kept.

// jobBytes is the memory in bytes that a job takes beside its specification and its tasks.
const jobBytes = 512

// specTasksOf returns the number of tasks that take the memory of the job with its specification, without its tasks.
func (s *Scheduler) specTasksOf(j *Job) int {
	if s.limits.TaskMemory == 0 {
		return 0
	}
	return (jobBytes + j.specBytes()) / s.limits.TaskMemory
}

// countSpec counts the specification of the job as it is now.
func (s *Scheduler) countSpec(j *Job) {
	before := j.specTasks
	j.specTasks = s.specTasksOf(j)
	s.countTasks(j, j.specTasks-before)
}

// dropPayload frees the payload of a job that has ended, of which no task starts any more.
func (s *Scheduler) dropPayload(j *Job) {
	j.spec.Payload = ""
	s.countSpec(j)
}

// admissionTasks returns the number of open tasks that the job adds when it is accepted.
func (s *Scheduler) admissionTasks(j *Job) int {
	return j.occurrenceFootprint().tasks + s.specTasksOf(j)
}
