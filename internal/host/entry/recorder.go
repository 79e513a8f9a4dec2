package entry

import (
	"time"

	"sassafraswind.example/sassafraswind/internal/zone/dispatch"
)

// Recorder records metrics of an entry host.
type Recorder interface {
	// RecordRequest records the duration of a caller's request, by its action and outcome.
	RecordRequest(action, outcome string, took time.Duration)
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
