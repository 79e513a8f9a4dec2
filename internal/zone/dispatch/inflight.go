package dispatch

import "time"

// A call to a worker that got no answer is in flight: it may be carried out seconds later, by whichever boot of the worker takes
// it. No clock of a worker ends that, since the next boot has another one.

// maxCallDelay is the longest time after which a worker carries out a call that got no answer, as stated by the platform.
const maxCallDelay = 12 * time.Second

// inFlight says until when calls to a worker that got no answer may be carried out, by whichever boot takes them.
type inFlight struct {
	// latest belongs to the newest call and is the zero time once that was answered. earlier belongs to those before it.
	latest, earlier time.Time
}

// add notes that a call is sent.
func (c *inFlight) add(now time.Time) { c.earlier, c.latest = c.until(), now.Add(maxCallDelay) }

// answer notes that the newest call was answered.
func (c *inFlight) answer() { c.latest = time.Time{} }

// settle notes that one of the calls was carried out. Of several it isn't known which.
func (c *inFlight) settle() {
	if c.earlier.IsZero() {
		c.answer()
	}
}

// end notes that no call is carried out after the given time.
func (c *inFlight) end(at time.Time) {
	for _, until := range []*time.Time{&c.latest, &c.earlier} {
		if until.After(at) {
			*until = at
		}
	}
}

// until returns the time from which no call is carried out any more, the zero time if all were answered.
func (c *inFlight) until() time.Time { return laterOf(c.latest, c.earlier) }

// hasCallsInFlight reports whether a call to the worker that got no answer may be carried out by its next boot.
func (w *Worker) hasCallsInFlight(now time.Time) bool {
	w.expireStrays(now)
	return len(w.strays) > 0 || now.Before(w.callsUntil())
}

// callsUntil returns the time from which no call without an answer extends the leases of the worker any more.
func (w *Worker) callsUntil() time.Time {
	until := laterOf(w.lateStartsUntil, w.extensions.until())
	for _, r := range w.runs {
		until = laterOf(until, r.starts.until())
	}
	return until
}

// endCalls notes that no call to the worker is carried out after the given time.
func (w *Worker) endCalls(at time.Time) {
	w.extensions.end(at)
	if w.lateStartsUntil.After(at) {
		w.lateStartsUntil = at
	}
	for _, r := range w.runs {
		r.starts.end(at)
	}
	for k, until := range w.strays {
		if until.After(at) {
			w.strays[k] = at
		}
	}
}

// longestLease returns the longest lease that a call for a former boot of the worker can grant: it lasts up to a time of the
// clock, which begins anew at each boot.
func (s *Scheduler) longestLease(w *Worker) time.Duration {
	if w.longestUntil == 0 {
		return s.limits.MaxLease
	}
	return min(s.limits.MaxLease, time.Duration(w.longestUntil)*time.Millisecond)
}

// isReplaced reports whether a worker of a later start has answered at the address, so that calls reach that one.
func (s *Scheduler) isReplaced(w *Worker) bool {
	for _, other := range s.workers {
		if other != w && other.contacted && other.Address == w.Address && other.Boot > w.Boot {
			return true
		}
	}
	return false
}
