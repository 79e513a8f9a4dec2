package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const workerSlots = 3

var workerCapacity = fleet.Size{Cores: 10, Memory: 10}

// workItem is an attempt of a call or task.
type workItem struct {
	key    Key
	isTask bool
	size   fleet.Size
}

// startMessage is a start on its way to the worker.
type startMessage struct {
	workItem
	holder, grant, boot int
	startBefore         time.Duration
	replyLost           bool
}

// endedTask is a task attempt that the worker lists as done until it is told to forget it.
type endedTask struct {
	workItem
	changed uint64
}

// simulation has one fake worker and two hosts. One host holds the worker, and the other one may believe that it still
// does.
type simulation struct {
	rng           *rand.Rand
	now           time.Duration
	holder        int
	grant         int
	tables        [2]*Table
	callSize      fleet.Size
	running       []workItem
	starts        []startMessage
	statusReplies []func()
	lastID        int

	// boot and bootedAt are the number and time of the worker's last restart, at which its clock starts at 0.
	boot     int
	bootedAt time.Duration
	// change counts the task changes at the worker. changeOf has the last change of each running task.
	change   uint64
	changeOf map[Key]uint64
	ended    []endedTask
	// readBoot, readClock and readAt are those of the newest status at the holder. seen is LeaseRequest.Seen of its
	// next call.
	readBoot          int
	readClock, readAt time.Duration
	seen              uint64
	// leased is set while the newest status names the holder. After a restart it does not, until the lease is granted
	// for the new boot; the reply to that request is complete.
	leased bool
	// incremental counts the statuses with changes only that were applied.
	incremental int
}

// newSimulation returns a simulation in which the first host holds the worker.
func newSimulation(seed uint64) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), tables: [2]*Table{New(), New()}, changeOf: map[Key]uint64{}, readBoot: -1,
	}
	w.callSize = fleet.Size{Cores: w.rng.Int64N(3), Memory: w.rng.Int64N(3)}
	for _, table := range w.tables {
		table.SetCallSize(w.callSize)
	}
	w.tables[0].AddWorker("w")
	return w
}

// time returns the present time of the simulation.
func (w *simulation) time() time.Time { return epoch.Add(w.now) }

// nextChange counts a change of a task at the worker and returns its number.
func (w *simulation) nextChange() uint64 {
	w.change++
	return w.change
}

// status returns the worker's status with the task changes after seen.
func (w *simulation) status(seen uint64) fleet.Status {
	s := fleet.Status{
		Worker: "w", Boot: fmt.Sprint("b", w.boot), Clock: w.now - w.bootedAt, Capacity: workerCapacity,
		Slots: workerSlots, Connections: 64, Change: w.change,
	}
	for _, r := range w.running {
		if !r.isTask {
			s.Calls = append(s.Calls, fleet.RunningCall{Request: r.key.ID, Attempt: 1})
		} else if w.changeOf[r.key] > seen {
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

// release ends the reservation of k in the host's table.
func (w *simulation) release(host int, k workItem) {
	if k.isTask {
		w.tables[host].ReleaseTask(w.time(), "w", k.key)
	} else {
		w.tables[host].ReleaseCall(w.time(), "w", k.key)
	}
}

// abandon leaves the end of the reservation in the sender's table to the worker's status.
func (w *simulation) abandon(s startMessage) {
	if s.isTask {
		w.tables[s.holder].AbandonTask("w", s.key, s.startBefore)
	} else {
		w.tables[s.holder].AbandonCall("w", s.key, s.startBefore)
	}
}

// reserve makes a reservation for new work and sends its start, sometimes from the former holder.
func (w *simulation) reserve() {
	w.lastID++
	k := workItem{key: Key{fmt.Sprint(w.lastID), 1}, isTask: w.rng.IntN(2) == 0, size: w.callSize}
	host := w.holder
	if w.rng.IntN(4) == 0 {
		host = 1 - host
	}
	table := w.tables[host]
	if k.isTask {
		k.size = fleet.Size{Cores: 1 + w.rng.Int64N(6), Memory: 1 + w.rng.Int64N(6)}
		if !table.ReserveTask("w", k.key, k.size) {
			return
		}
	} else if _, ok := table.ReserveCall(w.rng, "c", k.key); !ok {
		return
	}
	if host != w.holder {
		// The former holder still takes its lease for valid. It sends an old grant.
		w.starts = append(w.starts, startMessage{
			workItem: k, holder: host, grant: w.grant - 1, boot: w.boot, startBefore: w.now - w.bootedAt + 1000,
		})
		return
	}
	if !w.leased {
		// The holder asks for the fence immediately before the send, and there is none.
		w.release(w.holder, k)
		return
	}
	before := w.readClock + w.now - w.readAt + 1000
	s := startMessage{
		workItem: k, holder: host, grant: w.grant, boot: w.readBoot, startBefore: before, replyLost: w.rng.IntN(4) == 0,
	}
	w.starts = append(w.starts, s)
}

// deliverStart delivers a start to the worker. The sender learns the outcome unless the reply is lost.
func (w *simulation) deliverStart() {
	if len(w.starts) == 0 {
		return
	}
	i := w.rng.IntN(len(w.starts))
	s := w.starts[i]
	if s.replyLost && w.rng.IntN(2) == 0 {
		s.replyLost = false
		w.abandon(s)
		w.starts[i] = s
		return
	}
	w.starts = append(w.starts[:i], w.starts[i+1:]...)
	if s.grant != w.grant || s.boot != w.boot || w.now-w.bootedAt > s.startBefore {
		w.release(s.holder, s.workItem)
		return
	}
	w.running = append(w.running, s.workItem)
	if s.isTask {
		w.changeOf[s.key] = w.nextChange()
		w.abandon(s)
	}
}

// finishOne ends a random attempt that the worker runs.
func (w *simulation) finishOne() {
	if len(w.running) == 0 {
		return
	}
	i := w.rng.IntN(len(w.running))
	r := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	if r.isTask {
		w.ended = append(w.ended, endedTask{r, w.nextChange()})
	}
	w.reportEnd(r)
}

// reportEnd tells each host of the end of an attempt, or loses the answer.
func (w *simulation) reportEnd(r workItem) {
	for host := range w.tables {
		if w.rng.IntN(2) == 0 {
			w.release(host, r)
			w.release(host, r)
		} else {
			// The answer is lost, so the next status has to show the end.
			w.abandon(startMessage{workItem: r, holder: host, startBefore: w.now - w.bootedAt})
		}
	}
}

// requestStatus requests a status. As the lease package does, it passes replies on in the order of the worker's clock,
// and the first one of a boot or holder only if it is complete.
func (w *simulation) requestStatus() {
	seen := w.seen
	if w.rng.IntN(8) == 0 {
		seen = 0
	}
	s, boot, sent, host := w.status(seen), w.boot, w.now, w.holder
	w.statusReplies = append(w.statusReplies, func() {
		if host != w.holder || boot == w.readBoot && s.Clock < w.readClock || boot != w.readBoot && sent < w.readAt {
			return
		}
		fresh := boot != w.readBoot
		w.readBoot, w.readClock, w.readAt = boot, s.Clock, w.now
		if fresh && seen != 0 {
			w.seen, w.leased = 0, false
			return
		}
		if w.tables[host].ApplyStatus(s, epoch.Add(sent), seen == 0) {
			w.seen, w.leased = s.Change, true
			if seen != 0 {
				w.incremental++
			}
		}
	})
}

// changeHolder gives the worker to the other host. The former holder learns of it in half of the cases.
func (w *simulation) changeHolder() {
	if w.rng.IntN(2) == 0 {
		w.tables[w.holder].RemoveWorker("w")
	}
	w.holder = 1 - w.holder
	w.grant++
	w.tables[w.holder].AddWorker("w")
	w.statusReplies, w.seen, w.readBoot, w.leased = nil, 0, -1, false
}

// restartWorker ends all running work. The worker's clock and change numbers start anew.
func (w *simulation) restartWorker() {
	for _, r := range w.running {
		w.reportEnd(r)
	}
	w.boot++
	w.bootedAt, w.change, w.ended, w.running = w.now, 0, nil, nil
}

// step advances the time and performs one random event.
func (w *simulation) step() {
	w.now += time.Duration(w.rng.IntN(200))
	switch w.rng.IntN(13) {
	case 0, 1, 2, 3:
		w.reserve()
	case 4, 5, 6:
		w.deliverStart()
	case 7, 8:
		w.finishOne()
	case 9:
		w.requestStatus()
	case 10, 11:
		if n := len(w.statusReplies); n > 0 {
			i := w.rng.IntN(n)
			f := w.statusReplies[i]
			w.statusReplies = append(w.statusReplies[:i], w.statusReplies[i+1:]...)
			f()
		}
	case 12:
		switch w.rng.IntN(8) {
		case 0:
			w.changeHolder()
		case 1:
			w.restartWorker()
		}
	}
}

// TestReservationsNeverExceedCapacity guards against giving a worker more than its capacity, the calls of all slots
// included, and against resources that stay reserved. Messages are late or lost, statuses list changes only, the holder
// changes and the worker restarts.
func TestReservationsNeverExceedCapacity(t *testing.T) {
	merged := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		for range 400 {
			w.step()
			calls, used := 0, fleet.Size{}
			for _, r := range w.running {
				if used = used.Add(r.size); !r.isTask {
					calls++
				}
			}
			if calls > workerSlots || !used.Fits(workerCapacity) {
				t.Fatalf("the worker runs %d calls of %+v and uses %+v", calls, w.callSize, used)
			}
		}
		merged += w.incremental
		for len(w.starts) > 0 {
			w.now += 2000
			w.deliverStart()
		}
		for len(w.running) > 0 {
			w.finishOne()
		}
		w.now += 5000
		table := w.tables[w.holder]
		table.ApplyStatus(w.status(0), w.time(), true)
		want := workerCapacity.Sub(fleet.Size{Cores: workerSlots * w.callSize.Cores, Memory: workerSlots * w.callSize.Memory})
		if room, _ := table.FreeForTasks("w"); room != want || table.FreeSlots() != workerSlots {
			t.Fatalf("%+v and %d slots are free although the worker runs nothing", room, table.FreeSlots())
		}
	})
	if merged == 0 {
		t.Fatal("no incremental status was applied")
	}
}
