package entry

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// Recorder counts what a host does.
type Recorder interface {
	// Request takes the answer to a caller.
	Request(action, outcome string, took time.Duration)
	// Order takes an order to a worker.
	Order(kind, answer string, took time.Duration)
	// Decision takes a decision or finding of the leader.
	Decision(event string)
	// Started takes the time that a task waited for its start.
	Started(waited time.Duration)
	// Ended takes the end of a run.
	Ended(how string)
}

// WithRecorder sets what counts the host's doings.
func WithRecorder(r Recorder) Option { return func(h *Host) { h.recorder = r } }

// nopRecorder counts nothing.
type nopRecorder struct{}

func (nopRecorder) Request(string, string, time.Duration) {}
func (nopRecorder) Order(string, string, time.Duration)   {}
func (nopRecorder) Decision(string)                       {}
func (nopRecorder) Started(time.Duration)                 {}
func (nopRecorder) Ended(string)                          {}

// recordEvents counts the scheduler's decisions.
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

// Load returns the leader's summary of jobs and workers. It is false if this host does not lead.
func (h *Host) Load() (dispatch.Load, bool) {
	h.mu.Lock()
	t := h.term
	h.mu.Unlock()
	if t == nil {
		return dispatch.Load{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.Load(), true
}
