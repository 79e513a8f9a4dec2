package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/standin/seed"
)

// TestMain fixes the seed of the random tests, so that each run makes the same checks.
func TestMain(m *testing.M) { seed.Main(m, 7, 1000) }

var epoch = time.Unix(1_000_000, 0)

// newTable returns a table with n idle workers, w0 and up.
func newTable(n int) *Table {
	t := New()
	for i := range n {
		id := fmt.Sprint("w", i)
		t.AddWorker(id)
		t.ApplyStatus(fleet.Status{Worker: id, Boot: "b", Capacity: workerCapacity, Slots: 8, Connections: 64}, epoch, true)
	}
	return t
}

// TestNoWorkOnUnavailableWorker guards against new work on workers that are leaving, quarantined, not held, or without
// a status yet.
func TestNoWorkOnUnavailableWorker(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for name, act := range map[string]func(*Table){
		"listed as leaving": func(t *Table) { t.SetLeaving("w0", true) },
		"quarantined":       func(t *Table) { t.SetQuarantined("w0", true) },
		"not held":          func(t *Table) { t.RemoveWorker("w0") },
		"no status":         func(t *Table) { t.RemoveWorker("w0"); t.AddWorker("w0") },
		"leaving by its own status": func(t *Table) {
			t.ApplyStatus(fleet.Status{
				Worker: "w0", Boot: "b", Slots: 8, Connections: 64, Capacity: workerCapacity, Leaving: true,
			}, epoch, false)
		},
	} {
		table := newTable(1)
		act(table)
		_, call := table.ReserveCall(rng, "c", Key{"r", 1})
		if task := table.ReserveTask("w0", Key{"t", 1}, fleet.Size{Cores: 1}); call || task || table.FreeSlots() != 0 {
			t.Errorf("%s: call reserved %v, task reserved %v, %d free slots; want none", name, call, task, table.FreeSlots())
		}
	}
}

// TestReservationsFollowCapacity guards against reservations for which a worker that has shrunk has no room.
func TestReservationsFollowCapacity(t *testing.T) {
	table := newTable(1)
	resize := func(cores int64) {
		table.ApplyStatus(fleet.Status{
			Worker: "w0", Boot: "b", Slots: 8, Connections: 64,
			Capacity: fleet.Size{Cores: cores, Memory: workerCapacity.Memory},
		}, epoch, false)
	}
	for i, step := range []struct {
		cores int64
		want  bool
	}{{4000, true}, {3000, false}, {0, false}, {3999, false}, {4000, true}} {
		resize(step.cores)
		if got := table.ReserveTask("w0", Key{fmt.Sprint("t", i), 1}, fleet.Size{Cores: 2000}); got != step.want {
			t.Errorf("step %d: a task of 2 cores reserved %v, want %v", i, got, step.want)
		}
	}
}

// TestFirstStatusMustBeFull guards against taking a list of changes for the full task list of a worker that was just
// taken over.
func TestFirstStatusMustBeFull(t *testing.T) {
	table := New()
	table.AddWorker("w")
	if table.ApplyStatus(fleet.Status{
		Worker: "w", Boot: "b", Capacity: workerCapacity, Slots: 8, Connections: 64,
	}, epoch, false) {
		t.Fatal("a list of changes was applied as the first status")
	}
	if _, ok := table.FreeForTasks("w"); ok {
		t.Fatal("the worker accepts work without a full status")
	}
}

// TestRejectsOldStatus guards against applying a status older than the last one, and against a list of changes as the
// first status of a boot.
func TestRejectsOldStatus(t *testing.T) {
	status := func(boot string, clock time.Duration) fleet.Status {
		return fleet.Status{Worker: "w0", Boot: boot, Clock: clock, Capacity: workerCapacity, Slots: 8, Connections: 64}
	}
	table := newTable(1)
	if !table.ApplyStatus(status("b", 9), epoch, false) || table.ApplyStatus(status("b", 8), epoch, false) {
		t.Error("a late status was applied")
	}
	if table.ApplyStatus(status("c", 1), epoch, false) {
		t.Error("a list of changes was taken for the full task list of a new boot")
	}
	if _, ok := table.FreeForTasks("w0"); ok {
		t.Error("the worker accepts work before the first full status of the new boot")
	}
	if !table.ApplyStatus(status("c", 2), epoch, true) {
		t.Error("the full status of the new boot was refused")
	}
}

// TestStatusRequestedBeforeRelease guards against counting a task again that was released, because of a status that was
// requested before the release and is applied after it.
func TestStatusRequestedBeforeRelease(t *testing.T) {
	table, k := newTable(1), Key{"t", 1}
	table.ReserveTask("w0", k, fleet.Size{Cores: 4})
	table.ReleaseTask(epoch.Add(time.Second), "w0", k)
	s := fleet.Status{Worker: "w0", Boot: "b", Clock: 1, Capacity: workerCapacity, Slots: 8, Connections: 64}
	s.Tasks = []fleet.Task{{ID: "t", Attempt: 1, Size: fleet.Size{Cores: 4}, State: fleet.TaskRunning}}
	for i, want := range []int64{10, 6} {
		table.ApplyStatus(s, epoch.Add(time.Duration(2*i)*time.Second), true)
		if free, _ := table.FreeForTasks("w0"); free.Cores != want {
			t.Fatalf("status %d: %d thousandths of a core are free, want %d", i, free.Cores, want)
		}
	}
}

// TestReserveCallAvoidsWorkers guards against a retry on the worker that just failed, and against missing the only
// worker that is not to be avoided.
func TestReserveCallAvoidsWorkers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	table := newTable(3)
	for i := range 8 {
		if id, ok := table.ReserveCall(rng, "c", Key{"r", i}, "w0", "w2"); !ok || id != "w1" {
			t.Fatalf("ReserveCall returned %q, %v; want w1, true", id, ok)
		}
	}
	if id, ok := table.ReserveCall(rng, "c", Key{"r", 9}, "w0", "w2"); ok {
		t.Fatalf("ReserveCall returned %q although all workers but the avoided ones are full", id)
	}
}

func BenchmarkReserveCall(b *testing.B) {
	for _, n := range []int{66, 300, 910} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng, table, k := rand.New(rand.NewPCG(1, 1)), newTable(n), Key{"r", 1}
			for b.Loop() {
				id, _ := table.ReserveCall(rng, "c", k)
				table.ReleaseCall(epoch, id, k)
			}
		})
	}
}
