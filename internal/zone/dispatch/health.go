package dispatch

import "time"

const (
	// suspectFailures is the number of failed runs in a row, with none done between them, after which a worker is
	// taken to fail everything. Work that fails by itself is spread over workers and rarely fails twice on one.
	suspectFailures = 2
	// suspectPeriod is how long such a worker gets nothing but a probe.
	suspectPeriod = 6 * time.Second
	// refusalPause is how long a worker that refused an order gets no other.
	refusalPause = 300 * time.Millisecond
	// noAnswerPause is how long a worker that left an order unanswered gets no other.
	noAnswerPause = 400 * time.Millisecond
)

// health is what is known of how well a worker carries out its tasks.
type health struct {
	// consecutiveFailures counts failures in a row.
	consecutiveFailures int
	// resumeAt is when the worker may get tasks again.
	resumeAt time.Time
	// slowUntil is until when a slow worker gets no tasks.
	slowUntil time.Time
	// suspectUntil is set while the worker gets only probes.
	suspectUntil time.Time
}

// recordEnd notes the end of a run.
func (h *health) recordEnd(now time.Time, r *run, reason EndReason) {
	switch reason {
	case EndDone:
		*h = health{resumeAt: h.resumeAt, slowUntil: h.slowUntil}
	case EndFailed:
		if r != nil && r.task.step().Lasting && !r.readySince.IsZero() && now.Sub(r.readySince) > time.Second {
			// Lasting tasks fail now and then after they have worked for a while.
			return
		}
		h.consecutiveFailures++
		if h.consecutiveFailures >= suspectFailures {
			h.suspectUntil = now.Add(suspectPeriod)
		}
	}
}

// recordRefusal notes that the worker recordRefusal an order, for want of room or for reasons of its own.
func (h *health) recordRefusal(now time.Time) { h.resumeAt = now.Add(refusalPause) }

// recordNoAnswer notes that an order got no answer.
func (h *health) recordNoAnswer(now time.Time) { h.resumeAt = now.Add(noAnswerPause) }

// avoidPeriod is how long a task that has failed waits for a worker without failures before it takes another.
const avoidPeriod = 2 * time.Second

// mayStart reports whether a task may be started on the worker. Tasks that have failed before go to workers without
// failures, so that one bad worker can't use up the attempts of a task.
func (w *Worker) mayStart(now time.Time, t *task) bool {
	h := &w.health
	failed := len(t.failedRuns) > 0 && now.Sub(t.waitingSince) < avoidPeriod
	switch {
	case w.isSlow(now) || now.Before(h.resumeAt) || (failed && t.avoidWorker == w.ID):
		return false
	case h.consecutiveFailures == 0:
		return true
	case failed || now.Before(h.suspectUntil):
		return false
	}
	return len(w.runs) == 0 || h.consecutiveFailures < suspectFailures
}
