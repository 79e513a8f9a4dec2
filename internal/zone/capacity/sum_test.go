package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const slots = 3

var whole = fleet.Size{Cores: 10, Memory: 10}

type work struct {
	key  Key
	task bool
	size fleet.Size
}

// start is a message on its way to the worker.
type start struct {
	work
	holder, grant, boot int
	before              time.Duration
	lost                bool
}

// ended is a task attempt that the worker lists as done until it is told to forget it.
type ended struct {
	work
	changed uint64
}

// world has one fake worker and two hosts. One holds it, and the other may believe that it still does.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	holder  int
	grant   int
	tables  [2]*Table
	call    fleet.Size
	running []work
	sent    []start
	pending []func()
	next    int

	// boot and born are those of the worker's present start. Its clock starts anew.
	boot int
	born time.Duration
	// change counts the task changes at the worker; changed has that of each running task.
	change  uint64
	changed map[Key]uint64
	ended   []ended
	// known, clock and received are of the newest reading of the holder, seen is LeaseRequest.Seen of its next call.
	known           int
	clock, received time.Duration
	seen            uint64
	// leased is set while the newest reading names the holder. After a restart it does not, until the lease was granted
	// for the new boot; the reply to that request is complete.
	leased bool
	// merged counts the incremental statuses that were applied.
	merged int
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), tables: [2]*Table{New(), New()}, changed: map[Key]uint64{}, known: -1}
	w.call = fleet.Size{Cores: w.rng.Int64N(3), Memory: w.rng.Int64N(3)}
	for _, table := range w.tables {
		table.SetCallSize(w.call)
	}
	w.tables[0].Hold("w")
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

// touch notes a change of a task at the worker.
func (w *world) touch() uint64 {
	w.change++
	return w.change
}

func (w *world) status(seen uint64) fleet.Status {
	s := fleet.Status{
		Worker: "w", Boot: fmt.Sprint("b", w.boot), Clock: w.now - w.born, Capacity: whole, Slots: slots, Connections: 64,
		Change: w.change,
	}
	for _, r := range w.running {
		if !r.task {
			s.Calls = append(s.Calls, fleet.Running{Request: r.key.ID, Attempt: 1})
		} else if w.changed[r.key] > seen {
			s.Tasks = append(s.Tasks, fleet.Task{ID: r.key.ID, Attempt: 1, Size: r.size, State: fleet.TaskRunning})
		}
	}
	for _, e := range w.ended {
		if e.changed > seen {
			s.Tasks = append(s.Tasks, fleet.Task{ID: e.key.ID, Attempt: 1, Size: e.size, State: fleet.TaskDone})
		}
	}
	return s
}

func (w *world) release(host int, k work) {
	if k.task {
		w.tables[host].ReleaseTask(w.time(), "w", k.key)
	} else {
		w.tables[host].ReleaseCall(w.time(), "w", k.key)
	}
}

func (w *world) abandon(s start) {
	if s.task {
		w.tables[s.holder].AbandonTask("w", s.key, s.before)
	} else {
		w.tables[s.holder].AbandonCall("w", s.key, s.before)
	}
}

func (w *world) reserve() {
	w.next++
	k := work{key: Key{fmt.Sprint(w.next), 1}, task: w.rng.IntN(2) == 0, size: w.call}
	host := w.holder
	if w.rng.IntN(4) == 0 {
		host = 1 - host
	}
	table := w.tables[host]
	if k.task {
		k.size = fleet.Size{Cores: 1 + w.rng.Int64N(6), Memory: 1 + w.rng.Int64N(6)}
		if !table.ReserveTask("w", k.key, k.size) {
			return
		}
	} else if _, ok := table.ReserveCall(w.rng, "c", k.key); !ok {
		return
	}
	if host != w.holder {
		// The former holder still believes in its lease. Its grant is an old one.
		w.sent = append(w.sent, start{work: k, holder: host, grant: w.grant - 1, boot: w.boot, before: w.now - w.born + 1000})
		return
	}
	if !w.leased {
		// The fence is asked for immediately before the send, and there is none.
		w.release(w.holder, k)
		return
	}
	before := w.clock + w.now - w.received + 1000
	s := start{work: k, holder: host, grant: w.grant, boot: w.known, before: before, lost: w.rng.IntN(4) == 0}
	w.sent = append(w.sent, s)
}

// arrive delivers a start. Its sender hears of it unless the reply is lost.
func (w *world) arrive() {
	if len(w.sent) == 0 {
		return
	}
	i := w.rng.IntN(len(w.sent))
	s := w.sent[i]
	if s.lost && w.rng.IntN(2) == 0 {
		s.lost = false
		w.abandon(s)
		w.sent[i] = s
		return
	}
	w.sent = append(w.sent[:i], w.sent[i+1:]...)
	if s.grant != w.grant || s.boot != w.boot || w.now-w.born > s.before {
		w.release(s.holder, s.work)
		return
	}
	w.running = append(w.running, s.work)
	if s.task {
		w.changed[s.key] = w.touch()
		w.abandon(s)
	}
}

func (w *world) finish() {
	if len(w.running) == 0 {
		return
	}
	i := w.rng.IntN(len(w.running))
	r := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	if r.task {
		w.ended = append(w.ended, ended{r, w.touch()})
	}
	w.hear(r)
}

// hear tells the hosts of the end of an attempt, or not.
func (w *world) hear(r work) {
	for host := range w.tables {
		if w.rng.IntN(2) == 0 {
			w.release(host, r)
			w.release(host, r)
		} else {
			// The answer is lost: the next status has to show that it ended.
			w.abandon(start{work: r, holder: host, before: w.now - w.born})
		}
	}
}

// ask requests a status. The lease package passes replies on in the order of the worker's clock, and the first of a
// boot or holder only if it is complete.
func (w *world) ask() {
	seen := w.seen
	if w.rng.IntN(8) == 0 {
		seen = 0
	}
	s, boot, sent, host := w.status(seen), w.boot, w.now, w.holder
	w.pending = append(w.pending, func() {
		if host != w.holder || boot == w.known && s.Clock < w.clock || boot != w.known && sent < w.received {
			return
		}
		fresh := boot != w.known
		w.known, w.clock, w.received = boot, s.Clock, w.now
		if fresh && seen != 0 {
			w.seen, w.leased = 0, false
			return
		}
		if w.tables[host].Apply(s, epoch.Add(sent), seen == 0) {
			w.seen, w.leased = s.Change, true
			if seen != 0 {
				w.merged++
			}
		}
	})
}

func (w *world) hand() {
	if w.rng.IntN(2) == 0 {
		w.tables[w.holder].Unhold("w")
	}
	w.holder = 1 - w.holder
	w.grant++
	w.tables[w.holder].Hold("w")
	w.pending, w.seen, w.known, w.leased = nil, 0, -1, false
}

// reboot ends all that runs, and the worker's clock and change numbers start anew.
func (w *world) reboot() {
	for _, r := range w.running {
		w.hear(r)
	}
	w.boot++
	w.born, w.change, w.ended, w.running = w.now, 0, nil, nil
}

func (w *world) step() {
	w.now += time.Duration(w.rng.IntN(200))
	switch w.rng.IntN(13) {
	case 0, 1, 2, 3:
		w.reserve()
	case 4, 5, 6:
		w.arrive()
	case 7, 8:
		w.finish()
	case 9:
		w.ask()
	case 10, 11:
		if n := len(w.pending); n > 0 {
			i := w.rng.IntN(n)
			f := w.pending[i]
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			f()
		}
	case 12:
		switch w.rng.IntN(8) {
		case 0:
			w.hand()
		case 1:
			w.reboot()
		}
	}
}

// TestSum guards against a worker being given more than it holds, the calls of all slots included, and against
// resources that stay reserved, while messages are late or lost, statuses list changes only, the holder changes and
// the worker restarts.
func TestSum(t *testing.T) {
	merged := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		for range 400 {
			w.step()
			calls, used := 0, fleet.Size{}
			for _, r := range w.running {
				if used = used.Add(r.size); !r.task {
					calls++
				}
			}
			if calls > slots || !used.Fits(whole) {
				t.Fatalf("worker runs %d calls of %+v and uses %+v", calls, w.call, used)
			}
		}
		merged += w.merged
		for len(w.sent) > 0 {
			w.now += 2000
			w.arrive()
		}
		for len(w.running) > 0 {
			w.finish()
		}
		w.now += 5000
		table := w.tables[w.holder]
		table.Apply(w.status(0), w.time(), true)
		want := whole.Sub(fleet.Size{Cores: slots * w.call.Cores, Memory: slots * w.call.Memory})
		if room, _ := table.Room("w"); room != want || table.Free() != slots {
			t.Fatalf("without work %+v and %d slots are free", room, table.Free())
		}
	})
	if merged == 0 {
		t.Fatal("no incremental status was applied")
	}
}
