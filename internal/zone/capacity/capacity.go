// Package capacity keeps what is in use at the held workers and reserves slots and resources on them.
//
// A reservation counts from before its start is sent until the worker certainly does not run it. Work that this host
// did not start is known from the worker's status.
package capacity

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// extraChoices is the number of further workers that ReserveCall tries when no random candidate suits the class.
const extraChoices = 8

// Key identifies a reservation: a request or task and its attempt.
type Key struct {
	ID      string
	Attempt int
}

// Score rates a worker for an urgent class; lower is better.
type Score func(worker, class string) float64

type origin int

const (
	// reserved entries were made here and count until they are released, whatever the status lists.
	reserved origin = iota
	// abandoned entries may still start until the worker's clock has passed before.
	abandoned
	// reported entries count as long as the status lists them.
	reported
)

type entry struct {
	size   fleet.Size
	origin origin
	before time.Duration
}

type book struct {
	open map[Key]entry
	// ended has entries released here, with the time, until a status requested later was applied.
	ended map[Key]time.Time
}

func newBook() book { return book{open: map[Key]entry{}, ended: map[Key]time.Time{}} }

type worker struct {
	id string
	// applied is set once a full status made under the present lease was applied.
	held, applied, leaving, drain, quarantined bool

	boot               string
	clock              time.Duration
	capacity, used     fleet.Size
	slots, connections int
	calls, tasks       book
	// place is the index in Table.open, -1 if the worker has no free slot.
	place int
	// free is the part of Table.free that is this worker's.
	free int
}

// Table has the workers that this host holds.
type Table struct {
	workers map[string]*worker
	// open are the workers with a free slot for new calls, in no order.
	open []*worker
	// free is the sum of free slots.
	free   int
	choice int
	score  Score
	// call is what one urgent call may take.
	call fleet.Size
}

// Option changes a setting of a Table.
type Option func(*Table)

// WithChoices sets the number of random candidates of ReserveCall, 3 by default.
func WithChoices(d int) Option { return func(t *Table) { t.choice = d } }

// WithScore sets the rating of candidates. By default the worker with the fewest calls is best.
func WithScore(s Score) Option { return func(t *Table) { t.score = s } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{workers: map[string]*worker{}, choice: 3}
	t.score = func(id, _ string) float64 { return float64(len(t.workers[id].calls.open)) }
	for _, o := range opts {
		o(t)
	}
	return t
}

// Hold adds a worker. It gets no reservation before a full status was applied.
func (t *Table) Hold(id string) {
	w := t.workers[id]
	if w == nil {
		w = &worker{id: id, place: -1, calls: newBook(), tasks: newBook()}
		t.workers[id] = w
	}
	if !w.held {
		w.held, w.applied = true, false
	}
	t.settle(w)
}

// Unhold withdraws a worker. Reservations made here stay until they are released.
func (t *Table) Unhold(id string) {
	if w := t.workers[id]; w != nil {
		w.held, w.applied = false, false
		t.settle(w)
	}
}

// SetLeaving tells whether the host list has the worker as leaving.
func (t *Table) SetLeaving(id string, leaving bool) {
	if w := t.workers[id]; w != nil {
		w.leaving = leaving
		t.settle(w)
	}
}

// SetQuarantined tells whether the worker is quarantined.
func (t *Table) SetQuarantined(id string, quarantined bool) {
	if w := t.workers[id]; w != nil {
		w.quarantined = quarantined
		t.settle(w)
	}
}

// settle brings the worker's share of the totals up to date, or forgets a worker without lease and work.
func (t *Table) settle(w *worker) {
	free := 0
	if w.available() {
		free = max(0, min(w.slots, w.connections)-len(w.calls.open))
	}
	t.free += free - w.free
	w.free = free
	switch {
	case free > 0 && w.place < 0:
		w.place = len(t.open)
		t.open = append(t.open, w)
	case free == 0 && w.place >= 0:
		last := t.open[len(t.open)-1]
		t.open[w.place], last.place = last, w.place
		t.open = t.open[:len(t.open)-1]
		w.place = -1
	}
	if !w.held && !w.calls.own() && !w.tasks.own() {
		delete(t.workers, w.id)
	}
}

func (b *book) own() bool {
	for _, e := range b.open {
		if e.origin != reported {
			return true
		}
	}
	return false
}

func (w *worker) available() bool {
	return w.held && w.applied && !w.leaving && !w.drain && !w.quarantined
}

// Apply takes over a status requested at sent. Full is set when its task list is complete.
// It returns false for a status that is older than the last one, or not full when the first must be.
func (t *Table) Apply(s fleet.Status, sent time.Time, full bool) bool {
	w := t.workers[s.Worker]
	if w == nil || !w.held || (!w.applied && !full) || (s.Boot == w.boot && s.Clock < w.clock) {
		return false
	}
	rebooted := w.boot != "" && s.Boot != w.boot
	if rebooted && !full {
		w.applied = false
		t.settle(w)
		return false
	}
	w.boot, w.clock, w.applied, w.drain = s.Boot, s.Clock, true, s.Leaving
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
			delete(w.tasks.open, k)
		}
	}
	w.tasks.merge(running, s.Clock, sent, full, rebooted)
	w.used = fleet.Size{}
	for _, e := range w.tasks.open {
		w.used = w.used.Add(e.size)
	}
	t.settle(w)
	return true
}

// merge brings the entries in line with what the worker runs. Complete is set when running is all of it.
func (b *book) merge(running map[Key]fleet.Size, clock time.Duration, sent time.Time, complete, rebooted bool) {
	for k, e := range b.open {
		_, listed := running[k]
		switch {
		case e.origin == reserved, listed:
		case rebooted, complete && (e.origin == reported || clock > e.before):
			delete(b.open, k)
		}
	}
	for k, size := range running {
		if at, ok := b.ended[k]; ok && sent.Before(at) {
			continue
		}
		if e, ok := b.open[k]; !ok || e.origin == abandoned {
			b.open[k] = entry{size: size, origin: reported}
		}
	}
	for k, at := range b.ended {
		if !sent.Before(at) {
			delete(b.ended, k)
		}
	}
}

// ReserveCall reserves a slot for an attempt of a request on the best of a few random workers that are not to be avoided.
func (t *Table) ReserveCall(rng *rand.Rand, class string, k Key, avoid ...string) (string, bool) {
	var best *worker
	var low float64
	n := len(t.open)
	if n == 0 {
		return "", false
	}
	consider := func(w *worker) {
		if _, taken := w.calls.open[k]; taken || slices.Contains(avoid, w.id) {
			return
		}
		if s := t.score(w.id, class); !math.IsInf(s, 1) && (best == nil || s < low) {
			best, low = w, s
		}
	}
	for range t.choice {
		consider(t.open[rng.IntN(n)])
	}
	// Among more neighbours than are avoided, one is not. Some more are tried for a class whose workers are few.
	for i, at := 0, rng.IntN(n); best == nil && i <= len(avoid)+extraChoices && i < n; i++ {
		consider(t.open[(at+i)%n])
	}
	if best == nil {
		return "", false
	}
	best.calls.open[k] = entry{origin: reserved}
	t.settle(best)
	return best.id, true
}

// SetCallSize sets the resources that one urgent call may take. Tasks are not given what the calls of all slots need, so
// that calls and tasks together never exceed what a worker holds.
func (t *Table) SetCallSize(size fleet.Size) { t.call = size }

// ForTasks returns the resources of a worker that tasks may use, those in use included.
func (t *Table) ForTasks(id string) fleet.Size {
	w := t.workers[id]
	if w == nil {
		return fleet.Size{}
	}
	return t.forTasks(w)
}

// forTasks returns the resources of the worker that tasks may use.
func (t *Table) forTasks(w *worker) fleet.Size {
	slots := int64(w.slots)
	return w.capacity.Sub(fleet.Size{Cores: slots * t.call.Cores, Memory: slots * t.call.Memory, Accelerators: 0})
}

// ReserveTask reserves resources of the worker for a task attempt.
func (t *Table) ReserveTask(id string, k Key, size fleet.Size) bool {
	w := t.workers[id]
	if w == nil || !w.available() || size.Negative() || !w.used.Add(size).Fits(t.forTasks(w)) {
		return false
	}
	if _, taken := w.tasks.open[k]; taken {
		return false
	}
	w.tasks.open[k] = entry{size: size, origin: reserved}
	w.used = w.used.Add(size)
	return true
}

// ReleaseCall ends the reservation of a call that the worker certainly does not run. Further releases do nothing.
func (t *Table) ReleaseCall(now time.Time, id string, k Key) {
	if w := t.workers[id]; w != nil {
		w.calls.end(now, k)
		t.settle(w)
	}
}

// ReleaseTask ends the reservation of a task attempt that the worker certainly does not run.
func (t *Table) ReleaseTask(now time.Time, id string, k Key) {
	if w := t.workers[id]; w != nil {
		w.used = w.used.Sub(w.tasks.end(now, k))
		t.settle(w)
	}
}

func (b *book) end(now time.Time, k Key) fleet.Size {
	e, ok := b.open[k]
	if ok {
		delete(b.open, k)
		b.ended[k] = now
	}
	return e.size
}

// AbandonCall leaves the end of a call to the worker's status: the call may run, or start until the worker's clock
// has passed before.
func (t *Table) AbandonCall(id string, k Key, before time.Duration) {
	if w := t.workers[id]; w != nil {
		w.calls.abandon(k, before)
	}
}

// AbandonTask is AbandonCall for a task attempt, to be used for each task once it was sent.
func (t *Table) AbandonTask(id string, k Key, before time.Duration) {
	if w := t.workers[id]; w != nil {
		w.tasks.abandon(k, before)
	}
}

func (b *book) abandon(k Key, before time.Duration) {
	if e, ok := b.open[k]; ok && e.origin == reserved {
		e.origin, e.before = abandoned, before
		b.open[k] = e
	}
}

// Free returns the number of slots for new calls.
func (t *Table) Free() int { return t.free }

// Room returns the resources of the worker that are free for tasks, and false if it is given no work.
func (t *Table) Room(id string) (fleet.Size, bool) {
	w := t.workers[id]
	if w == nil || !w.available() {
		return fleet.Size{}, false
	}
	return t.forTasks(w).Sub(w.used), true
}

// Calls returns the number of calls that count at the worker.
func (t *Table) Calls(id string) int {
	if w := t.workers[id]; w != nil {
		return len(w.calls.open)
	}
	return 0
}
