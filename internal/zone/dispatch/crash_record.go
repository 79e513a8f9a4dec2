package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// prefixCrashes is the prefix of the keys with the crashes that are blamed on the tasks of each job.
const prefixCrashes = "c/"

// crashesRecord is the value of a job's key. It is removed once no task of the job is a suspect.
type crashesRecord struct{ Suspects []suspectRecord }

// suspectRecord is the suspicion against one task.
type suspectRecord struct {
	Occurrence, Step, Task int
	Crashes, Pending       []loss
}

// recordCrashes has the crashes blamed on the job's tasks written, and returns the batch that will hold them.
func (j *journal) recordCrashes(job *Job) BatchID {
	j.dirtyCrashes[job] = struct{}{}
	return j.openBatch
}

// appendCrashes appends the records of changed crashes to out.
func (s *Scheduler) appendCrashes(out []Record) []Record {
	if len(s.journal.dirtyCrashes) == 0 {
		return out
	}
	records := map[*Job]*crashesRecord{}
	for t, u := range s.suspects {
		if _, ok := s.journal.dirtyCrashes[t.job()]; !ok {
			continue
		}
		if records[t.job()] == nil {
			records[t.job()] = &crashesRecord{}
		}
		rec := records[t.job()]
		rec.Suspects = append(rec.Suspects, suspectRecord{
			Occurrence: t.stage.occurrence.index, Step: t.stage.index, Task: t.index, Crashes: u.crashes, Pending: u.pending,
		})
	}
	jobs := slices.SortedFunc(maps.Keys(s.journal.dirtyCrashes), func(a, b *Job) int { return cmp.Compare(a.id, b.id) })
	for _, j := range jobs {
		out = j.appendCrashes(out, records[j])
	}
	return out
}

// appendCrashes appends the record of the job's suspects to out, without a value if it has none, which rec says by nil. Of
// more suspects than a record holds, those with the fewest crashes are left out.
func (j *Job) appendCrashes(out []Record, rec *crashesRecord) []Record {
	switch {
	case rec != nil:
		if len(rec.Suspects) > maxRecordedSuspects {
			slices.SortFunc(rec.Suspects, func(a, b suspectRecord) int { return cmp.Compare(len(b.Crashes), len(a.Crashes)) })
			rec.Suspects = rec.Suspects[:maxRecordedSuspects]
		}
		slices.SortFunc(rec.Suspects, func(a, b suspectRecord) int {
			return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
		})
		j.crashesRecorded = true
		return append(out, Record{Key: prefixCrashes + j.id, Value: encode(rec)})
	case j.crashesRecorded:
		j.crashesRecorded = false
		return append(out, Record{Key: prefixCrashes + j.id})
	}
	return out
}

// restoreCrashes restores the suspicions of earlier leaders, after the jobs. It returns an error for each malformed
// record.
func (s *Scheduler) restoreCrashes(now time.Time, records []Record) []error {
	var errs []error
	for _, r := range records {
		id, ok := cutPrefix(r.Key, prefixCrashes)
		if !ok || len(r.Value) == 0 {
			continue
		}
		var rec crashesRecord
		if err := msgpack.Unmarshal(r.Value, &rec); err != nil {
			errs = append(errs, errors.Wrapf(err, "dispatch: decode crashes of job %s", id))
			continue
		}
		j := s.jobs[id]
		if j == nil || j.isFinal() {
			s.journal.records = append(s.journal.records, Record{Key: r.Key})
			continue
		}
		j.crashesRecorded = true
		for _, suspect := range rec.Suspects {
			s.restoreSuspect(now, j, &suspect)
		}
	}
	return errs
}

// restoreSuspect restores the suspicion against a task. A task that is done needs none.
func (s *Scheduler) restoreSuspect(now time.Time, j *Job, rec *suspectRecord) {
	t := j.task(rec.Occurrence, rec.Step, rec.Task)
	if t == nil || t.done {
		s.journal.recordCrashes(j)
		return
	}
	t = t.suspectKey()
	u := s.suspect(t)
	u.crashes, u.pending = rec.Crashes, rec.Pending
	for _, x := range u.crashes {
		l := s.addLapse(now, x.bootID(), x.Address)
		l.lost, l.crashed = true, true
		l.losses = append(l.losses, taskLoss{t, x})
	}
	for _, x := range u.pending {
		l := s.addLapse(now, x.bootID(), x.Address)
		l.lost = true
		l.losses = append(l.losses, taskLoss{t, x})
	}
}
