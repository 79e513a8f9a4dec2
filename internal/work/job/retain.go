package job

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// The bounds of the retention of finished jobs. They refer to jobs, bytes, log offsets and the timestamps of job IDs,
// never to the clock of a host, so that all readers remove a job at the same record. A zone of the planned size
// finishes about 1,600 jobs a day.
const (
	// MaxRetainedJobs is the largest number of finished jobs that are retained.
	MaxRetainedJobs = 2000
	// MaxRetainedBytes bounds the approximate memory of the retained jobs, in bytes.
	MaxRetainedBytes = 8 << 20
	// RetentionOffsets is the number of log offsets after which a finished job is removed. A tombstone is kept for at
	// least as many.
	RetentionOffsets = 1 << 20
	// IDRetention is how long the ID of a removed job is kept, measured from its timestamp to that of the newest job ID.
	// An Accept of a new job with an older ID is ignored; hosts refuse keys older than 24 h and write none.
	IDRetention = 48 * time.Hour
	// taskBytes is the approximate memory of a job, or of a task without its output and reason.
	taskBytes = 192
)

// tombstone is what is kept of a removed job.
type tombstone struct {
	offset uint64
	// hops holds the hop of each task that was in this zone, -1 for the others. It is nil if all were at hop 0.
	hops []int32
}

// finishedJob is an entry of retention.finished. It is no longer valid if a task of the job has come back since.
type finishedJob struct {
	job *Job
	seq uint64
}

// tombstoneRef is an entry of retention.tombstoneOrder.
type tombstoneRef struct {
	id     string
	offset uint64
}

// retention decides when finished jobs are removed, and keeps their IDs so that a late Accept cannot run them again.
type retention struct {
	// finished holds the finished jobs, oldest first. count and bytes cover only its valid entries. seq is the number of
	// the last entry.
	finished       []finishedJob
	count          int
	bytes          int
	seq            uint64
	tombstones     map[string]tombstone
	tombstoneOrder []tombstoneRef
	// newestIDTime is the highest timestamp of the IDs of submitted jobs, in milliseconds.
	newestIDTime int64
}

// idTimestamp returns the timestamp of a UUIDv7 in milliseconds, 0 if the ID cannot be parsed.
func idTimestamp(id string) int64 {
	u, err := uuid.Parse(id)
	if err != nil {
		return 0
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// admitID returns ErrExpired if the ID of a new job belongs to a removed job or is too old. Otherwise it
// updates newestIDTime.
func (r *retention) admitID(id string) error {
	ms := idTimestamp(id)
	if _, ok := r.tombstones[id]; ok || ms < r.newestIDTime-IDRetention.Milliseconds() {
		return errors.Wrapf(ErrExpired, "id %s", id)
	}
	r.newestIDTime = max(r.newestIDTime, ms)
	return nil
}

// lastHop returns the hop with which a task of a removed job was last in this zone, -1 if it never was.
func (r *retention) lastHop(id string, index int) int {
	tb, ok := r.tombstones[id]
	switch {
	case !ok:
		return -1
	case tb.hops == nil:
		return 0
	case index >= len(tb.hops):
		return -1
	}
	return int(tb.hops[index])
}

// add retains a job that has finished at an offset.
func (r *retention) add(j *Job, offset uint64) {
	r.seq++
	j.inRetention, j.finishedOffset, j.retentionSeq = true, offset, r.seq
	r.finished = append(r.finished, finishedJob{job: j, seq: r.seq})
	r.count++
	r.bytes += j.memorySize()
}

// reopen takes a job out of retention because one of its tasks has come back.
func (r *retention) reopen(j *Job) {
	r.count--
	r.bytes -= j.memorySize()
	j.inRetention = false
}

// memorySize returns the approximate memory of a finished job in bytes. It does not change while the job is finished.
func (j *Job) memorySize() int {
	n := taskBytes
	for _, t := range j.tasks {
		if t != nil {
			n += taskBytes + len(t.output) + len(t.reason)
		}
	}
	return n
}

// removeOldJobs removes the finished jobs that exceed the bounds of retention, oldest first, and old tombstones.
func (t *Table) removeOldJobs(offset uint64) {
	r := &t.retention
	for len(r.finished) > 0 {
		e := r.finished[0]
		valid := e.job.inRetention && e.job.retentionSeq == e.seq
		if valid && r.count <= MaxRetainedJobs && r.bytes <= MaxRetainedBytes &&
			offset-e.job.finishedOffset <= RetentionOffsets {
			break
		}
		r.finished[0] = finishedJob{}
		r.finished = r.finished[1:]
		if valid {
			r.count--
			r.bytes -= e.job.memorySize()
			t.removeJob(e.job, offset)
		}
	}
	for len(r.tombstoneOrder) > 0 {
		ref := r.tombstoneOrder[0]
		if tb, ok := r.tombstones[ref.id]; ok && tb.offset == ref.offset {
			if idTimestamp(ref.id) >= r.newestIDTime-IDRetention.Milliseconds() ||
				offset-ref.offset <= RetentionOffsets {
				break
			}
			delete(r.tombstones, ref.id)
		}
		r.tombstoneOrder = r.tombstoneOrder[1:]
	}
}

// removeJob replaces a job with its tombstone.
func (t *Table) removeJob(j *Job, offset uint64) {
	hops := make([]int32, len(j.tasks))
	allZero := true
	for i, task := range j.tasks {
		hops[i] = int32(t.knownHop(j, j.id, i))
		if hops[i] != 0 {
			allZero = false
		}
		if task != nil {
			t.counts[task.state]--
		}
	}
	if allZero {
		hops = nil
	}
	delete(t.jobs, j.id)
	t.retention.tombstones[j.id] = tombstone{offset: offset, hops: hops}
	t.retention.tombstoneOrder = append(t.retention.tombstoneOrder, tombstoneRef{id: j.id, offset: offset})
}
