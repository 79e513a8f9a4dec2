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

// Ticket names a batch of records. What it stands for is durable once the batch is committed.
type Ticket uint64

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
	Queue   string
	Wall    int64
	Spec    *workflow.Spec
	Verdict State
	// EndedWall is when the job became final.
	EndedWall int64
}

// progressRecord is what has been achieved of a job.
type progressRecord struct {
	// Next is the first occurrence that has not begun.
	Next int
	Open []occurrenceRecord
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
	// current is the ticket of the batch that is being collected.
	current   Ticket
	committed Ticket
	dirty     []*Job
	records   []Record
	ends      map[*Worker]struct{}
}

func newJournal() journal {
	return journal{current: 1, ends: map[*Worker]struct{}{}}
}

// touch notes that the job has changed and returns the ticket of the change.
func (j *journal) touch(job *Job) Ticket {
	if !job.dirty {
		job.dirty = true
		j.dirty = append(j.dirty, job)
	}
	return j.current
}

// drop forgets a job.
func (j *journal) drop(job *Job) {
	j.records = append(j.records, Record{Key: prefixJob + job.id})
}

func (j *journal) putWorker(w *Worker) Ticket {
	rec := workerRecord{Boot: w.Boot, Service: w.Service, Address: w.Address, Zone: w.Zone}
	j.records = append(j.records, Record{Key: prefixWorker + w.ID, Value: encode(&rec)})
	return j.current
}

func (j *journal) dropWorker(w *Worker) { j.dropWorkerID(w.ID) }

func (j *journal) dropWorkerID(id string) {
	j.records = append(j.records, Record{Key: prefixWorker + id})
}

// noteEnds acknowledges the ends of the worker with the current batch.
func (j *journal) noteEnds(w *Worker) {
	if w.read > w.durable {
		j.ends[w] = struct{}{}
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
	Ticket  Ticket
	Records []Record
	ends    []endMark
}

// endMark says that the ends of a worker up to a serial are in the batch.
type endMark struct {
	worker *Worker
	boot   int64
	serial int64
}

// Batch returns what has changed since the last batch, false if nothing has.
func (s *Scheduler) Batch() (Batch, bool) {
	j := &s.journal
	if len(j.dirty) == 0 && len(j.records) == 0 && len(j.ends) == 0 {
		return Batch{}, false
	}
	b := Batch{Ticket: j.current, Records: j.records}
	for _, job := range j.dirty {
		job.dirty = false
		b.Records = job.records(b.Records)
	}
	for w := range j.ends {
		b.ends = append(b.ends, endMark{worker: w, boot: w.Boot, serial: w.read})
	}
	slices.SortFunc(b.ends, func(a, c endMark) int { return cmp.Compare(a.worker.ID, c.worker.ID) })
	j.dirty, j.records, j.ends = nil, nil, map[*Worker]struct{}{}
	j.current++
	return b, true
}

// Committed notes that the batch is durable.
func (s *Scheduler) Committed(b Batch) {
	s.journal.committed = max(s.journal.committed, b.Ticket)
	for _, e := range b.ends {
		if e.worker.Boot == e.boot {
			e.worker.durable = max(e.worker.durable, e.serial)
		}
	}
}

// Durable returns the newest committed ticket.
func (s *Scheduler) Durable() Ticket { return s.journal.committed }

// records appends the records of the job's present state.
func (j *Job) records(out []Record) []Record {
	if j.final() {
		rec := jobRecord{Queue: j.queue, Wall: j.wall.UnixMilli(), Verdict: j.verdict}
		rec.EndedWall = j.wall.Add(j.ended.Sub(j.arrived)).UnixMilli()
		return append(out, Record{Key: prefixJob + j.id, Value: encode(&rec)}, Record{Key: prefixProgress + j.id})
	}
	if !j.stored {
		j.stored = true
		rec := jobRecord{Queue: j.queue, Wall: j.wall.UnixMilli(), Spec: &j.spec}
		out = append(out, Record{Key: prefixJob + j.id, Value: encode(&rec)})
		if j.spec.OccurrenceCount == 0 && j.untouched() {
			return out
		}
	}
	rec := progressRecord{Next: j.next}
	for _, o := range j.open {
		rec.Open = append(rec.Open, o.record())
	}
	slices.SortFunc(rec.Open, func(a, b occurrenceRecord) int { return cmp.Compare(a.Index, b.Index) })
	return append(out, Record{Key: prefixProgress + j.id, Value: encode(&rec)})
}

// untouched reports whether no task has ended yet.
func (j *Job) untouched() bool {
	for _, o := range j.open {
		for _, st := range o.stages {
			if st.done > 0 {
				return false
			}
			for _, t := range st.tasks {
				if len(t.failed) > 0 {
					return false
				}
			}
		}
	}
	return true
}

func (o *occurrence) record() occurrenceRecord {
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
			for _, run := range t.failed {
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
	var faults []error
	progress := map[string]progressRecord{}
	for _, r := range records {
		if id, ok := cutPrefix(r.Key, prefixProgress); ok && len(r.Value) > 0 {
			var rec progressRecord
			if err := msgpack.Unmarshal(r.Value, &rec); err != nil {
				faults = append(faults, errors.Wrapf(err, "dispatch: progress of job %s", id))
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
				faults = append(faults, err)
			}
		}
		if image, ok := cutPrefix(r.Key, prefixLearned); ok {
			if err := s.interference.restoreLearned(image, r.Value); err != nil {
				faults = append(faults, err)
			}
		}
		if id, ok := cutPrefix(r.Key, prefixWorker); ok {
			if err := s.restoreWorker(id, r.Value); err != nil {
				faults = append(faults, err)
			}
		}
	}
	s.settleAt = ordersUntil.Add(time.Duration(float64(s.limits.Lease)/clockRate) + clockMargin)
	return faults
}

func (s *Scheduler) restoreJob(now, wall time.Time, id string, value []byte, p progressRecord) error {
	var rec jobRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: job %s", id)
	}
	accepted := time.UnixMilli(rec.Wall)
	arrived := now.Add(-max(0, wall.Sub(accepted)))
	var spec workflow.Spec
	if rec.Spec != nil {
		spec = *rec.Spec
	}
	j := s.newJob(id, rec.Queue, spec, arrived, accepted)
	j.stored = true
	if rec.Verdict != "" {
		j.verdict = rec.Verdict
		j.ended = now.Add(-max(0, wall.Sub(time.UnixMilli(rec.EndedWall))))
		s.jobs[id] = j
		return nil
	}
	if err := spec.Validate(); err != nil {
		return errors.Wrapf(err, "dispatch: job %s", id)
	}
	s.jobs[id] = j
	j.restored = true
	s.refresh(j)
	for _, o := range p.Open {
		s.restoreOccurrence(now, j, o)
	}
	j.next = max(j.next, p.Next)
	s.begin(now, j)
	if len(j.open) == 0 && j.next >= j.spec.Occurrences() {
		s.close(now, j, StateCompleted)
	}
	return nil
}

func (s *Scheduler) restoreOccurrence(now time.Time, j *Job, rec occurrenceRecord) {
	o := s.openOccurrence(now, j, rec.Index)
	for _, f := range rec.Failed {
		if f[0] < len(o.stages) && f[1] < len(o.stages[f[0]].tasks) {
			t := o.stages[f[0]].tasks[f[1]]
			t.failed = append(t.failed, f[2])
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
				s.finish(now, t)
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
		runs: map[key]*run{},
	}
	s.workers[id] = w
	s.index(w)
	return nil
}

// cutPrefix returns what follows the prefix.
func cutPrefix(key, prefix string) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

// Open returns the ticket of the batch that is being collected.
func (s *Scheduler) Open() Ticket { return s.journal.current }
