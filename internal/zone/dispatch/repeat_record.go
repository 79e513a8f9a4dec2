package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// A new leader doesn't know the calls of the one before. Its fencing token bars them on the boots that it reaches, and not on
// those that begin later. So a start that got no answer is in the log while its run keeps the task, and the next leader goes
// on with that run.

// prefixUnanswered is the prefix of the keys with the unanswered start of each task, by the name of the task.
const prefixUnanswered = "u/"

// unansweredRecord is the value of a task's key.
type unansweredRecord struct {
	Worker string
	Run    int
	// Left is the time in milliseconds after which the start isn't carried out any more, counted from the record's creation.
	Left int64
	// OutlivedBoot is set if the start may have been ordered for a former boot of the worker.
	OutlivedBoot bool
}

// recordUnanswered has the unanswered start of a run written.
func (s *Scheduler) recordUnanswered(now time.Time, r *run) {
	if !r.ownsTask() {
		return
	}
	r.unansweredRecorded = true
	rec := unansweredRecord{
		Worker: r.worker.ID, Run: r.number, Left: ceilMillis(r.starts.until().Sub(now)),
		OutlivedBoot: r.outlivedBoot,
	}
	s.journal.records = append(s.journal.records, Record{Key: prefixUnanswered + r.task.name, Value: encode(&rec)})
}

// deleteUnanswered has the record of the run's start removed.
func (s *Scheduler) deleteUnanswered(r *run) {
	if r.unansweredRecorded {
		r.unansweredRecorded = false
		s.journal.records = append(s.journal.records, Record{Key: prefixUnanswered + r.task.name})
	}
}

// restoreUnanswered restores the runs whose starts got no answer in an earlier term, after the jobs and the workers. It
// returns an error for each malformed record.
func (s *Scheduler) restoreUnanswered(now time.Time, records []Record) []error {
	var errs []error
	for _, r := range records {
		name, ok := cutPrefix(r.Key, prefixUnanswered)
		if !ok || len(r.Value) == 0 {
			continue
		}
		var rec unansweredRecord
		if err := msgpack.Unmarshal(r.Value, &rec); err != nil {
			errs = append(errs, errors.Wrapf(err, "dispatch: decode unanswered start of task %s", name))
			continue
		}
		t := s.findTask(name)
		if t == nil || t.done || t.job().isFinal() || len(t.runs) > 0 {
			s.journal.records = append(s.journal.records, Record{Key: r.Key})
			continue
		}
		w := s.workers[rec.Worker]
		if w == nil {
			w = s.addEndedWorker(rec.Worker, t.job().service)
		}
		restored := &run{
			task: t, number: rec.Run, worker: w, phase: phaseUnanswered, startedAt: now, waitingSince: t.waitingSince,
			pace: 100, targetPace: 100, unansweredRecorded: true, outlivedBoot: rec.OutlivedBoot,
			starts: inFlight{earlier: now.Add(time.Duration(rec.Left) * time.Millisecond)},
		}
		t.lastRun = max(t.lastRun, rec.Run)
		s.attach(restored)
	}
	return errs
}

// addEndedWorker adds a worker of which an earlier term has recorded that nothing runs there any more. Its next boot may carry out an
// order without an answer.
func (s *Scheduler) addEndedWorker(id, service string) *Worker {
	w := &Worker{Registration: Registration{ID: id, Service: service}, runs: map[runKey]*run{}, leasesExpired: true}
	s.workers[id] = w
	s.indexWorker(w)
	return w
}

// giveWay has unconfirmed runs of the task end that an earlier term has left, since a worker lists a later one.
func (s *Scheduler) giveWay(t *task, number int) {
	for _, r := range slices.Clone(t.runs) {
		if r.phase == phaseUnanswered && !r.confirmed && r.number < number {
			s.detach(r)
		}
	}
}
