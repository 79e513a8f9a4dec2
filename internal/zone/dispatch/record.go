package dispatch

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// BatchID identifies a batch of records. The changes in a batch are durable once it is committed.
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
	Queue string
	// AcceptedWall is when the job was accepted, in milliseconds since 1970.
	AcceptedWall int64
	Spec         *workflow.Spec
	FinalState   State
	// EndedWall is when the job became final, in milliseconds since 1970.
	EndedWall int64
	// Term is the fencing token of the term that accepted the job.
	Term int64
	// Team is the name of the job's team, empty for none.
	Team string
	// Size is the largest size of a task, once the job is final.
	Size fleet.Size
}

// progressRecord is the progress of a job.
type progressRecord struct {
	// NextOccurrence is the first occurrence that has not begun.
	NextOccurrence int
	Open           []occurrenceRecord
}

// occurrenceRecord is the progress of one occurrence. Done has a bit for each task of each step; nil stands for a step
// without done tasks, and an empty slice for a step that is done.
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

// journal collects changes until they are written, and tracks which of them are durable.
type journal struct {
	// openBatch is the batch that is being collected, committed the newest durable one.
	openBatch BatchID
	committed BatchID
	dirtyJobs []*Job
	records   []Record
	// recorded holds the workers of which the records say that tasks may run there.
	recorded []*Worker
	// dirtyStops holds the workers whose stops are to be written.
	dirtyStops map[*Worker]struct{}
	// dirtyCapacities holds the services whose known capacities are to be written.
	dirtyCapacities map[string]struct{}
	// dirtyCrashes holds the jobs with tasks on which other crashes are blamed than the log says.
	dirtyCrashes map[*Job]struct{}
	// leasesAt is the time as of which the leases are to be recorded, the zero time if nothing is to be recorded of them.
	leasesAt time.Time
	// endAcks names the workers whose new ends are acknowledged once the open batch is committed.
	endAcks map[*Worker]struct{}
}

// newJournal returns a journal without changes.
func newJournal() journal {
	return journal{
		openBatch: 1, dirtyStops: map[*Worker]struct{}{}, dirtyCapacities: map[string]struct{}{},
		dirtyCrashes: map[*Job]struct{}{}, endAcks: map[*Worker]struct{}{},
	}
}

// markDirty adds the job to those to be written and returns the batch that will hold its change.
func (j *journal) markDirty(job *Job) BatchID {
	if !job.dirty {
		job.dirty = true
		j.dirtyJobs = append(j.dirtyJobs, job)
	}
	return j.openBatch
}

// deleteJob adds a record that removes the job.
func (j *journal) deleteJob(job *Job) {
	j.records = append(j.records, Record{Key: prefixJob + job.id})
}

// recordWorker adds a record that tasks may run on the worker, and returns its batch.
func (j *journal) recordWorker(w *Worker) BatchID {
	rec := workerRecord{Boot: w.Boot, Service: w.Service, Address: w.Address, Zone: w.Zone}
	j.records = append(j.records, Record{Key: prefixWorker + w.ID, Value: encode(&rec)})
	j.recorded = append(j.recorded, w)
	return j.openBatch
}

// deleteWorker adds a record that removes the worker with the ID.
func (j *journal) deleteWorker(id string) {
	j.records = append(j.records, Record{Key: prefixWorker + id})
}

// acknowledgeEnds has the worker's new ends acknowledged once the open batch is committed.
func (j *journal) acknowledgeEnds(w *Worker) {
	if w.lastEnd > w.durableEnd {
		j.endAcks[w] = struct{}{}
	}
}

// encode encodes a record, with structs as arrays. It can't fail for the record types of this package.
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
	// recorded holds the workers on which tasks may be started once the batch is committed.
	recorded []*Worker
	// cleared holds the workers that the record of leases in the batch is the first not to list any more.
	cleared []*Worker
}

// endAck says that the ends of a worker up to a serial are part of the batch.
type endAck struct {
	worker *Worker
	boot   int64
	serial int64
}

// TakeBatch returns the changes since the last batch and opens a new one. It returns false if nothing has changed.
func (s *Scheduler) TakeBatch() (Batch, bool) {
	j := &s.journal
	if len(j.dirtyJobs) == 0 && len(j.records) == 0 && len(j.dirtyStops) == 0 && len(j.dirtyCapacities) == 0 &&
		len(j.dirtyCrashes) == 0 && len(j.endAcks) == 0 && j.leasesAt.IsZero() {
		return Batch{}, false
	}
	b := Batch{ID: j.openBatch, Records: j.records, recorded: j.recorded}
	for _, job := range j.dirtyJobs {
		job.dirty = false
		b.Records = job.appendRecords(b.Records)
	}
	for _, w := range sortWorkers(j.dirtyStops) {
		b.Records = append(b.Records, stopsOf(w))
	}
	for _, service := range slices.Sorted(maps.Keys(j.dirtyCapacities)) {
		b.Records = append(b.Records, s.capacitiesOf(service))
	}
	b.Records = s.appendCrashes(b.Records)
	for _, w := range sortWorkers(j.endAcks) {
		b.ends = append(b.ends, endAck{worker: w, boot: w.Boot, serial: w.lastEnd})
	}
	if !j.leasesAt.IsZero() {
		var leases Record
		leases, b.cleared = s.makeLeaseRecord(j.leasesAt)
		b.Records = append(b.Records, leases)
	}
	j.dirtyJobs, j.records, j.recorded, j.leasesAt = nil, nil, nil, time.Time{}
	clear(j.dirtyStops)
	clear(j.dirtyCapacities)
	clear(j.dirtyCrashes)
	clear(j.endAcks)
	j.openBatch++
	return b, true
}

// sortWorkers returns the workers of a set, ordered by ID.
func sortWorkers(set map[*Worker]struct{}) []*Worker {
	return slices.SortedFunc(maps.Keys(set), func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
}

// MarkCommitted notes that the batch is durable.
func (s *Scheduler) MarkCommitted(b Batch) {
	s.journal.committed = max(s.journal.committed, b.ID)
	for _, w := range b.recorded {
		s.markChanged(w)
	}
	s.releaseLeases(b.cleared)
	for _, e := range b.ends {
		if e.worker.Boot == e.boot {
			e.worker.durableEnd = max(e.worker.durableEnd, e.serial)
		}
	}
}

// CommittedBatch returns the ID of the newest durable batch.
func (s *Scheduler) CommittedBatch() BatchID { return s.journal.committed }

// appendRecords appends the records of the job's present state to out.
func (j *Job) appendRecords(out []Record) []Record {
	if j.isFinal() {
		rec := jobRecord{
			Queue: j.queue, AcceptedWall: j.acceptedWall.UnixMilli(), FinalState: j.finalState, Team: j.team,
		}
		if j.team != "" {
			rec.Size = j.largestTask()
		}
		rec.EndedWall = j.acceptedWall.Add(j.endedAt.Sub(j.acceptedAt)).UnixMilli()
		out = append(out, Record{Key: prefixJob + j.id, Value: encode(&rec)}, Record{Key: prefixProgress + j.id})
		return j.appendPlacementRemovals(out)
	}
	if !j.stored {
		j.stored = true
		out = append(out, j.specRecord())
		if j.spec.OccurrenceCount == 0 && j.hasNoProgress() {
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

// specRecord returns the record of a job that has not ended.
func (j *Job) specRecord() Record {
	rec := jobRecord{
		Queue: j.queue, AcceptedWall: j.acceptedWall.UnixMilli(), Spec: &j.spec, Term: j.acceptedTerm, Team: j.team,
	}
	return Record{Key: prefixJob + j.id, Value: encode(&rec)}
}

// hasNoProgress reports whether no task of the job is done or has failed.
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

// progress returns the record of the occurrence.
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

// Restore rebuilds the state of earlier terms from the newest record of each key. It compares wall, the host's wall
// clock, with the recorded times to tell how old the jobs are. The previous leader gave no order after ordersUntil.
// Malformed records are left out and returned as errors.
func (s *Scheduler) Restore(now, wall time.Time, records []Record, ordersUntil time.Time) []error {
	s.wallOffset = wall.Sub(now)
	var errs []error
	progress := map[string]progressRecord{}
	for _, r := range records {
		if name, ok := cutPrefix(r.Key, prefixQueue); ok && len(r.Value) > 0 {
			if err := s.restoreQueue(name, r.Value); err != nil {
				errs = append(errs, err)
			}
		}
		if name, ok := cutPrefix(r.Key, prefixTeam); ok && len(r.Value) > 0 {
			if err := s.restoreTeam(name, r.Value); err != nil {
				errs = append(errs, err)
			}
		}
		if id, ok := cutPrefix(r.Key, prefixProgress); ok && len(r.Value) > 0 {
			var rec progressRecord
			if err := msgpack.Unmarshal(r.Value, &rec); err != nil {
				errs = append(errs, errors.Wrapf(err, "dispatch: decode progress of job %s", id))
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
		if service, ok := cutPrefix(r.Key, prefixCapacities); ok {
			if err := s.restoreCapacities(service, r.Value); err != nil {
				errs = append(errs, err)
			}
		}
		if id, ok := cutPrefix(r.Key, prefixStops); ok {
			if err := s.restoreStops(id, r.Value); err != nil {
				errs = append(errs, err)
			}
		}
		if id, ok := cutPrefix(r.Key, prefixWorker); ok {
			if err := s.restoreWorker(id, r.Value); err != nil {
				errs = append(errs, err)
			}
		}
	}
	for id := range s.restoredStops {
		if _, ok := s.unaccounted[id]; !ok {
			s.deleteRestoredStops(id)
		}
	}
	errs = append(errs, s.restorePlacements(records)...)
	errs = append(errs, s.restoreUnanswered(now, records)...)
	errs = append(errs, s.restoreCrashes(now, records)...)
	if err := s.restoreLeases(now, records, ordersUntil); err != nil {
		errs = append(errs, err)
	}
	s.countRestored()
	s.recordLeases(now)
	// The catalog may be newer than the recorded terms of teams without open jobs.
	s.keepTeams()
	return errs
}

// restoreJob restores a job from its record and its progress. It returns an error if the job's record is malformed.
func (s *Scheduler) restoreJob(now, wall time.Time, id string, value []byte, p progressRecord) error {
	var rec jobRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: decode job %s", id)
	}
	acceptedWall := time.UnixMilli(rec.AcceptedWall)
	acceptedAt := now.Add(-max(0, wall.Sub(acceptedWall)))
	var spec workflow.Spec
	if rec.Spec != nil {
		spec = *rec.Spec
	}
	if rec.FinalState == "" {
		if err := spec.Validate(); err != nil {
			return errors.Wrapf(err, "dispatch: validate job %s", id)
		}
	}
	j := s.newJob(id, rec.Queue, spec, acceptedAt, acceptedWall)
	j.stored, j.acceptedTerm, j.finalSize = true, rec.Term, rec.Size
	s.setTeam(j, rec.Team)
	if rec.FinalState != "" {
		j.finalState = rec.FinalState
		j.endedAt = now.Add(-max(0, wall.Sub(time.UnixMilli(rec.EndedWall))))
		s.jobs[id] = j
		s.countOverhead(j)
		if j.isDenied() {
			s.denied++
		}
		return nil
	}
	s.jobs[id] = j
	j.restored = true
	s.applyQueue(j)
	s.openJob(j)
	s.countOverhead(j)
	if q, ok := s.catalog.Queues[j.queue]; ok {
		s.keepQueue(q)
	}
	for _, o := range p.Open {
		if _, ok := j.openOccurrences[o.Index]; ok || o.Index < 0 || o.Index >= spec.Occurrences() {
			s.removeJob(j)
			return errors.Newf("dispatch: invalid occurrence %d of %d in the progress of job %s", o.Index, spec.Occurrences(), id)
		}
		s.restoreOccurrence(now, j, o)
	}
	j.nextOccurrence = max(j.nextOccurrence, p.NextOccurrence)
	s.openDueOccurrences(now, j)
	if len(j.openOccurrences) == 0 && j.nextOccurrence >= j.spec.Occurrences() {
		s.close(now, j, StateCompleted)
	}
	return nil
}

// restoreOccurrence restores an occurrence with its done tasks and failed runs.
func (s *Scheduler) restoreOccurrence(now time.Time, j *Job, rec occurrenceRecord) {
	o := s.addOccurrence(now, j, rec.Index)
	for _, f := range rec.Failed {
		if f[0] >= 0 && f[0] < len(o.stages) && f[1] >= 0 && f[1] < len(o.stages[f[0]].tasks) {
			t := o.stages[f[0]].tasks[f[1]]
			t.failedRuns = append(t.failedRuns, f[2])
			t.lastRun = max(t.lastRun, f[2])
			j.started, o.hasStarted = true, true
		}
	}
	for i, done := range rec.Done {
		if i >= len(o.stages) || done == nil {
			continue
		}
		for n, t := range o.stages[i].tasks {
			if len(done) == 0 || (n/8 < len(done) && done[n/8]&(1<<(n%8)) != 0) {
				j.started, o.hasStarted = true, true
				s.finishTask(now, t)
			}
		}
	}
}

// restoreWorker restores a worker on which tasks may run. It returns an error if the record is malformed.
func (s *Scheduler) restoreWorker(id string, value []byte) error {
	var rec workerRecord
	if err := msgpack.Unmarshal(value, &rec); err != nil {
		return errors.Wrapf(err, "dispatch: decode worker %s", id)
	}
	// restoreLeases sets the time.
	s.unaccounted[id] = time.Time{}
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

// cutPrefix returns the part of the key after the prefix. It returns false if the key has another prefix or nothing
// after it.
func cutPrefix(key, prefix string) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return key[len(prefix):], true
}

// OpenBatch returns the ID of the batch that is being collected.
func (s *Scheduler) OpenBatch() BatchID { return s.journal.openBatch }
