package dispatch

import "time"

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	// OrderPace sets the share of its speed at which a run works.
	OrderPace
	// OrderAdvise asks an adviser for tickets.
	OrderAdvise
)

// String returns the name under which the kind is counted in metrics.
func (k OrderKind) String() string {
	names := [...]string{"none", "start", "stop", "pace", "advise"}
	if k < 0 || int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Order is an order or request to be sent to a worker, or to an adviser for OrderAdvise.
type Order struct {
	Kind            OrderKind
	Worker, Address string
	Boot            int64
	Token           int64
	Task            string
	Run             int
	// Payload, Checkpoint, ValidUntil and Ticket belong to a start. ValidUntil is by the worker's clock, in
	// milliseconds.
	Payload    string
	Checkpoint string
	ValidUntil int64
	Ticket     string
	// Pace belongs to a pace order. It is in percent.
	Pace int
	// Stage, the name of a stage, and Candidates, the IDs of workers, belong to a request for advice.
	Stage      string
	Candidates []string
}

// Answer is the result of an order.
type Answer int

// The answers to an order.
const (
	// AnswerDone means that the worker carried out the order.
	AnswerDone Answer = iota + 1
	// AnswerFenced means that the worker has seen a higher fencing token.
	AnswerFenced
	// AnswerOldRun means that the worker has already had a run of the task with the same or a higher number.
	AnswerOldRun
	// AnswerLate means that the order arrived after its validity had ended.
	AnswerLate
	// AnswerFull means that the worker has no room.
	AnswerFull
	// AnswerUnhealthy means that the worker refused for reasons of its own and did nothing.
	AnswerUnhealthy
	// AnswerRestarted means that another boot of the worker answered.
	AnswerRestarted
	// AnswerNoTicket means that the adviser's ticket is missing or no longer valid.
	AnswerNoTicket
	// AnswerInvalid means that the worker could not understand the order.
	AnswerInvalid
	// AnswerNotSent means that nothing left the host.
	AnswerNotSent
	// AnswerMissing means that there was no answer: the order may have been carried out, or may yet be.
	AnswerMissing
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

// startRun creates the next run of the task on the worker and orders its start.
func (s *Scheduler) startRun(now time.Time, t *task, w *Worker) {
	st := t.stage
	number := t.lastRun + 1
	if st.step().Gang {
		number = st.nextGangRunNumber()
	}
	r := &run{
		task: t, number: number, worker: w, phase: phaseOrdered, startedAt: now, pace: 100, targetPace: 100,
		waitingSince: t.waitingSince,
	}
	t.lastRun = number
	s.attach(r)
	s.recordPlacement(t, w)
	if t.placedBatch > s.journal.committed {
		r.awaitsRecord = true
		s.recordedStarts = append(s.recordedStarts, r)
		return
	}
	s.orderStart(now, r)
}

// orderStart orders the start of a run.
func (s *Scheduler) orderStart(now time.Time, r *run) {
	t, w, st := r.task, r.worker, r.task.stage
	r.awaitsRecord = false
	r.startedAt, r.startUntil = now, w.clockNow(now)+startOrderValidity.Milliseconds()
	r.starts.add(now)
	w.extendUntil(r.startUntil)
	o := Order{
		Kind: OrderStart, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: t.name, Run: r.number,
		Payload: t.job().spec.Payload, Checkpoint: t.checkpoint, ValidUntil: r.startUntil,
	}
	if st.tickets != nil {
		o.Ticket = st.tickets[w.ID].text
	}
	s.orders = append(s.orders, o)
	e := Event{
		Kind: EventStart, Job: t.job().id, Task: t.name, Run: r.number, Worker: w.ID, Age: now.Sub(r.waitingSince),
	}
	s.countStart(now, st.occurrence)
	if r.repeats > 0 {
		e.Reason = "no answer to the last order"
	} else {
		e.Place = s.startPlace(r)
	}
	s.recordEvent(e)
}

// attach adds the run to its task and its worker.
func (r *run) attach() {
	r.task.dequeue()
	r.task.runs = append(r.task.runs, r)
	r.worker.addRun(r)
}

// confirm notes that the worker has the run, at the given time of the worker's clock.
func (r *run) confirm(clock int64) {
	if r.phase == phaseOrdered || r.phase == phaseUnanswered {
		r.phase = phaseRunning
		r.task.job().started = true
	}
	if r.firstClock == 0 {
		r.firstClock = clock
	}
	r.unlistedClock = 0
	r.confirmed, r.confirmedClock = true, max(r.confirmedClock, clock)
}

// resolveOrder updates the worker's clock from the answer to an order; 0 stands for an answer without a clock. It
// returns the worker and the run to which the order belongs, nil for what is not known any more.
func (s *Scheduler) resolveOrder(now time.Time, o Order, clock int64) (*Worker, *run) {
	w := s.workers[o.Worker]
	if w == nil || w.Boot != o.Boot {
		return nil, nil
	}
	if clock > 0 && w.contacted {
		// Without a report of this term the leases of earlier ones aren't known by the worker's clock.
		w.updateClock(now, clock)
	}
	return w, w.runs[runKey{o.Task, o.Run}]
}

// nextGangRunNumber returns the run number for members of the gang to be started: that of the running members, or a new
// one if none runs.
func (st *stage) nextGangRunNumber() int {
	live := false
	highest := 0
	for _, t := range st.tasks {
		live = live || len(t.runs) > 0
		highest = max(highest, t.lastRun)
	}
	if !live || st.gangRunNumber == 0 {
		st.gangRunNumber = highest + 1
	}
	return st.gangRunNumber
}

// HandleStartAnswer applies the answer to a start order.
func (s *Scheduler) HandleStartAnswer(now time.Time, o Order, a Answer, clock int64) {
	w, r := s.resolveOrder(now, o, clock)
	if r == nil {
		return
	}
	if a != AnswerDone {
		s.recordEvent(Event{
			Kind: "start refused", Job: r.task.job().id, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: a.String(),
			Age: now.Sub(r.startedAt),
		})
	}
	if a != AnswerDone && a != AnswerMissing {
		r.task.addLostRun(r.number, a.String())
		if o.ValidUntil == r.startUntil {
			r.starts.answer()
		}
	}
	switch a {
	case AnswerDone:
		switch {
		case clock <= 0:
			// Without a clock, the answer doesn't tell which boot has the run, and since when.
		case r.isFromAnotherBoot(clock):
			w.bootUnknown = true
		default:
			r.confirm(clock)
			if o.ValidUntil == r.startUntil {
				r.starts.answer()
			}
		}
	case AnswerMissing:
		w.lateStartsUntil = laterOf(w.lateStartsUntil, r.starts.until())
		s.recordUnanswered(now, r)
		if r.phase == phaseOrdered {
			r.phase = phaseUnanswered
		}
		w.health.recordNoAnswer(now)
	case AnswerOldRun:
		// The number was barred by a stop or used in an earlier term. A higher one is free.
		r.task.lastRun = max(r.task.lastRun, r.number)
		s.releaseRefused(now, r)
	case AnswerNoTicket:
		delete(r.task.stage.tickets, w.ID)
		s.releaseRefused(now, r)
	case AnswerUnhealthy, AnswerInvalid:
		w.health.recordRefusal(now)
		r.task.notBefore = now.Add(retryDelay)
		s.releaseRefused(now, r)
	case AnswerFull:
		w.health.recordRefusal(now)
		s.releaseRefused(now, r)
	case AnswerRestarted:
		w.bootUnknown = true
		s.releaseRefused(now, r)
	case AnswerNotSent:
		// The worker gets no other start before it has answered a lease renewal.
		if w.failedRenewals == 0 {
			s.addFailedRenewal(w)
		}
		s.releaseRefused(now, r)
	case AnswerFenced, AnswerLate:
		s.releaseRefused(now, r)
	}
}
