package entry

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// Recorder records metrics of an entry host.
type Recorder interface {
	// Request records the duration of a caller's request, by its action and outcome.
	Request(action, outcome string, took time.Duration)
	// Order records the duration of an order to a worker, by its kind and answer.
	Order(kind, answer string, took time.Duration)
	// Decision records a decision or an observation of the leader.
	Decision(event string)
	// Started records how long a task waited for its start.
	Started(waited time.Duration)
	// Ended records the end of a run and how it ended.
	Ended(how string)
}

// WithRecorder sets the Recorder of the host's metrics.
func WithRecorder(r Recorder) Option { return func(h *Host) { h.recorder = r } }

// nopRecorder is a Recorder that does nothing.
type nopRecorder struct{}

func (nopRecorder) Request(string, string, time.Duration) {}
func (nopRecorder) Order(string, string, time.Duration)   {}
func (nopRecorder) Decision(string)                       {}
func (nopRecorder) Started(time.Duration)                 {}
func (nopRecorder) Ended(string)                          {}

// recordEvents records the scheduler's events as metrics.
func (h *Host) recordEvents(events []dispatch.Event) {
	for _, e := range events {
		h.recorder.Decision(e.Kind)
		switch e.Kind {
		case dispatch.EventStart:
			h.recorder.Started(e.Age)
		case dispatch.EventEnd:
			h.recorder.Ended(e.Reason)
		}
	}
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
