package policy

import "time"

// trust is what the started and failed tasks of a worker show about whether it can run tasks.
type trust struct {
	// unproven holds the tasks started since the last proof that the worker can run tasks.
	unproven []*task
	// failureCount counts the failed tasks since the last proof; failedJobs holds their distinct jobs.
	failureCount int
	failedJobs   []*jobRecord
	everProven   bool

	quarantined bool
	// nextProbeAt is the earliest time of the next probe, probeInterval the time between probes.
	nextProbeAt   time.Time
	probeInterval time.Duration
}

const (
	// maxUnprovenTasks bounds the running and failed tasks that a worker gets after the last proof that it can run tasks
	// (design section 9: a worker that fails everything gets at most 5 tasks).
	maxUnprovenTasks = 5
	// minQuarantineJobs is the number of distinct jobs whose failures quarantine a worker. Fewer jobs with
	// maxUnprovenTasks failures in total do so as well.
	minQuarantineJobs = 3
	// maxQuarantines is the number of workers that one job or class may help to quarantine (design section 8).
	maxQuarantines = 2
	// minFaultyWorkers is the number of workers on which a job or class must fail without a success to be taken
	// for the cause of the failures.
	minFaultyWorkers = 3
	// provenAgeNew, provenAgeKnown and provenAgeSuspect are how long a task must run to count as proof: on a new
	// worker, on one that has run tasks before, and on one with failures.
	provenAgeNew, provenAgeKnown, provenAgeSuspect = 20 * time.Second, 5 * time.Second, 2 * time.Minute
	// minProbeInterval and maxProbeInterval bound the time between probes of a worker, which doubles with each failed
	// probe.
	minProbeInterval, maxProbeInterval = 30 * time.Second, 10 * time.Minute
	// quarantineScoreFactor multiplies the call score of a quarantined worker.
	quarantineScoreFactor = 10
	// jobRecordTTL is how long a job record is kept after its last event.
	jobRecordTTL = time.Hour
	// classProbeInterval is the time between tasks of a class that failed on several workers without a success, when
	// it is not known yet whether the class or the workers are the cause.
	classProbeInterval = 10 * time.Second
)

// failureRecord counts the failures of a job or class.
type failureRecord struct {
	// workers are the distinct workers on which it failed since its last success, at most minFaultyWorkers.
	workers []string
	// quarantines is the number of workers that its failures helped to quarantine.
	quarantines int
}

func (r *failureRecord) addFailure(worker string) {
	for _, w := range r.workers {
		if w == worker {
			return
		}
	}
	if len(r.workers) < minFaultyWorkers {
		r.workers = append(r.workers, worker)
	}
}

// isFaulty reports whether the job or class failed on minFaultyWorkers workers since its last success.
func (r *failureRecord) isFaulty() bool { return len(r.workers) >= minFaultyWorkers }

func (r *failureRecord) reset() { r.workers = r.workers[:0] }

// jobRecord is kept only for jobs of which a task has failed.
type jobRecord struct {
	failureRecord
	job       string
	updatedAt time.Time
	// succeeded is set once a task of the job has succeeded after a failure.
	succeeded bool
}

// acceptsTask reports whether the worker may get one more task.
func (w *worker) acceptsTask(now time.Time) bool {
	if w.quarantined {
		if w.isProvenByAge(now) {
			w.markProven()
			return true
		}
		return len(w.unproven) == 0 && !now.Before(w.nextProbeAt)
	}
	if w.failureCount+len(w.unproven) < maxUnprovenTasks {
		return true
	}
	if w.isProvenByAge(now) {
		w.markProven()
		return true
	}
	// Some workers cannot be quarantined because the jobs or the class reached maxQuarantines; they get probes too.
	return len(w.unproven) == 0 && !now.Before(w.nextProbeAt)
}

// isProvenByAge reports whether the oldest unproven task has run long enough to count as proof.
func (w *worker) isProvenByAge(now time.Time) bool {
	age := provenAgeNew
	switch {
	case w.failureCount > 0 || w.quarantined:
		age = provenAgeSuspect
	case w.everProven:
		age = provenAgeKnown
	}
	return len(w.unproven) > 0 && now.Sub(w.unproven[0].startedAt) >= age
}

// creditByAge counts a task that has run long enough as a success. Tasks that run for weeks yield no other proof.
func (p *Policy) creditByAge(now time.Time, w *worker) {
	if w.isProvenByAge(now) {
		p.recordSuccess(now, w.unproven[0].job, w.unproven[0].class)
		w.markProven()
	}
}

// markProven records that the worker can run tasks, forgets its failures and ends its quarantine.
func (w *worker) markProven() {
	w.trust = trust{unproven: w.unproven[:0], failedJobs: w.failedJobs[:0], everProven: true}
}

func (w *worker) removeUnproven(t *task) {
	for i, other := range w.unproven {
		if other == t {
			w.unproven = append(w.unproven[:i], w.unproven[i+1:]...)
			return
		}
	}
}

func (p *Policy) taskSucceeded(now time.Time, t *task) {
	t.worker.markProven()
	p.recordSuccess(now, t.job, t.class)
}

func (p *Policy) recordSuccess(now time.Time, job string, c *class) {
	c.failures.reset()
	if j := p.jobs[job]; j != nil {
		j.reset()
		j.succeeded, j.updatedAt = true, now
	}
}

func (p *Policy) recordFailure(now time.Time, job string, c *class, worker string) *jobRecord {
	j := p.jobs[job]
	if j == nil {
		j = &jobRecord{job: job}
		p.jobs[job] = j
		p.jobsByFirstFailure = append(p.jobsByFirstFailure, j)
	}
	j.updatedAt = now
	j.addFailure(worker)
	c.failures.addFailure(worker)
	return j
}

// taskEndedNeutrally handles an eviction or cancellation, which says nothing about the worker.
func (p *Policy) taskEndedNeutrally(t *task) { t.worker.removeUnproven(t) }

// taskFailed records the failure of a task and quarantines its worker if the failures point to the worker.
func (p *Policy) taskFailed(now time.Time, t *task) {
	w := t.worker
	w.removeUnproven(t)
	j := p.recordFailure(now, t.job, t.class, w.name)
	if w.quarantined {
		w.probeInterval = min(2*w.probeInterval, maxProbeInterval)
		w.nextProbeAt = now.Add(w.probeInterval)
		return
	}
	if j.isFaulty() || t.class.failures.isFaulty() {
		return
	}
	w.failureCount++
	w.nextProbeAt = now.Add(minProbeInterval)
	known := false
	for _, other := range w.failedJobs {
		known = known || other == j
	}
	if !known {
		w.failedJobs = append(w.failedJobs, j)
	}
	if len(w.failedJobs) < minQuarantineJobs && w.failureCount < maxUnprovenTasks {
		return
	}
	for _, other := range w.failedJobs {
		if other.quarantines >= maxQuarantines && !other.succeeded {
			return
		}
	}
	if len(w.failedJobs) < minQuarantineJobs && t.class.failures.quarantines >= maxQuarantines {
		return
	}
	for _, other := range w.failedJobs {
		other.quarantines++
	}
	t.class.failures.quarantines++
	w.quarantined, w.probeInterval = true, minProbeInterval
}

// IsQuarantined reports whether the worker gets only probes: single tasks at growing intervals, until one of them shows
// that the worker can run tasks.
func (p *Policy) IsQuarantined(workerName string) bool {
	w := p.workers[workerName]
	return w != nil && w.quarantined
}

// isFaultyJob reports whether the job failed on several workers without any success.
func (p *Policy) isFaultyJob(job string) bool {
	j := p.jobs[job]
	return j != nil && j.isFaulty() && !j.succeeded
}

// dropOldJobRecords removes job records without an event in the last jobRecordTTL. Each call looks at up to 16 records
// in the order of their first failure and stops at one that is still in use.
func (p *Policy) dropOldJobRecords(now time.Time) {
	for i := 0; i < 16 && len(p.jobsByFirstFailure) > 0; i++ {
		j := p.jobsByFirstFailure[0]
		if now.Sub(j.updatedAt) < jobRecordTTL {
			return
		}
		delete(p.jobs, j.job)
		p.jobsByFirstFailure = p.jobsByFirstFailure[1:]
	}
}
