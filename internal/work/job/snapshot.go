package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/stream/record"
)

// savedTask is a task in a snapshot. It is encoded as an array, without the names of the fields, because a zone has up
// to 50,000 tasks.
type savedTask struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Index      int32
	State      State
	Attempt    int32
	Hop        int32
	Fails      uint8
	Flags      uint8
	Seq        uint64
	Checkpoint []byte
	Output     []byte
	Reason     string
	Worker     string
	Boot       string
	Host       string
	Offset     uint64
}

// The bits of savedTask.Flags.
const (
	flagCancelling = 1 << iota
	flagEvicted
	flagMoveConfirmed
)

// savedJob is a job in a snapshot.
type savedJob struct {
	ID             string        `msgpack:"id"`
	Class          string        `msgpack:"class"`
	Team           string        `msgpack:"team"`
	Count          int           `msgpack:"count"`
	Size           fleet.Size    `msgpack:"size"`
	Body           []byte        `msgpack:"body"`
	RunTime        time.Duration `msgpack:"run"`
	FromZone       string        `msgpack:"from"`
	Digest         uint64        `msgpack:"digest"`
	Cancelled      bool          `msgpack:"cancelled"`
	FinishedOffset uint64        `msgpack:"finished"`
	InRetention    bool          `msgpack:"done"`
	RetentionSeq   uint64        `msgpack:"order"`
	Tasks          []savedTask   `msgpack:"tasks"`
}

// savedTombstone is a tombstone in a snapshot.
type savedTombstone struct {
	ID     string  `msgpack:"id"`
	Offset uint64  `msgpack:"offset"`
	Hops   []int32 `msgpack:"hops"`
}

// savedHolderQuery is an open HolderQuery in a snapshot.
type savedHolderQuery struct {
	Worker string `msgpack:"worker"`
	Offset uint64 `msgpack:"offset"`
}

// savedTable is the content of a snapshot.
type savedTable struct {
	Jobs          []savedJob         `msgpack:"jobs"`
	HolderQueries []savedHolderQuery `msgpack:"doubts"`
	Holds         []Hold             `msgpack:"holds"`
	Tombstones    []savedTombstone   `msgpack:"tombs"`
	Seq           uint64             `msgpack:"seq"`
	RetentionSeq  uint64             `msgpack:"done"`
	NewestIDTime  int64              `msgpack:"newest"`
}

// Snapshot encodes the state of the table. Equal states have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	s := savedTable{Seq: t.seq, RetentionSeq: t.retention.seq, NewestIDTime: t.retention.newestIDTime}
	s.Jobs = make([]savedJob, 0, len(t.jobs))
	for _, j := range t.jobs {
		s.Jobs = append(s.Jobs, j.save())
	}
	slices.SortFunc(s.Jobs, func(a, b savedJob) int { return cmp.Compare(a.ID, b.ID) })
	for w, offset := range t.openHolderQueries {
		s.HolderQueries = append(s.HolderQueries, savedHolderQuery{Worker: w, Offset: offset})
	}
	slices.SortFunc(s.HolderQueries, func(a, b savedHolderQuery) int { return cmp.Compare(a.Worker, b.Worker) })
	s.Holds = t.Holds()
	for _, ref := range t.retention.tombstoneOrder {
		if tb, ok := t.retention.tombstones[ref.id]; ok && tb.offset == ref.offset {
			s.Tombstones = append(s.Tombstones, savedTombstone{ID: ref.id, Offset: tb.offset, Hops: tb.hops})
		}
	}
	data, err := msgpack.Marshal(&s)
	return data, errors.Wrap(err, "job: encode snapshot")
}

// save returns the job as it is stored in a snapshot.
func (j *Job) save() savedJob {
	s := savedJob{
		ID: j.id, Class: j.class, Team: j.team, Count: len(j.tasks), Size: j.size, Body: j.body,
		RunTime: j.runTime, FromZone: j.fromZone, Digest: j.digest, Cancelled: j.cancelled,
		FinishedOffset: j.finishedOffset, InRetention: j.inRetention, RetentionSeq: j.retentionSeq,
		Tasks: make([]savedTask, 0, len(j.tasks)),
	}
	for _, t := range j.tasks {
		if t == nil {
			continue
		}
		st := savedTask{
			Index: t.index, State: t.state, Attempt: t.attempt, Hop: t.hop, Fails: t.failures, Seq: t.seq,
			Checkpoint: t.checkpoint, Output: t.output, Reason: t.reason,
		}
		if t.cancelling {
			st.Flags |= flagCancelling
		}
		if t.evicted {
			st.Flags |= flagEvicted
		}
		if t.moveConfirmed {
			st.Flags |= flagMoveConfirmed
		}
		if p := t.placement; p != nil {
			st.Worker, st.Boot, st.Host, st.Offset = p.worker, p.boot, p.host, p.offset
		}
		s.Tasks = append(s.Tasks, st)
	}
	return s
}

// Restore replaces the state with a snapshot taken at offset base. On an error the state is unchanged.
func (t *Table) Restore(data []byte, base uint64) error {
	s, err := record.DecodeItem[savedTable](record.Item{Kind: "snap", Data: data})
	if err != nil {
		return errors.Wrapf(err, "job: snapshot at offset %d", base)
	}
	restored := New()
	restored.seq, restored.retention.seq, restored.retention.newestIDTime = s.Seq, s.RetentionSeq, s.NewestIDTime
	var listed []*Task
	for i := range s.Jobs {
		if listed, err = restored.restoreJob(&s.Jobs[i], listed); err != nil {
			return errors.Wrapf(err, "job: snapshot at offset %d", base)
		}
	}
	slices.SortFunc(listed, func(a, b *Task) int { return cmp.Compare(a.seq, b.seq) })
	for _, task := range listed {
		if task.state == Moved {
			restored.unconfirmedMoves.push(task)
		} else {
			restored.enqueue(task)
		}
	}
	slices.SortFunc(restored.retention.finished, func(a, b finishedJob) int { return cmp.Compare(a.seq, b.seq) })
	for _, q := range s.HolderQueries {
		restored.openHolderQueries[q.Worker] = q.Offset
	}
	for _, h := range s.Holds {
		restored.holds[h.Worker] = h
	}
	for _, tb := range s.Tombstones {
		restored.retention.tombstones[tb.ID] = tombstone{offset: tb.Offset, hops: tb.Hops}
		restored.retention.tombstoneOrder = append(
			restored.retention.tombstoneOrder, tombstoneRef{id: tb.ID, offset: tb.Offset})
	}
	*t = *restored
	// Each task points to its list. The assignment has copied this one, so its tasks must point to the copy.
	for task := t.unconfirmedMoves.head; task != nil; task = task.next {
		task.list = &t.unconfirmedMoves
	}
	return nil
}

// restoreJob adds a job and appends its tasks that belong in a list to listed.
func (t *Table) restoreJob(s *savedJob, listed []*Task) ([]*Task, error) {
	if s.Count < 1 || s.Count > MaxTasks || len(s.Tasks) > s.Count || t.jobs[s.ID] != nil {
		return listed, malformedError("job %.64q with %d tasks", s.ID, s.Count)
	}
	j := &Job{
		id: s.ID, class: s.Class, team: s.Team, size: s.Size, body: s.Body, runTime: s.RunTime,
		fromZone: s.FromZone, digest: s.Digest, cancelled: s.Cancelled, finishedOffset: s.FinishedOffset,
		inRetention: s.InRetention, retentionSeq: s.RetentionSeq, tasks: make([]*Task, s.Count),
	}
	t.jobs[j.id] = j
	tasks := make([]Task, len(s.Tasks))
	for i := range s.Tasks {
		st := &s.Tasks[i]
		if st.Index < 0 || int(st.Index) >= s.Count || st.State >= numStates || j.tasks[st.Index] != nil {
			return listed, malformedError("task %d of job %.64q", st.Index, s.ID)
		}
		task := &tasks[i]
		*task = Task{
			job: j, index: st.Index, attempt: st.Attempt, hop: st.Hop, failures: st.Fails, state: st.State, seq: st.Seq,
			cancelling: st.Flags&flagCancelling != 0, evicted: st.Flags&flagEvicted != 0,
			moveConfirmed: st.Flags&flagMoveConfirmed != 0,
			checkpoint:    st.Checkpoint, output: st.Output, reason: st.Reason,
		}
		j.tasks[st.Index] = task
		j.counts[task.state]++
		t.counts[task.state]++
		switch {
		case task.state == Running:
			t.addRunning(task, &placement{worker: st.Worker, boot: st.Boot, host: st.Host, offset: st.Offset})
		case task.state == Pending:
			listed = append(listed, task)
		case task.state == Moved && !task.moveConfirmed:
			j.unconfirmedMoves++
			listed = append(listed, task)
		}
	}
	if j.inRetention {
		t.retention.finished = append(t.retention.finished, finishedJob{job: j, seq: j.retentionSeq})
		t.retention.count++
		t.retention.bytes += j.memorySize()
	}
	return listed, nil
}
