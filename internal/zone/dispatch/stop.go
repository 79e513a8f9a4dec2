package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// A worker need not list a run that is being stopped, and takes a moment to stop it. A later leader would take the
// room of such a run for free and start its task a second time. So each stop is in the log before its order is sent,
// and is removed together with the end of the run.

// prefixStops is the prefix of the keys with the runs that each worker was ordered to stop.
const prefixStops = "s/"

// stopsRecord is the value of a worker's key. It is removed once no run of the worker is being stopped.
type stopsRecord struct {
	// Boot is the boot of the worker that got the orders.
	Boot int64
	Runs []stoppedRun
}

// stoppedRun names a run that was ordered to stop.
type stoppedRun struct {
	Task   string
	Number int
}

// stop is an order to stop a run that is repeated until the run has ended.
type stop struct {
	worker *Worker
	boot   int64
	key    runKey
	// run is nil if the task is not known.
	run    *run
	reason string
	// batch is the batch with the record of the stop. The order is not sent before it is committed.
	batch BatchID
	// sentAt is when the order was last sent, the zero time before.
	sentAt time.Time
}

// isOpen reports whether the run may still be on the worker.
func (o *stop) isOpen() bool {
	if o.worker.Boot != o.boot {
		return false
	}
	if o.run != nil {
		return o.worker.runs[o.key] == o.run
	}
	_, ok := o.worker.unknownRuns[o.key]
	return ok
}

// stopRun orders a run to stop. The run occupies its room until its end is listed.
func (s *Scheduler) stopRun(r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	r.phase = phaseStopping
	s.addStop(stop{worker: r.worker, key: runKey{r.task.name, r.number}, run: r, reason: reason})
}

// stopUnknownRun orders a worker to stop a run of a task that is not known, listed at the given time of its clock.
func (s *Scheduler) stopUnknownRun(w *Worker, rr *RunReport, clock int64) {
	k := runKey{rr.Task, rr.Number}
	_, stopping := w.unknownRuns[k]
	w.blockFor(k, clock)
	s.hasUnknownRuns = true
	if !stopping {
		s.addStop(stop{worker: w, key: k, reason: "unknown task"})
	}
}

// blockFor keeps tasks away from the worker because of a run of unknown size, seen at the given time of its clock.
func (w *Worker) blockFor(k runKey, clock int64) {
	if w.unknownRuns == nil {
		w.unknownRuns = map[runKey]int64{}
	}
	w.unknownRuns[k] = clock
}

// addStop records a stop. Its order is sent once the record is durable.
func (s *Scheduler) addStop(o stop) {
	o.boot = o.worker.Boot
	o.batch = s.journal.recordStops(o.worker)
	s.stops = append(s.stops, &o)
}

// stopResendInterval is the interval at which an order to stop is repeated while the run is still there.
const stopResendInterval = 700 * time.Millisecond

// sendStops sends the orders to stop whose records are durable, and repeats those that seem to be lost.
func (s *Scheduler) sendStops(now time.Time) {
	s.stops = slices.DeleteFunc(s.stops, func(o *stop) bool { return !o.isOpen() })
	for _, o := range s.stops {
		isDue := o.sentAt.IsZero() || (o.worker.failedRenewals == 0 && now.Sub(o.sentAt) > stopResendInterval)
		if isDue && o.batch <= s.journal.committed {
			s.sendStop(now, o)
		}
	}
}

// sendStop adds the order to stop a run.
func (s *Scheduler) sendStop(now time.Time, o *stop) {
	o.sentAt = now
	w := o.worker
	s.orders = append(s.orders, s.newStopOrder(w, o.key))
	e := Event{Kind: "stop", Task: o.key.task, Run: o.key.number, Worker: w.ID, Reason: o.reason}
	if o.run != nil {
		e.Job = o.run.task.job().id
	}
	s.recordEvent(e)
}

// newStopOrder returns the order to stop a run on the worker, which refuses its start from then on.
func (s *Scheduler) newStopOrder(w *Worker, k runKey) Order {
	return Order{
		Kind: OrderStop, Worker: w.ID, Address: w.Address, Boot: w.Boot, Token: s.token, Task: k.task, Run: k.number,
	}
}

// HandleStopAnswer applies the answer to a stop order. A run that had not started by then can't start any more. If the
// worker never lists its end, the run is released when unlistedTimeout has passed after the first answer.
func (s *Scheduler) HandleStopAnswer(now time.Time, o Order, a Answer, clock int64) {
	w, r := s.resolveOrder(now, o, clock)
	if w != nil && a == AnswerDone && clock > 0 {
		s.removeBar(w, runKey{o.Task, o.Run})
	}
	if r != nil && r.phase == phaseStopping && a == AnswerDone && clock > 0 && !r.stopAnswered {
		r.stopAnswered, r.confirmedClock = true, max(r.confirmedClock, clock)
	}
}

// recordStops has the stops of the worker written and returns the batch that will hold them.
func (j *journal) recordStops(w *Worker) BatchID {
	j.dirtyStops[w] = struct{}{}
	w.stopsRecorded = true
	return j.openBatch
}

// stopsOf returns the record of the worker's stops, without a value if there are none.
func stopsOf(w *Worker) Record {
	rec := stopsRecord{Boot: w.Boot}
	for k, r := range w.runs {
		if r.phase == phaseStopping {
			rec.Runs = append(rec.Runs, stoppedRun{Task: k.task, Number: k.number})
		}
	}
	for k := range w.unknownRuns {
		rec.Runs = append(rec.Runs, stoppedRun{Task: k.task, Number: k.number})
	}
	if len(rec.Runs) == 0 {
		w.stopsRecorded = false
		return Record{Key: prefixStops + w.ID}
	}
	slices.SortFunc(rec.Runs, func(a, b stoppedRun) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
	return Record{Key: prefixStops + w.ID, Value: encode(&rec)}
}

// restoredStopReason is the reason of a stop that an earlier leader has ordered and that is ordered again.
const restoredStopReason = "ordered by an earlier leader"

// restoreStops keeps the stops of an earlier leader until the worker has reported. It returns an error if the record
// is malformed.
func (s *Scheduler) restoreStops(id string, value []byte) error {
	var rec stopsRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: decode stops of worker %s", id)
	}
	s.restoredStops[id] = rec
	return nil
}

// applyRestoredStops adds the runs that an earlier leader ordered the worker to stop and that the worker's first report
// lists neither as running nor as ended: they may still take their room.
func (s *Scheduler) applyRestoredStops(now time.Time, w *Worker, report Report) {
	rec, ok := s.restoredStops[w.ID]
	if !ok {
		return
	}
	delete(s.restoredStops, w.ID)
	s.journal.recordStops(w)
	if rec.Boot != report.Boot {
		return
	}
	for _, stopped := range rec.Runs {
		k := runKey{stopped.Task, stopped.Number}
		if w.runs[k] != nil || slices.ContainsFunc(report.Ended, func(e EndReport) bool {
			return e.Task == k.task && e.Number == k.number
		}) {
			continue
		}
		s.recordEvent(Event{Kind: "stop unconfirmed", Task: k.task, Run: k.number, Worker: w.ID})
		t := s.reportedTask(now, k.task)
		if t == nil {
			w.blockFor(k, report.Clock)
			s.hasUnknownRuns = true
			s.addStop(stop{worker: w, key: k, reason: restoredStopReason})
			continue
		}
		r := s.attachReportedRun(now, w, t, k.number)
		r.confirm(report.Clock)
		s.stopRun(r, restoredStopReason)
	}
}

// deleteWorkerRecords has the records of a worker removed on which certainly nothing runs any more.
func (s *Scheduler) deleteWorkerRecords(id string) {
	s.journal.deleteWorker(id)
	s.deleteRestoredStops(id)
}

// deleteRestoredStops drops the stops of earlier leaders that certainly have no effect any more.
func (s *Scheduler) deleteRestoredStops(id string) {
	if _, ok := s.restoredStops[id]; ok {
		delete(s.restoredStops, id)
		s.journal.records = append(s.journal.records, Record{Key: prefixStops + id})
	}
}
