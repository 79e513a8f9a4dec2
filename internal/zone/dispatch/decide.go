package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

const (
	// lateFactor times the objective is how long a late result is still of use to the caller.
	lateFactor = 3
	// expireEvery is the interval at which finished jobs are looked through.
	expireEvery = time.Second
)

// Decide returns the orders that are due.
func (s *Scheduler) Decide(now time.Time) []Order {
	s.lapse(now)
	s.repeatStops(now)
	for j := range s.timed {
		s.begin(now.Add(s.limits.Early/2), j)
	}
	if now.Sub(s.expired) > expireEvery {
		s.expired = now
		s.expire(now)
		s.appraise()
		s.measureNeed()
		s.writeLearned(now)
	}
	s.sortReady(now)
	if !s.halted {
		s.startReady(now)
	}
	out := s.orders
	s.orders = nil
	return out
}

// urgency says how the work of a stage stands against the time in which its job should be done.
type urgency int

const (
	// urgencyLate is of some use, if late. The zero value can still be done in time.
	urgencyLate urgency = iota + 1
	// urgencyMissed can't be done in any time that was asked for.
	urgencyMissed
)

// rank orders the waiting stages: by priority, then those that can still be in time, then those that are late, and
// within each by the latest time at which the rest of the job has to start.
type rank struct {
	priority int
	urgency  urgency
	start    time.Time
}

func (s *Scheduler) rank(now time.Time, st *stage) rank {
	j := st.job()
	arrived := j.arrived
	if j.spec.OccurrenceCount > 0 {
		arrived = j.arrived.Add(j.spec.DueTime(st.occ.index).Sub(j.wall))
	}
	tail := j.tails[st.index]
	r := rank{priority: j.priority, start: arrived.Add(j.objective - tail)}
	switch {
	case st.step().LongRunning:
		r.start = arrived
	case now.After(arrived.Add(lateFactor*j.objective - tail)):
		r.urgency = urgencyMissed
	case now.After(r.start):
		// Among late ones the shortest goes first: it gives the most results for the same room.
		r.urgency, r.start = urgencyLate, arrived.Add(tail)
	}
	return r
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.priority, o.priority), cmp.Compare(r.urgency, o.urgency), r.start.Compare(o.start))
}

// sortReady drops stages that wait for nothing and orders the others.
func (s *Scheduler) sortReady(now time.Time) {
	type ranked struct {
		st *stage
		r  rank
	}
	list := make([]ranked, 0, len(s.ready))
	for _, st := range s.ready {
		if st.waiting == 0 || st.job().final() {
			st.listed = false
			continue
		}
		list = append(list, ranked{st, s.rank(now, st)})
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(a.r.compare(b.r), cmp.Compare(a.st.job().id, b.st.job().id))
	})
	clear(s.ready)
	s.ready = s.ready[:0]
	for _, l := range list {
		s.ready = append(s.ready, l.st)
	}
}

// want is a size that found no worker, so that larger ones of the same kind need not be tried.
type want struct {
	service string
	fills   bool
	// image matters for tasks that fill: what disturbs the lasting tasks of one worker may not disturb those of another.
	image string
	size  fleet.Size
}

// startReady starts what fits, most urgent first.
func (s *Scheduler) startReady(now time.Time) {
	var failed []want
	for _, st := range slices.Clone(s.ready) {
		j := st.job()
		// A job whose acceptance is not durable may be handed in again at a later leader, which would not know of
		// its runs. Restored tasks may run where this term has not looked yet.
		if j.accepted > s.journal.committed || (j.restored && !s.settled()) {
			continue
		}
		w := want{service: j.service, fills: st.step().BestEffort, size: st.step().Size}
		if w.fills {
			w.image = st.step().Image
		}
		if slices.ContainsFunc(failed, func(f want) bool {
			return f.service == w.service && f.fills == w.fills && f.image == w.image && f.size.Fits(w.size)
		}) {
			continue
		}
		var full bool
		if st.step().Gang {
			full = !s.startGang(now, st)
		} else {
			full = !s.startStage(now, st)
		}
		if full && st.plain() {
			failed = append(failed, w)
		}
	}
}

// plain reports whether any worker with room can take the stage.
func (st *stage) plain() bool {
	step := st.step()
	return step.Label == "" && step.MaxPerWorker == 0 && !step.Gang && !st.job().advised
}

// startStage starts the waiting tasks of a stage. It returns false if one found no worker.
func (s *Scheduler) startStage(now time.Time, st *stage) bool {
	if st.job().advised && !s.advised(now, st) {
		return true
	}
	for _, t := range st.tasks {
		if !t.queued || now.Before(t.notBefore) {
			continue
		}
		if t.step().LongRunning && !s.mayTakeRoom(now, t) {
			continue
		}
		w := s.place(now, t, nil)
		if w == nil {
			return false
		}
		s.start(now, t, w)
	}
	return true
}

// startGang starts all members of a gang or none. It returns false if there is no room for all.
func (s *Scheduler) startGang(now time.Time, st *stage) bool {
	if st.job().advised && !s.advised(now, st) {
		return true
	}
	for _, t := range st.tasks {
		if now.Before(t.notBefore) {
			return true
		}
		if len(t.runs) > 0 && t.runs[0].phase == phaseStopping {
			return true
		}
	}
	if live := len(st.tasks) - st.waiting; live > 0 {
		return s.completeGang(now, st)
	}
	plan := s.planGang(now, st)
	if plan == nil {
		return false
	}
	for i, t := range st.tasks {
		s.start(now, t, plan[i])
	}
	return true
}

// completeGang starts the members whose start was refused beside those that run already. Members that have ended
// in the present run end the others too, so that the gang starts again once all are gone.
func (s *Scheduler) completeGang(now time.Time, st *stage) bool {
	for _, t := range st.tasks {
		if !t.queued || t.ended >= st.gangRun {
			continue
		}
		w := s.place(now, t, nil)
		if w == nil {
			return false
		}
		s.start(now, t, w)
	}
	return true
}
