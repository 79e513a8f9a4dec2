// Package capacity tracks what is in use at the workers that this host holds, and reserves slots and resources on them.
//
// A reservation counts as in use from before its start is sent until the worker certainly does not run it. Work that
// this host did not start is known from the worker's status.
package capacity

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// extraCandidates is the number of further workers that ReserveCall tries if no random candidate suits the class.
const extraCandidates = 8

// Key identifies a reservation by a request or task and its attempt.
type Key struct {
	ID      string
	Attempt int
}

// ScoreFunc rates a worker for an urgent class. The lowest score is best, and a worker with a score of +Inf is not
// used.
type ScoreFunc func(worker, class string) float64

// origin tells how the table knows of a reservation and thereby when the reservation ends.
type origin int

const (
	// reserved is the origin of reservations that were made here. They count until they are released, even if no status
	// lists them. That of a task also ends once a status lists the attempt as no longer running.
	reserved origin = iota
	// abandoned is the origin of reservations whose end the worker's status shows. They may still start until the
	// worker's clock has passed latestStart.
	abandoned
	// reported is the origin of reservations that were found in a status. They count as long as the status lists them.
	reported
)

// reservation is a slot or an amount of resources that counts as used.
type reservation struct {
	size        fleet.Size
	origin      origin
	latestStart time.Duration
}

// reservations are those of the calls or of the tasks of one worker.
type reservations struct {
	active map[Key]reservation
	// releasedAt has the release times of reservations released here, until a status that was requested later is
	// applied. A status that was requested before may still list the work.
	releasedAt map[Key]time.Time
}

func newReservations() reservations {
	return reservations{active: map[Key]reservation{}, releasedAt: map[Key]time.Time{}}
}

// worker is what the table knows of one worker.
type worker struct {
	id string
	// statusApplied is set once a full status that was made under the present lease was applied. listedLeaving is set
	// while the host list has the worker as leaving, statusLeaving while its own status says so.
	held, statusApplied, listedLeaving, statusLeaving, quarantined bool

	boot  string
	clock time.Duration
	// usedByTasks is the sum of the sizes of the task reservations. Calls are not part of it: taskCapacity sets aside
	// what the calls of all slots need.
	capacity, usedByTasks fleet.Size
	slots, connections    int
	calls, tasks          reservations
	// candidateIndex is the index in Table.candidates, -1 if the worker has no free slot.
	candidateIndex int
	// freeSlots is this worker's part of Table.freeSlots.
	freeSlots int
}

// Table has the workers that this host holds and what is in use there. It is not safe for concurrent use.
type Table struct {
	workers map[string]*worker
	// candidates are the workers with a free slot for new calls, in no particular order.
	candidates []*worker
	// freeSlots is the number of free slots of all candidates.
	freeSlots int
	// choices is the number of random candidates of ReserveCall.
	choices int
	score   ScoreFunc
	// callSize is the resources that one urgent call may use.
	callSize fleet.Size
}

// Option changes a setting of a Table.
type Option func(*Table)

// WithChoices sets the number of random candidates of ReserveCall, 3 by default.
func WithChoices(d int) Option { return func(t *Table) { t.choices = d } }

// WithScore sets the rating of candidates. By default the worker with the fewest calls is best.
func WithScore(s ScoreFunc) Option { return func(t *Table) { t.score = s } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{workers: map[string]*worker{}, choices: 3}
	t.score = func(id, _ string) float64 { return float64(len(t.workers[id].calls.active)) }
	for _, o := range opts {
		o(t)
	}
	return t
}

// AddWorker adds a worker that this host holds. It gets no reservations before a full status was applied.
func (t *Table) AddWorker(id string) {
	w := t.workers[id]
	if w == nil {
		w = &worker{id: id, candidateIndex: -1, calls: newReservations(), tasks: newReservations()}
		t.workers[id] = w
	}
	if !w.held {
		w.held, w.statusApplied = true, false
	}
	t.updateFreeSlots(w)
}

// RemoveWorker removes a worker that this host no longer holds. Reservations that were made here stay until they are
// released.
func (t *Table) RemoveWorker(id string) {
	if w := t.workers[id]; w != nil {
		w.held, w.statusApplied = false, false
		t.updateFreeSlots(w)
	}
}

// SetLeaving records whether the host list has the worker as leaving.
func (t *Table) SetLeaving(id string, leaving bool) {
	if w := t.workers[id]; w != nil {
		w.listedLeaving = leaving
		t.updateFreeSlots(w)
	}
}

// SetQuarantined records whether the worker is quarantined.
func (t *Table) SetQuarantined(id string, quarantined bool) {
	if w := t.workers[id]; w != nil {
		w.quarantined = quarantined
		t.updateFreeSlots(w)
	}
}

// updateFreeSlots updates the worker's free slots and its place among the candidates. It deletes a worker that is not
// held and has no reservations of this host.
func (t *Table) updateFreeSlots(w *worker) {
	free := 0
	if w.acceptsWork() {
		free = max(0, min(w.slots, w.connections)-len(w.calls.active))
	}
	t.freeSlots += free - w.freeSlots
	w.freeSlots = free
	switch {
	case free > 0 && w.candidateIndex < 0:
		w.candidateIndex = len(t.candidates)
		t.candidates = append(t.candidates, w)
	case free == 0 && w.candidateIndex >= 0:
		last := t.candidates[len(t.candidates)-1]
		t.candidates[w.candidateIndex], last.candidateIndex = last, w.candidateIndex
		t.candidates = t.candidates[:len(t.candidates)-1]
		w.candidateIndex = -1
	}
	if !w.held && !w.calls.hasOwn() && !w.tasks.hasOwn() {
		delete(t.workers, w.id)
	}
}

// hasOwn reports whether there are reservations that were made by this host.
func (r *reservations) hasOwn() bool {
	for _, res := range r.active {
		if res.origin != reported {
			return true
		}
	}
	return false
}

// acceptsWork reports whether the worker may get new reservations.
func (w *worker) acceptsWork() bool {
	return w.held && w.statusApplied && !w.listedLeaving && !w.statusLeaving && !w.quarantined
}

// ApplyStatus applies a status that was requested at sent. Full is set if its task list is complete. It returns false
// for a status that is older than the last one, of a worker that is not held, or not full although it is the first one
// under a lease or of a boot.
func (t *Table) ApplyStatus(s fleet.Status, sent time.Time, full bool) bool {
	w := t.workers[s.Worker]
	if w == nil || !w.held || (!w.statusApplied && !full) || (s.Boot == w.boot && s.Clock < w.clock) {
		return false
	}
	rebooted := w.boot != "" && s.Boot != w.boot
	if rebooted && !full {
		w.statusApplied = false
		t.updateFreeSlots(w)
		return false
	}
	w.boot, w.clock, w.statusApplied, w.statusLeaving = s.Boot, s.Clock, true, s.Leaving
	w.capacity, w.slots, w.connections = s.Capacity, s.Slots, s.Connections
	running := make(map[Key]fleet.Size, len(s.Calls))
	for _, c := range s.Calls {
		running[Key{c.Request, c.Attempt}] = fleet.Size{}
	}
	w.calls.merge(running, s.Clock, sent, true, rebooted)
	running = make(map[Key]fleet.Size, len(s.Tasks))
	for _, task := range s.Tasks {
		k := Key{task.ID, task.Attempt}
		if task.State == fleet.TaskRunning {
			running[k] = task.Size
		} else {
			delete(w.tasks.active, k)
		}
	}
	w.tasks.merge(running, s.Clock, sent, full, rebooted)
	w.usedByTasks = fleet.Size{}
	for _, res := range w.tasks.active {
		w.usedByTasks = w.usedByTasks.Add(res.size)
	}
	t.updateFreeSlots(w)
	return true
}

// merge updates the reservations to what the worker runs. Complete is set if running has all of it.
func (r *reservations) merge(running map[Key]fleet.Size, clock time.Duration, sent time.Time, complete, rebooted bool) {
	for k, res := range r.active {
		_, listed := running[k]
		switch {
		case res.origin == reserved, listed:
		case rebooted, complete && (res.origin == reported || clock > res.latestStart):
			delete(r.active, k)
		}
	}
	for k, size := range running {
		if at, ok := r.releasedAt[k]; ok && sent.Before(at) {
			continue
		}
		if res, ok := r.active[k]; !ok || res.origin == abandoned {
			r.active[k] = reservation{size: size, origin: reported}
		}
	}
	for k, at := range r.releasedAt {
		if !sent.Before(at) {
			delete(r.releasedAt, k)
		}
	}
}

// ReserveCall reserves a slot for an attempt of a request on the best of a few random workers, those in avoid excluded.
// It returns the worker's ID, and false if none was found.
func (t *Table) ReserveCall(rng *rand.Rand, class string, k Key, avoid ...string) (string, bool) {
	var best *worker
	var lowest float64
	n := len(t.candidates)
	if n == 0 {
		return "", false
	}
	consider := func(w *worker) {
		if _, taken := w.calls.active[k]; taken || slices.Contains(avoid, w.id) {
			return
		}
		if s := t.score(w.id, class); !math.IsInf(s, 1) && (best == nil || s < lowest) {
			best, lowest = w, s
		}
	}
	for range t.choices {
		consider(t.candidates[rng.IntN(n)])
	}
	// Of len(avoid)+1 consecutive candidates, at least one is not to be avoided. Some more are tried for a class
	// that has few workers.
	for i, at := 0, rng.IntN(n); best == nil && i <= len(avoid)+extraCandidates && i < n; i++ {
		consider(t.candidates[(at+i)%n])
	}
	if best == nil {
		return "", false
	}
	best.calls.active[k] = reservation{origin: reserved}
	t.updateFreeSlots(best)
	return best.id, true
}

// SetCallSize sets the resources that one urgent call may use. Tasks don't get what the calls of all slots need, so
// that calls and tasks together never exceed the worker's capacity.
func (t *Table) SetCallSize(size fleet.Size) { t.callSize = size }

// TaskCapacity returns the resources of a worker that tasks may use, including those in use. It is zero for an unknown
// worker.
func (t *Table) TaskCapacity(id string) fleet.Size {
	w := t.workers[id]
	if w == nil {
		return fleet.Size{}
	}
	return t.taskCapacity(w)
}

// taskCapacity returns the resources of the worker that tasks may use, including those in use.
func (t *Table) taskCapacity(w *worker) fleet.Size {
	slots := int64(w.slots)
	return w.capacity.Sub(fleet.Size{Cores: slots * t.callSize.Cores, Memory: slots * t.callSize.Memory, Accelerators: 0})
}

// ReserveTask reserves resources of the worker for a task attempt. It returns false if the worker accepts no work, has
// too little left or has a reservation with this key.
func (t *Table) ReserveTask(id string, k Key, size fleet.Size) bool {
	w := t.workers[id]
	if w == nil || !w.acceptsWork() || size.IsNegative() || !w.usedByTasks.Add(size).Fits(t.taskCapacity(w)) {
		return false
	}
	if _, taken := w.tasks.active[k]; taken {
		return false
	}
	w.tasks.active[k] = reservation{size: size, origin: reserved}
	w.usedByTasks = w.usedByTasks.Add(size)
	return true
}

// ReleaseCall ends the reservation of a call that the worker certainly does not run. Repeated releases have no effect.
func (t *Table) ReleaseCall(now time.Time, id string, k Key) {
	if w := t.workers[id]; w != nil {
		w.calls.release(now, k)
		t.updateFreeSlots(w)
	}
}

// ReleaseTask ends the reservation of a task attempt that the worker certainly does not run. Repeated releases have no
// effect.
func (t *Table) ReleaseTask(now time.Time, id string, k Key) {
	if w := t.workers[id]; w != nil {
		w.usedByTasks = w.usedByTasks.Sub(w.tasks.release(now, k))
		t.updateFreeSlots(w)
	}
}

// release deletes the reservation, notes the time and returns the reserved size, zero if there was no reservation.
func (r *reservations) release(now time.Time, k Key) fleet.Size {
	res, ok := r.active[k]
	if ok {
		delete(r.active, k)
		r.releasedAt[k] = now
	}
	return res.size
}

// AbandonCall leaves it to the worker's status to end the reservation of a call. The call may be running, or may start
// until the worker's clock has passed latestStart.
func (t *Table) AbandonCall(id string, k Key, latestStart time.Duration) {
	if w := t.workers[id]; w != nil {
		w.calls.abandon(k, latestStart)
	}
}

// AbandonTask is AbandonCall for a task attempt. It must be called for each task once its start was sent.
func (t *Table) AbandonTask(id string, k Key, latestStart time.Duration) {
	if w := t.workers[id]; w != nil {
		w.tasks.abandon(k, latestStart)
	}
}

// abandon turns a reservation that was made here into an abandoned one.
func (r *reservations) abandon(k Key, latestStart time.Duration) {
	if res, ok := r.active[k]; ok && res.origin == reserved {
		res.origin, res.latestStart = abandoned, latestStart
		r.active[k] = res
	}
}

// FreeSlots returns the number of free slots for new calls on all workers together.
func (t *Table) FreeSlots() int { return t.freeSlots }

// FreeForTasks returns the resources of the worker that are free for tasks, and false if the worker accepts no work.
func (t *Table) FreeForTasks(id string) (fleet.Size, bool) {
	w := t.workers[id]
	if w == nil || !w.acceptsWork() {
		return fleet.Size{}, false
	}
	return t.taskCapacity(w).Sub(w.usedByTasks), true
}

// CallCount returns the number of calls that count as using a slot of the worker.
func (t *Table) CallCount(id string) int {
	if w := t.workers[id]; w != nil {
		return len(w.calls.active)
	}
	return 0
}
