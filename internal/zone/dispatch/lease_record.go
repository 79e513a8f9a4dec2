package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// A new leader knows nothing of the leases on workers that don't answer it. So each leader keeps a record in the log of
// the longest lease that it grants, and of how long the leases last on the workers that don't answer. The leases of a
// worker that the record lists are not extended until a record without it is durable.

// leasesKey is the key of the record of leases.
const leasesKey = "l/leases"

// leaseRecordInterval is the interval at which the record of leases is renewed while its times run down.
const leaseRecordInterval = time.Second

// leaseRecord is what a leader records of leases. Its times are durations in milliseconds, counted from the record's
// creation, since the clocks of two hosts are not compared.
type leaseRecord struct {
	// Token is the fencing token of the leader's term. The record says nothing about the terms after it.
	Token int64
	// Longest is the longest lease that the term grants.
	Longest int64
	// Earlier is the time after which all leases of earlier terms have certainly expired.
	Earlier int64
	// Placements is the fencing token of the first of the consecutive terms, up to this one, that recorded the workers of
	// long-running tasks.
	Placements int64
	// Silent lists the workers that don't answer, ordered by ID. Theirs have expired at the times given there, if these are
	// earlier.
	Silent []silentLeases
}

// silentLeases are the leases of a worker that doesn't answer.
type silentLeases struct {
	Worker string
	// Left is the time after which they have certainly expired.
	Left int64
}

// leaseRecordState says what the log holds of a worker's leases.
type leaseRecordState struct {
	// listed is set while the newest record lists the worker.
	listed bool
	// clearBatch is the batch with the first record that doesn't list the worker any more.
	clearBatch BatchID
	// held is set while a durable record may list the worker, so that its leases must not be extended.
	held bool
}

// recordLeases has the leases recorded as they are at present.
func (s *Scheduler) recordLeases(now time.Time) {
	s.journal.leasesAt = now
}

// PrepareHandOver has everything recorded that the next leader should know, before a planned end of the term.
func (s *Scheduler) PrepareHandOver(now time.Time) {
	s.handingOver = true
	s.recordLeases(now)
}

// refreshLeaseRecord has the leases recorded again while the recorded times run down.
func (s *Scheduler) refreshLeaseRecord(now time.Time) {
	for w := range s.silent {
		if !w.leaseRecord.listed && s.isSilent(w) {
			s.recordLeases(now)
			return
		}
	}
	if now.Sub(s.leasesRecordedAt) < leaseRecordInterval {
		return
	}
	if len(s.silentInRecord) > 0 || now.Before(s.earlierLeasesUntil.Add(leaseRecordInterval)) {
		s.recordLeases(now)
	}
}

// makeLeaseRecord returns the record of leases as of the given time, and the workers that it lists no longer.
func (s *Scheduler) makeLeaseRecord(at time.Time) (record Record, cleared []*Worker) {
	s.leasesRecordedAt = at
	rec := leaseRecord{
		Token: s.token, Longest: s.grantedLease().Milliseconds(), Earlier: ceilMillis(s.earlierLeasesUntil.Sub(at)),
		Placements: s.placementsSince,
	}
	silent := map[*Worker]struct{}{}
	for _, w := range s.workers {
		if !s.isSilent(w) {
			continue
		}
		rec.Silent = append(rec.Silent, silentLeases{
			Worker: w.ID, Left: ceilMillis(s.silentLeasesEnd(w).Sub(at)),
		})
		silent[w] = struct{}{}
		w.leaseRecord.listed, w.leaseRecord.held = true, true
	}
	slices.SortFunc(rec.Silent, func(a, b silentLeases) int { return cmp.Compare(a.Worker, b.Worker) })
	for w := range s.silentInRecord {
		if _, ok := silent[w]; !ok {
			w.leaseRecord.listed, w.leaseRecord.clearBatch = false, s.journal.openBatch
			cleared = append(cleared, w)
		}
	}
	s.silentInRecord = silent
	return Record{Key: leasesKey, Value: encode(&rec)}, cleared
}

// isSilent reports whether the worker's leases are to be recorded because it doesn't answer. At a planned end of the term
// that is each worker that has not answered the last renewal.
func (s *Scheduler) isSilent(w *Worker) bool {
	_, isUnaccounted := s.unaccounted[w.ID]
	mayRunTasks := isUnaccounted || (w.recordBatch != 0 && !w.clockAt.IsZero())
	if !mayRunTasks || w.leasesExpired {
		return false
	}
	if s.handingOver {
		return isUnaccounted || w.failedRenewals > 0
	}
	return w.failedRenewals >= minSilentRenewals
}

// silentLeasesEnd returns the time from which the leases of a silent worker have certainly expired.
func (s *Scheduler) silentLeasesEnd(w *Worker) time.Time {
	if until, ok := s.unaccounted[w.ID]; ok {
		return until
	}
	return w.leasesEndAt()
}

// releaseLeases allows the leases of workers to be extended again that no durable record lists any more.
func (s *Scheduler) releaseLeases(cleared []*Worker) {
	for _, w := range cleared {
		if !w.leaseRecord.listed && w.leaseRecord.clearBatch <= s.journal.committed {
			w.leaseRecord.held = false
			s.markChanged(w)
		}
	}
}

// restoreLeases works out until when leases of earlier terms may last on the restored workers. The previous leader gave
// no order after ordersUntil. Without a record of its term, its leases may be the longest that the platform allows.
func (s *Scheduler) restoreLeases(now time.Time, records []Record, ordersUntil time.Time) error {
	if len(s.unaccounted) == 0 {
		// No task has been started, since that takes the record of a worker.
		return nil
	}
	var rec leaseRecord
	var err error
	if i := slices.IndexFunc(records, func(r Record) bool { return r.Key == leasesKey && len(r.Value) > 0 }); i >= 0 {
		if err = msgpack.Unmarshal(records[i].Value, &rec); err != nil {
			rec, err = leaseRecord{}, errors.Wrap(err, "dispatch: decode record of leases")
		}
	}
	longest := s.limits.MaxLease
	s.placementsSince = s.token
	if isKnown := rec.Token == s.token-1 && rec.Longest > 0; isKnown {
		longest = min(longest, time.Duration(rec.Longest)*time.Millisecond)
		if rec.Placements > 0 {
			s.placementsSince = rec.Placements
		}
	} else {
		// The leader before may never have begun its term, and have left the one before that unfenced until now.
		rec = leaseRecord{}
		s.otherOrdersUntil = now.Add(s.limits.MaxUnconfirmedTerm)
		ordersUntil = laterOf(ordersUntil, s.otherOrdersUntil)
	}
	s.previousLease, s.olderLeasesUntil = longest, now.Add(time.Duration(rec.Earlier)*time.Millisecond)
	s.earlierLeasesUntil = laterOf(leaseEnd(ordersUntil, longest), s.olderLeasesUntil)
	for id := range s.unaccounted {
		s.unaccounted[id] = s.earlierLeasesUntil
	}
	for _, l := range rec.Silent {
		left := now.Add(time.Duration(l.Left) * time.Millisecond)
		if until, ok := s.unaccounted[l.Worker]; ok && left.Before(until) {
			s.unaccounted[l.Worker] = left
		}
	}
	return err
}

// leaseEnd returns the time from which all leases of the given length have certainly expired that were granted by the given
// time.
func leaseEnd(grantedBy time.Time, lease time.Duration) time.Time {
	return grantedBy.Add(time.Duration(float64(lease)/minWorkerClockRate) + clockMargin)
}

// EndPreviousOrders notes that the previous leader has certainly given no order after the time, which may be earlier than
// the one that was known when the state was restored.
func (s *Scheduler) EndPreviousOrders(ordersUntil time.Time) {
	ordersUntil = laterOf(ordersUntil, s.otherOrdersUntil)
	until := laterOf(leaseEnd(ordersUntil, s.previousLease), s.olderLeasesUntil)
	if !until.Before(s.earlierLeasesUntil) {
		return
	}
	s.earlierLeasesUntil = until
	for id, at := range s.unaccounted {
		if until.Before(at) {
			s.unaccounted[id] = until
		}
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ceilMillis returns a duration in milliseconds, rounded up, and 0 for a negative one.
func ceilMillis(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}
