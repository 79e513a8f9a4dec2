package dispatch

import (
	"slices"
	"strconv"
	"time"
)

const (
	// adviceBatch is the number of workers that are named in one request for advice, which takes longer with each.
	adviceBatch = 30
	// adviceMargin is the part of a permit's validity that is left for the start to arrive.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a request for advice that failed.
	adviceRetry = 200 * time.Millisecond
)

// ticket is an adviser's permit to start the tasks of a stage on one worker.
type ticket struct {
	text  string
	until time.Time
}

// adviceState is how far the requests for advice of a stage have come.
type adviceState struct {
	asking  bool
	retryAt time.Time
	// asked holds the workers whose eligibility is known: it does not change.
	asked map[string]bool
}

// advised reports whether the stage has a valid permit, and asks for permits if it needs more.
func (s *Scheduler) advised(now time.Time, st *stage) bool {
	valid := false
	for _, k := range st.tickets {
		valid = valid || now.Before(k.until)
	}
	if valid || st.advice.asking || now.Before(st.advice.retryAt) {
		return valid
	}
	if st.advice.asked == nil {
		st.advice.asked = map[string]bool{}
	}
	var eligible, fresh []string
	for _, w := range s.byService[st.job().service] {
		if !w.usable() || s.catalog.Evacuated[w.Zone] || !w.fits(st.step().Reserved()) {
			continue
		}
		if l := st.step().Label; l != "" && !w.has(l) {
			continue
		}
		good, known := st.advice.asked[w.ID]
		switch {
		case known && good:
			eligible = append(eligible, w.ID)
		case !known:
			fresh = append(fresh, w.ID)
		}
	}
	names := slices.Concat(eligible, fresh)
	if len(names) == 0 {
		return false
	}
	st.advice.asking = true
	s.orders = append(s.orders, Order{
		Kind: OrderAdvise, Task: st.tasks[0].name, Step: st.name(), Candidates: names[:min(len(names), adviceBatch)],
	})
	return false
}

// name is ID.K.STEP.
func (st *stage) name() string {
	return st.job().id + "." + strconv.Itoa(st.occ.index) + "." + strconv.Itoa(st.index)
}

// Permit is a row of an adviser's answer.
type Permit struct {
	Worker string
	Ticket string
}

// Advised takes over the answer of an adviser. The permits are valid for the given time from when they were asked
// for. An answer without success has a nil slice and ok false.
func (s *Scheduler) Advised(now, asked time.Time, o Order, permits []Permit, validity time.Duration, ok bool) {
	t := s.lookup(o.Task)
	if t == nil {
		return
	}
	st := t.stage
	st.advice.asking = false
	if !ok {
		st.advice.retryAt = now.Add(adviceRetry)
		return
	}
	for _, id := range o.Candidates {
		st.advice.asked[id] = false
	}
	if st.tickets == nil {
		st.tickets = map[string]ticket{}
	}
	for _, p := range permits {
		st.advice.asked[p.Worker] = true
		st.tickets[p.Worker] = ticket{text: p.Ticket, until: asked.Add(validity - adviceMargin)}
	}
	s.note(Event{Kind: "advice", Job: st.job().id, Task: o.Step, Age: now.Sub(asked)})
}
