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

// savedTask is a task in a snapshot. It is an array since a zone has up to 50,000 of them.
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

const (
	flagCancelling = 1 << iota
	flagResumed
	flagConfirmed
)

type savedJob struct {
	ID        string        `msgpack:"id"`
	Class     string        `msgpack:"class"`
	Team      string        `msgpack:"team"`
	Count     int           `msgpack:"count"`
	Size      fleet.Size    `msgpack:"size"`
	Body      []byte        `msgpack:"body"`
	Run       time.Duration `msgpack:"run"`
	From      string        `msgpack:"from"`
	Digest    uint64        `msgpack:"digest"`
	Cancelled bool          `msgpack:"cancelled"`
	Finished  uint64        `msgpack:"finished"`
	Done      bool          `msgpack:"done"`
	DoneSeq   uint64        `msgpack:"order"`
	Tasks     []savedTask   `msgpack:"tasks"`
}

type savedTomb struct {
	ID     string  `msgpack:"id"`
	Offset uint64  `msgpack:"offset"`
	Hops   []int32 `msgpack:"hops"`
}

type savedDoubt struct {
	Worker string `msgpack:"worker"`
	Offset uint64 `msgpack:"offset"`
}

type savedTable struct {
	Jobs   []savedJob   `msgpack:"jobs"`
	Doubts []savedDoubt `msgpack:"doubts"`
	Holds  []Hold       `msgpack:"holds"`
	Tombs  []savedTomb  `msgpack:"tombs"`
	Seq    uint64       `msgpack:"seq"`
	Done   uint64       `msgpack:"done"`
	Newest int64        `msgpack:"newest"`
}

// Snapshot encodes the state. Equal states have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	s := savedTable{Seq: t.seq, Done: t.retained.seq, Newest: t.retained.newest}
	s.Jobs = make([]savedJob, 0, len(t.jobs))
	for _, j := range t.jobs {
		s.Jobs = append(s.Jobs, j.save())
	}
	slices.SortFunc(s.Jobs, func(a, b savedJob) int { return cmp.Compare(a.ID, b.ID) })
	for w, offset := range t.doubts {
		s.Doubts = append(s.Doubts, savedDoubt{Worker: w, Offset: offset})
	}
	slices.SortFunc(s.Doubts, func(a, b savedDoubt) int { return cmp.Compare(a.Worker, b.Worker) })
	s.Holds = t.Holds()
	for _, g := range t.retained.order {
		if tb, ok := t.retained.tombs[g.id]; ok && tb.offset == g.offset {
			s.Tombs = append(s.Tombs, savedTomb{ID: g.id, Offset: tb.offset, Hops: tb.hops})
		}
	}
	data, err := msgpack.Marshal(&s)
	return data, errors.Wrap(err, "job: encode snapshot")
}

func (j *Job) save() savedJob {
	s := savedJob{
		ID: j.id, Class: j.class, Team: j.team, Count: len(j.tasks), Size: j.size, Body: j.body, Run: j.run, From: j.from,
		Digest: j.digest, Cancelled: j.cancelled, Finished: j.finished, Done: j.done, DoneSeq: j.doneSeq,
		Tasks: make([]savedTask, 0, len(j.tasks)),
	}
	for _, t := range j.tasks {
		if t == nil {
			continue
		}
		st := savedTask{
			Index: t.index, State: t.state, Attempt: t.attempt, Hop: t.hop, Fails: t.fails, Seq: t.seq,
			Checkpoint: t.checkpoint, Output: t.output, Reason: t.reason,
		}
		if t.cancelling {
			st.Flags |= flagCancelling
		}
		if t.resumed {
			st.Flags |= flagResumed
		}
		if t.confirmed {
			st.Flags |= flagConfirmed
		}
		if p := t.place; p != nil {
			st.Worker, st.Boot, st.Host, st.Offset = p.worker, p.boot, p.host, p.offset
		}
		s.Tasks = append(s.Tasks, st)
	}
	return s
}

// Restore replaces the state by a snapshot taken at offset base. On error the state is unchanged.
func (t *Table) Restore(data []byte, base uint64) error {
	s, err := record.DecodeItem[savedTable](record.Item{Kind: "snap", Data: data})
	if err != nil {
		return errors.Wrapf(err, "job: snapshot at offset %d", base)
	}
	n := New()
	n.seq, n.retained.seq, n.retained.newest = s.Seq, s.Done, s.Newest
	var lined []*Task
	for i := range s.Jobs {
		if lined, err = n.restoreJob(&s.Jobs[i], lined); err != nil {
			return errors.Wrapf(err, "job: snapshot at offset %d", base)
		}
	}
	slices.SortFunc(lined, func(a, b *Task) int { return cmp.Compare(a.seq, b.seq) })
	for _, task := range lined {
		if task.state == Moved {
			n.moved.push(task)
		} else {
			n.enqueue(task)
		}
	}
	slices.SortFunc(n.retained.finished, func(a, b entry) int { return cmp.Compare(a.seq, b.seq) })
	for _, d := range s.Doubts {
		n.doubts[d.Worker] = d.Offset
	}
	for _, h := range s.Holds {
		n.holds[h.Worker] = h
	}
	for _, tb := range s.Tombs {
		n.retained.tombs[tb.ID] = tomb{offset: tb.Offset, hops: tb.Hops}
		n.retained.order = append(n.retained.order, grave{id: tb.ID, offset: tb.Offset})
	}
	*t = *n
	// The lists of n are referred to by address.
	for task := t.moved.head; task != nil; task = task.next {
		task.list = &t.moved
	}
	return nil
}

// restoreJob adds a job and appends its tasks that belong to a list.
func (t *Table) restoreJob(s *savedJob, lined []*Task) ([]*Task, error) {
	if s.Count < 1 || s.Count > MaxTasks || len(s.Tasks) > s.Count || t.jobs[s.ID] != nil {
		return lined, malformed("job %.64q with %d tasks", s.ID, s.Count)
	}
	j := &Job{
		id: s.ID, class: s.Class, team: s.Team, size: s.Size, body: s.Body, run: s.Run, from: s.From, digest: s.Digest,
		cancelled: s.Cancelled, finished: s.Finished, done: s.Done, doneSeq: s.DoneSeq, tasks: make([]*Task, s.Count),
	}
	t.jobs[j.id] = j
	tasks := make([]Task, len(s.Tasks))
	for i := range s.Tasks {
		st := &s.Tasks[i]
		if st.Index < 0 || int(st.Index) >= s.Count || st.State >= numStates || j.tasks[st.Index] != nil {
			return lined, malformed("task %d of job %.64q", st.Index, s.ID)
		}
		task := &tasks[i]
		*task = Task{
			job: j, index: st.Index, attempt: st.Attempt, hop: st.Hop, fails: st.Fails, state: st.State, seq: st.Seq,
			cancelling: st.Flags&flagCancelling != 0, resumed: st.Flags&flagResumed != 0,
			confirmed:  st.Flags&flagConfirmed != 0,
			checkpoint: st.Checkpoint, output: st.Output, reason: st.Reason,
		}
		j.tasks[st.Index] = task
		j.counts[task.state]++
		t.counts[task.state]++
		switch {
		case task.state == Running:
			t.occupy(task, &placement{worker: st.Worker, boot: st.Boot, host: st.Host, offset: st.Offset})
		case task.state == Pending:
			lined = append(lined, task)
		case task.state == Moved && !task.confirmed:
			j.unconfirmed++
			lined = append(lined, task)
		}
	}
	if j.done {
		t.retained.finished = append(t.retained.finished, entry{job: j, seq: j.doneSeq})
		t.retained.count++
		t.retained.bytes += j.weight()
	}
	return lined, nil
}
