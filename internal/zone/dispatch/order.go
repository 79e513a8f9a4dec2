package dispatch

import (
	"slices"
	"time"
)

// OrderKind tells the orders apart.
type OrderKind int

// The kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace
	OrderAdvise
)

// String returns the kind as it is counted.
func (k OrderKind) String() string {
	names := [...]string{"none", "start", "stop", "pace", "advise"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Order is something to be sent to a worker.
type Order struct {
	Kind            OrderKind
	Worker, Address string
	Boot            int64
	Token           int64
	Task            string
	Run             int
	// Text, Checkpoint, Until and Ticket belong to a start. Until is in the worker's clock.
	Text       string
	Checkpoint string
	Until      int64
	Ticket     string
	// Percent belongs to a pace.
	Percent int
	// Step and Candidates belong to a request for advice.
	Step       string
	Candidates []string
}

// Answer is the result of an order.
type Answer int

// The answers to an order.
const (
	// AnswerDone means that the worker has carried it out.
	AnswerDone Answer = iota + 1
	// AnswerFenced means that the worker has seen a higher token.
	AnswerFenced
	// AnswerOld means that a run of the same or a higher number was there before.
	AnswerOld
	// AnswerLate means that the order arrived after its time.
	AnswerLate
	// AnswerFull means that the worker has no room.
	AnswerFull
	// AnswerUnhealthy means that the worker refused for reasons of its own and did nothing.
	AnswerUnhealthy
	// AnswerRestarted means that another boot of the worker answered.
	AnswerRestarted
	// AnswerTicket means that the adviser's permit is missing or no longer valid.
	AnswerTicket
	// AnswerInvalid means that the worker could not make sense of the order.
	AnswerInvalid
	// AnswerNotSent means that nothing has left the host.
	AnswerNotSent
	// AnswerUnknown means that there was no answer: the order may have been carried out, or may be later.
	AnswerUnknown
)

// String returns the answer as it is logged.
func (a Answer) String() string {
	names := [...]string{
		"none", "done", "fenced", "old run", "late", "no room", "unhealthy", "restarted", "no ticket", "invalid",
		"not sent", "no answer",
	}
	if a < 0 || int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}

// start orders a run of the task at the worker.
func (s *Scheduler) start(now time.Time, t *task, w *Worker) {
	st := t.stage
	number := t.run + 1
	if st.step().Gang {
		number = st.gangNumber()
	}
	r := &run{
		task: t, number: number, worker: w, phase: phaseOrdered, begun: now, pace: 100, wanted: 100,
		until: w.now(now) + startWindow.Milliseconds(),
	}
	t.run = number
	w.lease = max(w.lease, r.until)
	r.attach()
	o := Order{
		Kind: OrderStart, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: t.name, Run: number,
		Text: t.job().spec.Payload, Checkpoint: t.checkpoint, Until: r.until,
	}
	if st.tickets != nil {
		o.Ticket = st.tickets[w.ID].text
	}
	s.orders = append(s.orders, o)
	s.note(Event{Kind: EventStart, Job: t.job().id, Task: t.name, Run: number, Worker: w.ID, Age: now.Sub(t.since)})
}

// attach adds the run to its task and its worker.
func (r *run) attach() {
	r.task.dequeue()
	r.task.runs = append(r.task.runs, r)
	r.worker.occupy(r)
}

// confirm notes that the worker has the run, at the given time of its clock.
func (r *run) confirm(clock int64) {
	if r.phase == phaseOrdered || r.phase == phaseDoubtful {
		r.phase = phaseRunning
		r.task.job().started = true
	}
	r.confirmed, r.acked = true, max(r.acked, clock)
}

// answered takes over the worker's clock from its answer to an order, 0 for none, and returns the worker and the run that
// the order was for, nil if it is not known any more.
func (s *Scheduler) answered(now time.Time, o Order, clock int64) (*Worker, *run) {
	w := s.workers[o.Worker]
	if w == nil || w.Boot != o.Boot {
		return nil, nil
	}
	if clock > 0 {
		w.tick(now, clock)
	}
	return w, w.runs[key{o.Task, o.Run}]
}

// gangNumber is the run number of the members of a gang: that of those which run, or a new one.
func (st *stage) gangNumber() int {
	live := false
	highest := 0
	for _, t := range st.tasks {
		live = live || len(t.runs) > 0
		highest = max(highest, t.run)
	}
	if !live || st.gangRun == 0 {
		st.gangRun = highest + 1
	}
	return st.gangRun
}

// Started takes over the answer to a start.
func (s *Scheduler) Started(now time.Time, o Order, a Answer, clock int64) {
	w, r := s.answered(now, o, clock)
	if r == nil {
		return
	}
	if a != AnswerDone {
		s.note(Event{
			Kind: "start refused", Job: r.task.job().id, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: a.String(),
			Age: now.Sub(r.begun),
		})
	}
	switch a {
	case AnswerDone:
		r.confirm(clock)
	case AnswerUnknown:
		if r.phase == phaseOrdered {
			r.phase = phaseDoubtful
		}
		w.health.silent(now)
	case AnswerOld:
		// The number was barred by a stop or used by an earlier term. A higher one is free.
		r.task.run = max(r.task.run, r.number)
		s.release(now, r)
	case AnswerTicket:
		delete(r.task.stage.tickets, w.ID)
		s.release(now, r)
	case AnswerUnhealthy, AnswerInvalid:
		w.health.refused(now)
		r.task.notBefore = now.Add(retryPause)
		s.release(now, r)
	case AnswerFull:
		w.health.refused(now)
		s.release(now, r)
	case AnswerRestarted:
		w.unsure = true
		s.release(now, r)
	case AnswerNotSent:
		w.failures = max(w.failures, 1)
		s.release(now, r)
	case AnswerFenced, AnswerLate:
		s.release(now, r)
	}
}

// stop orders the end of a run. The room counts as used until the end is listed.
func (s *Scheduler) stop(now time.Time, r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	r.phase, r.reason = phaseStopping, reason
	s.stopping = append(s.stopping, r)
	s.sendStop(now, r)
}

func (s *Scheduler) sendStop(now time.Time, r *run) {
	r.stopSent = now
	w := r.worker
	s.orders = append(s.orders, Order{
		Kind: OrderStop, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: r.task.name, Run: r.number,
	})
	s.note(Event{Kind: "stop", Job: r.task.job().id, Task: r.task.name, Run: r.number, Worker: w.ID, Reason: r.reason})
}

// stopStray stops a run of a task that nobody knows.
func (s *Scheduler) stopStray(w *Worker, rr *RunReport, clock int64) {
	if w.strays == nil {
		w.strays = map[key]int64{}
	}
	w.strays[key{rr.Task, rr.Number}] = clock
	s.orders = append(s.orders, Order{
		Kind: OrderStop, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: rr.Task, Run: rr.Number,
	})
	s.note(Event{Kind: "stop", Task: rr.Task, Run: rr.Number, Worker: w.ID, Reason: "unknown task"})
}

// stopRepeat is when an order to stop is repeated while the run is still listed.
const stopRepeat = 700 * time.Millisecond

// repeatStops sends the stops again that seem to be lost.
func (s *Scheduler) repeatStops(now time.Time) {
	s.stopping = slices.DeleteFunc(s.stopping, func(r *run) bool { return r.worker.runs[key{r.task.name, r.number}] != r })
	for _, r := range s.stopping {
		if r.worker.failures == 0 && now.Sub(r.stopSent) > stopRepeat {
			s.sendStop(now, r)
		}
	}
}

// Stopped takes over the answer to a stop. After it the run can't start any more if it had not yet.
func (s *Scheduler) Stopped(now time.Time, o Order, a Answer, clock int64) {
	_, r := s.answered(now, o, clock)
	if r != nil && r.phase == phaseStopping && a == AnswerDone {
		r.acked = max(r.acked, clock)
	}
}
