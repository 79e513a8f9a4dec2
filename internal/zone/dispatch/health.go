package dispatch

import "time"

const (
	// suspectAfter is the number of failed runs in a row, with none done between them, after which a worker is
	// taken to fail everything. Work that fails by itself is spread over workers and rarely fails twice on one.
	suspectAfter = 2
	// suspectFor is how long such a worker gets nothing but a probe.
	suspectFor = 6 * time.Second
	// refusedFor is how long a worker that refused an order gets no other.
	refusedFor = 300 * time.Millisecond
	// silentFor is how long a worker that left an order unanswered gets no other.
	silentFor = 400 * time.Millisecond
)

// health is what is known of how well a worker carries out its tasks.
type health struct {
	// failed counts failures in a row.
	failed int
	// resumeAt is when the worker may get tasks again.
	resumeAt time.Time
	// slowUntil is until when a slow worker gets no tasks.
	slowUntil time.Time
	// suspectUntil is set while the worker gets only probes.
	suspectUntil time.Time
}

// ended notes the end of a run.
func (h *health) ended(now time.Time, r *run, how How) {
	switch how {
	case HowDone:
		*h = health{resumeAt: h.resumeAt, slowUntil: h.slowUntil}
	case HowFailed:
		if r != nil && r.task.step().LongRunning && !r.workSince.IsZero() && now.Sub(r.workSince) > time.Second {
			// Lasting tasks fail now and then after they have worked for a while.
			return
		}
		h.failed++
		if h.failed >= suspectAfter {
			h.suspectUntil = now.Add(suspectFor)
		}
	}
}

// refused notes that the worker refused an order, for want of room or for reasons of its own.
func (h *health) refused(now time.Time) { h.resumeAt = now.Add(refusedFor) }

// silent notes that an order got no answer.
func (h *health) silent(now time.Time) { h.resumeAt = now.Add(silentFor) }

// avoidFor is how long a task that has failed waits for a worker without failures before it takes another.
const avoidFor = 2 * time.Second

// allows reports whether a task may be started on the worker. Tasks that have failed before go to workers without
// failures, so that one bad worker can't use up the attempts of a task.
func (w *Worker) allows(now time.Time, t *task) bool {
	h := &w.health
	failed := len(t.failed) > 0 && now.Sub(t.since) < avoidFor
	switch {
	case w.isSlow(now) || now.Before(h.resumeAt) || (failed && t.avoid == w.ID):
		return false
	case h.failed == 0:
		return true
	case failed || now.Before(h.suspectUntil):
		return false
	}
	return len(w.runs) == 0 || h.failed < suspectAfter
}
