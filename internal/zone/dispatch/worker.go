package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// Registration is what a worker says of itself in the platform's list.
type Registration struct {
	ID string
	// Boot is the start of the worker in milliseconds since 1970; a restarted worker has another.
	Boot    int64
	Service string
	Address string
	Zone    string
	Rack    string
	// Labels are all labels of the worker, its rack among them.
	Labels   []string
	Capacity fleet.Size
	Draining bool
	// Cold is how much longer the worker is slow after its start.
	Cold time.Duration
}

// runPhase is how far a run has come.
type runPhase int

const (
	// phaseOrdered is a start that was sent or is about to be.
	phaseOrdered runPhase = iota + 1
	// phaseDoubtful is a start without an answer, which the worker may still carry out.
	phaseDoubtful
	// phaseRunning is a run that the worker has confirmed.
	phaseRunning
	// phaseStopping is a run that was told to stop. It counts until its end is listed.
	phaseStopping
)

// run is one start of a task at a worker.
type run struct {
	task   *task
	number int
	worker *Worker
	phase  runPhase
	// begun is when the start was decided.
	begun time.Time
	// until is the worker's clock after which it refuses the start, acked its clock when it confirmed it.
	until, acked int64
	// confirmed is set once the worker has confirmed the start or listed the run.
	confirmed bool
	// percent is the progress.
	percent int
	// looked is when the progress was last measured, the zero time if it says nothing of the worker; seen was the
	// percentage then.
	looked time.Time
	seen   int
	// tail is the tail latency of a lasting task in milliseconds, or the cores in use of another, in thousandths.
	tail int
	// pace is the share at which the worker was told to let the task work, wanted the share it should have.
	pace, wanted int
	pacing       bool
	// overSince is when a lasting task was first seen over its target, the zero time once two readings in a row were
	// below it: readings are rough. below is set if the last one was.
	overSince time.Time
	below     bool
	workSince time.Time
	// heldSince is since when a task that fills has been held back, the zero time while it works.
	heldSince time.Time
	// slack is that of a lasting task at its last reading and before the one before it, 0 without one.
	slack, before float64
	reason        string
	stopSent      time.Time
}

// key identifies a run at a worker.
type key struct {
	name   string
	number int
}

// Worker is one life of a worker as the leader knows it.
type Worker struct {
	Registration
	// seen is set once the worker has answered under this term's token, so that older orders are barred.
	seen bool
	// recorded is the ticket that makes it durable that tasks may run here. No task starts before.
	recorded Ticket
	listed   bool
	// runs are those that occupy the worker, also while they end.
	runs map[key]*run
	// strays are runs of tasks that nobody knows, with the worker's clock when they were last listed. Their size is
	// not known, so that nothing is started beside them.
	strays map[key]int64
	// used is what runs occupy: the cores of tasks that don't fill, memory and accelerators of all.
	used fleet.Size
	// fill and serve are the cores of the tasks that fill and of those that last, in thousandths.
	fill, serve int64

	// margins are those of the lasting images, valid while marginsKnown is set.
	margins      []margin
	marginsKnown bool
	// filled are the cores that tasks that fill may use at their present shares, in thousandths, with the margins.
	filled int64
	// worth is how scarce the room is for the scarcest image that fills and disturbs nobody here, from 0.
	worth float64
	// use is the share of the cores that each image that fills used at the last report.
	use map[string]float64

	// clock is the worker's clock in milliseconds at the host's time clockAt, a lower bound.
	clock   int64
	clockAt time.Time
	// lease is the largest time on the worker's clock up to which any order may have extended what runs there.
	lease int64
	// read is the last end taken over, durable the last one that is in the log.
	read, durable int64
	// failures counts holds without an answer in a row.
	failures int
	answered time.Time
	// unsure is set when another boot than the known one has answered.
	unsure bool
	// lapsed is set when the leases of an unreachable worker have run out.
	lapsed bool

	health health
	speed  speed
}

// usable reports whether tasks may be started on the worker.
func (w *Worker) usable() bool {
	return w.listed && w.seen && w.failures == 0 && !w.Draining && !w.lapsed && !w.unsure
}

// Now returns a lower bound of the worker's clock.
func (w *Worker) now(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + int64(float64(now.Sub(w.clockAt).Milliseconds())*clockRate)
}

// lapseTime is when everything on the worker has ended for certain unless its lease is extended.
func (w *Worker) lapseTime() time.Time {
	left := time.Duration(float64(max(0, w.lease-w.clock))/clockRate) * time.Millisecond
	return w.clockAt.Add(left + clockMargin)
}

// tick takes over a reading of the worker's clock. The reading was made after the request was sent, so that
// counting from the receipt gives a lower bound.
func (w *Worker) tick(now time.Time, clock int64) {
	if clock >= w.now(now) || w.clockAt.IsZero() {
		w.clock, w.clockAt = clock, now
	}
}

// occupy adds the size of a task to what is in use.
func (w *Worker) occupy(r *run) {
	w.runs[key{r.task.name, r.number}] = r
	w.account(r, 1)
}

// vacate removes a run.
func (w *Worker) vacate(r *run) {
	k := key{r.task.name, r.number}
	if w.runs[k] != r {
		return
	}
	delete(w.runs, k)
	w.account(r, -1)
}

func (w *Worker) account(r *run, sign int64) {
	w.marginsKnown = false
	st := r.task.step()
	switch {
	case st.BestEffort:
		w.fill += sign * st.Size.Cores
	case st.LongRunning:
		w.serve += sign * st.Size.Cores
	}
	size := st.Reserved()
	if sign > 0 {
		w.used = w.used.Add(size)
	} else {
		w.used = w.used.Sub(size)
	}
}

// has reports whether the worker has the label.
func (w *Worker) has(label string) bool { return slices.Contains(w.Labels, label) }

// SetWorker takes over the entry of a worker in the platform's list.
func (s *Scheduler) SetWorker(now time.Time, r Registration) {
	w := s.workers[r.ID]
	if w != nil && w.Boot != r.Boot && w.Boot != 0 {
		if r.Boot < w.Boot {
			return
		}
		s.reborn(now, w, r.Boot)
	}
	if w == nil {
		w = &Worker{Registration: r, runs: map[key]*run{}}
		s.workers[r.ID] = w
		s.index(w)
		s.note(Event{Kind: "worker listed", Worker: r.ID, Reason: r.Zone})
	}
	if w.Service != r.Service {
		s.unindex(w)
		w.Service = r.Service
		s.index(w)
	}
	if r.Draining && !w.Draining {
		s.note(Event{Kind: "worker draining", Worker: r.ID})
	}
	w.Registration = r
	w.listed = true
	s.noteCapacity(r.Service, r.Capacity)
}

// DropWorker notes that the worker is no longer in the platform's list. What runs there counts until its lease has
// lapsed.
func (s *Scheduler) DropWorker(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.listed = false
	s.note(Event{Kind: "worker unlisted", Worker: id, Age: now.Sub(w.answered)})
	s.forget(w)
}

// forget removes a worker that is not listed and on which nothing can run.
func (s *Scheduler) forget(w *Worker) {
	if w.listed || len(w.runs) > 0 || (w.recorded != 0 && !w.lapsed) {
		return
	}
	if _, ok := s.unaccounted[w.ID]; ok {
		return
	}
	s.unindex(w)
	delete(s.workers, w.ID)
}

func (s *Scheduler) index(w *Worker) {
	s.byService[w.Service] = append(s.byService[w.Service], w)
	slices.SortFunc(s.byService[w.Service], func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Scheduler) unindex(w *Worker) { s.byService[w.Service] = remove(s.byService[w.Service], w) }

// reborn notes that the worker has started anew: nothing of before runs there.
func (s *Scheduler) reborn(now time.Time, w *Worker, boot int64) {
	s.note(Event{Kind: "worker restarted", Worker: w.ID})
	s.loseRuns(now, w, "worker restarted")
	w.Boot = boot
	w.seen, w.recorded, w.lapsed, w.failures = false, 0, false, 0
	w.clock, w.clockAt, w.lease = 0, time.Time{}, 0
	w.read, w.durable = 0, 0
	w.health, w.speed, w.strays = health{}, speed{}, nil
	delete(s.unaccounted, w.ID)
}

// loseRuns ends all runs of a worker on which certainly nothing runs any more.
func (s *Scheduler) loseRuns(now time.Time, w *Worker, reason string) {
	for _, r := range s.runsOf(w) {
		s.note(Event{Kind: "lost", Job: r.task.job().id, Task: r.task.name, Run: r.number, Worker: w.ID, Reason: reason})
		s.release(now, r)
	}
}

// runsOf returns the runs of a worker in a fixed order.
func (s *Scheduler) runsOf(w *Worker) []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	sortRuns(out)
	return out
}

func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.number, b.number))
	})
}

// release removes a run from its worker and task, which waits again unless it is done.
func (s *Scheduler) release(now time.Time, r *run) {
	r.worker.vacate(r)
	r.task.runs = remove(r.task.runs, r)
	s.requeue(now, r.task)
}

// Hold is the call that renews the leases of a worker, acknowledges ends and asks what runs there.
type Hold struct {
	Worker, Address string
	Boot            int64
	Token           int64
	// Until extends the leases, in the worker's clock; 0 extends nothing.
	Until int64
	// Acknowledged is the last end that is durable.
	Acknowledged int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// longestWait is the longest time for which a worker holds back its answer, as the platform states it.
const longestWait = 2 * time.Second

// PlanHold returns the next hold of a worker. It is false if the worker is not known any more.
func (s *Scheduler) PlanHold(now time.Time, id string) (Hold, bool) {
	w := s.workers[id]
	if w == nil || (!w.listed && len(w.runs) == 0 && w.lapsed) {
		return Hold{}, false
	}
	h := Hold{Worker: id, Address: w.Address, Boot: w.Boot, Token: s.token, Acknowledged: w.durable}
	if w.unsure {
		h.Boot, h.Acknowledged = 0, 0
	}
	if w.clockAt.IsZero() || w.unsure {
		return h, true
	}
	// A worker that doesn't answer is only looked at, since every renewal puts off the time at which its tasks are
	// certain to have ended.
	if w.failures == 0 {
		h.Until = s.extend(now, w)
		h.Wait = s.holdWait(w)
	}
	return h, true
}

// extend returns the end of a renewed lease and counts it as sent.
func (s *Scheduler) extend(now time.Time, w *Worker) int64 {
	until := w.now(now) + s.limits.Lease.Milliseconds()
	w.lease = max(w.lease, until)
	return until
}

// holdWait is the time a worker may hold back its answer: a third of the lease, so that a renewal may be lost, and
// less where the tails of lasting tasks are watched for the sake of what fills beside them.
func (s *Scheduler) holdWait(w *Worker) time.Duration {
	wait := min(s.limits.Lease/renewals, longestWait)
	switch {
	case s.hasPending(w):
		// Ends that wait for the log are acknowledged soon, and a worker that has ends to list answers at once.
		wait = 0
	case w.fill > 0 && w.serve > 0:
		wait = min(wait, watchInterval)
	}
	return wait
}

// hasPending reports whether the worker will list ends that this host has taken over already.
func (s *Scheduler) hasPending(w *Worker) bool { return w.read > w.durable }

// HoldRestarted notes that another boot of the worker has answered, so that the next hold asks which.
func (s *Scheduler) HoldRestarted(id string) {
	if w := s.workers[id]; w != nil {
		w.unsure = true
	}
}

// HoldFailed notes a hold without an answer.
func (s *Scheduler) HoldFailed(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.failures++
	if w.failures == 2 {
		s.note(Event{Kind: "worker silent", Worker: id, Age: now.Sub(w.answered)})
	}
}

// lapse takes the tasks of unreachable workers back once their leases have certainly run out.
func (s *Scheduler) lapse(now time.Time) {
	var ended []*Worker
	for _, w := range s.workers {
		if w.failures > 0 && !w.lapsed && !w.clockAt.IsZero() && !now.Before(w.lapseTime()) {
			ended = append(ended, w)
		}
	}
	slices.SortFunc(ended, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range ended {
		id := w.ID
		w.lapsed = true
		s.loseRuns(now, w, "lease lapsed")
		delete(s.unaccounted, id)
		if w.recorded != 0 {
			w.recorded = 0
			s.journal.dropWorker(w)
		}
		s.forget(w)
	}
	if len(s.unaccounted) > 0 && now.After(s.settleAt) {
		for id := range s.unaccounted {
			s.note(Event{Kind: "worker given up", Worker: id, Reason: "no answer in this term and leases lapsed"})
			delete(s.unaccounted, id)
			if w := s.workers[id]; w != nil {
				w.lapsed = true
				s.loseRuns(now, w, "lease lapsed")
				w.recorded = 0
				s.journal.dropWorker(w)
				s.forget(w)
			} else {
				s.journal.dropWorkerID(id)
			}
		}
	}
}

// settled reports whether it is known where the tasks of the terms before run.
func (s *Scheduler) settled() bool { return len(s.unaccounted) == 0 }

// WorkerIDs lists the workers that are known.
func (s *Scheduler) WorkerIDs() []string {
	return slices.Sorted(maps.Keys(s.workers))
}

// Listed lists the workers that are in the platform's list.
func (s *Scheduler) Listed() []string {
	var out []string
	for id, w := range s.workers {
		if w.listed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
