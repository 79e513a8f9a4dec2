package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The order to start a run may be in flight when the run is over, or when its worker no longer answers. A boot that has not been
// seen may then have the run. Once the boot has reported, it is told to refuse the runs that are over.

// strayLeasesEnd returns the time from which the leases of a run have certainly expired that an unseen boot of its worker
// may have started. Calls that extend its leases may be on their way as well.
func (s *Scheduler) strayLeasesEnd(r *run) time.Time {
	return leaseEnd(laterOf(r.starts.until(), r.worker.extensions.until()), s.longestLease(r.worker))
}

// isStray reports whether the run may be at work on a boot of its worker that has not been seen.
func (s *Scheduler) isStray(r *run) bool {
	return r.ownsTask() && r.starts.until().After(r.worker.answeredAt) && !s.isOutOfReach(r) &&
		s.confirmedAt.Before(s.strayLeasesEnd(r))
}

// loseStrays ends the runs of a worker whose leases have expired, except for those that an unseen boot may have.
func (s *Scheduler) loseStrays(now time.Time, w *Worker) {
	for _, r := range s.runsOf(w) {
		if !s.isStray(r) {
			s.loseRun(now, r, s.strayEndReason(r))
		}
	}
	s.forgetWorker(now, w)
}

// strayEndReason returns the reason for which a run is lost that was kept for an unseen boot of its worker.
func (s *Scheduler) strayEndReason(r *run) string {
	if s.isOutOfReach(r) {
		return reasonWorkerGone
	}
	return reasonLeaseLapsed
}

// addStray notes that an order to start a run that has ended, or was given up, may be carried out by the next boot.
func (w *Worker) addStray(k runKey, until time.Time) {
	if w.strays == nil {
		w.strays = map[runKey]time.Time{}
	}
	w.strays[k] = laterOf(w.strays[k], until)
}

// expireStrays removes the orders that can't be carried out any more.
func (w *Worker) expireStrays(now time.Time) {
	for k, until := range w.strays {
		if !now.Before(until) {
			delete(w.strays, k)
		}
	}
}

// bar is an order that has a boot of a worker refuse a run which an order for a former boot may start there.
type bar struct {
	worker *Worker
	boot   int64
	key    runKey
	until  time.Time
	// sentAt is when the order was last sent, the zero time before.
	sentAt time.Time
}

// barStrays has the worker's present boot refuse the runs of its former ones that have ended or were given up. One that it
// has listed is adopted, or being stopped.
func (s *Scheduler) barStrays(now time.Time, w *Worker) {
	w.expireStrays(now)
	keys := slices.SortedFunc(maps.Keys(w.strays), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	for _, k := range keys {
		if w.runs[k] != nil {
			continue
		}
		s.bars = append(s.bars, &bar{worker: w, boot: w.Boot, key: k, until: w.strays[k]})
	}
}

// sendBars sends the orders to refuse runs, and repeats those without an answer. There is no record of them: nothing is
// known to run under these numbers.
func (s *Scheduler) sendBars(now time.Time) {
	s.bars = slices.DeleteFunc(s.bars, func(b *bar) bool { return b.worker.Boot != b.boot || !now.Before(b.until) })
	for _, b := range s.bars {
		if b.worker.failedRenewals > 0 || now.Sub(b.sentAt) <= stopResendInterval {
			continue
		}
		b.sentAt = now
		s.orders = append(s.orders, s.newStopOrder(b.worker, b.key))
	}
}

// removeBar notes that the worker has answered an order to stop the run.
func (s *Scheduler) removeBar(w *Worker, k runKey) {
	s.bars = slices.DeleteFunc(s.bars, func(b *bar) bool { return b.worker == w && b.boot == w.Boot && b.key == k })
}
