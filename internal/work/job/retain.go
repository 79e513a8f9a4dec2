package job

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Retention of finished jobs. It counts jobs, bytes and log offsets only, so that all readers forget a job at the same
// record. A zone of the planned size finishes about 1,600 jobs a day.
const (
	KeepJobs    = 2000
	KeepBytes   = 8 << 20
	KeepOffsets = 1 << 20
	// KeepIDs is how long the id of a forgotten job is remembered, measured between the timestamps of job ids.
	// Hosts refuse keys older than 24 h, so no host writes an accept for an older id.
	KeepIDs = 48 * time.Hour
	// taskBytes is the approximate memory of a task without its output.
	taskBytes = 192
)

// tomb is what remains of a forgotten job.
type tomb struct {
	offset uint64
	// hops holds the hop of each task that was in this zone, -1 for the others. It is nil if all were at hop 0.
	hops []int32
}

// entry is one end of a job in retained.finished. It is void if the job has come back to life since.
type entry struct {
	job *Job
	seq uint64
}

// grave is one entry of retained.order.
type grave struct {
	id     string
	offset uint64
}

// retained decides when finished jobs are forgotten, and remembers their ids so that a late accept cannot run them
// again.
type retained struct {
	// finished is in the order of finishing. count and bytes are those of its valid entries.
	finished []entry
	count    int
	bytes    int
	seq      uint64
	tombs    map[string]tomb
	order    []grave
	// newest is the highest timestamp of the ids of submitted jobs, in milliseconds.
	newest int64
}

// stamp returns the timestamp of a UUIDv7 in milliseconds.
func stamp(id string) int64 {
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

// admit decides whether the id of a new job may be used.
func (r *retained) admit(id string) error {
	ms := stamp(id)
	if _, ok := r.tombs[id]; ok || ms < r.newest-KeepIDs.Milliseconds() {
		return errors.Wrapf(ErrExpired, "id %s", id)
	}
	r.newest = max(r.newest, ms)
	return nil
}

// hop returns the hop with which a task of a forgotten job was last in this zone, -1 if it never was.
func (r *retained) hop(id string, index int) int {
	tb, ok := r.tombs[id]
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

func (r *retained) finish(j *Job, offset uint64) {
	r.seq++
	j.done, j.finished, j.doneSeq = true, offset, r.seq
	r.finished = append(r.finished, entry{job: j, seq: r.seq})
	r.count++
	r.bytes += j.weight()
}

// revive takes a job out of the finished ones because a task of it has come back.
func (r *retained) revive(j *Job) {
	r.count--
	r.bytes -= j.weight()
	j.done = false
}

// weight is the approximate memory of a finished job. It does not change while the job is finished.
func (j *Job) weight() int {
	n := taskBytes
	for _, t := range j.tasks {
		if t != nil {
			n += taskBytes + len(t.output) + len(t.reason)
		}
	}
	return n
}

// forget drops the finished jobs beyond the bounds, oldest first.
func (t *Table) forget(offset uint64) {
	r := &t.retained
	for len(r.finished) > 0 {
		e := r.finished[0]
		valid := e.job.done && e.job.doneSeq == e.seq
		if valid && r.count <= KeepJobs && r.bytes <= KeepBytes && offset-e.job.finished <= KeepOffsets {
			break
		}
		r.finished[0] = entry{}
		r.finished = r.finished[1:]
		if valid {
			r.count--
			r.bytes -= e.job.weight()
			t.drop(e.job, offset)
		}
	}
	for len(r.order) > 0 {
		g := r.order[0]
		if tb, ok := r.tombs[g.id]; ok && tb.offset == g.offset {
			if stamp(g.id) >= r.newest-KeepIDs.Milliseconds() || offset-g.offset <= KeepOffsets {
				break
			}
			delete(r.tombs, g.id)
		}
		r.order = r.order[1:]
	}
}

// drop replaces a job by its tomb.
func (t *Table) drop(j *Job, offset uint64) {
	hops := make([]int32, len(j.tasks))
	plain := true
	for i, task := range j.tasks {
		hops[i] = int32(t.knownHop(j, j.id, i))
		if hops[i] != 0 {
			plain = false
		}
		if task != nil {
			t.counts[task.state]--
		}
	}
	if plain {
		hops = nil
	}
	delete(t.jobs, j.id)
	t.retained.tombs[j.id] = tomb{offset: offset, hops: hops}
	t.retained.order = append(t.retained.order, grave{id: j.id, offset: offset})
}
