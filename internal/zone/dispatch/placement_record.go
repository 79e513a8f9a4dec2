package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// The worker of each start of a long-running task is in the log before its order is sent, so that a new leader waits for
// that worker only before it starts the task again. Without a record it waits for all workers on which earlier leaders have
// started tasks, as it does for short tasks, and that may take as long as a lease.

// prefixPlacement is the prefix of the keys with the worker of each long-running task, by the name of the task.
const prefixPlacement = "t/"

// placementRecord is the value of a task's key.
type placementRecord struct {
	// Worker is the ID of the worker on which the task was last started, or is about to be.
	Worker string
}

// recordsPlacement reports whether the log holds the worker of each start of the task. It doesn't if a leader of an earlier
// version of the program may have started it.
func (s *Scheduler) recordsPlacement(t *task) bool {
	return t.step().LongRunning && !t.step().Speculative && t.job().acceptedTerm >= s.placementsSince
}

// recordPlacement has the worker of the task's next run written, unless the record of the last one names it.
func (s *Scheduler) recordPlacement(t *task, w *Worker) {
	if !s.recordsPlacement(t) || t.placedOn == w.ID {
		return
	}
	t.placedOn, t.placedBatch = w.ID, s.journal.openBatch
	rec := placementRecord{Worker: w.ID}
	s.journal.records = append(s.journal.records, Record{Key: prefixPlacement + t.name, Value: encode(&rec)})
}

// sendRecordedStarts orders the starts whose workers are in the log. A start is taken back if its worker takes no tasks any
// more, or if the worker or the quota of the team has shrunk meanwhile.
func (s *Scheduler) sendRecordedStarts(now time.Time) {
	if s.halted {
		return
	}
	s.recordedStarts = slices.DeleteFunc(s.recordedStarts, func(r *run) bool {
		switch {
		case r.worker.runs[runKey{r.task.name, r.number}] != r || r.phase != phaseOrdered:
			return true
		case !r.worker.isUsable() || s.catalog.Evacuated[r.worker.Zone] || !r.worker.used.Fits(r.worker.Capacity),
			!s.mayRestart(r.task.stage):
			s.releaseRun(now, r)
			return true
		case r.task.placedBatch > s.journal.committed:
			return false
		}
		s.orderStart(now, r)
		return true
	})
}

// appendPlacementRemovals appends records to out that remove the workers of the job's tasks.
func (j *Job) appendPlacementRemovals(out []Record) []Record {
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			for _, t := range st.tasks {
				if t.placedOn != "" {
					t.placedOn = ""
					out = append(out, Record{Key: prefixPlacement + t.name})
				}
			}
		}
	}
	return out
}

// restorePlacements restores the workers of long-running tasks, after the jobs. It returns an error for each malformed
// record.
func (s *Scheduler) restorePlacements(records []Record) []error {
	var errs []error
	for _, r := range records {
		name, ok := cutPrefix(r.Key, prefixPlacement)
		if !ok || len(r.Value) == 0 {
			continue
		}
		var rec placementRecord
		if err := msgpack.Unmarshal(r.Value, &rec); err != nil {
			errs = append(errs, errors.Wrapf(err, "dispatch: decode placement of task %s", name))
			continue
		}
		t := s.findTask(name)
		if t == nil || t.job().isFinal() {
			s.journal.records = append(s.journal.records, Record{Key: r.Key})
			continue
		}
		t.placedOn, t.startedBefore = rec.Worker, true
		t.job().started = true
	}
	return errs
}

// hasStartableTask reports whether the stage has a waiting task that certainly runs on no worker that is unaccounted for.
func (s *Scheduler) hasStartableTask(st *stage) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.queued && !s.mayRunUnaccounted(t) })
}

// mayRunUnaccounted reports whether the task of an earlier term may still run on a worker that is unaccounted for.
func (s *Scheduler) mayRunUnaccounted(t *task) bool {
	if !t.job().restored || s.allWorkersAccounted() {
		return false
	}
	if !s.recordsPlacement(t) {
		return true
	}
	if _, ok := s.unaccounted[t.placedOn]; ok {
		return true
	}
	_, hasBacklog := s.backlogged[s.workers[t.placedOn]]
	return hasBacklog
}
