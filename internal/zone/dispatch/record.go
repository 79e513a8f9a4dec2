package dispatch

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// BatchID names a batch of records. What it stands for is durable once the batch is committed.
type BatchID uint64

// Record is one keyed record of the log. A record without a value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// The prefixes of keys. The progress of a job is kept apart from its specification, which never changes.
const (
	prefixJob      = "j/"
	prefixProgress = "p/"
	prefixWorker   = "w/"
)

// jobRecord is the value of a job's key. Spec is nil once the job is final.
type jobRecord struct {
	Queue        string
	AcceptedWall int64
	Spec         *workflow.Spec
	FinalState   State
	// EndedWall is when the job became final.
	EndedWall int64
}

// progressRecord is what has been achieved of a job.
type progressRecord struct {
	// NextOccurrence is the first occurrence that has not begun.
	NextOccurrence int
	Open           []occurrenceRecord
}

// occurrenceRecord is the progress of one occurrence. Done has a bit for each task of each step; nil stands for a
// step without done tasks and an empty one for a step that is done.
type occurrenceRecord struct {
	Index int
	Done  [][]byte
	// Failed has rows of step, task and run number.
	Failed [][3]int
}

// workerRecord says that tasks may run on a worker.
type workerRecord struct {
	Boot    int64
	Service string
	Address string
	Zone    string
}

// journal collects changes until they are written and tracks which are durable.
type journal struct {
	// openBatch is the ticket of the batch that is being collected.
	openBatch BatchID
	committed BatchID
	dirtyJobs []*Job
	records   []Record
	endAcks   map[*Worker]struct{}
}

func newJournal() journal {
	return journal{openBatch: 1, endAcks: map[*Worker]struct{}{}}
}

// markDirty notes that the job has changed and returns the ticket of the change.
func (j *journal) markDirty(job *Job) BatchID {
	if !job.dirty {
		job.dirty = true
		j.dirtyJobs = append(j.dirtyJobs, job)
	}
	return j.openBatch
}

// deleteJob forgets a job.
func (j *journal) deleteJob(job *Job) {
	j.records = append(j.records, Record{Key: prefixJob + job.id})
}

func (j *journal) recordWorker(w *Worker) BatchID {
	rec := workerRecord{Boot: w.Boot, Service: w.Service, Address: w.Address, Zone: w.Zone}
	j.records = append(j.records, Record{Key: prefixWorker + w.ID, Value: encode(&rec)})
	return j.openBatch
}

func (j *journal) deleteWorker(w *Worker) { j.deleteWorkerID(w.ID) }

func (j *journal) deleteWorkerID(id string) {
	j.records = append(j.records, Record{Key: prefixWorker + id})
}

// acknowledgeEnds acknowledges the ends of the worker with the current batch.
func (j *journal) acknowledgeEnds(w *Worker) {
	if w.lastEnd > w.durableEnd {
		j.endAcks[w] = struct{}{}
	}
}

// encode encodes a record, structs as arrays; the types of this file always can be.
func encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		panic(errors.Wrap(err, "dispatch: encode record"))
	}
	return buf.Bytes()
}

// Batch is a set of records that are written together.
type Batch struct {
	ID      BatchID
	Records []Record
	ends    []endAck
}

// endAck says that the ends of a worker up to a serial are in the batch.
type endAck struct {
	worker *Worker
	boot   int64
	serial int64
}

// TakeBatch returns what has changed since the last batch, false if nothing has.
func (s *Scheduler) TakeBatch() (Batch, bool) {
	j := &s.journal
	if len(j.dirtyJobs) == 0 && len(j.records) == 0 && len(j.endAcks) == 0 {
		return Batch{}, false
	}
	b := Batch{ID: j.openBatch, Records: j.records}
	for _, job := range j.dirtyJobs {
		job.dirty = false
		b.Records = job.appendRecords(b.Records)
	}
	for w := range j.endAcks {
		b.ends = append(b.ends, endAck{worker: w, boot: w.Boot, serial: w.lastEnd})
	}
	slices.SortFunc(b.ends, func(a, c endAck) int { return cmp.Compare(a.worker.ID, c.worker.ID) })
	j.dirtyJobs, j.records, j.endAcks = nil, nil, map[*Worker]struct{}{}
	j.openBatch++
	return b, true
}

// MarkCommitted notes that the batch is durable.
func (s *Scheduler) MarkCommitted(b Batch) {
	s.journal.committed = max(s.journal.committed, b.ID)
	for _, e := range b.ends {
		if e.worker.Boot == e.boot {
			e.worker.durableEnd = max(e.worker.durableEnd, e.serial)
		}
	}
}

// CommittedBatch returns the newest committed ticket.
func (s *Scheduler) CommittedBatch() BatchID { return s.journal.committed }

// appendRecords appends the appendRecords of the job's present state.
func (j *Job) appendRecords(out []Record) []Record {
	if j.isFinal() {
		rec := jobRecord{Queue: j.queue, AcceptedWall: j.acceptedWall.UnixMilli(), FinalState: j.finalState}
		rec.EndedWall = j.acceptedWall.Add(j.endedAt.Sub(j.acceptedAt)).UnixMilli()
		return append(out, Record{Key: prefixJob + j.id, Value: encode(&rec)}, Record{Key: prefixProgress + j.id})
	}
	if !j.stored {
		j.stored = true
		rec := jobRecord{Queue: j.queue, AcceptedWall: j.acceptedWall.UnixMilli(), Spec: &j.spec}
		out = append(out, Record{Key: prefixJob + j.id, Value: encode(&rec)})
		if j.spec.Times == 0 && j.hasNoProgress() {
			return out
		}
	}
	rec := progressRecord{NextOccurrence: j.nextOccurrence}
	for _, o := range j.openOccurrences {
		rec.Open = append(rec.Open, o.progress())
	}
	slices.SortFunc(rec.Open, func(a, b occurrenceRecord) int { return cmp.Compare(a.Index, b.Index) })
	return append(out, Record{Key: prefixProgress + j.id, Value: encode(&rec)})
}

// hasNoProgress reports whether no task has ended yet.
func (j *Job) hasNoProgress() bool {
	for _, o := range j.openOccurrences {
		for _, st := range o.stages {
			if st.done > 0 {
				return false
			}
			for _, t := range st.tasks {
				if len(t.failedRuns) > 0 {
					return false
				}
			}
		}
	}
	return true
}

func (o *occurrence) progress() occurrenceRecord {
	rec := occurrenceRecord{Index: o.index, Done: make([][]byte, len(o.stages))}
	for i, st := range o.stages {
		if st.done == len(st.tasks) {
			rec.Done[i] = []byte{}
			continue
		}
		for n, t := range st.tasks {
			if t.done {
				if rec.Done[i] == nil {
					rec.Done[i] = make([]byte, (len(st.tasks)+7)/8)
				}
				rec.Done[i][n/8] |= 1 << (n % 8)
			}
			for _, run := range t.failedRuns {
				rec.Failed = append(rec.Failed, [3]int{i, n, run})
			}
		}
	}
	return rec
}

// Restore rebuilds the state of the terms before from the newest record of each key. The clocks tell how old the
// jobs are; wall is the host's wall clock. The leader before has given no order after ordersUntil. Malformed records are
// returned as errors and left out.
func (s *Scheduler) Restore(now, wall time.Time, records []Record, ordersUntil time.Time) []error {
	var errs []error
	progress := map[string]progressRecord{}
	for _, r := range records {
		if id, ok := cutPrefix(r.Key, prefixProgress); ok && len(r.Value) > 0 {
			var rec progressRecord
			if err := msgpack.Unmarshal(r.Value, &rec); err != nil {
				errs = append(errs, errors.Wrapf(err, "dispatch: progress of job %s", id))
				continue
			}
			progress[id] = rec
		}
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		if id, ok := cutPrefix(r.Key, prefixJob); ok {
			if err := s.restoreJob(now, wall, id, r.Value, progress[id]); err != nil {
				errs = append(errs, err)
			}
		}
		if image, ok := cutPrefix(r.Key, prefixLearned); ok {
			if err := s.interference.restoreLearned(image, r.Value); err != nil {
				errs = append(errs, err)
			}
		}
		if id, ok := cutPrefix(r.Key, prefixWorker); ok {
			if err := s.restoreWorker(id, r.Value); err != nil {
				errs = append(errs, err)
			}
		}
	}
	s.accountingDeadline = ordersUntil.Add(time.Duration(float64(s.limits.MaxLease)/minWorkerClockRate) + clockMargin)
	return errs
}

func (s *Scheduler) restoreJob(now, wall time.Time, id string, value []byte, p progressRecord) error {
	var rec jobRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: job %s", id)
	}
	accepted := time.UnixMilli(rec.AcceptedWall)
	arrived := now.Add(-max(0, wall.Sub(accepted)))
	var spec workflow.Spec
	if rec.Spec != nil {
		spec = *rec.Spec
	}
	j := s.newJob(id, rec.Queue, spec, arrived, accepted)
	j.stored = true
	if rec.FinalState != "" {
		j.finalState = rec.FinalState
		j.endedAt = now.Add(-max(0, wall.Sub(time.UnixMilli(rec.EndedWall))))
		s.jobs[id] = j
		return nil
	}
	if err := spec.Validate(); err != nil {
		return errors.Wrapf(err, "dispatch: job %s", id)
	}
	s.jobs[id] = j
	j.restored = true
	s.applyQueue(j)
	for _, o := range p.Open {
		s.restoreOccurrence(now, j, o)
	}
	j.nextOccurrence = max(j.nextOccurrence, p.NextOccurrence)
	s.openDueOccurrences(now, j)
	if len(j.openOccurrences) == 0 && j.nextOccurrence >= j.spec.Occurrences() {
		s.close(now, j, StateCompleted)
	}
	return nil
}

func (s *Scheduler) restoreOccurrence(now time.Time, j *Job, rec occurrenceRecord) {
	o := s.addOccurrence(now, j, rec.Index)
	for _, f := range rec.Failed {
		if f[0] < len(o.stages) && f[1] < len(o.stages[f[0]].tasks) {
			t := o.stages[f[0]].tasks[f[1]]
			t.failedRuns = append(t.failedRuns, f[2])
			j.started = true
		}
	}
	for i, done := range rec.Done {
		if i >= len(o.stages) || done == nil {
			continue
		}
		for n, t := range o.stages[i].tasks {
			if len(done) == 0 || (n/8 < len(done) && done[n/8]&(1<<(n%8)) != 0) {
				j.started = true
				s.finishTask(now, t)
			}
		}
	}
}

func (s *Scheduler) restoreWorker(id string, value []byte) error {
	var rec workerRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: worker %s", id)
	}
	s.unaccounted[id] = struct{}{}
	if w := s.workers[id]; w != nil {
		return nil
	}
	w := &Worker{
		Registration: Registration{
			ID: id, Boot: rec.Boot, Service: rec.Service, Address: rec.Address, Zone: rec.Zone,
		},
		runs: map[runKey]*run{},
	}
	s.workers[id] = w
	s.indexWorker(w)
	return nil
}

// cutPrefix returns what follows the prefix.
func cutPrefix(key, prefix string) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

// OpenBatch returns the ticket of the batch that is being collected.
func (s *Scheduler) OpenBatch() BatchID { return s.journal.openBatch }
