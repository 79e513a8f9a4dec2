package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// minRemaining is the shortest time after which the room of a run counts as free: its end has to be reported first.
const minRemaining = 50 * time.Millisecond

// never is a time after which nothing is expected any more. A run can be added to it.
const never = time.Duration(math.MaxInt64 / 2)

// rack is the workers of one service in one rack, ordered by ID.
type rack struct {
	name    string
	workers []*Worker
}

// racksOf returns the racks of a service's workers, in the order of the first IDs there.
func (s *Scheduler) racksOf(service string) []rack {
	if racks, ok := s.rackIndex[service]; ok {
		return racks
	}
	var racks []rack
	index := map[string]int{}
	for _, w := range s.byService[service] {
		if w.Rack == "" {
			continue
		}
		i, ok := index[w.Rack]
		if !ok {
			i = len(racks)
			index[w.Rack] = i
			racks = append(racks, rack{name: w.Rack})
		}
		racks[i].workers = append(racks[i].workers, w)
	}
	s.rackIndex[service] = racks
	return racks
}

// rackNamed returns a rack of the service, one without workers if there is none.
func (s *Scheduler) rackNamed(service, name string) rack {
	racks := s.racksOf(service)
	if i := slices.IndexFunc(racks, func(r rack) bool { return r.name == name }); i >= 0 {
		return racks[i]
	}
	return rack{name: name}
}

// roomChange is a change of the free room of a worker that is expected after the given time.
type roomChange struct {
	after time.Duration
	size  fleet.Size
}

// roomForecast is the room of a worker as it is expected to become free: short and best-effort tasks end, and the waiting
// tasks that come first take it.
type roomForecast struct {
	worker *Worker
	// round is the value of nearState.round for which the forecast was made.
	round uint64
	// runs and used are the worker's number of runs and room in use when the forecast was made.
	runs int
	used fleet.Size
	// changes is ordered by time. claims are those of its changes that waiting tasks make.
	changes, claims []roomChange
}

// forecast returns the present forecast of the worker for this decision. It is made anew if a run was started there since.
func (s *Scheduler) forecast(now time.Time, w *Worker) *roomForecast {
	if w.forecast == nil {
		w.forecast = &roomForecast{worker: w}
	}
	f := w.forecast
	if f.round != s.near.round {
		f.round, f.runs, f.claims = s.near.round, -1, f.claims[:0]
	}
	if f.runs == len(w.runs) && f.used == w.used {
		return f
	}
	f.runs, f.used = len(w.runs), w.used
	f.changes = append(f.changes[:0], f.claims...)
	for _, r := range w.runs {
		if after, ok := s.endsAfter(now, r); ok {
			f.changes = append(f.changes, roomChange{after, r.task.step().Reserved()})
		}
	}
	slices.SortFunc(f.changes, func(a, b roomChange) int { return cmp.Compare(a.after, b.after) })
	return f
}

// endsAfter returns the time after which the run is expected to end, false if it goes on until it is stopped.
func (s *Scheduler) endsAfter(now time.Time, r *run) (time.Duration, bool) {
	step := r.task.step()
	if step.LongRunning && r.phase != phaseStopping {
		return 0, false
	}
	estimate := step.Estimate
	if s.isRemote(r) {
		estimate += s.remoteCost(step)
	}
	return max(minRemaining, r.remainingOf(now, estimate)), true
}

// roomAfter returns the earliest time, not before from, after which the worker is expected to have room for the size for the given
// time. It returns false if that is after the horizon.
func (f *roomForecast) roomAfter(size fleet.Size, from, span, horizon time.Duration) (time.Duration, bool) {
	free := f.worker.Capacity.Sub(f.used)
	start, fits := from, size.Fits(free)
	for _, c := range f.changes {
		if (fits && c.after >= start+span) || (!fits && c.after > horizon) {
			break
		}
		free = free.Add(c.size)
		switch {
		case !size.Fits(free):
			fits = false
		case !fits:
			start, fits = max(from, c.after), true
		}
	}
	return start, fits && start <= horizon
}

// claim takes room for a waiting task that is expected to start after the given time and to last for the span.
func (f *roomForecast) claim(size fleet.Size, after, span time.Duration) {
	for _, c := range []roomChange{{after, fleet.Size{}.Sub(size)}, {after + span, size}} {
		f.claims = append(f.claims, c)
		i, _ := slices.BinarySearchFunc(f.changes, c.after, func(o roomChange, after time.Duration) int {
			return cmp.Compare(o.after, after)
		})
		f.changes = slices.Insert(f.changes, i, c)
	}
}

// nearPlace is a worker of a rack that can take tasks of a stage.
type nearPlace struct {
	forecast *roomForecast
	// from is the time after which the rules other than room allow a task of the stage to start there.
	from time.Duration
	// left is the number of further tasks of the stage that may run there at once.
	left int
	// next is the time after which there is room for the next task. It is valid if hasNext is set.
	next    time.Duration
	hasNext bool
}

// nearPlaces appends those of the workers to out that can take the task, occupied or not.
func (s *Scheduler) nearPlaces(now time.Time, t *task, workers []*Worker, out []nearPlace) []nearPlace {
	step := t.step()
	for _, w := range workers {
		if w.trials > 0 || !step.Reserved().Fits(w.Capacity) || !s.isUsableFor(now, t, w) {
			continue
		}
		p := nearPlace{forecast: s.forecast(now, w), from: w.closedFor(now, t), left: math.MaxInt}
		if step.MaxPerWorker > 0 {
			p.left = max(0, step.MaxPerWorker-t.stage.tasksOn(w))
		}
		if p.left == 0 {
			p.left, p.from = 1, max(p.from, s.stageEndsAfter(now, t.stage, w))
		}
		out = append(out, p)
	}
	return out
}

// stageEndsAfter returns the time after which the first of the stage's runs on the worker is expected to end.
func (s *Scheduler) stageEndsAfter(now time.Time, st *stage, w *Worker) time.Duration {
	first := never
	for _, r := range w.runs {
		if after, ok := s.endsAfter(now, r); ok && r.task.stage == st {
			first = min(first, after)
		}
	}
	return first
}

// closedFor returns the time after which the worker takes tasks like the given one again, regardless of room: it pauses, or
// its room is kept for others.
func (w *Worker) closedFor(now time.Time, t *task) time.Duration {
	until := w.health.resumeAt
	if !w.isSound(now, t) {
		until = laterOf(until, laterOf(w.health.slowUntil, w.health.suspectUntil))
		if t.step().BestEffort {
			until = laterOf(until, w.health.bestEffortAt)
		}
		if len(t.failedRuns) > 0 {
			until = laterOf(until, t.waitingSince.Add(avoidPeriod))
		}
	}
	if w.isReservedFrom(now, t) {
		if w.heldFor != nil && w.heldFor.hold != nil {
			until = laterOf(until, w.heldFor.hold.until)
		} else {
			until = laterOf(until, w.reservedUntil)
		}
	}
	return max(0, until.Sub(now))
}

// nearQueue gives the waiting tasks of a stage, in their order, the times at which they are expected to have room in a rack.
type nearQueue struct {
	places        []nearPlace
	size          fleet.Size
	span, horizon time.Duration
	// first is the place where the next task is expected to have room first, nil if that is after the horizon.
	first *nearPlace
}

// fillNearQueue makes the queue for tasks like the given one, in the memory of its places. It knows no time beyond the horizon.
func (s *Scheduler) fillNearQueue(now time.Time, t *task, workers []*Worker, horizon time.Duration, q *nearQueue) {
	*q = nearQueue{
		places: s.nearPlaces(now, t, workers, q.places), size: t.step().Reserved(), span: t.step().Estimate, horizon: horizon,
	}
	for i := range q.places {
		q.update(&q.places[i])
	}
	q.findFirst()
}

// update sets the time of the next task on a worker.
func (q *nearQueue) update(p *nearPlace) {
	p.next, p.hasNext = p.forecast.roomAfter(q.size, p.from, q.span, q.horizon)
}

// findFirst sets the first place.
func (q *nearQueue) findFirst() {
	q.first = nil
	for i := range q.places {
		if p := &q.places[i]; p.hasNext && (q.first == nil || p.next < q.first.next) {
			q.first = p
		}
	}
}

// take gives the next task its place, so that the tasks that come after it find the next one.
func (q *nearQueue) take() {
	p := q.first
	if p == nil {
		return
	}
	p.forecast.claim(q.size, p.next, q.span)
	p.from = max(p.from, p.next)
	if p.left--; p.left == 0 {
		p.left, p.from = 1, p.next+q.span
	}
	q.update(p)
	q.findFirst()
}

// slots returns how many tasks of the size fit into the room.
func slots(size, room fleet.Size) int {
	if room.IsNegative() {
		return 0
	}
	n := int64(maxRunsPerWorker)
	for _, d := range [...][2]int64{
		{size.Cores, room.Cores}, {size.Memory, room.Memory}, {size.Accelerators, room.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return int(n)
}

// gangRoom says what room a rack has for all members of a gang at once.
type gangRoom struct {
	// enough is set if the rack is large enough. after is the time after which the members are expected to fit, valid if
	// known is set.
	enough, known bool
	after         time.Duration
}

// gangRoom returns the room of a rack for the gang, as far as the horizon.
func (s *Scheduler) gangRoom(now time.Time, st *stage, workers []*Worker, horizon time.Duration) gangRoom {
	places := s.nearPlaces(now, st.tasks[0], workers, nil)
	size, members := st.step().Reserved(), len(st.tasks)
	total := 0
	for _, p := range places {
		total += min(p.left, slots(size, p.forecast.worker.Capacity))
	}
	if total < members {
		return gangRoom{}
	}
	times := []time.Duration{0}
	for _, p := range places {
		times = append(times, p.from)
		for _, c := range p.forecast.changes {
			times = append(times, c.after)
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	free, read := make([]fleet.Size, len(places)), make([]int, len(places))
	for i, p := range places {
		free[i] = p.forecast.worker.Capacity.Sub(p.forecast.used)
	}
	for _, after := range times {
		if after > horizon {
			break
		}
		total = 0
		for i, p := range places {
			for ; read[i] < len(p.forecast.changes) && p.forecast.changes[read[i]].after <= after; read[i]++ {
				free[i] = free[i].Add(p.forecast.changes[read[i]].size)
			}
			if after >= p.from {
				total += min(p.left, slots(size, free[i]))
			}
		}
		if total >= members {
			return gangRoom{enough: true, known: true, after: after}
		}
	}
	return gangRoom{enough: true}
}
