package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// LeaseRenewal is the call that renews the leases of a worker, acknowledges its ends and asks what runs there.
type LeaseRenewal struct {
	Worker, Address string
	Boot            int64
	Token           int64
	// LeaseUntil extends the leases up to this time of the worker's clock in milliseconds; 0 extends nothing.
	LeaseUntil int64
	// Acknowledged is the serial of the last end that is durable.
	Acknowledged int64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// maxRenewalWait is the longest time for which a worker delays its answer to a lease renewal, as stated by the
// platform.
const maxRenewalWait = 2 * time.Second

// heldRenewalWait is the longest time for which a worker delays its answer while its leases must not be extended.
const heldRenewalWait = 400 * time.Millisecond

// minSilentRenewals is the number of lease renewals in a row without an answer after which a worker counts as silent.
const minSilentRenewals = 2

// PlanRenewal returns the next lease renewal for a worker. It returns false if the worker is not known any more, or is
// unlisted and certainly runs nothing.
func (s *Scheduler) PlanRenewal(now time.Time, id string) (LeaseRenewal, bool) {
	w := s.workers[id]
	if w == nil || (!w.listed && len(w.runs) == 0 && w.leasesExpired) {
		return LeaseRenewal{}, false
	}
	renewal := LeaseRenewal{Worker: id, Address: w.Address, Boot: w.Boot, Token: s.token, Acknowledged: w.durableEnd}
	if w.bootUnknown {
		renewal.Boot = 0
	}
	if w.bootUnknown || w.failedRenewals > 0 {
		// A worker that has restarted meanwhile numbers its ends anew, and would forget those that it has not listed.
		renewal.Acknowledged = 0
	}
	w.extending = false
	if w.clockAt.IsZero() || w.bootUnknown {
		return renewal, true
	}
	// A worker that doesn't answer is only queried: each renewal would put off the time at which its tasks have
	// certainly ended.
	switch {
	case w.failedRenewals > 0:
	case w.leaseRecord.held:
		renewal.Wait = heldRenewalWait
	default:
		renewal.LeaseUntil = s.extendLease(now, w)
		renewal.Wait = s.renewalWait(now, w)
	}
	return renewal, true
}

// maxGrantedLease bounds the leases that this leader grants. The tasks of a worker that is gone start again when its
// leases have expired, and the platform allows a long-running task to be away for nine seconds.
const maxGrantedLease = 6 * time.Second

const (
	// drainingLease is the length of the leases of a worker that may leave at any moment. Its runs are known to have ended
	// once they have lapsed.
	drainingLease = 2 * time.Second
	// drainingRenewalWait is the longest time for which such a worker delays its answer. It is short enough for the leases
	// to outlast a renewal without an answer, with round trips of up to a quarter of a second.
	drainingRenewalWait = 250 * time.Millisecond
)

// grantedLease returns the length of the longest leases that this leader grants.
func (s *Scheduler) grantedLease() time.Duration { return min(s.limits.MaxLease, maxGrantedLease) }

// leaseOf returns the length of the leases that the worker is granted now. One that drains needs none beyond the time at
// which it may leave, except for short ones. That is so for an idle one as well: the next leader waits for its leases, since
// it doesn't know that nothing runs there.
func (s *Scheduler) leaseOf(now time.Time, w *Worker) time.Duration {
	if !w.Draining {
		return s.grantedLease()
	}
	return min(s.grantedLease(), max(drainingLease, w.leaveAt.Sub(now)))
}

// extendLease returns the end of a renewed lease by the worker's clock, and counts the renewal as sent.
func (s *Scheduler) extendLease(now time.Time, w *Worker) int64 {
	until := w.clockNow(now) + s.leaseOf(now, w).Milliseconds()
	w.extensions.add(now)
	w.extending = true
	w.extendUntil(until)
	return until
}

// renewalWait returns how long a worker may delay its answer: a third of the lease, so that a renewal may be lost, and
// less where the latencies of long-running tasks have to be watched because best-effort tasks run beside them.
func (s *Scheduler) renewalWait(now time.Time, w *Worker) time.Duration {
	lease := s.leaseOf(now, w)
	wait := min(lease/renewalsPerLease, maxRenewalWait)
	if w.Draining && lease <= drainingLease && len(w.runs)+len(w.unknownRuns) > 0 {
		wait = min(wait, drainingRenewalWait)
	}
	switch {
	case s.hasUnacknowledgedEnds(w):
		// Ends that wait for the log are to be acknowledged soon, and a worker with ends to list answers at once
		// anyway.
		wait = 0
	case w.trials > 0:
		wait = min(wait, trialRenewalWait)
	case w.bestEffortCores > 0 && w.longRunningCores > 0:
		wait = min(wait, readingInterval)
	}
	return wait
}

// hasUnacknowledgedEnds reports whether the worker will list ends that this host has already applied.
func (s *Scheduler) hasUnacknowledgedEnds(w *Worker) bool { return w.lastEnd > w.durableEnd }

// HandleRenewalRestart notes that another boot of the worker answered a lease renewal. The next renewal asks which boot
// it is. Until that is known the leases are not extended and lapse: a report of a boot that seems to be older counts only
// after that.
func (s *Scheduler) HandleRenewalRestart(id string) {
	if w := s.workers[id]; w != nil {
		w.bootUnknown = true
		s.addFailedRenewal(w)
	}
}

// IsBootUnknown reports whether another boot of the worker than the known one is listed or has answered.
func (s *Scheduler) IsBootUnknown(id string) bool {
	w := s.workers[id]
	return w != nil && w.bootUnknown
}

// HandleRenewalFailure notes that a lease renewal got no answer. That the worker has closed the connection, or refuses a
// new one, says nothing about its runs: it may close its address before it ends them.
func (s *Scheduler) HandleRenewalFailure(now time.Time, id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	s.addFailedRenewal(w)
	if w.failedRenewals == minSilentRenewals {
		s.recordEvent(Event{Kind: "worker silent", Worker: id, Age: w.sinceAnswer(now)})
		s.recordSilence(now, w)
	}
}

// sinceAnswer returns the time since the worker's last report, 0 if there is none.
func (w *Worker) sinceAnswer(now time.Time) time.Duration {
	if w.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(w.answeredAt)
}

// addFailedRenewal counts a call to the worker that got no answer, or that could not be sent.
func (s *Scheduler) addFailedRenewal(w *Worker) {
	w.failedRenewals++
	s.silent[w] = struct{}{}
}

// earlierLeasesUntilOn returns the time from which the leases of earlier terms have certainly expired on a worker.
func (s *Scheduler) earlierLeasesUntilOn(w *Worker) time.Time {
	if until, ok := s.unaccounted[w.ID]; ok {
		return until
	}
	return s.earlierLeasesUntil
}

// reasonLeaseLapsed is the reason for which runs are lost whose leases have certainly expired.
const reasonLeaseLapsed = "lease lapsed"

// expireLeases takes back the tasks of unreachable workers whose leases have certainly expired, and gives up the
// workers that are still unaccounted for when those of earlier terms have. A later leader that reaches such a worker may
// have extended its leases, so that they have only expired if the term was confirmed since.
func (s *Scheduler) expireLeases(now, confirmedAt time.Time) {
	var ended, strays []*Worker
	for w := range s.silent {
		switch {
		case w.failedRenewals == 0 || (w.leasesExpired && len(w.runs) == 0):
			delete(s.silent, w)
		case w.leasesExpired:
			strays = append(strays, w)
		case !w.clockAt.IsZero() && !confirmedAt.Before(w.leasesEndAt()):
			ended = append(ended, w)
		}
	}
	byID := func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(ended, byID)
	for _, w := range ended {
		s.endWorker(now, w, reasonLeaseLapsed)
	}
	slices.SortFunc(strays, byID)
	for _, w := range strays {
		s.loseStrays(now, w)
	}
	s.giveUpUnaccounted(now, confirmedAt)
}

// WantsConfirmation reports whether leases have expired unless a later leader has begun its term.
func (s *Scheduler) WantsConfirmation(now time.Time) bool {
	for _, until := range s.unaccounted {
		if now.After(until) {
			return true
		}
	}
	for w := range s.silent {
		if w.failedRenewals > 0 && !w.leasesExpired && !w.clockAt.IsZero() && !now.Before(w.leasesEndAt()) {
			return true
		}
		if w.leasesExpired && slices.ContainsFunc(s.runsOf(w), func(r *run) bool { return now.After(s.strayLeasesEnd(r)) }) {
			return true
		}
	}
	return false
}

// giveUpUnaccounted gives up the workers that have not answered in this term and whose leases have certainly expired.
func (s *Scheduler) giveUpUnaccounted(now, confirmedAt time.Time) {
	var lapsed []string
	for id, until := range s.unaccounted {
		if confirmedAt.After(until) {
			lapsed = append(lapsed, id)
		}
	}
	slices.Sort(lapsed)
	for _, id := range lapsed {
		s.recordEvent(Event{Kind: "worker given up", Worker: id, Reason: "no answer in this term and leases lapsed"})
		if w := s.workers[id]; w != nil {
			s.endWorker(now, w, reasonLeaseLapsed)
			continue
		}
		delete(s.unaccounted, id)
		s.deleteWorkerRecords(id)
	}
}

// endWorker takes back the tasks of a worker on which certainly nothing runs any more.
func (s *Scheduler) endWorker(now time.Time, w *Worker, reason string) {
	_, isUnaccounted := s.unaccounted[w.ID]
	w.leasesExpired = true
	s.recordEvent(Event{
		Kind: EventWorkerEnded, Worker: w.ID, Reason: reason, Age: w.sinceAnswer(now),
		ConfirmationAge: now.Sub(s.confirmedAt),
	})
	if s.isReplaced(w) {
		w.endCalls(now)
		s.strayExpiry = now
	}
	s.loseRuns(now, w, reason)
	delete(s.unaccounted, w.ID)
	delete(s.backlogged, w)
	if w.recordBatch != 0 || isUnaccounted {
		w.recordBatch = 0
		s.deleteWorkerRecords(w.ID)
	}
	if w.leaseRecord.listed {
		s.recordLeases(now)
	}
	s.forgetWorker(now, w)
}

// noteReplacement notes that the worker has answered at an address. Workers of earlier starts there must have ended their
// listeners, so that those whose runs are lost have crashed, and calls to them are not carried out any more. Their runs
// count until their leases have lapsed even so: a former process may go on without its listener.
func (s *Scheduler) noteReplacement(now time.Time, replacement *Worker) {
	for w := range s.silent {
		if w != replacement && w.Address == replacement.Address && w.Boot < replacement.Boot {
			w.endCalls(now)
			s.strayExpiry = now
		}
	}
	for _, l := range s.lapses {
		l.replaced = l.replaced || l.isReplacedBy(replacement)
	}
}

// allWorkersAccounted reports whether it is known where the tasks of earlier terms run.
func (s *Scheduler) allWorkersAccounted() bool {
	return len(s.unaccounted) == 0 && len(s.backlogged) == 0
}
