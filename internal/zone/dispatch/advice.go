package dispatch

import (
	"slices"
	"strconv"
	"time"
)

const (
	// adviceBatchSize is the largest number of workers in one request for advice, which takes longer with each.
	adviceBatchSize = 30
	// ticketMargin is the part of a ticket's validity that is left for the start to arrive.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the pause after a request for advice that failed.
	adviceRetryDelay = 200 * time.Millisecond
)

// startTicket is an adviser's ticket as the scheduler keeps it. It permits the start of a stage's tasks on one worker.
type startTicket struct {
	text       string
	validUntil time.Time
}

// adviceState is the state of a stage's requests for advice.
type adviceState struct {
	// pending is set while a request has no answer.
	pending bool
	retryAt time.Time
	// eligible says for each worker that was named in a request whether an adviser gave a ticket for it. This does not
	// change.
	eligible map[string]bool
}

// ensureTicket reports whether the stage has a valid ticket, and requests advice if it has none.
func (s *Scheduler) ensureTicket(now time.Time, st *stage) bool {
	valid := false
	for _, ticket := range st.tickets {
		valid = valid || now.Before(ticket.validUntil)
	}
	if valid || st.advice.pending || now.Before(st.advice.retryAt) {
		return valid
	}
	if st.advice.eligible == nil {
		st.advice.eligible = map[string]bool{}
	}
	var eligible, unknown []string
	for _, w := range s.byService[st.job().service] {
		if !w.isUsable() || s.catalog.Evacuated[w.Zone] || !w.fits(st.step().Reserved()) {
			continue
		}
		if l := st.step().Label; l != "" && !w.hasLabel(l) {
			continue
		}
		if n := st.step().MaxPerWorker; n > 0 && st.tasksOn(w) >= n {
			continue
		}
		isEligible, known := st.advice.eligible[w.ID]
		switch {
		case known && isEligible:
			eligible = append(eligible, w.ID)
		case !known:
			unknown = append(unknown, w.ID)
		}
	}
	candidates := slices.Concat(eligible, unknown)
	if len(candidates) == 0 {
		return false
	}
	st.advice.pending = true
	s.orders = append(s.orders, Order{
		Kind: OrderAdvise, Task: st.tasks[0].name, Stage: st.name(),
		Candidates: candidates[:min(len(candidates), adviceBatchSize)],
	})
	return false
}

// name returns the stage's name, ID.K.STEP, where K is the occurrence.
func (st *stage) name() string {
	return st.job().id + "." + strconv.Itoa(st.occurrence.index) + "." + strconv.Itoa(st.index)
}

// AdviceTicket is an adviser's ticket for one worker, as it is in the answer to a request for advice.
type AdviceTicket struct {
	Worker string
	Ticket string
}

// HandleAdvice applies the answer to a request for advice that was sent at sentAt. The tickets are valid for the given
// time from then on. After a failed request ok is false and the tickets are nil.
func (s *Scheduler) HandleAdvice(now, sentAt time.Time, o Order, tickets []AdviceTicket, validity time.Duration,
	ok bool) {
	t := s.findTask(o.Task)
	if t == nil {
		return
	}
	st := t.stage
	st.advice.pending = false
	if !ok {
		st.advice.retryAt = now.Add(adviceRetryDelay)
		return
	}
	for _, id := range o.Candidates {
		st.advice.eligible[id] = false
	}
	if st.tickets == nil {
		st.tickets = map[string]startTicket{}
	}
	for _, ticket := range tickets {
		st.advice.eligible[ticket.Worker] = true
		st.scan = scanState{}
		st.tickets[ticket.Worker] = startTicket{text: ticket.Ticket, validUntil: sentAt.Add(validity - ticketMargin)}
	}
	s.recordEvent(Event{Kind: "advice", Job: st.job().id, Task: o.Stage, Age: now.Sub(sentAt)})
}
