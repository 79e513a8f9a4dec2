package dispatch

import (
	"slices"
	"time"
)

// How is the way in which a run ended.
type How string

// The ways in which a run ends.
const (
	HowDone    How = "done"
	HowFailed  How = "failed"
	HowStopped How = "stopped"
	// HowLapsed means that the lease ran out.
	HowLapsed How = "lapsed"
	// HowBroken means that another member of the gang ended.
	HowBroken How = "broken"
	// HowAlone means that the other members of the gang did not come in time.
	HowAlone How = "alone"
)

// RunReport is a run that a worker lists as running.
type RunReport struct {
	Task       string
	Number     int
	Checkpoint string
	Percent    int
	// Reading is the tail latency in milliseconds of a lasting task, or the cores in use of another task, in
	// thousandths.
	Reading int
}

// EndReport is an end that a worker lists until it is acknowledged.
type EndReport struct {
	// Serial counts the ends of one boot of the worker from 1.
	Serial     int64
	Task       string
	Number     int
	How        How
	Checkpoint string
}

// Report is the answer of a worker to a hold.
type Report struct {
	Worker string
	Boot   int64
	// Clock is the worker's clock in milliseconds when it answered.
	Clock   int64
	Running []RunReport
	Ended   []EndReport
}

// maxEnds is the number of ends that a worker lists at once; more may follow a full list.
const maxEnds = 500

// Held takes over the answer to a hold.
func (s *Scheduler) Held(now time.Time, p Report) {
	w := s.workers[p.Worker]
	if w == nil || p.Boot < w.Boot {
		return
	}
	if p.Boot != w.Boot {
		s.reborn(now, w, p.Boot)
	}
	if w.failures > 1 {
		s.note(Event{Kind: "worker back", Worker: w.ID, Age: now.Sub(w.answered)})
	}
	w.tick(now, p.Clock)
	w.failures, w.answered = 0, now
	w.lapsed, w.unsure = false, false
	first := !w.seen
	w.seen = true
	s.takeEnds(now, w, p.Ended)
	s.takeRunning(now, w, p)
	if first {
		delete(s.unaccounted, w.ID)
	}
	if w.recorded == 0 {
		w.recorded = s.journal.putWorker(w)
	}
	w.marginsKnown = false
	s.pace(now, w)
	w.marginsKnown = false
	s.judge(now, w)
}

// takeEnds takes over the ends that are new.
func (s *Scheduler) takeEnds(now time.Time, w *Worker, ends []EndReport) {
	for _, e := range ends {
		if e.Serial <= w.read {
			continue
		}
		w.read = e.Serial
		s.end(now, w, e)
	}
	s.journal.noteEnds(w)
}

// end takes over the end of one run.
func (s *Scheduler) end(now time.Time, w *Worker, e EndReport) {
	delete(w.strays, key{e.Task, e.Number})
	r := w.runs[key{e.Task, e.Number}]
	var t *task
	if r != nil {
		t = r.task
		w.vacate(r)
		t.runs = remove(t.runs, r)
	} else {
		t = s.lookup(e.Task)
	}
	s.note(Event{Kind: EventEnd, Task: e.Task, Run: e.Number, Worker: w.ID, Reason: string(e.How)})
	if t == nil {
		return
	}
	t.run, t.ended = max(t.run, e.Number), max(t.ended, e.Number)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	w.health.ended(now, r, e.How)
	switch {
	case t.done || t.job().final():
		return
	case e.How == HowDone && t.step().Gang:
		s.finishGang(now, t.stage)
	case e.How == HowDone && !t.step().LongRunning:
		s.finish(now, t)
		s.stopCopies(now, t)
	case e.How == HowFailed:
		s.fail(now, t, e.Number, w)
	}
	s.requeue(now, t)
}

// finishGang ends all members: one end that is done stands for all of them.
func (s *Scheduler) finishGang(now time.Time, st *stage) {
	for _, t := range st.tasks {
		s.finish(now, t)
	}
}

// stopCopies stops the other runs of a task that is done.
func (s *Scheduler) stopCopies(now time.Time, t *task) {
	for _, r := range t.runs {
		s.stop(now, r, "another copy is done")
	}
}

// retryPause spreads the retries of a failing task, so that a worker that fails everything is recognised before it
// has used up the attempts.
const retryPause = 100 * time.Millisecond

// fail counts a failed run and gives the job up after too many.
func (s *Scheduler) fail(now time.Time, t *task, number int, w *Worker) {
	if slices.Contains(t.failed, number) {
		return
	}
	j := t.job()
	t.failed = append(t.failed, number)
	t.avoid = w.ID
	t.notBefore = now.Add(retryPause)
	s.journal.touch(j)
	failures := len(t.failed)
	if t.step().Gang {
		failures = t.stage.gangFailures()
	}
	if t.step().LongRunning || failures < j.attempts {
		return
	}
	s.note(Event{Kind: "job failed", Job: j.id, Task: t.name, Run: number, Worker: w.ID, Reason: "attempts used up"})
	s.close(now, j, StateFailed)
}

// gangFailures counts the runs of the gang that ended through a failure of one of its members.
func (st *stage) gangFailures() int {
	seen := map[int]struct{}{}
	for _, t := range st.tasks {
		for _, n := range t.failed {
			seen[n] = struct{}{}
		}
	}
	return len(seen)
}

// takeRunning compares what the worker runs with what it should run.
func (s *Scheduler) takeRunning(now time.Time, w *Worker, p Report) {
	listed := make(map[key]struct{}, len(p.Running))
	for i := range p.Running {
		rr := &p.Running[i]
		k := key{rr.Task, rr.Number}
		listed[k] = struct{}{}
		r := w.runs[k]
		if r == nil {
			r = s.adopt(now, w, rr, p.Clock)
			if r == nil {
				continue
			}
		}
		s.progress(now, r, rr, p.Clock)
	}
	if len(p.Ended) >= maxEnds {
		return
	}
	for k, clock := range w.strays {
		if p.Clock > clock+goneAfter.Milliseconds() {
			delete(w.strays, k)
		}
	}
	var unlisted []*run
	for k, r := range w.runs {
		if _, ok := listed[k]; !ok {
			unlisted = append(unlisted, r)
		}
	}
	sortRuns(unlisted)
	for _, r := range unlisted {
		s.missing(now, r, p.Clock)
	}
}

// progress takes over what the worker says of a run.
func (s *Scheduler) progress(now time.Time, r *run, rr *RunReport, clock int64) {
	r.confirm(clock)
	if rr.Checkpoint != "" {
		r.task.checkpoint = rr.Checkpoint
	}
	s.measure(now, r, rr.Percent)
	r.percent = rr.Percent
	if rr.Percent == 100 && r.workSince.IsZero() {
		r.workSince = now
	}
	r.tail = rr.Reading
}

// goneAfter is how long a worker may list a run neither as running nor as ended, in its clock. It is longer than any
// stop takes.
const goneAfter = 3 * time.Second

// missing handles a run that the worker does not list at the given time of its clock.
func (s *Scheduler) missing(now time.Time, r *run, clock int64) {
	switch r.phase {
	case phaseOrdered, phaseDoubtful:
		// The order may still arrive until its time has passed on the worker's clock.
		if clock <= r.until {
			return
		}
		s.note(Event{Kind: "start expired", Task: r.task.name, Run: r.number, Worker: r.worker.ID})
	case phaseRunning, phaseStopping:
		// An answer that overtook the confirmation of the start says nothing.
		// A run keeps its room until its end is listed. One that is being stopped may be listed nowhere, and the answer
		// to the stop doesn't say whether the run was there.
		last := r.acked
		if !r.confirmed {
			last = max(last, r.until)
		}
		if clock <= last+goneAfter.Milliseconds() {
			return
		}
		s.note(Event{Kind: "run gone", Task: r.task.name, Run: r.number, Worker: r.worker.ID})
	}
	s.release(now, r)
}

// adopt takes over a run that a worker lists and this term did not start. It returns nil for a run that has to end.
func (s *Scheduler) adopt(now time.Time, w *Worker, rr *RunReport, clock int64) *run {
	t := s.lookup(rr.Task)
	if t == nil {
		s.stopStray(w, rr, clock)
		return nil
	}
	r := &run{task: t, number: rr.Number, worker: w, phase: phaseRunning, confirmed: true, begun: now, pace: paceUnknown, wanted: 100}
	other := len(t.runs) > 0 && !t.step().Speculative
	t.run = max(t.run, rr.Number)
	t.job().started = true
	r.attach()
	if t.step().Gang {
		t.stage.gangRun = max(t.stage.gangRun, rr.Number)
	}
	s.note(Event{Kind: "adopt", Job: t.job().id, Task: t.name, Run: r.number, Worker: w.ID})
	if t.done || t.job().final() || other {
		s.stop(now, r, "not wanted any more")
	}
	return r
}
