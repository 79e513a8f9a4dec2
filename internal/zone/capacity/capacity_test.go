package capacity

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/platform/fleet"
)

// TestMain fixes the seed so that each run makes the same checks.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

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
	holder int
	before time.Duration
	lost   bool
}

// world has one fake worker and two hosts, of which one holds it.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	holder  int
	tables  [2]*Table
	running []work
	sent    []start
	pending []func()
	next    int
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) status() fleet.Status {
	s := fleet.Status{Worker: "w", Boot: "b", Clock: w.now, Capacity: whole, Slots: slots, Connections: 64}
	for _, r := range w.running {
		if r.task {
			s.Tasks = append(s.Tasks, fleet.Task{ID: r.key.ID, Attempt: 1, Size: r.size, State: fleet.TaskRunning})
		} else {
			s.Calls = append(s.Calls, fleet.Running{Request: r.key.ID, Attempt: 1})
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
	k := work{key: Key{fmt.Sprint(w.next), 1}, task: w.rng.IntN(2) == 0}
	table := w.tables[w.holder]
	if k.task {
		k.size = fleet.Size{Cores: 1 + w.rng.Int64N(6), Memory: 1 + w.rng.Int64N(6)}
		if !table.ReserveTask("w", k.key, k.size) {
			return
		}
	} else if _, ok := table.ReserveCall(w.rng, "c", k.key); !ok {
		return
	}
	w.sent = append(w.sent, start{work: k, holder: w.holder, before: w.now + 1000, lost: w.rng.IntN(4) == 0})
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
	if s.holder != w.holder || w.now > s.before {
		w.release(s.holder, s.work)
		return
	}
	w.running = append(w.running, s.work)
	if s.task {
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
	for host := range w.tables {
		if w.rng.IntN(2) == 0 {
			w.release(host, r)
			w.release(host, r)
		} else {
			// The answer is lost: the next status has to show that it ended.
			w.abandon(start{work: r, holder: host, before: w.now})
		}
	}
}

func (w *world) ask() {
	s, sent, host := w.status(), w.time(), w.holder
	w.pending = append(w.pending, func() {
		if host == w.holder {
			w.tables[host].Apply(s, sent, true)
		}
	})
}

func (w *world) hand() {
	w.tables[w.holder].Unhold("w")
	w.holder = 1 - w.holder
	w.tables[w.holder].Hold("w")
	w.pending = nil
}

// TestSum guards against a worker being given more than it holds, and against resources that stay reserved.
func TestSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), tables: [2]*Table{New(), New()}}
		w.tables[0].Hold("w")
		for range 400 {
			w.now += time.Duration(w.rng.IntN(200))
			switch w.rng.IntN(12) {
			case 0, 1, 2, 3:
				w.reserve()
			case 4, 5, 6:
				w.arrive()
			case 7, 8:
				w.finish()
			case 9:
				w.ask()
			case 10:
				if n := len(w.pending); n > 0 {
					i := w.rng.IntN(n)
					w.pending[i]()
					w.pending = append(w.pending[:i], w.pending[i+1:]...)
				}
			case 11:
				if w.rng.IntN(5) == 0 {
					w.hand()
				}
			}
			calls, used := 0, fleet.Size{}
			for _, r := range w.running {
				if used = used.Add(r.size); !r.task {
					calls++
				}
			}
			if calls > slots || !used.Fits(whole) {
				t.Fatalf("worker runs %d calls and %+v", calls, used)
			}
		}
		for len(w.sent) > 0 {
			w.now += 2000
			w.arrive()
		}
		for len(w.running) > 0 {
			w.finish()
		}
		w.now += 5000
		w.tables[w.holder].Apply(w.status(), w.time(), true)
		if room, _ := w.tables[w.holder].Room("w"); room != whole || w.tables[w.holder].Free() != slots {
			t.Fatalf("without work %+v and %d slots are free", room, w.tables[w.holder].Free())
		}
	})
}

func filled(n int) *Table {
	t := New()
	for i := range n {
		id := fmt.Sprint("w", i)
		t.Hold(id)
		t.Apply(fleet.Status{Worker: id, Boot: "b", Capacity: whole, Slots: 8, Connections: 64}, epoch, true)
	}
	return t
}

// TestUnavailable guards against new work on workers that are leaving, quarantined, not held, or not yet read.
func TestUnavailable(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for name, act := range map[string]func(*Table){
		"leaving":     func(t *Table) { t.SetLeaving("w0", true) },
		"quarantined": func(t *Table) { t.SetQuarantined("w0", true) },
		"unheld":      func(t *Table) { t.Unhold("w0") },
		"not read":    func(t *Table) { t.Unhold("w0"); t.Hold("w0") },
		"draining": func(t *Table) {
			t.Apply(fleet.Status{Worker: "w0", Boot: "b", Slots: 8, Connections: 64, Capacity: whole, Leaving: true}, epoch, false)
		},
	} {
		table := filled(1)
		act(table)
		_, call := table.ReserveCall(rng, "c", Key{"r", 1})
		if task := table.ReserveTask("w0", Key{"t", 1}, fleet.Size{Cores: 1}); call || task || table.Free() != 0 {
			t.Errorf("%s: call %v, task %v, free %d", name, call, task, table.Free())
		}
	}
}

// TestFirstStatus guards against taking a list of changes for all that runs at a worker that was just taken over.
func TestFirstStatus(t *testing.T) {
	table := New()
	table.Hold("w")
	if table.Apply(fleet.Status{Worker: "w", Boot: "b", Capacity: whole, Slots: 8, Connections: 64}, epoch, false) {
		t.Fatal("applied")
	}
	if _, ok := table.Room("w"); ok {
		t.Fatal("the worker is given work")
	}
}

// TestEnded guards against a status that was requested before a task ended and is applied after it.
func TestEnded(t *testing.T) {
	table, k := filled(1), Key{"t", 1}
	table.ReserveTask("w0", k, fleet.Size{Cores: 4})
	table.ReleaseTask(epoch.Add(time.Second), "w0", k)
	s := fleet.Status{Worker: "w0", Boot: "b", Clock: 1, Capacity: whole, Slots: 8, Connections: 64}
	s.Tasks = []fleet.Task{{ID: "t", Attempt: 1, Size: fleet.Size{Cores: 4}, State: fleet.TaskRunning}}
	for i, want := range []int64{10, 6} {
		table.Apply(s, epoch.Add(time.Duration(2*i)*time.Second), true)
		if room, _ := table.Room("w0"); room.Cores != want {
			t.Fatalf("status %d: %d cores are free, want %d", i, room.Cores, want)
		}
	}
}

// TestAvoid guards against a retry on the worker that just failed, and against overlooking the only other one.
func TestAvoid(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	table := filled(3)
	for i := range 8 {
		if id, ok := table.ReserveCall(rng, "c", Key{"r", i}, "w0", "w2"); !ok || id != "w1" {
			t.Fatalf("got %q, %v", id, ok)
		}
	}
	if id, ok := table.ReserveCall(rng, "c", Key{"r", 9}, "w0", "w2"); ok {
		t.Fatalf("got %q though all but avoided workers are full", id)
	}
}

func BenchmarkReserveCall(b *testing.B) {
	for _, n := range []int{66, 300, 910} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng, table, k := rand.New(rand.NewPCG(1, 1)), filled(n), Key{"r", 1}
			for b.Loop() {
				id, _ := table.ReserveCall(rng, "c", k)
				table.ReleaseCall(epoch, id, k)
			}
		})
	}
}
