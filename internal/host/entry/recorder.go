package entry

import (
	"slices"
	"sync"
	"time"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// Recorder records metrics of an entry host.
type Recorder interface {
	// RecordRequest records the duration of a caller's request, by its action and outcome.
	RecordRequest(action, outcome string, took time.Duration)
	// RecordAnswer counts the answer to a caller's request, by the class of its queue, its action, its outcome and, if it was
	// refused, the reason.
	RecordAnswer(class, action, outcome, reason string)
	// RecordOrder records the duration of an order to a worker, by its kind and answer.
	RecordOrder(kind, answer string, took time.Duration)
	// RecordDecision records a decision or an observation of the leader.
	RecordDecision(event string)
	// RecordStart records how long a task waited for its start.
	RecordStart(waited time.Duration)
	// RecordNearWait records how long a task or gang that runs longer in the wrong place waited for its start, by its place.
	RecordNearWait(place string, waited time.Duration)
	// RecordEnd records the end of a run and how it ended.
	RecordEnd(how string)
}

// WithRecorder sets the Recorder of the host's metrics.
func WithRecorder(r Recorder) Option { return func(h *Host) { h.recorder = r } }

// nopRecorder is a Recorder that does nothing.
type nopRecorder struct{}

func (nopRecorder) RecordRequest(string, string, time.Duration) {}
func (nopRecorder) RecordAnswer(_, _, _, _ string)              {}
func (nopRecorder) RecordOrder(string, string, time.Duration)   {}
func (nopRecorder) RecordDecision(string)                       {}
func (nopRecorder) RecordStart(time.Duration)                   {}
func (nopRecorder) RecordNearWait(string, time.Duration)        {}
func (nopRecorder) RecordEnd(string)                            {}

// recordEvents records the scheduler's events as metrics.
func (h *Host) recordEvents(events []dispatch.Event) {
	for _, e := range events {
		h.recorder.RecordDecision(e.Kind)
		switch e.Kind {
		case dispatch.EventStart:
			h.recorder.RecordStart(e.Age)
			if e.Place != "" {
				h.recorder.RecordNearWait(e.Place, e.Age)
			}
		case dispatch.EventEnd:
			h.recorder.RecordEnd(e.Reason)
		}
	}
}

// recordAnswer counts the answer to a caller's request.
func (h *Host) recordAnswer(req Request, resp Response) {
	reason := ""
	switch resp.Outcome {
	case dispatch.OutcomeRefused, dispatch.OutcomeRejected, dispatch.OutcomeTaken:
		reason = dispatch.RefusalReason(resp.Outcome, resp.Reason)
	}
	h.recorder.RecordAnswer(h.classOf(req.Queue), string(req.Action), outcomeName(resp.Outcome), reason)
}

// RecordUnread counts a submission to a queue that was refused before it became a Request, since its body could not be read or
// decoded.
func (h *Host) RecordUnread(queue, reason string) {
	h.recorder.RecordAnswer(h.classOf(queue), string(ActionSubmit), outcomeName(dispatch.OutcomeRefused), reason)
}

// classOf returns the class of the requests to a queue by the manifest in force. Queues that it doesn't list count together,
// since callers may name any.
func (h *Host) classOf(queue string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.configuration.manifest == nil {
		return dispatch.OtherGroup
	}
	q, ok := h.configuration.manifest.Catalog.Queues[queue]
	if !ok {
		return dispatch.OtherGroup
	}
	return q.ClassName()
}

// outcomeTotals adds up the outcomes of all terms of a host, so that what a former term counted stays in its metrics.
type outcomeTotals struct {
	// mu guards ended and terms. It is locked before term.mu.
	mu sync.Mutex
	// ended holds the sums of the terms that have ended, terms the others.
	ended dispatch.Outcomes
	terms []*term
}

// begin has the outcomes of a term counted, unless it has ended already. Host.mu must not be held: a scrape holds o.mu for as
// long as a decision takes.
func (o *outcomeTotals) begin(t *term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.ctx.Err() == nil {
		o.terms = append(o.terms, t)
	}
}

// end keeps the outcomes of a term that has ended, without the term.
func (o *outcomeTotals) end(t *term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := slices.Index(o.terms, t)
	if i < 0 {
		return
	}
	o.terms = slices.Delete(o.terms, i, i+1)
	t.mu.Lock()
	defer t.mu.Unlock()
	o.ended.Merge(t.scheduler.Outcomes())
}

// Outcomes returns what became of the jobs and runs of all terms of this host, by class and by team.
func (h *Host) Outcomes() *dispatch.Outcomes {
	o := &h.outcomes
	o.mu.Lock()
	defer o.mu.Unlock()
	total := &dispatch.Outcomes{}
	total.Merge(&o.ended)
	for _, t := range o.terms {
		t.mu.Lock()
		total.Merge(t.scheduler.Outcomes())
		t.mu.Unlock()
	}
	return total
}

// TeamStates returns what the teams have in the scheduler at present, nothing if this host does not lead.
func (h *Host) TeamStates() []dispatch.TeamState {
	h.mu.Lock()
	t := h.term
	h.mu.Unlock()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.TeamStates()
}

// Summary returns the leader's summary of jobs and workers. The second result is false if this host does not lead.
func (h *Host) Summary() (dispatch.Summary, bool) {
	h.mu.Lock()
	t := h.term
	h.mu.Unlock()
	if t == nil {
		return dispatch.Summary{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.Summary(), true
}
