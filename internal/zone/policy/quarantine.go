package policy

import "time"

// trust is what the starts and failures at a worker say about it.
type trust struct {
	// young holds the tasks started since the last proof that the worker runs tasks.
	young []*task
	// failures counts failed tasks since the last proof, evidence their distinct jobs.
	failures int
	evidence []*jobRecord
	proven   bool

	quarantined bool
	// probe is the earliest time of the next probe, wait the time between probes.
	probe time.Time
	wait  time.Duration
}

const (
	// trustLimit is the number of tasks a worker gets before it has proved that it runs tasks (design
	// section 9: a worker that fails everything gets at most 5 tasks).
	trustLimit = 5
	// quarantineJobs is the number of distinct jobs that must fail.
	quarantineJobs = 3
	// blameLimit is the number of workers that one job or class may help to quarantine (design section 8).
	blameLimit = 2
	// faultyWorkers is the number of workers on which a job or class must fail, without a success, to be
	// taken for the cause.
	faultyWorkers = 3
	// proveNew, proveKnown and proveSuspect are how long a task must run to count as proof: on a new
	// worker, on one that ran tasks before, and on one with failures.
	proveNew, proveKnown, proveSuspect = 20 * time.Second, 5 * time.Second, 2 * time.Minute
	probeMin, probeMax                 = 30 * time.Second, 10 * time.Minute
	// quarantinePenalty raises the call score of a quarantined worker.
	quarantinePenalty = 10
	recordLife        = time.Hour
	// classProbe is the time between tasks of a class that failed on several workers without a success: neither
	// the class nor the workers can be blamed yet.
	classProbe = 10 * time.Second
)

// failureRecord counts what failed since the last success of a job or class.
type failureRecord struct {
	// workers are the distinct workers failed on since the last success, up to faultyWorkers.
	workers []string
	// blamed is the number of workers that it helped to quarantine.
	blamed int
}

func (r *failureRecord) fail(worker string) {
	for _, w := range r.workers {
		if w == worker {
			return
		}
	}
	if len(r.workers) < faultyWorkers {
		r.workers = append(r.workers, worker)
	}
}

func (r *failureRecord) faulty() bool { return len(r.workers) >= faultyWorkers }

func (r *failureRecord) succeed() { r.workers = r.workers[:0] }

// jobRecord is kept for jobs with a failed task only.
type jobRecord struct {
	failureRecord
	job     string
	touched time.Time
	// done is set once a task of the job has succeeded after a failure.
	done bool
}

// admits reports whether the worker may get one more task.
func (w *worker) admits(now time.Time) bool {
	if w.quarantined {
		if w.provedByAge(now) {
			w.prove()
			return true
		}
		return len(w.young) == 0 && !now.Before(w.probe)
	}
	if w.failures+len(w.young) < trustLimit {
		return true
	}
	if w.provedByAge(now) {
		w.prove()
		return true
	}
	// A worker that cannot be quarantined because others share the blame gets a probe as well.
	return len(w.young) == 0 && !now.Before(w.probe)
}

func (w *worker) provedByAge(now time.Time) bool {
	age := proveNew
	switch {
	case w.failures > 0 || w.quarantined:
		age = proveSuspect
	case w.proven:
		age = proveKnown
	}
	return len(w.young) > 0 && now.Sub(w.young[0].since) >= age
}

// proveByAge counts a task that has run long enough as a success, since tasks that run for weeks yield no other.
func (p *Policy) proveByAge(now time.Time, w *worker) {
	if w.provedByAge(now) {
		p.noteSuccess(now, w.young[0].job, w.young[0].class)
		w.prove()
	}
}

// prove records that the worker runs tasks.
func (w *worker) prove() {
	w.trust = trust{young: w.young[:0], evidence: w.evidence[:0], proven: true}
}

func (w *worker) removeYoung(t *task) {
	for i, y := range w.young {
		if y == t {
			w.young = append(w.young[:i], w.young[i+1:]...)
			return
		}
	}
}

func (p *Policy) succeeded(now time.Time, t *task) {
	t.worker.prove()
	p.noteSuccess(now, t.job, t.class)
}

func (p *Policy) noteSuccess(now time.Time, job string, c *class) {
	c.record.succeed()
	if j := p.jobs[job]; j != nil {
		j.succeed()
		j.done, j.touched = true, now
	}
}

func (p *Policy) noteFailure(now time.Time, job string, c *class, worker string) *jobRecord {
	j := p.jobs[job]
	if j == nil {
		j = &jobRecord{job: job}
		p.jobs[job] = j
		p.jobOrder = append(p.jobOrder, j)
	}
	j.touched = now
	j.fail(worker)
	c.record.fail(worker)
	return j
}

// neutral is an end that says nothing about the worker.
func (p *Policy) neutral(t *task) { t.worker.removeYoung(t) }

func (p *Policy) failed(now time.Time, t *task) {
	w := t.worker
	w.removeYoung(t)
	j := p.noteFailure(now, t.job, t.class, w.name)
	if w.quarantined {
		w.wait = min(2*w.wait, probeMax)
		w.probe = now.Add(w.wait)
		return
	}
	if j.faulty() || t.class.record.faulty() {
		return
	}
	w.failures++
	w.probe = now.Add(probeMin)
	known := false
	for _, e := range w.evidence {
		known = known || e == j
	}
	if !known {
		w.evidence = append(w.evidence, j)
	}
	if len(w.evidence) < quarantineJobs && w.failures < trustLimit {
		return
	}
	for _, e := range w.evidence {
		if e.blamed >= blameLimit && !e.done {
			return
		}
	}
	if len(w.evidence) < quarantineJobs && t.class.record.blamed >= blameLimit {
		return
	}
	for _, e := range w.evidence {
		e.blamed++
	}
	t.class.record.blamed++
	w.quarantined, w.wait = true, probeMin
}

// Quarantined reports whether the worker only gets probes.
func (p *Policy) Quarantined(workerName string) bool {
	w := p.workers[workerName]
	return w != nil && w.quarantined
}

// faultyJob reports whether the job failed on several workers without any success.
func (p *Policy) faultyJob(job string) bool {
	j := p.jobs[job]
	return j != nil && j.faulty() && !j.done
}

// dropRecords removes job records without a recent event; each call looks at a few of the oldest.
func (p *Policy) dropRecords(now time.Time) {
	for i := 0; i < 16 && len(p.jobOrder) > 0; i++ {
		j := p.jobOrder[0]
		if now.Sub(j.touched) < recordLife {
			return
		}
		delete(p.jobs, j.job)
		p.jobOrder = p.jobOrder[1:]
	}
}
