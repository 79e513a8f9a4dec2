package policy

import "time"

// trust is what the starts and failures at a worker say about it.
type trust struct {
	// unproven holds the tasks started since the last proof that the worker runs tasks.
	unproven []*task
	// failureCount counts failed tasks since the last proof, evidence their distinct jobs.
	failureCount int
	failedJobs   []*jobRecord
	everProven   bool

	quarantined bool
	// nextProbe is the earliest time of the next nextProbe, wait the time between probes.
	nextProbe     time.Time
	probeInterval time.Duration
}

const (
	// maxUnprovenTasks is the number of tasks a worker gets before it has proved that it runs tasks (design
	// section 9: a worker that fails everything gets at most 5 tasks).
	maxUnprovenTasks = 5
	// minQuarantineJobs is the number of distinct jobs that must fail.
	minQuarantineJobs = 3
	// maxQuarantines is the number of workers that one job or class may help to quarantine (design section 8).
	maxQuarantines = 2
	// minFaultyWorkers is the number of workers on which a job or class must fail, without a success, to be
	// taken for the cause.
	minFaultyWorkers = 3
	// provenAgeNew, proveKnown and proveSuspect are how long a task must run to count as proof: on a new
	// worker, on one that ran tasks before, and on one with failures.
	provenAgeNew, provenAgeKnown, provenAgeSuspect = 20 * time.Second, 5 * time.Second, 2 * time.Minute
	minProbeInterval, maxProbeInterval             = 30 * time.Second, 10 * time.Minute
	// quarantineScoreFactor raises the call score of a quarantined worker.
	quarantineScoreFactor = 10
	jobRecordTTL          = time.Hour
	// classProbeInterval is the time between tasks of a class that failed on several workers without a success: neither
	// the class nor the workers can be blamed yet.
	classProbeInterval = 10 * time.Second
)

// failureRecord counts what failed since the last success of a job or class.
type failureRecord struct {
	// workers are the distinct workers failed on since the last success, up to faultyWorkers.
	workers []string
	// quarantines is the number of workers that it helped to quarantine.
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

func (r *failureRecord) isFaulty() bool { return len(r.workers) >= minFaultyWorkers }

func (r *failureRecord) reset() { r.workers = r.workers[:0] }

// jobRecord is kept for jobs with a failed task only.
type jobRecord struct {
	failureRecord
	job     string
	updated time.Time
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
		return len(w.unproven) == 0 && !now.Before(w.nextProbe)
	}
	if w.failureCount+len(w.unproven) < maxUnprovenTasks {
		return true
	}
	if w.isProvenByAge(now) {
		w.markProven()
		return true
	}
	// A worker that cannot be quarantined because others share the blame gets a probe as well.
	return len(w.unproven) == 0 && !now.Before(w.nextProbe)
}

func (w *worker) isProvenByAge(now time.Time) bool {
	age := provenAgeNew
	switch {
	case w.failureCount > 0 || w.quarantined:
		age = provenAgeSuspect
	case w.everProven:
		age = provenAgeKnown
	}
	return len(w.unproven) > 0 && now.Sub(w.unproven[0].started) >= age
}

// creditLongRunning counts a task that has run long enough as a success, since tasks that run for weeks yield no other.
func (p *Policy) creditLongRunning(now time.Time, w *worker) {
	if w.isProvenByAge(now) {
		p.recordSuccess(now, w.unproven[0].job, w.unproven[0].class)
		w.markProven()
	}
}

// markProven records that the worker runs tasks.
func (w *worker) markProven() {
	w.trust = trust{unproven: w.unproven[:0], failedJobs: w.failedJobs[:0], everProven: true}
}

func (w *worker) removeUnproven(t *task) {
	for i, y := range w.unproven {
		if y == t {
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
		j.succeeded, j.updated = true, now
	}
}

func (p *Policy) recordFailure(now time.Time, job string, c *class, worker string) *jobRecord {
	j := p.jobs[job]
	if j == nil {
		j = &jobRecord{job: job}
		p.jobs[job] = j
		p.jobsByFirstFailure = append(p.jobsByFirstFailure, j)
	}
	j.updated = now
	j.addFailure(worker)
	c.failures.addFailure(worker)
	return j
}

// taskEndedNeutrally is an end that says nothing about the worker.
func (p *Policy) taskEndedNeutrally(t *task) { t.worker.removeUnproven(t) }

func (p *Policy) taskFailed(now time.Time, t *task) {
	w := t.worker
	w.removeUnproven(t)
	j := p.recordFailure(now, t.job, t.class, w.name)
	if w.quarantined {
		w.probeInterval = min(2*w.probeInterval, maxProbeInterval)
		w.nextProbe = now.Add(w.probeInterval)
		return
	}
	if j.isFaulty() || t.class.failures.isFaulty() {
		return
	}
	w.failureCount++
	w.nextProbe = now.Add(minProbeInterval)
	known := false
	for _, e := range w.failedJobs {
		known = known || e == j
	}
	if !known {
		w.failedJobs = append(w.failedJobs, j)
	}
	if len(w.failedJobs) < minQuarantineJobs && w.failureCount < maxUnprovenTasks {
		return
	}
	for _, e := range w.failedJobs {
		if e.quarantines >= maxQuarantines && !e.succeeded {
			return
		}
	}
	if len(w.failedJobs) < minQuarantineJobs && t.class.failures.quarantines >= maxQuarantines {
		return
	}
	for _, e := range w.failedJobs {
		e.quarantines++
	}
	t.class.failures.quarantines++
	w.quarantined, w.probeInterval = true, minProbeInterval
}

// IsQuarantined reports whether the worker only gets probes.
func (p *Policy) IsQuarantined(workerName string) bool {
	w := p.workers[workerName]
	return w != nil && w.quarantined
}

// isFaultyJob reports whether the job failed on several workers without any success.
func (p *Policy) isFaultyJob(job string) bool {
	j := p.jobs[job]
	return j != nil && j.isFaulty() && !j.succeeded
}

// dropOldJobRecords removes job records without a recent event; each call looks at a few of the oldest.
func (p *Policy) dropOldJobRecords(now time.Time) {
	for i := 0; i < 16 && len(p.jobsByFirstFailure) > 0; i++ {
		j := p.jobsByFirstFailure[0]
		if now.Sub(j.updated) < jobRecordTTL {
			return
		}
		delete(p.jobs, j.job)
		p.jobsByFirstFailure = p.jobsByFirstFailure[1:]
	}
}
