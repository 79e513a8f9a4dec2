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
	sender, grant, boot int
	latestStart         time.Duration
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
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), tables: [2]*Table{New(), New()}, changeOf: map[Key]uint64{}, readBoot: -1,
	}
	sim.callSize = fleet.Size{Cores: sim.rng.Int64N(3), Memory: sim.rng.Int64N(3)}
	for _, table := range sim.tables {
		table.SetCallSize(sim.callSize)
	}
	sim.tables[0].AddWorker("w")
	return sim
}

// time returns the present time of the simulation.
func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

// nextChange counts a change of a task at the worker and returns its number.
func (sim *simulation) nextChange() uint64 {
	sim.change++
	return sim.change
}

// status returns the worker's status with the task changes after seen.
func (sim *simulation) status(seen uint64) fleet.Status {
	s := fleet.Status{
		Worker: "w", Boot: fmt.Sprint("b", sim.boot), Clock: sim.now - sim.bootedAt, Capacity: workerCapacity,
		Slots: workerSlots, Connections: 64, Change: sim.change,
	}
	for _, r := range sim.running {
		if !r.isTask {
			s.Calls = append(s.Calls, fleet.RunningCall{Request: r.key.ID, Attempt: 1})
		} else if sim.changeOf[r.key] > seen {
			s.Tasks = append(s.Tasks, fleet.Task{ID: r.key.ID, Attempt: 1, Size: r.size, State: fleet.TaskRunning})
		}
	}
	for _, e := range sim.ended {
		if e.changed > seen {
			s.Tasks = append(s.Tasks, fleet.Task{ID: e.key.ID, Attempt: 1, Size: e.size, State: fleet.TaskDone})
		}
	}
	return s
}

// release ends the reservation of the work item in the host's table.
func (sim *simulation) release(host int, item workItem) {
	if item.isTask {
		sim.tables[host].ReleaseTask(sim.time(), "w", item.key)
	} else {
		sim.tables[host].ReleaseCall(sim.time(), "w", item.key)
	}
}

// abandon leaves the end of the reservation in the sender's table to the worker's status.
func (sim *simulation) abandon(s startMessage) {
	if s.isTask {
		sim.tables[s.sender].AbandonTask("w", s.key, s.latestStart)
	} else {
		sim.tables[s.sender].AbandonCall("w", s.key, s.latestStart)
	}
}

// reserve makes a reservation for new work and sends its start, sometimes from the former holder.
func (sim *simulation) reserve() {
	sim.lastID++
	item := workItem{key: Key{fmt.Sprint(sim.lastID), 1}, isTask: sim.rng.IntN(2) == 0, size: sim.callSize}
	host := sim.holder
	if sim.rng.IntN(4) == 0 {
		host = 1 - host
	}
	table := sim.tables[host]
	if item.isTask {
		item.size = fleet.Size{Cores: 1 + sim.rng.Int64N(6), Memory: 1 + sim.rng.Int64N(6)}
		if !table.ReserveTask("w", item.key, item.size) {
			return
		}
	} else if _, ok := table.ReserveCall(sim.rng, "c", item.key); !ok {
		return
	}
	if host != sim.holder {
		// The former holder still takes its lease for valid. Its start carries an old grant.
		sim.starts = append(sim.starts, startMessage{
			workItem: item, sender: host, grant: sim.grant - 1, boot: sim.boot, latestStart: sim.now - sim.bootedAt + 1000,
		})
		return
	}
	if !sim.leased {
		// The holder asks for the fence immediately before the send, and there is none.
		sim.release(sim.holder, item)
		return
	}
	latestStart := sim.readClock + sim.now - sim.readAt + 1000
	s := startMessage{
		workItem: item, sender: host, grant: sim.grant, boot: sim.readBoot, latestStart: latestStart,
		replyLost: sim.rng.IntN(4) == 0,
	}
	sim.starts = append(sim.starts, s)
}

// deliverStart delivers a start to the worker. The sender learns the outcome unless the reply is lost.
func (sim *simulation) deliverStart() {
	if len(sim.starts) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.starts))
	s := sim.starts[i]
	if s.replyLost && sim.rng.IntN(2) == 0 {
		s.replyLost = false
		sim.abandon(s)
		sim.starts[i] = s
		return
	}
	sim.starts = append(sim.starts[:i], sim.starts[i+1:]...)
	if s.grant != sim.grant || s.boot != sim.boot || sim.now-sim.bootedAt > s.latestStart {
		sim.release(s.sender, s.workItem)
		return
	}
	sim.running = append(sim.running, s.workItem)
	if s.isTask {
		sim.changeOf[s.key] = sim.nextChange()
		sim.abandon(s)
	}
}

// finishOne ends a random attempt that the worker runs.
func (sim *simulation) finishOne() {
	if len(sim.running) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.running))
	r := sim.running[i]
	sim.running = append(sim.running[:i], sim.running[i+1:]...)
	if r.isTask {
		sim.ended = append(sim.ended, endedTask{r, sim.nextChange()})
	}
	sim.reportEnd(r)
}

// reportEnd tells each host of the end of an attempt, or loses the answer.
func (sim *simulation) reportEnd(r workItem) {
	for host := range sim.tables {
		if sim.rng.IntN(2) == 0 {
			sim.release(host, r)
			sim.release(host, r)
		} else {
			// The answer is lost, so the next status has to show the end.
			sim.abandon(startMessage{workItem: r, sender: host, latestStart: sim.now - sim.bootedAt})
		}
	}
}

// requestStatus requests a status. As the lease package does, it passes replies on in the order of the worker's clock,
// and the first one of a boot or holder only if it is complete.
func (sim *simulation) requestStatus() {
	seen := sim.seen
	if sim.rng.IntN(8) == 0 {
		seen = 0
	}
	s, boot, sent, host := sim.status(seen), sim.boot, sim.now, sim.holder
	sim.statusReplies = append(sim.statusReplies, func() {
		if host != sim.holder || boot == sim.readBoot && s.Clock < sim.readClock ||
			boot != sim.readBoot && sent < sim.readAt {
			return
		}
		newBoot := boot != sim.readBoot
		sim.readBoot, sim.readClock, sim.readAt = boot, s.Clock, sim.now
		if newBoot && seen != 0 {
			sim.seen, sim.leased = 0, false
			return
		}
		if sim.tables[host].ApplyStatus(s, epoch.Add(sent), seen == 0) {
			sim.seen, sim.leased = s.Change, true
			if seen != 0 {
				sim.incremental++
			}
		}
	})
}

// changeHolder gives the worker to the other host. The former holder learns of it in half of the cases.
func (sim *simulation) changeHolder() {
	if sim.rng.IntN(2) == 0 {
		sim.tables[sim.holder].RemoveWorker("w")
	}
	sim.holder = 1 - sim.holder
	sim.grant++
	sim.tables[sim.holder].AddWorker("w")
	sim.statusReplies, sim.seen, sim.readBoot, sim.leased = nil, 0, -1, false
}

// restartWorker ends all running work. The worker's clock and change numbers start anew.
func (sim *simulation) restartWorker() {
	for _, r := range sim.running {
		sim.reportEnd(r)
	}
	sim.boot++
	sim.bootedAt, sim.change, sim.ended, sim.running = sim.now, 0, nil, nil
}

// step advances the time and performs one random event.
func (sim *simulation) step() {
	sim.now += time.Duration(sim.rng.IntN(200))
	switch sim.rng.IntN(13) {
	case 0, 1, 2, 3:
		sim.reserve()
	case 4, 5, 6:
		sim.deliverStart()
	case 7, 8:
		sim.finishOne()
	case 9:
		sim.requestStatus()
	case 10, 11:
		if n := len(sim.statusReplies); n > 0 {
			i := sim.rng.IntN(n)
			f := sim.statusReplies[i]
			sim.statusReplies = append(sim.statusReplies[:i], sim.statusReplies[i+1:]...)
			f()
		}
	case 12:
		switch sim.rng.IntN(8) {
		case 0:
			sim.changeHolder()
		case 1:
			sim.restartWorker()
		}
	}
}

// TestReservationsNeverExceedCapacity guards against work that exceeds the worker's slots or its capacity, and against
// resources that stay reserved after the work has ended. Messages are late or lost, statuses list changes only, the
// holder changes and the worker restarts.
func TestReservationsNeverExceedCapacity(t *testing.T) {
	incremental := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		for range 400 {
			sim.step()
			calls, used := 0, fleet.Size{}
			for _, r := range sim.running {
				if used = used.Add(r.size); !r.isTask {
					calls++
				}
			}
			if calls > workerSlots || !used.Fits(workerCapacity) {
				t.Fatalf("the worker runs %d calls of %+v and %+v in all, which is more than it has", calls, sim.callSize, used)
			}
		}
		incremental += sim.incremental
		for len(sim.starts) > 0 {
			sim.now += 2000
			sim.deliverStart()
		}
		for len(sim.running) > 0 {
			sim.finishOne()
		}
		sim.now += 5000
		table := sim.tables[sim.holder]
		table.ApplyStatus(sim.status(0), sim.time(), true)
		want := workerCapacity.Sub(fleet.Size{
			Cores: workerSlots * sim.callSize.Cores, Memory: workerSlots * sim.callSize.Memory,
		})
		if free, _ := table.FreeForTasks("w"); free != want || table.FreeSlots() != workerSlots {
			t.Fatalf("%+v and %d slots are free although the worker runs nothing, want all slots and all that they leave",
				free, table.FreeSlots())
		}
	})
	if incremental == 0 {
		t.Fatal("no incremental status was applied")
	}
}
